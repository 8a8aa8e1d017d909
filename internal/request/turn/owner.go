package turn

import (
	"context"
	"crypto/sha256"
	"errors"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hornbeamvale.example/hornbeamvale/internal/connection/call"
	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/control"
	"hornbeamvale.example/hornbeamvale/internal/process/eventlog"
	"hornbeamvale.example/hornbeamvale/internal/process/program"
	"hornbeamvale.example/hornbeamvale/internal/version"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

const (
	// defaultMaxTokens is the largest number of tokens of an answer whose caller states
	// none, so that its cost can be reserved.
	defaultMaxTokens = 1024
	// messageOverhead is an upper bound on the tokens that an engine adds to each message
	// of a chat.
	messageOverhead = 8
)

var (
	errAnswerDiffers = errors.New("the repeated answer differs from what the caller has")
	errNoBody        = errors.New("segment of the history has no recorded body")
)

// Owner runs turns at the VM that owns their programs.
type Owner struct {
	Loop       *control.Loop
	Dispatcher *Dispatcher
	History    *HistoryReader
	Limits     WaitLimits
	Log        *eventlog.Log
	Counters   *Counters
}

// RecordedTurn is the recorded body of one turn.
type RecordedTurn struct {
	Messages []call.Message `msgpack:"m,omitempty"`
	Answer   call.Answer    `msgpack:"a"`
}

// Run runs a turn from its start to its durable end. It continues when the caller
// disconnects, so that a repeat of the turn gets its answer.
func (o *Owner) Run(ctx context.Context, t Turn, r call.Responder) *refusal.Refusal {
	decision := o.begin(ctx, t)
	switch decision.Verdict {
	case program.Refuse:
		return decision.Refusal
	case program.Replay:
		return o.replay(ctx, decision, r)
	}
	work := context.WithoutCancel(ctx)
	history, err := o.History.Messages(work, decision.Segments)
	if err != nil {
		return o.abort(work, t, decision, refusal.New(refusal.StoreUnavailable, "the program's history cannot be read").After(time.Second))
	}
	result, why := o.Dispatcher.Run(work, DispatchRequest{Turn: t, Number: decision.Turn, History: history, Decision: decision}, r)
	if why != nil {
		return o.abort(work, t, decision, why)
	}
	result.Turn = decision.Turn
	return o.finish(work, t, decision, result, r)
}

// begin asks the control loop to start the turn and waits for the decision.
func (o *Owner) begin(ctx context.Context, t Turn) program.Decision {
	v := o.Loop.Snapshot().Version
	now := clock.Now()
	req := program.TurnRequest{
		Key: t.Key(), Kind: kindOf(&t), Turn: t.Call.Turn, RequestID: t.Call.RequestID,
		Digest: digest(&t.Call), Endpoint: t.Call.Endpoint, Deadline: now.Add(o.Limits.OrderWait),
	}
	repeatWait := o.Limits.OrderWait
	if ep, ok := v.Endpoint(t.Call.Endpoint); ok {
		repeatWait = ep.Timeout + o.Limits.JournalWait
	}
	req.RepeatDeadline = now.Add(repeatWait)
	req.Reserve, req.HistoryPrice = reservation(v, &t.Call)
	if p, ok := v.Program(t.Call.Run); ok {
		req.Budget = p.Budget
	}
	reply := make(chan program.Decision, 2)
	if err := o.Loop.Post(ctx, control.BeginTurn{Request: req, Reply: reply}); err != nil {
		return refused(refusal.New(refusal.Overloaded, "the control queue is full").After(time.Second))
	}
	// The control loop ends the wait for the previous turn by the deadline above. The
	// time beyond it is for the commit of the journal, which takes longer during an
	// outage of the store.
	timer := time.NewTimer(o.Limits.OrderWait + o.Limits.JournalWait)
	defer timer.Stop()
	earlierRun := refusal.NotRun
	for waiting := true; waiting; {
		select {
		case decision := <-reply:
			if decision.Verdict != program.Wait {
				return decision
			}
			earlierRun = refusal.Unknown // the first call may be running
			timer.Reset(repeatWait + o.Limits.JournalWait)
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
	done := make(chan struct{})
	if o.Loop.Post(context.WithoutCancel(ctx), control.CancelTurnWait{Key: req.Key, Reply: reply, Done: done}) == nil {
		<-done
	}
	select {
	case decision := <-reply:
		if decision.Verdict == program.Dispatch || decision.Verdict == program.DispatchAfterCommit {
			o.abort(context.WithoutCancel(ctx), t, decision, refusal.New(refusal.StoreUnavailable, "cancelled"))
		}
	default:
	}
	return refused(refusal.New(refusal.StoreUnavailable, "the turn could not be recorded in time").WithRun(earlierRun).After(time.Second))
}

// refused returns a decision that refuses the turn.
func refused(why *refusal.Refusal) program.Decision {
	return program.Decision{Verdict: program.Refuse, Refusal: why}
}

// replay answers a repeated turn with its recorded answer.
func (o *Owner) replay(ctx context.Context, decision program.Decision, r call.Responder) *refusal.Refusal {
	body, err := o.History.RecordedTurn(ctx, decision.Segments[0])
	if err != nil {
		return refusal.New(refusal.StoreUnavailable, "the recorded answer cannot be read").WithRun(refusal.Ran).After(time.Second)
	}
	o.Log.Add(eventlog.Event{Kind: eventlog.TurnReplayed, Customer: decision.Key.Customer, Run: decision.Key.Run, Turn: int64(decision.Turn)})
	body.Answer.Replayed = true
	return ignoreCallerGone(r.End(body.Answer))
}

// finish makes the turn durable and then ends the answer.
func (o *Owner) finish(ctx context.Context, t Turn, decision program.Decision, result DispatchResult, r call.Responder) *refusal.Refusal {
	recorded := RecordedTurn{Answer: result.Answer}
	if t.Call.Chat != nil {
		recorded.Messages = t.Call.Chat.Messages
	}
	body, err := msgpack.Marshal(&recorded)
	if err != nil {
		return o.abort(ctx, t, decision, refusal.New(refusal.Internal, "the answer cannot be recorded").WithRun(refusal.Ran))
	}
	merged := o.History.Merge(ctx, decision.Merge)
	reply := make(chan control.FinishResult, 1)
	e := control.FinishTurn{Key: t.Key(), Turn: decision.Turn, Waiter: decision.Waiter, Reply: reply, Result: program.Result{
		Body: body, Merged: merged, Spent: result.Spent, ContextTokens: result.ContextTokens, Holder: result.Holder, AttainedService: result.ServiceTime.Milliseconds(),
	}}
	if err := o.Loop.Post(ctx, e); err != nil {
		return refusal.New(refusal.Internal, "the control loop has stopped").WithRun(refusal.Unknown)
	}
	timer := time.NewTimer(o.Limits.JournalWait)
	defer timer.Stop()
	waitStart := clock.Now()
	select {
	case end := <-reply:
		o.Counters.waitedForJournal(clock.Since(waitStart))
		if end.Refusal != nil {
			return end.Refusal
		}
		o.History.Bodies.Put(end.Body, body)
		if end.Merged.Length > 0 {
			o.History.Bodies.Put(end.Merged, merged)
		}
	case <-timer.C:
		return refusal.New(refusal.StoreUnavailable, "the turn could not be recorded in time").WithRun(refusal.Unknown).After(time.Second)
	}
	return ignoreCallerGone(r.End(result.Answer))
}

// ignoreCallerGone discards the error of a caller that disconnected before the end of its
// answer: the turn is durable, and a repeat gets the recorded answer.
func ignoreCallerGone(error) *refusal.Refusal { return nil }

// abort ends a turn without an answer and returns the given refusal.
func (o *Owner) abort(ctx context.Context, t Turn, decision program.Decision, why *refusal.Refusal) *refusal.Refusal {
	reply := make(chan *refusal.Refusal, 1)
	if o.Loop.Post(ctx, control.AbortTurn{Key: t.Key(), Turn: decision.Turn, Waiter: decision.Waiter, State: why.Run, Reply: reply}) != nil {
		return why
	}
	timer := time.NewTimer(o.Limits.JournalWait)
	defer timer.Stop()
	select {
	case <-reply: // if the abort is not recorded, the record keeps the intent, which is safe
	case <-timer.C:
	}
	return why
}

// EndRun ends a run and the runs of its sub-agents.
func (o *Owner) EndRun(ctx context.Context, key program.Key) *refusal.Refusal {
	reply := make(chan *refusal.Refusal, 1)
	return o.postChange(ctx, control.EndRun{Key: key, Reply: reply}, reply)
}

// Settle records the outcome of a call whose outcome is unknown.
func (o *Owner) Settle(ctx context.Context, key program.Key, requestID string, outcome refusal.RunState) *refusal.Refusal {
	reply := make(chan *refusal.Refusal, 1)
	return o.postChange(ctx, control.SettleCall{Key: key, RequestID: requestID, Outcome: outcome, Reply: reply}, reply)
}

// postChange posts an event of a change and waits until the change is durable or refused.
func (o *Owner) postChange(ctx context.Context, e control.Event, reply <-chan *refusal.Refusal) *refusal.Refusal {
	wait, cancel := context.WithTimeout(ctx, o.Limits.JournalWait)
	defer cancel()
	if o.Loop.Post(wait, e) != nil {
		return refusal.New(refusal.Overloaded, "the control queue is full").After(time.Second)
	}
	select {
	case why := <-reply:
		return why
	case <-wait.Done():
		return refusal.New(refusal.StoreUnavailable, "the change could not be recorded in time").WithRun(refusal.Unknown)
	}
}

// kindOf returns the kind of a turn, which determines whether it may be repeated.
func kindOf(t *Turn) program.Kind {
	switch {
	case t.Call.Chat != nil:
		return program.ModelTurn
	case t.Idempotent:
		return program.IdempotentCall
	default:
		return program.NonIdempotentCall
	}
}

// digest returns a hash of the contents of a call without its id and turn number, to
// recognise repeats.
func digest(c *call.Call) program.Digest {
	h := sha256.New()
	enc := msgpack.NewEncoder(h)
	enc.SetSortMapKeys(true)
	_ = enc.EncodeMulti(c.Endpoint, c.Chat, c.Service) // writing to a hash cannot fail
	return program.Digest(h.Sum(nil)[:len(program.Digest{})])
}

// reservation returns an upper bound on the cost of the call without its history, and
// the price of a thousand tokens of the history.
func reservation(v *version.Version, c *call.Call) (program.Amount, int64) {
	a := program.Amount{Turns: 1}
	if c.Chat != nil {
		for _, m := range c.Chat.Messages {
			a.Tokens += int64(len(m.Content)) + messageOverhead // a token has at least one byte
		}
		a.Tokens += int64(maxTokens(c.Chat))
	}
	ep, ok := v.Endpoint(c.Endpoint)
	if !ok {
		return a, 0
	}
	a.MicroCost = price(ep, a.Tokens)
	return a, ep.Price.PerThousandTokens
}

// price returns the price of a call in millionths of the currency unit, rounded up.
func price(ep *version.Endpoint, tokens int64) int64 {
	return ep.Price.PerCall + (tokens*ep.Price.PerThousandTokens+999)/1000
}

// maxTokens returns the largest number of tokens of the answer.
func maxTokens(c *call.Chat) int {
	if c.MaxTokens > 0 {
		return c.MaxTokens
	}
	return defaultMaxTokens
}
