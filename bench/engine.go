package main

import (
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/replica"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// Rates of the modelled replicas.
const (
	prefillRate  = 8000.0               // tokens/s
	tokenSeconds = 0.015                // per generated token in an empty batch
	fullBatch    = 0.5                  // a full batch lengthens each token by this part
	eventLoss    = 0.05                 // part of the pages of cache events that are lost
	reportPeriod = 2 * time.Second      // a VM of the daemon asks 16 replicas a second
	refusedAfter = 3 * time.Millisecond // a refused connection or request
	reportLag    = 500 * time.Millisecond
)

type cached struct {
	tokens int64
	used   time.Time
}

// engine is one replica: a batch with a queue in order of arrival, and a prefix
// cache with eviction of the least recently used run.
type engine struct {
	loop          *loop
	name          string
	slots         int
	cacheCapacity int64
	cacheUsed     int64
	cache         map[string]cached
	running       int
	waiting       []*attempt
	events        []replica.CacheEvent // since the last page
	eventTimes    []time.Time
	sequence      uint64
	world         *world
	inFlight      map[*attempt]bool
	down, leaving bool
}

// attempt is one dispatch of a call to a replica.
type attempt struct {
	call  *call
	done  func(outcome)
	ended bool
}

// outcome is the end of an attempt.
type outcome struct {
	usage   replica.Usage
	failed  bool
	run     refusal.RunState // of a failed one
	leaving bool
}

func (a *attempt) end(o outcome) {
	if !a.ended {
		a.ended = true
		a.done(o)
	}
}

func (e *engine) send(a *attempt) {
	if e.down || e.leaving {
		e.loop.after(refusedAfter, func() { a.end(outcome{failed: true, run: refusal.NotRun, leaving: e.leaving}) })
		return
	}
	e.inFlight[a] = true
	e.waiting = append(e.waiting, a)
	e.fill()
}

func (e *engine) fill() {
	for e.running < e.slots && len(e.waiting) > 0 {
		a := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.start(a)
	}
}

func (e *engine) start(a *attempt) {
	e.running++
	c := a.call
	held := min(c.prompt, e.cache[c.run].tokens)
	e.world.countPrompt(c, held)
	busy := 1 + fullBatch*float64(e.running)/float64(e.slots)
	d := c.serviceSeconds*busy + float64(c.prompt-held)/prefillRate + float64(c.completion)*tokenSeconds*busy
	e.loop.after(seconds(d), func() {
		if a.ended {
			return // the replica failed meanwhile
		}
		e.running--
		delete(e.inFlight, a)
		if c.prompt > 0 && !e.leaving {
			e.store(c.run, c.prompt+c.completion)
		}
		a.end(outcome{usage: replica.Usage{Prompt: c.prompt, Cached: held, Completion: c.completion}})
		e.fill()
	})
}

func (e *engine) store(run string, tokens int64) {
	e.cacheUsed += tokens - e.cache[run].tokens
	e.cache[run] = cached{tokens, e.loop.now}
	for e.cacheUsed > e.cacheCapacity && len(e.cache) > 1 {
		e.evict(e.oldest())
	}
}

func (e *engine) oldest() string {
	var run string
	for r, c := range e.cache {
		if o := e.cache[run]; run == "" || c.used.Before(o.used) || c.used.Equal(o.used) && r < run {
			run = r
		}
	}
	return run
}

func (e *engine) evict(run string) {
	e.cacheUsed -= e.cache[run].tokens
	delete(e.cache, run)
	e.sequence++
	e.events = append(e.events, replica.CacheEvent{Sequence: e.sequence, Kind: replica.CacheEvicted, Run: run})
	e.eventTimes = append(e.eventTimes, e.loop.now)
}

func (e *engine) release(run string) {
	if c, ok := e.cache[run]; ok {
		e.cacheUsed -= c.tokens
		delete(e.cache, run)
	}
}

// publish sends the load and the cache events to all VMs, late and with gaps.
func (e *engine) publish() {
	if e.down {
		return
	}
	load := replica.Load{Running: e.running, Waiting: len(e.waiting), Slots: e.slots, Age: reportLag}
	page := replica.CacheEventPage{Instance: "1", Events: e.events}
	for i, at := range e.eventTimes {
		page.Events[i].Age = e.loop.now.Sub(at) + reportLag
	}
	e.events, e.eventTimes = nil, nil
	for _, v := range e.world.vms {
		lost := !e.world.options.cacheEvents || e.loop.rng.Float64() < eventLoss
		e.loop.after(reportLag, func() {
			v.view.Report(e.loop.now, e.name, load)
			if !lost {
				v.view.ApplyCacheEvents(e.loop.now, e.name, page)
			}
		})
	}
}
