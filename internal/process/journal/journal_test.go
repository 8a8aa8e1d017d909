package journal_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/process/journal"
	"hornbeamvale.example/hornbeamvale/internal/process/member"
	"hornbeamvale.example/hornbeamvale/internal/process/ownership"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/platform/platformtest"
)

const (
	self      = "a-1"
	keptSlot  = ownership.Slot(7)
	otherSlot = ownership.Slot(9)
	interval  = 100 * time.Millisecond
	renew     = 3 * time.Second
	// maxAttempts bounds the attempts at one batch. No case needs more.
	maxAttempts = 8
)

// fault is the result of one platform call.
type fault int

const (
	answered fault = iota
	failed         // the call fails without an effect
	lost           // the call takes effect and its answer is lost
	delayed        // the call is not answered and takes effect in applyDelayed
)

// point is a platform call in Write at which a fault can happen or before which
// another member can change a row.
type point int

const (
	atPut point = iota
	atCommit
	atRead
	points
)

func (p point) String() string { return [...]string{"put", "commit", "read"}[p] }

// call is the n-th call of one kind, from 0.
type call struct {
	point point
	n     int
}

// client is a platform client that injects faults into single calls and runs hooks
// before them.
type client struct {
	*platformtest.Fake
	faults map[call]fault
	before map[call]func()
	seen   [points]int
	held   []func() // the delayed calls
	// applied counts the transactions that took effect, by batch sequence.
	applied map[uint64]int
}

var errInjected = errors.New("injected")

// next counts a call, runs its hook and returns its fault.
func (c *client) next(p point) fault {
	at := call{p, c.seen[p]}
	c.seen[p]++
	if hook := c.before[at]; hook != nil {
		hook()
	}
	return c.faults[at]
}

func (c *client) PutObject(ctx context.Context, key string, body []byte) error {
	put := func() error { return c.Fake.PutObject(ctx, key, body) }
	switch c.next(atPut) {
	case failed:
		return &platform.Error{Kind: platform.NotApplied, Op: "put", Err: errInjected}
	case lost:
		_ = put()
		return &platform.Error{Kind: platform.OutcomeUnknown, Op: "put", Err: errInjected}
	case delayed:
		c.held = append(c.held, func() { _ = put() })
		return &platform.Error{Kind: platform.OutcomeUnknown, Op: "put", Err: errInjected}
	}
	return put()
}

func (c *client) Commit(ctx context.Context, tx platform.Tx) (platform.TxResult, error) {
	commit := func() (platform.TxResult, error) {
		result, err := c.Fake.Commit(ctx, tx)
		if err == nil && result.Committed {
			lease, decodeErr := member.DecodeLease(platform.Row{Value: tx.Writes[0].Value})
			if decodeErr == nil {
				c.applied[lease.Sequence]++
			}
		}
		return result, err
	}
	unknown := &platform.Error{Kind: platform.OutcomeUnknown, Op: "commit", Err: errInjected}
	switch c.next(atCommit) {
	case failed:
		return platform.TxResult{}, &platform.Error{Kind: platform.NotApplied, Op: "commit", Err: errInjected}
	case lost:
		_, _ = commit()
		return platform.TxResult{}, unknown
	case delayed:
		c.held = append(c.held, func() { _, _ = commit() })
		return platform.TxResult{}, unknown
	}
	return commit()
}

func (c *client) Read(ctx context.Context, r platform.Read) (platform.ReadResult, error) {
	if c.next(atRead) != answered {
		return platform.ReadResult{}, &platform.Error{Kind: platform.NotApplied, Op: "read", Err: errInjected}
	}
	return c.Fake.Read(ctx, r)
}

// applyDelayed makes the delayed calls take effect.
func (c *client) applyDelayed() {
	held := c.held
	c.held = nil
	for _, f := range held {
		f()
	}
}

// fixture is a member that owns two slots, with its batcher.
type fixture struct {
	t       *testing.T
	now     time.Time
	client  *client
	batcher *journal.Batcher
	fences  map[ownership.Slot]uint64
	done    map[string]error // results of the records, by name
	// lostLease means that the lease is lost and the batcher is closed.
	lostLease bool
	// renewedFrom holds the time from which each renewal of the lease counts.
	renewedFrom []time.Time
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{
		t: t, now: time.Unix(1000, 0), fences: map[ownership.Slot]uint64{}, done: map[string]error{},
		client: &client{Fake: platformtest.New(), faults: map[call]fault{}, before: map[call]func(){}, applied: map[uint64]int{}},
	}
	lease := f.write(platform.Write{Key: member.LeaseKey(self), Value: member.LeaseRow{}.Encode()})
	for _, s := range []ownership.Slot{keptSlot, otherSlot} {
		f.fences[s] = f.write(platform.Write{Key: s.Key(), Value: ownership.Owner{Member: self, Epoch: 1}.Encode()})
	}
	f.batcher = journal.NewBatcher(journal.Config{
		Member: self, Interval: interval, RenewInterval: renew, LeaseKey: member.LeaseKey(self), LeaseRevision: lease,
		LeaseRow: func(sequence uint64) []byte { return member.LeaseRow{Sequence: sequence}.Encode() },
	}, f.now)
	return f
}

// write commits one row as another member would and returns its revision.
func (f *fixture) write(w platform.Write) uint64 {
	result, err := f.client.Fake.Commit(context.Background(), platform.Tx{Writes: []platform.Write{w}})
	require.NoError(f.t, err)
	return result.Revision
}

func rowKey(name string) platform.Key { return platform.Key{Table: "programs", Key: name} }

// add adds a record whose row holds the location of its body.
func (f *fixture) add(slot ownership.Slot, name string) {
	f.batcher.Add(journal.Record{
		Slot: slot, SlotRevision: f.fences[slot], Body: []byte("body of " + name),
		Writes: func(ref journal.BodyRef) []platform.Write {
			return []platform.Write{{Key: rowKey(name), Value: fmt.Appendf(nil, "%s %d %d", ref.Object, ref.Offset, ref.Length)}}
		},
		Done: func(_ time.Time, err error) {
			_, twice := f.done[name]
			require.False(f.t, twice, "Done was called twice for record %s", name)
			f.done[name] = err
		},
	})
}

// flush writes until no record waits, as the control loop does.
func (f *fixture) flush() {
	for range maxAttempts {
		if f.batcher.Idle() || f.lostLease {
			return
		}
		f.attempt()
	}
	require.True(f.t, f.batcher.Idle(), "records still wait after %d attempts", maxAttempts)
}

// attempt writes the batch that is due and applies the outcome to the batcher.
func (f *fixture) attempt() {
	f.now = f.now.Add(interval)
	batch := f.batcher.Take(f.now)
	require.NotNil(f.t, batch)
	o := journal.Write(context.Background(), f.client, batch)
	switch {
	case o.Committed:
		f.renewedFrom = append(f.renewedFrom, o.SentAt)
		f.batcher.Committed(f.now, o.LeaseRevision)
	case o.LeaseLost:
		f.lostLease = true
		f.batcher.Close(f.now)
	case len(o.Fenced) > 0:
		f.batcher.Fenced(f.now, o.Fenced)
	default:
		f.batcher.Retry(f.now)
	}
}

// requireRow checks that the row of a record exists and points to its body.
func (f *fixture) requireRow(name string) {
	read, err := f.client.Fake.Read(context.Background(), platform.Read{Gets: []platform.Key{rowKey(name)}})
	require.NoError(f.t, err)
	require.NotZero(f.t, read.Rows[0].Revision, "record %s was reported committed but has no row", name)
	var ref journal.BodyRef
	_, err = fmt.Sscanf(string(read.Rows[0].Value), "%s %d %d", &ref.Object, &ref.Offset, &ref.Length)
	require.NoError(f.t, err)
	object, err := f.client.GetObject(context.Background(), ref.Object)
	require.NoError(f.t, err)
	require.Equal(f.t, "body of "+name, string(object[ref.Offset:ref.Offset+ref.Length]))
}

// requireNoRow checks that a dropped record has no row.
func (f *fixture) requireNoRow(name string) {
	read, err := f.client.Fake.Read(context.Background(), platform.Read{Gets: []platform.Key{rowKey(name)}})
	require.NoError(f.t, err)
	require.Zero(f.t, read.Rows[0].Revision, "record %s was dropped but has a row", name)
}

// eachFault runs the test for each combination of faults in the first two attempts
// at a batch and for each moment at which delayed calls take effect.
func eachFault(t *testing.T, run func(t *testing.T, f *fixture)) {
	moments := []call{{atPut, 1}, {atCommit, 1}, {atRead, 0}, {atRead, 1}, {atPut, 2}, {atPut, 99}}
	var faults [2 * int(points)]fault
	limits := [points]fault{atPut: delayed, atCommit: delayed, atRead: failed}
	var combine func(i int)
	combine = func(i int) {
		if i < len(faults) {
			for faults[i] = answered; faults[i] <= limits[i%int(points)]; faults[i]++ {
				combine(i + 1)
			}
			return
		}
		times := moments
		if !slices.Contains(faults[:], delayed) {
			times = moments[:1] // no call is delayed
		}
		for _, moment := range times {
			f := newFixture(t)
			for j, fa := range faults {
				f.client.faults[call{point(j % int(points)), j / int(points)}] = fa
			}
			f.client.before[moment] = f.client.applyDelayed
			run(t, f)
			if t.Failed() {
				t.Fatalf("failed with the faults %v (put, commit, read in two attempts); delayed calls took effect before %v %d", faults, moment.point, moment.n)
			}
		}
	}
	combine(0)
}

// TestBatchIsAppliedOnce guards against a batch that is lost, applied twice, or
// reported as dropped although it took effect, whichever answers are lost or late.
func TestBatchIsAppliedOnce(t *testing.T) {
	t.Parallel()
	eachFault(t, func(t *testing.T, f *fixture) {
		f.add(keptSlot, "first")
		f.add(otherSlot, "second")
		f.flush()
		require.False(t, f.lostLease, "the lease was reported lost although its row exists")
		f.add(keptSlot, "third")
		f.flush()
		f.client.applyDelayed() // an attempt that takes effect after its repeat
		for _, name := range []string{"first", "second", "third"} {
			require.Contains(t, f.done, name)
			require.NoError(t, f.done[name])
			f.requireRow(name)
		}
		require.Equal(t, map[uint64]int{1: 1, 2: 1}, f.client.applied)
	})
}

// TestOnlyRecordsOfFencedSlotAreDropped guards against a record of a former owner
// that is committed, and against records of other slots that are dropped with it.
// The owner of the slot changes before each call of each attempt in turn.
func TestOnlyRecordsOfFencedSlotAreDropped(t *testing.T) {
	for _, at := range []call{{atPut, 0}, {atCommit, 0}, {atRead, 0}, {atPut, 1}, {atCommit, 1}, {atRead, 1}, {atPut, 2}} {
		t.Run(fmt.Sprintf("%v_%d", at.point, at.n), func(t *testing.T) {
			t.Parallel()
			eachFault(t, func(t *testing.T, f *fixture) {
				hook := f.client.before[at]
				fenced := false
				f.client.before[at] = func() {
					fenced = true
					f.write(platform.Write{Key: otherSlot.Key(), Value: ownership.Owner{Member: "b-1", Epoch: 2}.Encode()})
					if hook != nil {
						hook()
					}
				}
				f.add(keptSlot, "kept")
				f.add(otherSlot, "dropped")
				f.add(keptSlot, "also kept")
				f.flush()
				f.client.applyDelayed()
				require.False(t, f.lostLease)
				for _, name := range []string{"kept", "also kept"} {
					require.NoError(t, f.done[name])
					f.requireRow(name)
				}
				require.Contains(t, f.done, "dropped")
				if err := f.done["dropped"]; err != nil {
					var je *journal.Error
					require.ErrorAs(t, err, &je)
					require.True(t, je.Fenced)
					require.True(t, fenced)
					f.requireNoRow("dropped")
				} else {
					f.requireRow("dropped") // committed before the change of owner
				}
				require.Equal(t, map[uint64]int{1: 1}, f.client.applied)
			})
		})
	}
}

// TestLostLeaseDropsAll guards against a member that continues to write after its
// eviction: all records that were not committed before are dropped, and none of them
// takes effect afterwards.
func TestLostLeaseDropsAll(t *testing.T) {
	for _, at := range []call{{atPut, 0}, {atCommit, 0}, {atRead, 0}, {atPut, 1}, {atCommit, 1}, {atRead, 1}} {
		t.Run(fmt.Sprintf("%v_%d", at.point, at.n), func(t *testing.T) {
			t.Parallel()
			eachFault(t, func(t *testing.T, f *fixture) {
				hook := f.client.before[at]
				applied := -1
				f.client.before[at] = func() {
					f.write(platform.Write{Key: member.LeaseKey(self), Delete: true})
					applied = f.client.applied[1]
					if hook != nil {
						hook()
					}
				}
				f.add(keptSlot, "first")
				f.add(otherSlot, "second")
				f.flush()
				f.client.applyDelayed()
				if applied < 0 {
					return // the batch was committed before the eviction
				}
				require.Equal(t, applied, f.client.applied[1], "a transaction took effect after the eviction")
				for _, name := range []string{"first", "second"} {
					require.Contains(t, f.done, name)
					if f.done[name] == nil {
						f.requireRow(name)
						continue
					}
					var je *journal.Error
					require.ErrorAs(t, f.done[name], &je)
					require.True(t, je.LeaseLost)
				}
			})
		})
	}
}

// TestDue guards against one transaction per record, and against a transaction that
// waits although the journal was idle.
func TestDue(t *testing.T) {
	f := newFixture(t)
	start := f.now
	require.Equal(t, start.Add(renew), f.batcher.Due(), "a renewal must be due even if no record waits")
	f.add(keptSlot, "first")
	require.Equal(t, start.Add(interval), f.batcher.Due())
	f.now = start.Add(10 * interval)
	batch := f.batcher.Take(f.now)
	require.NotNil(t, batch, "an idle journal must write at once")
	f.add(keptSlot, "second")
	require.Zero(t, f.batcher.Due(), "only one transaction may be in flight")
	f.batcher.Retry(f.now.Add(time.Second))
	require.Nil(t, f.batcher.Take(f.now))
	again := f.batcher.Take(f.now.Add(time.Second))
	require.Same(t, batch, again, "a repeat must be the same transaction")
	require.True(t, f.batcher.Holds(keptSlot))
	require.False(t, f.batcher.Holds(otherSlot))
	require.False(t, f.batcher.Idle())
}

// TestPendingBytesAreBounded guards against unbounded memory while the platform is
// down: no new turn may start above half of the bound, and a turn in flight must
// still be able to end.
func TestPendingBytesAreBounded(t *testing.T) {
	f := newFixture(t)
	half := journal.MaxPendingBytes / 2
	f.batcher.Add(journal.Record{Slot: keptSlot, SlotRevision: f.fences[keptSlot], Body: make([]byte, half)})
	require.False(t, f.batcher.Full())
	require.True(t, f.batcher.Fits(half))
	f.batcher.Add(journal.Record{Slot: keptSlot, SlotRevision: f.fences[keptSlot], Body: []byte("x")})
	require.True(t, f.batcher.Full())
	require.False(t, f.batcher.Fits(half))
}

// TestOnlyRecordsOfFormerOwnershipAreDropped guards against dropping new records of a
// slot that the member owns again while a record of its former ownership still waits.
func TestOnlyRecordsOfFormerOwnershipAreDropped(t *testing.T) {
	f := newFixture(t)
	f.add(otherSlot, "old")
	f.write(platform.Write{Key: otherSlot.Key(), Value: ownership.Owner{Member: "b-1", Epoch: 2}.Encode()})
	f.fences[otherSlot] = f.write(platform.Write{Key: otherSlot.Key(), Value: ownership.Owner{Member: self, Epoch: 3}.Encode()})
	f.add(otherSlot, "new")
	f.flush()
	require.Error(t, f.done["old"])
	f.requireNoRow("old")
	require.NoError(t, f.done["new"])
	f.requireRow("new")
}

// TestResolvedBatchRenewsFromItsFirstAttempt guards against a lease that expires
// although every renewal takes effect and only the answers are lost, and against a
// renewal that is counted from a later attempt than the one that took effect.
func TestResolvedBatchRenewsFromItsFirstAttempt(t *testing.T) {
	f := newFixture(t)
	f.client.faults[call{atCommit, 0}] = lost
	f.client.faults[call{atRead, 0}] = failed
	f.add(keptSlot, "first")
	first := f.now.Add(interval)
	f.flush()
	require.NoError(t, f.done["first"])
	require.Equal(t, []time.Time{first}, f.renewedFrom)
}
