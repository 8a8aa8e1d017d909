// Package placement chooses a replica for one call. Filters exclude replicas,
// scores rank the rest. It is pure: the control loop passes in what it knows.
package placement

import (
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/replica"
)

// Request is what placement knows of a call.
type Request struct {
	// ID feeds the hash of the random choices; an attempt of its own has its own.
	ID  string
	Now time.Time
	// VM and DataCentre are those of the VM that dispatches.
	VM, DataCentre string
	// Part is the VM's part of each replica's concurrency bound, in (0, 1].
	Part float64
	// PromptTokens is the length of the whole prompt, history included.
	PromptTokens int64
	// Prefixes holds the cached tokens of the call's run by replica.
	Prefixes map[string]int64
	// Excluded holds the replicas at which an earlier attempt failed.
	Excluded map[string]bool
	// Service is the usual time of such a request; 0 if not known.
	Service time.Duration

	choices [2]string // set by Pick, see LeastLoad
}

// Filter excludes replicas.
type Filter interface {
	Name() string
	Keep(r Request, c replica.Candidate) bool
}

// Score ranks a replica; higher is better. Scores are in seconds of expected
// delay, negated, so that weights near 1 are meaningful.
type Score interface {
	Name() string
	Score(r Request, c replica.Candidate) float64
}
