package driver

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// The return case: a consumer comes back after the retention of its program's turns and is
// served nevertheless. Then all processes are killed, and it goes on from the turn that it has
// just had.
const (
	returnPrograms = 5
	returnIdle     = 97 * time.Second
	returnDown     = time.Second
)

func init() { addCase("return", 2, returning) }

func returning(ctx context.Context, c *world) (bool, error) {
	all := newRuns(c.record)
	for i := range 3 {
		if _, err := startReplica(c.net.prefix+"2", "annotto-bay", fmt.Sprintf("i-%02d", i), replicaKind{
			service: modelService, slots: 8, work: 10 * time.Millisecond, events: 5, gap: 2 * time.Millisecond,
		}, c.store, all); err != nil {
			return false, err
		}
	}
	c.putConfig([]tenant{{Name: "hule930", APIKeys: []string{"key-hule930"}}})
	for range 2 {
		if _, err := c.addMachine("annotto-bay"); err != nil {
			return false, err
		}
	}
	if err := c.awaitReady(ctx); err != nil {
		return false, err
	}
	programs, previous := make([]string, returnPrograms), make([]string, returnPrograms)
	for i := range programs {
		programs[i] = newID()[:12]
		for range 2 {
			r := c.sendKept(ctx, c.machines[i%2], turnPath, programs[i], previous[i])
			if !r.ok() {
				return false, fmt.Errorf("a turn failed: status %d, %v", r.status, r.err)
			}
			previous[i] = r.id
		}
	}
	c.record.say("each program has had two turns and is idle for %s; the route keeps turns for %d s", returnIdle, retentionS)
	sleep(ctx, returnIdle)
	answered := make([]time.Time, returnPrograms)
	for i := range programs {
		if r := c.sendKept(ctx, c.machines[i%2], turnPath, programs[i], previous[i]); r.ok() {
			previous[i], answered[i] = r.id, r.ended
		} else {
			c.record.line("program %s is told %d, so it ends", programs[i], r.status)
		}
	}
	if c.trouble {
		c.record.say("all processes are killed, and start again after %s", returnDown)
		for _, m := range c.machines {
			m.kill()
		}
		sleep(ctx, returnDown)
		for _, m := range c.machines {
			if err := m.start(); err != nil {
				return false, err
			}
		}
	}
	sleep(ctx, 1500*time.Millisecond)
	third, lost := 0, 0
	for i := range programs {
		if answered[i].IsZero() {
			continue
		}
		third++
		r := c.sendKept(ctx, c.machines[i%2], turnPath, programs[i], previous[i])
		if age := r.sent.Sub(answered[i]); r.status == http.StatusNotFound && age < retentionS*time.Second {
			lost++
			c.record.line("LOST: %s is answered 404, although %s was answered whole %s before and the route keeps turns for %d s", r.id, previous[i], age.Round(time.Millisecond), retentionS)
		}
	}
	c.record.say("programs that came back and were served: %d of %d", third, returnPrograms)
	c.record.say("turns that were answered 404 although their previous turn is still to be kept: %d of %d", lost, third)
	return lost > 0, ctx.Err()
}
