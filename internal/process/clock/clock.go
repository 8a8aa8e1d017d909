// Package clock provides functions that wait, randomize delays and compare times.
package clock

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for d. It returns false if ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Jitter returns a random duration between 0.5 and 1.5 times d, so that callers that
// failed at the same time do not all retry at the same time.
func Jitter(d time.Duration) time.Duration { return d/2 + rand.N(d+1) }

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Earlier returns the earlier of two times. A zero time counts as absent: the other time
// is returned.
func Earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
