// Package order computes the orders that bring the engines of an endpoint to the
// desired state: which replica holds which model. The package performs no I/O. Only the
// owner of the endpoint's slot computes orders, and every order carries the owner's
// epoch as its fencing number.
//
// An engine that checks the fencing number refuses an order of a former owner, so its
// state is never reverted. At an engine that ignores the number, a late order of a
// former owner can take effect once; the owner sees this in the next report and repeats
// its own order, so the state converges.
package order

import (
	"slices"
	"strings"
	"time"

	"hornbeamvale.example/hornbeamvale/operator"
)

// Kind is the kind of an order.
type Kind string

// Kinds of orders.
const (
	Load   Kind = "load"
	Unload Kind = "unload"
	Role   Kind = "role"
)

// Order is a change that one replica has to make.
type Order struct {
	Replica string
	Kind    Kind
	Model   string // set for Load and Unload
	Role    string // set for Role
}

// Report is the state that a replica reports.
type Report struct {
	Replica string
	Models  []string
	Role    string
	// Fence is the highest fencing number that the replica has seen.
	Fence uint64
}

// LoadLimiter limits the rate of loads from the weight store.
type LoadLimiter struct {
	perMinute int
	available float64 // loads that may start now
	updatedAt time.Time
}

// NewLoadLimiter returns a limiter of loads per minute for a whole endpoint; 0 means no
// limit. It starts with one available load, so that a series of owner changes can
// exceed the limit by at most one load each.
func NewLoadLimiter(perMinute int, now time.Time) *LoadLimiter {
	return &LoadLimiter{perMinute: perMinute, available: 1, updatedAt: now}
}

// Take takes one load. It returns false if the limit is reached.
func (l *LoadLimiter) Take(now time.Time) bool {
	if l.perMinute == 0 {
		return true
	}
	l.available = min(float64(l.perMinute), l.available+now.Sub(l.updatedAt).Minutes()*float64(l.perMinute))
	l.updatedAt = now
	if l.available < 1 {
		return false
	}
	l.available--
	return true
}

// Plan returns the orders that bring the replicas closer to the wanted models. It does
// not move a model that enough replicas hold, so that caches and weights are not moved
// needlessly. Loads come before unloads of models that are not wanted, so that the plan
// never removes the last replica of a model.
func Plan(now time.Time, wanted []operator.Model, reports []Report, limiter *LoadLimiter) []Order {
	reports = slices.SortedFunc(slices.Values(reports), func(a, b Report) int { return strings.Compare(a.Replica, b.Replica) })
	holders := map[string]int{}
	wantedCount := make([]int, len(reports)) // number of wanted models at each replica
	for i, r := range reports {
		for _, m := range r.Models {
			if isWanted(wanted, m) {
				holders[m]++
				wantedCount[i]++
			}
		}
	}
	var orders []Order
	for _, w := range wanted {
		name := w.ID()
		for holders[name] < w.Replicas {
			i := leastLoaded(reports, wantedCount, name)
			if i < 0 || !limiter.Take(now) {
				break
			}
			holders[name]++
			wantedCount[i]++
			reports[i].Models = append(slices.Clone(reports[i].Models), name)
			orders = append(orders, Order{Replica: reports[i].Replica, Kind: Load, Model: name})
		}
	}
	return append(append(orders, unloads(wanted, reports, holders)...), roles(wanted, reports)...)
}

// leastLoaded returns the index of the replica that holds the fewest wanted models,
// among those without the given model; -1 if there is none.
func leastLoaded(reports []Report, wantedCount []int, model string) int {
	best := -1
	for i, r := range reports {
		if !slices.Contains(r.Models, model) && (best < 0 || wantedCount[i] < wantedCount[best]) {
			best = i
		}
	}
	return best
}

// unloads returns the orders that remove unwanted models and surplus replicas of wanted
// models.
func unloads(wanted []operator.Model, reports []Report, holders map[string]int) []Order {
	var orders []Order
	for _, r := range slices.Backward(reports) {
		for _, m := range r.Models {
			target, ok := replicasOf(wanted, m)
			if ok && holders[m] <= target {
				continue
			}
			if ok {
				holders[m]--
			}
			orders = append(orders, Order{Replica: r.Replica, Kind: Unload, Model: m})
		}
	}
	return orders
}

// roles returns the orders that give each replica the role of the first wanted model
// that it holds.
func roles(wanted []operator.Model, reports []Report) []Order {
	var orders []Order
	for _, r := range reports {
		for _, w := range wanted {
			if w.Role != "" && slices.Contains(r.Models, w.ID()) {
				if r.Role != w.Role {
					orders = append(orders, Order{Replica: r.Replica, Kind: Role, Role: w.Role})
				}
				break
			}
		}
	}
	return orders
}

func isWanted(wanted []operator.Model, name string) bool {
	_, ok := replicasOf(wanted, name)
	return ok
}

func replicasOf(wanted []operator.Model, name string) (int, bool) {
	for _, w := range wanted {
		if w.ID() == name {
			return w.Replicas, true
		}
	}
	return 0, false
}
