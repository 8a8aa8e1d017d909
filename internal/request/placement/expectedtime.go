package placement

import (
	"cmp"

	"hornbeamvale.example/hornbeamvale/internal/process/fleet"
	"hornbeamvale.example/hornbeamvale/internal/process/replica"
	"hornbeamvale.example/hornbeamvale/internal/version/hashing"
)

const (
	// defaultServiceSeconds is the assumed service time of a kind of request until one of
	// the kind has been answered.
	defaultServiceSeconds = 0.1
	// batchPenalty is the fraction by which a full batch increases the service time of its
	// requests until the replicas' own figure is known.
	batchPenalty = 0.3
	// defaultPrefillRate is the assumed rate in tokens/s at which the engines compute prompts,
	// if the request has none.
	defaultPrefillRate = 236_000.0
)

// evictionCost is the cost of the tokens that a computed prompt evicts from a replica's
// cache, relative to the computation, if the prompts of the requests there take all of the
// replica's memory. The evicted tokens are computed again, by their own programs and by those
// whose parts they evict in turn.
const evictionCost = 6.0

// recomputeFactor returns the cost of computing a part of the request's prompt at a replica,
// relative to the computation itself. The prompts of the other requests there are taken to be
// as long as this one.
func (r Request) recomputeFactor(c replica.Candidate) float64 {
	if r.MemoryTokens <= 0 {
		return 1
	}
	running := min(c.Expected+1, float64(batchLimit(c)))
	return 1 + evictionCost*min(1, float64(r.PromptTokens)*running/float64(r.MemoryTokens))
}

// ExpectedTime prefers the replica at which the request costs all callers the least time.
// The estimate consists of the service time at the replica's speed and batch load, the
// wait for a batch slot, the time to compute the part of the prompt that is not cached,
// and, where the replica's batch model is known, the delay of the requests that it
// already processes: each step of the engine serves all requests of the batch, so a
// longer step delays all of them.
type ExpectedTime struct{}

// Name implements Score.
func (ExpectedTime) Name() string { return "expected-time" }

// Score implements Score.
func (ExpectedTime) Score(r Request, c replica.Candidate) float64 {
	service := r.ServiceTime.Seconds()
	if r.evenLoad && r.RunTime > 0 {
		service = r.RunTime.Seconds() // the wait is estimated for each replica
	}
	if service <= 0 {
		service = defaultServiceSeconds
	}
	if c.Slowness > 0 {
		service *= c.Slowness
	}
	limit := float64(batchLimit(c))
	// A random part of one request spreads the requests over replicas that look alike.
	inFlight := c.Expected + hashing.Fraction("spread", r.ID, c.Replica)
	prefill := r.recomputeFactor(c) * float64(r.uncachedTokens(c.Replica)) / cmp.Or(r.PrefillRate, defaultPrefillRate)
	if r.evenLoad {
		prefill *= c.Slowness
	}
	queued := service * max(0, inFlight+1-limit) / limit
	if r.evenLoad {
		queued *= queueExternality
	}
	if r.RelativeTime == nil {
		return -(service*(1+batchPenalty*inFlight/limit) + queued + prefill)
	}
	running := min(inFlight, limit-1)
	alone := service * r.RelativeTime(running, batchLimit(c))
	run := service * r.RelativeTime(running+1, batchLimit(c))
	return -(run + queued + prefill + running*(run-alone+prefill))
}

// uncachedTokens returns the tokens of the prompt that a replica has to compute.
func (r Request) uncachedTokens(id string) int64 {
	cached := min(r.CachedTokens[id], r.PromptTokens)
	if id == r.home {
		// The part that programs share counts as missing everywhere.
		cached = max(cached, r.LineTokens)
	}
	return r.PromptTokens - cached
}

// homeOf returns the replica at which the turns of the request's program meet, so that
// each finds the prompts of the earlier ones in the cache although VMs do not tell each
// other where they send them. It returns "" if the request has no program or if it is
// known which replica has its prompt.
func homeOf(r Request, cs []replica.Candidate) string {
	if r.Program == "" || len(r.CachedTokens) > 0 || r.evenLoad && r.HistoryKnown {
		return ""
	}
	best, bestHash := "", uint64(0)
	for _, c := range cs {
		if h := hashing.Sum("home-replica", r.Program, c.Replica); best == "" || h > bestHash {
			best, bestHash = c.Replica, h
		}
	}
	return best
}

// FleetProfile returns the profile for fleets whose replicas register themselves and
// have their own queues.
func FleetProfile() *Profile {
	return &Profile{
		Filters: []Filter{Leaving{}, Failing{}, Excluded{}},
		Scores:  []WeightedScore{{ExpectedTime{}, 1}, {DataCentre{}, 1}, {Connected{}, 1}, {ObjectAffinity{}, 1}},

		EvenLoad: true,
	}
}

// FleetPicker adapts a profile for the control loop of a fleet. It implements
// fleet.Picker.
type FleetPicker struct {
	Profile *Profile
	// DataCentre is the data centre of this VM.
	DataCentre string
}

// Pick implements fleet.Picker.
func (p FleetPicker) Pick(r fleet.PickRequest, cs []replica.Candidate) (replica.Candidate, bool) {
	return p.Profile.Pick(Request{
		ID: r.ID, Now: r.Now, DataCentre: p.DataCentre, PromptTokens: r.PromptTokens,
		CachedTokens: r.CachedTokens, Excluded: r.Excluded, ServiceTime: r.ServiceTime, RelativeTime: r.RelativeTime,
		Program: r.Program, LineTokens: r.LineTokens, Object: r.Object, HistoryKnown: r.HistoryKnown, RunTime: r.RunTime, PrefillRate: r.PrefillRate, MemoryTokens: r.MemoryTokens,
	}, cs)
}
