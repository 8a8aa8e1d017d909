package main

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/queue"
	"hornbeamvale.example/hornbeamvale/internal/process/replica"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// fault is what happens to the first model replica.
type fault string

// The faults. A failing replica comes back with an empty cache; a leaving one
// does not come back.
const (
	fail          fault = "fail"
	leave         fault = "leave"
	leaveExported fault = "leave-exported" // its cache goes to the other replicas
)

// options select what a run models beyond the workload.
type options struct {
	cacheEvents bool
	fault       fault
	faultAt     time.Duration
}

const (
	// defaultFaultAt is in a burst of both users.
	defaultFaultAt = 4 * time.Minute
	faultTime      = time.Minute
	listLag        = 2 * time.Second
	// ratePart makes each customer's rate its part of the model replicas' places.
	ratePart = 1.0 / customerCount
	// burstSeconds is the burst in seconds of the rate.
	burstSeconds = 10
)

func (w *world) scheduleFault() {
	e := w.order[0]
	switch w.options.fault {
	case fail:
		w.loop.after(w.options.faultAt, e.fail)
		w.loop.after(w.options.faultAt+faultTime, func() { e.down = false })
	case leave, leaveExported:
		w.loop.after(w.options.faultAt, func() { w.leave(e) })
	}
}

// fail ends all calls of the replica and loses its cache.
func (e *engine) fail() {
	e.down = true
	e.waiting, e.running = nil, 0
	e.cache, e.cacheUsed = map[string]cached{}, 0
	lost := slices.SortedFunc(maps.Keys(e.inFlight), func(a, b *attempt) int { return cmp.Compare(a.call.id, b.call.id) })
	e.inFlight = map[*attempt]bool{}
	for _, a := range lost {
		a.end(outcome{failed: true, run: refusal.Unknown})
	}
}

// leave lets the running calls end. The VMs learn it from the platform's list.
func (w *world) leave(e *engine) {
	e.leaving = true
	if w.options.fault == leaveExported {
		w.export(e)
	}
	w.list[0].State = platform.VMLeaving
	w.loop.after(listLag, func() {
		for _, v := range w.vms {
			v.view.Apply(w.loop.now, w.list, w.version)
		}
	})
}

// export spreads the replica's cache over the others, least recently used runs
// first, and tells the VMs. The transfer takes no time in this model.
func (w *world) export(e *engine) {
	runs := slices.SortedFunc(maps.Keys(e.cache), func(a, b string) int {
		return cmp.Or(e.cache[a].used.Compare(e.cache[b].used), cmp.Compare(a, b))
	})
	for i, run := range runs {
		to, tokens := w.order[1+i%(w.d.modelReplicas-1)], e.cache[run].tokens
		to.store(run, tokens)
		for _, v := range w.vms {
			v.view.RecordUsage(w.loop.now, to.name, run, replica.Usage{Prompt: tokens})
		}
	}
}

// bucket counts a customer's requests against its rate. It refuses nothing: it
// shows which refusals are wrongful.
type bucket struct {
	level float64
	at    time.Time
}

func (w *world) conforms(customer string) bool {
	rate := ratePart * float64(w.d.modelReplicas*modelSlots) / (queue.ModelCost / 1000) // calls/s
	b := w.buckets[customer]
	if b == nil {
		b = &bucket{burstSeconds * rate, w.loop.now}
		w.buckets[customer] = b
	}
	b.level = min(burstSeconds*rate, b.level+rate*w.loop.now.Sub(b.at).Seconds())
	b.at = w.loop.now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
