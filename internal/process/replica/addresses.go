package replica

import (
	"slices"
)

// Addresses returns the addresses of the listed replicas in ascending order.
func (v *View) Addresses() []string {
	addresses := make([]string, 0, len(v.replicas))
	for _, e := range v.replicas {
		if e.listed {
			addresses = append(addresses, e.address)
		}
	}
	return slices.Sorted(slices.Values(addresses))
}

// EndpointAddresses returns the addresses of an endpoint's listed replicas in
// ascending order.
func (v *View) EndpointAddresses(endpoint string) []string {
	all := v.replicasOf(endpoint).all
	addresses := make([]string, len(all))
	for i, e := range all {
		addresses[i] = e.address
	}
	return addresses
}

// Knows says whether the view has state of the replica: it is listed, or it left the
// list so recently that its state is still kept.
func (v *View) Knows(address string) bool { return v.replicas[address] != nil }
