package control

import (
	"context"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/eventlog"
	"hornbeamvale.example/hornbeamvale/internal/process/journal"
	"hornbeamvale.example/hornbeamvale/internal/process/program"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
	"hornbeamvale.example/hornbeamvale/operator"
)

// expireInterval is the time between two checks for idle runs.
const expireInterval = time.Second

// BeginTurn requests the start of a turn of a run that this member owns. Reply must
// have buffer space for two values. It gets the decision once the journal entry that
// the turn needs is durable. A repeat of the turn in flight first gets the verdict
// Wait.
type BeginTurn struct {
	Request program.TurnRequest
	Reply   chan<- program.Decision
}

// Apply implements Event.
func (e BeginTurn) Apply(s *State, now time.Time) {
	slot := e.Request.Key.Slot()
	switch {
	case !s.joined || !s.lease.Valid(now) || s.slots.Owner(slot).Member != s.self || !s.runs.Loaded(slot):
		e.Reply <- program.Decision{Verdict: program.Refuse, Refusal: refusal.New(
			refusal.OwnerUnavailable, "this VM does not own the program now").After(time.Second)}
		return
	case s.batcher.Full():
		e.Reply <- program.Decision{Verdict: program.Refuse, Refusal: refusal.New(
			refusal.StoreUnavailable, "too many records wait for the platform").After(time.Second)}
		return
	}
	s.lastWaiter++
	e.Request.Waiter = s.lastWaiter
	s.turnReplies[e.Request.Waiter] = e.Reply
	d := s.runs.Begin(now, e.Request)
	d.Waiter = e.Request.Waiter
	s.answerTurn(now, e.Request.Key, d)
}

// answerTurn sends a decision to the waiting request. A decision with an entry is sent
// once the entry is durable.
func (s *State) answerTurn(now time.Time, key program.Key, d program.Decision) {
	switch d.Verdict {
	case program.Wait:
		if reply := s.turnReplies[d.Waiter]; d.Repeat && reply != nil {
			reply <- d
		}
	case program.DispatchAfterCommit:
		waiter := d.Waiter
		s.journalEntry(d.Entry, func(now time.Time, err error) {
			if err != nil {
				d = program.Decision{Verdict: program.Refuse, Waiter: waiter, Refusal: refusal.New(
					refusal.OwnerUnavailable, "the program's owner has changed").After(time.Second)}
			}
			s.sendDecision(now, key, d)
		})
	default:
		s.sendDecision(now, key, d)
	}
}

// sendDecision sends a decision to the waiting request and removes its waiter.
func (s *State) sendDecision(now time.Time, key program.Key, d program.Decision) {
	reply, ok := s.turnReplies[d.Waiter]
	if !ok {
		s.abortAbandonedTurn(now, key, d)
		return
	}
	delete(s.turnReplies, d.Waiter)
	d.Owner = s.self
	if d.Verdict == program.Dispatch || d.Verdict == program.DispatchAfterCommit {
		s.recordEvent(now, eventlog.Event{
			Kind: eventlog.TurnStarted, Customer: key.Customer, Run: key.Run, Turn: int64(d.Turn), Epoch: s.slots.Owner(key.Slot()).Epoch,
		})
	}
	reply <- d
}

// abortAbandonedTurn ends a granted turn whose caller left while it waited.
func (s *State) abortAbandonedTurn(now time.Time, key program.Key, d program.Decision) {
	if d.Verdict != program.Dispatch && d.Verdict != program.DispatchAfterCommit {
		return
	}
	if entry := s.runs.Abort(now, key, d.Waiter, refusal.NotRun); entry != nil {
		s.journalEntry(entry, nil)
	}
}

// answerReadyTurns answers the requests whose wait has ended.
func (s *State) answerReadyTurns(now time.Time) {
	for _, d := range s.runs.Ready() {
		s.answerTurn(now, d.Key, d)
	}
}

// FinishTurn ends a turn with its result. Reply gets one value: when the turn is
// durable, when the result does not fit into the journal, or when this member no longer
// owns the run.
type FinishTurn struct {
	Key    program.Key
	Turn   uint64
	Waiter uint64 // of the decision that granted the turn
	Result program.Result
	Reply  chan<- FinishResult
}

// FinishResult is the answer to FinishTurn.
type FinishResult struct {
	// Body is the location of the turn's body, Merged that of the merged body.
	Body, Merged journal.BodyRef
	Refusal      *refusal.Refusal
}

// Apply implements Event.
func (e FinishTurn) Apply(s *State, now time.Time) {
	if s.joined && !s.batcher.Fits(len(e.Result.Body)+len(e.Result.Merged)) {
		e.Result.Merged = nil // a later turn merges the segments
	}
	if s.joined && !s.batcher.Fits(len(e.Result.Body)) {
		// The answer cannot be recorded, so the turn ends as if it had brought none.
		if entry := s.runs.Abort(now, e.Key, e.Waiter, refusal.Unknown); entry != nil {
			s.journalEntry(entry, nil)
		}
		e.Reply <- FinishResult{Refusal: refusal.New(refusal.StoreUnavailable, "too many records wait for the platform").WithRun(refusal.Unknown)}
		return
	}
	entry := s.runs.Finish(now, e.Key, e.Waiter, e.Result)
	if entry == nil || !s.joined {
		e.Reply <- FinishResult{Refusal: ownerChangedRefusal()}
		return
	}
	s.journalEntry(entry, func(now time.Time, err error) {
		if err != nil {
			e.Reply <- FinishResult{Refusal: ownerChangedRefusal()}
			return
		}
		s.runs.Committed(now, e.Key, e.Waiter)
		s.recordEvent(now, eventlog.Event{Kind: eventlog.TurnEnded, Customer: e.Key.Customer, Run: e.Key.Run, Turn: int64(e.Turn), Epoch: s.slots.Owner(e.Key.Slot()).Epoch})
		e.Reply <- FinishResult{Body: entry.BodyRef(), Merged: entry.MergedBodyRef()}
	})
}

// ownerChangedRefusal refuses a request whose outcome is unknown since this member no
// longer owns the program.
func ownerChangedRefusal() *refusal.Refusal {
	return refusal.New(refusal.OwnerUnavailable, "the program's owner has changed").WithRun(refusal.Unknown)
}

// AbortTurn ends a turn without an answer. Reply gets nil when the known state of the
// turn is durable, or at once when nothing has to be journaled.
type AbortTurn struct {
	Key    program.Key
	Turn   uint64
	Waiter uint64 // of the decision that granted the turn
	State  refusal.RunState
	Reply  chan<- *refusal.Refusal
}

// Apply implements Event.
func (e AbortTurn) Apply(s *State, now time.Time) {
	entry := s.runs.Abort(now, e.Key, e.Waiter, e.State)
	s.recordEvent(now, eventlog.Event{Kind: eventlog.TurnAborted, Customer: e.Key.Customer, Run: e.Key.Run, Turn: int64(e.Turn), Detail: string(e.State)})
	if entry == nil || !s.joined {
		e.Reply <- nil
		return
	}
	s.journalThenReply(entry, e.Reply)
}

// SettleCall sets the outcome of a call whose outcome is unknown.
type SettleCall struct {
	Key       program.Key
	RequestID string
	Outcome   refusal.RunState
	Reply     chan<- *refusal.Refusal
}

// Apply implements Event.
func (e SettleCall) Apply(s *State, now time.Time) {
	if refused := s.refuseUnlessOwner(now, e.Key); refused != nil {
		e.Reply <- refused
		return
	}
	entry, refused := s.runs.Settle(now, e.Key, e.RequestID, e.Outcome)
	if refused != nil {
		e.Reply <- refused
		return
	}
	s.recordEvent(now, eventlog.Event{Kind: eventlog.OutcomeSettled, Customer: e.Key.Customer, Run: e.Key.Run, Detail: string(e.Outcome)})
	s.journalThenReply(entry, e.Reply)
}

// EndRun ends a run and its sub-agents.
type EndRun struct {
	Key   program.Key
	Reply chan<- *refusal.Refusal
}

// Apply implements Event.
func (e EndRun) Apply(s *State, now time.Time) {
	if refused := s.refuseUnlessOwner(now, e.Key); refused != nil {
		e.Reply <- refused
		return
	}
	entries, refused := s.runs.End(now, e.Key)
	if refused != nil || len(entries) == 0 {
		e.Reply <- refused
		return
	}
	s.recordEvent(now, eventlog.Event{Kind: eventlog.ProgramEnded, Customer: e.Key.Customer, Run: e.Key.Run})
	for _, entry := range entries[1:] {
		s.journalEntry(entry, nil)
	}
	s.journalThenReply(entries[0], e.Reply)
}

// CancelTurnWait removes a request whose caller left before its turn was granted. When
// Done is closed, nothing more is sent to Reply.
type CancelTurnWait struct {
	Key   program.Key
	Reply chan<- program.Decision
	Done  chan<- struct{}
}

// Apply implements Event.
func (e CancelTurnWait) Apply(s *State, _ time.Time) {
	defer close(e.Done)
	for waiter, reply := range s.turnReplies {
		if reply == e.Reply {
			s.runs.Cancel(e.Key, waiter)
			delete(s.turnReplies, waiter)
			return
		}
	}
}

// refuseUnlessOwner returns a refusal unless this member owns the program's slot and
// has loaded it.
func (s *State) refuseUnlessOwner(now time.Time, key program.Key) *refusal.Refusal {
	slot := key.Slot()
	if !s.joined || !s.lease.Valid(now) || s.slots.Owner(slot).Member != s.self || !s.runs.Loaded(slot) {
		return refusal.New(refusal.OwnerUnavailable, "this VM does not own the program now").After(time.Second)
	}
	return nil
}

// journalThenReply journals an entry and replies when it is durable or has failed.
func (s *State) journalThenReply(entry *program.JournalEntry, reply chan<- *refusal.Refusal) {
	s.journalEntry(entry, func(_ time.Time, err error) {
		if err != nil {
			reply <- ownerChangedRefusal()
			return
		}
		reply <- nil
	})
}

// expireRuns refuses requests that waited too long, ends idle runs, releases the caches
// of ended runs and starts the loading of acquired slots.
func (s *State) expireRuns(now time.Time) {
	s.runs.ExpireWaiters(now)
	if now.Before(s.nextExpire) {
		return
	}
	s.nextExpire = now.Add(expireInterval)
	if !s.lease.Valid(now) {
		return
	}
	for _, entry := range s.runs.Expire(now, s.idleTimeoutOf) {
		s.journalEntry(entry, nil)
	}
	s.releaseCaches()
	s.startLoads()
}

// releaseCaches asks replicas to drop the KV caches of ended runs. It repeats the
// request to a replica that does not confirm.
func (s *State) releaseCaches() {
	if s.config.ReleaseCache == nil {
		return
	}
	release, self := s.config.ReleaseCache, s.self
	for _, r := range s.runs.DueReleases() {
		if s.releasing[r] {
			continue
		}
		s.releasing[r] = s.submitJob(func(ctx context.Context) Event {
			return cacheReleaseAttempted{self: self, release: r, err: release(ctx, r)}
		})
	}
}

// replicaRemoved returns whether a replica no longer exists: the platform's VM list was
// read, and neither it nor the configuration names the replica. Its cache no longer
// exists either.
func (s *State) replicaRemoved(replica string) bool {
	return s.replicas.vmsRead && !s.replicas.view.Knows(replica)
}

// cacheReleaseAttempted reports an attempted cache release.
type cacheReleaseAttempted struct {
	self    string
	release program.CacheRelease
	err     error
}

// Apply implements Event.
func (e cacheReleaseAttempted) Apply(s *State, now time.Time) {
	if e.self != s.self {
		return
	}
	delete(s.releasing, e.release)
	if !s.joined || e.err != nil && !s.replicaRemoved(e.release.Holder.Replica) {
		return
	}
	if entry := s.runs.ConfirmRelease(e.release); entry != nil {
		s.journalEntry(entry, nil)
		s.recordEvent(now, eventlog.Event{Kind: eventlog.CacheReleased, Customer: e.release.Key.Customer, Run: e.release.Key.Run, Detail: e.release.Holder.Replica})
	}
}

// budgetOf returns the budget of a run's program, which is empty if the program is no
// longer declared.
func (s *State) budgetOf(run string) operator.Budget {
	if p, ok := s.current.Version.Program(run); ok {
		return p.Budget
	}
	return operator.Budget{}
}

// idleTimeoutOf returns the time after which a run ends without a turn.
func (s *State) idleTimeoutOf(run string) time.Duration {
	if p, ok := s.current.Version.Program(run); ok {
		return p.IdleTimeout
	}
	return defaultIdleTimeout
}

// defaultIdleTimeout applies to runs whose program is no longer declared.
const defaultIdleTimeout = 15 * time.Minute
