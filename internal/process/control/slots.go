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
	// claimChunk bounds the slots in one claim, so that a lost race costs little.
	claimChunk = 512
	// loadChunk is the number of slots whose runs are read at once.
	loadChunk = 64
)

// applySlot takes over a slot row that was read or written.
func (s *State) applySlot(now time.Time, row platform.Row) {
	slot, ok := ownership.ParseSlot(row.Key.Key)
	if !ok {
		return
	}
	owner, err := ownership.DecodeOwner(row)
	if err != nil {
		s.logError(err, "Slot row is not readable", "slot", slot)
		return
	}
	s.setOwner(now, slot, owner)
}

// setOwner records a slot's owner: a slot that became this member's is loaded, one
// that it lost is dropped.
func (s *State) setOwner(now time.Time, slot ownership.Slot, owner ownership.Owner) {
	before := s.slots.Owner(slot)
	if !s.slots.Set(slot, owner) {
		return
	}
	s.viewDirty, s.dirty = true, true
	switch {
	case owner.Member == s.self && before.Member != s.self:
		s.loading[slot] = true
		s.limits.setPrevious(slot, before, owner)
		s.taken++
	case owner.Member != s.self && before.Member == s.self:
		delete(s.handovers, slot)
		delete(s.loading, slot)
		s.runs.Drop(slot)
		s.dropLimits(now, slot, before.Epoch)
		s.lost++
	}
}

// recordSlots adds one event for all slots that changed since the last step, since
// a claim can take thousands at once.
func (s *State) recordSlots(now time.Time) {
	if s.taken > 0 {
		s.record(now, eventlog.Event{Kind: eventlog.SlotTaken, Detail: strconv.Itoa(s.taken) + " slots"})
	}
	if s.lost > 0 {
		s.record(now, eventlog.Event{Kind: eventlog.SlotLost, Detail: strconv.Itoa(s.lost) + " slots"})
	}
	s.taken, s.lost = 0, 0
}

// evictExpired removes the members whose leases have expired. Their slots become
// orphans, which the remaining members claim.
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
			return evicted{member: id, vm: info.VM, committed: revision > 0}
		})
	}
}

// freeSeats deletes the rows of seats that nobody can use any more.
func (s *State) freeSeats(r pollResult) {
	for _, seat := range s.seats.Unlocked(r.sentAt) {
		tx := platform.Tx{
			Conditions: []platform.Condition{{Key: member.SeatKey(seat.Seat), Revision: seat.Revision}},
			Writes:     []platform.Write{{Key: member.SeatKey(seat.Seat), Delete: true}},
		}
		s.commit(tx, func(uint64, error) Event { return nil }) // the next poll shows the row if it failed
	}
}

// evicted reports an eviction. The next poll brings the deleted member row.
type evicted struct {
	member, vm string
	committed  bool
}

// Apply implements Event.
func (e evicted) Apply(s *State, now time.Time) {
	delete(s.evicting, e.member)
	s.nextPoll = now
	if e.committed {
		s.logChange("Evicted a member whose lease expired", "evicted", e.member)
		s.record(now, eventlog.Event{Kind: eventlog.MemberEvicted, Detail: e.vm})
	}
}

// claimOrphans claims this member's part of the slots without an owner. Every
// member computes the same spread, so the claims do not meet as a rule.
func (s *State) claimOrphans(now time.Time) {
	if s.claiming || s.stopping || !s.lease.Valid(now) {
		return
	}
	var mine []ownership.Slot
	for _, t := range s.slots.Spread(s.slots.Orphans(s.registry.IDSet()), s.registry.NotLeaving()) {
		if t.To == s.self && len(mine) < claimChunk {
			mine = append(mine, t.Slot)
		}
	}
	if len(mine) == 0 {
		return
	}
	e := claimed{self: s.self, owners: make(map[ownership.Slot]ownership.Owner, len(mine))}
	// The member row as a condition keeps an evicted member from claiming.
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

// claimed reports a claim. After a failed or unanswered one the next poll shows
// who owns the slots.
type claimed struct {
	self     string
	owners   map[ownership.Slot]ownership.Owner
	revision uint64 // 0 unless committed
}

// Apply implements Event.
func (e claimed) Apply(s *State, now time.Time) {
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
	s.logChange("Claimed slots", "slots", len(e.owners))
	s.claimOrphans(now)
	s.startLoads()
}

// startLoads reads the runs of acquired slots.
func (s *State) startLoads() {
	var chunk []ownership.Slot
	for slot, waiting := range s.loading {
		if waiting && len(chunk) < loadChunk {
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
	started := s.run(func(ctx context.Context) Event { return loadSlots(ctx, client, self, fences) })
	for _, slot := range chunk {
		s.loading[slot] = !started
	}
	if started {
		s.startLoads()
	}
}

// loadSlots reads the run rows of slots.
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
				next.Revision = cursor(answer, i)
				rest = append(rest, next)
			}
		}
		since = rest
	}
	return e
}

// slotsLoaded reports the runs of acquired slots.
type slotsLoaded struct {
	self string
	// slots holds the ownership for which each slot was read. Another owner may have
	// written since, if the slot was lost and came back.
	slots   []journal.Fence
	records map[ownership.Slot]map[program.Key]program.Record
	err     error
}

func (e *slotsLoaded) add(rows []platform.Row) {
	for _, row := range rows {
		key, slot, ok := program.ParseRowKey(row.Key.Key)
		if !ok || row.Deleted {
			continue
		}
		record, err := program.DecodeRecord(row)
		if err != nil {
			klog.ErrorS(err, "Program row is not readable", "key", row.Key.Key)
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
			s.loading[slot] = true // the next poll starts it again
			continue
		}
		delete(s.loading, slot)
		loaded = append(loaded, slot)
		s.runs.Load(slot, e.records[slot], s.budgetOf)
		s.beginLimits(now, slot)
		s.caches.rescan()
	}
	s.addOwners(now)
	s.fetchAccounts(now, loaded)
}
