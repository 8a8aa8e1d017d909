package fleet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
)

func homesOf(t *testing.T, n, groups int, passedOver func(string) bool) map[string]map[string]int {
	var seats []Seat
	for i := range n {
		seats = append(seats, seat(100+i))
	}
	homes := map[string]map[string]int{} // groups by VM and part
	for i := range groups {
		g := turntree.GroupOf("parish", fmt.Sprint(i))
		home, ok := HomeOf(seats, g, passedOver)
		require.True(t, ok)
		require.False(t, passedOver(home.VM))
		if homes[home.VM] == nil {
			homes[home.VM] = map[string]int{}
		}
		homes[home.VM][g.Part()]++
	}
	return homes
}

func nobody(string) bool { return false }

// TestHomesShareTheWork guards against a VM that is the home of far more programs
// than the others, and in a large fleet against one whose programs are spread over
// all parts, so that none of its transactions can carry two of them.
func TestHomesShareTheWork(t *testing.T) {
	for _, c := range []struct{ vms, partsOfAVM int }{{1, 8}, {3, 8}, {10, 8}, {16, 4}, {65, 1}, {78, 1}, {300, 1}} {
		const perVM = 200
		homes := homesOf(t, c.vms, perVM*c.vms, nobody)
		require.Len(t, homes, c.vms)
		for vm, parts := range homes {
			require.LessOrEqual(t, len(parts), c.partsOfAVM, "%s of %d", vm, c.vms)
			sum := 0
			for _, n := range parts {
				sum += n
			}
			require.InDelta(t, perVM, sum, perVM/2, "%s of %d", vm, c.vms)
		}
	}
}

// TestHomeThatIsPassedOver guards against programs that have no home, or move from
// homes that work, when some VMs do not answer.
func TestHomeThatIsPassedOver(t *testing.T) {
	seats := []Seat{seat(100), seat(101), seat(102), seat(103), seat(104)}
	silent := func(vm string) bool { return vm == "vm101" }
	for i := range 200 {
		g := turntree.GroupOf("parish", fmt.Sprint(i))
		before, _ := HomeOf(seats, g, nobody)
		after, ok := HomeOf(seats, g, silent)
		require.True(t, ok)
		require.NotEqual(t, "vm101", after.VM)
		if before.VM != "vm101" {
			require.Equal(t, before, after)
		}
	}
	_, ok := HomeOf(seats, turntree.GroupOf("parish", "1"), func(string) bool { return true })
	require.False(t, ok)
	_, ok = HomeOf(nil, turntree.GroupOf("parish", "1"), nobody)
	require.False(t, ok)
}
