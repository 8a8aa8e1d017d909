// Package refusal defines the reasons for which a request is not answered. It has no
// state, so every layer may use it. The encoding to HTTP or to frames is in other
// packages.
package refusal

import (
	"fmt"
	"time"
)

// RunState tells whether a request has run at an endpoint.
type RunState string

const (
	// NotRun means that the request has certainly not run: no byte of it reached an
	// endpoint, or the endpoint promised that it has not run the request.
	NotRun RunState = "not_run"
	// Unknown means that the request may have run, at most once.
	Unknown RunState = "unknown"
	// Ran means that the request has run, but its answer is not available.
	Ran RunState = "ran"
)

// Code is the machine-readable reason of a refusal. Codes are part of the interface for
// callers and do not change.
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
	Quarantined            Code = "quarantined"
	TooLarge               Code = "too_large"
	HeadTooLarge           Code = "head_too_large"
	SlowRequest            Code = "slow_request"
)

// Refusal is the error that a caller receives instead of an answer.
type Refusal struct {
	Code    Code
	Message string
	Run     RunState
	// RetryAfter is the time after which the caller should try again; 0 if a repeat does
	// not help.
	RetryAfter time.Duration
}

// New returns a refusal of a request that has certainly not run.
func New(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), Run: NotRun}
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Run, r.Message)
}

// WithRun returns a copy with the given run state.
func (r *Refusal) WithRun(run RunState) *Refusal {
	c := *r
	c.Run = run
	return &c
}

// After returns a copy that asks the caller to try again after d.
func (r *Refusal) After(d time.Duration) *Refusal {
	c := *r
	c.RetryAfter = d
	return &c
}
