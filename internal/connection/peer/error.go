package peer

import (
	"errors"
	"fmt"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// Errors of streams.
var (
	// ErrCancelled means that the other side has cancelled the stream.
	ErrCancelled = errors.New("stream cancelled by the other side")
	// ErrClosed means that one of the sides has closed the stream.
	ErrClosed = errors.New("stream closed")

	errConnClosed     = errors.New("connection closed")
	errCreditExceeded = errors.New("the other side sent more chunks than its credit")
	errTypeNotAllowed = errors.New("the message type cannot be sent this way")
	errManagerClosed  = errors.New("manager closed")
)

// Error is the failure of a stream or call. It tells whether the request may have
// reached the other VM.
type Error struct {
	// Run is NotRun only if no byte of the request was written.
	Run refusal.RunState
	VM  string
	Err error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("VM %s: %v (%s)", e.VM, e.Err, e.Run) }

// Unwrap returns the cause. It is a *refusal.Refusal if the other VM refused a call.
func (e *Error) Unwrap() error { return e.Err }

// refusalPayload is the payload of CallRefusal.
type refusalPayload struct {
	Code       refusal.Code     `msgpack:"c"`
	Message    string           `msgpack:"m"`
	Run        refusal.RunState `msgpack:"r"`
	RetryAfter time.Duration    `msgpack:"a,omitempty"`
}

// encodeRefusal encodes an error of a Handler. An error that is not a
// *refusal.Refusal becomes an internal refusal whose run state is unknown.
func encodeRefusal(err error) ([]byte, error) {
	var ref *refusal.Refusal
	if !errors.As(err, &ref) {
		ref = refusal.New(refusal.Internal, "%v", err).WithRun(refusal.Unknown)
	}
	return Encode(refusalPayload{ref.Code, ref.Message, ref.Run, ref.RetryAfter})
}

// decodeRefusal returns the *refusal.Refusal of a CallRefusal payload, or why it
// cannot be decoded.
func decodeRefusal(data []byte) error {
	var p refusalPayload
	if err := Decode(data, &p); err != nil {
		return err
	}
	return &refusal.Refusal{Code: p.Code, Message: p.Message, Run: p.Run, RetryAfter: p.RetryAfter}
}
