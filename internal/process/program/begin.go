package program

import (
	"slices"
	"strings"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// Begin decides on a request for a turn. A request that is ahead of its turn, or
// that repeats the turn in flight, waits up to its deadline; Ready then returns the
// decision.
func (t *Runs) Begin(now time.Time, req TurnRequest) Decision {
	state := t.slots[req.Key.Slot()]
	if state == nil {
		return refuse(req, refusal.New(refusal.OwnerUnavailable, "this VM does not own the program").After(time.Second))
	}
	r := state.runs[req.Key]
	if state.draining {
		why := refusal.New(refusal.OwnerUnavailable, "the program's owner is handing over").After(time.Second)
		return refuse(req, why.WithRun(r.executionState(req)))
	}
	if r == nil {
		r = &run{key: req.Key}
		r.record.StartedUnix, r.record.ActiveUnix = unix(now), unix(now)
		state.runs[req.Key] = r
	}
	if r.root == nil {
		t.attach(state, r, req.Budget)
	}
	return t.decide(now, r, req).withEntry()
}

func (t *Runs) decide(now time.Time, r *run, req TurnRequest) Decision {
	if r.repeatsCurrent(req) {
		return t.enqueue(now, r, req)
	}
	if d, done := r.answerRepeat(req); done {
		return d
	}
	unresolved := r.record.Intent != nil && r.record.Intent.State == IntentUnknown
	if unresolved && sameCall(r.record.Intent.RequestID, r.record.Intent.Turn, req) {
		// Also when the program has ended: its refusal says "not run", which might be
		// false for this call.
		return r.refuseUnresolved(req)
	}
	if r.record.Status == Ended || r.root.record.Status == Ended {
		return refuse(req, refusal.New(refusal.ProgramEnded, "the program has ended"))
	}
	if unresolved {
		return r.refuseUnresolved(req)
	}
	next := r.record.Turn + 1
	if r.current != nil || req.Turn > next {
		return t.enqueue(now, r, req)
	}
	return t.start(now, r, req, next)
}

// repeatsCurrent says whether a request repeats the turn in flight. Such a request
// waits for the answer of that turn.
func (r *run) repeatsCurrent(req TurnRequest) bool {
	return r.current != nil && sameCall(r.current.request.RequestID, r.current.number, req)
}

// executionState returns what a refusal of the request may state about its
// execution: unknown for a repeat of the turn in flight, else not run.
func (r *run) executionState(req TurnRequest) refusal.RunState {
	if r != nil && r.repeatsCurrent(req) {
		return refusal.Unknown
	}
	return refusal.NotRun
}

// deadline returns when a waiting request is refused. A repeat of the turn in flight
// waits as long as that turn's call may take.
func (r *run) deadline(req TurnRequest) time.Time {
	if r.repeatsCurrent(req) && req.RepeatDeadline.After(req.Deadline) {
		return req.RepeatDeadline
	}
	return req.Deadline
}

// answerRepeat decides on a repeat of a completed turn. It returns false if the
// request does not repeat one.
func (r *run) answerRepeat(req TurnRequest) (Decision, bool) {
	for _, s := range r.record.Settled {
		if sameCall(s.RequestID, s.Turn, req) {
			return refuse(req, refusal.New(refusal.OutcomeUnknown, "the call was settled without an answer").WithRun(s.Outcome)), true
		}
	}
	for i := range r.record.Segments {
		s := &r.record.Segments[i]
		if s.Level > 0 || !sameCall(s.RequestID, s.Turn, req) {
			continue
		}
		if s.Digest != req.Digest {
			return refuse(req, refusal.New(refusal.TurnConflict, "turn %d was a different request", s.Turn)), true
		}
		return Decision{Verdict: Replay, Waiter: req.Waiter, Key: req.Key, Turn: s.Turn, Segments: []Segment{*s}}, true
	}
	if r.record.hasMergedID(req.RequestID) {
		return refuse(req, refusal.New(refusal.TurnConflict, "the request ran; its answer is not kept any more").WithRun(refusal.Ran)), true
	}
	if req.Turn > 0 && req.Turn <= r.record.Turn {
		return refuse(req, refusal.New(refusal.TurnConflict, "turn %d ended; the last turn is %d", req.Turn, r.record.Turn).WithRun(refusal.Ran)), true
	}
	return Decision{}, false
}

// GeneratedIDPrefix is the prefix of the request ids that an entry VM generates to
// recognise its own retries. A caller's repeat gets another generated id, so it is
// matched by the turn number. Ids given by callers may not start with the prefix.
const GeneratedIDPrefix = "~"

// sameCall says whether a request repeats the call with the given id and turn. It
// compares the request ids, or the turn numbers if one of the two ids was not given
// by the caller.
func sameCall(id string, turn uint64, req TurnRequest) bool {
	if id != "" && id == req.RequestID {
		return true
	}
	given := !strings.HasPrefix(id, GeneratedIDPrefix) && !strings.HasPrefix(req.RequestID, GeneratedIDPrefix)
	if given && id != "" && req.RequestID != "" {
		return false
	}
	return req.Turn != 0 && turn == req.Turn
}

func (r *run) refuseUnresolved(req TurnRequest) Decision {
	why := refusal.New(refusal.OutcomeUnknown, "the outcome of turn %d is unknown; settle it first", r.record.Intent.Turn)
	if sameCall(r.record.Intent.RequestID, r.record.Intent.Turn, req) {
		why = why.WithRun(refusal.Unknown)
	}
	return refuse(req, why)
}

func (t *Runs) enqueue(now time.Time, r *run, req TurnRequest) Decision {
	if len(r.waiting) >= maxWaiters || !r.deadline(req).After(now) {
		return refuse(req, r.turnEarlyRefusal(req))
	}
	r.waiting = append(r.waiting, req)
	t.runsWithWaiters[r] = struct{}{}
	return Decision{Verdict: Wait, Waiter: req.Waiter, Key: req.Key, Repeat: r.repeatsCurrent(req)}
}

// turnEarlyRefusal returns the refusal of a request whose turn did not come in time.
func (r *run) turnEarlyRefusal(req TurnRequest) *refusal.Refusal {
	why := refusal.New(refusal.TurnEarly, "turn %d did not come in time; the last turn is %d", req.Turn, r.record.Turn)
	return why.WithRun(r.executionState(req)).After(time.Second)
}

// start reserves the turn's budget and grants the turn, or refuses the request if
// the budget does not cover it.
func (t *Runs) start(now time.Time, r *run, req TurnRequest, number uint64) Decision {
	reserve := req.Reserve
	if req.Kind == ModelTurn {
		reserve.Tokens += r.record.ContextTokens
		reserve.MicroCost += (r.record.ContextTokens*req.HistoryPrice + 999) / 1000
	}
	s := r.spending
	root := &r.root.record
	if s.wall > 0 && unix(now)-root.StartedUnix >= int64(s.wall/time.Second) && root.StartedUnix > 0 {
		return refuse(req, refusal.New(refusal.BudgetExhausted, "the program's time is used up"))
	}
	if !s.fits(reserve) {
		return refuse(req, refusal.New(refusal.BudgetExhausted, "the program's budget does not cover another turn"))
	}
	if root.StartedUnix == 0 {
		root.StartedUnix, root.ActiveUnix = unix(now), unix(now)
	}
	covered := s.reserve(reserve)
	r.current = &turn{request: req, number: number, reserved: reserve}
	r.record.ActiveUnix = unix(now)
	d := Decision{
		Verdict: Dispatch, Waiter: req.Waiter, Key: req.Key, Turn: number, Affinity: r.affinity(req.Endpoint), AttainedService: r.attained,
	}
	if req.Kind == ModelTurn {
		d.Segments = r.history()
	}
	if from, ok := nextMerge(r.record.Segments); ok {
		r.current.merge, r.current.mergeFrom = true, from
		d.Merge = slices.Clone(r.record.Segments[from : from+mergeWidth])
	}
	if req.Kind == NonIdempotentCall {
		r.record.Intent = &Intent{Turn: number, RequestID: req.RequestID, Digest: req.Digest, Endpoint: req.Endpoint}
	}
	if !covered || req.Kind == NonIdempotentCall {
		d.Verdict, d.run, d.turnReserve = DispatchAfterCommit, r, reserve
	}
	return d
}

// history returns the segments of the model turns in order.
func (r *run) history() []Segment {
	segments := make([]Segment, 0, len(r.record.Segments))
	for _, s := range r.record.Segments {
		if s.Kind == ModelTurn {
			segments = append(segments, s)
		}
	}
	return segments
}

// affinity returns the most recent holder at the endpoint.
func (r *run) affinity(endpoint string) Holder {
	for _, h := range slices.Backward(r.record.Holders) {
		if h.Endpoint == endpoint {
			return h
		}
	}
	return Holder{}
}

// withEntry adds the entry that a decision needs. The caller journals it at once, so
// that the rows of one run reach the journal in the order of its changes.
func (d Decision) withEntry() Decision {
	if d.Verdict == DispatchAfterCommit {
		d.Entry = d.run.newEntry(d.turnReserve)
	}
	return d
}

// newEntry returns an entry with the row of the run, and that of its root if the run
// is a sub-agent. The ceiling never decreases: an earlier entry may become durable
// together with this one, and its ceiling may then be spent.
func (r *run) newEntry(turnReserve Amount) *JournalEntry {
	ceiling := r.spending.nextCeiling(turnReserve).max(r.root.record.Ceiling)
	r.root.record.Ceiling = ceiling
	r.stored, r.root.stored = true, true
	e := &JournalEntry{Slot: r.key.Slot()}
	e.rows = append(e.rows, entryRow{key: r.key, record: r.record.clone()})
	if r.root != r {
		e.rows = append(e.rows, entryRow{key: r.root.key, record: r.root.record.clone()})
	}
	return e
}

// MarkDurable reports that an entry is committed. The ceilings in it may then be spent.
func (t *Runs) MarkDurable(e *JournalEntry) {
	for i := range e.rows {
		if r := t.find(e.rows[i].key); r != nil && r.root == r {
			r.spending.ceiling = r.spending.ceiling.max(e.rows[i].record.Ceiling)
		}
	}
}

func refuse(req TurnRequest, why *refusal.Refusal) Decision {
	return Decision{Verdict: Refuse, Waiter: req.Waiter, Key: req.Key, Refusal: why}
}

// IsRequestRun says whether the run represents a single call that has a request id
// and no program.
func IsRequestRun(run string) bool { return strings.HasPrefix(run, RequestRunPrefix) }
