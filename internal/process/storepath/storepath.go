// Package storepath calls the platform's store directly or, while the store refuses
// this VM, through another VM. The store may serve only some of the VMs, or a network
// link may be down, while the fleet as a whole still reaches the store. The other VM
// only forwards calls and keeps no state; the conditions of the store's transactions
// ensure consistency as for direct calls.
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
	// probeInterval is the time between two direct calls while direct calls fail.
	probeInterval = 500 * time.Millisecond
	// probeTimeout bounds such a call.
	probeTimeout = 400 * time.Millisecond
	// proxyTimeout bounds a call to another VM, in addition to the wait that the call
	// itself asks for.
	proxyTimeout = 250 * time.Millisecond
	// maxProxyWait bounds how long a read of changes waits for a change at a proxy. The
	// connection to the proxy may fall silent, and the direct path may be back meanwhile.
	maxProxyWait = 500 * time.Millisecond
	// proxyRetryDelay is how long a VM that has failed a call is not called again. In an
	// outage each VM then calls each other VM once a second.
	proxyRetryDelay = time.Second
	// answerWindow is how long after an answer of another VM this VM does not count as
	// isolated. It exceeds proxyRetryDelay, so that a VM does not count as isolated
	// while it calls no proxy because all of them have just answered that they failed
	// the call.
	answerWindow = 1500 * time.Millisecond
	// isolationThreshold is the number of consecutive proxies without an answer after
	// which this VM counts as isolated. To call all VMs of a large fleet would take too
	// long.
	isolationThreshold = 4
	// overloadRetryDelay is the wait after the store refused a call for its rate.
	// overloadThreshold is the number of consecutive calls that have to be refused here
	// and succeed at another VM before this VM concludes that the store refuses only
	// this VM.
	overloadRetryDelay = 20 * time.Millisecond
	overloadThreshold  = 3
	// maxFirstProxy bounds the random index of the first proxy, which is taken modulo
	// the number of proxies. It is far above the number of VMs, so that all proxies are
	// about equally likely.
	maxFirstProxy = 1 << 16
	// failFastPeriod is how long calls fail immediately after neither the store nor a
	// proxy completed a call, so that calls do not pile up in an outage.
	failFastPeriod = 200 * time.Millisecond
)

// Call is a call to the store that can be sent to another VM. Exactly one field is set.
type Call struct {
	Transact *platform.PartitionTx `msgpack:"t,omitempty"`
	Range    *platform.RangeQuery  `msgpack:"r,omitempty"`
	Changes  *ChangesQuery         `msgpack:"c,omitempty"`
}

// ChangesQuery contains the arguments of PartitionedStore.Changes.
type ChangesQuery struct {
	Table string        `msgpack:"t"`
	After uint64        `msgpack:"a"`
	Wait  time.Duration `msgpack:"w"`
}

// Reply is the result of a call.
type Reply struct {
	Result platform.PartitionTxResult `msgpack:"r"`
	Page   platform.Page              `msgpack:"p"`
	// Failed is the kind of the store's error, or empty if the call succeeded. Reason is
	// its text.
	Failed platform.ErrorKind `msgpack:"f,omitempty"`
	Reason string             `msgpack:"e,omitempty"`
}

// Proxy is another VM that may reach the store.
type Proxy interface {
	// VM returns the VM's name.
	VM() string
	// Make makes a call at the proxy. An error means that the proxy was not reached
	// or that the outcome of the call is unknown.
	Make(ctx context.Context, c Call) (Reply, error)
}

// State is how this VM reaches the store.
type State int32

// States of the connection to the store.
const (
	Direct   State = iota
	ViaProxy       // calls go through other VMs
	Down           // other VMs do not reach the store either
	Isolated       // neither the store nor another VM answers
)

// String implements fmt.Stringer.
func (s State) String() string {
	return [...]string{"direct", "detour", "down", "isolated"}[s]
}

var (
	errFailFast = errors.New("the store did not answer a moment ago")
	errNoProxy  = errors.New("no other VM is known")
)

// Observer is told what happens on a path. Its methods are called by any goroutine and
// must not block.
type Observer interface {
	// StateChanged reports each new state.
	StateChanged(s State)
	// ProbeFailed reports a probe of the direct path that failed after the given time.
	ProbeFailed(after time.Duration, err error)
}

// Path is a platform.PartitionedStore that calls the store directly or through proxies. It
// is safe for concurrent use.
type Path struct {
	direct   platform.PartitionedStore
	proxies  func() []Proxy
	observer Observer

	state      atomic.Int32  // a State
	failUntil  atomic.Int64  // calls fail immediately until then, as clock.Monotonic in nanoseconds
	lastAnswer atomic.Int64  // the same for the last answer of a proxy; 0 if there was none
	unanswered atomic.Int32  // consecutive calls to proxies without an answer
	overloads  atomic.Int32  // consecutive calls refused here for the rate that succeeded at a proxy
	proxyCalls atomic.Int64  // calls that proxies completed
	startProbe chan struct{} // tells Run that direct calls fail

	mu         sync.Mutex
	firstProxy int                  // index of the proxy to call first
	failedAt   map[string]time.Time // time of the last failed call, by VM
}

var _ platform.PartitionedStore = (*Path)(nil)

// New returns a path. proxies returns the other VMs.
func New(direct platform.PartitionedStore, proxies func() []Proxy, observer Observer) *Path {
	return &Path{
		direct: direct, proxies: proxies, observer: observer, startProbe: make(chan struct{}, 1),
		firstProxy: rand.IntN(maxFirstProxy), // spreads the first calls of the VMs over the proxies
		failedAt:   map[string]time.Time{},
	}
}

// State returns how the store is reached at present.
func (p *Path) State() State { return State(p.state.Load()) }

// DownForAll returns whether other VMs have answered within answerWindow that they don't reach
// the store either, and none reaches it. They probe it as this VM does, so it may reach one of
// them again since answerWindow + probeInterval + probeTimeout at most. A VM that is cut off
// alone never gets such an answer while another VM reaches the store. VMs that are cut off
// together from the store and from all others can't be told from an outage.
func (p *Path) DownForAll() bool { return p.State() == Down && p.recentlyAnswered() }

// ProxyCalls returns the number of calls that proxies completed.
func (p *Path) ProxyCalls() int64 { return p.proxyCalls.Load() }

// Serve makes a call for another VM. It never forwards the call, so that calls cannot
// loop.
func (p *Path) Serve(ctx context.Context, c Call) Reply {
	if p.State() != Direct {
		return Reply{Failed: platform.NotApplied, Reason: "this VM does not reach the store either"}
	}
	reply, err := makeCall(ctx, p.direct, c)
	if err != nil {
		if kind := platform.KindOf(err); kind != platform.Overloaded && kind != platform.Rejected {
			p.markDirectFailed()
		}
		return Reply{Failed: platform.KindOf(err), Reason: err.Error()}
	}
	return reply
}

// Transact implements platform.PartitionedStore.
func (p *Path) Transact(ctx context.Context, tx platform.PartitionTx) (platform.PartitionTxResult, error) {
	reply, err := p.call(ctx, Call{Transact: &tx})
	return reply.Result, err
}

// Range implements platform.PartitionedStore.
func (p *Path) Range(ctx context.Context, q platform.RangeQuery) (platform.Page, error) {
	reply, err := p.call(ctx, Call{Range: &q})
	return reply.Page, err
}

// Changes implements platform.PartitionedStore.
func (p *Path) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Page, error) {
	reply, err := p.call(ctx, Call{Changes: &ChangesQuery{Table: table, After: after, Wait: wait}})
	return reply.Page, err
}

// makeCall makes a call to a store.
func makeCall(ctx context.Context, s platform.PartitionedStore, c Call) (Reply, error) {
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

// call makes a call directly, or through a proxy if direct calls are known to fail. A
// transaction whose outcome is unknown is not retried: its caller has to read the store
// first.
func (p *Path) call(ctx context.Context, c Call) (Reply, error) {
	if p.State() == Direct {
		reply, err := makeCall(ctx, p.direct, c)
		switch {
		case err == nil:
			p.overloads.Store(0)
			return reply, nil
		case platform.KindOf(err) == platform.HistoryGone, platform.KindOf(err) == platform.Rejected, platform.KindOf(err) == platform.Interrupted:
			return reply, err
		case errors.Is(ctx.Err(), context.Canceled):
			return reply, err // says nothing about the path
		case platform.KindOf(err) == platform.Overloaded:
			return p.retryOverloaded(ctx, c, err)
		}
		p.markDirectFailed()
		if c.Transact != nil && !platform.KindOf(err).HadNoEffect() || ctx.Err() != nil {
			return reply, err
		}
	}
	return p.callViaProxies(ctx, c)
}

// retryOverloaded retries a call that the store refused for its rate. Either all VMs
// together are at the rate, where more calls only make it worse, or the store refuses
// only this VM. So it calls a single proxy, after a wait.
func (p *Path) retryOverloaded(ctx context.Context, c Call, err error) (Reply, error) {
	proxy, ok := p.nextProxy(p.proxies())
	if !ok || !clock.Sleep(ctx, clock.Jitter(overloadRetryDelay)) {
		return Reply{}, err
	}
	reply, _, err := p.callProxy(ctx, proxy, c)
	if err != nil {
		return Reply{}, err
	}
	if p.overloads.Add(1) >= overloadThreshold {
		p.overloads.Store(0)
		p.markDirectFailed()
	}
	return reply, nil
}

// callViaProxies calls one proxy after another until the call succeeds.
func (p *Path) callViaProxies(ctx context.Context, c Call) (Reply, error) {
	if c.Changes != nil {
		q := *c.Changes
		q.Wait = min(q.Wait, maxProxyWait)
		c.Changes = &q
	}
	if clock.Monotonic().Nanoseconds() < p.failUntil.Load() {
		return Reply{}, &platform.Error{Kind: platform.NotApplied, Op: "detour", Err: errFailFast}
	}
	proxies := p.proxies()
	lastErr := errNoProxy
	for ctx.Err() == nil {
		proxy, ok := p.nextProxy(proxies)
		if !ok {
			break
		}
		reply, retryable, err := p.callProxy(ctx, proxy, c)
		if err == nil {
			p.setIndirectState(ViaProxy)
			return reply, nil
		}
		if !retryable {
			return Reply{}, err
		}
		lastErr = err
		if p.unanswered.Load() >= isolationThreshold && !p.recentlyAnswered() {
			break
		}
	}
	if ctx.Err() != nil {
		// Not all proxies were called, so the result says nothing about the other VMs.
		return Reply{}, &platform.Error{Kind: platform.NotApplied, Op: "detour", Err: ctx.Err()}
	}
	if p.recentlyAnswered() {
		p.setIndirectState(Down)
	} else {
		p.setIndirectState(Isolated)
	}
	p.failUntil.Store((clock.Monotonic() + failFastPeriod).Nanoseconds())
	return Reply{}, &platform.Error{Kind: platform.NotApplied, Op: "detour", Err: lastErr}
}

func (p *Path) recentlyAnswered() bool {
	last := time.Duration(p.lastAnswer.Load())
	return last > 0 && clock.Monotonic()-last < answerWindow
}

// nextProxy returns the proxy to call: the last successful one, or the next one that
// has not failed within proxyRetryDelay.
func (p *Path) nextProxy(proxies []Proxy) (Proxy, bool) {
	now := clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range proxies {
		index := (p.firstProxy + i) % len(proxies)
		if now.Sub(p.failedAt[proxies[index].VM()]) >= proxyRetryDelay {
			p.firstProxy = index
			return proxies[index], true
		}
	}
	return nil, false
}

// callProxy makes a call at a proxy. If retryable is set, the call was certainly not
// made, and another proxy may be called.
func (p *Path) callProxy(ctx context.Context, proxy Proxy, c Call) (reply Reply, retryable bool, err error) {
	reply, err = p.send(ctx, proxy, c)
	if err != nil && ctx.Err() == nil || reply.Failed == platform.NotApplied {
		p.mu.Lock()
		p.failedAt[proxy.VM()] = clock.Now()
		p.mu.Unlock()
	}
	if err != nil {
		if ctx.Err() == nil {
			p.unanswered.Add(1)
		}
		if c.Transact != nil && !notSent(err) {
			return Reply{}, false, &platform.Error{Kind: platform.OutcomeUnknown, Op: "detour", Err: err}
		}
		return Reply{}, true, &platform.Error{Kind: platform.NotApplied, Op: "detour", Err: err}
	}
	p.lastAnswer.Store(clock.Monotonic().Nanoseconds())
	p.unanswered.Store(0)
	if reply.Failed == "" {
		p.proxyCalls.Add(1)
		return reply, false, nil
	}
	return Reply{}, reply.Failed == platform.NotApplied, &platform.Error{Kind: reply.Failed, Op: "detour", Err: errors.New(reply.Reason)}
}

// NotSentError is implemented by errors of Proxy.Make that know whether the call was
// sent.
type NotSentError interface{ NotSent() bool }

func notSent(err error) bool {
	var n NotSentError
	return errors.As(err, &n) && n.NotSent()
}

func (p *Path) send(ctx context.Context, proxy Proxy, c Call) (Reply, error) {
	timeout := proxyTimeout
	switch {
	case c.Changes != nil:
		timeout += c.Changes.Wait
	case c.Transact != nil:
		timeout += c.Transact.SendTime()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return proxy.Make(ctx, c)
}

// markDirectFailed ends the direct state and starts the probes. The failure of a call
// to a single partition does not prove that direct calls fail, but a probe soon
// restores the direct state then.
func (p *Path) markDirectFailed() {
	if !p.state.CompareAndSwap(int32(Direct), int32(ViaProxy)) {
		return
	}
	p.observer.StateChanged(ViaProxy)
	select {
	case p.startProbe <- struct{}{}:
	default:
	}
}

// setIndirectState changes from one state other than Direct to another. Only a probe
// restores Direct: the result of a call that began before the probe must not undo that.
func (p *Path) setIndirectState(s State) {
	for {
		current := p.state.Load()
		if State(current) == Direct || State(current) == s {
			return
		}
		if p.state.CompareAndSwap(current, int32(s)) {
			p.observer.StateChanged(s)
			return
		}
	}
}

// Run probes the store with the query while direct calls fail, until ctx ends. The query
// should be cheap.
func (p *Path) Run(ctx context.Context, query platform.RangeQuery) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.startProbe:
		}
		for p.State() != Direct && ctx.Err() == nil {
			if p.probeDirect(ctx, query) {
				p.failUntil.Store(0)
				p.state.Store(int32(Direct))
				p.observer.StateChanged(Direct)
				break
			}
			clock.Sleep(ctx, probeInterval)
		}
	}
}

func (p *Path) probeDirect(ctx context.Context, query platform.RangeQuery) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	begun := clock.Now()
	_, err := p.direct.Range(ctx, query)
	if err != nil {
		p.observer.ProbeFailed(clock.Since(begun), err)
	}
	return err == nil
}
