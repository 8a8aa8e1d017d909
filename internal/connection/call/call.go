// Package call holds a caller's request and its answer in decoded form. It is
// shared by every front end and by the clients of replicas, so that the
// decisions on a request do not depend on an encoding.
package call

import (
	"encoding/json"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// Call is one request of a caller.
type Call struct {
	// Run names the program run ("<program>:<instance>", sub-agents below it
	// after "/"); empty for a call outside programs.
	Run string `msgpack:"run,omitempty"`
	// Turn is the caller's turn number within Run, from 1; 0 means the next one.
	Turn uint64 `msgpack:"turn,omitempty"`
	// RequestID is the caller's idempotency key; empty if it gave none.
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

// Chat is a call of a model endpoint. Messages holds the new messages of this
// turn only; the history is added by the program's owner.
type Chat struct {
	Messages  []Message `msgpack:"m"`
	MaxTokens int       `msgpack:"max,omitempty"`
	// Stream says that the caller wants server-sent events.
	Stream bool `msgpack:"s,omitempty"`
	// Options holds the other fields of the request body, passed to the engine.
	Options map[string]json.RawMessage `msgpack:"o,omitempty"`
}

// Header is one HTTP header that is passed on.
type Header struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// Service is a call of a plain service. The caller's key is not in it.
type Service struct {
	Method  string   `msgpack:"m"`
	Path    string   `msgpack:"p"` // below the endpoint, with a leading "/"
	Query   string   `msgpack:"q,omitempty"`
	Headers []Header `msgpack:"h,omitempty"`
	Body    []byte   `msgpack:"b,omitempty"`
}

// Chunk is a piece of a streamed answer.
type Chunk struct {
	Text string `msgpack:"t"`
}

// Usage counts tokens of one model call.
type Usage struct {
	PromptTokens     int64 `msgpack:"p"`
	CachedTokens     int64 `msgpack:"k"`
	CompletionTokens int64 `msgpack:"c"`
}

// Answer is the whole answer of a call. For a chat, Text is the whole text,
// including what was sent as chunks.
type Answer struct {
	Turn         uint64 `msgpack:"turn,omitempty"`
	Text         string `msgpack:"t,omitempty"`
	FinishReason string `msgpack:"f,omitempty"`
	Usage        Usage  `msgpack:"u"`
	// Status, Headers and Body answer a plain service call.
	Status  int      `msgpack:"st,omitempty"`
	Headers []Header `msgpack:"h,omitempty"`
	Body    []byte   `msgpack:"b,omitempty"`
	// Replayed says that the answer was recorded earlier.
	Replayed bool `msgpack:"re,omitempty"`
}

// Responder takes the answer of one call. It is used by one goroutine.
type Responder interface {
	// Chunk sends a piece of a chat's text; an error means that the caller is gone.
	Chunk(c Chunk) error
	// End sends what has not been sent as chunks and ends the answer.
	End(a Answer) error
}

// Settlement is an operator's or a caller's word on an unknown outcome.
type Settlement struct {
	Run       string
	RequestID string
	Outcome   refusal.RunState
}

// Caller is who makes a call, as a front end knows it.
type Caller struct {
	// Key is the presented key; empty if none. It never leaves the entry VM.
	Key string
	// Arrived is when the request was read, by the monotonic clock.
	Arrived time.Time
}
