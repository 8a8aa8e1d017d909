package main

import (
	"fmt"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/queue"
	"hornbeamvale.example/hornbeamvale/internal/process/replica"
	"hornbeamvale.example/hornbeamvale/internal/process/retry"
	"hornbeamvale.example/hornbeamvale/internal/request/placement"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

const vmCount = 10

// callQueue is implemented by the default queue and by the queue of the baseline.
type callQueue interface {
	Push(now time.Time, it queue.Item) []queue.Item
	Pop(now time.Time, locate func(queue.Item) queue.Locality) (queue.Item, bool)
	Expire(now time.Time) []queue.Item
	NextDue(now time.Time) (time.Time, bool)
	Len() int
}

// picker chooses the replica of a call.
type picker interface {
	Pick(r placement.Request, cs []replica.Candidate) (replica.Candidate, bool)
}

// policy is a combination of queueing and routing.
type policy struct {
	name  string
	queue func() callQueue
	pick  func() picker
}

func policies() []policy {
	return []policy{
		{"baseline", func() callQueue { return &fifo{bound: queue.MaxCalls} }, func() picker { return &roundRobin{} }},
		{"default", func() callQueue { return queue.New(queue.MaxCalls) }, func() picker { return placement.DefaultProfile() }},
	}
}

// vm is one entry VM, which owns the programs that hash to it. It has its own view of
// the replicas, and a queue, a picker and a retry budget for each endpoint.
type vm struct {
	sim          *simulation
	name         string
	dataCentre   string
	view         *replica.View
	queues       map[string]callQueue
	pickers      map[string]picker
	waiting      map[*call]bool // queued calls, to determine the causes of recomputation
	retryBudgets map[string]*retry.Budget
}

// submit accepts a new request of a caller.
func (v *vm) submit(c *call) {
	v.retryBudgets[c.endpoint].CountRequest(v.sim.loop.now)
	c.attempt, c.excluded = 1, map[string]bool{}
	c.conforms = v.sim.conforms(c.customer)
	v.enqueue(c)
}

// enqueue queues the next attempt of a call. The call is refused if all replicas have
// failed it or if the queue drops it.
func (v *vm) enqueue(c *call) {
	if c.attempt > 1 && len(c.excluded) == len(v.view.Candidates(c.endpoint)) {
		c.handleRefusal()
		return
	}
	it := queue.Item{
		ID: fmt.Sprint(c.id, "/", c.attempt), Customer: c.customer, Weight: 1, Cost: c.expectedCost(),
		AttainedService: c.program.attainedService, Deadline: v.sim.loop.now.Add(queue.MaxWait), Value: c,
	}
	v.waiting[c] = true
	for _, dropped := range v.queues[c.endpoint].Push(v.sim.loop.now, it) {
		dropped.Value.(*call).handleRefusal()
	}
	v.dispatch(c.endpoint)
}

// refuseExpired refuses the queued calls whose deadline has passed.
func (v *vm) refuseExpired() {
	for _, endpoint := range []string{v.sim.deployment.model, v.sim.deployment.service} {
		for _, it := range v.queues[endpoint].Expire(v.sim.loop.now) {
			it.Value.(*call).handleRefusal()
		}
	}
}

// dispatch sends queued calls as long as a replica has room.
func (v *vm) dispatch(endpoint string) {
	q, now := v.queues[endpoint], v.sim.loop.now
	for q.Len() > 0 {
		cs := v.view.Candidates(endpoint)
		room := placement.DefaultProfile().Room(v.request(&call{}), cs)
		if !room.Any() {
			return
		}
		it, ok := q.Pop(now, func(it queue.Item) queue.Locality {
			return room.Locate(v.request(it.Value.(*call)))
		})
		if !ok {
			v.scheduleDispatch(q, endpoint)
			return
		}
		c := it.Value.(*call)
		delete(v.waiting, c)
		r := v.request(c)
		chosen, ok := v.pickers[endpoint].Pick(r, cs)
		if !ok { // the queue of the baseline ignores which replicas are excluded for the call
			c.handleRefusal()
			continue
		}
		if c.promptTokens > 0 {
			c.cause = v.causeOf(c, r, cs, chosen.Replica)
		}
		v.send(c, chosen.Replica)
	}
}

// scheduleDispatch schedules a dispatch for the earliest end of a hold, if the queue
// holds calls back for their replicas.
func (v *vm) scheduleDispatch(q callQueue, endpoint string) {
	if due, ok := q.NextDue(v.sim.loop.now); ok {
		v.sim.loop.after(due.Sub(v.sim.loop.now), func() { v.dispatch(endpoint) })
	}
}

// request describes the call to placement. It contains what the VM's view expects to
// be cached.
func (v *vm) request(c *call) placement.Request {
	return placement.Request{
		ID: c.id, Now: v.sim.loop.now, VM: v.name, DataCentre: v.dataCentre, ConcurrencyShare: 1.0 / vmCount,
		PromptTokens: c.promptTokens, CachedTokens: v.view.CachedTokens(c.run), Excluded: c.excluded,
	}
}

// send dispatches the call to a replica and updates the view at the end of the attempt.
func (v *vm) send(c *call, to string) {
	v.view.AddHolder(c.run, to)
	v.view.Begin(v.sim.loop.now, to)
	sent := v.sim.loop.now
	v.sim.enginesByName[to].send(&attempt{call: c, done: func(o outcome) {
		now := v.sim.loop.now
		v.view.End(now, to, !o.failed)
		if o.leaving {
			v.view.MarkLeaving(now, to)
		}
		if o.usage.PromptTokens > 0 {
			v.view.RecordUsage(now, to, c.run, o.usage)
		}
		used := float64(now.Sub(sent).Milliseconds())
		if q, ok := v.queues[c.endpoint].(*queue.Queue); ok {
			q.Charge(c.customer, 1, used-c.expectedCost())
		}
		if o.failed {
			v.handleFailure(c, to, o.runState)
		} else {
			c.program.attainedService += used
			v.sim.recordCall(c, now.Sub(sent))
			c.complete()
		}
		v.dispatch(c.endpoint)
	}})
}

// handleFailure retries a failed call at another replica, or refuses it if it may not
// be repeated or the retry budget is empty.
func (v *vm) handleFailure(c *call, to string, runState refusal.RunState) {
	if !retry.Decide(v.sim.loop.now, c.attempt, runState, c.promptTokens > 0, v.retryBudgets[c.endpoint]).Retry {
		c.handleRefusal()
		return
	}
	v.sim.retries++
	c.attempt++
	c.excluded[to] = true
	v.enqueue(c)
}

// endRun releases the cached prefixes of a run that has ended.
func (v *vm) endRun(run string) {
	v.view.EndRun(v.sim.loop.now, run)
	for _, r := range v.view.DueReleases(v.sim.loop.now, 1000) {
		v.sim.enginesByName[r.Replica].release(r.Run)
		v.view.ConfirmRelease(r)
	}
}
