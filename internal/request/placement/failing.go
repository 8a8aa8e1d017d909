package placement

import "hornbeamvale.example/hornbeamvale/internal/process/replica"

// Failing excludes failing replicas until their back-off is over. Then it admits one
// call as a probe.
type Failing struct{}

// Name implements Filter.
func (Failing) Name() string { return "failing" }

// Keep implements Filter.
func (Failing) Keep(r Request, c replica.Candidate) bool {
	return !c.Failing || !c.Probing && !r.Now.Before(c.RetryAt)
}
