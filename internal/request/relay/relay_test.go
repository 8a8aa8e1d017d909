package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/version/routing"
)

// TestHistoryIsKeptWhileItsTurnRuns guards against a turn that runs for longer than its
// route keeps turns and whose history is deleted meanwhile.
func TestHistoryIsKeptWhileItsTurnRuns(t *testing.T) {
	x := &exchange{route: &routing.Route{Retention: time.Minute}, deadline: clock.Now().Add(5 * time.Minute)}
	require.InDelta(t, (6 * time.Minute).Seconds(), x.retentionFromStart().Seconds(), 1)
	x.deadline = clock.Now().Add(-time.Second)
	require.Equal(t, time.Minute, x.retentionFromStart())
}
