package main

import (
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/replica"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// Service times and reports of the modelled replicas.
const (
	prefillRate       = 8000.0                 // tokens/s
	secondsPerToken   = 0.015                  // per generated token in an empty batch
	fullBatchSlowdown = 0.5                    // fraction by which a full batch slows each token down
	cacheEventLoss    = 0.05                   // fraction of the batches of cache events that are lost
	reportPeriod      = 2 * time.Second        // a VM of the daemon polls 16 replicas a second
	refusalLatency    = 3 * time.Millisecond   // until a refused connection or request is reported
	reportLag         = 500 * time.Millisecond // from a report to its arrival at the VMs
)

// cachedRun is the cached prefix of one run.
type cachedRun struct {
	tokens int64
	used   time.Time
}

// engine models one replica, of the model endpoint or the service endpoint. It has a batch
// with a FIFO queue, and a prefix cache that evicts the least recently used run.
type engine struct {
	loop          *eventLoop
	name          string
	slots         int
	cacheCapacity int64                // tokens
	cacheUsed     int64                // tokens
	cache         map[string]cachedRun // by run
	running       int
	waiting       []*attempt
	events        []replica.CacheEvent // since the last batch
	eventTimes    []time.Time          // times of events, by index
	sequence      uint64
	sim           *simulation
	inFlight      map[*attempt]bool
	down, leaving bool
}

// attempt is one dispatch of a call to a replica. done is called once, at its end.
type attempt struct {
	call  *call
	done  func(outcome)
	ended bool
}

// outcome is the result of an attempt.
type outcome struct {
	usage    replica.Usage
	failed   bool
	runState refusal.RunState // set for a failed attempt
	leaving  bool             // the replica refused the attempt because it is leaving
}

func (a *attempt) end(o outcome) {
	if !a.ended {
		a.ended = true
		a.done(o)
	}
}

func (e *engine) send(a *attempt) {
	if e.down || e.leaving {
		e.loop.after(refusalLatency, func() { a.end(outcome{failed: true, runState: refusal.NotRun, leaving: e.leaving}) })
		return
	}
	e.inFlight[a] = true
	e.waiting = append(e.waiting, a)
	e.fillSlots()
}

func (e *engine) fillSlots() {
	for e.running < e.slots && len(e.waiting) > 0 {
		a := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.start(a)
	}
}

// start runs the attempt in the batch. Its service time grows with the batch at the
// start and with the prompt tokens that are not cached.
func (e *engine) start(a *attempt) {
	e.running++
	c := a.call
	cachedTokens := min(c.promptTokens, e.cache[c.run].tokens)
	e.sim.countPrompt(c, cachedTokens)
	batchFactor := 1 + fullBatchSlowdown*float64(e.running)/float64(e.slots)
	d := c.serviceSeconds*batchFactor + float64(c.promptTokens-cachedTokens)/prefillRate + float64(c.completionTokens)*secondsPerToken*batchFactor
	e.loop.after(seconds(d), func() {
		if a.ended {
			return // the replica has failed in the meantime
		}
		e.running--
		delete(e.inFlight, a)
		if c.promptTokens > 0 && !e.leaving {
			e.store(c.run, c.promptTokens+c.completionTokens)
		}
		a.end(outcome{usage: replica.Usage{PromptTokens: c.promptTokens, CachedTokens: cachedTokens, CompletionTokens: c.completionTokens}})
		e.fillSlots()
	})
}

// store caches the prefix of a run and evicts other runs until the cache fits. The
// last run is not evicted, even if it is larger than the capacity.
func (e *engine) store(run string, tokens int64) {
	e.cacheUsed += tokens - e.cache[run].tokens
	e.cache[run] = cachedRun{tokens, e.loop.now}
	for e.cacheUsed > e.cacheCapacity && len(e.cache) > 1 {
		e.evict(e.leastRecentlyUsed())
	}
}

func (e *engine) leastRecentlyUsed() string {
	var run string
	for r, c := range e.cache {
		if o := e.cache[run]; run == "" || c.used.Before(o.used) || c.used.Equal(o.used) && r < run {
			run = r
		}
	}
	return run
}

// evict removes a run from the cache and records the event for the next report.
func (e *engine) evict(run string) {
	e.cacheUsed -= e.cache[run].tokens
	delete(e.cache, run)
	e.sequence++
	e.events = append(e.events, replica.CacheEvent{Sequence: e.sequence, Kind: replica.CacheEvicted, Run: run})
	e.eventTimes = append(e.eventTimes, e.loop.now)
}

// release removes a run from the cache at the request of a VM. It records no event.
func (e *engine) release(run string) {
	if c, ok := e.cache[run]; ok {
		e.cacheUsed -= c.tokens
		delete(e.cache, run)
	}
}

// publish sends the load and the cache events to all VMs. They arrive after
// reportLag, and cacheEventLoss of the event batches are lost.
func (e *engine) publish() {
	if e.down {
		return
	}
	load := replica.Load{Running: e.running, Waiting: len(e.waiting), BatchLimit: e.slots, Age: reportLag}
	batch := replica.CacheEventBatch{Instance: "1", Events: e.events}
	for i, at := range e.eventTimes {
		batch.Events[i].Age = e.loop.now.Sub(at) + reportLag
	}
	e.events, e.eventTimes = nil, nil
	for _, v := range e.sim.vms {
		lost := !e.sim.options.cacheEvents || e.loop.rng.Float64() < cacheEventLoss
		e.loop.after(reportLag, func() {
			v.view.Report(e.loop.now, e.name, load)
			if !lost {
				v.view.ApplyCacheEvents(e.loop.now, e.name, batch)
			}
		})
	}
}
