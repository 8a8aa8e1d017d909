package peer

import (
	"errors"
	"fmt"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// Errors of streams.
var (
	// ErrCancelled means that the other side cancelled the stream.
	ErrCancelled = errors.New("stream cancelled by the other side")
	// ErrClosed means that the stream was closed by one of the sides.
	ErrClosed = errors.New("stream closed")

	errConnClosed = errors.New("connection closed")
	errOverrun    = errors.New("the other side sent more chunks than its credit")
	errType       = errors.New("the message type cannot be sent this way")
	errManager    = errors.New("manager closed")
)

// Error tells whether a request that failed may have reached the other VM.
type Error struct {
	// Run is NotRun only when nothing of the request was written.
	Run refusal.RunState
	VM  string
	Err error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("VM %s: %v (%s)", e.VM, e.Err, e.Run) }

// Unwrap returns the cause: for a call that the other VM refused, a *refusal.Refusal.
func (e *Error) Unwrap() error { return e.Err }

// refusalPayload is the payload of CallRefusal.
type refusalPayload struct {
	Code       refusal.Code     `msgpack:"c"`
	Message    string           `msgpack:"m"`
	Run        refusal.RunState `msgpack:"r"`
	RetryAfter time.Duration    `msgpack:"a,omitempty"`
}

func encodeRefusal(err error) ([]byte, error) {
	var ref *refusal.Refusal
	if !errors.As(err, &ref) {
		ref = refusal.New(refusal.Internal, "%v", err).WithRun(refusal.Unknown)
	}
	return Encode(refusalPayload{ref.Code, ref.Message, ref.Run, ref.RetryAfter})
}

func decodeRefusal(data []byte) error {
	var p refusalPayload
	if err := Decode(data, &p); err != nil {
		return err
	}
	return &refusal.Refusal{Code: p.Code, Message: p.Message, Run: p.Run, RetryAfter: p.RetryAfter}
}
