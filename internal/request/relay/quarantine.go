package relay

import (
	"context"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/connection/call"
	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/fleet"
	"hornbeamvale.example/hornbeamvale/internal/process/quarantine"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// trialRetryAfter is the time after which a caller should come back if another request of
// the same content is being tried.
const trialRetryAfter = time.Second

// requestPrints returns the fingerprints of the request.
func (x *exchange) requestPrints() fleet.RequestPrints {
	if x.prints == nil {
		customer, r := x.customerName(), x.request
		x.prints = &fleet.RequestPrints{
			Body: quarantine.FingerprintOf(customer, r.Path, r.Query, r.Body),
			Path: quarantine.PathFingerprintOf(customer, r.Path, r.Query),
		}
	}
	return *x.prints
}

// quarantineVerdict returns whether the request may be sent to a replica, and the refusal if
// not.
func (x *exchange) quarantineVerdict() (quarantine.Verdict, *refusal.Refusal) {
	view := x.Loop.Snapshot().Quarantine
	if view.Empty() || x.trial {
		return quarantine.Free, nil
	}
	prints := x.requestPrints()
	verdict, left := view.Check(clock.Now(), prints.Body, prints.Path)
	if verdict == quarantine.Blocked {
		return verdict, quarantinedRefusal(left)
	}
	return verdict, nil
}

// leaveQuarantine returns the refusal of a request that must not be sent to a replica now.
// After a block, one request is let through as its trial.
func (x *exchange) leaveQuarantine() *refusal.Refusal {
	verdict, why := x.quarantineVerdict()
	if verdict != quarantine.OnTrial {
		return why
	}
	reply := make(chan bool, 1)
	if x.Loop.Post(x.ctx, fleet.BeginTrial{Prints: x.requestPrints(), Reply: reply}) != nil {
		return x.timeLimitRefusal(refusal.NotRun)
	}
	if x.trial = <-reply; !x.trial {
		return quarantinedRefusal(trialRetryAfter)
	}
	return nil
}

func quarantinedRefusal(left time.Duration) *refusal.Refusal {
	return refusal.New(refusal.Quarantined, "replicas broke off one after the other while they ran this request").After(left)
}

// noteCrash records a run whose connection the replica broke. The snapshot contains it
// afterwards, so that a further attempt sees it.
func (x *exchange) noteCrash(a *attempt, err error, hasOutput bool) {
	if x.ctx.Err() != nil || pathLost(err) || !call.ConnectionBroken(err) {
		return
	}
	x.trial = false
	prints, done := x.requestPrints(), make(chan struct{})
	event := fleet.RunCrashed{Prints: prints, HasOutput: hasOutput, Done: done, Crash: quarantine.Crash{
		Replica: a.replica.Replica, StartedMS: a.replica.StartedMS, Body: prints.Body, Begun: a.startedAt, At: clock.Now(),
	}}
	if x.Loop.Post(x.ctx, event) == nil {
		<-done
	}
}

// noteSuccess records a run that the replica has ended, if the request is suspected.
func (x *exchange) noteSuccess() {
	view := x.Loop.Snapshot().Quarantine
	if view.Empty() {
		return
	}
	if prints := x.requestPrints(); view.Suspected(prints.Body) || view.Suspected(prints.Path) {
		_ = x.Loop.Post(context.WithoutCancel(x.ctx), fleet.RunSucceeded{Prints: prints})
	}
}
