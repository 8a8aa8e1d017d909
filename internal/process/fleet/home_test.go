package fleet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
)

// homesOf returns the number of groups by home VM and partition, in a fleet of n VMs.
func homesOf(t *testing.T, n, groups int, skip func(Member) bool) map[string]map[string]int {
	var members []Member
	for i := range n {
		members = append(members, member(100+i))
	}
	homes := map[string]map[string]int{}
	for i := range groups {
		g := turntree.GroupOf("parish", fmt.Sprint(i))
		home, ok := HomeOf(members, g, skip)
		require.True(t, ok)
		require.False(t, skip(home))
		if homes[home.VM] == nil {
			homes[home.VM] = map[string]int{}
		}
		homes[home.VM][g.Partition()]++
	}
	return homes
}

func skipNone(Member) bool { return false }

// TestHomesAreBalanced guards against a VM that is the home of far more programs than
// the others. In a large fleet it also guards against a VM whose programs are spread
// over all partitions, so that no two of them can share a transaction.
func TestHomesAreBalanced(t *testing.T) {
	for _, c := range []struct{ vms, partitionsPerVM int }{{1, 8}, {3, 8}, {10, 8}, {16, 4}, {65, 1}, {78, 1}, {300, 1}} {
		const perVM = 200
		homes := homesOf(t, c.vms, perVM*c.vms, skipNone)
		require.Len(t, homes, c.vms)
		for vm, partitions := range homes {
			require.LessOrEqual(t, len(partitions), c.partitionsPerVM, "%s of %d", vm, c.vms)
			sum := 0
			for _, n := range partitions {
				sum += n
			}
			require.InDelta(t, perVM, sum, perVM/2, "%s of %d", vm, c.vms)
		}
	}
}

// TestSkippedHomes guards against programs that have no home, or that move away from a
// responsive home, when some VMs do not answer.
func TestSkippedHomes(t *testing.T) {
	members := []Member{member(100), member(101), member(102), member(103), member(104)}
	skip := func(m Member) bool { return m.VM == "vm101" }
	for i := range 200 {
		g := turntree.GroupOf("parish", fmt.Sprint(i))
		before, _ := HomeOf(members, g, skipNone)
		after, ok := HomeOf(members, g, skip)
		require.True(t, ok)
		require.NotEqual(t, "vm101", after.VM)
		if before.VM != "vm101" {
			require.Equal(t, before, after)
		}
	}
	_, ok := HomeOf(members, turntree.GroupOf("parish", "1"), func(Member) bool { return true })
	require.False(t, ok)
	_, ok = HomeOf(nil, turntree.GroupOf("parish", "1"), skipNone)
	require.False(t, ok)
}
