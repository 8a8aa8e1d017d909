package placement

import "hornbeamvale.example/hornbeamvale/internal/process/replica"

// Excluded excludes replicas at which an earlier attempt of the call failed.
type Excluded struct{}

// Name implements Filter.
func (Excluded) Name() string { return "excluded-after-failure" }

// Keep implements Filter.
func (Excluded) Keep(r Request, c replica.Candidate) bool { return !r.Excluded[c.Replica] }
