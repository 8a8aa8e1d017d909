package queue

import "hornbeamvale.example/hornbeamvale/internal/version/hashing"

// Allowance returns the maximum number of calls that a VM may have in flight at a
// replica. maxConcurrent is the replica's bound for the whole fleet and vmShare the
// VM's share of it, in [0, 1]. Rounding down keeps the sum over all VMs within the
// bound. A VM whose share is less than one call uses a subset of the replicas, chosen
// by hash, with one call each: the sum is then within the bound on average only.
func Allowance(maxConcurrent int, vmShare float64, vm, replica string) int {
	share := float64(maxConcurrent) * vmShare
	// Adding 1e-9 keeps 30 * 0.1 from being rounded down to 2.
	if whole := int(share + 1e-9); whole >= 1 {
		return whole
	}
	if hashing.Fraction("allowance", vm, replica) < share {
		return 1
	}
	return 0
}
