package control

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/process/journal"
	"hornbeamvale.example/hornbeamvale/internal/process/member"
	"hornbeamvale.example/hornbeamvale/internal/process/ownership"
	"hornbeamvale.example/hornbeamvale/internal/process/platform/platformtest"
	"hornbeamvale.example/hornbeamvale/internal/process/program"
	"hornbeamvale.example/hornbeamvale/operator"
)

// TestReleaseEndsWithItsReplica guards against cache releases that are repeated forever
// for a replica that has left, and against a release that is abandoned while the replica
// may still exist.
func TestReleaseEndsWithItsReplica(t *testing.T) {
	now := time.Now()
	l := NewLoop(Config{
		Info: member.Info{VM: "entry-01"}, NewMemberID: func() string { return "entry-01.A" },
		Platform: platformtest.New(), LeaseTTL: 10 * time.Second, SeatTTL: time.Minute, WritesPerSecond: 300,
	})
	s := l.state
	s.joined = true
	s.leaseRenewed(now)
	s.batcher = journal.NewBatcher(journal.Config{Member: s.self, LeaseKey: member.LeaseKey(s.self)}, now)
	key := program.Key{Customer: "alice", Run: "booking:1"}
	holder := program.Holder{Endpoint: "agents", Replica: "10.0.0.9:9000"}
	s.runs.Load(key.Slot(), map[program.Key]program.Record{key: {Status: program.Ended, Holders: []program.Holder{holder}}},
		func(string) operator.Budget { return operator.Budget{} })
	s.slots.Set(key.Slot(), ownership.Owner{Member: s.self, Epoch: 1, Revision: 1})
	failed := cacheReleaseAttempted{self: s.self, release: program.CacheRelease{Key: key, Holder: holder}, err: errors.New("connection refused")}

	failed.Apply(s, now)
	require.Len(t, s.runs.DueReleases(), 1, "the VM list has not been read")
	vmsListed{}.Apply(s, now)
	failed.Apply(s, now)
	require.Empty(t, s.runs.DueReleases(), "neither the VM list nor the configuration names the replica")
}
