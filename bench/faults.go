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

// fault is a fault of the first model replica; empty for none.
type fault string

// The faults. A replica that fails returns with an empty cache after faultDuration.
// A replica that leaves does not return.
const (
	faultFail          fault = "fail"
	faultLeave         fault = "leave"
	faultLeaveExported fault = "leave-exported" // its cache moves to the other replicas
)

// options select what a simulation models besides the workload.
type options struct {
	cacheEvents bool
	fault       fault
	faultAt     time.Duration
}

const (
	// defaultFaultAt falls into a burst of both deployments.
	defaultFaultAt = 4 * time.Minute
	faultDuration  = time.Minute
	// vmListLag is the delay until the VMs read a change of the platform's VM list.
	vmListLag = 2 * time.Second
	// customerRateShare is each customer's share of the rate that the slots of all model
	// replicas can serve.
	customerRateShare = 1.0 / customerCount
	// burstSeconds is the burst of a customer, in seconds of its rate.
	burstSeconds = 10
)

func (sim *simulation) scheduleFault() {
	e := sim.engines[0]
	switch sim.options.fault {
	case faultFail:
		sim.loop.after(sim.options.faultAt, e.fail)
		sim.loop.after(sim.options.faultAt+faultDuration, func() { e.down = false })
	case faultLeave, faultLeaveExported:
		sim.loop.after(sim.options.faultAt, func() { sim.leave(e) })
	}
}

// fail fails all calls at the replica and clears its cache.
func (e *engine) fail() {
	e.down = true
	e.waiting, e.running = nil, 0
	e.cache, e.cacheUsed = map[string]cachedRun{}, 0
	lost := slices.SortedFunc(maps.Keys(e.inFlight), func(a, b *attempt) int { return cmp.Compare(a.call.id, b.call.id) })
	e.inFlight = map[*attempt]bool{}
	for _, a := range lost {
		a.end(outcome{failed: true, runState: refusal.Unknown})
	}
}

// leave makes the replica refuse new calls; running and queued calls complete. The VMs
// learn of it from the platform's VM list after vmListLag, or from a refused call.
func (sim *simulation) leave(e *engine) {
	e.leaving = true
	if sim.options.fault == faultLeaveExported {
		sim.exportCache(e)
	}
	sim.vmList[0].State = platform.VMLeaving
	sim.loop.after(vmListLag, func() {
		for _, v := range sim.vms {
			v.view.Apply(sim.loop.now, sim.vmList, sim.version)
		}
	})
}

// exportCache distributes the replica's cache over the other model replicas, least
// recently used runs first, and updates the views of the VMs. The transfer takes no
// time in this model.
func (sim *simulation) exportCache(e *engine) {
	runs := slices.SortedFunc(maps.Keys(e.cache), func(a, b string) int {
		return cmp.Or(e.cache[a].used.Compare(e.cache[b].used), cmp.Compare(a, b))
	})
	for i, run := range runs {
		to, tokens := sim.engines[1+i%(sim.deployment.modelReplicas-1)], e.cache[run].tokens
		to.store(run, tokens)
		for _, v := range sim.vms {
			v.view.RecordUsage(sim.loop.now, to.name, run, replica.Usage{PromptTokens: tokens})
		}
	}
}

// tokenBucket is the bucket of a customer's rate. It refuses no request; it only tells
// which refused requests were within the rate.
type tokenBucket struct {
	tokens  float64
	updated time.Time
}

// conforms takes a token from the customer's bucket. It returns false if the request
// exceeds the customer's rate.
func (sim *simulation) conforms(customer string) bool {
	rate := customerRateShare * float64(sim.deployment.modelReplicas*modelSlots) / (queue.ModelCost / 1000) // calls/s
	b := sim.buckets[customer]
	if b == nil {
		b = &tokenBucket{burstSeconds * rate, sim.loop.now}
		sim.buckets[customer] = b
	}
	b.tokens = min(burstSeconds*rate, b.tokens+rate*sim.loop.now.Sub(b.updated).Seconds())
	b.updated = sim.loop.now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
