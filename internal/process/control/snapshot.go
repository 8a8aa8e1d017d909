package control

import (
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/member"
	"hornbeamvale.example/hornbeamvale/internal/process/ownership"
	"hornbeamvale.example/hornbeamvale/internal/version"
)

// Snapshot is the part of the control state that traffic goroutines read. It is
// immutable; a change replaces the whole snapshot.
type Snapshot struct {
	Self    string
	Info    member.Info
	Version *version.Version
	// Joined is set while this VM holds a seat and a lease.
	Joined bool
	// Draining is set when a graceful shutdown has begun: the VM is not ready, but
	// requests that still arrive are served. Stopping is set when it admits no requests.
	Draining, Stopping bool

	leaseUntil time.Time
	seatUntil  time.Time
	freshUntil time.Time
	slots      *slotView
}

// slotView maps slots to members. Snapshots share it until a slot or a member changes.
type slotView struct {
	owner   [ownership.SlotCount]uint16 // index into members; 0 means no owner
	members []Peer                      // the first one is the zero value
	byID    map[string]Peer
}

// Peer is a member of the fleet. The zero value means no member.
type Peer struct {
	ID string
	member.Info
}

// LeaseValid returns whether this VM may act as an owner. It is checked before each
// dispatch and each acknowledgement, since the process may have been paused.
func (s *Snapshot) LeaseValid(now time.Time) bool {
	return s.Joined && member.BeforeOnBothClocks(now, s.leaseUntil)
}

// MayDispatch returns whether a turn that was granted by the member with the id owner may
// still be sent. A valid lease is not enough: since the grant the process may have lost
// its lease, and the slot with it, and joined again under a new id.
func (s *Snapshot) MayDispatch(now time.Time, slot ownership.Slot, owner string) bool {
	p, ok := s.Owner(slot)
	return s.LeaseValid(now) && ok && owner == s.Self && p.ID == s.Self
}

// SeatValid returns whether this VM may use its shares of the customers' rates.
func (s *Snapshot) SeatValid(now time.Time) bool {
	return s.Joined && member.BeforeOnBothClocks(now, s.seatUntil)
}

// ConfigurationFresh returns whether the configuration was confirmed recently enough to
// admit requests.
func (s *Snapshot) ConfigurationFresh(now time.Time) bool {
	return member.BeforeOnBothClocks(now, s.freshUntil)
}

// Owner returns the member that owns a slot.
func (s *Snapshot) Owner(slot ownership.Slot) (Peer, bool) {
	p := s.slots.members[s.slots.owner[slot]]
	return p, p.ID != ""
}

// Peers returns all members, including this VM.
func (s *Snapshot) Peers() []Peer { return s.slots.members[1:] }

// Peer returns a member by id.
func (s *Snapshot) Peer(id string) (Peer, bool) {
	p, ok := s.slots.byID[id]
	return p, ok
}

// newSlotView returns the view of the slots' owners and the registered members. A slot
// whose owner is not registered has no owner in it.
func newSlotView(m *ownership.Map, r *member.Registry) *slotView {
	v := &slotView{members: []Peer{{}}, byID: map[string]Peer{}}
	index := map[string]uint16{}
	for _, id := range r.IDs() {
		info, _ := r.Get(id)
		index[id] = uint16(len(v.members))
		p := Peer{ID: id, Info: info}
		v.members = append(v.members, p)
		v.byID[id] = p
	}
	for s := range v.owner {
		v.owner[s] = index[m.Owner(ownership.Slot(s)).Member]
	}
	return v
}
