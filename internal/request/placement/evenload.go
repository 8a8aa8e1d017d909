package placement

import (
	"cmp"
	"math"
	"slices"

	"hornbeamvale.example/hornbeamvale/internal/process/replica"
	"hornbeamvale.example/hornbeamvale/internal/version/hashing"
)

const (
	// evenChoices is the number of replicas that are drawn for a request. With five and ten,
	// the waits in the simulation of 300 VMs were 2 and 2.6 times as long, since more VMs
	// then chose the same replica by the same outdated reports.
	evenChoices = 2
	// connectedDrawWeight is the weight of a replica to which an idle connection is open, in
	// the draw. With 3 the simulation opened more connections than before the draw was used;
	// with 100 the waits grew.
	connectedDrawWeight = 10
	// sameDataCentreDrawWeight is the weight of a replica in the VM's own data centre. With 1
	// the simulation sent more requests to other data centres than before the draw was
	// used; with 4 the waits grew with 300 VMs.
	sameDataCentreDrawWeight = 2
	// queueExternality is the weight of the wait for a slot in relation to the time of the
	// request itself: a request that has to wait also delays those that come after it. In the
	// simulation of 300 VMs the slowest waits were 2 times as long with 1 and 3 times as long
	// with 3.
	queueExternality = 2
)

// EvenLoad addresses many VMs that choose at the same moment among replicas of different
// speed by load reports that are out of date. If each chose the best replica by its
// reports, all would choose the same one, such as a replica that comes back empty. A request
// therefore chooses among few replicas that are drawn at random by their usual speed, so
// that a replica's part of the requests is bounded by its part of the capacity. The replicas
// that have the request's prompt in their cache, or at which the turns of its program or the
// requests about its object meet, are choices as well.
//
// EvenLoad takes effect if replicas report their work time. Like replicas are chosen as
// before: with 65 VMs and 36 of them, draws served fewer programs in time.
type EvenLoad struct{}

// applies reports whether the choice is narrowed for these replicas.
func (EvenLoad) applies(cs []replica.Candidate) bool {
	return slices.ContainsFunc(cs, func(c replica.Candidate) bool { return c.ReportsWorkTime })
}

// Choose returns the replicas among which the request chooses.
func (EvenLoad) Choose(r Request, cs []replica.Candidate) []replica.Candidate {
	type draw struct {
		key float64
		replica.Candidate
	}
	draws := make([]draw, 0, len(cs))
	for _, c := range cs {
		if r.CachedTokens[c.Replica] > 0 || c.Replica == r.home || c.Replica == r.objectHome {
			// Always a choice, whatever is drawn.
			draws = append(draws, draw{math.Inf(1), c})
			continue
		}
		weight := 1 / c.UsualSlowness
		if c.Connected {
			weight *= connectedDrawWeight
		}
		if c.DataCentre == "" || c.DataCentre == r.DataCentre {
			weight *= sameDataCentreDrawWeight
		}
		// The largest keys are a weighted sample without replacement.
		draws = append(draws, draw{math.Log(1-hashing.Fraction("draw", r.ID, c.Replica)) / weight, c})
	}
	slices.SortFunc(draws, func(a, b draw) int { return cmp.Compare(b.key, a.key) })
	chosen := make([]replica.Candidate, 0, evenChoices+1)
	drawn := 0
	for _, d := range draws {
		if !math.IsInf(d.key, 1) {
			if drawn == evenChoices {
				break
			}
			drawn++
		}
		chosen = append(chosen, d.Candidate)
	}
	return chosen
}
