// Package admission decides whether a call is admitted. It checks whether this VM may
// admit calls at all, the key and its customer, the endpoint and route, and the program.
// The decision depends only on the arguments and one configuration version, and has no
// side effects. The customer's rate is checked afterwards.
package admission

import (
	"time"

	"hornbeamvale.example/hornbeamvale/internal/connection/call"
	"hornbeamvale.example/hornbeamvale/internal/version"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
	"hornbeamvale.example/hornbeamvale/operator"
)

// retryAfter is the time after which a refused caller should try another VM.
const retryAfter = time.Second

// LocalState is the state of this VM that decides whether it may admit a call.
type LocalState struct {
	Version *version.Version
	VM      string
	// Joined is true if this VM holds a valid seat, Fresh if its configuration may be
	// used to admit requests, and Stopping if it shuts down; see control.Snapshot.
	Joined, Fresh, Stopping bool
}

// Admitted is the result of the check of an admitted call.
type Admitted struct {
	// Customer is nil for a call without a key on an open route, which needs none.
	Customer *version.Customer
	Endpoint *version.Endpoint
	// Idempotent is true if the call may be repeated after an unknown outcome.
	Idempotent bool
}

// CustomerName returns the customer's name. Calls without a key share the empty name,
// which no customer can have.
func (a Admitted) CustomerName() string {
	if a.Customer == nil {
		return ""
	}
	return a.Customer.Name
}

// Check returns the admitted call or why it is refused.
func Check(s LocalState, key string, c *call.Call) (Admitted, *refusal.Refusal) {
	if why := s.ready(); why != nil {
		return Admitted{}, why
	}
	customer, why := authenticate(s.Version, key)
	if why != nil {
		return Admitted{}, why
	}
	endpoint, ok := s.Version.Endpoint(c.Endpoint)
	if !ok {
		return Admitted{}, refusal.New(refusal.EndpointUnknown, "endpoint %q is not declared", c.Endpoint)
	}
	open, idempotent, why := route(endpoint, c)
	if why != nil {
		return Admitted{}, why
	}
	if customer == nil && !open {
		return Admitted{}, refusal.New(refusal.Unauthenticated, "a key is required")
	}
	if customer == nil && c.Run != "" {
		return Admitted{}, refusal.New(refusal.Unauthenticated, "a program requires a key")
	}
	if customer != nil && !open && !customer.MayReach(endpoint.Name) {
		return Admitted{}, refusal.New(refusal.Forbidden, "the customer may not reach endpoint %q", endpoint.Name)
	}
	if why := program(s.Version, customer, c.Run); why != nil {
		return Admitted{}, why
	}
	// Without a request id or a turn number, a repeat of the call could not be
	// distinguished from a new call.
	if !idempotent && c.RequestID == "" && (c.Run == "" || c.Turn == 0) {
		return Admitted{}, refusal.New(refusal.IdempotencyKeyRequired, "a non-idempotent call needs an Idempotency-Key, or a program and a turn number")
	}
	return Admitted{Customer: customer, Endpoint: endpoint, Idempotent: idempotent}, nil
}

// Identify returns the customer who ends a program or settles a call.
func Identify(s LocalState, key string) (*version.Customer, *refusal.Refusal) {
	if why := s.ready(); why != nil {
		return nil, why
	}
	customer, why := authenticate(s.Version, key)
	if why == nil && customer == nil {
		why = refusal.New(refusal.Unauthenticated, "a key is required")
	}
	return customer, why
}

// ready returns why this VM may not admit calls, or nil if it may.
func (s LocalState) ready() *refusal.Refusal {
	switch {
	case s.Stopping:
		return refusal.New(refusal.Stopping, "this VM is stopping").After(retryAfter)
	case !s.Joined:
		return refusal.New(refusal.OwnerUnavailable, "this VM has no seat yet").After(retryAfter)
	case !s.Fresh:
		return refusal.New(refusal.StaleConfiguration, "this VM cannot confirm its configuration").After(retryAfter)
	case s.Version.VMDrained(s.VM):
		return refusal.New(refusal.Stopping, "this VM is drained").After(retryAfter)
	}
	return nil
}

// authenticate returns the customer of a key, nil without a key.
func authenticate(v *version.Version, key string) (*version.Customer, *refusal.Refusal) {
	if key == "" {
		return nil, nil
	}
	customer, ok := v.Authenticate(key)
	if !ok {
		return nil, refusal.New(refusal.Unauthenticated, "the key is not valid")
	}
	return customer, nil
}

// route reports whether the call's route is open, that is needs no key, and whether the
// call is idempotent. A chat is: it changes only the history, which the system keeps.
func route(e *version.Endpoint, c *call.Call) (open, idempotent bool, why *refusal.Refusal) {
	switch {
	case c.Chat != nil && e.Kind == operator.KindModel:
		return e.Open, true, nil
	case c.Service != nil && e.Kind == operator.KindService:
		r := e.Route(c.Service.Method, c.Service.Path)
		return e.Open || r.Open, r.Idempotent, nil
	default:
		return false, false, refusal.New(refusal.BadRequest, "endpoint %q is of kind %q", e.Name, e.Kind)
	}
}

// program checks that the program of a run is declared and that the customer may run it.
func program(v *version.Version, customer *version.Customer, run string) *refusal.Refusal {
	if run == "" {
		return nil
	}
	name := version.ProgramName(run)
	if _, ok := v.Program(run); !ok || !customer.MayRun(name) {
		return refusal.New(refusal.Forbidden, "the customer may not run program %q", name)
	}
	return nil
}
