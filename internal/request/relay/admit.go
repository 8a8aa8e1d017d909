package relay

import (
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/fleet"
	"hornbeamvale.example/hornbeamvale/internal/process/storepath"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// admit finds the route and the customer of the request and sets its deadline. A VM
// that has no configuration, or has not confirmed that its own is the newest, does
// not say that a route or key does not exist.
func (x *exchange) admit(s *fleet.Snapshot, now time.Time) *refusal.Refusal {
	if s.Table == nil {
		return refusal.New(refusal.NoConfiguration, "this VM has read no configuration yet").After(defaultRetryAfter)
	}
	age := now.Sub(s.ConfirmedAt)
	x.configurationAge = age
	if age > maxIsolatedConfigAge && x.Store.State() == storepath.Isolated {
		return staleRefusal()
	}
	confirmed := age < confirmationValidity
	x.table = s.Table
	route, ok := s.Table.Match(x.request.Host, x.request.Path)
	if !ok {
		return refuseIfConfirmed(confirmed, refusal.New(refusal.RouteUnknown, "no route for %s%s", x.request.Host, x.request.Path))
	}
	x.route = route
	x.endpoint = route.Endpoint(x.request.ID)
	timeout, of := route.Timeout, routeLimit
	if x.request.CallerTimeout > 0 && (timeout <= 0 || x.request.CallerTimeout < timeout) {
		timeout, of = x.request.CallerTimeout, callerLimit
	}
	if timeout > 0 {
		x.deadline, x.limitOf = x.request.Received.Add(timeout-answerMargin), of
	}
	x.limit = x.deadline
	if s.Draining && s.StopAt.Before(x.deadline) {
		x.deadline, x.limitOf = s.StopAt, stopLimit
	}
	customer, ok := s.Table.Authenticate(x.request.Key)
	if ok {
		x.owner = customer.Name
	}
	if x.allowed = s.Table.Allowed(x.owner, route); x.allowed.None() {
		return refusal.New(refusal.NoReplica, "customer %q and route %q allow no region in common", x.owner, route.Name).After(unservableRetryAfter)
	}
	if route.Open {
		return nil
	}
	if !ok {
		return refuseIfConfirmed(confirmed, refusal.New(refusal.Unauthenticated, "the key is not valid"))
	}
	x.customer = customer
	return nil
}

// refuseIfConfirmed returns the given refusal if the configuration is confirmed as
// the newest, and otherwise that the configuration may be stale.
func refuseIfConfirmed(confirmed bool, why *refusal.Refusal) *refusal.Refusal {
	if confirmed {
		return why
	}
	return staleRefusal()
}

func staleRefusal() *refusal.Refusal {
	return refusal.New(refusal.StaleConfiguration, "this VM cannot confirm its configuration").After(isolatedRetryAfter)
}
