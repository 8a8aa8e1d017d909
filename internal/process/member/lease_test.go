package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLeaseStopsBeforeItsEnd guards against a holder that acts until the end of its
// TTL, when an observer with a faster clock may already have evicted it.
func TestLeaseStopsBeforeItsEnd(t *testing.T) {
	start := time.Now()
	l := NewLease(10 * time.Second)
	require.False(t, l.Valid(start))
	l.Renewed(start)
	require.True(t, l.Valid(start.Add(8*time.Second-1)))
	require.False(t, l.Valid(start.Add(8*time.Second)))
	l.Renewed(start.Add(-time.Second))
	require.True(t, l.Valid(start.Add(8*time.Second-1)), "an earlier renewal that was reported late changed the lease")
}

// TestEitherClockEndsALease guards against an owner that continues to act after its
// VM was suspended while the monotonic clock stood still. The time package cannot
// build a time whose two clocks differ, so only the decision is tested.
func TestEitherClockEndsALease(t *testing.T) {
	require.True(t, remainsOnBoth(1, 1))
	require.False(t, remainsOnBoth(5, 0), "suspended: the monotonic clock stood still")
	require.False(t, remainsOnBoth(0, 5), "the wall clock was set back")
}
