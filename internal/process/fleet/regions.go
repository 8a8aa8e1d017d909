package fleet

import (
	"slices"

	"hornbeamvale.example/hornbeamvale/internal/process/replica"
	"hornbeamvale.example/hornbeamvale/internal/version/routing"
)

// inRegions returns the candidates in allowed regions. regions holds the region of each data
// centre.
func inRegions(candidates []replica.Candidate, allowed routing.AllowedRegions, regions map[string]string) []replica.Candidate {
	if !allowed.Restricted() {
		return candidates
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(c replica.Candidate) bool { return !allowed.Contains(regions[c.DataCentre]) })
}

// MembersIn returns the members in allowed regions, in the same order. The region of a VM
// whose build does not state it is not allowed where some are not.
func MembersIn(members []Member, allowed routing.AllowedRegions) []Member {
	if !allowed.Restricted() {
		return members
	}
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !allowed.Contains(m.Region) })
}
