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

// expireInterval is the time between two looks for idle runs.
const expireInterval = time.Second

// BeginTurn asks to start a turn of a run that this member owns. Reply must have
// room for two grants. It gets the decision, after the entry that the turn needs is
// durable; a repeat of the turn in flight first gets the verdict Wait.
type BeginTurn struct {
	Begin program.TurnRequest
	Reply chan<- program.Decision
}

// Apply implements Event.
func (e BeginTurn) Apply(s *State, now time.Time) {
	slot := e.Begin.Key.Slot()
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
	s.nextWaiter++
	e.Begin.Waiter = s.nextWaiter
	s.turnWaits[e.Begin.Waiter] = e.Reply
	g := s.runs.Begin(now, e.Begin)
	g.Waiter = e.Begin.Waiter
	s.answer(now, e.Begin.Key, g)
}

// answer passes a decision to the waiting request, after its entry is durable.
func (s *State) answer(now time.Time, key program.Key, g program.Decision) {
	switch g.Verdict {
	case program.Wait:
		if reply := s.turnWaits[g.Waiter]; g.Repeat && reply != nil {
			reply <- g
		}
	case program.DispatchAfterCommit:
		waiter := g.Waiter
		s.journalEntry(g.Entry, func(now time.Time, err error) {
			if err != nil {
				g = program.Decision{Verdict: program.Refuse, Waiter: waiter, Refusal: refusal.New(
					refusal.OwnerUnavailable, "the program's owner has changed").After(time.Second)}
			}
			s.reply(now, key, g)
		})
	default:
		s.reply(now, key, g)
	}
}

func (s *State) reply(now time.Time, key program.Key, g program.Decision) {
	reply, ok := s.turnWaits[g.Waiter]
	if !ok {
		s.abandon(now, key, g)
		return
	}
	delete(s.turnWaits, g.Waiter)
	g.Owner = s.self
	if g.Verdict == program.Dispatch || g.Verdict == program.DispatchAfterCommit {
		s.record(now, eventlog.Event{
			Kind: eventlog.TurnStarted, Customer: key.Customer, Run: key.Run, Turn: int64(g.Turn), Epoch: s.slots.Owner(key.Slot()).Epoch,
		})
	}
	reply <- g
}

// abandon ends a granted turn whose caller went away while it waited.
func (s *State) abandon(now time.Time, key program.Key, g program.Decision) {
	if g.Verdict != program.Dispatch && g.Verdict != program.DispatchAfterCommit {
		return
	}
	if entry := s.runs.Abort(now, key, g.Waiter, refusal.NotRun); entry != nil {
		s.journalEntry(entry, nil)
	}
}

// deliver answers the requests whose wait has ended.
func (s *State) deliver(now time.Time) {
	for _, g := range s.runs.Ready() {
		s.answer(now, g.Key, g)
	}
}

// FinishTurn ends a turn with its result. Reply gets one answer: when the turn is
// durable, or when this member lost the run.
type FinishTurn struct {
	Key    program.Key
	Turn   uint64
	Waiter uint64 // of the turn's grant
	Result program.Result
	Reply  chan<- Finished
}

// Finished is the answer to FinishTurn.
type Finished struct {
	// Body is where the turn's body is stored, Merged where the merged one is.
	Body, Merged journal.BodyRef
	Refusal      *refusal.Refusal
}

// Apply implements Event.
func (e FinishTurn) Apply(s *State, now time.Time) {
	if s.joined && !s.batcher.Fits(len(e.Result.Body)+len(e.Result.Merged)) {
		e.Result.Merged = nil // a later turn merges
	}
	if s.joined && !s.batcher.Fits(len(e.Result.Body)) {
		// The answer cannot be recorded, so the turn ends like one without an answer.
		if entry := s.runs.Abort(now, e.Key, e.Waiter, refusal.Unknown); entry != nil {
			s.journalEntry(entry, nil)
		}
		e.Reply <- Finished{Refusal: refusal.New(refusal.StoreUnavailable, "too many records wait for the platform").WithRun(refusal.Unknown)}
		return
	}
	entry := s.runs.Finish(now, e.Key, e.Waiter, e.Result)
	if entry == nil || !s.joined {
		e.Reply <- Finished{Refusal: ownerLost()}
		return
	}
	s.journalEntry(entry, func(now time.Time, err error) {
		if err != nil {
			e.Reply <- Finished{Refusal: ownerLost()}
			return
		}
		s.runs.Committed(now, e.Key, e.Waiter)
		s.record(now, eventlog.Event{Kind: eventlog.TurnEnded, Customer: e.Key.Customer, Run: e.Key.Run, Turn: int64(e.Turn), Epoch: s.slots.Owner(e.Key.Slot()).Epoch})
		e.Reply <- Finished{Body: entry.BodyRef(), Merged: entry.MergedBodyRef()}
	})
}

func ownerLost() *refusal.Refusal {
	return refusal.New(refusal.OwnerUnavailable, "the program's owner has changed").WithRun(refusal.Unknown)
}

// AbortTurn ends a turn that brought no answer. Reply gets nil when what is known
// of the turn is durable, or at once when nothing has to be journaled.
type AbortTurn struct {
	Key    program.Key
	Turn   uint64
	Waiter uint64 // of the turn's grant
	State  refusal.RunState
	Reply  chan<- *refusal.Refusal
}

// Apply implements Event.
func (e AbortTurn) Apply(s *State, now time.Time) {
	entry := s.runs.Abort(now, e.Key, e.Waiter, e.State)
	s.record(now, eventlog.Event{Kind: eventlog.TurnAborted, Customer: e.Key.Customer, Run: e.Key.Run, Turn: int64(e.Turn), Detail: string(e.State)})
	if entry == nil || !s.joined {
		e.Reply <- nil
		return
	}
	s.journalReply(entry, e.Reply)
}

// SettleCall decides a call with an unknown outcome.
type SettleCall struct {
	Key       program.Key
	RequestID string
	Outcome   refusal.RunState
	Reply     chan<- *refusal.Refusal
}

// Apply implements Event.
func (e SettleCall) Apply(s *State, now time.Time) {
	if why := s.mustOwn(now, e.Key); why != nil {
		e.Reply <- why
		return
	}
	entry, why := s.runs.Settle(now, e.Key, e.RequestID, e.Outcome)
	if why != nil {
		e.Reply <- why
		return
	}
	s.record(now, eventlog.Event{Kind: eventlog.OutcomeSettled, Customer: e.Key.Customer, Run: e.Key.Run, Detail: string(e.Outcome)})
	s.journalReply(entry, e.Reply)
}

// EndRun ends a run and its sub-agents.
type EndRun struct {
	Key   program.Key
	Reply chan<- *refusal.Refusal
}

// Apply implements Event.
func (e EndRun) Apply(s *State, now time.Time) {
	if why := s.mustOwn(now, e.Key); why != nil {
		e.Reply <- why
		return
	}
	entries, why := s.runs.End(now, e.Key)
	if why != nil || len(entries) == 0 {
		e.Reply <- why
		return
	}
	s.record(now, eventlog.Event{Kind: eventlog.ProgramEnded, Customer: e.Key.Customer, Run: e.Key.Run})
	for _, entry := range entries[1:] {
		s.journalEntry(entry, nil)
	}
	s.journalReply(entries[0], e.Reply)
}

// CancelWait drops a request whose caller is gone before its turn came.
// Done is closed when Reply will get nothing more.
type CancelWait struct {
	Key   program.Key
	Reply chan<- program.Decision
	Done  chan<- struct{}
}

// Apply implements Event.
func (e CancelWait) Apply(s *State, _ time.Time) {
	defer close(e.Done)
	for waiter, reply := range s.turnWaits {
		if reply == e.Reply {
			s.runs.Cancel(e.Key, waiter)
			delete(s.turnWaits, waiter)
			return
		}
	}
}

func (s *State) mustOwn(now time.Time, key program.Key) *refusal.Refusal {
	slot := key.Slot()
	if !s.joined || !s.lease.Valid(now) || s.slots.Owner(slot).Member != s.self || !s.runs.Loaded(slot) {
		return refusal.New(refusal.OwnerUnavailable, "this VM does not own the program now").After(time.Second)
	}
	return nil
}

// journalReply journals an entry and then answers.
func (s *State) journalReply(entry *program.Entry, reply chan<- *refusal.Refusal) {
	s.journalEntry(entry, func(_ time.Time, err error) {
		if err != nil {
			reply <- ownerLost()
			return
		}
		reply <- nil
	})
}

// expire ends idle runs, refuses requests that waited too long and releases the
// cache of ended runs.
func (s *State) expire(now time.Time) {
	s.runs.ExpireWaiters(now)
	if now.Before(s.nextExpire) {
		return
	}
	s.nextExpire = now.Add(expireInterval)
	if !s.lease.Valid(now) {
		return
	}
	for _, entry := range s.runs.Expire(now, s.idleOf) {
		s.journalEntry(entry, nil)
	}
	s.releaseCaches()
	s.startLoads()
}

// releaseCaches asks replicas to drop the cache of ended runs; one that does not
// confirm is asked again.
func (s *State) releaseCaches() {
	if s.config.Release == nil {
		return
	}
	release, self := s.config.Release, s.self
	for _, r := range s.runs.DueReleases() {
		if s.releasing[r] {
			continue
		}
		s.releasing[r] = s.run(func(ctx context.Context) Event {
			return released{self: self, release: r, err: release(ctx, r)}
		})
	}
}

// gone says that a replica has left: the platform's list was read and neither it nor
// the configuration names the replica any more. Its memory went with it.
func (s *State) gone(replica string) bool {
	return s.replicas.listed && !s.replicas.view.Knows(replica)
}

// released reports a cache release.
type released struct {
	self    string
	release program.CacheRelease
	err     error
}

// Apply implements Event.
func (e released) Apply(s *State, now time.Time) {
	if e.self != s.self {
		return
	}
	delete(s.releasing, e.release)
	if !s.joined || e.err != nil && !s.gone(e.release.Holder.Replica) {
		return
	}
	if entry := s.runs.ConfirmRelease(e.release); entry != nil {
		s.journalEntry(entry, nil)
		s.record(now, eventlog.Event{Kind: eventlog.CacheReleased, Customer: e.release.Key.Customer, Run: e.release.Key.Run, Detail: e.release.Holder.Replica})
	}
}

func (s *State) budgetOf(run string) operator.Budget {
	if p, ok := s.current.Version.Program(run); ok {
		return p.Budget
	}
	return operator.Budget{}
}

func (s *State) idleOf(run string) time.Duration {
	if p, ok := s.current.Version.Program(run); ok {
		return p.IdleTimeout
	}
	return defaultIdle
}

// defaultIdle applies to runs whose program is no longer declared.
const defaultIdle = 15 * time.Minute
