package queue

import (
	"cmp"
	"slices"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
)

// localityWeight is how far a call moves in the orders for each millisecond of
// service that its locality saves or wastes. A replica has room for one call
// while many wait, so without it a freed place mostly goes to a call whose prefix is
// cached elsewhere (docs/measurements.md, Routing).
const localityWeight = 20.0

// Expected service of a call in milliseconds, charged until the real service is
// known. With 20 s for model calls, the default token bound, the slowdown of the
// customers without bursts was up to 6% worse (docs/measurements.md, Routing).
const (
	ModelCost   = 2_000.0
	ServiceCost = 50.0
)

const (
	// Bound is the number of calls that may wait for one endpoint at a VM.
	Bound = 1024
	// Wait is how long a call may wait for a replica, half of the default timeout of
	// an endpoint. With 30 s the routing benchmark refused up to 9 calls of a run.
	Wait = 60 * time.Second
)

const (
	// fairWindow bounds, in milliseconds of service at weight 1, how far locality
	// moves a customer. It is two to three calls to a model.
	fairWindow = 5_000.0
	// orderWindow bounds, in milliseconds of attained service, how far locality
	// moves a call among its customer's calls. By the ageing it is 2 s of waiting.
	orderWindow = 20_000.0
	// maxHold bounds how long a call is kept for the replica that holds its prefix.
	maxHold = 2 * time.Second
	// scanLimit bounds the calls of a customer that are looked at for each pop, so
	// that the work of the control thread does not grow with the queue.
	scanLimit = 64
)

// Locality says how a call relates to the replicas that have room now, in
// milliseconds of service.
type Locality struct {
	// Saved is the service that a prefix cached at a replica with room saves.
	Saved float64
	// Wasted is the service that would be repeated although a replica that lacks
	// room only holds the prefix.
	Wasted float64
	// Blocked says that no replica with room may take the call, such as after it
	// failed at them.
	Blocked bool
}

// shift is by how much a call moves back, at most window either way.
func (l Locality) shift(window float64) float64 {
	return max(-window, min(window, localityWeight*(l.Wasted-l.Saved)))
}

// heldUntil returns when a call goes even where its prefix is not cached. Keeping
// it for longer than it takes to compute the prefix again could not pay.
func (w *waiting) heldUntil(l Locality) time.Time {
	again := time.Duration(l.Wasted * float64(time.Millisecond))
	return w.queued.Add(min(again, maxHold))
}

func (w *waiting) expired(now time.Time) bool {
	return !w.Deadline.IsZero() && !now.Before(w.Deadline)
}

func compareOrder(a, b *waiting) int {
	return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.sequence, b.sequence))
}

func sortByArrival(ws []*waiting) {
	slices.SortFunc(ws, func(a, b *waiting) int { return cmp.Compare(a.sequence, b.sequence) })
}

// line holds the calls of one customer in order.
type line []*waiting

func (l *line) insert(w *waiting) {
	i, _ := slices.BinarySearchFunc(*l, w, compareOrder)
	*l = slices.Insert(*l, i, w)
}

func (l *line) remove(w *waiting) {
	i, _ := slices.BinarySearchFunc(*l, w, compareOrder)
	*l = slices.Delete(*l, i, i+1)
}

// choice is the call of a customer that may go first. Without one, held is when
// the first call that is kept for a replica may go; zero if none is kept.
type choice struct {
	call *waiting
	at   Locality
	held time.Time
}

func (l line) best(now time.Time, locate func(Item) Locality) choice {
	var best choice
	var bestKey float64
	scanned := 0
	for _, w := range l {
		if scanned == scanLimit || best.call != nil && w.key-orderWindow >= bestKey {
			break // no later call can go before the best one
		}
		if w.expired(now) {
			continue
		}
		scanned++
		at := locate(w.Item)
		if at.Blocked {
			continue
		}
		if until := w.heldUntil(at); at.Wasted > 0 && now.Before(until) {
			best.held = clock.Earlier(best.held, until)
			continue
		}
		if key := w.key + at.shift(orderWindow); best.call == nil || key < bestKey {
			best.call, best.at, bestKey = w, at, key
		}
	}
	return best
}
