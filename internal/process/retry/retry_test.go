package retry

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// The seed is fixed so that a run can be repeated; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

// TestRetriesStayWithinBudget guards against retries that multiply the load of a
// failing endpoint. It compares each decision with a log of all requests and retries.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		now := time.Unix(1_000_000, 0)
		var requests, retries []time.Time
		within := func(log []time.Time) int {
			n := 0
			for _, at := range log {
				if now.Unix()-at.Unix() < windowSeconds {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			for range rapid.IntRange(0, 20).Draw(t, "requests") {
				b.CountRequest(now)
				requests = append(requests, now)
			}
			allowed := max(retryRatio*float64(within(requests)), minRetriesPerSecond*windowSeconds)
			want := float64(within(retries)+1) <= allowed
			got := Decide(now, 1, refusal.Unknown, true, &b).Retry
			require.Equal(t, want, got)
			if got {
				retries = append(retries, now)
			}
		}
	})
}

// TestNonIdempotentCallNeverRepeatedAfterItMayHaveRun guards against an action that is
// executed twice.
func TestNonIdempotentCallNeverRepeatedAfterItMayHaveRun(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, run := range []refusal.RunState{refusal.Unknown, refusal.Ran, ""} {
		for attempt := range 5 {
			var b Budget
			require.Equal(t, Decision{Reason: MayHaveRun}, Decide(now, attempt, run, false, &b))
		}
	}
	var b Budget
	require.True(t, Decide(now, 1, refusal.NotRun, false, &b).Retry)
	require.Equal(t, Decision{Reason: AttemptsUsed}, Decide(now, maxAttempts, refusal.NotRun, true, &b))
}
