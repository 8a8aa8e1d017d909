package fleet

import (
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/replica"
)

// ReplicaAnswered is the event that the head of a replica's answer has arrived. A long
// answer ends much later, see EndRequest.
type ReplicaAnswered struct {
	Replica string
	// SentAt is when the request was sent.
	SentAt time.Time
	// Limit is the limit that the answer names, in requests/s; nil if it names none.
	Limit *float64
	// Leaving is set if the answer says that the replica takes no new work.
	Leaving bool
	// Load is the load that the answer reports; nil if it reports none. The choice of replicas
	// uses it now if it has a work time, which is out of date at the end of a long answer;
	// other reports count from the end on, see EndRequest.
	Load *replica.Load
	// ModelEndpoint is the endpoint of a model's replica; empty for a plain service.
	ModelEndpoint string
}

// Apply implements Event.
func (e ReplicaAnswered) Apply(s *State, now time.Time) {
	if e.Leaving && s.replicas.MarkLeaving(now, e.Replica) {
		s.config.Log.State("Replica says that it is leaving", "replica", e.Replica)
		s.noteReplica(now, e.Replica, true)
	}
	if e.Load != nil && e.Load.WorkTime > 0 {
		s.replicas.Report(now, e.Replica, *e.Load)
	}
	s.noteLimit(now, e)
	s.noteStreamLoad(now, e)
}
