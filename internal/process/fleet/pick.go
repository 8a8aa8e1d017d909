package fleet

import (
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/replica"
)

// serviceTimeWeight is the weight of a new sample in the smoothed service time of a
// kind of request.
const serviceTimeWeight = 0.05

// PickRequest describes the request for which a replica is chosen.
type PickRequest struct {
	ID, Endpoint string
	// Now is set by the control thread.
	Now time.Time
	// PromptTokens is the length of the prompt. Cached is the number of its tokens that
	// each replica probably has in its cache, by replica.
	PromptTokens int64
	Cached       map[string]int64
	// Service is the expected service time at an idle replica.
	Service time.Duration
	// Excluded contains the replicas at which an earlier attempt failed.
	Excluded map[string]bool
}

// Picked is the reply to a Pick.
type Picked struct {
	Replica replica.Candidate
	OK      bool
	// Of is the number of listed replicas of the endpoint.
	Of int
}

// Pick is the event that chooses a replica and counts the request as sent to it. An End
// must follow.
type Pick struct {
	Request PickRequest
	Kind    string // kind of request, selects the expected service time
	Reply   chan<- Picked
}

// Apply implements Event.
func (e Pick) Apply(s *State, now time.Time) {
	cs := s.replicas.Candidates(now, e.Request.Endpoint)
	e.Request.Now = now
	e.Request.Service = time.Duration(s.serviceTimes[e.Kind].total * float64(time.Second))
	c, ok := s.config.Picker.Pick(e.Request, cs)
	if ok {
		s.replicas.Begin(now, c.Replica)
	}
	e.Reply <- Picked{Replica: c, OK: ok, Of: len(cs)}
}

// End is the event that a request has ended at a replica.
type End struct {
	Replica string
	// Failed is set if the replica failed the request, NotHere if another replica
	// answered at its address.
	Failed, NotHere bool
	// Kept is set if the connection can be reused.
	Kept bool
	// Load is the load that the replica reported with its answer; nil if it reported
	// none.
	Load *replica.Load
	// Kind groups the requests whose service times are compared. Whole is the time of
	// the whole request. Unit is the time of a part that is similar in all requests of
	// the kind, such as an event of a stream. Either is zero if unknown.
	Kind        string
	Whole, Unit time.Duration
}

// serviceTime is the smoothed service time of a kind of request, in seconds.
type serviceTime struct{ total, unit float64 }

// Apply implements Event.
func (e End) Apply(s *State, now time.Time) {
	if e.Load != nil {
		s.replicas.Report(now, e.Replica, *e.Load)
	}
	s.replicas.End(now, e.Replica, !e.Failed, e.Kept)
	if e.NotHere {
		s.replicas.MarkMismatch(now, e.Replica)
	}
	if e.Whole <= 0 || e.Unit <= 0 {
		return
	}
	u, known := s.serviceTimes[e.Kind]
	if !known {
		u = serviceTime{total: e.Whole.Seconds(), unit: e.Unit.Seconds()}
	}
	s.replicas.ObserveServiceTime(now, e.Replica, e.Unit.Seconds()/u.unit)
	u.total += serviceTimeWeight * (e.Whole.Seconds() - u.total)
	u.unit += serviceTimeWeight * (e.Unit.Seconds() - u.unit)
	s.serviceTimes[e.Kind] = u
}
