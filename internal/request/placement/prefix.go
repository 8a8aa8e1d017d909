package placement

import "hornbeamvale.example/hornbeamvale/internal/process/replica"

const (
	// prefillRate is the assumed rate in tokens/s at which a replica computes a prompt. It
	// determines how long a wait for a batch slot a cached prefix is worth.
	prefillRate = 8000.0
	// callSeconds is the assumed time for which a call occupies a batch slot.
	callSeconds = 2.0
	// defaultBatchLimit is the assumed batch size of a replica that has not reported it.
	defaultBatchLimit = 16
)

// PrefixAgainstWait prefers the replica with the least sum of the time to compute the
// part of the prompt that is not cached and the wait for a slot in its batch.
type PrefixAgainstWait struct{}

// Name implements Score.
func (PrefixAgainstWait) Name() string { return "cached-prefix-against-wait" }

// Score implements Score.
func (PrefixAgainstWait) Score(r Request, c replica.Candidate) float64 {
	cached := min(r.CachedTokens[c.Replica], r.PromptTokens)
	return -float64(r.PromptTokens-cached)/prefillRate - wait(c)
}

// wait returns the expected time in seconds until a new call gets a batch slot.
func wait(c replica.Candidate) float64 {
	ahead := max(0, c.InFlight+1-batchLimit(c))
	return callSeconds * float64(ahead) / float64(batchLimit(c))
}

// batchLimit returns the batch size of a replica.
func batchLimit(c replica.Candidate) int {
	if c.BatchLimit > 0 {
		return c.BatchLimit
	}
	return defaultBatchLimit
}
