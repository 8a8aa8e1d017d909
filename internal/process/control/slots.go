package control

import (
	"context"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"hornbeamvale.example/hornbeamvale/internal/process/eventlog"
	"hornbeamvale.example/hornbeamvale/internal/process/journal"
	"hornbeamvale.example/hornbeamvale/internal/process/member"
	"hornbeamvale.example/hornbeamvale/internal/process/ownership"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/program"
)

const (
	// maxSlotsPerClaim bounds the slots in one claim, so that a claim that loses a race
	// with another member costs little.
	maxSlotsPerClaim = 512
	// slotsPerLoad bounds the slots whose program runs one job reads.
	slotsPerLoad = 64
)

// applySlotRow applies a slot row that was read from the platform.
func (s *State) applySlotRow(now time.Time, row platform.Row) {
	slot, ok := ownership.ParseSlot(row.Key.Key)
	if !ok {
		return
	}
	owner, err := ownership.DecodeOwner(row)
	if err != nil {
		s.logError(err, "Failed to decode slot row", "slot", slot, "revision", row.Revision)
		return
	}
	s.setOwner(now, slot, owner)
}

// setOwner records a slot's owner. A slot that this member gains is scheduled for
// loading; the runs and limit owners of a slot that it loses are dropped.
func (s *State) setOwner(now time.Time, slot ownership.Slot, owner ownership.Owner) {
	before := s.slots.Owner(slot)
	if !s.slots.Set(slot, owner) {
		return
	}
	s.slotViewDirty, s.snapshotDirty = true, true
	switch {
	case owner.Member == s.self && before.Member != s.self:
		s.loading[slot] = true
		s.limits.setPreviousOwner(slot, before, owner)
		s.slotsGained++
	case owner.Member != s.self && before.Member == s.self:
		delete(s.handovers, slot)
		delete(s.loading, slot)
		s.runs.Drop(slot)
		s.endLimitOwners(now, slot, before.Epoch)
		s.slotsLost++
	}
}

// recordSlotChanges records the slots gained and lost since the last step as one
// event each, since thousands of slots can change at once.
func (s *State) recordSlotChanges(now time.Time) {
	if s.slotsGained > 0 {
		s.recordEvent(now, eventlog.Event{Kind: eventlog.SlotTaken, Detail: strconv.Itoa(s.slotsGained) + " slots"})
	}
	if s.slotsLost > 0 {
		s.recordEvent(now, eventlog.Event{Kind: eventlog.SlotLost, Detail: strconv.Itoa(s.slotsLost) + " slots"})
	}
	s.slotsGained, s.slotsLost = 0, 0
}

// evictExpired starts the eviction of members whose leases have expired. Their slots
// become orphans, which the remaining members claim.
func (s *State) evictExpired(now time.Time, r pollResult) {
	for id := range r.leases {
		info, ok := s.registry.Get(id)
		if !ok || s.evicting[id] || !s.observer.Expired(r.sentAt, id) {
			continue
		}
		tx := platform.Tx{
			Conditions: []platform.Condition{{Key: member.LeaseKey(id), Revision: s.observer.Revision(id)}},
			Writes: []platform.Write{
				{Key: member.LeaseKey(id), Delete: true},
				{Key: member.Key(id), Delete: true},
				{Key: member.SeatKey(info.Seat), Value: member.SeatRow{Member: id, Evicted: true}.Encode()},
			},
		}
		s.evicting[id] = s.commit(tx, func(revision uint64, _ error) Event {
			return evictionAttempted{member: id, vm: info.VM, committed: revision > 0}
		})
	}
}

// freeSeats deletes the rows of evicted members' seats whose lock has ended, so that
// the seats can be taken again.
func (s *State) freeSeats(r pollResult) {
	for _, seat := range s.seats.Unlocked(r.sentAt) {
		tx := platform.Tx{
			Conditions: []platform.Condition{{Key: member.SeatKey(seat.Seat), Revision: seat.Revision}},
			Writes:     []platform.Write{{Key: member.SeatKey(seat.Seat), Delete: true}},
		}
		s.commit(tx, func(uint64, error) Event { return nil }) // on failure the next poll still shows the row
	}
}

// evictionAttempted reports an attempted eviction. The next poll reads the deletion
// of the member row.
type evictionAttempted struct {
	member, vm string
	committed  bool
}

// Apply implements Event.
func (e evictionAttempted) Apply(s *State, now time.Time) {
	delete(s.evicting, e.member)
	s.nextPoll = now
	if e.committed {
		s.logChange("Evicted member with expired lease", "evictedMember", e.member, "evictedVM", e.vm)
		s.recordEvent(now, eventlog.Event{Kind: eventlog.MemberEvicted, Detail: e.vm})
	}
}

// claimOrphans claims this member's part of the slots without an owner. Every member
// computes the same distribution, so claims rarely conflict.
func (s *State) claimOrphans(now time.Time) {
	if s.claiming || s.stopping || !s.lease.Valid(now) {
		return
	}
	var mine []ownership.Slot
	for _, t := range s.slots.Spread(s.slots.Orphans(s.registry.IDSet()), s.registry.NotLeaving()) {
		if t.To == s.self && len(mine) < maxSlotsPerClaim {
			mine = append(mine, t.Slot)
		}
	}
	if len(mine) == 0 {
		return
	}
	e := claimAttempted{self: s.self, owners: make(map[ownership.Slot]ownership.Owner, len(mine))}
	// The condition on the member row prevents a claim by an evicted member.
	tx := platform.Tx{Conditions: []platform.Condition{{Key: member.Key(s.self), Revision: s.memberRevision}}}
	for _, slot := range mine {
		before := s.slots.Owner(slot)
		owner := ownership.Owner{Member: s.self, Epoch: before.Epoch + 1}
		e.owners[slot] = owner
		tx.Conditions = append(tx.Conditions, platform.Condition{Key: slot.Key(), Revision: before.Revision})
		tx.Writes = append(tx.Writes, platform.Write{Key: slot.Key(), Value: owner.Encode()})
	}
	s.claiming = s.commit(tx, func(revision uint64, _ error) Event {
		e.revision = revision
		return e
	})
}

// claimAttempted reports an attempted claim. If it failed or was not answered, the
// next poll shows the owners of the slots.
type claimAttempted struct {
	self     string
	owners   map[ownership.Slot]ownership.Owner
	revision uint64 // 0 unless committed
}

// Apply implements Event.
func (e claimAttempted) Apply(s *State, now time.Time) {
	s.claiming = false
	if e.self != s.self {
		return
	}
	if e.revision == 0 {
		return
	}
	for slot, owner := range e.owners {
		owner.Revision = e.revision
		s.setOwner(now, slot, owner)
	}
	s.logChange("Claimed orphaned slots", "slots", len(e.owners), "revision", e.revision)
	s.claimOrphans(now)
	s.startLoads()
}

// startLoads starts reading the program runs of acquired slots.
func (s *State) startLoads() {
	var chunk []ownership.Slot
	for slot, waiting := range s.loading {
		if waiting && len(chunk) < slotsPerLoad {
			chunk = append(chunk, slot)
		}
	}
	if len(chunk) == 0 {
		return
	}
	self, client := s.self, s.config.Platform
	fences := make([]journal.Fence, len(chunk))
	for i, slot := range chunk {
		fences[i] = journal.Fence{Slot: slot, Revision: s.slots.Owner(slot).Revision}
	}
	started := s.submitJob(func(ctx context.Context) Event { return loadSlots(ctx, client, self, fences) })
	for _, slot := range chunk {
		s.loading[slot] = !started
	}
	if started {
		s.startLoads()
	}
}

// loadSlots reads the program rows of slots.
func loadSlots(ctx context.Context, c platform.Client, self string, slots []journal.Fence) Event {
	e := slotsLoaded{self: self, slots: slots, records: map[ownership.Slot]map[program.Key]program.Record{}}
	since := make([]platform.Since, len(slots))
	for i, f := range slots {
		since[i] = platform.Since{Table: program.TableName, Prefix: program.SlotPrefix(f.Slot)}
		e.records[f.Slot] = map[program.Key]program.Record{}
	}
	for len(since) > 0 {
		answer, err := c.Read(ctx, platform.Read{Since: since})
		if err != nil || len(answer.Changes) != len(since) {
			e.err = errIncomplete
			return e
		}
		var rest []platform.Since
		for i, rows := range answer.Changes {
			e.add(rows)
			if answer.More[i] {
				next := since[i]
				next.Revision = nextCursor(answer, i)
				rest = append(rest, next)
			}
		}
		since = rest
	}
	return e
}

// slotsLoaded reports the program records of acquired slots.
type slotsLoaded struct {
	self string
	// slots holds the slots with the revision of the ownership for which each was read.
	// If a slot was lost and regained since, another owner may have written to it.
	slots   []journal.Fence
	records map[ownership.Slot]map[program.Key]program.Record
	err     error
}

// add decodes program rows into records. Rows that cannot be decoded are logged and
// skipped.
func (e *slotsLoaded) add(rows []platform.Row) {
	for _, row := range rows {
		key, slot, ok := program.ParseRowKey(row.Key.Key)
		if !ok || row.Deleted {
			continue
		}
		record, err := program.DecodeRecord(row)
		if err != nil {
			klog.ErrorS(err, "Failed to decode program row", "key", row.Key.Key, "revision", row.Revision)
			continue
		}
		if records := e.records[slot]; records != nil {
			records[key] = record
		}
	}
}

// Apply implements Event.
func (e slotsLoaded) Apply(s *State, now time.Time) {
	if e.self != s.self {
		return
	}
	var loaded []ownership.Slot
	for _, f := range e.slots {
		slot := f.Slot
		if _, wanted := s.loading[slot]; !wanted || s.slots.Owner(slot).Revision != f.Revision {
			continue
		}
		if e.err != nil {
			s.loading[slot] = true // a later startLoads reads it again
			continue
		}
		delete(s.loading, slot)
		loaded = append(loaded, slot)
		s.runs.Load(slot, e.records[slot], s.budgetOf)
		s.startQuietTime(now, slot)
		s.cacheEvents.rescan()
	}
	s.addLimitOwners(now)
	s.fetchAccounts(now, loaded)
}
