package turn

import (
	"context"
	"crypto/rand"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/connection/call"
	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/control"
	"hornbeamvale.example/hornbeamvale/internal/process/eventlog"
	"hornbeamvale.example/hornbeamvale/internal/process/ownership"
	"hornbeamvale.example/hornbeamvale/internal/process/program"
	"hornbeamvale.example/hornbeamvale/internal/request/admission"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// ownerRetryInterval is the time before a call is sent again to a program's owner.
const ownerRetryInterval = 50 * time.Millisecond

// Forwarder sends a call to the VM that owns its program.
type Forwarder interface {
	// Forward returns nil after the whole answer was passed to r. A refusal with run
	// state NotRun guarantees that the call has not run.
	Forward(ctx context.Context, to control.Peer, t Turn, r call.Responder) *refusal.Refusal
	// EndRun and Settle are carried out by the owner.
	EndRun(ctx context.Context, to control.Peer, key program.Key) *refusal.Refusal
	Settle(ctx context.Context, to control.Peer, key program.Key, requestID string, outcome refusal.RunState) *refusal.Refusal
}

// Turn is an admitted call, as it is sent to the program's owner.
type Turn struct {
	Customer   string    `msgpack:"c"`
	Idempotent bool      `msgpack:"i"`
	Call       call.Call `msgpack:"l"`
}

// Key returns the program run of the call.
func (t *Turn) Key() program.Key { return program.Key{Customer: t.Customer, Run: t.Call.Run} }

// WaitLimits bounds the waits of a call.
type WaitLimits struct {
	// RateWait bounds the wait for tokens of the customer's rate.
	RateWait time.Duration
	// OrderWait bounds the wait for the previous turn of the run.
	OrderWait time.Duration
	// OwnerWait bounds the wait for a new owner after a failure.
	OwnerWait time.Duration
	// QueueWait bounds the wait in the queue for a replica.
	QueueWait time.Duration
	// JournalWait bounds the wait for a commit of the journal.
	JournalWait time.Duration
}

// Entry serves the callers of an entry VM.
type Entry struct {
	Loop      *control.Loop
	Forwarder Forwarder
	Owner     *Owner
	Limits    WaitLimits
	Log       *eventlog.Log
	Counters  *Counters
}

// Serve admits a call, relays its answer to r and counts the outcome.
func (e *Entry) Serve(ctx context.Context, caller call.Caller, c *call.Call, r call.Responder) *refusal.Refusal {
	customer, why := e.serve(ctx, caller, c, r)
	e.Counters.served(why)
	if why != nil {
		e.Log.Add(eventlog.Event{Kind: eventlog.TurnRefused, Customer: customer, Run: c.Run, Turn: int64(c.Turn), Detail: string(why.Code)})
	}
	return why
}

// serve answers a call. It also returns the customer's name, empty if it is not known.
func (e *Entry) serve(ctx context.Context, caller call.Caller, c *call.Call, r call.Responder) (string, *refusal.Refusal) {
	admitted, why := admission.Check(e.localState(), caller.Key, c)
	if why != nil {
		return "", why
	}
	customer := admitted.CustomerName()
	if why := e.takeRate(ctx, customer); why != nil {
		return customer, why
	}
	t := Turn{Customer: customer, Idempotent: admitted.Idempotent, Call: *c}
	if t.Call.Run == "" && !t.Idempotent {
		t.Call.Run, t.Call.Turn = program.RequestRunPrefix+t.Call.RequestID, 1
	}
	if t.Call.RequestID == "" {
		t.Call.RequestID = program.GeneratedIDPrefix + rand.Text()
	}
	if t.Call.Run == "" {
		return customer, e.Owner.RunOutsideProgram(ctx, t, r)
	}
	e.Log.Add(eventlog.Event{Kind: eventlog.TurnAdmitted, Customer: t.Customer, Run: t.Call.Run, Turn: int64(t.Call.Turn)})
	return customer, e.route(ctx, t, r)
}

// localState returns the state of this VM that admission depends on.
func (e *Entry) localState() admission.LocalState {
	s, now := e.Loop.Snapshot(), clock.Now()
	return admission.LocalState{
		Version: s.Version, VM: s.Info.VM, Joined: s.Joined && s.SeatValid(now), Fresh: s.ConfigurationFresh(now), Stopping: s.Stopping,
	}
}

// takeRate takes the request from its customer's rate and waits up to RateWait for
// tokens.
func (e *Entry) takeRate(ctx context.Context, customer string) *refusal.Refusal {
	if customer == "" {
		return nil
	}
	deadline := clock.Now().Add(e.Limits.RateWait)
	wait, cancel := context.WithTimeout(ctx, clock.Until(deadline))
	defer cancel()
	reply := make(chan bool, 1)
	if e.Loop.Post(wait, control.TakeRateToken{Customer: customer, Deadline: deadline, Reply: reply}) != nil {
		return refusal.New(refusal.Overloaded, "the control queue is full").After(time.Second)
	}
	select {
	case ok := <-reply:
		if ok {
			return nil
		}
	case <-wait.Done():
		_ = e.Loop.Post(context.WithoutCancel(ctx), control.CancelRateWait{Reply: reply})
	}
	return refusal.New(refusal.RateLimited, "the customer's rate is used up").After(time.Second)
}

// route sends a call to its program's owner. If the owner is unavailable, it sends the
// call again, to the new owner if there is one, for up to OwnerWait. A non-idempotent
// call is not run twice by that: the owner's records decide whether it may run again.
func (e *Entry) route(ctx context.Context, t Turn, r call.Responder) *refusal.Refusal {
	deadline := clock.Now().Add(e.Limits.OwnerWait)
	relay := &resumer{next: r}
	var earlierRun refusal.RunState = refusal.NotRun
	for {
		why := e.attempt(ctx, t, relay)
		if why == nil || relay.broken || ctx.Err() != nil {
			return withEarlierRun(why, earlierRun)
		}
		if why.Run != refusal.NotRun {
			earlierRun = refusal.Unknown
		}
		again := why.Code == refusal.OwnerUnavailable
		if !again || clock.Now().Add(ownerRetryInterval).After(deadline) {
			return withEarlierRun(why, earlierRun)
		}
		e.Log.Add(eventlog.Event{Kind: eventlog.TurnRetried, Customer: t.Customer, Run: t.Call.Run, Turn: int64(t.Call.Turn), Detail: why.Message})
		if !clock.Sleep(ctx, ownerRetryInterval) {
			return withEarlierRun(why, earlierRun)
		}
		relay.restart()
	}
}

// withEarlierRun returns the refusal of the last attempt with the run state of all
// attempts: it does not say NotRun if an earlier attempt may have run.
func withEarlierRun(why *refusal.Refusal, earlierRun refusal.RunState) *refusal.Refusal {
	if why != nil && why.Run == refusal.NotRun && earlierRun != refusal.NotRun {
		return why.WithRun(earlierRun)
	}
	return why
}

// attempt sends the call to the current owner of its program, which may be this VM.
func (e *Entry) attempt(ctx context.Context, t Turn, r call.Responder) *refusal.Refusal {
	s := e.Loop.Snapshot()
	key := t.Key()
	peer, ok := s.Owner(key.Slot())
	switch {
	case !ok:
		return refusal.New(refusal.OwnerUnavailable, "the program has no owner now").After(time.Second)
	case peer.ID == s.Self:
		return e.Owner.Run(ctx, t, r)
	default:
		e.Log.Add(eventlog.Event{Kind: eventlog.TurnForwarded, Customer: t.Customer, Run: t.Call.Run, Turn: int64(t.Call.Turn), Detail: peer.VM})
		return e.Forwarder.Forward(ctx, peer, t, r)
	}
}

// EndRun ends a program run of the caller at its owner.
func (e *Entry) EndRun(ctx context.Context, caller call.Caller, run string) *refusal.Refusal {
	customer, why := admission.Identify(e.localState(), caller.Key)
	if why != nil {
		return why
	}
	key := program.Key{Customer: customer.Name, Run: run}
	return e.atOwner(ctx, key.Slot(), func(p control.Peer, self bool) *refusal.Refusal {
		if self {
			return e.Owner.EndRun(ctx, key)
		}
		return e.Forwarder.EndRun(ctx, p, key)
	})
}

// Settle records the outcome that a caller states for a call whose outcome is
// unknown.
func (e *Entry) Settle(ctx context.Context, caller call.Caller, st call.Settlement) *refusal.Refusal {
	customer, why := admission.Identify(e.localState(), caller.Key)
	if why != nil {
		return why
	}
	return e.SettleFor(ctx, customer.Name, st)
}

// SettleFor settles a call of a customer for the caller or for an operator.
func (e *Entry) SettleFor(ctx context.Context, customer string, st call.Settlement) *refusal.Refusal {
	run := st.Run
	if run == "" {
		run = program.RequestRunPrefix + st.RequestID
	}
	key := program.Key{Customer: customer, Run: run}
	return e.atOwner(ctx, key.Slot(), func(p control.Peer, self bool) *refusal.Refusal {
		if self {
			return e.Owner.Settle(ctx, key, st.RequestID, st.Outcome)
		}
		return e.Forwarder.Settle(ctx, p, key, st.RequestID, st.Outcome)
	})
}

// atOwner calls do with the slot's owner and repeats it while the owner is
// unavailable, for up to OwnerWait. The operation has to be idempotent.
func (e *Entry) atOwner(ctx context.Context, slot ownership.Slot, do func(p control.Peer, self bool) *refusal.Refusal) *refusal.Refusal {
	deadline := clock.Now().Add(e.Limits.OwnerWait)
	for {
		s := e.Loop.Snapshot()
		why := refusal.New(refusal.OwnerUnavailable, "the program has no owner now").After(time.Second)
		if p, ok := s.Owner(slot); ok {
			why = do(p, p.ID == s.Self)
		}
		if why == nil || why.Code != refusal.OwnerUnavailable || clock.Now().After(deadline) {
			return why
		}
		if !clock.Sleep(ctx, ownerRetryInterval) {
			return why
		}
	}
}
