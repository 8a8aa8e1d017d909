package main

import (
	"context"
	"fmt"
	"regexp"
	"slices"
	"sync"
	"time"

	"hornbeamvale.example/hornbeamvale/standin/internal/process/fleet"
)

const (
	takeoverPrograms = 30
	takeoverTimeout  = time.Minute
)

// measureTakeover kills one of three VMs. It measures how long the programs of this VM
// have no owner, and how many platform requests their recovery takes.
func measureTakeover(ctx context.Context, f *fleet.Fleet, o options, ttl time.Duration) error {
	f.LeaseTTL = ttl
	_, proxy, err := startFleet(ctx, f, o, 3)
	if err != nil {
		return err
	}
	l := &loadGenerator{options: o, vms: f.VMs}
	if err := l.warmUp(ctx); err != nil {
		return err
	}
	name := func(n int) string { return fmt.Sprintf("%s:takeover-%d", programName, n) }
	for n := range takeoverPrograms {
		if _, err := l.callTurn(ctx, n, name(n), 1, nil); err != nil {
			return err
		}
	}
	idle := proxy.snapshot()
	time.Sleep(ttl)
	idle = proxy.snapshot().minus(idle)
	if err := f.Kill(0); err != nil {
		return err
	}
	l.vms = f.VMs
	killedAt, before := time.Now(), proxy.snapshot()
	waits, refusals, err := l.waitUntilServed(ctx, name, killedAt)
	if err != nil {
		return err
	}
	took := time.Since(killedAt)
	cost := proxy.snapshot().minus(before)
	// idle is of three VMs during one TTL; the factor scales it to two VMs during took.
	idleFactor := took.Seconds() / ttl.Seconds() * 2 / 3
	fmt.Printf("TTL %s: %d of %d programs were not served at once; until served: median %s, longest %s; refusals meanwhile: %v\n",
		ttl, len(waits), takeoverPrograms, round(quantile(waits, 0.5)), round(quantile(waits, 1)), refusals)
	fmt.Printf("  platform until the last was served: %d writes, %d reads, %d object reads; idle VMs in that time: %.0f writes, %.0f reads\n",
		cost.writes, cost.reads, cost.gets, idleFactor*float64(idle.writes), idleFactor*float64(idle.reads))
	return nil
}

// refusalCode matches the code of a refusal in the text of an error.
var refusalCode = regexp.MustCompile(`"code":"([a-z_]+)"`)

// waitUntilServed repeats turn 2 of every program until it is served. It returns the
// times since killedAt for programs that were not served at once, and the number of
// refusals by code. The codes tell what a program waited for: it also waits if the
// killed VM granted the tokens of its customer's rate.
func (l *loadGenerator) waitUntilServed(ctx context.Context, name func(int) string, killedAt time.Time) ([]time.Duration, map[string]int, error) {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	var mu sync.Mutex
	var waits []time.Duration
	refusals := map[string]int{}
	var wg sync.WaitGroup
	var failed error
	for n := range takeoverPrograms {
		wg.Go(func() {
			// A call that takes more than half a second counts as not served at once, since
			// the system may hold a call until the slot has a new owner.
			for begun := time.Now(); ; time.Sleep(failureDelay) {
				_, err := l.callTurn(ctx, n, name(n), 2, nil)
				mu.Lock()
				if err != nil {
					code := "other"
					if found := refusalCode.FindStringSubmatch(err.Error()); found != nil {
						code = found[1]
					}
					refusals[code]++
				}
				if err == nil && time.Since(begun) > time.Second/2 {
					waits = append(waits, time.Since(killedAt))
				}
				if ctx.Err() != nil {
					failed = err
				}
				mu.Unlock()
				if err == nil || ctx.Err() != nil {
					return
				}
			}
		})
	}
	wg.Wait()
	slices.Sort(waits)
	return waits, refusals, failed
}
