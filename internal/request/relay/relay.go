// Package relay takes one request from admission to the last byte of its answer:
// the route and the key, the customer's rate, the history and budget of its
// program, a replica, the answer and the record of the turn.
package relay

import (
	"context"
	"errors"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/connection/call"
	"hornbeamvale.example/hornbeamvale/internal/process/decisionlog"
	"hornbeamvale.example/hornbeamvale/internal/process/fleet"
	"hornbeamvale.example/hornbeamvale/internal/process/ledger"
	"hornbeamvale.example/hornbeamvale/internal/process/storepath"
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
	"hornbeamvale.example/hornbeamvale/internal/version"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
	"hornbeamvale.example/hornbeamvale/internal/version/routing"
)

const (
	// defaultWait bounds a request whose caller and route state no time limit.
	defaultWait = 30 * time.Second
	// answerMargin is kept back from the time limit so that the last answer still
	// reaches the caller: a way of up to 3 ms and a scheduling delay.
	answerMargin = 15 * time.Millisecond
	// confirmedFor is how long a configuration counts as the newest after the store
	// said so. It is above the time between two reads of the changes (2.5 s).
	confirmedFor = 3 * time.Second
	// staleAfter is how long a VM that is cut off from everything admits requests by
	// the configuration that it has. A withdrawn key then stops within seconds; while
	// the store is down for all VMs, no key can be withdrawn.
	staleAfter = 5 * time.Second
	// retrySoon is when a refused caller should try another VM.
	retrySoon = 100 * time.Millisecond
	// elsewhere is when a caller should try another VM because this one is cut off.
	elsewhere = 10 * time.Millisecond
	// storeWait is how long a turn waits for the store before it is dispatched, and
	// storeRetry when its caller should come back. Outages last seconds; a caller that
	// is refused at once gives up before the store is back.
	storeWait = 800 * time.Millisecond
	// storePart is the largest part of the remaining time that is spent so. A caller
	// that is refused later has no time left for another try.
	storePart  = 0.4
	storeRetry = 900 * time.Millisecond
)

// Replicas sends requests to replicas.
type Replicas interface {
	// Send returns the head of the answer. Errors are of type *call.ReplicaError.
	Send(ctx context.Context, d call.Dispatch) (*call.Reply, error)
}

// Server relays requests. It lives as long as the process and keeps nothing of a
// request.
type Server struct {
	Loop     *fleet.Loop
	Ledger   *ledger.Homes
	Replicas Replicas
	// Store tells how the store is reached.
	Store   *storepath.Path
	Log     *decisionlog.Log
	Metrics *Metrics
}

// exchange is the state of one request.
type exchange struct {
	*Server
	ctx      context.Context
	deadline time.Time
	request  *call.Forward
	answer   call.Relay
	table    *routing.Table
	route    *routing.Route
	customer *version.Customer // nil on a route that is open to all
	group    turntree.Group    // of the program, if its turns are kept or counted
	line     ledger.Line
	reserved bool

	endpoint string
	replica  string
	attempts int
	tokens   int64 // that the caller received
	outcome  string
}

// Serve answers a request. ctx ends when the caller is gone.
func (s *Server) Serve(ctx context.Context, request *call.Forward, answer call.Relay) {
	x := &exchange{Server: s, request: request, answer: answer, deadline: request.Received.Add(defaultWait)}
	snapshot := s.Loop.Snapshot()
	if why := x.admit(snapshot, time.Now()); why != nil {
		x.refuse(why)
		x.finish(ctx)
		return
	}
	var cancel context.CancelFunc
	x.ctx, cancel = context.WithDeadline(ctx, x.deadline)
	defer cancel()
	if why := x.serve(); why != nil {
		x.refuse(why)
	}
	x.finish(ctx)
}

// serve takes an admitted request to its answer, or returns why there is none.
func (x *exchange) serve() *refusal.Refusal {
	if why := x.takeRate(); why != nil {
		return why
	}
	why := x.prepareTurn()
	if why == nil {
		why = x.dispatch()
	}
	if x.reserved {
		x.Ledger.Settle(ledger.Settlement{Group: x.group, Turn: x.request.ID, Used: x.tokens})
	}
	if why != nil && why.Run == refusal.NotRun && x.customer != nil {
		// The rate counts requests that run.
		_ = x.Loop.Post(context.WithoutCancel(x.ctx), fleet.GiveBack{Customer: x.customer.Name})
	}
	return why
}

// takeRate takes the request from its customer's rate.
func (x *exchange) takeRate() *refusal.Refusal {
	if x.customer == nil {
		return nil
	}
	reply := make(chan fleet.Taken, 1)
	take := fleet.Take{
		Customer: x.customer.Name, Deadline: x.deadline, Reply: reply,
		Starts: x.route.Kind == routing.Stream && x.request.Program.Parent == "",
	}
	if x.Loop.Post(x.ctx, take) != nil {
		return x.late(refusal.NotRun)
	}
	select {
	case taken := <-reply:
		if !taken.OK {
			return refusal.New(refusal.RateLimited, "customer %q is at its rate", x.customer.Name).After(max(retrySoon, taken.RetryAfter))
		}
		return nil
	case <-x.ctx.Done():
		return x.late(refusal.NotRun)
	}
}

// prepareTurn reads the history that the turn continues and reserves its tokens.
func (x *exchange) prepareTurn() *refusal.Refusal {
	p := x.request.Program
	if x.route.Kind != routing.Stream || x.customer == nil || p.ID == "" {
		return nil
	}
	x.group = turntree.GroupOf(x.customer.Name, p.ID)
	if x.Store.State() == storepath.Isolated {
		return refusal.New(refusal.StoreUnavailable, "this VM reaches neither the store nor another VM").After(elsewhere)
	}
	ctx, cancel := context.WithTimeout(x.ctx, min(storeWait, time.Duration(storePart*float64(time.Until(x.deadline)))))
	defer cancel()
	opening := ledger.Opening{
		Group: x.group, Customer: x.customer.Name, Turn: x.request.ID, Most: x.request.MaxTokens, Budget: p.Budget,
	}
	if x.route.KeepsHistory {
		opening.Parent = p.Parent
	}
	line, err := x.Ledger.Open(ctx, opening)
	if err != nil {
		var e *ledger.Error
		x.reserved = errors.As(err, &e) && e.Reserved
		return x.ledgerRefusal(err)
	}
	x.line, x.reserved = line, true
	return nil
}

func (x *exchange) ledgerRefusal(err error) *refusal.Refusal {
	switch {
	case errors.Is(err, ledger.ErrBudget):
		return refusal.New(refusal.BudgetExhausted, "the program's budget of %d tokens does not hold the turn", x.request.Program.Budget)
	case errors.Is(err, ledger.ErrNoTurn):
		return refusal.New(refusal.TurnUnknown, "there is no turn %q", x.request.Program.Parent)
	}
	return refusal.New(refusal.StoreUnavailable, "%v", err).After(storeRetry)
}

// late returns the refusal of a request whose time is over.
func (x *exchange) late(run refusal.Run) *refusal.Refusal {
	return refusal.New(refusal.TimeLimit, "no answer within the time limit").WithRun(run)
}

func (x *exchange) refuse(why *refusal.Refusal) {
	x.outcome = string(why.Code) + "/" + string(why.Run)
	x.answer.Refuse(why)
	x.Metrics.refused(why.Code)
}

// finish logs the decision and counts the request.
func (x *exchange) finish(ctx context.Context) {
	took := time.Since(x.request.Received)
	if ctx.Err() != nil {
		x.outcome += " (caller gone)"
	}
	var number uint64
	if x.table != nil {
		number = x.table.Number
	}
	route, customer := "", ""
	if x.route != nil {
		route = x.route.Name
	}
	if x.customer != nil {
		customer = x.customer.Name
	}
	x.Metrics.served(route, x.outcome, took)
	x.Log.Request("Request", "id", x.request.ID, "route", route, "customer", customer,
		"program", x.request.Program.ID, "parent", x.request.Program.Parent, "line", x.line.Len(),
		"version", number, "replica", x.replica, "attempts", x.attempts, "tokens", x.tokens,
		"outcome", x.outcome, "ms", took.Milliseconds())
}
