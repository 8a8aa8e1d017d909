package queue

import "hornbeamvale.example/hornbeamvale/internal/version/hashing"

// Allowance returns how many calls a VM may have in flight at a replica whose
// bound for the whole fleet is maxConcurrent; part is the VM's part of it, in
// [0, 1]. Rounding down keeps the sum over all VMs within the bound. A VM with
// less than one call per replica uses a subset of the replicas, one call each,
// chosen by hash: the sum is then within the bound on average only.
func Allowance(maxConcurrent int, part float64, vm, name string) int {
	share := float64(maxConcurrent) * part
	// 1e-9 keeps 30 * 0.1 from being rounded down to 2.
	if whole := int(share + 1e-9); whole >= 1 {
		return whole
	}
	if hashing.Fraction("allowance", vm, name) < share {
		return 1
	}
	return 0
}
