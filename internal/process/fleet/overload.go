package fleet

import (
	"cmp"
	"slices"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/overload"
)

const (
	// overloadStatusInterval is the time between two looks at the state of the controllers,
	// for the metrics and the log.
	overloadStatusInterval = 500 * time.Millisecond
	// overloadEnd is how long everything has to be admitted before the log says that the
	// overload has ended. Estimates of a VM differ by some percent from one report to the
	// next.
	overloadEnd = 2 * time.Second
)

// endpointOverload decides which programs begin at an endpoint whose replicas report their
// load.
type endpointOverload struct {
	controller *overload.Controller
	// refusing is set from the first refusal on until the overload has ended. refused counts
	// the refusals of that time, lastShed is when programs were last to be refused.
	refusing bool
	refused  int64
	lastShed time.Time
}

// EndpointLoad is the state of the decision on the programs of an endpoint.
type EndpointLoad struct {
	Endpoint string
	overload.Status
}

// BeginProgram is the event that asks whether a request of a model's endpoint may run. Only
// requests that begin a program are refused.
type BeginProgram struct {
	Endpoint string
	Request  overload.Request
	// Reply must have room for the answer.
	Reply chan<- overload.Decision
}

// Apply implements Event.
func (e BeginProgram) Apply(s *State, now time.Time) {
	o := s.overload[e.Endpoint]
	if o == nil {
		e.Reply <- overload.Decision{Admitted: true} // no replica has reported its load
		return
	}
	decision := o.controller.Begin(now, e.Request)
	if !decision.Admitted {
		o.refused++
		if !o.refusing {
			o.refusing = true
			s.logOverload(now, "Programs are refused because an endpoint is overloaded", e.Endpoint, o)
		}
	}
	e.Reply <- decision
}

// controllerOf returns the controller of an endpoint, which exists from the first load
// report on.
func (s *State) controllerOf(endpoint string) *overload.Controller {
	o := s.overload[endpoint]
	if o == nil {
		o = &endpointOverload{controller: overload.New()}
		s.overload[endpoint] = o
	}
	return o.controller
}

// noteStreamLoad records the load report in the head of a model's answer.
func (s *State) noteStreamLoad(now time.Time, e ReplicaAnswered) {
	if l := e.Load; l != nil && e.ModelEndpoint != "" {
		s.controllerOf(e.ModelEndpoint).Report(now, now.Add(-max(0, l.Age)), l.Running, l.Waiting, l.BatchLimit)
	}
}

// noteStreamEnd records the times of a model's answer that was read to its end.
func (s *State) noteStreamEnd(now time.Time, e EndRequest) {
	if o := s.overload[e.Endpoint]; o != nil && e.FirstEventTime > 0 && e.Load != nil {
		o.controller.Ended(now, overload.RequestEnd{Kind: e.Kind, FirstEvent: e.FirstEventTime, Total: e.TotalTime, Unloaded: e.Load.Waiting == 0})
	}
}

// stepOverload publishes the state of the controllers and logs the end of an overload. It
// returns when it has to run next; zero if no endpoint is observed.
func (s *State) stepOverload(now time.Time) time.Time {
	if len(s.overload) == 0 || now.Before(s.overloadStatusAt) {
		return s.overloadStatusAt
	}
	s.overloadStatusAt = now.Add(overloadStatusInterval)
	s.endpointLoads = nil
	for endpoint, o := range s.overload {
		if s.table != nil {
			if _, known := s.table.Endpoint(endpoint); !known {
				delete(s.overload, endpoint)
				continue
			}
		}
		status := o.controller.Status(now)
		s.endpointLoads = append(s.endpointLoads, EndpointLoad{endpoint, status})
		if status.Shedding() {
			o.lastShed = now
		}
		if o.refusing && now.Sub(o.lastShed) >= overloadEnd {
			s.logOverload(now, "Overload of an endpoint ended", endpoint, o)
			o.refusing, o.refused = false, 0
		}
	}
	slices.SortFunc(s.endpointLoads, func(a, b EndpointLoad) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	s.unpublished = true
	return s.overloadStatusAt
}

func (s *State) logOverload(now time.Time, message, endpoint string, o *endpointOverload) {
	status := o.controller.Status(now)
	s.config.Log.State(message, "endpoint", endpoint, "pressure", status.Pressure, "firstEventDelay", status.Delay, "lateTurns", status.Late,
		"reportAge", status.Evidence, "classes", status.Classes, "refused", o.refused)
}
