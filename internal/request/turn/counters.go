package turn

import (
	"sync"
	"sync/atomic"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// Counters counts the outcomes of requests. It lives as long as the process and is
// read by the metrics.
type Counters struct {
	Served           atomic.Int64 // requests that got their whole answer
	Retries          atomic.Int64 // attempts that were repeated at another replica
	RetryDenied      atomic.Int64 // repeats that were unsafe or beyond the retry budget
	JournalWaits     atomic.Int64 // ends of answers that waited for the journal
	JournalWaitNanos atomic.Int64 // the total time of these waits

	mu      sync.Mutex
	refused map[refusal.Code]int64
}

// NewCounters returns zeroed counters.
func NewCounters() *Counters { return &Counters{refused: map[refusal.Code]int64{}} }

// served counts a request by its refusal, nil if it was answered.
func (c *Counters) served(why *refusal.Refusal) {
	if why == nil {
		c.Served.Add(1)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[why.Code]++
}

// retried counts a decision on a retry.
func (c *Counters) retried(allowed bool) {
	if allowed {
		c.Retries.Add(1)
	} else {
		c.RetryDenied.Add(1)
	}
}

// waitedForJournal counts the wait of an answer for the journal.
func (c *Counters) waitedForJournal(d time.Duration) {
	c.JournalWaits.Add(1)
	c.JournalWaitNanos.Add(int64(d))
}

// Refused returns the number of refusals by code.
func (c *Counters) Refused() map[refusal.Code]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[refusal.Code]int64, len(c.refused))
	for code, n := range c.refused {
		counts[code] = n
	}
	return counts
}
