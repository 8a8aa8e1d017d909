// Package clock has waits and comparisons of times that several parts need.
package clock

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for d; false if ctx ended before.
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

// Jitter returns a random time from half of d to one and a half of it, so that
// callers that failed together do not come back together.
func Jitter(d time.Duration) time.Duration { return d/2 + rand.N(d+1) }

// Later returns the later time.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Earlier returns the earlier time; zero means none.
func Earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
