package endpointhttp

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// Codes with which a replica refuses work that it did not start.
const (
	CodeLeaving = "leaving"
	CodeRefused = "refused"
)

// Error tells why a request to a replica has no complete answer.
type Error struct {
	// Run is NotRun only when no byte of the request was written or the replica
	// stated that it did not start it.
	Run     refusal.RunState
	Replica string
	// Status is the HTTP status; 0 when no response came.
	Status int
	// Code is the replica's own, if it gave any.
	Code string
	// Chunks counts the chunks of a chat that came before the error.
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

// effectNone is a replica's statement that a refused request had no effect.
const effectNone = "none"

type errorBody struct {
	Error  string `json:"error"`
	Effect string `json:"effect"`
}

// statusError converts a refusing response, given the start of its body.
func statusError(replica string, status int, body []byte) *Error {
	var b errorBody
	_ = json.Unmarshal(body, &b) // a body in another format leaves the code empty
	e := &Error{Run: refusal.Unknown, Replica: replica, Status: status, Code: b.Error}
	if refusedUnstarted(status, b) {
		e.Run = refusal.NotRun
	}
	return e
}

func refusedUnstarted(status int, b errorBody) bool {
	return status == http.StatusServiceUnavailable && b.Effect == effectNone &&
		(b.Error == CodeLeaving || b.Error == CodeRefused)
}

func readStatusError(replica string, resp *http.Response) *Error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody)) // a cut body is judged like an unreadable one
	return statusError(replica, resp.StatusCode, body)
}
