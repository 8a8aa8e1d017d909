package replica

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/version"
	"hornbeamvale.example/hornbeamvale/operator"
)

// The seed is fixed so that a run can be repeated; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

var start = time.Unix(1_000_000, 0)

func testVersion(t require.TestingT, drained ...string) *version.Version {
	v, err := version.Compile(&operator.Document{
		Fleet:     operator.Fleet{Seats: 10, DrainedVMs: drained},
		Endpoints: []operator.Endpoint{{Name: "m", Kind: operator.KindModel, Replicas: []string{"127.0.0.1:1"}}},
	}, 1)
	require.NoError(t, err)
	return v
}

func viewOf(t require.TestingT, addresses ...string) *View {
	v := NewView("vm-1")
	v.Apply(start, vmsAt(addresses...), testVersion(t))
	return v
}

func vmsAt(addresses ...string) []platform.VM {
	var vms []platform.VM
	for _, a := range addresses {
		vms = append(vms, platform.VM{ID: "id-" + a, Address: a, Endpoint: "m", State: platform.VMLive})
	}
	return vms
}

// TestCandidatesMarkLeavingAndDrained guards against new work for a replica that is
// leaving or drained.
func TestCandidatesMarkLeavingAndDrained(t *testing.T) {
	v := NewView("vm-1")
	vms := vmsAt("a", "b", "c")
	vms[1].State = platform.VMLeaving
	v.Apply(start, vms, testVersion(t, "id-c"))
	leaving := map[string]bool{}
	for _, c := range v.Candidates("m") {
		leaving[c.Replica] = c.Leaving
	}
	require.Equal(t, map[string]bool{"127.0.0.1:1": false, "a": false, "b": true, "c": true}, leaving)
	v.MarkLeaving(start, "a")
	require.True(t, v.Candidates("m")[1].Leaving)
	v.Apply(start.Add(leavingHold), vmsAt("a"), testVersion(t))
	require.False(t, v.Candidates("m")[1].Leaving)
}

// TestLaggingListKeepsState guards against the loss of in-flight counts when the
// list omits a replica for a short time.
func TestLaggingListKeepsState(t *testing.T) {
	v := viewOf(t, "a")
	v.Begin(start, "a")
	v.AddHolder("p:1", "a")
	require.Empty(t, v.Apply(start.Add(time.Hour), nil, testVersion(t)))
	require.Len(t, v.Candidates("m"), 1)
	v.Apply(start.Add(time.Hour), vmsAt("a"), testVersion(t))
	require.Equal(t, 1, v.Candidates("m")[1].OwnInFlight)
	v.End(start.Add(time.Hour), "a", true)
	require.Empty(t, v.Apply(start.Add(time.Hour+absentRetention-1), nil, testVersion(t)))
	require.Equal(t, []string{"a"}, v.Apply(start.Add(time.Hour+absentRetention), nil, testVersion(t)))
	require.Empty(t, v.Holders("p:1"))
}

// TestInFlightMatchesExactCount guards against counting calls twice or not at all
// when a report is delayed. The reference model knows the begin and the end of every
// call.
func TestInFlightMatchesExactCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := viewOf(t, "a")
		now := start
		type span struct{ begin, end time.Time }
		var own []span
		others := 0
		exactAt := func(at time.Time) int {
			n := 0
			for _, s := range own {
				if !s.begin.After(at) && (s.end.IsZero() || s.end.After(at)) {
					n++
				}
			}
			return n
		}
		reported, hasReport := 0, false
		var measured time.Time
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0, 1:
				v.Begin(now, "a")
				own = append(own, span{begin: now})
			case 2:
				for i := range own {
					if own[i].end.IsZero() {
						own[i].end = now
						v.End(now, "a", true)
						break
					}
				}
			case 3:
				others = rapid.IntRange(0, 20).Draw(t, "others")
				age := time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond
				v.Report(now, "a", Load{Running: exactAt(now.Add(-age)) + others, Age: age})
				if at := now.Add(-age); !hasReport || !at.Before(measured) {
					hasReport, measured, reported = true, at, others
				}
			}
			want := exactAt(now)
			if hasReport && now.Sub(measured) <= maxReportAge {
				want += reported
			}
			if got := v.Candidates("m")[1].InFlight; got != want && now.Sub(measured) <= maxReportAge {
				t.Fatalf("in flight %d, exact count %d", got, want)
			}
		}
	})
}

// TestFailureBackOffGrowsAndProbesOnce guards against calls to a failing replica, and
// against more than one probe at a time.
func TestFailureBackOffGrowsAndProbesOnce(t *testing.T) {
	v := viewOf(t, "a")
	now := start
	fail := func() {
		v.Begin(now, "a")
		v.End(now, "a", false)
	}
	for range failuresToBackOff - 1 {
		fail()
	}
	require.False(t, v.Candidates("m")[1].Failing)
	fail()
	var last time.Duration
	for range 4 {
		c := v.Candidates("m")[1]
		require.True(t, c.Failing)
		require.Greater(t, c.RetryAt.Sub(now), last)
		last = c.RetryAt.Sub(now)
		now = c.RetryAt
		v.Begin(now, "a")
		require.True(t, v.Candidates("m")[1].Probing)
		v.End(now, "a", false)
	}
	for range 20 { // late failures of older calls
		v.Begin(now, "a")
		v.End(now, "a", false)
	}
	require.LessOrEqual(t, v.Candidates("m")[1].RetryAt.Sub(now), time.Duration(1.25*float64(maxBackOff)))
	now = v.Candidates("m")[1].RetryAt
	v.Begin(now, "a")
	v.End(now, "a", true)
	require.False(t, v.Candidates("m")[1].Failing)
}

// TestCacheEventsLateAndGapped guards against delayed events that overwrite newer
// usage, and against prefixes that keep their full length after events were lost.
func TestCacheEventsLateAndGapped(t *testing.T) {
	v := viewOf(t, "a")
	v.AddHolder("p:1", "a")
	now := start.Add(10 * time.Second)
	v.RecordUsage(now, "a", "p:1", Usage{PromptTokens: 900, CompletionTokens: 100})
	batch := func(seq uint64, tokens int64, age time.Duration, instance string) CacheEventBatch {
		return CacheEventBatch{instance, []CacheEvent{{Sequence: seq, Kind: CacheEvicted, Run: "p:1", Tokens: tokens, Age: age}}}
	}
	v.ApplyCacheEvents(now.Add(time.Second), "a", batch(1, 0, 5*time.Second, "i"))
	require.EqualValues(t, 1000, v.CachedTokens("p:1")["a"], "late eviction")
	v.ApplyCacheEvents(now.Add(time.Second), "a", batch(5, 0, 5*time.Second, "i"))
	require.EqualValues(t, 500, v.CachedTokens("p:1")["a"], "gap")
	v.ApplyCacheEvents(now.Add(2*time.Second), "a", batch(6, 200, 0, "i"))
	require.EqualValues(t, 200, v.CachedTokens("p:1")["a"], "partial eviction")
	v.ApplyCacheEvents(now.Add(3*time.Second), "a", CacheEventBatch{Instance: "j"})
	require.Empty(t, v.CachedTokens("p:1"), "restart")
}

// TestReleasesAreRetriedUntilConfirmedOrGone guards against engine memory that stays
// in use for a program that has ended.
func TestReleasesAreRetriedUntilConfirmedOrGone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := viewOf(t, "a", "b")
		v.AddHolder("p:1", "a")
		v.AddHolder("p:1", "b")
		now := start
		v.EndRun(now, "p:1")
		lost := rapid.IntRange(0, 8).Draw(t, "lost")
		for range lost {
			require.Len(t, v.DueReleases(now, 10), 2)
			require.Empty(t, v.DueReleases(now, 10))
			now = now.Add(maxReleaseRetry)
		}
		require.False(t, v.ConfirmRelease(Release{"p:1", "a"}))
		require.Equal(t, []Release{{"p:1", "b"}}, v.DueReleases(now, 10))
		if rapid.Bool().Draw(t, "gone") {
			v.Apply(now.Add(absentRetention+time.Hour), nil, testVersion(t))
		} else {
			v.ConfirmRelease(Release{"p:1", "b"})
		}
		require.True(t, v.ReleasesConfirmed("p:1"))
		_, pending := v.NextRelease()
		require.False(t, pending)
	})
}

// TestRestoredReleaseOfUnknownReplicaEnds guards against a release that stays pending
// forever because its replica left during a takeover.
func TestRestoredReleaseOfUnknownReplicaEnds(t *testing.T) {
	v := viewOf(t)
	v.RestoreReleases(start, "p:1", []string{"z"})
	require.Len(t, v.DueReleases(start, 1), 1)
	v.Apply(start.Add(absentRetention), nil, testVersion(t))
	require.True(t, v.ReleasesConfirmed("p:1"))
}

// TestRestoredReleaseSurvivesListing guards against the loss of releases when a
// lagging list names the replica only after the takeover.
func TestRestoredReleaseSurvivesListing(t *testing.T) {
	v := viewOf(t)
	v.RestoreReleases(start, "p:1", []string{"z"})
	v.Apply(start.Add(time.Second), vmsAt("z"), testVersion(t))
	require.Equal(t, []Release{{"p:1", "z"}}, v.DueReleases(start.Add(time.Second), 1))
}

// TestUsableFollowsTheList guards against candidates from an index that is older than
// the list, the configuration or the restriction.
func TestUsableFollowsTheList(t *testing.T) {
	names := func(cs []Candidate) []string {
		out := []string{}
		for _, c := range cs {
			out = append(out, c.Replica)
		}
		return out
	}
	v := viewOf(t, "b", "a")
	require.Equal(t, []string{"127.0.0.1:1", "a", "b"}, names(v.Usable("m")))
	require.Equal(t, 3, v.Count("m"))
	require.Zero(t, v.Count("other"))
	v.Restrict(func(replica string, maxConcurrent int) bool { return maxConcurrent > 0 && replica != "a" })
	require.Equal(t, []string{"127.0.0.1:1", "b"}, names(v.Usable("m")))
	require.Equal(t, 3, v.Count("m"))
	v.Apply(start, vmsAt("c"), testVersion(t))
	require.Equal(t, []string{"127.0.0.1:1", "c"}, names(v.Usable("m")))
	v.Begin(start, "c")
	require.Equal(t, 1, v.Usable("m")[1].OwnInFlight)
}
