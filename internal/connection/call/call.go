// Package call defines a caller's request and its answer in decoded form. Every front
// end and the clients of replicas use these types, so that decisions on a request do
// not depend on an encoding.
package call

import (
	"encoding/json"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// Call is one request of a caller.
type Call struct {
	// Run is the name of the program run: "<program>:<instance>", followed by "/" and
	// the run's name for each level of sub-agents. It is empty for a call outside
	// programs.
	Run string `msgpack:"run,omitempty"`
	// Turn is the turn number within Run as the caller gives it, from 1; 0 means the
	// next turn.
	Turn uint64 `msgpack:"turn,omitempty"`
	// RequestID is the caller's idempotency key; empty if none was given.
	RequestID string `msgpack:"id,omitempty"`
	Endpoint  string `msgpack:"ep"`
	// Exactly one of Chat and Service is set.
	Chat    *Chat    `msgpack:"chat,omitempty"`
	Service *Service `msgpack:"svc,omitempty"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role" msgpack:"r"`
	Content string `json:"content" msgpack:"c"`
}

// Chat is a call of a model endpoint.
type Chat struct {
	// Messages holds only the new messages of this turn. The program's owner adds the
	// history.
	Messages  []Message `msgpack:"m"`
	MaxTokens int       `msgpack:"max,omitempty"`
	// Stream says that the caller wants server-sent events.
	Stream bool `msgpack:"s,omitempty"`
	// Options holds the other fields of the request body, which are passed to the
	// engine unchanged.
	Options map[string]json.RawMessage `msgpack:"o,omitempty"`
}

// Header is one HTTP header that is passed on between a caller and an endpoint.
type Header struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// Service is a call of a plain service. It does not contain the caller's key.
type Service struct {
	Method  string   `msgpack:"m"`
	Path    string   `msgpack:"p"` // below the endpoint, with a leading "/"
	Query   string   `msgpack:"q,omitempty"`
	Headers []Header `msgpack:"h,omitempty"`
	Body    []byte   `msgpack:"b,omitempty"`
}

// Chunk is a part of a chat's streamed answer.
type Chunk struct {
	Text string `msgpack:"t"`
}

// Usage counts tokens of one model call.
type Usage struct {
	PromptTokens     int64 `msgpack:"p"`
	CachedTokens     int64 `msgpack:"k"`
	CompletionTokens int64 `msgpack:"c"`
}

// Answer is the whole answer of a call.
type Answer struct {
	Turn uint64 `msgpack:"turn,omitempty"`
	// Text is the whole text of a chat, including the parts sent as chunks.
	Text         string `msgpack:"t,omitempty"`
	FinishReason string `msgpack:"f,omitempty"`
	Usage        Usage  `msgpack:"u"`
	// Status, Headers and Body are the response of a plain service.
	Status  int      `msgpack:"st,omitempty"`
	Headers []Header `msgpack:"h,omitempty"`
	Body    []byte   `msgpack:"b,omitempty"`
	// Replayed says that the answer was recorded earlier and is sent again.
	Replayed bool `msgpack:"re,omitempty"`
}

// Responder writes the answer of one call. It is used by one goroutine.
type Responder interface {
	// Chunk sends a part of a chat's text. An error means that the caller has
	// disconnected.
	Chunk(c Chunk) error
	// End sends the part of the answer that has not been sent as chunks and ends it.
	End(a Answer) error
}

// Settlement is the outcome that an operator or caller gives to a call whose outcome is
// unknown.
type Settlement struct {
	Run       string
	RequestID string
	Outcome   refusal.RunState
}

// Caller is what a front end knows about the caller of a request.
type Caller struct {
	// Key is the key that the caller presented; empty if none. It never leaves the
	// entry VM.
	Key string
	// Received is when the request was read. It includes the monotonic clock.
	Received time.Time
}
