// Package refusal holds the typed reasons for which a request is not answered.
// It is vocabulary without state: every layer may use it, and the encoding to
// HTTP or to frames stands elsewhere.
package refusal

import (
	"fmt"
	"time"
)

// Run says whether the request's action took place.
type Run string

const (
	// NotRun is certain: no byte of the request reached an endpoint.
	NotRun Run = "not_run"
	// Unknown means that the request may have run once.
	Unknown Run = "unknown"
	// Ran means that the request ran, but its answer cannot be given.
	Ran Run = "ran"
)

// Code is a stable, machine-readable reason.
type Code string

// The refusal codes.
const (
	BadRequest             Code = "bad_request"
	Unauthenticated        Code = "unauthenticated"
	Forbidden              Code = "forbidden"
	EndpointUnknown        Code = "endpoint_unknown"
	StaleConfiguration     Code = "stale_configuration"
	RateLimited            Code = "rate_limited"
	BudgetExhausted        Code = "budget_exhausted"
	TurnEarly              Code = "turn_early"
	TurnConflict           Code = "turn_conflict"
	ProgramEnded           Code = "program_ended"
	OutcomeUnknown         Code = "outcome_unknown"
	IdempotencyKeyRequired Code = "idempotency_key_required"
	OwnerUnavailable       Code = "owner_unavailable"
	StoreUnavailable       Code = "store_unavailable"
	NoReplica              Code = "no_replica"
	EndpointFailed         Code = "endpoint_failed"
	Overloaded             Code = "overloaded"
	Stopping               Code = "stopping"
	Internal               Code = "internal"
	RouteUnknown           Code = "route_unknown"
	TurnUnknown            Code = "turn_unknown"
	NoConfiguration        Code = "no_configuration"
	TimeLimit              Code = "time_limit"
	TooLarge               Code = "too_large"
)

// Refusal is the error that a caller receives in place of an answer.
type Refusal struct {
	Code    Code
	Message string
	Run     Run
	// RetryAfter is zero where waiting does not help.
	RetryAfter time.Duration
}

// New returns a refusal that certainly did not run.
func New(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), Run: NotRun}
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Run, r.Message)
}

// WithRun returns a copy with another run state.
func (r *Refusal) WithRun(run Run) *Refusal {
	c := *r
	c.Run = run
	return &c
}

// After returns a copy that asks the caller to wait for d.
func (r *Refusal) After(d time.Duration) *Refusal {
	c := *r
	c.RetryAfter = d
	return &c
}
