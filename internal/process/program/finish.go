package program

import (
	"strconv"
	"strings"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// Result is what a turn that ran has brought.
type Result struct {
	// Body is the recorded exchange: the new messages and the answer.
	Body []byte
	// Merged holds the bodies of the model turns of Grant.Merge, one after another;
	// nil leaves the segments as they are.
	Merged []byte
	Spent  Amount
	// ContextTokens is the size of the history after the turn; 0 leaves it.
	ContextTokens int64
	Holder        Holder
	// Attained is the service that the turn has had, in milliseconds at a replica.
	Attained int64
}

// Finish ends the turn that was granted to waiter. The turn number would not do: a
// slot that was lost and came back may have the same turn in flight again. The returned entry has to be journaled, and
// Committed called when it is durable. Finish returns nil when this member no
// longer owns the run: the turn is then not acknowledged.
func (t *Runs) Finish(now time.Time, k Key, waiter uint64, res Result) *Entry {
	r := t.inFlight(k, waiter)
	if r == nil || r.current.committing {
		return nil
	}
	c := r.current
	c.committing = true
	r.ledger.settle(c.reserved, res.Spent)
	r.attained += res.Attained
	e := &Entry{}
	place := e.add(res.Body)
	if c.merge && res.Merged != nil {
		r.record.merge(c.mergeFrom, Segment{Body: e.add(res.Merged)})
	}
	r.record.Turn = c.number
	r.record.Intent = nil
	r.record.ActiveUnix = unix(now)
	r.record.Segments = append(r.record.Segments, Segment{
		Turn: c.number, Kind: c.begin.Kind, RequestID: c.begin.RequestID, Digest: c.begin.Digest, Body: place,
	})
	if res.ContextTokens > 0 {
		r.record.ContextTokens = res.ContextTokens
	}
	r.record.addHolder(res.Holder)
	rows := r.entry(c.reserved)
	e.Slot, e.rows = rows.Slot, rows.rows
	return e
}

// Committed frees the run for its next turn after Finish's entry is durable.
func (t *Runs) Committed(now time.Time, k Key, waiter uint64) {
	if r := t.inFlight(k, waiter); r != nil && r.current.committing {
		r.current = nil
		t.wake(now, r)
	}
}

// Abort ends a turn that brought no answer. state says what is known of it. The
// returned entry, if any, has to be journaled before the caller is told: it
// clears the intent or marks it as unknown.
func (t *Runs) Abort(now time.Time, k Key, waiter uint64, state refusal.RunState) *Entry {
	r := t.inFlight(k, waiter)
	if r == nil || r.current.committing {
		return nil
	}
	c := r.current
	spent := c.reserved // what the endpoint charged is not known
	if state == refusal.NotRun {
		spent = Amount{}
	}
	r.ledger.settle(c.reserved, spent)
	r.current = nil
	var e *Entry
	if r.record.Intent != nil {
		if state == refusal.NotRun {
			r.record.Intent = nil
		} else {
			r.record.Intent.State = IntentUnknown
		}
		e = r.entry(Amount{})
	}
	t.wake(now, r)
	return e
}

// named says whether a settlement means this call. A call without a caller's
// request id is named by its turn number.
func (i *Intent) named(requestID string) bool {
	generated := strings.HasPrefix(i.RequestID, GeneratedIDPrefix)
	return requestID == i.RequestID || (generated && requestID == strconv.FormatUint(i.Turn, 10))
}

// Settle decides an unknown call by the word of its caller or an operator.
func (t *Runs) Settle(now time.Time, k Key, requestID string, outcome refusal.RunState) (*Entry, *refusal.Refusal) {
	r := t.find(k)
	if r == nil || r.record.Intent == nil || r.record.Intent.State != IntentUnknown {
		return nil, refusal.New(refusal.BadRequest, "the program has no call with an unknown outcome")
	}
	intent := r.record.Intent
	if !intent.named(requestID) {
		return nil, refusal.New(refusal.BadRequest, "the unknown call has another request id")
	}
	if outcome != refusal.Ran && outcome != refusal.NotRun {
		return nil, refusal.New(refusal.BadRequest, "the outcome must be %q or %q", refusal.Ran, refusal.NotRun)
	}
	r.record.Intent = nil
	if outcome == refusal.Ran {
		r.record.Turn = intent.Turn
		r.record.Settled = append(r.record.Settled, Settled{Turn: intent.Turn, RequestID: intent.RequestID, Outcome: outcome})
	}
	r.record.ActiveUnix = unix(now)
	e := r.entry(Amount{})
	t.wake(now, r)
	return e, nil
}

// End ends a run and, for a root, all its sub-agents. The entries have to be
// journaled; the holders' cache is then released. Turns in flight end normally.
func (t *Runs) End(now time.Time, k Key) ([]*Entry, *refusal.Refusal) {
	state := t.slots[k.Slot()]
	if state == nil {
		return nil, refusal.New(refusal.OwnerUnavailable, "this VM does not own the program").After(time.Second)
	}
	var ended []*run
	for key, r := range state.runs {
		if key.Customer != k.Customer || !sameOrBelow(key.Run, k.Run) || r.record.Status == Ended {
			continue
		}
		r.record.Status = Ended
		r.record.ActiveUnix = unix(now)
		t.refuseWaiters(r, refusal.New(refusal.ProgramEnded, "the program has ended"))
		ended = append(ended, r)
	}
	// Each entry holds the root's row too, so none is made before all have ended.
	entries := make([]*Entry, 0, len(ended))
	for _, r := range ended {
		entries = append(entries, r.entry(Amount{}))
	}
	return entries, nil
}

// sameOrBelow says whether run is root or a sub-agent below it.
func sameOrBelow(run, root string) bool {
	return run == root || (len(run) > len(root) && run[:len(root)] == root && run[len(root)] == '/')
}

// Release is a replica that may hold cache of an ended run.
type Release struct {
	Key    Key
	Holder Holder
}

// Releases returns the cache releases that are due for ended runs without a turn
// in flight.
func (t *Runs) Releases() []Release {
	var due []Release
	for _, state := range t.slots {
		for _, r := range state.runs {
			if r.record.Status != Ended || r.current != nil {
				continue
			}
			for _, h := range r.record.Holders {
				due = append(due, Release{Key: r.key, Holder: h})
			}
		}
	}
	return due
}

// Released records that a replica holds no cache of the run any more.
func (t *Runs) Released(rel Release) *Entry {
	r := t.find(rel.Key)
	if r == nil {
		return nil
	}
	for i, h := range r.record.Holders {
		if h == rel.Holder {
			r.record.Holders = append(r.record.Holders[:i:i], r.record.Holders[i+1:]...)
			return r.entry(Amount{})
		}
	}
	return nil
}

// ExpireWaiters refuses the requests whose wait is over.
func (t *Runs) ExpireWaiters(now time.Time) {
	for r := range t.waiters {
		kept := r.waiting[:0]
		for _, b := range r.waiting {
			if r.deadline(b).After(now) {
				kept = append(kept, b)
				continue
			}
			t.ready = append(t.ready, refuse(b, r.early(b)))
		}
		r.waiting = kept
		if len(kept) == 0 {
			delete(t.waiters, r)
		}
	}
}

// Cancel drops a waiting request whose caller is gone.
func (t *Runs) Cancel(k Key, waiter uint64) {
	r := t.find(k)
	if r == nil {
		return
	}
	for i, b := range r.waiting {
		if b.Waiter == waiter {
			r.waiting = append(r.waiting[:i:i], r.waiting[i+1:]...)
			break
		}
	}
	if len(r.waiting) == 0 {
		delete(t.waiters, r)
	}
}

// NextDeadline returns the earliest deadline of a waiting request, or zero.
func (t *Runs) NextDeadline() time.Time {
	var next time.Time
	for r := range t.waiters {
		for _, b := range r.waiting {
			if d := r.deadline(b); next.IsZero() || d.Before(next) {
				next = d
			}
		}
	}
	return next
}

func (t *Runs) inFlight(k Key, waiter uint64) *run {
	r := t.find(k)
	if r == nil || r.current == nil || r.current.begin.Waiter != waiter {
		return nil
	}
	return r
}

// wake decides again on the requests that wait for the run.
func (t *Runs) wake(now time.Time, r *run) {
	waiting := r.waiting
	r.waiting = nil
	delete(t.waiters, r)
	for _, b := range waiting {
		if g := t.decide(now, r, b); g.Verdict != Wait {
			t.ready = append(t.ready, g)
		}
	}
}
