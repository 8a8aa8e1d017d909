package routing

import "slices"

// AllowedRegions are the regions to which a request may go. The zero value allows all.
type AllowedRegions struct {
	regions    []string
	restricted bool
}

// AllowOnly returns the given regions as the only ones that are allowed.
func AllowOnly(regions ...string) AllowedRegions { return AllowedRegions{regions, true} }

// Restricted reports whether some regions are not allowed.
func (a AllowedRegions) Restricted() bool { return a.restricted }

// None reports whether no region is allowed.
func (a AllowedRegions) None() bool { return a.restricted && len(a.regions) == 0 }

// Contains reports whether a region is allowed. A region that is not known is empty; it is
// allowed only if all are.
func (a AllowedRegions) Contains(region string) bool {
	return !a.restricted || region != "" && slices.Contains(a.regions, region)
}

// AllowsVM reports whether a VM in a region may get the request from the VM of the region
// own, to which the caller connected.
func (a AllowedRegions) AllowsVM(region, own string) bool {
	return a.Contains(region) || region != "" && region == own
}
