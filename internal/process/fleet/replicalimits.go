package fleet

import (
	"time"
)

// replicaLimit is the rate of requests from all VMs that a replica asks not to be
// exceeded.
type replicaLimit struct {
	rate    float64   // requests/s
	namedAt time.Time // when the last answer that named it arrived
}

// ReplicaAnswered is the event that the head of a replica's answer has arrived.
type ReplicaAnswered struct {
	Replica string
	// SentAt is when the request was sent.
	SentAt time.Time
	// Limit is the limit that the answer names, in requests/s; nil if it names none.
	Limit *float64
}

// Apply implements Event. An answer without a limit ends it only if its request was sent
// after the last answer that named one, since answers on several connections may overtake
// each other.
func (e ReplicaAnswered) Apply(s *State, now time.Time) {
	known := s.limits[e.Replica]
	s.unpublished = true
	switch {
	case e.Limit != nil && known == nil:
		s.limits[e.Replica] = &replicaLimit{rate: *e.Limit, namedAt: now}
		s.config.Log.State("Replica names a request limit", "replica", e.Replica, "limit", *e.Limit)
	case e.Limit != nil:
		known.rate, known.namedAt = *e.Limit, now
	case known != nil && e.SentAt.After(known.namedAt):
		delete(s.limits, e.Replica)
		s.config.Log.State("Replica names no request limit any more", "replica", e.Replica, "limit", known.rate)
	}
}
