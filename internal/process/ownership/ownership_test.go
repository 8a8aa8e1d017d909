package ownership

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The seed is fixed so that a run can be repeated; -rapid.seed overrides it. Only 20
// cases are drawn, since each iterates over 4,096 slots many times.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "20")
}

// memberIDs returns n member ids in ascending order.
func memberIDs(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("m%03d", i)
	}
	return ids
}

// unevenMap returns a map that gives every slot an owner, with uneven weights.
func unevenMap(t *rapid.T, ids []string) *Map {
	m := &Map{}
	weights := make([]int, len(ids))
	sum := 0
	for i := range ids {
		weights[i] = rapid.SampledFrom([]int{0, 1, 1, 10, 11, 12}).Draw(t, "weight")
		sum += weights[i]
	}
	i, left := 0, 0
	for s := range Slot(SlotCount) {
		for left == 0 {
			i = (i + 1) % len(ids)
			left = weights[i]
			if sum == 0 {
				left = 1
			}
		}
		left--
		m.Set(s, Owner{Member: ids[i], Epoch: 1, Revision: 1})
	}
	return m
}

// maxSlots returns the largest number of slots that one of the members owns.
func maxSlots(m *Map, ids []string) int {
	high := 0
	for _, n := range m.slotCounts(ids) {
		high = max(high, n)
	}
	return high
}

// TestBalanceConverges guards against a fleet that never becomes balanced, and against
// slots that move more often than needed: when all members act on the same map at
// once, one round is enough and moves only the excess slots.
func TestBalanceConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := memberIDs(rapid.SampledFrom([]int{1, 2, 3, 10, 79, 300, 410}).Draw(t, "members"))
		m := unevenMap(t, ids)
		high := (SlotCount + len(ids) - 1) / len(ids)
		excess := 0
		for _, n := range m.slotCounts(ids) {
			excess += max(0, n-high)
		}
		var all []Transfer
		for _, id := range ids {
			for _, tr := range m.ExcessTransfers(id, ids) {
				require.Equal(t, id, m.Owner(tr.Slot).Member, "only the owner may hand over a slot")
				all = append(all, tr)
			}
		}
		require.Len(t, all, excess)
		for _, tr := range all {
			m.Set(tr.Slot, Owner{Member: tr.To, Epoch: 2, Revision: 2})
		}
		require.LessOrEqual(t, maxSlots(m, ids), high)
		for _, id := range ids {
			require.Empty(t, m.ExcessTransfers(id, ids), "a balanced fleet must not move slots")
		}
	})
}

// TestBalanceConvergesWithLateViews guards against handovers that never end when
// members see the changes of others late: each member acts on the map of a random
// earlier round.
func TestBalanceConvergesWithLateViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := memberIDs(rapid.IntRange(2, 14).Draw(t, "members"))
		m := unevenMap(t, ids)
		high := (SlotCount + len(ids) - 1) / len(ids)
		past := []Map{*m}
		const rounds, late = 16, 3
		for round := range uint64(rounds) {
			for _, id := range ids {
				age := rapid.IntRange(0, min(late, len(past)-1)).Draw(t, "age")
				if round > rounds/2 {
					age = 0 // in the second half, every member sees the current map
				}
				view := past[len(past)-1-age]
				for _, tr := range view.ExcessTransfers(id, ids) {
					if m.Owner(tr.Slot) != view.Owner(tr.Slot) {
						continue // the condition on the row's revision fails
					}
					m.Set(tr.Slot, Owner{Member: tr.To, Epoch: m.Owner(tr.Slot).Epoch + 1, Revision: round + 2})
				}
			}
			past = append(past, *m)
		}
		require.LessOrEqual(t, maxSlots(m, ids), high)
	})
}

// TestSpreadCoversOrphansEvenly guards against orphans that nobody or two members
// claim, and against an uneven assignment: the members' parts are disjoint, complete
// and even.
func TestSpreadCoversOrphansEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := memberIDs(rapid.IntRange(2, 40).Draw(t, "members"))
		m := unevenMap(t, ids)
		removed := rapid.IntRange(1, len(ids)-1).Draw(t, "gone")
		live := map[string]bool{}
		for _, id := range ids[removed:] {
			live[id] = true
		}
		orphans := m.Orphans(live)
		for _, s := range orphans {
			require.False(t, live[m.Owner(s).Member])
		}
		before := m.slotCounts(ids[removed:])
		transfers := m.Spread(orphans, ids[removed:])
		require.Len(t, transfers, len(orphans))
		require.Equal(t, transfers, m.Spread(orphans, ids[removed:]), "every member must compute the same transfers")
		for _, tr := range transfers {
			m.Set(tr.Slot, Owner{Member: tr.To, Epoch: 2, Revision: 2})
		}
		require.Empty(t, m.Orphans(live))
		after := m.slotCounts(ids[removed:])
		for id, n := range after {
			for other := range after {
				got := n - before[id]
				require.True(t, got == 0 || n <= after[other]+1, "%s got %d slots and has %d, %s has %d", id, got, n, other, after[other])
			}
		}
	})
}

// TestMapKeepsTheNewestRow guards against an old row that replaces a newer one when
// answers arrive out of order.
func TestMapKeepsTheNewestRow(t *testing.T) {
	m := &Map{}
	require.True(t, m.Set(3, Owner{Member: "b", Epoch: 2, Revision: 9}))
	require.False(t, m.Set(3, Owner{Member: "a", Epoch: 1, Revision: 4}))
	require.False(t, m.Set(3, Owner{Member: "b", Epoch: 2, Revision: 9}))
	require.Equal(t, "b", m.Owner(3).Member)
}

// TestSubAgentsShareTheirRootsSlot guards against sub-agents in another slot than
// their root run, whose budget they share.
func TestSubAgentsShareTheirRootsSlot(t *testing.T) {
	require.Equal(t, ProgramSlot("c", "p:1"), ProgramSlot("c", "p:1/a/b"))
	require.NotEqual(t, ProgramSlot("c", "p:1"), ProgramSlot("d", "p:1"))
}

// TestSlotKeys guards against row keys that are not parsed back to their slot, and
// against accepted keys that belong to no slot.
func TestSlotKeys(t *testing.T) {
	for s := range Slot(SlotCount) {
		parsed, ok := ParseSlot(s.Key().Key)
		require.True(t, ok)
		require.Equal(t, s, parsed)
	}
	for _, key := range []string{"", "x", "1000", "-1"} {
		_, ok := ParseSlot(key)
		require.False(t, ok, key)
	}
}
