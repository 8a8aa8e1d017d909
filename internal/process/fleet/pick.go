package fleet

import (
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/replica"
)

// usualGain is the weight of a new service time in what is usual for a kind of
// request.
const usualGain = 0.05

// PickRequest is what a choice of a replica depends on.
type PickRequest struct {
	ID, Endpoint string
	// Now is set by the control state.
	Now time.Time
	// PromptTokens is the length of the prompt, Cached the tokens of it that a
	// replica probably holds.
	PromptTokens int64
	Cached       map[string]int64
	// Service is the expected time at an idle replica.
	Service time.Duration
	// Excluded holds the replicas at which an earlier attempt failed.
	Excluded map[string]bool
}

// Picked is the answer to a Pick.
type Picked struct {
	Replica replica.Candidate
	OK      bool
	// Of is the number of listed replicas of the endpoint.
	Of int
}

// Pick chooses a replica and counts the request as sent to it; an End has to follow.
type Pick struct {
	Request PickRequest
	Kind    string // of request, for its usual service time
	Reply   chan<- Picked
}

// Apply implements Event.
func (e Pick) Apply(s *State, now time.Time) {
	cs := s.replicas.Candidates(now, e.Request.Endpoint)
	e.Request.Now = now
	e.Request.Service = time.Duration(s.usual[e.Kind].whole * float64(time.Second))
	c, ok := s.config.Picker.Pick(e.Request, cs)
	if ok {
		s.replicas.Begin(now, c.Replica)
	}
	e.Reply <- Picked{Replica: c, OK: ok, Of: len(cs)}
}

// End reports the end of a request at a replica.
type End struct {
	Replica string
	// Failed says that the replica failed the request, NotHere that another replica
	// has its address.
	Failed, NotHere bool
	// Kept says that the connection may be used again.
	Kept bool
	// Load is the replica's load if it told it.
	Load *replica.Load
	// Kind tells what is compared with what. Whole is the time of the request and Unit
	// that of a part which is alike in all requests of the kind, such as an event of a
	// stream; zero if not known.
	Kind        string
	Whole, Unit time.Duration
}

// usual is the smoothed service time of a kind of request, in seconds.
type usual struct{ whole, unit float64 }

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
	u, known := s.usual[e.Kind]
	if !known {
		u = usual{whole: e.Whole.Seconds(), unit: e.Unit.Seconds()}
	}
	s.replicas.ObserveServiceTime(now, e.Replica, e.Unit.Seconds()/u.unit)
	u.whole += usualGain * (e.Whole.Seconds() - u.whole)
	u.unit += usualGain * (e.Unit.Seconds() - u.unit)
	s.usual[e.Kind] = u
}
