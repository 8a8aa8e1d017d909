package placement

import "hornbeamvale.example/hornbeamvale/internal/process/replica"

// Leaving excludes replicas that shut down or are drained.
type Leaving struct{}

// Name implements Filter.
func (Leaving) Name() string { return "leaving" }

// Keep implements Filter.
func (Leaving) Keep(_ Request, c replica.Candidate) bool { return !c.Leaving }
