// Package engine holds the state of the engine stand-in: requests in continuous batching
// and a prefix cache. docs/engine.md describes the protocol.
package engine

import (
	"errors"
	"time"
)

const (
	// BlockTokens is the size of a cache block, in tokens.
	BlockTokens = 16
	// DefaultTokens is the number of tokens of an answer without max_tokens.
	DefaultTokens = 16
	// MaxTokens limits max_tokens, because all tokens of a stream are buffered in memory.
	MaxTokens = 1 << 17
	// recordLimit limits the requests that can be resumed. The oldest one is dropped.
	recordLimit = 1024
	// eventLimit limits the retained cache events. The oldest one is dropped.
	eventLimit = 4096
)

// Errors of refused requests and orders. A refused one has no effect.
var (
	ErrRefused        = errors.New("refused")
	ErrLeaving        = errors.New("leaving")
	ErrUnknownRequest = errors.New("unknown_request")
	ErrOffset         = errors.New("resume_from is beyond the generated tokens")
	ErrOldFence       = errors.New("old_fence")
	ErrUnknownOrder   = errors.New("unknown order kind")
)

// Config configures an engine.
type Config struct {
	StepTime      time.Duration
	BatchLimit    int // maximum number of running requests
	PrefillTokens int // prompt tokens computed per step for all requests together
	Blocks        int // capacity of the cache in blocks
	// AnswerTokens limits the tokens of an answer below max_tokens, like an
	// end-of-sequence token. With 0, an answer has max_tokens.
	AnswerTokens int
	CheckFence   bool // refuse orders with an old fencing number
}

// Request is one decoded chat completion request.
type Request struct {
	ID       string // "" if the request cannot be resumed
	Program  string // "" if nothing is to be cached
	Prompt   Prompt
	Tokens   int // number of tokens to generate; 0 for a total of DefaultTokens
	Priority int // lower values run first
	// CacheTTL is the time for which the program stays cached after the request; nil
	// means until eviction or release.
	CacheTTL *time.Duration
	// ResumeFrom is the token offset from which the request with this ID is resumed; nil
	// starts a new request.
	ResumeFrom *int
}

// Usage holds the token counts of one request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Piece is one token of a stream, or its end.
type Piece struct {
	Token string
	// FinishReason is set on the last piece only, with Usage.
	FinishReason string
	Usage        Usage
	// Cut closes the connection in place of a regular end.
	Cut bool
}

// Load is the response to GET /v1/load.
type Load struct {
	Running      int      `json:"running"`
	Waiting      int      `json:"waiting"`
	BatchLimit   int      `json:"batch_limit"`
	CachedBlocks int      `json:"cached_blocks"`
	TotalBlocks  int      `json:"total_blocks"`
	Models       []string `json:"models"`
	Role         string   `json:"role"`
	Fence        uint64   `json:"fence"`
}

// OrderKind is the kind of an order.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order is the body of POST /v1/orders.
type Order struct {
	Kind  OrderKind `json:"kind"`
	Model string    `json:"model,omitempty"`
	Role  string    `json:"role,omitempty"`
	Fence uint64    `json:"fence"`
}

// EventKind is the kind of a cache event.
type EventKind string

// The kinds of cache events.
const (
	EventStored  EventKind = "stored"
	EventRemoved EventKind = "removed"
)

// Event records a change of a program's cached blocks. Blocks is their number after the
// change.
type Event struct {
	Sequence uint64    `json:"sequence"`
	Kind     EventKind `json:"kind"`
	Program  string    `json:"program"`
	Blocks   int       `json:"blocks"`
}

// Faults is the body of POST /_faults. It replaces all injected faults.
type Faults struct {
	// Refuse refuses new requests with the error "refused".
	Refuse bool `json:"refuse"`
	// Leaving refuses new requests with the error "leaving".
	Leaving bool `json:"leaving"`
	// Stall stops the batch: requests stay in the engine and get no tokens.
	Stall bool `json:"stall"`
	// CutAfterTokens closes the connection of a stream after that many tokens; 0 disables
	// it.
	CutAfterTokens int `json:"cut_after_tokens"`
	// CutOnce disables CutAfterTokens after one cut.
	CutOnce bool `json:"cut_once"`
	// LoadLagMS is the delay after which a change of the load is visible, in milliseconds.
	LoadLagMS int `json:"load_lag_ms"`
	// DropEvents drops cache events while it is set; their sequence numbers are skipped.
	DropEvents bool `json:"drop_events"`
}
