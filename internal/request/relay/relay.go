// Package relay handles one request of a fleet from admission to the last byte of its
// answer: it checks the route and the key, takes the request from the customer's
// rate, reads the history and reserves the budget of its program, dispatches it to a
// replica, relays the answer and records the turn. The choice of the replica and the
// customers' rates are in package fleet, the records of programs in package ledger. The
// encoding of requests and answers is left to the front end and the client of replicas.
package relay

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/semaphore"

	"hornbeamvale.example/hornbeamvale/internal/connection/call"
	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/decisionlog"
	"hornbeamvale.example/hornbeamvale/internal/process/fleet"
	"hornbeamvale.example/hornbeamvale/internal/process/historyload"
	"hornbeamvale.example/hornbeamvale/internal/process/ledger"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/replica"
	"hornbeamvale.example/hornbeamvale/internal/process/storepath"
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
	"hornbeamvale.example/hornbeamvale/internal/version"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
	"hornbeamvale.example/hornbeamvale/internal/version/routing"
)

const (
	// defaultTimeout is the time limit of a request whose caller and route state none.
	defaultTimeout = 30 * time.Second
	// answerMargin is subtracted from the time limit so that an answer at the deadline
	// still reaches the caller: up to 3 ms one way and a scheduling delay.
	answerMargin = 15 * time.Millisecond
	// confirmationValidity is how long a configuration counts as the newest after the
	// store has confirmed it. It exceeds the interval between two reads of the changes
	// (2.5 s).
	confirmationValidity = 3 * time.Second
	// maxIsolatedConfigAge is how long a VM that reaches neither the store nor another
	// VM admits requests by its last confirmed configuration. It bounds the time for
	// which a withdrawn key still works there to seconds. An outage of the store for
	// all VMs needs no such bound, since no key can be withdrawn then.
	maxIsolatedConfigAge = 5 * time.Second
	// defaultRetryAfter is the time after which a refused caller should try another VM.
	defaultRetryAfter = 100 * time.Millisecond
	// isolatedRetryAfter is the time after which a caller should try another VM because
	// this one is isolated.
	isolatedRetryAfter = 10 * time.Millisecond
	// stoppingRetryAfter is the time after which a caller should try another VM because this
	// one stops before its request would have ended.
	stoppingRetryAfter = 10 * time.Millisecond
	// storeTimeout bounds the wait of a turn for the store before it is dispatched, and
	// storeRetryAfter is the time after which its caller should repeat the request.
	// Outages of the store last seconds: a caller that is refused at once gives up
	// before the store is back.
	storeTimeout = 800 * time.Millisecond
	// storeTimeFraction is the largest fraction of the remaining time that a turn waits
	// for the store. A caller that is refused later has no time left for another
	// request.
	storeTimeFraction = 0.4
	storeRetryAfter   = 900 * time.Millisecond
	// lateRetryAfter is the time after which a caller should return whose turn was not prepared in
	// time although the store has not failed.
	lateRetryAfter = 250 * time.Millisecond
	// loadTimeFraction is the largest fraction of the remaining time that a turn waits for a large
	// history. The rest is for the replica, which reads the whole prompt.
	loadTimeFraction = 0.6
)

// ReplicaClient sends requests to replicas.
type ReplicaClient interface {
	// Send returns the reply once its header has arrived; its body is read by the
	// caller of Send. Errors are of type *call.ReplicaError.
	Send(ctx context.Context, r call.ReplicaRequest) (*call.ReplicaResponse, error)
}

// NewReplyMemory returns the bound of the memory of large replies. It admits at least one
// reply at a time.
func NewReplyMemory(bytes int64) *semaphore.Weighted {
	return semaphore.NewWeighted(max(bytes, copyFactor*maxReplyBytes+streamMemoryStep))
}

// Server relays requests. It lives as long as the process and holds no state of a
// request. It must not be copied.
type Server struct {
	Loop     *fleet.Loop
	Ledger   *ledger.HomeRouter
	Replicas ReplicaClient
	// ReplyMemory bounds the memory of large replies, in bytes.
	ReplyMemory *semaphore.Weighted
	// StreamMemory bounds the memory of large events and outputs of streams, in bytes.
	StreamMemory *semaphore.Weighted
	// StopUnanswered ends when the VM stops and has to have answered every request. It may be
	// nil.
	StopUnanswered context.Context
	// Store tells whether and how this VM reaches the store.
	Store   *storepath.Path
	Log     *decisionlog.Log
	Metrics *Metrics

	tokenSize TokenSize
}

// exchange is the state of one request.
type exchange struct {
	*Server
	ctx      context.Context
	deadline time.Time
	limit    time.Time // the deadline without regard to a stop of this VM
	limitOf  limitSource
	request  *call.ForwardedRequest
	answer   call.ResponseWriter
	table    *routing.Table
	route    *routing.Route
	customer *version.Customer // nil on a route that needs no key
	// owner is the customer to which the turns belong. On a route that needs no key it is
	// the holder of the request's key, or empty: requests without a key have turns in
	// common that no customer sees.
	owner string
	// allowed are the regions to which the request may go.
	allowed  routing.AllowedRegions
	group    turntree.Group        // of the program; empty if its turns are neither recorded nor budgeted
	history  ledger.History        // the earlier turns that this one continues
	loaded   *ledger.LoadedHistory // the memory of a large history; nil for a small one
	reserved bool                  // the program's budget may hold a reservation for this turn

	endpoint string
	replica  string
	picked   replica.Candidate // the last one, as it was when it was chosen
	sendBy   time.Time         // the end of the permission to send to it; zero if there is none
	// prints identify what the caller sent; nil until they are needed. trial is set if the
	// request is the trial after a block.
	prints   *fleet.RequestPrints
	trial    bool
	attempts int
	// noAlternative is set if no replica is left after the picked one for another attempt.
	noAlternative bool
	tokens        int64  // received by the caller
	outcome       string // how the request ended, for the metrics and the log
	// configurationAge is the time since the store confirmed the configuration, when the
	// request was admitted or refused.
	configurationAge time.Duration
	steps            stepTimes
}

// limitSource says where the deadline of a request came from.
type limitSource string

const (
	defaultLimit limitSource = "default"
	callerLimit  limitSource = "caller"
	routeLimit   limitSource = "route" // of the configuration that admitted the request
	stopLimit    limitSource = "stop"  // of this VM
)

// stepTimes says where the time of a request went. A step that did not take place is 0.
type stepTimes struct {
	rate     time.Duration // wait for a token of the customer's rate
	prepare  time.Duration // history and reservation
	load     time.Duration // the part of prepare for the load of a large history
	place    time.Duration // choice of a replica, over all attempts
	reply    time.Duration // from the last dispatch to the head of the replica's answer
	transfer time.Duration // from there to the end of the answer
	record   time.Duration // record of the turn
	// pause is the longest time between two reads from a replica that answers, and silence
	// the time from the last read to the end of an answer that broke off.
	pause, silence time.Duration
}

// measure adds the time since start to a step.
func measure(step *time.Duration, start time.Time) { *step += clock.Since(start) }

// Serve answers a request. ctx ends when the caller has disconnected.
func (s *Server) Serve(ctx context.Context, request *call.ForwardedRequest, answer call.ResponseWriter) {
	x := &exchange{Server: s, request: request, answer: answer, deadline: request.Received.Add(defaultTimeout), limitOf: defaultLimit}
	snapshot := s.Loop.Snapshot()
	if why := x.admit(snapshot, clock.Now()); why != nil {
		x.refuse(why)
		x.finish(ctx)
		return
	}
	var cancel context.CancelFunc
	x.ctx, cancel = context.WithTimeout(ctx, clock.Until(x.deadline))
	defer cancel()
	stopping := &stopWriter{ResponseWriter: answer, cancel: cancel}
	if s.StopUnanswered != nil {
		x.answer = stopping
		defer context.AfterFunc(s.StopUnanswered, stopping.stop)()
	}
	why := x.serve()
	if stopping.isStopped() {
		x.limitOf = stopLimit
	}
	if why != nil {
		x.refuse(why)
	}
	x.finish(ctx)
}

// serve answers an admitted request or returns the refusal.
func (x *exchange) serve() *refusal.Refusal {
	if _, why := x.quarantineVerdict(); why != nil {
		return why
	}
	if why := x.beginProgram(); why != nil {
		return why
	}
	if why := x.takeFromRate(); why != nil {
		return why
	}
	defer func() { x.loaded.Release() }()
	why := x.prepareTurn()
	if why == nil {
		why = x.dispatch()
	}
	if x.reserved {
		x.Ledger.Settle(ledger.SettleRequest{Group: x.group, Turn: x.request.ID, Used: x.tokens, Retention: x.route.Retention, Allowed: x.allowed})
	}
	if why != nil && why.Run == refusal.NotRun && x.customer != nil {
		// Only requests that may have run count against the rate.
		_ = x.Loop.Post(context.WithoutCancel(x.ctx), fleet.ReturnRateToken{Customer: x.customer.Name})
	}
	return why
}

// takeFromRate takes one request from the customer's rate.
func (x *exchange) takeFromRate() *refusal.Refusal {
	if x.customer == nil {
		return nil
	}
	defer measure(&x.steps.rate, clock.Now())
	reply := make(chan fleet.TakeRateTokenResult, 1)
	take := fleet.TakeRateToken{
		Customer: x.customer.Name, Deadline: x.deadline, Reply: reply,
		StartsProgram: x.route.Kind == routing.Stream && x.request.Program.Parent == "",
	}
	if x.Loop.Post(x.ctx, take) != nil {
		return x.timeLimitRefusal(refusal.NotRun)
	}
	select {
	case taken := <-reply:
		if !taken.OK {
			return refusal.New(refusal.RateLimited, "customer %q is at its rate", x.customer.Name).After(max(defaultRetryAfter, taken.RetryAfter))
		}
		return nil
	case <-x.ctx.Done():
		_ = x.Loop.Post(context.WithoutCancel(x.ctx), fleet.CancelRateToken{Customer: x.customer.Name, Reply: reply})
		return x.timeLimitRefusal(refusal.NotRun)
	}
}

// prepareTurn reads the history that the turn continues and reserves its tokens in the
// program's budget.
func (x *exchange) prepareTurn() *refusal.Refusal {
	p := x.request.Program
	if x.route.Kind != routing.Stream || p.ID == "" && !x.route.KeepsHistory {
		return nil
	}
	defer measure(&x.steps.prepare, clock.Now())
	x.group = turntree.GroupOf(x.owner, p.ID)
	if p.ID == "" {
		x.group = turntree.GroupOfTurn(x.owner, x.request.ID)
	}
	if x.route.KeepsHistory {
		if err := ledger.CheckTurnID(x.request.ID); err != nil {
			return refusal.New(refusal.BadRequest, "id %q of %d bytes: %v", x.request.ID, len(x.request.ID), err)
		}
		if p.Parent != "" && ledger.CheckTurnID(p.Parent) != nil {
			return refusal.New(refusal.TurnUnknown, "there is no turn %q", p.Parent)
		}
	}
	if x.Store.State() == storepath.Isolated {
		return refusal.New(refusal.StoreUnavailable, "this VM reaches neither the store nor another VM").After(isolatedRetryAfter)
	}
	open := ledger.OpenRequest{
		Group: x.group, Customer: x.owner, Turn: x.request.ID, MaxTokens: x.request.MaxTokens, Budget: p.TokenBudget,
		Retention: x.retentionFromStart(), Allowed: x.allowed, LoadsLarge: true, Expected: x.expectedHistory(),
	}
	if x.route.KeepsHistory {
		open.Parent = p.Parent
	}
	history, err := x.openTurn(open)
	if err != nil {
		var e *ledger.Error
		x.reserved = errors.As(err, &e) && e.Reserved
		return x.ledgerRefusal(err)
	}
	x.history, x.reserved = history, true
	return nil
}

// openTurn reads the history of a turn and reserves its tokens. A large history is loaded before
// the reservation, and may take longer.
func (x *exchange) openTurn(open ledger.OpenRequest) (ledger.History, error) {
	ctx, cancel := x.withStoreTimeout()
	defer cancel()
	history, err := x.Ledger.Open(ctx, open)
	var large *ledger.LargeHistoryError
	if !errors.As(err, &large) {
		return history, err
	}
	begun := clock.Now()
	loadCtx, cancelLoad := context.WithTimeout(x.ctx, time.Duration(loadTimeFraction*float64(clock.Until(x.deadline))))
	defer cancelLoad()
	x.loaded, err = x.Ledger.Load(loadCtx, ledger.LoadRequest{
		Group: x.group, Customer: x.owner, Turn: x.request.ID, Parent: open.Parent, Expected: large.Bytes, Allowed: x.allowed,
	})
	measure(&x.steps.load, begun)
	if err != nil {
		return ledger.History{}, err
	}
	ctx, cancel = x.withStoreTimeout()
	defer cancel()
	err = x.Ledger.OpenLoaded(ctx, open, x.loaded)
	return x.loaded.History, err
}

// withStoreTimeout returns the context of a wait for the store.
func (x *exchange) withStoreTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(x.ctx, min(storeTimeout, time.Duration(storeTimeFraction*float64(clock.Until(x.deadline)))))
}

// expectedHistory returns the size of the history in bytes that the length of the prompt lets
// expect; 0 if the caller does not state it.
func (x *exchange) expectedHistory() int64 {
	return max(0, x.tokenSize.Bytes(x.request.PromptTokens)-int64(len(x.request.Body)))
}

// retentionFromStart returns how long the rows of the program have to be kept from now on:
// the history has to be there when the turn ends, and for the route's retention after that.
func (x *exchange) retentionFromStart() time.Duration {
	return x.route.Retention + max(0, clock.Until(x.deadline))
}

// ledgerRefusal converts an error of the ledger into the caller's refusal.
func (x *exchange) ledgerRefusal(err error) *refusal.Refusal {
	switch {
	case errors.Is(err, ledger.ErrBudgetExceeded):
		return refusal.New(refusal.BudgetExhausted, "the program's budget of %d tokens does not hold the turn", x.request.Program.TokenBudget)
	case errors.Is(err, ledger.ErrTurnNotFound):
		return refusal.New(refusal.TurnUnknown, "there is no turn %q", x.request.Program.Parent)
	case platform.KindOf(err) == platform.Rejected:
		return refusal.New(refusal.BadRequest, "the turn cannot be stored: %v", err)
	}
	var refused *historyload.RefusedError
	if errors.As(err, &refused) {
		return refusal.New(refusal.Overloaded, "%v", err).After(max(defaultRetryAfter, refused.RetryAfter))
	}
	var late *historyload.TimeoutError
	if errors.As(err, &late) {
		return refusal.New(refusal.Overloaded, "%v", err).After(max(defaultRetryAfter, late.RetryAfter))
	}
	if !ledger.StoreFailed(err) {
		return refusal.New(refusal.Overloaded, "%v", err).After(lateRetryAfter)
	}
	return refusal.New(refusal.StoreUnavailable, "%v", err).After(storeRetryAfter)
}

// timeLimitRefusal returns the refusal of a request whose deadline has passed.
func (x *exchange) timeLimitRefusal(run refusal.RunState) *refusal.Refusal {
	return refusal.New(refusal.TimeLimit, "no answer within the time limit").WithRun(run)
}

// refuse answers the caller with a refusal and counts it.
func (x *exchange) refuse(why *refusal.Refusal) {
	x.outcome = string(why.Code) + "/" + string(why.Run)
	x.answer.Refuse(why)
	x.Metrics.recordRefusal(why.Code)
}

// finish logs and counts the request with its outcome.
func (x *exchange) finish(ctx context.Context) {
	duration := clock.Since(x.request.Received)
	if ctx.Err() != nil {
		x.outcome += " (caller gone)"
	}
	var configurationVersion uint64
	if x.table != nil {
		configurationVersion = x.table.Number
	}
	route, customer := "", ""
	if x.route != nil {
		route = x.route.Name
	}
	if x.customer != nil {
		customer = x.customer.Name
	}
	x.Metrics.recordRequest(route, x.outcome, duration)
	x.Log.Request("Request finished", "id", x.request.ID, "route", route, "endpoint", x.endpoint, "customer", customer,
		"program", x.request.Program.ID, "group", x.group, "parent", x.request.Program.Parent, "historyTurns", x.history.Len(),
		"configurationVersion", configurationVersion, "configurationAge", x.configurationAge, "replica", x.replica,
		"expectedRequests", x.picked.Expected, "loadAge", x.picked.LoadAge, "slowness", x.picked.Slowness, "connected", x.picked.Connected, "attempts", x.attempts, "tokens", x.tokens,
		"outcome", x.outcome, "duration", duration, "timeLimit", x.deadline.Sub(x.request.Received), "timeLimitOf", x.limitOf,
		"replicaPause", x.steps.pause, "replicaSilence", x.steps.silence, "rateWait", x.steps.rate, "prepare", x.steps.prepare, "historyLoad", x.steps.load, "place", x.steps.place,
		"reply", x.steps.reply, "transfer", x.steps.transfer, "record", x.steps.record)
}
