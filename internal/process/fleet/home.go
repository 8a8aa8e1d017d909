package fleet

import (
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
	"hornbeamvale.example/hornbeamvale/internal/version/hashing"
)

// minHomesPerGroup is the minimum number of VMs per group of members, so that the
// partitions of a group still have homes when some of these VMs are lost.
const minHomesPerGroup = 4

// HomeOf returns the home of g, which is the VM that makes all changes of the group's
// turns and account. It returns false if skip returns true for every candidate. All VMs
// with the same list of members choose the same home. The members are ordered by
// address. In a large fleet they are divided into groups, each for some partitions of
// the store, so that more of the changes that a VM makes are in the same partition and
// can share a transaction.
func HomeOf(members []Member, g turntree.Group, skip func(m Member) bool) (Member, bool) {
	memberGroups := 1
	for memberGroups < turntree.PartitionCount && len(members) >= 2*memberGroups*minHomesPerGroup {
		memberGroups *= 2
	}
	var best Member
	var bestRank uint64
	for i := g.PartitionNumber() % memberGroups; i < len(members); i += memberGroups {
		rank := hashing.Sum("home", string(g), members[i].Address)
		if rank >= bestRank && !skip(members[i]) {
			best, bestRank = members[i], rank
		}
	}
	return best, best.VM != ""
}
