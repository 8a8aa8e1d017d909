package fleet

import (
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
	"hornbeamvale.example/hornbeamvale/internal/version/hashing"
)

// homesPerDivision is the least number of VMs that are homes of a part of the store,
// so that the loss of some does not leave a part to changing VMs.
const homesPerDivision = 4

// HomeOf returns the VM that makes the changes of a group, or false if all that may
// are passed over. All VMs with the same seats choose the same. The seats are ordered
// by address. The VMs of a large fleet are divided among the parts of the store, so
// that more of a VM's changes are of one part and share a transaction.
func HomeOf(seats []Seat, g turntree.Group, passedOver func(vm string) bool) (Seat, bool) {
	divisions := 1
	for divisions < turntree.PartCount && len(seats) >= 2*divisions*homesPerDivision {
		divisions *= 2
	}
	var best Seat
	var most uint64
	for i := g.PartNumber() % divisions; i < len(seats); i += divisions {
		rank := hashing.Sum("home", string(g), seats[i].Address)
		if rank >= most && !passedOver(seats[i].VM) {
			best, most = seats[i], rank
		}
	}
	return best, best.VM != ""
}
