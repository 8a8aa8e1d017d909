package control

import "time"

// Status is the status that a member reports to operators.
type Status struct {
	VM         string           `msgpack:"vm"`
	Version    uint64           `msgpack:"v"`
	Slots      int              `msgpack:"s"`
	Programs   int              `msgpack:"p"`
	LeaseValid bool             `msgpack:"l"`
	Stale      bool             `msgpack:"st"`
	Drained    bool             `msgpack:"d"`
	Endpoints  []EndpointStatus `msgpack:"e"`
}

// EndpointStatus is the status of an endpoint as seen by this member.
type EndpointStatus struct {
	Name     string          `msgpack:"n"`
	Drained  bool            `msgpack:"d"`
	Replicas []ReplicaStatus `msgpack:"r"`
	// Waiting is the number of calls in this member's queue.
	Waiting int `msgpack:"w"`
}

// ReplicaStatus is the status of a replica as seen by this member.
type ReplicaStatus struct {
	Address  string `msgpack:"a"`
	Leaving  bool   `msgpack:"l"`
	Failing  bool   `msgpack:"f"`
	InFlight int    `msgpack:"i"`
	Waiting  int    `msgpack:"w"`
}

// QueryStatus requests this member's status. Reply must have buffer space for one value.
type QueryStatus struct{ Reply chan<- Status }

// Apply implements Event.
func (e QueryStatus) Apply(s *State, now time.Time) {
	v := s.current.Version
	status := Status{
		VM: s.info.VM, Version: v.Number, Slots: len(s.slots.OwnedBy(s.self)), Programs: s.runs.Count(),
		LeaseValid: s.joined && s.lease.Valid(now), Stale: now.After(s.freshness.FreshUntil()), Drained: v.VMDrained(s.info.VM),
	}
	for _, ep := range v.Endpoints() {
		es := EndpointStatus{Name: ep.Name, Drained: ep.Drained}
		for _, c := range s.replicas.view.Candidates(ep.Name) {
			es.Replicas = append(es.Replicas, ReplicaStatus{
				Address: c.Replica, Leaving: c.Leaving, Failing: c.Failing, InFlight: c.InFlight,
			})
		}
		if q := s.replicas.queues[ep.Name]; q != nil {
			es.Waiting = q.Len()
		}
		status.Endpoints = append(status.Endpoints, es)
	}
	e.Reply <- status
}
