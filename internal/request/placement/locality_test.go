package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLocate guards against calls that wait for a replica that they cannot be sent to,
// and against a prefix that is counted at the wrong replica.
func TestLocate(t *testing.T) {
	cs := candidates(4)
	cs[1].OwnInFlight, cs[1].InFlight = 16, 16
	cs[2].Failing, cs[2].RetryAt = true, start.Add(time.Second)
	cs[3].Leaving = true
	room := DefaultProfile().Room(request(""), cs)
	require.True(t, room.Any())
	for _, c := range []struct {
		cachedTokens  map[string]int64
		saved, wasted float64
	}{
		{nil, 0, 0},
		{map[string]int64{"r0": 4000}, 500, 0},
		{map[string]int64{"r1": 4000}, 0, 500},
		{map[string]int64{"r0": 4000, "r1": 6000}, 500, 250},
		{map[string]int64{"r0": 16000}, 1000, 0}, // not more than the prompt
		{map[string]int64{"r2": 4000, "r3": 4000, "gone": 4000}, 0, 0},
	} {
		r := request("x")
		r.CachedTokens = c.cachedTokens
		at := room.Locate(r)
		require.InDelta(t, c.saved, at.Saved, 1e-9)
		require.InDelta(t, c.wasted, at.Wasted, 1e-9)
		require.False(t, at.Blocked)
	}
	r := request("x")
	r.Excluded = map[string]bool{"r0": true}
	require.True(t, room.Locate(r).Blocked)
}
