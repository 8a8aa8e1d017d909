package endpointhttp

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// Codes of a replica's error response to a request that it has not started.
const (
	CodeLeaving = "leaving"
	CodeRefused = "refused"
)

// Error is the failure of a request to a replica: there is no complete answer.
type Error struct {
	// Run is NotRun only if no byte of the request was written, or if the replica
	// stated that it has not started the request.
	Run     refusal.RunState
	Replica string // address
	// Status is the HTTP status; 0 if no response came or a stream failed after it.
	Status int
	// Code is the error code that the replica gave; empty if none.
	Code string
	// Chunks is the number of chunks of a chat that were received before the error.
	Chunks int
	Err    error
}

// Error implements error.
func (e *Error) Error() string {
	switch {
	case e.Err != nil:
		return fmt.Sprintf("replica %s: %v (%s, %d chunks received)", e.Replica, e.Err, e.Run, e.Chunks)
	case e.Status != 0:
		return fmt.Sprintf("replica %s: status %d %s (%s)", e.Replica, e.Status, e.Code, e.Run)
	}
	return fmt.Sprintf("replica %s: %s (%s, %d chunks received)", e.Replica, e.Code, e.Run, e.Chunks)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// effectNone states in an error response that the request had no effect.
const effectNone = "none"

// errorBody is the JSON form of a replica's error response.
type errorBody struct {
	Error  string `json:"error"`
	Effect string `json:"effect"`
}

// statusError returns the *Error of an error response with the given body, or of an
// error event, for which status is 0.
func statusError(replica string, status int, body []byte) *Error {
	var b errorBody
	_ = json.Unmarshal(body, &b) // the code of a body in another format is left empty
	e := &Error{Run: refusal.Unknown, Replica: replica, Status: status, Code: b.Error}
	if refusedBeforeStart(status, b) {
		e.Run = refusal.NotRun
	}
	return e
}

// refusedBeforeStart reports whether the replica stated that it has not started the
// request.
func refusedBeforeStart(status int, b errorBody) bool {
	return status == http.StatusServiceUnavailable && b.Effect == effectNone &&
		(b.Error == CodeLeaving || b.Error == CodeRefused)
}

// readStatusError reads the body of an error response and returns its *Error.
func readStatusError(replica string, resp *http.Response) *Error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody)) // a truncated body counts as one in another format
	return statusError(replica, resp.StatusCode, body)
}
