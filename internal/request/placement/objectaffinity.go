package placement

import (
	"hornbeamvale.example/hornbeamvale/internal/process/replica"
	"hornbeamvale.example/hornbeamvale/internal/version/hashing"
)

// objectGain is the part of its service time that a request saves at a replica that has
// handled its object lately. The platform's pages state no figure. Half of it outweighs the
// cost of a new connection if requests take over 20 ms, but not a queue.
const objectGain = 0.5

// ObjectAffinity prefers the replica at which the requests about an object meet. It answers
// this load: requests about one object come through changing VMs, which do not tell each
// other where they sent the last one.
type ObjectAffinity struct{}

// Name implements Score.
func (ObjectAffinity) Name() string { return "object-affinity" }

// Score implements Score.
func (ObjectAffinity) Score(r Request, c replica.Candidate) float64 {
	if r.objectHome == "" || c.Replica != r.objectHome {
		return 0
	}
	service := r.ServiceTime.Seconds()
	if service <= 0 {
		service = defaultServiceSeconds
	}
	return objectGain * service
}

// objectHomeOf returns the replica at which the requests about an object meet: of the
// replicas with a free slot, the one that ranks first by a hash. It returns "" if the request
// has no object or if no replica has a free slot.
func objectHomeOf(r Request, cs []replica.Candidate) string {
	if r.Object == "" {
		return ""
	}
	best, bestHash := "", uint64(0)
	for _, c := range cs {
		if c.Expected+1 > float64(batchLimit(c)) {
			continue
		}
		if h := hashing.Sum("object-replica", r.Object, c.Replica); best == "" || h > bestHash {
			best, bestHash = c.Replica, h
		}
	}
	return best
}
