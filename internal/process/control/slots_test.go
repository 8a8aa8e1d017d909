package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/process/journal"
	"hornbeamvale.example/hornbeamvale/internal/process/ownership"
	"hornbeamvale.example/hornbeamvale/internal/process/program"
)

// TestRowsOfAnEarlierOwnershipAreNotLoaded guards against a program history that
// reverts: rows that were read for an earlier ownership of a slot are older than what
// the owner in between has written.
func TestRowsOfAnEarlierOwnershipAreNotLoaded(t *testing.T) {
	const slot = ownership.Slot(5)
	loop := NewLoop(Config{NewMemberID: func() string { return "a.1" }, WritesPerSecond: 1})
	s, now := loop.state, time.Now()
	take := func(member string, epoch, revision uint64) {
		s.setOwner(now, slot, ownership.Owner{Member: member, Epoch: epoch, Revision: revision})
	}
	loaded := func(revision uint64) slotsLoaded {
		return slotsLoaded{
			self: s.self, slots: []journal.Fence{{Slot: slot, Revision: revision}},
			records: map[ownership.Slot]map[program.Key]program.Record{slot: {}},
		}
	}
	take("a.1", 1, 10)
	take("b.1", 2, 20)
	take("a.1", 3, 30)
	loaded(10).Apply(s, now)
	require.False(t, s.runs.Loaded(slot), "rows read at epoch 1 were used at epoch 3")
	loaded(30).Apply(s, now)
	require.True(t, s.runs.Loaded(slot))
}
