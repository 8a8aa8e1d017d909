package queue

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawLocality returns a function that draws a random locality for each call, the same
// each time it is asked.
func drawLocality(t *rapid.T) func(Item) Locality {
	known := map[string]Locality{}
	return func(it Item) Locality {
		if _, ok := known[it.ID]; !ok {
			known[it.ID] = Locality{
				Saved:  float64(rapid.IntRange(0, 20_000).Draw(t, "saved")),
				Wasted: float64(rapid.IntRange(0, 20_000).Draw(t, "wasted")),
			}
		}
		return known[it.ID]
	}
}

// TestLocalityKeepsFairness guards against a customer that gets more than its share
// by its cached prefixes: the weighted service of two backlogged customers differs by
// at most one largest call of each plus the window in both directions.
func TestLocalityKeepsFairness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, locate := New(10_000), drawLocality(t)
		const customers, calls, maxCost = 3, 20, 3_000
		var weight, service [customers]float64
		var left [customers]int
		for c := range customers {
			weight[c] = float64(rapid.IntRange(1, 4).Draw(t, "weight"))
			left[c] = calls
			for i := range calls {
				cost := float64(rapid.IntRange(1, maxCost).Draw(t, "cost"))
				q.Push(start, Item{ID: fmt.Sprint(c, "/", i), Customer: string(rune('0' + c)), Weight: weight[c], Cost: cost})
			}
		}
		for left[0] > 0 && left[1] > 0 && left[2] > 0 {
			it, ok := q.Pop(start.Add(maxHold), locate)
			require.True(t, ok)
			c := int(it.Customer[0] - '0')
			service[c] += it.Cost
			left[c]--
			for i := range customers {
				for j := range i {
					diff := math.Abs(service[i]/weight[i] - service[j]/weight[j])
					require.LessOrEqual(t, diff, maxCost/weight[i]+maxCost/weight[j]+2*fairWindow+1e-6)
				}
			}
		}
	})
}

// TestLocalityCannotStarve guards against a call that waits while calls with a better
// locality keep arriving: only calls whose key is at most two windows higher may
// overtake it. This holds from the end of the maximum hold of a call on.
func TestLocalityCannotStarve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, locate := New(10_000), drawLocality(t)
		now, keys, queued := start, map[string]float64{}, map[string]time.Time{}
		for i := range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 2_000).Draw(t, "ms")) * time.Millisecond)
			it := Item{ID: fmt.Sprint(i), Customer: "a", AttainedService: float64(rapid.IntRange(0, 20_000).Draw(t, "attained"))}
			keys[it.ID] = it.AttainedService + agingRate*now.Sub(start).Seconds()
			queued[it.ID] = now
			q.Push(now, it)
			if rapid.Bool().Draw(t, "pop") {
				popped, ok := q.Pop(now, locate)
				if !ok {
					continue // all are held back for their replicas
				}
				overtaking := keys[popped.ID]
				delete(keys, popped.ID)
				for id, key := range keys {
					if !now.Before(queued[id].Add(maxHold)) {
						require.LessOrEqual(t, overtaking, key+2*orderWindow)
					}
				}
			}
		}
	})
}

// TestPrefersTheCachedPrefix guards against giving free capacity to a call whose
// prefix is cached elsewhere, within a customer and between customers.
func TestPrefersTheCachedPrefix(t *testing.T) {
	at := map[string]Locality{"elsewhere": {Wasted: 500}, "here": {Saved: 500}, "other": {Saved: 500}}
	locate := func(it Item) Locality { return at[it.ID] }
	q := New(10)
	q.Push(start, Item{ID: "elsewhere", Customer: "a", Cost: 1000})
	q.Push(start, Item{ID: "here", Customer: "a", Cost: 1000})
	q.Push(start, Item{ID: "other", Customer: "b", Cost: 1000})
	for _, want := range []string{"here", "other", "elsewhere"} {
		it, ok := q.Pop(start.Add(maxHold), locate)
		require.True(t, ok)
		require.Equal(t, want, it.ID)
	}
}

// TestBlockedCallKeepsItsPlace guards against a call that loses its position, or delays
// other calls, while no replica with room may take it.
func TestBlockedCallKeepsItsPlace(t *testing.T) {
	q := New(10)
	for _, id := range []string{"1", "2", "3"} {
		q.Push(start, Item{ID: id, Customer: "a"})
	}
	it, ok := q.Pop(start, func(it Item) Locality { return Locality{Blocked: it.ID == "1"} })
	require.True(t, ok)
	require.Equal(t, "2", it.ID)
	_, ok = q.Pop(start, func(Item) Locality { return Locality{Blocked: true} })
	require.False(t, ok)
	require.Equal(t, "1", popOne(t, q, start).ID)
}

// TestHoldsCallForItsReplica guards against a prefix that is computed again although
// its replica is about to have room, and against a call that is held back for longer
// than computing the prefix takes, or for longer than maxHold.
func TestHoldsCallForItsReplica(t *testing.T) {
	for _, c := range []struct {
		wasted float64 // ms
		hold   time.Duration
	}{{0, 0}, {500, 500 * time.Millisecond}, {60_000, maxHold}} {
		q, locate := New(10), func(Item) Locality { return Locality{Wasted: c.wasted} }
		q.Push(start, Item{ID: "1", Customer: "a"})
		if c.hold > 0 {
			_, ok := q.Pop(start.Add(c.hold-time.Millisecond), locate)
			require.False(t, ok)
			due, ok := q.NextDue(start.Add(c.hold - time.Millisecond))
			require.True(t, ok)
			require.Equal(t, start.Add(c.hold), due)
		}
		_, ok := q.Pop(start.Add(c.hold), locate)
		require.True(t, ok)
	}
}

// TestHeldCallDoesNotDelayOthers guards against unused capacity while another call
// could run, and against a held call that is not dispatched when its replica has room.
func TestHeldCallDoesNotDelayOthers(t *testing.T) {
	q, at := New(10), map[string]Locality{"1": {Wasted: 500}}
	locate := func(it Item) Locality { return at[it.ID] }
	for _, id := range []string{"1", "2"} {
		q.Push(start, Item{ID: id, Customer: "a"})
	}
	it, ok := q.Pop(start, locate)
	require.True(t, ok)
	require.Equal(t, "2", it.ID)
	_, ok = q.Pop(start, locate)
	require.False(t, ok)
	at["1"] = Locality{Saved: 500}
	it, ok = q.Pop(start, locate)
	require.True(t, ok)
	require.Equal(t, "1", it.ID)
}

// TestNextDueSkipsPastHolds guards against a control loop that spins while no replica
// has room, because the end of a hold that it waits for has already passed.
func TestNextDueSkipsPastHolds(t *testing.T) {
	q := New(10)
	q.Push(start, Item{ID: "1", Customer: "a"})
	_, ok := q.Pop(start, func(Item) Locality { return Locality{Wasted: 500} })
	require.False(t, ok)
	_, ok = q.NextDue(start.Add(time.Second))
	require.False(t, ok)
}
