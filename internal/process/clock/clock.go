// Package clock has waits and comparisons of times that several parts need.
package clock

import (
	"context"
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
