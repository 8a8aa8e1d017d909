package control

import (
	"context"
	"errors"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/journal"
	"hornbeamvale.example/hornbeamvale/internal/process/member"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
)

const (
	// joinRetry is the wait between two attempts to take a seat.
	joinRetry = time.Second
	// unboundedSeats applies while no configuration bounds the fleet.
	unboundedSeats = 10_000
)

func (s *State) dueJoin() time.Time {
	if s.joined || s.joining {
		return time.Time{}
	}
	return s.nextJoin
}

// startJoin takes the lowest free seat, with the member and lease rows, in one
// transaction.
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

// joined reports an attempt to join.
type joined struct {
	self     string
	info     member.Info
	revision uint64 // of the lease row
	sentAt   time.Time
	read     pollResult
	err      error
}

var (
	errNoSeat     = errors.New("no seat is free")
	errRaced      = errors.New("another VM took the seat")
	errIncomplete = errors.New("the table service gave an incomplete answer")
)

// join makes one attempt. It reads all members, so that the observer can find
// expired ones when every seat is taken.
func join(ctx context.Context, c platform.Client, self string, info member.Info, known cursors) Event {
	e := joined{self: self, info: info}
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
	e.sentAt = time.Now()
	result, err := c.Commit(ctx, joinTx(self, e.info))
	switch {
	case err != nil:
		e.err = err
		e.settle(ctx, c)
	case !result.Committed:
		e.err = errRaced
	default:
		e.revision = result.Revision
	}
	return e
}

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

// settle finds out whether a join whose answer was lost took effect. The lease
// then counts from before the transaction was sent, as in the normal case, since
// there was one attempt only.
func (e *joined) settle(ctx context.Context, c platform.Client) {
	r, err := c.Read(ctx, platform.Read{Gets: []platform.Key{member.LeaseKey(e.self)}})
	if err == nil && len(r.Rows) == 1 && r.Rows[0].Revision > 0 {
		e.err, e.revision = nil, r.Rows[0].Revision
	}
}

// Apply implements Event.
func (e joined) Apply(s *State, now time.Time) {
	if s.joined || e.self != s.self {
		return
	}
	s.joining = false
	if e.read.err == nil {
		s.applyPoll(now, e.read)
	}
	if e.err != nil {
		if !errors.Is(e.err, errRaced) && !errors.Is(e.err, errNoSeat) {
			// An unanswered join may take effect later under this id, so the next
			// attempt uses a new one; the old rows expire like those of a dead VM.
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
	s.renewed(e.sentAt)
	s.memberRevision = e.revision
	s.registry.Set(s.self, s.info)
	s.batcher = journal.NewBatcher(journal.Config{
		Member: s.self, Interval: s.journalInterval(), RenewInterval: s.lease.RenewInterval(),
		LeaseKey: member.LeaseKey(s.self), LeaseRevision: e.revision,
		LeaseRow: func(sequence uint64) []byte { return member.LeaseRow{Sequence: sequence}.Encode() },
	}, now)
	s.joinLimits(now)
	s.nextPoll, s.nextExpire = now, now.Add(expireInterval)
	s.dirty, s.viewDirty = true, true
	s.logChange("Joined the fleet", "seat", s.info.Seat)
}

// leave drops the membership after the lease was lost. All turns in flight lose
// their owner and the VM joins again under a new id.
func (s *State) leave(now time.Time, why string) {
	s.logChange("Lost the lease", "reason", why)
	batcher := s.batcher
	for slot := range s.loading {
		s.runs.Drop(slot)
	}
	for _, slot := range s.slots.OwnedBy(s.self) {
		s.runs.Drop(slot)
	}
	s.deliver(now)
	s.joined = false
	batcher.Close(now)
	s.reset()
	s.nextJoin = now
	if s.leaveDone != nil {
		close(s.leaveDone) // a stopping VM does not join again: nothing is left to do
		s.leaveDone = nil
	}
}
