package program

import (
	"slices"
	"strings"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// Begin decides on a turn. A request whose turn has not come waits up to its
// deadline and is then named by Ready.
func (t *Runs) Begin(now time.Time, b Begin) Grant {
	state := t.slots[b.Key.Slot()]
	if state == nil {
		return refuse(b, refusal.New(refusal.OwnerUnavailable, "this VM does not own the program").After(time.Second))
	}
	r := state.runs[b.Key]
	if state.draining {
		why := refusal.New(refusal.OwnerUnavailable, "the program's owner is handing over").After(time.Second)
		return refuse(b, why.WithRun(r.known(b)))
	}
	if r == nil {
		r = &run{key: b.Key}
		r.record.StartedUnix, r.record.ActiveUnix = unix(now), unix(now)
		state.runs[b.Key] = r
	}
	if r.root == nil {
		t.attach(state, r, b.Budget)
	}
	return t.decide(now, r, b).withEntry()
}

func (t *Runs) decide(now time.Time, r *run, b Begin) Grant {
	if r.repeatsCurrent(b) {
		return t.wait(now, r, b)
	}
	if g, done := r.recorded(b); done {
		return g
	}
	held := r.record.Intent != nil && r.record.Intent.State == IntentUnknown
	if held && sameCall(r.record.Intent.RequestID, r.record.Intent.Turn, b) {
		return r.heldByUnknown(b) // also after the end: "not run" might be false
	}
	if r.record.Status == Ended || r.root.record.Status == Ended {
		return refuse(b, refusal.New(refusal.ProgramEnded, "the program has ended"))
	}
	if held {
		return r.heldByUnknown(b)
	}
	next := r.record.Turn + 1
	if r.current != nil || b.Turn > next {
		return t.wait(now, r, b)
	}
	return t.start(now, r, b, next)
}

// repeatsCurrent says whether a request repeats the turn in flight. It then waits
// for that turn's answer.
func (r *run) repeatsCurrent(b Begin) bool {
	return r.current != nil && sameCall(r.current.begin.RequestID, r.current.number, b)
}

// known returns what a refusal may say of a request: the call of a repeat may be
// running.
func (r *run) known(b Begin) refusal.RunState {
	if r != nil && r.repeatsCurrent(b) {
		return refusal.Unknown
	}
	return refusal.NotRun
}

// deadline is when a waiting request is refused. A repeat waits as long as its call
// may take.
func (r *run) deadline(b Begin) time.Time {
	if r.repeatsCurrent(b) && b.RepeatDeadline.After(b.Deadline) {
		return b.RepeatDeadline
	}
	return b.Deadline
}

// recorded answers a repeat of a turn that has ended.
func (r *run) recorded(b Begin) (Grant, bool) {
	for _, s := range r.record.Settled {
		if sameCall(s.RequestID, s.Turn, b) {
			return refuse(b, refusal.New(refusal.OutcomeUnknown, "the call was settled without an answer").WithRun(s.Outcome)), true
		}
	}
	for i := range r.record.Segments {
		s := &r.record.Segments[i]
		if s.Level > 0 || !sameCall(s.RequestID, s.Turn, b) {
			continue
		}
		if s.Digest != b.Digest {
			return refuse(b, refusal.New(refusal.TurnConflict, "turn %d was a different request", s.Turn)), true
		}
		return Grant{Verdict: Replay, Waiter: b.Waiter, Key: b.Key, Turn: s.Turn, Segments: []Segment{*s}}, true
	}
	if r.record.merged(b.RequestID) {
		return refuse(b, refusal.New(refusal.TurnConflict, "the request ran; its answer is not kept any more").WithRun(refusal.Ran)), true
	}
	if b.Turn > 0 && b.Turn <= r.record.Turn {
		return refuse(b, refusal.New(refusal.TurnConflict, "turn %d ended; the last turn is %d", b.Turn, r.record.Turn).WithRun(refusal.Ran)), true
	}
	return Grant{}, false
}

// GeneratedIDPrefix starts the request ids that an entry VM made up, so that its
// own repeats are recognised. They differ between a caller's repeats, which are
// then matched by the turn number. Callers' ids may not start with it.
const GeneratedIDPrefix = "~"

// sameCall matches a request by its id, or by its turn number if one of the two
// ids was not given by the caller.
func sameCall(id string, turn uint64, b Begin) bool {
	if id != "" && id == b.RequestID {
		return true
	}
	given := !strings.HasPrefix(id, GeneratedIDPrefix) && !strings.HasPrefix(b.RequestID, GeneratedIDPrefix)
	if given && id != "" && b.RequestID != "" {
		return false
	}
	return b.Turn != 0 && turn == b.Turn
}

func (r *run) heldByUnknown(b Begin) Grant {
	why := refusal.New(refusal.OutcomeUnknown, "the outcome of turn %d is unknown; settle it first", r.record.Intent.Turn)
	if sameCall(r.record.Intent.RequestID, r.record.Intent.Turn, b) {
		why = why.WithRun(refusal.Unknown)
	}
	return refuse(b, why)
}

func (t *Runs) wait(now time.Time, r *run, b Begin) Grant {
	if len(r.waiting) >= maxWaiters || !r.deadline(b).After(now) {
		return refuse(b, r.early(b))
	}
	r.waiting = append(r.waiting, b)
	t.waiters[r] = struct{}{}
	return Grant{Verdict: Wait, Waiter: b.Waiter, Key: b.Key, Repeat: r.repeatsCurrent(b)}
}

// early refuses a request whose turn did not come in time.
func (r *run) early(b Begin) *refusal.Refusal {
	why := refusal.New(refusal.TurnEarly, "turn %d did not come in time; the last turn is %d", b.Turn, r.record.Turn)
	return why.WithRun(r.known(b)).After(time.Second)
}

// start reserves the budget and grants the turn.
func (t *Runs) start(now time.Time, r *run, b Begin, number uint64) Grant {
	reserve := b.Reserve
	if b.Kind == ModelTurn {
		reserve.Tokens += r.record.ContextTokens
		reserve.MicroCost += (r.record.ContextTokens*b.HistoryPrice + 999) / 1000
	}
	l := r.ledger
	root := &r.root.record
	if l.wall > 0 && unix(now)-root.StartedUnix >= int64(l.wall/time.Second) && root.StartedUnix > 0 {
		return refuse(b, refusal.New(refusal.BudgetExhausted, "the program's time is used up"))
	}
	if !l.fits(reserve) {
		return refuse(b, refusal.New(refusal.BudgetExhausted, "the program's budget does not cover another turn"))
	}
	if root.StartedUnix == 0 {
		root.StartedUnix, root.ActiveUnix = unix(now), unix(now)
	}
	covered := l.reserve(reserve)
	r.current = &turn{begin: b, number: number, reserved: reserve}
	r.record.ActiveUnix = unix(now)
	g := Grant{
		Verdict: Run, Waiter: b.Waiter, Key: b.Key, Turn: number, Affinity: r.affinity(b.Endpoint), Attained: r.attained,
	}
	if b.Kind == ModelTurn {
		g.Segments = r.history()
	}
	if from, ok := mergeable(r.record.Segments); ok {
		r.current.merge, r.current.mergeFrom = true, from
		g.Merge = slices.Clone(r.record.Segments[from : from+mergeWidth])
	}
	if b.Kind == NonIdempotentCall {
		r.record.Intent = &Intent{Turn: number, RequestID: b.RequestID, Digest: b.Digest, Endpoint: b.Endpoint}
	}
	if !covered || b.Kind == NonIdempotentCall {
		g.Verdict, g.run, g.ahead = RunAfterCommit, r, reserve
	}
	return g
}

// history returns the model turns' segments in order.
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

// withEntry makes the entry that a grant needs. It is journaled at once, so that
// the rows of one run reach the journal in the order of its changes.
func (g Grant) withEntry() Grant {
	if g.Verdict == RunAfterCommit {
		g.Entry = g.run.entry(g.ahead)
	}
	return g
}

// entry forms the rows to journal: the run's, and the root's if it is another. The
// ceiling does not shrink: an earlier entry may become durable with this one, and
// its ceiling may then be spent.
func (r *run) entry(ahead Amount) *Entry {
	ceiling := r.ledger.nextCeiling(ahead).max(r.root.record.Ceiling)
	r.root.record.Ceiling = ceiling
	r.stored, r.root.stored = true, true
	e := &Entry{Slot: r.key.Slot()}
	e.rows = append(e.rows, entryRow{key: r.key, record: r.record.clone()})
	if r.root != r {
		e.rows = append(e.rows, entryRow{key: r.root.key, record: r.root.record.clone()})
	}
	return e
}

// Durable tells that a grant's entry is committed: its ceiling may be spent.
func (t *Runs) Durable(e *Entry) {
	for i := range e.rows {
		if r := t.find(e.rows[i].key); r != nil && r.root == r {
			r.ledger.ceiling = r.ledger.ceiling.max(e.rows[i].record.Ceiling)
		}
	}
}

func refuse(b Begin, why *refusal.Refusal) Grant {
	return Grant{Verdict: Refuse, Waiter: b.Waiter, Key: b.Key, Refusal: why}
}

// IsRequestRun says whether the run stands for one call with a request id.
func IsRequestRun(run string) bool { return strings.HasPrefix(run, RequestRunPrefix) }
