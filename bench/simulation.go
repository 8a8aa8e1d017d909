package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/replica"
	"hornbeamvale.example/hornbeamvale/internal/process/retry"
	"hornbeamvale.example/hornbeamvale/internal/version"
	"hornbeamvale.example/hornbeamvale/operator"
)

const (
	modelSlots       = 24
	serviceSlots     = 8
	modelCacheTokens = 150_000 // capacity of each replica
	maxConcurrent    = 32      // the configuration's default
)

// simulation is the simulation of one deployment under one policy.
type simulation struct {
	loop       *eventLoop
	deployment deployment
	duration   time.Duration
	seed       uint64
	// arrivalRNG is used for arrivals only, so that they are the same under every policy.
	arrivalRNG         *rand.Rand
	vms                []*vm
	enginesByName      map[string]*engine
	engines            []*engine
	vmList             []platform.VM // the VMs of the replicas, in the order of engines
	version            *version.Version
	options            options
	buckets            map[string]*tokenBucket // by customer
	conformingRefusals map[string]int          // refused requests within the rate, by customer
	retries            int

	started, finished              int // programs
	promptTokens, recomputedTokens int64
	wastedTokens                   int64          // recomputed although another replica had them cached
	refusals, calls                map[string]int // by customer
	causes                         map[cause]recomputation
	latencies                      []float64            // of programs, in seconds
	slowdowns                      map[string][]float64 // latencies divided by ideal latencies, by customer
	busySeconds, modelCalls        float64              // time in flight and number of model calls
}

func newSimulation(d deployment, p policy, seed uint64, duration time.Duration, o options) (*simulation, error) {
	sim := &simulation{
		options: o, buckets: map[string]*tokenBucket{}, conformingRefusals: map[string]int{},
		loop: newEventLoop(seed), deployment: d, duration: duration, seed: seed, arrivalRNG: rand.New(rand.NewPCG(seed, 0)), enginesByName: map[string]*engine{},
		refusals: map[string]int{}, calls: map[string]int{}, slowdowns: map[string][]float64{},
		causes: map[cause]recomputation{},
	}
	list := sim.addEngines(d.model, d.modelReplicas, modelSlots, modelCacheTokens)
	list = append(list, sim.addEngines(d.service, d.serviceReplicas, serviceSlots, 0)...)
	ver, err := version.Compile(&operator.Document{
		Fleet: operator.Fleet{Seats: vmCount},
		Endpoints: []operator.Endpoint{
			{Name: d.model, Kind: operator.KindModel, MaxConcurrent: maxConcurrent},
			{Name: d.service, Kind: operator.KindService, MaxConcurrent: maxConcurrent},
		},
	}, 1)
	if err != nil {
		return nil, fmt.Errorf("bench: compile configuration: %w", err)
	}
	sim.vmList, sim.version = list, ver
	for i := range vmCount {
		sim.addVM(i, p, list, ver)
	}
	return sim, nil
}

func (sim *simulation) addEngines(endpoint string, n, slots int, cache int64) []platform.VM {
	var list []platform.VM
	for i := range n {
		name := fmt.Sprintf("%s-%02d", endpoint, i)
		e := &engine{loop: sim.loop, name: name, slots: slots, cacheCapacity: cache, cache: map[string]cachedRun{}, sim: sim, inFlight: map[*attempt]bool{}}
		sim.enginesByName[name] = e
		sim.engines = append(sim.engines, e)
		list = append(list, platform.VM{
			ID: name, Address: name, Endpoint: endpoint, State: platform.VMLive,
			DataCentre: sim.deployment.dataCentres[i%len(sim.deployment.dataCentres)],
		})
	}
	return list
}

func (sim *simulation) addVM(i int, p policy, list []platform.VM, ver *version.Version) {
	v := &vm{sim: sim, name: fmt.Sprint("vm-", i), dataCentre: sim.deployment.dataCentres[i%len(sim.deployment.dataCentres)]}
	v.view = replica.NewView(v.name)
	v.waiting = map[*call]bool{}
	v.retryBudgets = map[string]*retry.Budget{sim.deployment.model: {}, sim.deployment.service: {}}
	v.view.Apply(sim.loop.now, list, ver)
	v.queues = map[string]callQueue{sim.deployment.model: p.queue(), sim.deployment.service: p.queue()}
	v.pickers = map[string]picker{sim.deployment.model: p.pick(), sim.deployment.service: p.pick()}
	sim.vms = append(sim.vms, v)
	sim.loop.every(100*time.Millisecond, v.refuseExpired)
}

// run simulates the workload. It then continues until all programs have ended, for at
// most nine times the duration of the workload.
func (sim *simulation) run() {
	for _, e := range sim.engines {
		sim.loop.every(reportPeriod, e.publish)
	}
	sim.scheduleArrivals()
	sim.scheduleFault()
	sim.loop.runUntil(sim.loop.now.Add(10*sim.duration), func() bool {
		return sim.loop.now.Sub(time.Unix(0, 0)) > sim.duration && sim.finished == sim.started
	})
}

// recordCall counts a completed call.
func (sim *simulation) recordCall(c *call, took time.Duration) {
	sim.calls[c.customer]++
	if c.promptTokens > 0 {
		sim.modelCalls++
		sim.busySeconds += took.Seconds()
	}
}

// recordProgram records the latency and the slowdown of an ended program.
func (sim *simulation) recordProgram(p *program) {
	sim.finished++
	took := sim.loop.now.Sub(p.began)
	sim.latencies = append(sim.latencies, took.Seconds())
	sim.slowdowns[p.customer] = append(sim.slowdowns[p.customer], took.Seconds()/p.idealLatency.Seconds())
}
