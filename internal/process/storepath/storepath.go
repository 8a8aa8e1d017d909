// Package storepath reaches the platform's store directly or, while it turns this
// VM away, through another VM. The store may serve some VMs and not others, or a
// link may be cut; the fleet as a whole then still reaches it. Another VM only
// passes calls on: it keeps nothing, and the store's conditions decide as before.
package storepath

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
)

const (
	// probeInterval is the time between two direct calls while the direct way fails.
	probeInterval = 500 * time.Millisecond
	// probeTimeout bounds such a call.
	probeTimeout = 400 * time.Millisecond
	// helperTimeout is how long another VM may take besides the wait of the call
	// itself.
	helperTimeout = 250 * time.Millisecond
	// helperMemory is how long a VM that could not help is not asked again. In an
	// outage each VM then asks each other one once a second.
	helperMemory = time.Second
	// answerMemory is how long after an answer of another VM this VM is not isolated.
	// It is above helperMemory, so that a VM whose helpers all answered is not.
	answerMemory = 1500 * time.Millisecond
	// isolationCount is how many VMs in a row may stay silent before this VM takes
	// itself for isolated. Asking all VMs of a large fleet would take too long.
	isolationCount = 4
	// overloadPause is the wait after a call that the store refused for its rate, and
	// overloadCount how many such calls in a row have to work at another VM before
	// this VM knows that the store turns only this one away.
	overloadPause = 20 * time.Millisecond
	overloadCount = 3
	// maxSeats bounds the random choice of the first helper; it is well above the
	// number of VMs.
	maxSeats = 1 << 16
	// failFast is how long calls fail at once after neither way worked, so that an
	// outage does not pile up calls.
	failFast = 200 * time.Millisecond
)

// Call is one call of the store in a form that another VM can make. Exactly one
// field is set.
type Call struct {
	Transact *platform.PartedTx   `msgpack:"t,omitempty"`
	Range    *platform.RangeQuery `msgpack:"r,omitempty"`
	Changes  *ChangesQuery        `msgpack:"c,omitempty"`
}

// ChangesQuery are the arguments of PartedStore.Changes.
type ChangesQuery struct {
	Table string        `msgpack:"t"`
	After uint64        `msgpack:"a"`
	Wait  time.Duration `msgpack:"w"`
}

// Reply is what a call returned.
type Reply struct {
	Result platform.PartedResult `msgpack:"r"`
	Page   platform.Page         `msgpack:"p"`
	// Failed is the kind of the store's error; empty for a success.
	Failed platform.ErrorKind `msgpack:"f,omitempty"`
	Reason string             `msgpack:"e,omitempty"`
}

// Helper is another VM that may reach the store.
type Helper interface {
	// VM names it.
	VM() string
	// Make makes a call there. An error means that the VM was not reached or that the
	// outcome is not known.
	Make(ctx context.Context, c Call) (Reply, error)
}

// State tells how the store is reached.
type State int32

// The states of the way to the store.
const (
	Direct   State = iota
	Detour         // through other VMs
	Down           // other VMs do not reach it either
	Isolated       // neither the store nor another VM answers
)

// String implements fmt.Stringer.
func (s State) String() string {
	return [...]string{"direct", "detour", "down", "isolated"}[s]
}

var (
	errFailFast = errors.New("the store did not answer a moment ago")
	errNoHelper = errors.New("no other VM is known")
)

// Path is a platform.PartedStore over both ways. It is safe for concurrent use.
type Path struct {
	direct  platform.PartedStore
	helpers func() []Helper
	changed func(State)

	state     atomic.Int32
	failUntil atomic.Int64 // Unix nanoseconds
	answered  atomic.Int64 // when another VM answered last, Unix nanoseconds
	silent    atomic.Int32 // VMs that have not answered, in a row
	refused   atomic.Int32 // calls refused for the rate that worked at another VM, in a row
	detoured  atomic.Int64
	probe     chan struct{}

	mu     sync.Mutex
	next   int                  // the helper that is asked first
	failed map[string]time.Time // when a VM could not help
}

var _ platform.PartedStore = (*Path)(nil)

// New returns a path. helpers returns the other VMs, changed is told of each new
// state and must not block.
func New(direct platform.PartedStore, helpers func() []Helper, changed func(State)) *Path {
	return &Path{
		direct: direct, helpers: helpers, changed: changed, probe: make(chan struct{}, 1),
		next:   rand.IntN(maxSeats), // so that the VMs ask different ones first
		failed: map[string]time.Time{},
	}
}

// State returns how the store is reached.
func (p *Path) State() State { return State(p.state.Load()) }

// Detoured returns the number of calls that went through other VMs.
func (p *Path) Detoured() int64 { return p.detoured.Load() }

// Serve makes a call for another VM. It never passes the call on, so that calls do
// not go round.
func (p *Path) Serve(ctx context.Context, c Call) Reply {
	if p.State() != Direct {
		return Reply{Failed: platform.NotApplied, Reason: "this VM does not reach the store either"}
	}
	reply, err := makeCall(ctx, p.direct, c)
	if err != nil {
		if platform.KindOf(err) != platform.Overloaded {
			p.directFailed()
		}
		return Reply{Failed: platform.KindOf(err), Reason: err.Error()}
	}
	return reply
}

// Transact implements platform.PartedStore.
func (p *Path) Transact(ctx context.Context, tx platform.PartedTx) (platform.PartedResult, error) {
	reply, err := p.call(ctx, Call{Transact: &tx})
	return reply.Result, err
}

// Range implements platform.PartedStore.
func (p *Path) Range(ctx context.Context, q platform.RangeQuery) (platform.Page, error) {
	reply, err := p.call(ctx, Call{Range: &q})
	return reply.Page, err
}

// Changes implements platform.PartedStore.
func (p *Path) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Page, error) {
	reply, err := p.call(ctx, Call{Changes: &ChangesQuery{Table: table, After: after, Wait: wait}})
	return reply.Page, err
}

// makeCall makes a call at a store.
func makeCall(ctx context.Context, s platform.PartedStore, c Call) (Reply, error) {
	var reply Reply
	var err error
	switch {
	case c.Transact != nil:
		reply.Result, err = s.Transact(ctx, *c.Transact)
	case c.Range != nil:
		reply.Page, err = s.Range(ctx, *c.Range)
	case c.Changes != nil:
		reply.Page, err = s.Changes(ctx, c.Changes.Table, c.Changes.After, c.Changes.Wait)
	default:
		err = &platform.Error{Kind: platform.NotApplied, Op: "call", Err: errors.New("an empty call")}
	}
	return reply, err
}

// call makes a call directly, or through another VM if the direct way is known to
// fail. A transaction whose outcome is not known is not made again: its caller has
// to look first.
func (p *Path) call(ctx context.Context, c Call) (Reply, error) {
	if p.State() == Direct {
		reply, err := makeCall(ctx, p.direct, c)
		switch {
		case err == nil:
			p.refused.Store(0)
			return reply, nil
		case platform.KindOf(err) == platform.HistoryGone:
			return reply, err
		case platform.KindOf(err) == platform.Overloaded:
			return p.overload(ctx, c, err)
		}
		p.directFailed()
		if c.Transact != nil && !platform.KindOf(err).DidNothing() || ctx.Err() != nil {
			return reply, err
		}
	}
	return p.detour(ctx, c)
}

// overload makes a call again that the store refused for its rate. Either the VMs
// together are at the rate, where more calls only make it worse, or the store turns
// this VM away. So one other VM is asked, after a pause.
func (p *Path) overload(ctx context.Context, c Call, err error) (Reply, error) {
	h, ok := p.helper(p.helpers())
	if !ok || !clock.Sleep(ctx, clock.Jitter(overloadPause)) {
		return Reply{}, err
	}
	reply, _, err := p.help(ctx, h, c)
	if err != nil {
		return Reply{}, err
	}
	if p.refused.Add(1) >= overloadCount {
		p.refused.Store(0)
		p.directFailed()
	}
	return reply, nil
}

// detour asks other VMs in turn.
func (p *Path) detour(ctx context.Context, c Call) (Reply, error) {
	if time.Now().UnixNano() < p.failUntil.Load() {
		return Reply{}, &platform.Error{Kind: platform.NotApplied, Op: "detour", Err: errFailFast}
	}
	helpers := p.helpers()
	last := errNoHelper
	for ctx.Err() == nil {
		h, ok := p.helper(helpers)
		if !ok {
			break
		}
		reply, again, err := p.help(ctx, h, c)
		if err == nil {
			p.leaveDirect(Detour)
			return reply, nil
		}
		if !again {
			return Reply{}, err
		}
		last = err
		if p.silent.Load() >= isolationCount && !p.recentlyAnswered() {
			break
		}
	}
	if ctx.Err() != nil {
		// The round is not complete, so it says nothing on the other VMs.
		return Reply{}, &platform.Error{Kind: platform.NotApplied, Op: "detour", Err: ctx.Err()}
	}
	if p.recentlyAnswered() {
		p.leaveDirect(Down)
	} else {
		p.leaveDirect(Isolated)
	}
	p.failUntil.Store(time.Now().Add(failFast).UnixNano())
	return Reply{}, &platform.Error{Kind: platform.NotApplied, Op: "detour", Err: last}
}

func (p *Path) recentlyAnswered() bool {
	return time.Since(time.Unix(0, p.answered.Load())) < answerMemory
}

// helper returns the VM to ask: that which helped last, unless it failed since.
func (p *Path) helper(helpers []Helper) (Helper, bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range helpers {
		at := (p.next + i) % len(helpers)
		if now.Sub(p.failed[helpers[at].VM()]) >= helperMemory {
			p.next = at
			return helpers[at], true
		}
	}
	return nil, false
}

// help makes a call at another VM. again says that the call was certainly not made,
// so that a further VM may be asked.
func (p *Path) help(ctx context.Context, h Helper, c Call) (reply Reply, again bool, err error) {
	reply, err = p.ask(ctx, h, c)
	if err != nil && ctx.Err() == nil || reply.Failed == platform.NotApplied {
		p.mu.Lock()
		p.failed[h.VM()] = time.Now()
		p.mu.Unlock()
	}
	if err != nil {
		if ctx.Err() == nil {
			p.silent.Add(1)
		}
		if c.Transact != nil && !notSent(err) {
			return Reply{}, false, &platform.Error{Kind: platform.OutcomeUnknown, Op: "detour", Err: err}
		}
		return Reply{}, true, &platform.Error{Kind: platform.NotApplied, Op: "detour", Err: err}
	}
	p.answered.Store(time.Now().UnixNano())
	p.silent.Store(0)
	if reply.Failed == "" {
		p.detoured.Add(1)
		return reply, false, nil
	}
	return Reply{}, reply.Failed == platform.NotApplied, &platform.Error{Kind: reply.Failed, Op: "detour", Err: errors.New(reply.Reason)}
}

// NotSentError is implemented by errors of a Helper that know whether the call was
// sent.
type NotSentError interface{ NotSent() bool }

func notSent(err error) bool {
	var n NotSentError
	return errors.As(err, &n) && n.NotSent()
}

func (p *Path) ask(ctx context.Context, h Helper, c Call) (Reply, error) {
	timeout := helperTimeout
	if c.Changes != nil {
		timeout += c.Changes.Wait
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return h.Make(ctx, c)
}

// directFailed leaves the direct way. A failed call of a single part says nothing on
// the way, but a probe soon tells.
func (p *Path) directFailed() {
	if !p.state.CompareAndSwap(int32(Direct), int32(Detour)) {
		return
	}
	p.changed(Detour)
	select {
	case p.probe <- struct{}{}:
	default:
	}
}

// leaveDirect changes between the states without a direct way. Only a probe enters
// Direct again: a call that began before it must not undo that.
func (p *Path) leaveDirect(s State) {
	for {
		before := p.state.Load()
		if State(before) == Direct || State(before) == s {
			return
		}
		if p.state.CompareAndSwap(before, int32(s)) {
			p.changed(s)
			return
		}
	}
}

// Run probes the direct way while it fails, until ctx ends. The query should be a
// cheap one.
func (p *Path) Run(ctx context.Context, query platform.RangeQuery) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.probe:
		}
		for p.State() != Direct && ctx.Err() == nil {
			if p.probeDirect(ctx, query) {
				p.failUntil.Store(0)
				p.state.Store(int32(Direct))
				p.changed(Direct)
				break
			}
			clock.Sleep(ctx, probeInterval)
		}
	}
}

func (p *Path) probeDirect(ctx context.Context, query platform.RangeQuery) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := p.direct.Range(ctx, query)
	return err == nil
}
