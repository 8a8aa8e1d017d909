package placement

import (
	"hornbeamvale.example/hornbeamvale/internal/process/control"
	"hornbeamvale.example/hornbeamvale/internal/process/queue"
	"hornbeamvale.example/hornbeamvale/internal/process/replica"
)

// Picker adapts a profile for the control loop. It implements control.Picker.
type Picker struct{ Profile *Profile }

// Room implements control.Picker.
func (p Picker) Room(r control.PickRequest, cs []replica.Candidate) control.Room {
	return roomAdapter{p.Profile.Room(fromPick(r), cs)}
}

// roomAdapter implements control.Room.
type roomAdapter struct{ Room }

// Locate implements control.Room.
func (a roomAdapter) Locate(r control.PickRequest) queue.Locality { return a.Room.Locate(fromPick(r)) }

// Pick implements control.Picker.
func (p Picker) Pick(r control.PickRequest, cs []replica.Candidate) (string, bool) {
	c, ok := p.Profile.Pick(fromPick(r), cs)
	return c.Replica, ok
}

// fromPick converts the control loop's request.
func fromPick(r control.PickRequest) Request {
	return Request{
		ID: r.ID, Now: r.Now, VM: r.VM, DataCentre: r.DataCentre, ConcurrencyShare: r.ConcurrencyShare,
		PromptTokens: r.PromptTokens, CachedTokens: r.CachedTokens, Excluded: r.Excluded,
	}
}
