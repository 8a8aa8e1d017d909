package queue

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The seed is fixed so that a run can be repeated; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

var start = time.Unix(1_000_000, 0)

// noLocality returns the locality of a call without a cached prefix.
func noLocality(Item) Locality { return Locality{} }

// popOne pops a call and fails the test if there is none.
func popOne(t require.TestingT, q *Queue, now time.Time) Item {
	it, ok := q.Pop(now, noLocality)
	require.True(t, ok)
	return it
}

// TestFairnessMatchesRoundRobin guards against a customer that gets more than its
// share: with equal weights and costs every backlogged customer is served as often as
// by a simple round robin, within one call.
func TestFairnessMatchesRoundRobin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(10_000)
		var backlog []int
		for c := range rapid.IntRange(2, 8).Draw(t, "customers") {
			n := rapid.IntRange(1, 40).Draw(t, "calls")
			backlog = append(backlog, n)
			for i := range n {
				require.Empty(t, q.Push(start, Item{ID: fmt.Sprint(c, "/", i), Customer: fmt.Sprint(c), Cost: 5}))
			}
		}
		served, naive := make([]int, len(backlog)), make([]int, len(backlog))
		for turn := 0; q.Len() > 0; turn++ {
			var c int
			_, err := fmt.Sscan(popOne(t, q, start).Customer, &c)
			require.NoError(t, err)
			served[c]++
			for naive[turn%len(backlog)] == backlog[turn%len(backlog)] {
				turn++
			}
			naive[turn%len(backlog)]++
			for i := range served {
				require.LessOrEqual(t, math.Abs(float64(served[i]-naive[i])), 1.0)
			}
		}
	})
}

// TestWeightedService guards against wrong weights or costs: while two customers are
// backlogged, their weighted service differs by at most the bound of start-time fair
// queueing, which is one largest call of each.
func TestWeightedService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(10_000)
		const customers, calls, maxCost = 3, 60, 50
		var weight, service [customers]float64
		var left [customers]int
		for c := range customers {
			weight[c] = float64(rapid.IntRange(1, 9).Draw(t, "weight"))
			left[c] = calls
			for i := range calls {
				cost := float64(rapid.IntRange(1, maxCost).Draw(t, "cost"))
				q.Push(start, Item{ID: fmt.Sprint(c, "/", i), Customer: string(rune('0' + c)), Weight: weight[c], Cost: cost})
			}
		}
		for left[0] > 0 && left[1] > 0 && left[2] > 0 {
			it := popOne(t, q, start)
			c := int(it.Customer[0] - '0')
			service[c] += it.Cost
			left[c]--
			for i := range customers {
				for j := range i {
					diff := math.Abs(service[i]/weight[i] - service[j]/weight[j])
					require.LessOrEqual(t, diff, maxCost/weight[i]+maxCost/weight[j]+1e-6)
				}
			}
		}
	})
}

// TestWorkConservingAndComplete guards against unused capacity while calls wait, and
// against lost or repeated calls.
func TestWorkConservingAndComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.IntRange(1, 20).Draw(t, "bound")
		q := New(bound)
		now, pushed := start, 0
		live := map[string]time.Time{}
		take := func(its []Item) {
			for _, it := range its {
				require.Contains(t, live, it.ID)
				delete(live, it.ID)
			}
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				pushed++
				it := Item{
					ID: fmt.Sprint(pushed), Customer: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"),
					Weight: float64(rapid.IntRange(1, 4).Draw(t, "weight")), AttainedService: float64(rapid.IntRange(0, 500).Draw(t, "attained")),
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "deadline")) * time.Millisecond),
				}
				full := q.Len() == bound
				live[it.ID] = it.Deadline
				dropped := q.Push(now, it)
				require.Equal(t, full, len(dropped) == 1)
				take(dropped)
			case 2:
				free, fresh := rapid.IntRange(0, 5).Draw(t, "free"), 0
				for _, d := range live {
					if now.Before(d) {
						fresh++
					}
				}
				var out []Item
				for range free {
					if it, ok := q.Pop(now, noLocality); ok {
						out = append(out, it)
					}
				}
				require.Len(t, out, min(free, fresh))
				for _, it := range out {
					require.True(t, now.Before(live[it.ID]))
				}
				take(out)
			case 3:
				take(q.Expire(now))
				for _, d := range live {
					require.True(t, now.Before(d))
				}
			case 4:
				id := fmt.Sprint(rapid.IntRange(0, pushed).Draw(t, "id"))
				_, ok := live[id]
				require.Equal(t, ok, q.Remove(id))
				delete(live, id)
			}
			require.Equal(t, len(live), q.Len())
		}
	})
}

// TestDropsFromCustomerAboveItsShare guards against a customer that floods the queue
// and so has other customers' calls dropped.
func TestDropsFromCustomerAboveItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(20)
		for i := range rapid.IntRange(20, 60).Draw(t, "flood") {
			q.Push(start, Item{ID: fmt.Sprint("f", i), Customer: "flood"})
		}
		for i := range rapid.IntRange(1, 10).Draw(t, "calls") {
			dropped := q.Push(start, Item{ID: fmt.Sprint("s", i), Customer: "small"})
			require.Equal(t, "flood", dropped[0].Customer)
		}
	})
}

// TestLeastAttainedFirstWithAging guards against long runs that delay short ones, and
// against starvation of long runs.
func TestLeastAttainedFirstWithAging(t *testing.T) {
	q := New(10)
	q.Push(start, Item{ID: "long", Customer: "a", AttainedService: 10 * agingRate})
	q.Push(start, Item{ID: "short", Customer: "a", AttainedService: 10})
	require.Equal(t, "short", popOne(t, q, start).ID)
	q.Push(start.Add(9*time.Second), Item{ID: "new", Customer: "a"})
	require.Equal(t, "new", popOne(t, q, start).ID)
	q.Push(start.Add(11*time.Second), Item{ID: "newer", Customer: "a"})
	require.Equal(t, "long", popOne(t, q, start).ID)
}

// TestAllowanceStaysWithinBound guards against VMs that together exceed the bound of
// a replica.
func TestAllowanceStaysWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound, vms := rapid.IntRange(1, 256).Draw(t, "bound"), rapid.IntRange(1, 410).Draw(t, "vms")
		sum := 0
		for i := range vms {
			sum += Allowance(bound, 1/float64(vms), fmt.Sprint("vm", i), "r")
		}
		if bound >= vms {
			require.LessOrEqual(t, sum, bound)
			require.Greater(t, sum, bound-vms)
		} else { // random subset: six standard deviations of a binomial sum
			require.InDelta(t, bound, sum, 6*math.Sqrt(float64(bound)))
		}
	})
}

// TestChargeWithoutWaitingCalls guards against a customer that avoids the charge for
// its real cost because it has no waiting call when the cost becomes known.
func TestChargeWithoutWaitingCalls(t *testing.T) {
	q := New(10)
	q.Push(start, Item{ID: "1", Customer: "a"})
	popOne(t, q, start)
	q.Charge("a", 1, 100)
	q.Push(start, Item{ID: "2", Customer: "a"})
	for i := range 5 {
		q.Push(start, Item{ID: fmt.Sprint("b", i), Customer: "b", Cost: 10})
	}
	for range 5 {
		require.Equal(t, "b", popOne(t, q, start).Customer)
	}
	require.Equal(t, "a", popOne(t, q, start).Customer)
}
