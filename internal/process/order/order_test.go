package order

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hornbeamvale.example/hornbeamvale/operator"
)

var start = time.Unix(0, 0)

// apply applies orders to reports as an engine does.
func apply(reports []Report, orders []Order) []Report {
	out := slices.Clone(reports)
	for _, o := range orders {
		for i := range out {
			if out[i].Replica != o.Replica {
				continue
			}
			switch o.Kind {
			case Load:
				out[i].Models = append(slices.Clone(out[i].Models), o.Model)
			case Unload:
				out[i].Models = slices.DeleteFunc(slices.Clone(out[i].Models), func(m string) bool { return m == o.Model })
			case Role:
				out[i].Role = o.Role
			}
		}
	}
	return out
}

func count(reports []Report, model string) int {
	n := 0
	for _, r := range reports {
		if slices.Contains(r.Models, model) {
			n++
		}
	}
	return n
}

// TestPlanConverges guards against a plan that does not reach the wanted state, and
// against orders that go on after it is reached: without a load limit one round must
// reach it, and the next round must be empty. It also guards against a wanted model
// that falls below its wanted number of replicas on the way.
func TestPlanConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		replicas := rapid.IntRange(1, 6).Draw(t, "replicas")
		var wanted []operator.Model
		for _, n := range names[:2] {
			wanted = append(wanted, operator.Model{Name: n, Replicas: rapid.IntRange(0, replicas).Draw(t, "want-"+n)})
		}
		var reports []Report
		for i := range replicas {
			models := rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID[string]).Draw(t, "models")
			reports = append(reports, Report{Replica: string(rune('p' + i)), Models: models})
		}
		orders := Plan(start, wanted, reports, NewLoadLimiter(0, start))
		for step := range orders {
			after := apply(reports, orders[:step+1])
			for _, w := range wanted {
				require.GreaterOrEqual(t, count(after, w.Name), min(count(reports, w.Name), w.Replicas))
			}
		}
		reports = apply(reports, orders)
		for _, w := range wanted {
			require.Equal(t, w.Replicas, count(reports, w.Name))
		}
		require.Zero(t, count(reports, "c"))
		require.Empty(t, Plan(start, wanted, reports, NewLoadLimiter(0, start)))
	})
}

// TestLoadsStayWithinTheRateOfTheWeightStore guards against a burst of loads above the
// limit.
func TestLoadsStayWithinTheRateOfTheWeightStore(t *testing.T) {
	wanted := []operator.Model{{Name: "a", Replicas: 4}}
	reports := []Report{{Replica: "p"}, {Replica: "q"}, {Replica: "r"}, {Replica: "s"}}
	limiter := NewLoadLimiter(2, start)
	loads := 0
	for second := range 62 {
		orders := Plan(start.Add(time.Duration(second)*time.Second), wanted, reports, limiter)
		loads += len(orders)
		reports = apply(reports, orders)
	}
	require.Equal(t, 3, loads, "one load at the start and two in the next minute; the extra second allows for rounding")
}

// TestReplicaGetsTheRoleOfItsModel guards against a replica that keeps its previous
// role.
func TestReplicaGetsTheRoleOfItsModel(t *testing.T) {
	wanted := []operator.Model{{Name: "a", Version: "2", Replicas: 1, Role: "decode"}}
	orders := Plan(start, wanted, []Report{{Replica: "p", Models: []string{"a@2"}, Role: "prefill"}}, NewLoadLimiter(0, start))
	require.Equal(t, []Order{{Replica: "p", Kind: Role, Role: "decode"}}, orders)
}
