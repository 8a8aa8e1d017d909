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

// callQueue is what the default and the baseline queue have in common.
type callQueue interface {
	Push(now time.Time, it queue.Item) []queue.Item
	Pop(now time.Time, locate func(queue.Item) queue.Locality) (queue.Item, bool)
	Expire(now time.Time) []queue.Item
	NextDue(now time.Time) (time.Time, bool)
	Len() int
}

// picker chooses a replica.
type picker interface {
	Pick(r placement.Request, cs []replica.Candidate) (replica.Candidate, bool)
}

// policy is one way of routing and queueing.
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

// vm owns the programs of its slots: one queue for each endpoint, its own view.
type vm struct {
	world      *world
	name       string
	dataCentre string
	view       *replica.View
	queues     map[string]callQueue
	pickers    map[string]picker
	waiting    map[*call]bool
	budgets    map[string]*retry.Budget
}

// submit takes a new request of a caller.
func (v *vm) submit(c *call) {
	v.budgets[c.endpoint].CountRequest(v.world.loop.now)
	c.attempt, c.excluded = 1, map[string]bool{}
	c.conforms = v.world.conforms(c.customer)
	v.enqueue(c)
}

// enqueue queues an attempt; refused is called if the queue drops it.
func (v *vm) enqueue(c *call) {
	if c.attempt > 1 && len(c.excluded) == len(v.view.Candidates(c.endpoint)) {
		c.refused()
		return
	}
	it := queue.Item{
		ID: fmt.Sprint(c.id, "/", c.attempt), Customer: c.customer, Weight: 1, Cost: c.expectedCost(),
		Attained: c.program.attained, Deadline: v.world.loop.now.Add(queue.MaxWait), Value: c,
	}
	v.waiting[c] = true
	for _, dropped := range v.queues[c.endpoint].Push(v.world.loop.now, it) {
		dropped.Value.(*call).refused()
	}
	v.dispatch(c.endpoint)
}

func (v *vm) expire() {
	for _, endpoint := range []string{v.world.d.model, v.world.d.service} {
		for _, it := range v.queues[endpoint].Expire(v.world.loop.now) {
			it.Value.(*call).refused()
		}
	}
}

// dispatch sends waiting calls while a replica has room.
func (v *vm) dispatch(endpoint string) {
	q, now := v.queues[endpoint], v.world.loop.now
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
			v.wake(q, endpoint)
			return
		}
		c := it.Value.(*call)
		delete(v.waiting, c)
		r := v.request(c)
		chosen, ok := v.pickers[endpoint].Pick(r, cs)
		if !ok { // the baseline's queue does not know that the call may not go there
			c.refused()
			continue
		}
		if c.prompt > 0 {
			c.cause = v.causeOf(c, r, cs, chosen.Replica)
		}
		v.send(c, chosen.Replica)
	}
}

// wake dispatches again when a call need not be kept for its replica any longer.
func (v *vm) wake(q callQueue, endpoint string) {
	if due, ok := q.NextDue(v.world.loop.now); ok {
		v.world.loop.after(due.Sub(v.world.loop.now), func() { v.dispatch(endpoint) })
	}
}

func (v *vm) request(c *call) placement.Request {
	return placement.Request{
		ID: c.id, Now: v.world.loop.now, VM: v.name, DataCentre: v.dataCentre, ConcurrencyShare: 1.0 / vmCount,
		PromptTokens: c.prompt, Prefixes: v.view.Prefixes(c.run), Excluded: c.excluded,
	}
}

func (v *vm) send(c *call, to string) {
	v.view.AddHolder(c.run, to)
	v.view.Begin(v.world.loop.now, to)
	sent := v.world.loop.now
	v.world.engines[to].send(&attempt{call: c, done: func(o outcome) {
		now := v.world.loop.now
		v.view.End(now, to, !o.failed)
		if o.leaving {
			v.view.MarkLeaving(now, to)
		}
		if o.usage.Prompt > 0 {
			v.view.RecordUsage(now, to, c.run, o.usage)
		}
		used := float64(now.Sub(sent).Milliseconds())
		if q, ok := v.queues[c.endpoint].(*queue.Queue); ok {
			q.Charge(c.customer, 1, used-c.expectedCost())
		}
		if o.failed {
			v.failed(c, to, o.run)
		} else {
			c.program.attained += used
			v.world.serve(c, now.Sub(sent))
			c.ended()
		}
		v.dispatch(c.endpoint)
	}})
}

// failed retries a call at another replica or refuses it.
func (v *vm) failed(c *call, to string, run refusal.RunState) {
	if !retry.Decide(v.world.loop.now, c.attempt, run, c.prompt > 0, v.budgets[c.endpoint]).Retry {
		c.refused()
		return
	}
	v.world.retries++
	c.attempt++
	c.excluded[to] = true
	v.enqueue(c)
}

// endRun releases the caches of an ended run.
func (v *vm) endRun(run string) {
	v.view.EndRun(v.world.loop.now, run)
	for _, r := range v.view.DueReleases(v.world.loop.now, 1000) {
		v.world.engines[r.Replica].release(r.Run)
		v.view.ConfirmRelease(r)
	}
}
