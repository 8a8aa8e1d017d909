package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	start = time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)
	f     = FingerprintOf("c", "/p", "", []byte("body"))
)

// crashAt returns a crash at the n-th start of a replica, of a run of 50 ms.
func crashAt(at time.Time, n int) Crash {
	return Crash{Replica: fmt.Sprint("r", n%3), StartedMS: int64(n), Body: f, Begun: at.Add(-50 * time.Millisecond), At: at}
}

// crashes applies n crashes, one after the other, and returns the time after the last.
func crashes(q *Quarantine, now time.Time, n int) time.Time {
	for range n {
		now = now.Add(time.Second)
		q.Crashed(now, f, crashAt(now, int(now.Unix())), 1)
	}
	return now
}

func check(q *Quarantine, now time.Time) Verdict {
	verdict, _ := q.View().Check(now, f)
	return verdict
}

// TestFingerprintsDiffer guards against two requests that count as one because their parts
// run into each other.
func TestFingerprintsDiffer(t *testing.T) {
	seen := map[Fingerprint]int{}
	for i, x := range []Fingerprint{
		FingerprintOf("c", "/p", "", []byte("b")), FingerprintOf("c/", "p", "", []byte("b")), FingerprintOf("c", "/p", "b", nil),
		FingerprintOf("c", "/pb", "", nil), FingerprintOf("", "c/p", "", []byte("b")), PathFingerprintOf("c", "/p", ""), PathFingerprintOf("c", "", "/p"),
	} {
		require.NotContains(t, seen, x, "%d and %d", i, seen[x])
		seen[x] = i
	}
}

// TestRunsBesideEachOtherAreOneCrash guards against a request that is blocked because
// several of its copies, or of the requests beside it, were at replicas that failed
// together.
func TestRunsBesideEachOtherAreOneCrash(t *testing.T) {
	q := New()
	for i := range 10 {
		q.Crashed(start, f, crashAt(start, i), 1)
	}
	require.Equal(t, Free, check(q, start))
}

// TestReplicaThatBreaksOffOftenIsOneCrash guards against a request that is blocked because
// one faulty replica breaks off again and again.
func TestReplicaThatBreaksOffOftenIsOneCrash(t *testing.T) {
	q := New()
	for i := range 10 {
		at := start.Add(time.Duration(i) * time.Second)
		q.Crashed(at, f, Crash{Replica: "r", StartedMS: 7, Body: f, Begun: at.Add(-50 * time.Millisecond), At: at}, 1)
	}
	require.Equal(t, Free, check(q, start.Add(time.Minute)))
}

// TestCrashesFarApartDoNotAddUp guards against a request that is blocked for crashes of
// another day.
func TestCrashesFarApartDoNotAddUp(t *testing.T) {
	q := New()
	for i := range 10 {
		at := start.Add(time.Duration(i) * crashMemory)
		q.Expire(at)
		q.Crashed(at, f, crashAt(at, i), 1)
		require.Equal(t, Free, check(q, at))
	}
}

// TestBlocksGrowUntilARunEndsWell guards against more than three trials of a request within
// a day of its block.
func TestBlocksGrowUntilARunEndsWell(t *testing.T) {
	q := New()
	now := crashes(q, start, crashesToBlock)
	require.Equal(t, Blocked, check(q, now))
	trials := 0
	for end := now.Add(20 * time.Hour); now.Before(end); now = now.Add(time.Second) {
		q.Expire(now)
		if check(q, now) != OnTrial {
			continue
		}
		require.True(t, q.BeginTrial(now, f))
		require.False(t, q.BeginTrial(now, f), "a second trial at the same time")
		trials++
		now = crashes(q, now, 1)
	}
	require.Equal(t, maxTrials, trials)

	now = now.Add(maxBlock)
	require.True(t, q.BeginTrial(now, f))
	changed, ended := q.Succeeded(now, f)
	require.True(t, changed && ended)
	require.Equal(t, Free, check(q, now))
	require.Equal(t, Free, check(q, crashes(q, now, crashesToBlock-1)))
}

// TestTrialWithoutAnEndIsFollowedByAnother guards against a request that stays blocked
// because the VM that tried it was lost.
func TestTrialWithoutAnEndIsFollowedByAnother(t *testing.T) {
	q := New()
	now := crashes(q, start, crashesToBlock).Add(firstBlock)
	require.True(t, q.BeginTrial(now, f))
	require.Equal(t, Blocked, check(q, now.Add(trialTimeout-time.Second)))
	require.Equal(t, OnTrial, check(q, now.Add(trialTimeout)))
}

// TestPathNeedsDifferentBodies guards against a customer whose path is blocked for one bad
// body.
func TestPathNeedsDifferentBodies(t *testing.T) {
	q := New()
	now := start
	for i := range 5 {
		now = now.Add(time.Second)
		_, began := q.Crashed(now, f, crashAt(now, i), 2)
		require.False(t, began)
	}
	now = now.Add(time.Second)
	other := crashAt(now, 9)
	other.Body = FingerprintOf("c", "/p", "", []byte("shorter"))
	_, began := q.Crashed(now, f, other, 2)
	require.True(t, began)
}

// TestExchangedBlocksEnd guards against a block that never ends because VMs give each other
// the time that is left, and against one that comes back from a VM that was not told of its
// end.
func TestExchangedBlocksEnd(t *testing.T) {
	a, b := New(), New()
	now := crashes(a, start, crashesToBlock)
	for end := now.Add(firstBlock + time.Second); now.Before(end); now = now.Add(2500 * time.Millisecond) {
		b.Merge(now, a.State(now, f))
		a.Merge(now.Add(time.Second), b.State(now, f))
	}
	require.Equal(t, OnTrial, check(a, now))
	require.True(t, a.BeginTrial(now, f))
	a.Succeeded(now, f)
	a.Merge(now, b.State(now, f))
	require.Equal(t, Free, check(a, now))
	require.True(t, b.Merge(now, a.State(now, f)))
	require.Equal(t, Free, check(b, now))
}

// TestMemoryIsBounded guards against a customer that fills the memory with requests whose
// replicas break off, and against blocks that are forgotten for it.
func TestMemoryIsBounded(t *testing.T) {
	q := New()
	now := crashes(q, start, crashesToBlock)
	for i := range 2 * maxRecords {
		now = now.Add(time.Millisecond)
		q.Crashed(now, FingerprintOf("c", "/p", fmt.Sprint(i), nil), crashAt(now, i), 1)
	}
	require.Len(t, q.records, maxRecords)
	require.Equal(t, Blocked, check(q, now))
	require.Zero(t, q.Expire(now.Add(maxBlock+trialMemory)))
	require.True(t, q.Empty())
}

// TestForgedNoticesAreIgnored guards against a notice with impossible times.
func TestForgedNoticesAreIgnored(t *testing.T) {
	q := New()
	for _, n := range []Notice{
		{Fingerprint: f, Level: 1, Left: -1},
		{Fingerprint: f, Level: 1, Left: maxBlock + 1},
		{Fingerprint: f, Level: -1},
		{Fingerprint: f, Level: 1, Left: 1, TrialLeft: trialTimeout + 1},
		{Fingerprint: f, Succeeded: true},
		{Fingerprint: f},
		{Fingerprint: f, Crash: &CrashNotice{Age: 2, BegunAge: 1}},
		{Fingerprint: f, Crash: &CrashNotice{Age: -1}},
	} {
		require.False(t, q.Merge(start, n), "%+v", n)
	}
	require.True(t, q.Empty())
}

// TestSoundRequestsAreNotBlocked guards against a request that is blocked although one of
// its runs ended well between any three crashes.
func TestSoundRequestsAreNotBlocked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now, inARow := New(), start, 0
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			if inARow == crashesToBlock-1 || rapid.Bool().Draw(t, "well") {
				q.Succeeded(now, f)
				inARow = 0
			} else {
				q.Crashed(now, f, crashAt(now, i), 1)
				inARow++
			}
			require.Equal(t, Free, check(q, now))
		}
	})
}
