package driver

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

// The lockout case: six machines are added while twelve tenants with small usage caps run
// programs through the machines of another zone.
const (
	contact       = 3 * time.Second // contact_ms
	smallTenants  = 12
	smallRate     = 16
	lockoutBefore = 10 * time.Second // traffic before the machines are added
	lockoutAfter  = 35 * time.Second // and after
	addedMachines = 6                // the spare machines of the site file
	minTries      = 5                // tries of a turn that reach no replica, from the rule
)

func init() { addCase("lockout", 10, lockout) }

func lockout(ctx context.Context, c *world) (bool, error) {
	all := newRuns(c.record)
	var replicas []*replica
	for i := range 5 {
		r, err := startReplica(c.net.prefix+"2", "annotto-bay", fmt.Sprintf("i-%02d", i), replicaKind{
			service: modelService, slots: 8, work: 15 * time.Millisecond, events: 5, gap: 8 * time.Millisecond,
		}, c.store, all)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
	}
	tenants := []tenant{{Name: "hule930", APIKeys: []string{"key-hule930"}}}
	for i := range smallTenants {
		name := fmt.Sprintf("mipo%d", 101+37*i)
		tenants = append(tenants, tenant{Name: name, APIKeys: []string{"key-" + name}, Priority: 1, RatePerS: smallRate, Burst: smallRate})
	}
	c.putConfig(tenants)
	for i := range 4 {
		zone := "annotto-bay"
		if i == 3 {
			zone = "port-maria"
		}
		if _, err := c.addMachine(zone); err != nil {
			return false, err
		}
	}
	if err := c.awaitReady(ctx); err != nil {
		return false, err
	}
	c.record.say("traffic begins")
	log := &turnLog{record: c.record}
	traffic, stop := context.WithTimeout(ctx, lockoutBefore+lockoutAfter)
	defer stop()
	full := watchFill(traffic, replicas)
	var wait sync.WaitGroup
	for _, zone := range []string{"annotto-bay", "port-maria"} {
		wait.Go(func() {
			c.arrivals(traffic, &wait, log, 20, programPlan{tenant: "hule930", key: "key-hule930", zone: zone, turns: 2, pause: 200 * time.Millisecond, aim: 2 * time.Second})
		})
	}
	for _, t := range tenants[1:] {
		wait.Go(func() {
			c.arrivals(traffic, &wait, log, 0.45, programPlan{tenant: t.Name, key: t.APIKeys[0], zone: "annotto-bay", turns: 9, pause: 1500 * time.Millisecond, aim: 16 * time.Second})
		})
	}
	if !sleep(ctx, lockoutBefore) {
		return false, ctx.Err()
	}
	added := time.Now()
	if c.trouble {
		c.record.say("%d machines are added in zone port-maria", addedMachines)
		for range addedMachines {
			if _, err := c.addMachine("port-maria"); err != nil {
				return false, err
			}
		}
	}
	wait.Wait()
	c.record.say("traffic ends")
	return c.judgeLockout(log, all, full(), added), ctx.Err()
}

// watchFill samples the part of the replicas' slots that is taken until ctx ends. The
// returned function gives the largest sample.
func watchFill(ctx context.Context, replicas []*replica) func() float64 {
	most, done := 0.0, make(chan struct{})
	go func() {
		defer close(done)
		for sleep(ctx, 50*time.Millisecond) {
			taken, slots := 0, 0
			for _, r := range replicas {
				taken, slots = taken+int(r.waiting.Load()), slots+r.kind.slots
			}
			most = max(most, float64(taken)/float64(slots))
		}
	}()
	return func() float64 { <-done; return most }
}

// judgeLockout applies the rule LOST for agent programs to the turns.
func (c *world) judgeLockout(log *turnLog, all *runs, full float64, added time.Time) bool {
	reached := func(t *turn) bool {
		return slices.ContainsFunc(t.tries, func(r result) bool { return all.count(r.id) > 0 })
	}
	first, firstReached, lost := 0, 0, 0
	refusedAt := map[string]int{} // 429s after the machines were added, by tenant and machine
	var lastRefusal time.Time
	var longest time.Duration
	tenantTurns, tenantServed := map[string]int{}, map[string]int{}
	for _, t := range log.all {
		if len(t.tries) == 0 || t.tries[0].sent.Before(added) {
			continue
		}
		tenantTurns[t.tenant]++
		if reached(t) {
			tenantServed[t.tenant]++
		}
		for _, r := range t.tries {
			if r.status == 429 {
				refusedAt[t.tenant+" at "+r.machine.name]++
				longest = max(longest, r.retryAfter)
				if r.sent.After(lastRefusal) {
					lastRefusal = r.sent
				}
			}
		}
		if t.index == 1 {
			first++
			if reached(t) {
				firstReached++
			}
			continue
		}
		if c.lostTurn(t, all) {
			lost++
			c.record.line("LOST: turn %d of %s tenant=%s goes on from %s, answered whole %s before; %d tries reached no replica", t.index, t.program, t.tenant,
				t.previous, t.tries[0].sent.Sub(t.previousEnded).Round(time.Millisecond), len(t.tries))
		}
	}
	for _, key := range sortedKeys(refusedAt) {
		c.record.line("429 after the change: tenant %s: %d times", key, refusedAt[key])
	}
	for _, key := range sortedKeys(tenantTurns) {
		c.record.line("tenant %s: %d turns after the change, %d reached a replica", key, tenantTurns[key], tenantServed[key])
	}
	share := float64(firstReached) / float64(max(1, first))
	c.record.say("first turns that reached a replica: %d of %d; replicas at most %.0f%% full", firstReached, first, 100*full)
	if len(refusedAt) > 0 {
		c.record.say("last 429 %.1f s after the change; longest Retry-After %s", lastRefusal.Sub(added).Seconds(), longest)
	}
	c.record.say("turns that reached no replica in %d tries or more at machines in touch: %d", minTries, lost)
	return lost > 0 && share >= 0.9 && full < 0.5
}

// lostTurn reports whether a turn that goes on from one that was answered whole has reached
// no replica in enough tries at machines in touch, before the program's aim.
func (c *world) lostTurn(t *turn, all *runs) bool {
	counted := 0
	for _, r := range t.tries {
		up := r.machine.upSince()
		if all.count(r.id) > 0 {
			return false
		}
		if !up.IsZero() && r.sent.Sub(up) > contact && r.ended.Before(t.aim) {
			counted++
		}
	}
	return counted >= minTries && t.tries[0].sent.Sub(t.previousEnded) < retentionS*time.Second
}

func sortedKeys(m map[string]int) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
