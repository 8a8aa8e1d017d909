package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/process/decisionlog"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/replica"
	"hornbeamvale.example/hornbeamvale/internal/version/routing"
	"hornbeamvale.example/hornbeamvale/operator"
)

var start = time.Unix(1_000_000, 0)

type noPeers struct{}

func (noPeers) Borrow(context.Context, Seat, string, LoanRequest) (float64, error) { return 0, nil }

type firstPicker struct{}

func (firstPicker) Pick(_ PickRequest, cs []replica.Candidate) (replica.Candidate, bool) {
	for _, c := range cs {
		if !c.Leaving {
			return c, true
		}
	}
	return replica.Candidate{}, false
}

// deletions is a store that keeps the keys of deleted rows.
type deletions struct {
	platform.PartedStore
	keys chan string
}

func (d deletions) Transact(_ context.Context, tx platform.PartedTx) (platform.PartedResult, error) {
	for _, w := range tx.Writes {
		if w.Delete {
			d.keys <- w.Key.Key
		}
	}
	return platform.PartedResult{Committed: true}, nil
}

// fixture is the control state of one VM; the test applies events to it.
type fixture struct {
	*State
	down    bool
	deleted chan string
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{deleted: make(chan string, 100)}
	l := NewLoop(Config{
		Store: deletions{keys: f.deleted},
		Self:  seat(0), Picker: firstPicker{}, Peers: noPeers{},
		StoreDown: func() bool { return f.down }, Log: decisionlog.New(func(string, ...any) {}),
	})
	ctx, cancel := context.WithCancel(context.Background())
	l.ctx = ctx
	t.Cleanup(func() { cancel(); l.jobs.Wait() })
	f.State = newState(l.config, l)
	return f
}

func seat(i int) Seat { return Seat{VM: fmt.Sprint("vm", i), Address: fmt.Sprintf("10.0.0.%d:1", i)} }

// read is a read of n seats with the given revision, of which the last silent ones
// have revision 1.
func read(n, silent int, revision uint64, renewed time.Time) seatsRead {
	e := seatsRead{heldBefore: true, renewed: renewed}
	for i := range n {
		s := seatState{Seat: seat(i), revision: revision}
		if i >= n-silent {
			s.revision = 1
		}
		e.seats = append(e.seats, s)
	}
	return e
}

func table(t *testing.T, number uint64, rate float64) *routing.Table {
	c := operator.Customer{Name: "parish", Rate: rate, Burst: rate, Endpoints: []string{"*"}, Programs: []string{"*"}}
	got, err := routing.Compile(routing.Document{Number: number, Customers: []operator.Customer{c}})
	require.NoError(t, err)
	return got
}

func (f *fixture) take(now time.Time) bool {
	reply := make(chan Taken, 1)
	Take{Customer: "parish", Deadline: now, Reply: reply}.Apply(f.State, now)
	f.Step(now.Add(time.Millisecond))
	return (<-reply).OK
}

// TestSeatIsUsedAfterAnOutage guards against a fleet that refuses everything for
// seconds after the store is back: each VM thought that its seat had lapsed.
func TestSeatIsUsedAfterAnOutage(t *testing.T) {
	f := newFixture(t)
	configurationRead{table: table(t, 1, 1000), at: start}.Apply(f.State, start)
	read(2, 0, 1, start).Apply(f.State, start)
	f.Step(start)
	now := start.Add(time.Second)
	require.True(t, f.take(now))
	f.down = true
	for range 15 {
		now = now.Add(time.Second)
		f.Step(now)
	}
	require.True(t, f.take(now), "the rate is not used while the store is down for all")
	f.down = false
	now = now.Add(100 * time.Millisecond)
	f.Step(now)
	require.True(t, f.take(now), "the seat lapsed at the end of the outage")
}

// TestIsolatedSeatIsNotUsed guards against a rate that is spent twice: the others
// drop a silent seat after ten seconds and divide its part among them.
func TestIsolatedSeatIsNotUsed(t *testing.T) {
	f := newFixture(t)
	configurationRead{table: table(t, 1, 1000), at: start}.Apply(f.State, start)
	read(2, 0, 1, start).Apply(f.State, start)
	f.Step(start)
	require.True(t, f.take(start.Add(seatUse-time.Second)))
	f.Step(start.Add(seatUse + time.Second))
	for f.take(start.Add(seatUse + 2*time.Second)) { // what the bucket held
		continue
	}
	require.False(t, f.take(start.Add(seatUse+2900*time.Millisecond)))
	require.False(t, f.loop.Snapshot().Seated)
	// Back in touch, it waits until the others have seen the seat again.
	back := start.Add(seatUse + 10*time.Second)
	read(2, 0, 2, back).Apply(f.State, back)
	f.Step(back)
	require.False(t, f.loop.Snapshot().Seated)
	f.Step(back.Add(joinWait))
	require.True(t, f.loop.Snapshot().Seated)
}

// TestSilentSeatIsDropped guards against the part of a VM that is gone for good, and
// against an outage that counts as silence of all others.
func TestSilentSeatIsDropped(t *testing.T) {
	f := newFixture(t)
	now := start
	read(3, 1, 1, now).Apply(f.State, now)
	for revision := uint64(2); revision < 4; revision++ {
		now = now.Add(seatPoll)
		read(3, 1, revision, now).Apply(f.State, now)
		require.Equal(t, 3, f.seats.count())
	}
	now = now.Add(time.Minute) // nothing can be read
	read(3, 1, 4, now).Apply(f.State, now)
	require.Equal(t, 3, f.seats.count(), "an outage counted as silence")
	for revision := uint64(5); revision < 10; revision++ {
		now = now.Add(seatPoll)
		read(3, 1, revision, now).Apply(f.State, now)
	}
	require.Equal(t, 2, f.seats.count())
	now = now.Add(seatPoll)
	read(3, 0, 20, now).Apply(f.State, now)
	require.Equal(t, 3, f.seats.count(), "a VM that is back has no seat")
}

// TestConfigurationNeverGoesBack guards against a late answer of an earlier read.
func TestConfigurationNeverGoesBack(t *testing.T) {
	f := newFixture(t)
	for _, c := range []struct{ read, want uint64 }{{4, 4}, {9, 9}, {7, 9}, {10, 10}} {
		configurationRead{table: table(t, c.read, 5), at: start}.Apply(f.State, start)
		require.Equal(t, c.want, f.table.Number)
	}
}

// TestReplicaLists guards against a replica that is used after it has gone, and
// against one that is given up because its listing lapsed while the store was away.
func TestReplicaLists(t *testing.T) {
	f := newFixture(t)
	a := replica.Registration{ID: "a", Address: "1", Endpoint: "e", Slots: 1}
	pick := func(now time.Time) bool {
		reply := make(chan Picked, 1)
		Pick{Request: PickRequest{Endpoint: "e"}, Reply: reply}.Apply(f.State, now)
		got := <-reply
		if got.OK {
			End{Replica: got.Replica.Replica}.Apply(f.State, now)
		}
		return got.OK
	}
	replicasRead{whole: true, listed: []replica.Registration{a}}.Apply(f.State, start)
	require.True(t, pick(start))
	replicasRead{removed: []string{"a"}}.Apply(f.State, start)
	require.False(t, pick(start))

	replicasRead{listed: []replica.Registration{a}}.Apply(f.State, start)
	replicasRead{whole: true, absentAt: start.Add(listingGrace)}.Apply(f.State, start)
	require.True(t, pick(start))
	f.Step(start.Add(listingGrace))
	require.False(t, pick(start.Add(listingGrace)))

	leaving := a
	leaving.Leaving = true
	replicasRead{listed: []replica.Registration{leaving}}.Apply(f.State, start)
	require.False(t, pick(start))
	again := a
	again.StartedMS = 5
	replicasRead{listed: []replica.Registration{again}}.Apply(f.State, start)
	require.True(t, pick(start))
}

// TestWaitingRequestsAreAnswered guards against a request that waits for its
// customer's rate and gets no answer when the customer goes or time passes.
func TestWaitingRequestsAreAnswered(t *testing.T) {
	f := newFixture(t)
	configurationRead{table: table(t, 1, 1), at: start}.Apply(f.State, start)
	read(1, 0, 1, start).Apply(f.State, start)
	f.Step(start)
	reply := make(chan Taken, 3)
	for range 3 {
		Take{Customer: "parish", Reply: reply}.Apply(f.State, start)
	}
	f.Step(start.Add(rateWait))
	require.Len(t, reply, 3)
	for range 3 {
		got := <-reply
		require.False(t, got.OK)
		require.Positive(t, got.RetryAfter)
	}
	Take{Customer: "parish", Reply: reply}.Apply(f.State, start)
	empty, err := routing.Compile(routing.Document{Number: 2})
	require.NoError(t, err)
	configurationRead{table: empty, at: start}.Apply(f.State, start)
	require.False(t, (<-reply).OK)
	Take{Customer: "parish", Reply: reply}.Apply(f.State, start)
	require.True(t, (<-reply).OK, "admission decides on a customer that is gone")
}

// TestSmallRateHasFewParts guards against a rate that is divided so far that no VM
// ever holds a token: with 65 VMs most of a small customer's rate was refused.
func TestSmallRateHasFewParts(t *testing.T) {
	f := newFixture(t)
	read(65, 0, 1, start).Apply(f.State, start)
	small, large := f.seats.holders("parish", 10), f.seats.holders("parish", 160)
	require.Len(t, small, minHolders)
	require.Len(t, large, 20)
	require.Equal(t, small, large[:minHolders], "a change of the rate moves all parts")
	// A VM that goes changes the parts that it held only.
	e := read(65, 0, 2, start)
	e.seats = e.seats[:64]
	e.Apply(f.State, start)
	kept := 0
	for _, s := range f.seats.holders("parish", 160) {
		for _, before := range large {
			if s.Address == before.Address {
				kept++
			}
		}
	}
	require.GreaterOrEqual(t, kept, 19)
}

// TestPartOfAnotherVMIsUsedLater guards against a rate that is spent twice while the
// view of the seats changes.
func TestPartOfAnotherVMIsUsedLater(t *testing.T) {
	f := newFixture(t)
	now := start
	configurationRead{table: table(t, 1, 10), at: now}.Apply(f.State, now)
	e := read(8, 0, 1, now)
	e.Apply(f.State, now)
	f.Step(now)
	// Take away holders until this VM becomes one.
	for len(e.seats) > 1 && !f.rates["parish"].holds {
		holder := f.rates["parish"].holders[0]
		var left []seatState
		for _, s := range e.seats {
			if s.Address != holder.Address {
				left = append(left, s)
			}
		}
		e.seats = left
		now = now.Add(time.Second)
		e.renewed = now
		e.Apply(f.State, now)
	}
	require.True(t, f.rates["parish"].holds)
	require.False(t, f.rates["parish"].fillFrom.IsZero(), "this VM held a part from the start")
	f.Step(now.Add(joinWait - time.Second))
	require.Zero(t, f.rates["parish"].bucket.Rate())
	f.Step(now.Add(joinWait))
	require.Positive(t, f.rates["parish"].bucket.Rate())
}

// TestRowOfASilentSeatIsDeleted guards against a VM that is gone for good and counts
// again for 10 s at each VM that starts, as a holder of rates and as a home.
func TestRowOfASilentSeatIsDeleted(t *testing.T) {
	f := newFixture(t)
	for s := time.Duration(0); s <= 18*time.Second; s += seatPoll {
		now := start.Add(s)
		read(3, 1, uint64(s)+2, now).Apply(f.State, now)
		f.Step(now)
		if s < seatTTL {
			require.Equal(t, 3, f.seats.count())
		}
	}
	require.Equal(t, 2, f.seats.count())
	select {
	case key := <-f.deleted:
		require.Equal(t, seat(2).Address, key)
	case <-time.After(5 * time.Second):
		t.Fatal("the row stays")
	}
}
