package driver

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// The retention case: programs use two routes that keep history for different times, and all
// processes are killed between a turn on the first and one on the second.
const (
	shortPath      = "/lohu930/"
	longRetention  = 600 // seconds, of the first route
	shortRetention = 60  // of the second one
	keptPrograms   = 5
	keptIdle       = 97 * time.Second // from the second turn to the third
)

func init() { addCase("retention", 2, retention) }

func retention(ctx context.Context, c *world) (bool, error) {
	all := newRuns(c.record)
	for i := range 3 {
		if _, err := startReplica(c.net.prefix+"2", "annotto-bay", fmt.Sprintf("i-%02d", i), replicaKind{
			service: modelService, slots: 8, work: 10 * time.Millisecond, events: 5, gap: 2 * time.Millisecond,
		}, c.store, all); err != nil {
			return false, err
		}
	}
	routes := func(name, path string, kept int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": path, "type": "streaming", "timeout_ms": 3000, "target_latency_ms": 250,
			"priority": 0, "service": modelService, "max_attempts": 2, "keeps_history": true, "retention_s": kept,
			"public": false, "sticky": true, "resumable": false, "target_gap_ms": 150,
		}
	}
	c.putVersion(7, []tenant{{Name: "hule930", APIKeys: []string{"key-hule930"}}},
		routes("r-long", longPath, longRetention), routes("r-short", shortPath, shortRetention))
	for range 2 {
		if _, err := c.addMachine("annotto-bay"); err != nil {
			return false, err
		}
	}
	if err := c.awaitReady(ctx); err != nil {
		return false, err
	}
	programs, firsts, answered := make([]string, keptPrograms), make([]string, keptPrograms), make([]time.Time, keptPrograms)
	for i := range programs {
		programs[i] = newID()[:12]
		r := c.sendKept(ctx, c.machines[i%2], longPath, programs[i], "")
		if !r.ok() {
			return false, fmt.Errorf("a first turn failed: status %d, %v", r.status, r.err)
		}
		firsts[i], answered[i] = r.id, r.ended
	}
	if c.trouble {
		c.record.say("all processes are killed and start again")
		for _, m := range c.machines {
			m.kill()
		}
		for _, m := range c.machines {
			if err := m.start(); err != nil {
				return false, err
			}
		}
	}
	sleep(ctx, 2*time.Second)
	for i := range programs {
		if r := c.sendKept(ctx, c.machines[i%2], shortPath, programs[i], ""); !r.ok() {
			return false, fmt.Errorf("a turn on the second route failed: status %d, %v", r.status, r.err)
		}
	}
	c.record.say("each program has had a turn on both routes and is idle now")
	sleep(ctx, keptIdle)
	lost := 0
	for i := range programs {
		r := c.sendKept(ctx, c.machines[i%2], longPath, programs[i], firsts[i])
		if age := r.sent.Sub(answered[i]); r.status == http.StatusNotFound && age < longRetention*time.Second {
			lost++
			c.record.line("LOST: %s is answered 404, although %s was answered whole %s before and the route keeps turns for %d s", r.id, firsts[i], age.Round(time.Millisecond), longRetention)
		}
	}
	c.record.say("turns that were answered 404 although their previous turn is still to be kept: %d of %d", lost, keptPrograms)
	return lost > 0, ctx.Err()
}

// sendKept sends one turn of a program.
func (c *world) sendKept(ctx context.Context, m *machine, path, program, previous string) result {
	r := send(ctx, newChannel(), m, call{
		method: http.MethodPost, host: host, path: path + "2f", key: "key-hule930", deadline: turnDeadline, body: []byte("input of " + program + "\n"),
		stream: true, program: program, session: newID()[:8], previous: previous, programLeft: 5 * time.Minute,
		budget: 100_000, promptTokens: 600, maxTokens: 10 * chunkTokens,
	})
	c.record.at(r.sent, "consumer sends a turn of %s on %s id=%s previous=%s to %s -> status=%d whole=%t err=%v", program, path, r.id, previous, m.name, r.status, r.whole, r.err)
	return r
}
