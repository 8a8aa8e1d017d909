package control

import (
	"context"
	"errors"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/journal"
	"hornbeamvale.example/hornbeamvale/internal/process/member"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
)

const (
	// joinRetry is the time between the starts of two attempts to join.
	joinRetry = time.Second
	// unboundedSeats is the number of seats while no configuration limits it.
	unboundedSeats = 10_000
)

// dueJoin returns the time of the next attempt to join, or zero if none is due.
func (s *State) dueJoin() time.Time {
	if s.joined || s.joining {
		return time.Time{}
	}
	return s.nextJoin
}

// startJoin starts an attempt to take the lowest free seat. One transaction writes the
// seat, member and lease rows.
func (s *State) startJoin(now time.Time) {
	if s.joining || s.stopping || now.Before(s.nextJoin) {
		return
	}
	s.nextJoin = now.Add(joinRetry)
	self, info, client := s.self, s.info, s.config.Platform
	known := s.cursors
	s.joining = s.loop.submit(s.loop.poll, func(ctx context.Context) Event {
		return join(ctx, client, self, info, known)
	})
}

// joinAttempted reports an attempt to join.
type joinAttempted struct {
	self     string
	info     member.Info
	revision uint64    // of the lease row
	sentAt   time.Time // when the transaction was sent
	read     pollResult
	err      error
}

var (
	errNoSeat     = errors.New("no seat is free")
	errSeatTaken  = errors.New("another VM took the seat first")
	errIncomplete = errors.New("incomplete answer from the table service")
)

// join makes one attempt to join. It reads all leases, so that the observer can detect
// expired members when every seat is taken.
func join(ctx context.Context, c platform.Client, self string, info member.Info, known cursors) Event {
	e := joinAttempted{self: self, info: info}
	e.read = pollOnce(ctx, c, pollRequest{cursors: known, leases: nil, allLeases: true})
	if e.read.err != nil {
		e.err = e.read.err
		return e
	}
	seats := member.NewSeats(0)
	for _, row := range e.read.seatRows {
		seats.Apply(e.read.sentAt, row)
	}
	bound := unboundedSeats
	if e.read.seats > 0 {
		bound = e.read.seats
	}
	seat, ok := seats.Free(bound)
	if !ok {
		e.err = errNoSeat
		return e
	}
	e.info.Seat = seat
	e.sentAt = clock.Now()
	result, err := c.Commit(ctx, joinTx(self, e.info))
	switch {
	case err != nil:
		e.err = err
		e.settle(ctx, c)
	case !result.Committed:
		e.err = errSeatTaken
	default:
		e.revision = result.Revision
	}
	return e
}

// joinTx returns the transaction that creates the seat, member and lease rows if none of
// them exists.
func joinTx(self string, info member.Info) platform.Tx {
	return platform.Tx{
		Conditions: []platform.Condition{
			{Key: member.SeatKey(info.Seat)}, {Key: member.Key(self)}, {Key: member.LeaseKey(self)},
		},
		Writes: []platform.Write{
			{Key: member.SeatKey(info.Seat), Value: member.SeatRow{Member: self}.Encode()},
			{Key: member.Key(self), Value: info.Encode()},
			{Key: member.LeaseKey(self), Value: member.LeaseRow{}.Encode()},
		},
	}
}

// settle reads whether a join whose answer was lost took effect. The lease then counts
// from before the transaction was sent, as in the normal case, since there was only one
// attempt.
func (e *joinAttempted) settle(ctx context.Context, c platform.Client) {
	r, err := c.Read(ctx, platform.Read{Gets: []platform.Key{member.LeaseKey(e.self)}})
	if err == nil && len(r.Rows) == 1 && r.Rows[0].Revision > 0 {
		e.err, e.revision = nil, r.Rows[0].Revision
	}
}

// Apply implements Event.
func (e joinAttempted) Apply(s *State, now time.Time) {
	if s.joined || e.self != s.self {
		return
	}
	s.joining = false
	if e.read.err == nil {
		s.applyPoll(now, e.read)
	}
	if e.err != nil {
		if !errors.Is(e.err, errSeatTaken) && !errors.Is(e.err, errNoSeat) {
			// An unanswered join may still take effect under this id, so the
			// next attempt uses a new id. The old rows expire like those of
			// a dead VM.
			s.self = s.config.NewMemberID()
			s.registry = member.NewRegistry(s.self)
		}
		s.cursors = cursors{} // the next attempt reads every row again
		if errors.Is(e.err, errNoSeat) {
			s.evictExpired(now, e.read)
			s.freeSeats(e.read)
		}
		return
	}
	s.joined = true
	s.info = e.info
	s.leaseRenewed(e.sentAt)
	s.memberRevision = e.revision
	s.registry.Set(s.self, s.info)
	s.batcher = journal.NewBatcher(journal.Config{
		Member: s.self, Interval: s.journalInterval(), RenewInterval: s.lease.RenewInterval(),
		LeaseKey: member.LeaseKey(s.self), LeaseRevision: e.revision,
		LeaseRow: func(sequence uint64) []byte { return member.LeaseRow{Sequence: sequence}.Encode() },
	}, now)
	s.joinLimits(now)
	s.nextPoll, s.nextExpire = now, now.Add(expireInterval)
	s.snapshotDirty, s.slotViewDirty = true, true
	s.logChange("Joined the fleet", "seat", s.info.Seat, "revision", e.revision)
}

// dropMembership discards the membership after the lease was lost. All turns in flight
// lose their owner, and the VM joins again under a new member id.
func (s *State) dropMembership(now time.Time, reason string) {
	s.logChange("Lost the membership", "reason", reason)
	batcher := s.batcher
	for slot := range s.loading {
		s.runs.Drop(slot)
	}
	for _, slot := range s.slots.OwnedBy(s.self) {
		s.runs.Drop(slot)
	}
	s.answerReadyTurns(now)
	s.joined = false
	batcher.Close(now)
	s.reset()
	s.nextJoin = now
	if s.stopDone != nil {
		close(s.stopDone) // a stopping VM does not join again, so the shutdown has ended
		s.stopDone = nil
	}
}
