package queue

import (
	"cmp"
	"slices"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
)

// localityWeight is how far a call moves in the order of customers and in that of a
// customer's calls for each millisecond of service that its locality saves or wastes.
// Usually a replica has room for one call while many wait. Without the weight, the
// free capacity mostly goes to a call whose prefix is cached elsewhere
// (docs/measurements.md, Routing).
const localityWeight = 20.0

// ModelCost and ServiceCost are the expected service in milliseconds of a call to a
// model and to a plain service, which is charged until the real service is known.
// With 20 s for model calls, the default token bound, the slowdown of the customers
// without bursts was up to 6% worse (docs/measurements.md, Routing).
const (
	ModelCost   = 2_000.0
	ServiceCost = 50.0
)

const (
	// MaxCalls is the maximum number of calls that wait for one endpoint at a VM.
	MaxCalls = 1024
	// MaxWait is how long a call may wait for a replica: half of the default timeout
	// of an endpoint. With 30 s, up to 9 calls were refused in a run of the routing
	// benchmark.
	MaxWait = 60 * time.Second
)

const (
	// fairWindow bounds how far locality moves a customer, in milliseconds of service
	// at weight 1. It equals the service of two to three calls to a model.
	fairWindow = 5_000.0
	// orderWindow bounds how far locality moves a call among its customer's calls, in
	// milliseconds of attained service. By agingRate it equals 2 s of waiting.
	orderWindow = 20_000.0
	// maxHold bounds how long a call is held back for the replica that has its prefix.
	maxHold = 2 * time.Second
	// scanLimit is the maximum number of a customer's calls that one pop examines, so
	// that the work of the control thread does not grow with the queue.
	scanLimit = 64
)

// Locality relates a call to the replicas that have room now. Its amounts are
// milliseconds of service.
type Locality struct {
	// Saved is the service that is saved because a replica with room has the call's
	// prefix cached.
	Saved float64
	// Wasted is the service that would be repeated because only replicas without room
	// have the call's prefix cached.
	Wasted float64
	// Blocked says that no replica with room may take the call, for example because
	// it failed at each of them.
	Blocked bool
}

// shift returns how far a call moves back in an order, within [-window, window].
func (l Locality) shift(window float64) float64 {
	return max(-window, min(window, localityWeight*(l.Wasted-l.Saved)))
}

// heldUntil returns until when a call is held back for a replica that has its prefix.
// Holding it for longer than it takes to compute the prefix again could not pay off.
func (w *waitingCall) heldUntil(l Locality) time.Time {
	recompute := time.Duration(l.Wasted * float64(time.Millisecond))
	return w.queued.Add(min(recompute, maxHold))
}

func (w *waitingCall) expired(now time.Time) bool {
	return !w.Deadline.IsZero() && !now.Before(w.Deadline)
}

// compareOrder orders the calls of one customer: by key, then by arrival.
func compareOrder(a, b *waitingCall) int {
	return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.sequence, b.sequence))
}

func sortByArrival(ws []*waitingCall) {
	slices.SortFunc(ws, func(a, b *waitingCall) int { return cmp.Compare(a.sequence, b.sequence) })
}

// orderedCalls holds the waiting calls of one customer, ordered by compareOrder.
type orderedCalls []*waitingCall

func (l *orderedCalls) insert(w *waitingCall) {
	i, _ := slices.BinarySearchFunc(*l, w, compareOrder)
	*l = slices.Insert(*l, i, w)
}

func (l *orderedCalls) remove(w *waitingCall) {
	i, _ := slices.BinarySearchFunc(*l, w, compareOrder)
	*l = slices.Delete(*l, i, i+1)
}

// selection is the call of a customer to dispatch first, with its locality; call is
// nil if none may be dispatched now. heldUntil is the earliest end of the hold of an
// examined call; zero if none is held back.
type selection struct {
	call      *waitingCall
	locality  Locality
	heldUntil time.Time
}

// best selects among the calls in order, each moved by its locality.
func (l orderedCalls) best(now time.Time, locate func(Item) Locality) selection {
	var best selection
	var bestKey float64
	scanned := 0
	for _, w := range l {
		if scanned == scanLimit || best.call != nil && w.key-orderWindow >= bestKey {
			break // no later call can move before the best one
		}
		if w.expired(now) {
			continue
		}
		scanned++
		locality := locate(w.Item)
		if locality.Blocked {
			continue
		}
		if until := w.heldUntil(locality); locality.Wasted > 0 && now.Before(until) {
			best.heldUntil = clock.Earlier(best.heldUntil, until)
			continue
		}
		if key := w.key + locality.shift(orderWindow); best.call == nil || key < bestKey {
			best.call, best.locality, bestKey = w, locality, key
		}
	}
	return best
}
