package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLeavingReplicaStaysLeaving guards against requests to a replica that said in an answer
// that it is leaving, after its row was missing and is listed again as ready, and against a
// replica that gets nothing any more after it has started anew under the same id.
func TestLeavingReplicaStaysLeaving(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRegistry("vm0")
	listed := Registration{ID: "a", Address: "10.0.0.1:80", Endpoint: "m", StartedMS: 1}
	r.Register(listed)
	require.False(t, r.Candidates(now, "m")[0].Leaving)
	require.True(t, r.MarkLeaving(now, "a"))
	require.False(t, r.MarkLeaving(now, "a"))
	require.False(t, r.MarkLeaving(now, "unknown"))
	r.Remove("a", time.Time{})
	r.Expire(now.Add(time.Minute))
	r.Register(listed)
	require.True(t, r.Candidates(now, "m")[0].Leaving)
	listed.StartedMS = 2
	r.Register(listed)
	require.False(t, r.Candidates(now, "m")[0].Leaving)
	r.MarkLeaving(now, "a")
	r.Remove("a", time.Time{})
	r.Expire(now.Add(leavingMemory + time.Second))
	require.Empty(t, r.leaving)
}
