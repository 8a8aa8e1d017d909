package placement

import (
	"hornbeamvale.example/hornbeamvale/internal/process/replica"
	"hornbeamvale.example/hornbeamvale/internal/version/hashing"
)

const (
	// fullBatchSeconds is the assumed delay that a full batch adds to a call.
	fullBatchSeconds = 1.0
	// notChosenSeconds is the penalty of replicas that are neither one of the two random
	// choices nor hold a prefix of the run.
	notChosenSeconds = 5.0
)

// LeastLoad prefers the less loaded of two replicas that are chosen by a hash of the
// request (power of two choices). If all replicas were choices, VMs that see the same
// outdated load reports would all send to the replica that was idle. Replicas that hold
// a prefix of the run are choices as well.
type LeastLoad struct{}

// Name implements Score.
func (LeastLoad) Name() string { return "least-load-of-two" }

// Score implements Score.
func (LeastLoad) Score(r Request, c replica.Candidate) float64 {
	score := -fullBatchSeconds * float64(c.InFlight) / float64(batchLimit(c))
	if c.Replica != r.choices[0] && c.Replica != r.choices[1] && r.CachedTokens[c.Replica] == 0 {
		score -= notChosenSeconds
	}
	return score
}

// twoChoices returns the two replicas with the highest hashes of request and replica.
func twoChoices(id string, cs []replica.Candidate) [2]string {
	var names [2]string
	var hashes [2]uint64
	for _, c := range cs {
		h := hashing.Sum("choice", id, c.Replica)
		switch {
		case names[0] == "" || h > hashes[0]:
			names[1], hashes[1] = names[0], hashes[0]
			names[0], hashes[0] = c.Replica, h
		case names[1] == "" || h > hashes[1]:
			names[1], hashes[1] = c.Replica, h
		}
	}
	return names
}
