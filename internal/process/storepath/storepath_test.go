package storepath

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/process/platform"
)

// fakeStore counts calls and fails them with err while it is set.
type fakeStore struct {
	err   atomic.Pointer[platform.Error]
	calls atomic.Int64
}

func (s *fakeStore) result() error {
	s.calls.Add(1)
	if e := s.err.Load(); e != nil {
		return e
	}
	return nil
}

func (s *fakeStore) Transact(context.Context, platform.PartedTx) (platform.PartedResult, error) {
	err := s.result()
	return platform.PartedResult{Committed: err == nil}, err
}

func (s *fakeStore) Range(context.Context, platform.RangeQuery) (platform.Page, error) {
	return platform.Page{Revision: 1}, s.result()
}

func (s *fakeStore) Changes(context.Context, string, uint64, time.Duration) (platform.Page, error) {
	return platform.Page{Revision: 1}, s.result()
}

var refused = &platform.Error{Kind: platform.NotApplied, Op: "call", Err: errors.New("status 503")}

// remote is a helper on the path of another VM; unreachable ones return an error.
type remote struct {
	path        *Path
	unreachable bool
}

func (r remote) VM() string { return fmt.Sprintf("%p", r.path) }

func (r remote) Make(ctx context.Context, c Call) (Reply, error) {
	if r.unreachable {
		return Reply{}, errNoRoute{}
	}
	return r.path.Serve(ctx, c), nil
}

// errNoRoute is a failed dial: nothing was sent.
type errNoRoute struct{}

func (errNoRoute) Error() string { return "no route to host" }
func (errNoRoute) NotSent() bool { return true }

// newPath returns a path with the given helpers and its store.
func newPath(helpers ...Helper) (*Path, *fakeStore) {
	s := &fakeStore{}
	return New(s, func() []Helper { return helpers }, func(State) {}), s
}

// TestCallsReachTheStoreThroughAnyHelper guards against a VM that gives up although
// one of the others reaches the store: with four of ten VMs turned away, a fixed
// number of three questions failed for each ninth call.
func TestCallsReachTheStoreThroughAnyHelper(t *testing.T) {
	var helpers []Helper
	for range 6 {
		p, s := newPath()
		s.err.Store(refused)
		helpers = append(helpers, remote{path: p})
	}
	good, goodStore := newPath()
	helpers = append(helpers, remote{unreachable: true}, remote{path: good})
	p, s := newPath(helpers...)
	s.err.Store(refused)
	for range 40 {
		result, err := p.Transact(t.Context(), platform.PartedTx{})
		require.NoError(t, err)
		require.True(t, result.Committed)
		require.Equal(t, Detour, p.State())
	}
	require.EqualValues(t, 40, goodStore.calls.Load())
	require.EqualValues(t, 1, s.calls.Load(), "the failing way was tried again for each call")
}

// TestUnknownOutcomeIsNotRepeated guards against a transaction that is made twice:
// the first one may have been applied although its answer was lost.
func TestUnknownOutcomeIsNotRepeated(t *testing.T) {
	good, goodStore := newPath()
	p, s := newPath(remote{path: good})
	s.err.Store(&platform.Error{Kind: platform.OutcomeUnknown, Op: "transact", Err: context.DeadlineExceeded})
	_, err := p.Transact(t.Context(), platform.PartedTx{})
	var pe *platform.Error
	require.ErrorAs(t, err, &pe)
	require.Equal(t, platform.OutcomeUnknown, pe.Kind)
	require.Zero(t, goodStore.calls.Load())
}

// TestStateTellsAnOutageFromIsolation guards against a VM that keeps its callers
// although only this VM is cut off.
func TestStateTellsAnOutageFromIsolation(t *testing.T) {
	other, otherStore := newPath()
	otherStore.err.Store(refused)
	p, s := newPath(remote{path: other})
	s.err.Store(refused)
	_, err := p.Range(t.Context(), platform.RangeQuery{})
	require.Error(t, err)
	require.Equal(t, Down, p.State())

	alone, aloneStore := newPath(remote{unreachable: true})
	aloneStore.err.Store(refused)
	_, err = alone.Range(t.Context(), platform.RangeQuery{})
	require.Error(t, err)
	require.Equal(t, Isolated, alone.State())
}

// TestDirectWayIsTakenAgain guards against a VM that keeps using others after the
// store is back.
func TestDirectWayIsTakenAgain(t *testing.T) {
	p, s := newPath()
	s.err.Store(refused)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); p.Run(ctx, platform.RangeQuery{}) }()
	_, err := p.Range(ctx, platform.RangeQuery{})
	require.Error(t, err)
	s.err.Store(nil)
	require.Eventually(t, func() bool { return p.State() == Direct }, 5*time.Second, 5*time.Millisecond)
	cancel()
	<-done
}

// TestLateFailureDoesNotUndoTheDirectWay guards against a path that stays away from
// a store that is back: a call through other VMs that began in the outage ended
// after the probe had succeeded, and no further probe was made.
func TestLateFailureDoesNotUndoTheDirectWay(t *testing.T) {
	helping := make(chan struct{})
	release := make(chan struct{})
	p, s := newPath(helperFunc(func() (Reply, error) {
		close(helping)
		<-release
		return Reply{}, errNoRoute{}
	}))
	s.err.Store(refused)
	ctx, cancel := context.WithCancel(t.Context())
	ran := make(chan struct{})
	go func() { defer close(ran); p.Run(ctx, platform.RangeQuery{}) }()
	called := make(chan struct{})
	go func() {
		defer close(called)
		_, err := p.Range(ctx, platform.RangeQuery{})
		require.Error(t, err)
	}()
	<-helping
	s.err.Store(nil)
	require.Eventually(t, func() bool { return p.State() == Direct }, 5*time.Second, 5*time.Millisecond)
	close(release)
	<-called
	require.Equal(t, Direct, p.State())
	cancel()
	<-ran
}

type helperFunc func() (Reply, error)

func (f helperFunc) VM() string { return "vm" }

func (f helperFunc) Make(context.Context, Call) (Reply, error) { return f() }

// TestOverloadIsNotMultiplied guards against a call beyond the store's rate that is
// made again at every other VM: with 65 VMs the calls of a busy second rose to ten
// times the rate, and none got through.
func TestOverloadIsNotMultiplied(t *testing.T) {
	shared := &fakeStore{}
	shared.err.Store(&platform.Error{Kind: platform.Overloaded, Op: "call", Err: errors.New("status 429")})
	var helpers []Helper
	for range 30 {
		helpers = append(helpers, remote{path: New(shared, func() []Helper { return nil }, func(State) {})})
	}
	p := New(shared, func() []Helper { return helpers }, func(State) {})
	for range 5 {
		_, err := p.Transact(t.Context(), platform.PartedTx{})
		require.Equal(t, platform.Overloaded, platform.KindOf(err))
	}
	require.Equal(t, Direct, p.State(), "the store answers")
	require.LessOrEqual(t, shared.calls.Load(), int64(10))
}

// TestVMThatIsTurnedAwayByItsRate guards against a VM whose calls the store refuses
// as too many, while it serves the other VMs: it must not wait for the store.
func TestVMThatIsTurnedAwayByItsRate(t *testing.T) {
	good, goodStore := newPath()
	p, s := newPath(remote{path: good})
	s.err.Store(&platform.Error{Kind: platform.Overloaded, Op: "call", Err: errors.New("status 429")})
	for range 10 {
		_, err := p.Transact(t.Context(), platform.PartedTx{})
		require.NoError(t, err)
	}
	require.Equal(t, Detour, p.State())
	require.EqualValues(t, overloadCount, s.calls.Load())
	require.EqualValues(t, 10, goodStore.calls.Load())
}

// TestOutageAsksEachVMSeldom guards against an outage in which each call of each VM
// asks all others: with 65 VMs that is thousands of messages for each call.
func TestOutageAsksEachVMSeldom(t *testing.T) {
	var asked atomic.Int64
	var helpers []Helper
	for i := range 30 {
		helpers = append(helpers, named{strconv.Itoa(i), func(context.Context) (Reply, error) {
			asked.Add(1)
			return Reply{Failed: platform.NotApplied, Reason: "down"}, nil
		}})
	}
	p, s := newPath(helpers...)
	s.err.Store(refused)
	for began := time.Now(); time.Since(began) < helperMemory*3/4; {
		_, err := p.Range(t.Context(), platform.RangeQuery{})
		require.Error(t, err)
		time.Sleep(5 * time.Millisecond)
	}
	require.EqualValues(t, 30, asked.Load())
	require.Equal(t, Down, p.State())
}

// TestIsolationInALargeFleet guards against a VM that is cut off from everything and
// does not notice, since asking all other VMs takes longer than any call may.
func TestIsolationInALargeFleet(t *testing.T) {
	var helpers []Helper
	for i := range 60 {
		helpers = append(helpers, named{strconv.Itoa(i), func(ctx context.Context) (Reply, error) {
			<-ctx.Done()
			return Reply{}, errNoRoute{}
		}})
	}
	p, s := newPath(helpers...)
	s.err.Store(refused)
	for range 4 {
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		_, err := p.Range(ctx, platform.RangeQuery{})
		cancel()
		require.Error(t, err)
	}
	require.Equal(t, Isolated, p.State())
}

// named is a helper that answers by a function.
type named struct {
	vm   string
	make func(ctx context.Context) (Reply, error)
}

func (n named) VM() string { return n.vm }

func (n named) Make(ctx context.Context, _ Call) (Reply, error) { return n.make(ctx) }
