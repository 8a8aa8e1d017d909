// Package placement chooses a replica for one call. Filters exclude replicas, scores
// rank the rest. It has no state and no side effects: the control loop passes in its
// view of the replicas.
package placement

import (
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/replica"
)

// Request describes a call for placement.
type Request struct {
	// ID seeds the hashes of the random choices; each attempt of a call has its own.
	ID  string
	Now time.Time
	// VM and DataCentre are those of the VM that dispatches the call.
	VM, DataCentre string
	// ConcurrencyShare is the VM's share of each replica's concurrency bound, in (0, 1].
	ConcurrencyShare float64
	// PromptTokens is the length of the whole prompt, including the history.
	PromptTokens int64
	// CachedTokens holds the number of cached prompt tokens by replica.
	CachedTokens map[string]int64
	// Excluded holds the replicas at which an earlier attempt failed.
	Excluded map[string]bool
	// ServiceTime is the usual service time of the request; 0 if not known. RelativeTime
	// returns the service time at a replica with n requests relative to ServiceTime; nil if
	// not known.
	ServiceTime  time.Duration
	RelativeTime func(n float64, batchLimit int) float64

	// Program identifies the program that the request belongs to; empty if none.
	// LineTokens is the number of prompt tokens that belong to the program alone.
	Program    string
	LineTokens int64
	// HistoryKnown says that CachedTokens has the replica of the last turn if there was one.
	HistoryKnown bool
	// Object identifies what the request is about, if a replica that has handled it lately is
	// faster; else it is empty.
	Object string
	// RunTime is ServiceTime without the wait for the first event; 0 if not known.
	RunTime time.Duration
	// PrefillRate is the rate in tokens/s at which the replicas compute prompts.
	PrefillRate float64
	// MemoryTokens is how many tokens a replica holds in memory; 0 if not known.
	MemoryTokens int64

	objectHome string    // the replica at which requests about the object meet, set by Pick
	choices    [2]string // the random choices of LeastLoad, set by Pick
	home       string    // the replica at which the turns of the program meet, set by Pick
	// evenLoad says that EvenLoad applies, set by Pick.
	evenLoad bool
}

// Filter excludes replicas.
type Filter interface {
	Name() string
	Keep(r Request, c replica.Candidate) bool
}

// Score ranks replicas; higher is better. A score is the negated expected delay in
// seconds, so that scores can be added with weights near 1.
type Score interface {
	Name() string
	Score(r Request, c replica.Candidate) float64
}
