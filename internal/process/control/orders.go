package control

import (
	"context"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/eventlog"
	"hornbeamvale.example/hornbeamvale/internal/process/order"
	"hornbeamvale.example/hornbeamvale/internal/process/ownership"
)

// orderInterval is the time between two comparisons of an endpoint's reported state with
// its configured state.
const orderInterval = 5 * time.Second

// orders is the state of the orders to the endpoints whose slots this member owns.
type orders struct {
	next           time.Time
	loadLimiters   map[string]*order.LoadLimiter
	reportsPending map[string]bool
}

func newOrders() *orders {
	return &orders{loadLimiters: map[string]*order.LoadLimiter{}, reportsPending: map[string]bool{}}
}

// stepOrders starts reading the replicas' reports for the owned endpoints that have
// models configured.
func (s *State) stepOrders(now time.Time) {
	if now.Before(s.orders.next) || s.config.Endpoints == nil {
		return
	}
	s.orders.next = now.Add(orderInterval)
	for _, ep := range s.current.Version.Endpoints() {
		slot := ownership.EndpointSlot(ep.Name)
		if len(ep.Models) == 0 || s.orders.reportsPending[ep.Name] || s.slots.Owner(slot).Member != s.self || !s.lease.Valid(now) {
			continue
		}
		var addresses []string
		for _, c := range s.replicas.view.Candidates(ep.Name) {
			if !c.Leaving {
				addresses = append(addresses, c.Replica)
			}
		}
		self, name, endpoints := s.self, ep.Name, s.config.Endpoints
		s.orders.reportsPending[name] = s.submitJob(func(ctx context.Context) Event {
			e := replicasReported{self: self, endpoint: name}
			for _, address := range addresses {
				if r, err := endpoints.Report(ctx, address); err == nil {
					e.reports = append(e.reports, r)
				}
			}
			return e
		})
	}
}

// replicasReported reports the state of an endpoint's replicas.
type replicasReported struct {
	self, endpoint string
	reports        []order.Report
}

// Apply implements Event.
func (e replicasReported) Apply(s *State, now time.Time) {
	delete(s.orders.reportsPending, e.endpoint)
	slot := ownership.EndpointSlot(e.endpoint)
	owner := s.slots.Owner(slot)
	ep, ok := s.current.Version.Endpoint(e.endpoint)
	if !ok || e.self != s.self || owner.Member != s.self || !s.lease.Valid(now) {
		return
	}
	limiter := s.orders.loadLimiters[e.endpoint]
	if limiter == nil {
		limiter = order.NewLoadLimiter(ep.LoadsPerMinute, now)
		s.orders.loadLimiters[e.endpoint] = limiter
	}
	for _, o := range order.Plan(now, ep.Models, e.reports, limiter) {
		s.sendOrder(now, o, owner.Epoch)
	}
}

// sendOrder sends an order to a replica. The next report shows whether it took effect.
func (s *State) sendOrder(now time.Time, o order.Order, epoch uint64) {
	endpoints, loop := s.config.Endpoints, s.loop
	s.recordEvent(now, eventlog.Event{Kind: eventlog.EngineOrdered, Epoch: epoch, Detail: o.Replica + " " + string(o.Kind) + " " + o.Model + o.Role})
	s.submitJob(func(ctx context.Context) Event {
		// The lease may have expired if the process was paused since the plan
		// was made.
		if loop.Snapshot().LeaseValid(clock.Now()) {
			_ = endpoints.Order(ctx, o, epoch) // the next report shows the result
		}
		return nil
	})
}
