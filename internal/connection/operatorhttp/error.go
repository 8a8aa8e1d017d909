package operatorhttp

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"hornbeamvale.example/hornbeamvale/internal/version"
)

// Code is the machine-readable reason of an Error. Codes do not change.
type Code string

// The error codes.
const (
	BadRequest      Code = "bad_request"
	Unauthenticated Code = "unauthenticated"
	InvalidDocument Code = "invalid_document" // Error.Faults lists the faults
	Conflict        Code = "conflict"         // Error.Version is the version in force
	NotFound        Code = "not_found"
	// Unavailable means that the store or another VM did not answer. The request may be
	// repeated with the same submission id.
	Unavailable Code = "unavailable"
	Internal    Code = "internal"
)

// statuses maps each code to its HTTP status.
var statuses = map[Code]int{
	BadRequest:      http.StatusBadRequest,
	Unauthenticated: http.StatusUnauthorized,
	InvalidDocument: http.StatusUnprocessableEntity,
	Conflict:        http.StatusConflict,
	NotFound:        http.StatusNotFound,
	Unavailable:     http.StatusServiceUnavailable,
	Internal:        http.StatusInternalServerError,
}

// Error is the answer to an operator's request that has failed.
type Error struct {
	Code    Code            `json:"code"`
	Message string          `json:"message"`
	Version uint64          `json:"version,omitempty"` // only for Conflict
	Faults  []version.Fault `json:"faults,omitempty"`  // only for InvalidDocument
}

// NewError returns an error with a formatted message.
func NewError(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// NewConflict returns the error of a submission whose base version is not in force.
func NewConflict(base, current uint64) *Error {
	e := NewError(Conflict, "base version %d is not in force, the current version is %d", base, current)
	e.Version = current
	return e
}

// Error implements error. Each fault has its own line.
func (e *Error) Error() string {
	lines := []string{fmt.Sprintf("%s: %s", e.Code, e.Message)}
	for _, f := range e.Faults {
		lines = append(lines, f.Path+": "+f.Message)
	}
	return strings.Join(lines, "\n")
}

// errorBody is the JSON form of an error answer.
type errorBody struct {
	Error *Error `json:"error"`
}

// toError converts an error of the backend to the error that the client receives. The
// text of an error of another type is not sent, since it may name internal addresses.
func toError(err error) *Error {
	var typed *Error
	var document *version.DocumentError
	switch {
	case errors.As(err, &typed):
		return typed
	case errors.As(err, &document):
		return &Error{Code: InvalidDocument, Message: "the document has faults", Faults: document.Faults}
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return NewError(Unavailable, "the request was not completed in time")
	}
	return NewError(Internal, "internal error")
}

// UnreachableError is the error of a request that no server answered.
type UnreachableError struct {
	Attempts []Attempt
}

// Attempt is a failed attempt at one server.
type Attempt struct {
	Server string
	Err    error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	parts := make([]string, len(e.Attempts))
	for i, a := range e.Attempts {
		parts[i] = fmt.Sprintf("%s: %v", a.Server, a.Err)
	}
	return "no server answered: " + strings.Join(parts, "; ")
}

// Unwrap returns the errors of the attempts.
func (e *UnreachableError) Unwrap() []error {
	errs := make([]error, len(e.Attempts))
	for i, a := range e.Attempts {
		errs[i] = a.Err
	}
	return errs
}
