package eventlog

import (
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
	"unicode/utf8"
	"unsafe"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The seed is fixed, so that the result is the same in every run. A flag on the command
// line takes precedence.
func init() { flag.Set("rapid.seed", "1") }

// TestMemoryIsBounded guards against events whose size grows with a caller's text.
func TestMemoryIsBounded(t *testing.T) {
	l := New("entry-01", 1)
	l.Add(Event{Detail: "a" + strings.Repeat("é", MaxDetailBytes)})
	detail := l.Query("", "")[0].Detail
	assert.LessOrEqual(t, len(detail), MaxDetailBytes)
	assert.True(t, utf8.ValidString(detail))
	assert.LessOrEqual(t, DefaultCapacity*unsafe.Sizeof(Event{}), uintptr(16_384*112), "bytes of a full log without its strings")
}

// TestCustomersWithTheSameRunName guards against a timeline that mixes the events of two
// customers whose runs have the same name.
func TestCustomersWithTheSameRunName(t *testing.T) {
	l := New("entry-01", 4)
	l.Add(Event{Kind: TurnEnded, Customer: "a", Run: "booking:1"})
	l.Add(Event{Kind: TurnEnded, Customer: "b", Run: "booking:1"})
	found := l.Query("a", "booking:1")
	require.Len(t, found, 1)
	assert.Equal(t, "a", found[0].Customer)
}

// TestRingKeepsTheLatest guards against a ring buffer that returns events out of order
// after it has wrapped, or that returns one run's events to a query for another.
func TestRingKeepsTheLatest(t *testing.T) {
	l := New("entry-01", 4)
	for turn := int64(1); turn <= 4; turn++ {
		l.Add(Event{Kind: TurnEnded, Run: "booking:1", Turn: turn})
	}
	l.Add(Event{Kind: TurnEnded, Run: "booking:10", Turn: 1})
	l.Add(Event{Kind: TurnEnded, Run: "booking:1/child", Turn: 1})
	assert.Equal(t, uint64(2), l.Dropped())
	assert.Len(t, l.Query("", ""), 4)

	found := l.Query("", "booking:1")
	require.Len(t, found, 3)
	for i, want := range []uint64{3, 4, 6} {
		assert.Equal(t, want, found[i].Sequence)
		assert.Equal(t, "entry-01", found[i].VM)
		assert.False(t, found[i].Time.IsZero())
	}
	assert.Len(t, l.Query("", "booking:1/child"), 1)
}

// TestConcurrentUse guards against events that are lost when several goroutines add at
// the same time. With the race detector it also guards against data races.
func TestConcurrentUse(t *testing.T) {
	l := New("entry-01", 1000)
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for range 100 {
				l.Add(Event{Kind: TurnAdmitted, Run: fmt.Sprintf("p:%d", g)})
				l.Query("", "p:0")
			}
		})
	}
	wg.Wait()
	assert.Len(t, l.Query("", ""), 800)
}

// TestMergeFollowsEpochs guards against a timeline in which a new owner, whose clock is
// slow, seems to have acted before the owner that it replaced.
func TestMergeFollowsEpochs(t *testing.T) {
	base := time.Unix(1000, 0)
	old := []Event{
		{VM: "a", Sequence: 1, Time: base.Add(5 * time.Second), Run: "p:1", Epoch: 1},
		{VM: "a", Sequence: 2, Time: base.Add(2 * time.Second), Run: "p:1/child", Epoch: 1},
	}
	next := []Event{{VM: "b", Sequence: 1, Time: base, Run: "p:1", Epoch: 2}}
	entry := []Event{{VM: "c", Sequence: 1, Time: base.Add(3 * time.Second), Run: "p:1"}}
	var got []string
	for _, e := range Merge(next, entry, old) {
		got = append(got, fmt.Sprint(e.VM, e.Sequence))
	}
	assert.Equal(t, []string{"c1", "a1", "a2", "b1"}, got)
}

// TestMergeProperties guards against events that are lost or repeated, against a changed
// order within a VM, and against a result that depends on the order of the inputs.
func TestMergeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var logs [][]Event
		total := 0
		for vm := range rapid.IntRange(0, 5).Draw(t, "vms") {
			var l []Event
			for i := range rapid.IntRange(0, 6).Draw(t, "events") {
				l = append(l, Event{
					VM: fmt.Sprint(vm), Sequence: uint64(i + 1),
					Time:  time.Unix(rapid.Int64Range(0, 4).Draw(t, "time"), 0),
					Run:   rapid.SampledFrom([]string{"", "p:1", "p:1/c", "p:2"}).Draw(t, "run"),
					Epoch: rapid.Uint64Range(0, 3).Draw(t, "epoch"),
				})
			}
			logs = append(logs, l)
			total += len(l)
		}
		merged := Merge(logs...)
		require.Len(t, merged, total)
		last := map[string]uint64{}
		for _, e := range merged {
			require.Equal(t, last[e.VM]+1, e.Sequence)
			last[e.VM] = e.Sequence
		}
		require.Equal(t, merged, Merge(rapid.Permutation(logs).Draw(t, "inputs")...))
	})
}
