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
	customerCount       = 8
	largeCustomers      = 3   // they start 80% of the programs
	largeCustomersShare = 0.8 // of the programs
	refusalRetryDelay   = time.Second
	meanToolPause       = 1.0 // seconds, mean of an exponential distribution
)

// deployment is the deployment of one user (section 2.3 of the design) with a workload.
type deployment struct {
	name                            string
	model, service                  string
	modelReplicas, serviceReplicas  int
	dataCentres                     []string
	programsPerSecond               float64
	meanTurns                       float64
	meanFirstPrompt, meanTurnPrompt float64 // tokens
	meanCompletion                  float64 // tokens
	serviceProbability              float64 // of a service call after a model turn
	burstPeriod                     time.Duration
	burstPrograms                   int // started at once by customer 0 in each burst
}

func deployments() []deployment {
	return []deployment{
		{
			name: "Blue Mahoe", model: "cacao-agents", service: "batch-ledger", modelReplicas: 10, serviceReplicas: 15,
			dataCentres:       []string{"annotto-bay", "port-maria", "highgate"},
			programsPerSecond: 5, meanTurns: 16, meanFirstPrompt: 3000, meanTurnPrompt: 500, meanCompletion: 80, serviceProbability: 0.4,
			burstPeriod: 2 * time.Minute, burstPrograms: 150,
		},
		{
			name: "Trésorerie Armorique Solidaire", model: "conseil-llm", service: "caisse-app", modelReplicas: 8, serviceReplicas: 10,
			dataCentres:       []string{"brest-a", "rennes-b", "vannes-c", "quimper-d"},
			programsPerSecond: 9, meanTurns: 7, meanFirstPrompt: 2500, meanTurnPrompt: 400, meanCompletion: 80, serviceProbability: 0.7,
			burstPeriod: time.Minute, burstPrograms: 250,
		},
	}
}

// program is one program run: a sequence of turns with pauses between them.
type program struct {
	sim             *simulation
	vm              *vm
	customer        string
	run             string
	turns           int
	turn            int
	historyTokens   int64
	began           time.Time
	idealLatency    time.Duration // latency without queueing, with every earlier token cached
	attainedService float64       // service received at replicas, in milliseconds
	callCount       int
	rng             *rand.Rand // separate, so that the program is the same under every policy
}

// call is one call of a program.
type call struct {
	program          *program
	id               string
	customer, run    string
	endpoint         string
	promptTokens     int64
	completionTokens int64
	serviceSeconds   float64
	cause            cause
	attempt          int
	excluded         map[string]bool // replicas that failed the call
	conforms         bool            // within the customer's rate
	onCompletion     func()
}

// expectedCost returns the expected service that the dispatcher of the daemon uses.
func (c *call) expectedCost() float64 {
	if c.promptTokens > 0 {
		return queue.ModelCost
	}
	return queue.ServiceCost
}

// handleRefusal counts the refusal and submits the call again after
// refusalRetryDelay.
func (c *call) handleRefusal() {
	delete(c.program.vm.waiting, c)
	c.program.sim.refusals[c.customer]++
	if c.conforms {
		c.program.sim.conformingRefusals[c.customer]++
	}
	c.program.sim.loop.after(refusalRetryDelay, func() { c.program.vm.submit(c) })
}

func (c *call) complete() { c.onCompletion() }

// newProgram starts a program of the customer. Its random numbers depend on the seed
// and on its number only.
func (sim *simulation) newProgram(customer int) {
	sim.started++
	rng := rand.New(rand.NewPCG(sim.seed, uint64(sim.started)))
	p := &program{sim: sim, customer: fmt.Sprint("customer-", customer), run: fmt.Sprint("p:", sim.started), began: sim.loop.now, rng: rng}
	p.turns = 1 + int(rng.ExpFloat64()*(sim.deployment.meanTurns-1))
	p.historyTokens = int64(sim.deployment.meanFirstPrompt * (0.5 + rng.Float64()))
	p.vm = sim.vms[hashing.Sum(p.customer, p.run)%uint64(len(sim.vms))]
	p.idealLatency = seconds(float64(p.historyTokens) / prefillRate)
	p.nextTurn()
}

// nextTurn submits the next model call, whose prompt is the history and new tokens. A
// service call or a pause follows.
func (p *program) nextTurn() {
	rng, d := p.rng, p.sim.deployment
	added := int64(d.meanTurnPrompt * rng.ExpFloat64())
	completion := 1 + int64(d.meanCompletion*rng.ExpFloat64())
	c := p.newCall(d.model)
	c.promptTokens, c.completionTokens = p.historyTokens+added, completion
	p.historyTokens += added + completion
	p.idealLatency += seconds(float64(added)/prefillRate + float64(completion)*secondsPerToken)
	p.turn++
	c.onCompletion = func() {
		if rng.Float64() < d.serviceProbability {
			p.callService()
			return
		}
		p.pause()
	}
	p.vm.submit(c)
}

func (p *program) callService() {
	c := p.newCall(p.sim.deployment.service)
	c.serviceSeconds = 0.05 + 0.1*p.rng.ExpFloat64()
	p.idealLatency += seconds(c.serviceSeconds)
	c.onCompletion = p.pause
	p.vm.submit(c)
}

func (p *program) newCall(endpoint string) *call {
	p.callCount++
	return &call{program: p, id: fmt.Sprint(p.run, "#", p.callCount), customer: p.customer, run: p.run, endpoint: endpoint}
}

// pause starts the next turn after a pause, or ends the program after its last turn.
func (p *program) pause() {
	if p.turn >= p.turns {
		p.vm.endRun(p.run)
		p.sim.recordProgram(p)
		return
	}
	d := seconds(meanToolPause * p.rng.ExpFloat64())
	p.idealLatency += d
	p.sim.loop.after(d, p.nextTurn)
}

// scheduleArrivals schedules the Poisson arrivals of programs and the bursts of
// customer 0.
func (sim *simulation) scheduleArrivals() {
	var next func()
	next = func() {
		if sim.loop.now.Sub(time.Unix(0, 0)) < sim.duration {
			sim.newProgram(sim.drawCustomer())
			sim.loop.after(seconds(sim.arrivalRNG.ExpFloat64()/sim.deployment.programsPerSecond), next)
		}
	}
	sim.loop.after(0, next)
	for at := sim.deployment.burstPeriod / 2; at < sim.duration; at += sim.deployment.burstPeriod {
		sim.loop.after(at, func() {
			for range sim.deployment.burstPrograms {
				sim.newProgram(0)
			}
		})
	}
}

// drawCustomer returns the number of a random customer.
func (sim *simulation) drawCustomer() int {
	u := sim.arrivalRNG.Float64()
	if u < largeCustomersShare {
		return int(math.Floor(u / largeCustomersShare * largeCustomers))
	}
	return largeCustomers + sim.arrivalRNG.IntN(customerCount-largeCustomers)
}
