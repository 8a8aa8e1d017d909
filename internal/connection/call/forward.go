package call

import (
	"io"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/replica"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
	"hornbeamvale.example/hornbeamvale/internal/version/routing"
)

// ForwardedRequest is a request that is passed on as its caller sent it, except that
// the system puts the history before its body.
type ForwardedRequest struct {
	// ID identifies this request. The caller uses each id for one request only.
	ID     string
	Method string
	Host   string
	// Path is in its escaped form, as sent. Query has no question mark.
	Path, Query string
	Headers     []Header
	Body        []byte
	// Object identifies what the request is about; empty if not stated.
	Object string
	// Key is the caller's key. It is not passed on.
	Key string
	// Received is when the request was read.
	Received time.Time
	// CallerTimeout is how long after Received the caller waits for the answer; 0 if
	// not stated.
	CallerTimeout time.Duration
	// PromptTokens is the length of the prompt and MaxTokens the largest number of
	// tokens of the answer; 0 if not stated.
	PromptTokens, MaxTokens int64
	// Parts lists, in order, the parts of the prompt that other requests may share.
	Parts   []PromptPart
	Program ProgramRef
}

// PromptPart is a part of a prompt that replicas may cache.
type PromptPart struct {
	ID     string
	Tokens int64
}

// ProgramRef tells to which program a request belongs and where in it.
type ProgramRef struct {
	// ID identifies the program; empty for a request outside programs.
	ID string
	// SessionID identifies a sequence of dependent turns, for example those of one
	// sub-agent.
	SessionID string
	// TimeLeft is the time until the program should be finished; 0 if not stated.
	TimeLeft time.Duration
	// Late is set if the program states that no time is left.
	Late bool
	// TokenBudget is the number of tokens that all turns of the program may generate;
	// 0 if not stated.
	TokenBudget int64
	// Parent is the id of the turn that this one continues; empty for the first turn.
	Parent string
}

// ReplicaRequest is a request that is sent to one replica.
type ReplicaRequest struct {
	*ForwardedRequest
	// Prompt is the history followed by the body.
	Prompt   []byte
	Customer string // empty for a caller without a key
	Replica  string // replica id
	Address  string
	// TimeLeft is how long the replica may work on the request.
	TimeLeft time.Duration
	// ResumeAfter is the id of the last event of a stream that the replica goes on with;
	// empty to begin it.
	ResumeAfter string
	// SendBy is the end of the permission to send the request to a replica that limits its
	// requests; zero if there is no such end.
	SendBy time.Time
	// Allowed are the regions whose VMs may pass the request on, beside that of this VM.
	Allowed routing.AllowedRegions
	// Urgency is the rank of the request in the queue of a model replica, from 0
	// (first) to 9. A negative value leaves the order to the replica.
	Urgency int
}

// ReplicaResponse is a replica's answer. The receiver must close Body.
type ReplicaResponse struct {
	Status  int
	Headers []Header
	Body    io.ReadCloser
	// Length is the length of the body in bytes; negative if not stated.
	Length int64
	// MatchesRequest says that the answer belongs to this request, and Signed that it
	// carries the replica's signature.
	MatchesRequest, Signed bool
	// NotRun says that the replica promises that it has not run the request, and
	// Misdirected that the address belongs to another replica now.
	NotRun, Misdirected bool
	// Load is the replica's load report; nil if the answer has none.
	Load *replica.Load
	// Leaving says that the replica takes no new work.
	Leaving bool
	// Limit is the rate, in requests/s from all VMs together, that the replica asks not to
	// be exceeded; nil if it names none.
	Limit *float64
}

// ReplicaError is the failure of a request to a replica without an answer.
type ReplicaError struct {
	Replica string
	// Run is NotRun only if no byte of the request was written.
	Run refusal.RunState
	// PathLost says that this VM did not reach the replica, so that the error says nothing
	// about the replica itself.
	PathLost bool
	Err      error
}

// Error implements error.
func (e *ReplicaError) Error() string {
	return "replica " + e.Replica + ": " + e.Err.Error() + " (" + string(e.Run) + ")"
}

// Unwrap returns the cause.
func (e *ReplicaError) Unwrap() error { return e.Err }

// ResponseWriter writes the answer to a ForwardedRequest. It is used by one goroutine.
// The first call is exactly one of Refuse, Begin and Abort.
type ResponseWriter interface {
	// Refuse answers with a refusal.
	Refuse(r *refusal.Refusal)
	// Begin sends the status and headers of an answer. length is the length of the
	// body in bytes; negative if not known.
	Begin(status int, headers []Header, length int64) error
	// Write sends a part of the body without buffering it.
	Write(p []byte) error
	// Abort ends an answer in such a way that the caller sees it as incomplete.
	Abort()
}
