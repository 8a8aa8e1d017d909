package placement

import (
	"hornbeamvale.example/hornbeamvale/internal/process/queue"
	"hornbeamvale.example/hornbeamvale/internal/process/replica"
)

// Capacity excludes replicas at which this VM already has as many calls in flight as its
// share of the concurrency bound allows.
type Capacity struct{}

// Name implements Filter.
func (Capacity) Name() string { return "capacity" }

// Keep implements Filter.
func (Capacity) Keep(r Request, c replica.Candidate) bool {
	return c.OwnInFlight < queue.Allowance(c.MaxConcurrent, r.ConcurrencyShare, r.VM, c.Replica)
}
