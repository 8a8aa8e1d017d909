package control

import (
	"context"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/member"
	"hornbeamvale.example/hornbeamvale/internal/process/ownership"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
)

// handoverChunk bounds the slots that are drained at the same time, so that few
// programs wait for a new owner at any moment.
const handoverChunk = 128

// leaveRetry is the wait before the membership is ended again after a failure.
const leaveRetry = 200 * time.Millisecond

// markRetry is the wait before the mark of a leaving member is written again.
const markRetry = 500 * time.Millisecond

// planBalance begins to hand over the slots that this member has in excess, or
// all of them when it stops.
func (s *State) planBalance() {
	if len(s.handovers) > 0 || s.handing || (s.stopping && !s.marked) {
		return
	}
	var transfers []ownership.Transfer
	if s.stopping {
		own := s.slots.OwnedBy(s.self)
		transfers = s.slots.Spread(own, s.others())
	} else {
		transfers = s.slots.ExcessTransfers(s.self, s.registry.NotLeaving())
	}
	for _, t := range transfers {
		if len(s.handovers) == handoverChunk {
			return
		}
		if _, loading := s.loading[t.Slot]; loading {
			continue
		}
		s.handovers[t.Slot] = t.To
		s.runs.Drain(t.Slot)
	}
}

// others returns the members that may take over slots.
func (s *State) others() []string {
	var ids []string
	for _, id := range s.registry.NotLeaving() {
		if id != s.self && !s.evicting[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// startHandovers writes the new owners of the drained slots without a turn in
// flight and without a record that waits for the journal.
func (s *State) startHandovers(now time.Time) {
	if s.handing || len(s.handovers) == 0 || !s.lease.Valid(now) {
		return
	}
	e := handedOver{self: s.self, owners: map[ownership.Slot]ownership.Owner{}}
	var tx platform.Tx
	for slot, to := range s.handovers {
		if !s.runs.Idle(slot) || s.batcher.Holds(slot) {
			continue
		}
		before := s.slots.Owner(slot)
		owner := ownership.Owner{Member: to, Epoch: before.Epoch + 1}
		e.owners[slot] = owner
		tx.Conditions = append(tx.Conditions, platform.Condition{Key: slot.Key(), Revision: before.Revision})
		tx.Writes = append(tx.Writes, platform.Write{Key: slot.Key(), Value: owner.Encode()})
	}
	if len(e.owners) == 0 {
		return
	}
	s.handing = s.commit(tx, func(revision uint64, _ error) Event {
		e.revision = revision
		return e
	})
}

// handedOver reports the write of new owners. An attempt whose effect is not known
// leaves the slots draining until a poll shows their owner.
type handedOver struct {
	self     string
	owners   map[ownership.Slot]ownership.Owner
	revision uint64
}

// Apply implements Event.
func (e handedOver) Apply(s *State, now time.Time) {
	if e.self != s.self {
		return
	}
	s.handing = false
	if e.revision == 0 {
		s.nextPoll = now
		return
	}
	targets := map[string]bool{}
	for slot, owner := range e.owners {
		owner.Revision = e.revision
		s.setOwner(now, slot, owner)
		targets[owner.Member] = true
	}
	s.notifySlots(targets)
	s.planBalance()
}

// notifySlots tells the new owners to read the slot rows now.
func (s *State) notifySlots(targets map[string]bool) {
	for id := range targets {
		info, ok := s.registry.Get(id)
		if !ok || s.config.Peers == nil {
			continue
		}
		peers, to := s.config.Peers, Peer{ID: id, Info: info}
		s.run(func(ctx context.Context) Event {
			_ = peers.NotifySlots(ctx, to) // the receiver's next poll finds them as well
			return nil
		})
	}
}

// SlotsChanged says that another VM has handed over slots to this one.
type SlotsChanged struct{}

// Apply implements Event.
func (SlotsChanged) Apply(s *State, now time.Time) { s.nextPoll = now }

// PrepareStop makes this VM not ready, before the load balancer takes it out.
// Requests that still come are served.
type PrepareStop struct{}

// Apply implements Event.
func (PrepareStop) Apply(s *State, _ time.Time) {
	s.draining, s.dirty = true, true
	s.logChange("Not ready any more")
}

// Stop begins the graceful shutdown: slots are handed over and the membership
// ends. Done is closed when nothing is left to do.
type Stop struct{ Done chan<- struct{} }

// Apply implements Event.
func (e Stop) Apply(s *State, now time.Time) {
	if s.stopping {
		return
	}
	s.stopping, s.dirty = true, true
	s.leaveDone = e.Done
	s.logChange("Stopping")
	if !s.joined {
		close(e.Done)
		s.leaveDone = nil
		return
	}
	s.startMark(now)
}

// startMark writes into the member row that this member leaves. It comes before
// the first handover: a member that reads of its new slots then reads of the mark
// as well, and does not hand slots back as its excess.
func (s *State) startMark(now time.Time) {
	if !s.stopping || s.marked || s.marking || now.Before(s.nextMark) {
		return
	}
	s.nextMark = now.Add(markRetry)
	info := s.info
	info.Leaving = true
	tx := platform.Tx{
		Conditions: []platform.Condition{{Key: member.Key(s.self), Revision: s.memberRevision}},
		Writes:     []platform.Write{{Key: member.Key(s.self), Value: info.Encode()}},
	}
	self := s.self
	s.marking = s.commit(tx, func(revision uint64, _ error) Event {
		return markedLeaving{self: self, revision: revision}
	})
}

// markedLeaving reports the mark. After a lost answer the next poll shows it.
type markedLeaving struct {
	self     string
	revision uint64
}

// Apply implements Event.
func (e markedLeaving) Apply(s *State, now time.Time) {
	if e.self != s.self {
		return
	}
	s.marking = false
	if e.revision == 0 {
		s.nextPoll = now
		return
	}
	s.marked, s.memberRevision = true, e.revision
	s.planBalance()
}

// finishStop deletes the membership once every slot has a new owner, or when
// there is nobody to take them.
func (s *State) finishStop(now time.Time) {
	if !s.stopping || s.leaving || now.Before(s.nextLeave) || s.leaveDone == nil {
		return
	}
	if !s.lease.Valid(now) && s.runs.AllIdle() {
		// Nothing can be handed over without the lease, and no turn waits for it:
		// the others claim the slots as those of a dead VM.
		close(s.leaveDone)
		s.leaveDone = nil
		return
	}
	if !s.batcher.Idle() || s.handing {
		return
	}
	if len(s.slots.OwnedBy(s.self)) > 0 && len(s.others()) > 0 {
		s.planBalance()
		return
	}
	if !s.runs.AllIdle() {
		return
	}
	if s.accountsWaiting(now) {
		s.nextLeave = now.Add(accountRetry)
		return
	}
	tx := platform.Tx{Writes: []platform.Write{
		{Key: member.SeatKey(s.info.Seat), Delete: true},
		{Key: member.Key(s.self), Delete: true},
		{Key: member.LeaseKey(s.self), Delete: true},
	}}
	tx.Conditions = []platform.Condition{{Key: member.LeaseKey(s.self), Revision: s.batcher.LeaseRevision()}}
	s.limits.closed = true
	s.leaving = s.commit(tx, func(_ uint64, err error) Event { return left{err: err} })
}

// left reports an attempt to end the membership. One that was not committed has
// no lease row to delete any more: an earlier attempt took effect, or the lease
// has expired.
type left struct{ err error }

// Apply implements Event.
func (e left) Apply(s *State, now time.Time) {
	if e.err != nil {
		s.leaving, s.nextLeave = false, now.Add(leaveRetry)
		return
	}
	s.joined, s.dirty = false, true
	s.logChange("Left the fleet")
	if s.leaveDone != nil { // nil if the lease was lost meanwhile
		close(s.leaveDone)
		s.leaveDone = nil
	}
}
