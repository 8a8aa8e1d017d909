package placement

import (
	"hornbeamvale.example/hornbeamvale/internal/process/fleet"
	"hornbeamvale.example/hornbeamvale/internal/process/replica"
)

const (
	// usualServiceSeconds is assumed until a request of the kind has been answered.
	usualServiceSeconds = 0.1
	// batchPenalty is by how much a full batch slows its requests down: a step takes
	// 2.37 ms and 0.03 ms more for each further request, and prompts are read between
	// the steps.
	batchPenalty = 0.3
	// enginePrefillRate is the rate in tokens/s at which the engines read prompts.
	enginePrefillRate = 236_000.0
)

// ExpectedTime prefers the replica at which a request probably ends first: its pace,
// the load of its batch, the wait for a place and the prompt that it has to read.
type ExpectedTime struct{}

// Name implements Score.
func (ExpectedTime) Name() string { return "expected-time" }

// Score implements Score.
func (ExpectedTime) Score(r Request, c replica.Candidate) float64 {
	service := r.Service.Seconds()
	if service <= 0 {
		service = usualServiceSeconds
	}
	if c.Slowness > 0 {
		service *= c.Slowness
	}
	places := float64(slots(c))
	run := service * (1 + batchPenalty*float64(c.InFlight)/places)
	queued := service * float64(max(0, c.InFlight+1-slots(c))) / places
	cached := min(r.Prefixes[c.Replica], r.PromptTokens)
	return -(run + queued + float64(r.PromptTokens-cached)/enginePrefillRate)
}

// FleetProfile returns the profile for VMs whose replicas register themselves and
// queue by themselves.
func FleetProfile() *Profile {
	return &Profile{
		Filters: []Filter{Leaving{}, Failing{}, Excluded{}},
		Scores:  []WeightedScore{{ExpectedTime{}, 1}, {DataCentre{}, 1}, {Connected{}, 1}},
	}
}

// FleetPicker lets the control loop of a fleet use a profile. It implements
// fleet.Picker.
type FleetPicker struct {
	Profile *Profile
	// DataCentre is that of the VM.
	DataCentre string
}

// Pick implements fleet.Picker.
func (p FleetPicker) Pick(r fleet.PickRequest, cs []replica.Candidate) (replica.Candidate, bool) {
	return p.Profile.Pick(Request{
		ID: r.ID, Now: r.Now, DataCentre: p.DataCentre, PromptTokens: r.PromptTokens,
		Prefixes: r.Cached, Excluded: r.Excluded, Service: r.Service,
	}, cs)
}
