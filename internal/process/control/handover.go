package control

import (
	"context"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/member"
	"hornbeamvale.example/hornbeamvale/internal/process/ownership"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
)

// maxHandovers bounds the slots that are drained at the same time, so that few programs
// wait for a new owner at any time.
const maxHandovers = 128

// leaveRetry is the wait before another attempt to end the membership.
const leaveRetry = 200 * time.Millisecond

// recordLeavingRetry is the wait before another attempt to record in the member row that
// this member is leaving.
const recordLeavingRetry = 500 * time.Millisecond

// planHandovers starts draining the slots that this member has in excess of an even
// distribution, or all of its slots when it is stopping.
func (s *State) planHandovers() {
	if len(s.handovers) > 0 || s.handoverPending || (s.stopping && !s.leavingRecorded) {
		return
	}
	var transfers []ownership.Transfer
	if s.stopping {
		own := s.slots.OwnedBy(s.self)
		transfers = s.slots.Spread(own, s.handoverTargets())
	} else {
		transfers = s.slots.ExcessTransfers(s.self, s.registry.NotLeaving())
	}
	for _, t := range transfers {
		if len(s.handovers) == maxHandovers {
			return
		}
		if _, loading := s.loading[t.Slot]; loading {
			continue
		}
		s.handovers[t.Slot] = t.To
		s.runs.Drain(t.Slot)
	}
}

// handoverTargets returns the other members that may take over slots.
func (s *State) handoverTargets() []string {
	var ids []string
	for _, id := range s.registry.NotLeaving() {
		if id != s.self && !s.evicting[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// startHandovers writes the new owners of the draining slots that have no turn in flight
// and no record waiting for the journal.
func (s *State) startHandovers(now time.Time) {
	if s.handoverPending || len(s.handovers) == 0 || !s.lease.Valid(now) {
		return
	}
	e := handoverAttempted{self: s.self, owners: map[ownership.Slot]ownership.Owner{}}
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
	s.handoverPending = s.commit(tx, func(revision uint64, _ error) Event {
		e.revision = revision
		return e
	})
}

// handoverAttempted reports an attempted write of new owners. If the outcome is unknown,
// the slots stay draining until a poll shows their owner.
type handoverAttempted struct {
	self     string
	owners   map[ownership.Slot]ownership.Owner
	revision uint64 // 0 unless known to be committed
}

// Apply implements Event.
func (e handoverAttempted) Apply(s *State, now time.Time) {
	if e.self != s.self {
		return
	}
	s.handoverPending = false
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
	s.planHandovers()
}

// notifySlots tells the new owners to read the slot rows at once.
func (s *State) notifySlots(targets map[string]bool) {
	for id := range targets {
		info, ok := s.registry.Get(id)
		if !ok || s.config.Peers == nil {
			continue
		}
		peers, to := s.config.Peers, Peer{ID: id, Info: info}
		s.submitJob(func(ctx context.Context) Event {
			_ = peers.NotifySlots(ctx, to) // the receiver's next poll also finds them
			return nil
		})
	}
}

// SlotsChanged reports that another VM has handed over slots to this one. The next poll
// runs at once.
type SlotsChanged struct{}

// Apply implements Event.
func (SlotsChanged) Apply(s *State, now time.Time) { s.nextPoll = now }

// PrepareStop makes this VM report that it is not ready, so that the load balancer takes
// it out of service. Requests that still arrive are served.
type PrepareStop struct{}

// Apply implements Event.
func (PrepareStop) Apply(s *State, _ time.Time) {
	s.draining, s.snapshotDirty = true, true
	s.logChange("Set this VM to not ready before the shutdown")
}

// Stop starts the graceful shutdown: the slots are handed over, then the membership is
// ended. Done is closed when the shutdown has ended.
type Stop struct{ Done chan<- struct{} }

// Apply implements Event.
func (e Stop) Apply(s *State, now time.Time) {
	if s.stopping {
		return
	}
	s.stopping, s.snapshotDirty = true, true
	s.stopDone = e.Done
	s.logChange("Started the graceful shutdown")
	if !s.joined {
		close(e.Done)
		s.stopDone = nil
		return
	}
	s.startRecordLeaving(now)
}

// startRecordLeaving records in the member row that this member is leaving. This is
// committed before the first handover, so that a member that reads its new slots also
// reads that this member is leaving, and does not hand excess slots back to it.
func (s *State) startRecordLeaving(now time.Time) {
	if !s.stopping || s.leavingRecorded || s.recordingLeaving || now.Before(s.nextRecordLeaving) {
		return
	}
	s.nextRecordLeaving = now.Add(recordLeavingRetry)
	info := s.info
	info.Leaving = true
	tx := platform.Tx{
		Conditions: []platform.Condition{{Key: member.Key(s.self), Revision: s.memberRevision}},
		Writes:     []platform.Write{{Key: member.Key(s.self), Value: info.Encode()}},
	}
	self := s.self
	s.recordingLeaving = s.commit(tx, func(revision uint64, _ error) Event {
		return recordLeavingAttempted{self: self, revision: revision}
	})
}

// recordLeavingAttempted reports the attempted write of the leaving member's row. If the
// answer was lost, the next poll shows whether it was written.
type recordLeavingAttempted struct {
	self     string
	revision uint64 // 0 unless known to be committed
}

// Apply implements Event.
func (e recordLeavingAttempted) Apply(s *State, now time.Time) {
	if e.self != s.self {
		return
	}
	s.recordingLeaving = false
	if e.revision == 0 {
		s.nextPoll = now
		return
	}
	s.leavingRecorded, s.memberRevision = true, e.revision
	s.planHandovers()
}

// finishStop deletes the membership's rows when every slot has a new owner or no other
// member can take the slots.
func (s *State) finishStop(now time.Time) {
	if !s.stopping || s.leaving || now.Before(s.nextLeave) || s.stopDone == nil {
		return
	}
	if !s.lease.Valid(now) && s.runs.AllIdle() {
		// Without the lease no slot can be handed over, and no turn is in
		// flight. The other members claim the slots like those of a dead VM.
		close(s.stopDone)
		s.stopDone = nil
		return
	}
	if !s.batcher.Idle() || s.handoverPending {
		return
	}
	if len(s.slots.OwnedBy(s.self)) > 0 && len(s.handoverTargets()) > 0 {
		s.planHandovers()
		return
	}
	if !s.runs.AllIdle() {
		return
	}
	if s.accountsUnfetched(now) {
		s.nextLeave = now.Add(accountFetchRetry)
		return
	}
	tx := platform.Tx{Writes: []platform.Write{
		{Key: member.SeatKey(s.info.Seat), Delete: true},
		{Key: member.Key(s.self), Delete: true},
		{Key: member.LeaseKey(s.self), Delete: true},
	}}
	tx.Conditions = []platform.Condition{{Key: member.LeaseKey(s.self), Revision: s.batcher.LeaseRevision()}}
	s.limits.closed = true
	s.leaving = s.commit(tx, func(_ uint64, err error) Event { return leaveAttempted{err: err} })
}

// leaveAttempted reports an attempt to end the membership. If it did not fail but was not
// committed, the lease row no longer exists: an earlier attempt took effect, or the lease
// has expired.
type leaveAttempted struct{ err error }

// Apply implements Event.
func (e leaveAttempted) Apply(s *State, now time.Time) {
	if e.err != nil {
		s.leaving, s.nextLeave = false, now.Add(leaveRetry)
		return
	}
	s.joined, s.snapshotDirty = false, true
	s.logChange("Left the fleet")
	if s.stopDone != nil { // nil if the lease was lost in the meantime
		close(s.stopDone)
		s.stopDone = nil
	}
}
