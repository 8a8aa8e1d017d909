package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSuspendedTimeCounts guards against a VM that was suspended for seconds and takes an
// expired permission for a valid one, because the runtime's clock stood still.
func TestSuspendedTimeCounts(t *testing.T) {
	drift := 7 * time.Hour // suspended before the process started
	s := newSuspension(func() time.Duration { return drift })
	now := time.Second
	require.Zero(t, s.at(now))
	drift += time.Millisecond // the clocks are not read at the same moment
	now += time.Second
	require.Zero(t, s.at(now))
	drift += 12 * time.Second
	require.Zero(t, s.at(now+readInterval-1))
	require.InDelta(t, 12, s.at(now+readInterval).Seconds(), 0.1)
	drift -= time.Minute // cannot happen; a permission must not become valid again
	require.InDelta(t, 12, s.at(now+time.Second).Seconds(), 0.1)
}

// TestNowIsMonotonic guards against times without a monotonic reading, which follow
// changes of the time of day.
func TestNowIsMonotonic(t *testing.T) {
	require.Contains(t, Now().String(), "m=")
	require.Less(t, Since(Now()), time.Minute)
	require.Positive(t, Until(Now().Add(time.Hour)))
	require.Positive(t, Monotonic())
}
