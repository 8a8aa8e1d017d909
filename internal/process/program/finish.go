package program

import (
	"strconv"
	"strings"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// Result is the result of a turn that ran.
type Result struct {
	// Body holds the new messages and the answer, to be recorded.
	Body []byte
	// Merged is the concatenation of the bodies of the model turns in Decision.Merge;
	// nil leaves the segments unmerged.
	Merged []byte
	Spent  Amount
	// ContextTokens is the size of the history after the turn in tokens; 0 leaves the
	// recorded size.
	ContextTokens int64
	Holder        Holder
	// AttainedService is the service that the turn received, in milliseconds at a
	// replica.
	AttainedService int64
}

// Finish records the result of the turn that was granted to waiter. The turn number
// is not enough to identify the grant: a slot that this VM lost and regained may have
// the same turn in flight again. The returned entry must be journaled, and Committed
// called when it is durable. Finish returns nil if this VM no longer owns the run or
// the grant is not in flight any more: the turn is then not acknowledged.
func (t *Runs) Finish(now time.Time, k Key, waiter uint64, res Result) *JournalEntry {
	r := t.inFlight(k, waiter)
	if r == nil || r.current.committing {
		return nil
	}
	c := r.current
	c.committing = true
	r.spending.settle(c.reserved, res.Spent)
	r.attained += res.AttainedService
	e := &JournalEntry{}
	ref := e.add(res.Body)
	if c.merge && res.Merged != nil {
		r.record.merge(c.mergeFrom, Segment{Body: e.add(res.Merged)})
	}
	r.record.Turn = c.number
	r.record.Intent = nil
	r.record.ActiveUnix = unix(now)
	r.record.Segments = append(r.record.Segments, Segment{
		Turn: c.number, Kind: c.request.Kind, RequestID: c.request.RequestID, Digest: c.request.Digest, Body: ref,
	})
	if res.ContextTokens > 0 {
		r.record.ContextTokens = res.ContextTokens
	}
	r.record.addHolder(res.Holder)
	changed := r.newEntry(c.reserved)
	e.Slot, e.rows = changed.Slot, changed.rows
	return e
}

// Committed reports that the entry of Finish is durable. The run may then start its
// next turn.
func (t *Runs) Committed(now time.Time, k Key, waiter uint64) {
	if r := t.inFlight(k, waiter); r != nil && r.current.committing {
		r.current = nil
		t.wake(now, r)
	}
}

// Abort ends a turn that got no answer. state says what is known about its
// execution. The returned entry, if any, clears the intent or marks it as unknown;
// it must be journaled before the caller gets the refusal.
func (t *Runs) Abort(now time.Time, k Key, waiter uint64, state refusal.RunState) *JournalEntry {
	r := t.inFlight(k, waiter)
	if r == nil || r.current.committing {
		return nil
	}
	c := r.current
	spent := c.reserved // the real spending is not known
	if state == refusal.NotRun {
		spent = Amount{}
	}
	r.spending.settle(c.reserved, spent)
	r.current = nil
	var e *JournalEntry
	if r.record.Intent != nil {
		if state == refusal.NotRun {
			r.record.Intent = nil
		} else {
			r.record.Intent.State = IntentUnknown
		}
		e = r.newEntry(Amount{})
	}
	t.wake(now, r)
	return e
}

// identifiedBy says whether a settlement with the given id refers to this call. A
// call whose request id was generated is identified by its turn number.
func (i *Intent) identifiedBy(requestID string) bool {
	generated := strings.HasPrefix(i.RequestID, GeneratedIDPrefix)
	return requestID == i.RequestID || (generated && requestID == strconv.FormatUint(i.Turn, 10))
}

// Settle resolves a call with an unknown outcome to the outcome that its caller or
// an operator states.
func (t *Runs) Settle(now time.Time, k Key, requestID string, outcome refusal.RunState) (*JournalEntry, *refusal.Refusal) {
	r := t.find(k)
	if r == nil || r.record.Intent == nil || r.record.Intent.State != IntentUnknown {
		return nil, refusal.New(refusal.BadRequest, "the program has no call with an unknown outcome")
	}
	intent := r.record.Intent
	if !intent.identifiedBy(requestID) {
		return nil, refusal.New(refusal.BadRequest, "the unknown call has another request id")
	}
	if outcome != refusal.Ran && outcome != refusal.NotRun {
		return nil, refusal.New(refusal.BadRequest, "the outcome must be %q or %q", refusal.Ran, refusal.NotRun)
	}
	r.record.Intent = nil
	if outcome == refusal.Ran {
		r.record.Turn = intent.Turn
		r.record.Settled = append(r.record.Settled, SettledCall{Turn: intent.Turn, RequestID: intent.RequestID, Outcome: outcome})
	}
	r.record.ActiveUnix = unix(now)
	e := r.newEntry(Amount{})
	t.wake(now, r)
	return e, nil
}

// End ends a run and all its sub-agents. The returned entries must be journaled; the
// caches at the holders are then due for release. Turns in flight end normally.
func (t *Runs) End(now time.Time, k Key) ([]*JournalEntry, *refusal.Refusal) {
	state := t.slots[k.Slot()]
	if state == nil {
		return nil, refusal.New(refusal.OwnerUnavailable, "this VM does not own the program").After(time.Second)
	}
	var ended []*run
	for key, r := range state.runs {
		if key.Customer != k.Customer || !inSubtree(key.Run, k.Run) || r.record.Status == Ended {
			continue
		}
		r.record.Status = Ended
		r.record.ActiveUnix = unix(now)
		t.refuseWaiters(r, refusal.New(refusal.ProgramEnded, "the program has ended"))
		ended = append(ended, r)
	}
	// Each entry also carries the root's row, so none is formed before all runs have
	// ended.
	entries := make([]*JournalEntry, 0, len(ended))
	for _, r := range ended {
		entries = append(entries, r.newEntry(Amount{}))
	}
	return entries, nil
}

// inSubtree says whether run is root or one of its sub-agents at any level.
func inSubtree(run, root string) bool {
	return run == root || (len(run) > len(root) && run[:len(root)] == root && run[len(root)] == '/')
}

// CacheRelease identifies a cache to release: that of an ended run at a replica that
// may hold it.
type CacheRelease struct {
	Key    Key
	Holder Holder
}

// DueReleases returns the cache releases of the ended runs without a turn in flight.
func (t *Runs) DueReleases() []CacheRelease {
	var due []CacheRelease
	for _, state := range t.slots {
		for _, r := range state.runs {
			if r.record.Status != Ended || r.current != nil {
				continue
			}
			for _, h := range r.record.Holders {
				due = append(due, CacheRelease{Key: r.key, Holder: h})
			}
		}
	}
	return due
}

// ConfirmRelease records that a replica no longer holds cache of the run. It returns
// the entry to journal, or nil if that was already recorded.
func (t *Runs) ConfirmRelease(rel CacheRelease) *JournalEntry {
	r := t.find(rel.Key)
	if r == nil {
		return nil
	}
	for i, h := range r.record.Holders {
		if h == rel.Holder {
			r.record.Holders = append(r.record.Holders[:i:i], r.record.Holders[i+1:]...)
			return r.newEntry(Amount{})
		}
	}
	return nil
}

// ExpireWaiters refuses the waiting requests whose deadline has passed.
func (t *Runs) ExpireWaiters(now time.Time) {
	for r := range t.runsWithWaiters {
		kept := r.waiting[:0]
		for _, req := range r.waiting {
			if r.deadline(req).After(now) {
				kept = append(kept, req)
				continue
			}
			t.ready = append(t.ready, refuse(req, r.turnEarlyRefusal(req)))
		}
		r.waiting = kept
		if len(kept) == 0 {
			delete(t.runsWithWaiters, r)
		}
	}
}

// Cancel removes a waiting request whose caller has disconnected.
func (t *Runs) Cancel(k Key, waiter uint64) {
	r := t.find(k)
	if r == nil {
		return
	}
	for i, req := range r.waiting {
		if req.Waiter == waiter {
			r.waiting = append(r.waiting[:i:i], r.waiting[i+1:]...)
			break
		}
	}
	if len(r.waiting) == 0 {
		delete(t.runsWithWaiters, r)
	}
}

// NextDeadline returns the earliest deadline of a waiting request; zero if none waits.
func (t *Runs) NextDeadline() time.Time {
	var next time.Time
	for r := range t.runsWithWaiters {
		for _, req := range r.waiting {
			if d := r.deadline(req); next.IsZero() || d.Before(next) {
				next = d
			}
		}
	}
	return next
}

// inFlight returns the run if its turn in flight is the one granted to waiter, else nil.
func (t *Runs) inFlight(k Key, waiter uint64) *run {
	r := t.find(k)
	if r == nil || r.current == nil || r.current.request.Waiter != waiter {
		return nil
	}
	return r
}

// wake decides again on the requests that wait for a turn of the run.
func (t *Runs) wake(now time.Time, r *run) {
	waiting := r.waiting
	r.waiting = nil
	delete(t.runsWithWaiters, r)
	for _, req := range waiting {
		if d := t.decide(now, r, req); d.Verdict != Wait {
			t.ready = append(t.ready, d)
		}
	}
}
