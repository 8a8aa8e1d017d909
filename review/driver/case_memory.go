package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The memory case: twice as many consumers as usual send requests whose bodies are as large
// as the config allows.
const (
	memoryLimitMB  = 154     // memory_mb
	largeBody      = 4 << 20 // max_body_bytes of the config
	usualConsumers = 20      // at both machines
	burstFactor    = 2       // the site's bursts have up to 2.2 times the usual traffic
	memoryTraffic  = 25 * time.Second
	restartDelay   = 500 * time.Millisecond
	faultEnds      = 3 // ends of a process by itself, from the rule Fault
	faultMachines  = 2 // machines with as many
	memoryClosed   = 3 // channels closed without an answer that the rule LOST allows
)

func init() { addCase("memory", 2, memory) }

func memory(ctx context.Context, c *world) (bool, error) {
	all := newRuns(c.record)
	for i := range 6 {
		if _, err := startReplica(ctx, c.net.prefix+"2", "annotto-bay", fmt.Sprintf("s-%02d", i), replicaKind{
			service: plainService, slots: 12, work: 800 * time.Millisecond,
		}, c.store, all); err != nil {
			return false, err
		}
	}
	tenants := []tenant{{Name: "hule930", APIKeys: []string{"key-hule930"}}}
	c.putVersion(7, tenants, map[string]any{
		"name": "r-payout", "host": host, "path_prefix": payoutPath, "type": "non_idempotent", "timeout_ms": 6000,
		"target_latency_ms": 800, "priority": 2, "service": plainService, "max_attempts": 1, "public": false,
	})
	for range 2 {
		if _, err := c.addMachine("annotto-bay"); err != nil {
			return false, err
		}
	}
	if err := c.awaitReady(ctx); err != nil {
		return false, err
	}
	traffic, stop := context.WithTimeout(ctx, memoryTraffic)
	defer stop()
	var wait sync.WaitGroup
	peaks := make([]int, len(c.machines))
	ends := make([]int, len(c.machines))
	for i, m := range c.machines {
		wait.Go(func() { peaks[i], ends[i] = m.enforceMemory(traffic) })
	}
	consumers := usualConsumers
	if c.trouble {
		consumers *= burstFactor
	}
	c.record.say("traffic begins: %d consumers, each with one request at a time", consumers)
	var mu sync.Mutex
	closed, answered, refused := 0, 0, 0
	for i := range consumers {
		wait.Go(func() {
			sleep(traffic, time.Duration(i)*20*time.Millisecond)
			c.consumePayouts(traffic, fmt.Sprintf("consumer-%d", i), func(kept bool, r result) {
				mu.Lock()
				defer mu.Unlock()
				switch {
				case r.ok():
					answered++
				case r.status != 0:
					refused++
				case kept && all.count(r.id) > 0:
					closed++
				}
			})
		})
	}
	wait.Wait()
	faulty := 0
	for i, m := range c.machines {
		c.record.say("%s: most memory %d MB of %d MB; ended for its memory %d times", m.name, peaks[i], memoryLimitMB, ends[i])
		if ends[i] >= faultEnds {
			faulty++
		}
	}
	c.record.say("requests: %d answered, %d answered with a failure, %d run by a replica and their kept channel closed without an answer", answered, refused, closed)
	return faulty >= faultMachines || closed > memoryClosed, ctx.Err()
}

// consumePayouts sends requests one after the other, as far as possible on one channel.
func (c *world) consumePayouts(ctx context.Context, name string, done func(kept bool, r result)) {
	body := bytes.Repeat([]byte("payout.."), largeBody/8)
	for next := 0; ctx.Err() == nil; next++ {
		m := c.balancer.choose("annotto-bay", fmt.Sprint(name, next), nil)
		channel := newChannel()
		for n := 0; ctx.Err() == nil; n++ {
			r := send(context.WithoutCancel(ctx), channel, m, call{
				method: http.MethodPost, host: host, path: payoutPath + "2f", key: "key-hule930", deadline: 6 * time.Second, body: body,
			})
			c.record.at(r.sent, "consumer sends %s with %d bytes to %s, request %d of its channel -> status=%d after %s err=%v",
				r.id, len(body), m.name, n+1, r.status, r.ended.Sub(r.sent).Round(time.Millisecond), r.err)
			done(n > 0, r)
			sleep(ctx, 100*time.Millisecond)
			if r.err != nil {
				break
			}
		}
		channel.CloseIdleConnections()
	}
}

// enforceMemory does what the platform does with a process that exceeds its memory: it is
// killed, and started again after a short delay. It returns the most memory in MB and the
// number of these ends.
func (m *machine) enforceMemory(ctx context.Context) (most, ends int) {
	for sleep(ctx, 5*time.Millisecond) {
		used := m.residentMB()
		most = max(most, used)
		if used <= memoryLimitMB {
			continue
		}
		ends++
		m.record.line("%s uses %d MB and is killed", m.name, used)
		m.kill()
		if sleep(ctx, restartDelay) {
			_ = m.start()
		}
	}
	return most, ends
}

// residentMB returns the resident memory of the process.
func (m *machine) residentMB() int {
	m.mu.Lock()
	cmd := m.cmd
	m.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kb >> 10
		}
	}
	return 0
}
