package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// The history case: after a final fault a new program goes on from the last turn of a long
// conversation.
const (
	longChain     = 120 // turns of the conversation before the fault
	historyTries  = 6   // of the turn after it: a turn with its retry, sent three times
	historyDown   = time.Second
	historyLimit  = 3 // channels closed without an answer that the rule LOST allows
	historyTenant = "hule930"
)

func init() { addCase("history", 2, history) }

func history(ctx context.Context, c *world) (bool, error) {
	all := newRuns(c.record)
	for i := range 3 {
		if _, err := startReplica(ctx, c.net.prefix+"2", "annotto-bay", fmt.Sprintf("i-%02d", i), replicaKind{
			service: modelService, slots: 8, work: 10 * time.Millisecond, events: 5, gap: 2 * time.Millisecond,
		}, c.store, all); err != nil {
			return false, err
		}
		if _, err := startReplica(ctx, c.net.prefix+"2", "annotto-bay", fmt.Sprintf("s-%02d", i), replicaKind{
			service: plainService, slots: 6, work: 5 * time.Millisecond,
		}, c.store, all); err != nil {
			return false, err
		}
	}
	c.putConfig([]tenant{{Name: historyTenant, APIKeys: []string{"key-" + historyTenant}}})
	for range 2 {
		if _, err := c.addMachine("annotto-bay"); err != nil {
			return false, err
		}
	}
	if err := c.awaitReady(ctx); err != nil {
		return false, err
	}
	c.record.say("a program of %d turns runs", longChain)
	program, previous, early := newID()[:12], "", ""
	for i := 1; i <= longChain; i++ {
		m := c.machines[i%len(c.machines)]
		r := c.sendTurn(ctx, newChannel(), m, program, previous, i)
		if !r.ok() {
			return false, fmt.Errorf("turn %d of the conversation failed: status %d, %v", i, r.status, r.err)
		}
		if previous = r.id; i == 20 {
			early = r.id
		}
	}
	if c.trouble {
		c.record.say("all processes are killed, and start again after %s", historyDown)
		for _, m := range c.machines {
			m.kill()
		}
		sleep(ctx, historyDown)
		for _, m := range c.machines {
			if err := m.start(); err != nil {
				return false, err
			}
		}
		sleep(ctx, 2*time.Second)
		if err := c.awaitReady(ctx); err != nil {
			return false, err
		}
		sleep(ctx, 2*contact)
		r := c.sendTurn(ctx, newChannel(), c.machines[0], newID()[:12], early, 21)
		c.record.say("another new program goes on from turn 20: status %d, whole %t", r.status, r.whole)
		program = newID()[:12] // the new program
	}
	return c.continueLong(ctx, all, program, previous), ctx.Err()
}

// continueLong sends the turn after the long conversation and applies the rule LOST: a
// machine in touch passes a request from a kept channel on to a sound replica and closes
// that channel without an answer.
func (c *world) continueLong(ctx context.Context, all *runs, program, previous string) bool {
	closed, answered := 0, 0
	for i := range historyTries {
		m := c.machines[i%len(c.machines)]
		channel := newChannel()
		kept := send(ctx, channel, m, call{method: http.MethodGet, host: host, path: statusPath + "2f", key: "key-" + historyTenant, deadline: 1500 * time.Millisecond})
		r := c.sendTurn(ctx, channel, m, program, previous, longChain+1)
		switch {
		case r.ok():
			answered++
		case kept.ok() && all.count(r.id) == 1 && r.err != nil && time.Until(r.sent.Add(turnDeadline)) < turnDeadline && time.Since(m.upSince()) > contact:
			closed++
		}
		sleep(ctx, 200*time.Millisecond)
	}
	c.record.say("the turn after the conversation: %d tries, %d answered whole, %d run by a replica and their kept channel closed before the end of the answer", historyTries, answered, closed)
	c.store.mu.Lock()
	c.record.say("transactions that the store refused as too large: %d", c.store.refused)
	c.store.mu.Unlock()
	return closed > historyLimit
}

// sendTurn sends one turn.
func (c *world) sendTurn(ctx context.Context, channel *http.Client, m *machine, program, previous string, n int) result {
	r := send(ctx, channel, m, call{
		method: http.MethodPost, host: host, path: turnPath + "2f", key: "key-" + historyTenant, deadline: turnDeadline,
		body: fmt.Appendf(nil, "input %d of %s\n", n, program), stream: true, program: program, session: program[:8], previous: previous,
		programLeft: time.Minute, budget: 100_000, promptTokens: 600 + 100*n, maxTokens: 10 * chunkTokens,
	})
	c.record.at(r.sent, "consumer sends turn %d of %s id=%s previous=%s to %s -> status=%d events=%d whole=%t after %s err=%v",
		n, program, r.id, previous, m.name, r.status, r.events, r.whole, r.ended.Sub(r.sent).Round(time.Millisecond), r.err)
	return r
}
