package relay

import (
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/fleet"
	"hornbeamvale.example/hornbeamvale/internal/process/storepath"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// admit decides on the route, the key and the time that the request has. A VM that
// has no configuration, or cannot be certain that its own is the newest, does not
// say that a route or key does not exist.
func (x *exchange) admit(s *fleet.Snapshot, now time.Time) *refusal.Refusal {
	if s.Table == nil {
		return refusal.New(refusal.NoConfiguration, "this VM has read no configuration yet").After(retrySoon)
	}
	age := now.Sub(s.ConfirmedAt)
	if age > staleAfter && x.Store.State() == storepath.Isolated {
		return stale()
	}
	certain := age < confirmedFor
	x.table = s.Table
	route, ok := s.Table.Match(x.request.Host, x.request.Path)
	if !ok {
		return unlessCertain(certain, refusal.New(refusal.RouteUnknown, "no route for %s%s", x.request.Host, x.request.Path))
	}
	x.route = route
	x.endpoint = route.Endpoint(x.request.ID)
	wait := route.Timeout
	if x.request.Wait > 0 && (wait <= 0 || x.request.Wait < wait) {
		wait = x.request.Wait
	}
	if wait > 0 {
		x.deadline = x.request.Received.Add(wait - answerMargin)
	}
	if route.Open {
		return nil
	}
	customer, ok := s.Table.Authenticate(x.request.Key)
	if !ok {
		return unlessCertain(certain, refusal.New(refusal.Unauthenticated, "the key is not valid"))
	}
	x.customer = customer
	return nil
}

func unlessCertain(certain bool, why *refusal.Refusal) *refusal.Refusal {
	if certain {
		return why
	}
	return stale()
}

func stale() *refusal.Refusal {
	return refusal.New(refusal.StaleConfiguration, "this VM cannot confirm its configuration").After(elsewhere)
}
