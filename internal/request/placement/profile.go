package placement

import (
	"hornbeamvale.example/hornbeamvale/internal/process/replica"
	"hornbeamvale.example/hornbeamvale/internal/version/hashing"
)

// WeightedScore is a score with its weight.
type WeightedScore struct {
	Score
	Weight float64
}

// Profile chooses replicas by a list of filters and weighted scores.
type Profile struct {
	Filters []Filter
	Scores  []WeightedScore
	// EvenLoad is set if requests choose among few replicas where it applies.
	EvenLoad bool
}

// DefaultProfile returns the profile for VMs that queue calls themselves. It is used for
// all endpoints.
func DefaultProfile() *Profile {
	return &Profile{
		Filters: []Filter{Leaving{}, Failing{}, Excluded{}, Capacity{}},
		Scores: []WeightedScore{
			{PrefixAgainstWait{}, 1},
			{LeastLoad{}, 1},
			{DataCentre{}, 1},
		},
	}
}

// Pick returns the replica with the highest score, or false if the filters exclude all.
// Ties are broken by a hash of the request, so that not all VMs choose the same replica.
func (p *Profile) Pick(r Request, cs []replica.Candidate) (replica.Candidate, bool) {
	kept := p.filter(r, cs)
	if len(kept) == 0 {
		return replica.Candidate{}, false
	}
	r.evenLoad = p.EvenLoad && (EvenLoad{}).applies(kept)
	r.choices, r.home, r.objectHome = twoChoices(r.ID, kept), homeOf(r, kept), objectHomeOf(r, kept)
	if r.evenLoad {
		kept = EvenLoad{}.Choose(r, kept)
	}
	best, bestScore, bestHash := 0, 0.0, uint64(0)
	for i, c := range kept {
		score, hash := p.score(r, c), hashing.Sum("tie", r.ID, c.Replica)
		if i == 0 || score > bestScore || score == bestScore && hash > bestHash {
			best, bestScore, bestHash = i, score, hash
		}
	}
	return kept[best], true
}

func (p *Profile) filter(r Request, cs []replica.Candidate) []replica.Candidate {
	kept := make([]replica.Candidate, 0, len(cs))
	for _, c := range cs {
		if p.keep(r, c) {
			kept = append(kept, c)
		}
	}
	return kept
}

func (p *Profile) keep(r Request, c replica.Candidate) bool {
	for _, f := range p.Filters {
		if !f.Keep(r, c) {
			return false
		}
	}
	return true
}

func (p *Profile) score(r Request, c replica.Candidate) float64 {
	var sum float64
	for _, s := range p.Scores {
		sum += s.Weight * s.Score.Score(r, c)
	}
	return sum
}
