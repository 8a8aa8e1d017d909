package placement

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hornbeamvale.example/hornbeamvale/internal/process/replica"
)

// The seed is fixed so that a run can be repeated; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

var start = time.Unix(1_000_000, 0)

func candidates(n int) []replica.Candidate {
	cs := make([]replica.Candidate, n)
	for i := range cs {
		cs[i] = replica.Candidate{Replica: fmt.Sprint("r", i), DataCentre: "x", MaxConcurrent: 16, BatchLimit: 16}
	}
	return cs
}

func request(id string) Request {
	return Request{ID: id, Now: start, VM: "vm-1", DataCentre: "x", ConcurrencyShare: 1, PromptTokens: 8000}
}

// TestPickObeysEveryFilter guards against a call that is sent to an excluded replica,
// and against a refusal while another replica is free.
func TestPickObeysEveryFilter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cs := candidates(rapid.IntRange(0, 12).Draw(t, "n"))
		r := request(rapid.String().Draw(t, "id"))
		r.Excluded = map[string]bool{}
		allowed := map[string]bool{}
		for i := range cs {
			c := &cs[i]
			switch rapid.IntRange(0, 7).Draw(t, "state") {
			case 0:
				c.Leaving = true
			case 1:
				c.Failing, c.RetryAt = true, start.Add(time.Second)
			case 2:
				c.Failing, c.RetryAt, c.Probing = true, start, true
			case 3:
				c.OwnInFlight, c.InFlight = 16, 16
			case 4:
				r.Excluded[c.Replica] = true
			case 5: // another data centre ranks lower but is no reason to refuse
				c.DataCentre = "y"
				allowed[c.Replica] = true
			case 6:
				c.Failing, c.RetryAt = true, start
				allowed[c.Replica] = true
			default:
				allowed[c.Replica] = true
			}
		}
		got, ok := DefaultProfile().Pick(r, cs)
		require.Equal(t, len(allowed) > 0, ok)
		if ok {
			require.True(t, allowed[got.Replica])
		}
	})
}

// TestPrefixWinsUntilTheWaitIsLonger guards against calls that leave the replica with
// their cached prefix too early, and against calls that stay there while it is
// overloaded.
func TestPrefixWinsUntilTheWaitIsLonger(t *testing.T) {
	for i := range 50 {
		cs := candidates(8)
		r := request(fmt.Sprint(i))
		r.PromptTokens, r.CachedTokens = 8200, map[string]int64{"r3": 8000}
		cs[3].InFlight = 8
		got, _ := DefaultProfile().Pick(r, cs)
		require.Equal(t, "r3", got.Replica)
		cs[3].InFlight = 40
		got, _ = DefaultProfile().Pick(r, cs)
		require.NotEqual(t, "r3", got.Replica)
	}
}

// TestTwoChoicesSpreadEqualViews guards against many VMs with the same load reports that
// all choose the replica that the reports show as idle.
func TestTwoChoicesSpreadEqualViews(t *testing.T) {
	cs := candidates(10)
	for i := range cs {
		cs[i].InFlight = i // r0 is the least loaded
	}
	const picks = 2000
	count := map[string]int{}
	for i := range picks {
		got, _ := DefaultProfile().Pick(request(fmt.Sprint(i)), cs)
		count[got.Replica]++
	}
	// r0 is one of the two choices among ten with probability 1/5. The tolerance is six
	// standard deviations of 18.
	require.InDelta(t, picks/5, count["r0"], 6*18)
	require.Zero(t, count["r9"])
}

// TestOwnDataCentreFirst guards against unnecessary traffic between data centres.
func TestOwnDataCentreFirst(t *testing.T) {
	cs := candidates(2)
	cs[1].DataCentre = "y"
	for i := range 20 {
		got, _ := DefaultProfile().Pick(request(fmt.Sprint(i)), cs)
		require.Equal(t, "r0", got.Replica)
	}
}
