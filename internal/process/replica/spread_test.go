package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReportsLoseTheirValueWithAge guards against decisions by a load report whose
// requests have ended long ago.
func TestReportsLoseTheirValueWithAge(t *testing.T) {
	r := NewRegistry("vm")
	for _, id := range []string{"a", "b"} {
		r.Register(Registration{ID: id, Endpoint: "m", BatchLimit: 8})
	}
	r.Report(start, "a", Load{Running: 8, BatchLimit: 8})
	r.Report(start, "b", Load{Running: 0, BatchLimit: 8})
	expected := func(after time.Duration) (a, b float64) {
		cs := r.Candidates(start.Add(after), "m")
		return cs[0].Expected, cs[1].Expected
	}
	a, b := expected(0)
	require.InDelta(t, 8, a, 0.01)
	require.InDelta(t, 0, b, 0.01)
	a, b = expected(defaultReportHalfLife)
	require.InDelta(t, 6, a, 0.01)
	require.InDelta(t, 2, b, 0.01)
	a, b = expected(5 * time.Second)
	require.InDelta(t, a, b, 0.01)
	r.Begin(start.Add(5*time.Second), "b")
	a, b = expected(5 * time.Second)
	require.InDelta(t, 1, b-a, 0.01, "the VM's own requests are known exactly")
}

// TestBatchModelFindsTheSlope guards against an assumed slope that stays in use although
// the replicas show another one.
func TestBatchModelFindsTheSlope(t *testing.T) {
	var m BatchModel
	require.InDelta(t, 1, m.Relative(10, 48), 0)
	for i := range 2000 {
		n := 1 + i%40
		m.Observe(n, 0.018+0.0015*float64(n))
	}
	require.InDelta(t, 0.048/0.0495, m.Relative(20, 48), 0.1)
	require.InDelta(t, 2, m.Relative(40, 48)/m.Relative(14, 48), 0.15)
	require.Greater(t, m.Relative(0, 48), 0.0)
}
