package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/process/platform"
)

var start = time.Unix(1_000_000, 0)

const ttl = 10 * time.Second

// fleet returns the registries of all members of a fleet.
func fleet(n int) []*Registry {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("vm%03d.x", i)
	}
	registries := make([]*Registry, n)
	for i, self := range ids {
		registries[i] = NewRegistry(self)
		for _, id := range ids {
			registries[i].Set(id, Info{VM: id})
		}
	}
	return registries
}

// TestHolderStopsBeforeObserversAct guards against a holder that still acts when an
// observer regards its lease as expired. The holder must stop first for every delay
// of the renewal and of the observer's read.
func TestHolderStopsBeforeObserversAct(t *testing.T) {
	const step = 100 * time.Millisecond
	for applied := time.Duration(0); applied < 2*time.Second; applied += step {
		for read := applied; read < applied+2*time.Second; read += step {
			lease, observer := NewLease(ttl), NewObserver(ttl)
			lease.Renewed(start) // sent at start, applied later, read after that
			observer.Observe(start.Add(read), "a", 7)
			for now := start; now.Before(start.Add(3 * ttl)); now = now.Add(step) {
				require.False(t, lease.Valid(now) && observer.Expired(now, "a"))
			}
			require.True(t, observer.Expired(start.Add(3*ttl), "a"))
		}
	}
}

// TestRenewals guards against an older renewal that shortens the lease, and against
// a renewal that is counted from its answer.
func TestRenewals(t *testing.T) {
	lease := NewLease(ttl)
	require.False(t, lease.Valid(start))
	lease.Renewed(start.Add(time.Second))
	lease.Renewed(start)
	require.Equal(t, start.Add(9*time.Second), lease.ValidUntil())
	require.False(t, lease.Valid(start.Add(9*time.Second)))
	require.Less(t, 2*lease.RenewInterval(), 8*time.Second, "one lost renewal must not end the lease")
}

// TestObserverStartsAgainWithEachRenewal guards against the eviction of a member that
// renews its lease.
func TestObserverStartsAgainWithEachRenewal(t *testing.T) {
	observer := NewObserver(ttl)
	require.False(t, observer.Expired(start, "a"), "a lease that was never observed counts as expired")
	for n := range 100 {
		now := start.Add(time.Duration(n) * 11 * time.Second)
		require.False(t, observer.Expired(now, "a"))
		observer.Observe(now, "a", uint64(n+1))
	}
	observer.Forget("a")
	require.False(t, observer.Expired(start.Add(time.Hour), "a"))
}

// TestWatchersCoverEveryLease guards against leases that nobody watches, and against
// polls that grow with the fleet: each lease has 3 watchers in every poll, and each VM
// reads only a few leases.
func TestWatchersCoverEveryLease(t *testing.T) {
	for _, n := range []int{2, 16, 17, 79, 410} {
		registries := fleet(n)
		watchers, most := map[string]int{}, 0
		for _, r := range registries {
			watched := r.NextWatched()
			most = max(most, len(watched))
			require.NotContains(t, watched, r.self)
			for _, id := range watched {
				watchers[id]++
			}
		}
		for _, r := range registries {
			require.GreaterOrEqual(t, watchers[r.self], min(watchersPerLease, n-1), "watchers of %s in a fleet of %d", r.self, n)
		}
		if n == 410 {
			require.LessOrEqual(t, most, 40, "leases read in one poll")
		}
	}
}

// TestSweepReadsEveryLease guards against an expired member that nobody finds because
// its watchers have all failed: every VM reads every lease within one sweep.
func TestSweepReadsEveryLease(t *testing.T) {
	for _, n := range []int{17, 79, 410} {
		r := fleet(n)[0]
		seen := map[string]bool{}
		for range sweepPolls {
			for _, id := range r.NextWatched() {
				seen[id] = true
			}
		}
		require.Len(t, seen, n-1)
	}
}

// TestNextWatchedFollowsChangesOfMembers guards against assignments of watchers that are
// kept after a change of members.
func TestNextWatchedFollowsChangesOfMembers(t *testing.T) {
	r := fleet(40)[0]
	r.NextWatched()
	for _, id := range r.IDs()[1:] {
		r.Remove(id)
		require.NotContains(t, r.NextWatched(), id)
		fresh := NewRegistry(r.self)
		for _, other := range r.IDs() {
			fresh.Set(other, Info{})
		}
		r.sweep, fresh.sweep = 0, 0
		require.Equal(t, fresh.NextWatched(), r.NextWatched())
	}
	r.Set("new.1", Info{})
	require.Contains(t, r.NextWatched(), "new.1", "each VM of a small fleet must watch all members")
	require.True(t, slices.IsSorted(r.IDs()))
}

// TestSeatsOfEvictedMembersStayLocked guards against a seat of an evicted member that
// is given to another member while the evicted one may still use its shares.
func TestSeatsOfEvictedMembersStayLocked(t *testing.T) {
	const seatTTL = time.Minute
	seats := NewSeats(seatTTL)
	row := func(n int, s SeatRow, revision uint64) platform.Row {
		return platform.Row{Key: SeatKey(n), Value: s.Encode(), Revision: revision}
	}
	seats.Apply(start, row(0, SeatRow{Member: "a"}, 1))
	seats.Apply(start, row(1, SeatRow{Member: "b", Evicted: true}, 2))
	n, ok := seats.Free(3)
	require.True(t, ok)
	require.Equal(t, 2, n)
	_, ok = seats.Free(2)
	require.False(t, ok)
	require.Equal(t, 1, seats.Vacant(3))
	require.Empty(t, seats.Unlocked(start.Add(seatTTL)))
	require.Equal(t, []UnlockedSeat{{Seat: 1, Revision: 2}}, seats.Unlocked(start.Add(seatTTL+seatTTL/marginDivisor)))
	seats.Apply(start, platform.Row{Key: SeatKey(1), Revision: 3, Deleted: true})
	n, _ = seats.Free(2)
	require.Equal(t, 1, n)
	seats.Apply(start, platform.Row{Key: SeatKey(2), Value: []byte("?"), Revision: 4})
	require.Equal(t, 1, seats.Vacant(3), "a seat with an unreadable row counts as vacant")
}

// TestFreshness guards against a VM that admits requests under a configuration that
// it could not confirm, and against an older confirmation that replaces a newer one.
func TestFreshness(t *testing.T) {
	f := NewFreshness(3 * time.Second)
	require.True(t, f.FreshUntil().IsZero())
	f.Confirmed(start.Add(time.Second))
	f.Confirmed(start)
	require.Equal(t, start.Add(4*time.Second), f.FreshUntil())
	require.Equal(t, time.Second, f.Age(start.Add(2*time.Second)))
}

// BenchmarkNextWatched measures the selection of leases for one poll at the target fleet
// size, without and with a change of members before each poll.
func BenchmarkNextWatched(b *testing.B) {
	for _, changes := range []bool{false, true} {
		b.Run(fmt.Sprintf("changes=%t", changes), func(b *testing.B) {
			r := fleet(410)[0]
			for b.Loop() {
				if changes {
					r.Remove("vm200.x")
					r.Set("vm200.x", Info{})
				}
				r.NextWatched()
			}
		})
	}
}
