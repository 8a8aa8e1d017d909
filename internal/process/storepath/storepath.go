// Package storepath reaches the platform's store directly or, while it turns this
// VM away, through another VM. The store may serve some VMs and not others, or a
// link may be cut; the fleet as a whole then still reaches it. Another VM only
// passes calls on: it keeps nothing, and the store's conditions decide as before.
package storepath

import (
	"context"
	"errors"
	"math/rand/v2"
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
	// answerMemory is how long after an answer of another VM this VM is not isolated.
	answerMemory = time.Second
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
	next      atomic.Uint32
	detoured  atomic.Int64
	probe     chan struct{}
}

var _ platform.PartedStore = (*Path)(nil)

// New returns a path. helpers returns the other VMs, changed is told of each new
// state and must not block.
func New(direct platform.PartedStore, helpers func() []Helper, changed func(State)) *Path {
	p := &Path{direct: direct, helpers: helpers, changed: changed, probe: make(chan struct{}, 1)}
	p.next.Store(rand.Uint32N(maxSeats)) // so that the VMs ask different ones first
	return p
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
		p.directFailed()
		return Reply{Failed: kindOf(err), Reason: err.Error()}
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

func kindOf(err error) platform.ErrorKind {
	var pe *platform.Error
	if errors.As(err, &pe) {
		return pe.Kind
	}
	return platform.OutcomeUnknown
}

// call makes a call directly, or through another VM if the direct way is known to
// fail. A transaction whose outcome is not known is not made again: its caller has
// to look first.
func (p *Path) call(ctx context.Context, c Call) (Reply, error) {
	if p.State() == Direct {
		reply, err := makeCall(ctx, p.direct, c)
		if err == nil || kindOf(err) == platform.HistoryGone {
			return reply, err
		}
		p.directFailed()
		if c.Transact != nil && kindOf(err) != platform.NotApplied || ctx.Err() != nil {
			return reply, err
		}
	}
	return p.detour(ctx, c)
}

// detour asks other VMs in turn.
func (p *Path) detour(ctx context.Context, c Call) (Reply, error) {
	if time.Now().UnixNano() < p.failUntil.Load() {
		return Reply{}, &platform.Error{Kind: platform.NotApplied, Op: "detour", Err: errFailFast}
	}
	helpers := p.helpers()
	last := errNoHelper
	for range helpers {
		// The VM that helped last is asked again; a VM that fails is passed over.
		at := p.next.Load()
		reply, err := p.ask(ctx, helpers[int(at)%len(helpers)], c)
		if err != nil || reply.Failed != "" {
			p.next.CompareAndSwap(at, at+1)
		}
		if err == nil {
			p.answered.Store(time.Now().UnixNano())
		}
		switch {
		case err != nil && c.Transact != nil && !notSent(err):
			return Reply{}, &platform.Error{Kind: platform.OutcomeUnknown, Op: "detour", Err: err}
		case err != nil:
			last = err
		case reply.Failed == "":
			p.detoured.Add(1)
			p.leaveDirect(Detour)
			return reply, nil
		case reply.Failed != platform.NotApplied:
			return Reply{}, &platform.Error{Kind: reply.Failed, Op: "detour", Err: errors.New(reply.Reason)}
		default:
			last = errors.New(reply.Reason)
		}
		if ctx.Err() != nil {
			// The round is not complete, so it says nothing on the other VMs.
			return Reply{}, &platform.Error{Kind: platform.NotApplied, Op: "detour", Err: ctx.Err()}
		}
	}
	if time.Since(time.Unix(0, p.answered.Load())) < answerMemory {
		p.leaveDirect(Down)
	} else {
		p.leaveDirect(Isolated)
	}
	p.failUntil.Store(time.Now().Add(failFast).UnixNano())
	return Reply{}, &platform.Error{Kind: platform.NotApplied, Op: "detour", Err: last}
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

// directFailed leaves the direct way. A failed condition of a single part or a call
// beyond the store's rate says nothing on the way, but a probe soon tells.
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
