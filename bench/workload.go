package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/queue"
	"hornbeamvale.example/hornbeamvale/internal/version/hashing"
)

const (
	customerCount  = 8
	largeCustomers = 3 // they send 80% of the programs
	largePart      = 0.8
	refusalPause   = time.Second
	toolPause      = 1.0 // seconds, mean of an exponential distribution
)

// deployment is one user's deployment (section 2.3 of the design) with a workload.
type deployment struct {
	name                        string
	model, service              string
	modelReplicas, serviceNodes int
	dataCentres                 []string
	programsPerSecond           float64
	meanTurns                   float64
	firstPrompt, turnPrompt     float64 // tokens, means
	completion                  float64 // tokens, mean
	serviceChance               float64 // a service call follows a model turn
	burstPeriod                 time.Duration
	burstPrograms               int // of customer 0 at once
}

func deployments() []deployment {
	return []deployment{
		{
			name: "Blue Mahoe", model: "cacao-agents", service: "batch-ledger", modelReplicas: 10, serviceNodes: 15,
			dataCentres:       []string{"annotto-bay", "port-maria", "highgate"},
			programsPerSecond: 5, meanTurns: 16, firstPrompt: 3000, turnPrompt: 500, completion: 80, serviceChance: 0.4,
			burstPeriod: 2 * time.Minute, burstPrograms: 150,
		},
		{
			name: "Trésorerie Armorique Solidaire", model: "conseil-llm", service: "caisse-app", modelReplicas: 8, serviceNodes: 10,
			dataCentres:       []string{"brest-a", "rennes-b", "vannes-c", "quimper-d"},
			programsPerSecond: 9, meanTurns: 7, firstPrompt: 2500, turnPrompt: 400, completion: 80, serviceChance: 0.7,
			burstPeriod: time.Minute, burstPrograms: 250,
		},
	}
}

// program is one run: a chain of turns with pauses.
type program struct {
	world    *world
	vm       *vm
	customer string
	run      string
	turns    int
	turn     int
	history  int64
	began    time.Time
	ideal    time.Duration // latency without any wait and with a full cache
	attained float64       // milliseconds at replicas
	calls    int
	rng      *rand.Rand // its own, so that every policy sees the same program
}

// call is one call of a program.
type call struct {
	program        *program
	id             string
	customer, run  string
	endpoint       string
	prompt         int64
	completion     int64
	serviceSeconds float64
	cause          cause
	attempt        int
	excluded       map[string]bool // replicas that failed the call
	conforms       bool            // within the customer's rate
	then           func()
}

// expectedCost is what the dispatcher of the daemon expects.
func (c *call) expectedCost() float64 {
	if c.prompt > 0 {
		return queue.ModelCost
	}
	return queue.ServiceCost
}

func (c *call) refused() {
	delete(c.program.vm.waiting, c)
	c.program.world.refusals[c.customer]++
	if c.conforms {
		c.program.world.conforming[c.customer]++
	}
	c.program.world.loop.after(refusalPause, func() { c.program.vm.submit(c) })
}

func (c *call) ended() { c.then() }

func (w *world) newProgram(customer int) {
	w.started++
	rng := rand.New(rand.NewPCG(w.seed, uint64(w.started)))
	p := &program{world: w, customer: fmt.Sprint("customer-", customer), run: fmt.Sprint("p:", w.started), began: w.loop.now, rng: rng}
	p.turns = 1 + int(rng.ExpFloat64()*(w.d.meanTurns-1))
	p.history = int64(w.d.firstPrompt * (0.5 + rng.Float64()))
	p.vm = w.vms[hashing.Sum(p.customer, p.run)%uint64(len(w.vms))]
	p.ideal = seconds(float64(p.history) / prefillRate)
	p.nextTurn()
}

func (p *program) nextTurn() {
	rng, d := p.rng, p.world.d
	added := int64(d.turnPrompt * rng.ExpFloat64())
	completion := 1 + int64(d.completion*rng.ExpFloat64())
	c := p.newCall(d.model)
	c.prompt, c.completion = p.history+added, completion
	p.history += added + completion
	p.ideal += seconds(float64(added)/prefillRate + float64(completion)*tokenSeconds)
	p.turn++
	c.then = func() {
		if rng.Float64() < d.serviceChance {
			p.callService()
			return
		}
		p.pause()
	}
	p.vm.submit(c)
}

func (p *program) callService() {
	c := p.newCall(p.world.d.service)
	c.serviceSeconds = 0.05 + 0.1*p.rng.ExpFloat64()
	p.ideal += seconds(c.serviceSeconds)
	c.then = p.pause
	p.vm.submit(c)
}

func (p *program) newCall(endpoint string) *call {
	p.calls++
	return &call{program: p, id: fmt.Sprint(p.run, "#", p.calls), customer: p.customer, run: p.run, endpoint: endpoint}
}

func (p *program) pause() {
	if p.turn >= p.turns {
		p.vm.endRun(p.run)
		p.world.finish(p)
		return
	}
	d := seconds(toolPause * p.rng.ExpFloat64())
	p.ideal += d
	p.world.loop.after(d, p.nextTurn)
}

// arrivals starts the Poisson arrivals and the bursts of customer 0.
func (w *world) arrivals() {
	var next func()
	next = func() {
		if w.loop.now.Sub(time.Unix(0, 0)) < w.duration {
			w.newProgram(w.drawCustomer())
			w.loop.after(seconds(w.arrivalRNG.ExpFloat64()/w.d.programsPerSecond), next)
		}
	}
	w.loop.after(0, next)
	for at := w.d.burstPeriod / 2; at < w.duration; at += w.d.burstPeriod {
		w.loop.after(at, func() {
			for range w.d.burstPrograms {
				w.newProgram(0)
			}
		})
	}
}

func (w *world) drawCustomer() int {
	u := w.arrivalRNG.Float64()
	if u < largePart {
		return int(math.Floor(u / largePart * largeCustomers))
	}
	return largeCustomers + w.arrivalRNG.IntN(customerCount-largeCustomers)
}
