package call

import (
	"io"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/replica"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// Forward is a request that is passed on as its caller sent it, but for the history
// that the system puts before its body.
type Forward struct {
	// ID names this request; the caller never uses it again.
	ID     string
	Method string
	Host   string
	// Path is as sent, without decoding; Query is without its question mark.
	Path, Query string
	Headers     []Header
	Body        []byte
	// Key is the caller's key. It is not passed on.
	Key string
	// Received is when the request was read, Wait how long the caller waits from
	// then on; 0 if it did not say.
	Received time.Time
	Wait     time.Duration
	// PromptTokens and MaxTokens are the length of the prompt and the largest number
	// of tokens of the answer; 0 if not stated.
	PromptTokens, MaxTokens int64
	// Parts are the parts of the prompt that requests may share, in order.
	Parts   []PromptPart
	Program ProgramRef
}

// PromptPart is a part of a prompt that may be cached.
type PromptPart struct {
	ID     string
	Tokens int64
}

// ProgramRef places a request in its program.
type ProgramRef struct {
	// ID is empty for a request outside programs.
	ID string
	// Line names the sequence of turns, for example that of a sub-agent.
	Line string
	// Left is the time until the program should be finished; 0 if not stated.
	Left time.Duration
	// Budget is the number of tokens that all turns may generate; 0 if not stated.
	Budget int64
	// Parent is the id of the turn that this one continues; empty for the first.
	Parent string
}

// Dispatch is a request on its way to one replica.
type Dispatch struct {
	*Forward
	// Prompt is the body with its history.
	Prompt   []byte
	Customer string // empty for a caller without a key
	Replica  string
	Address  string
	// Left is how long the replica may work on the request.
	Left time.Duration
	// Urgency orders requests at a model replica, 0 first to 9; negative leaves the
	// order to the replica.
	Urgency int
}

// Reply is a replica's answer. Its body has to be closed.
type Reply struct {
	Status  int
	Headers []Header
	Body    io.ReadCloser
	// Length is the length of the body; negative if not stated.
	Length int64
	// Own says that the answer is for this request, and Signed that it is the
	// replica's own.
	Own, Signed bool
	// NotRun says that the replica promises not to have run the request, NotHere that
	// another replica has the address.
	NotRun, NotHere bool
	Load            *replica.Load
}

// ReplicaError is a request that got no answer.
type ReplicaError struct {
	Replica string
	// Run is NotRun only if nothing of the request was written.
	Run refusal.RunState
	Err error
}

// Error implements error.
func (e *ReplicaError) Error() string {
	return "replica " + e.Replica + ": " + e.Err.Error() + " (" + string(e.Run) + ")"
}

// Unwrap returns the cause.
func (e *ReplicaError) Unwrap() error { return e.Err }

// Relay takes the answer to a Forward. It is used by one goroutine. Exactly one of
// Refuse, Begin and Abort comes first.
type Relay interface {
	// Refuse answers with a refusal.
	Refuse(r *refusal.Refusal)
	// Begin sends the head of an answer; length is negative if not known.
	Begin(status int, headers []Header, length int64) error
	// Write sends a piece of the body at once.
	Write(p []byte) error
	// Abort ends an answer so that it does not look complete.
	Abort()
}
