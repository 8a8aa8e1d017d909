package driver

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The quota case: two of three machines lose power and are back 12 s later, while one tenant
// asks for more than its usage cap.
const (
	quotaRate      = 400.0
	quotaBurst     = 40.0
	quotaWindow    = 5 * time.Second // quota_window_s
	quotaOverage   = 0.1             // quota_overage
	quotaTolerance = 20.0            // quota_tolerance
	quotaConsumers = 160
	quotaPause     = 80 * time.Millisecond
	quotaBefore    = 8 * time.Second
	quotaDark      = 12 * time.Second
	quotaAfter     = 12 * time.Second
	channelUses    = 3 // requests on one channel
)

// asked is a request of the tenant.
type asked struct {
	id   string
	sent time.Time
}

func init() { addCase("quota", 3, quota) }

func quota(ctx context.Context, c *world) (bool, error) {
	all := newRuns(c.record)
	for i := range 4 {
		if _, err := startReplica(c.net.prefix+"2", "annotto-bay", fmt.Sprintf("i-%02d", i), replicaKind{
			service: plainService, slots: 32, work: 5 * time.Millisecond,
		}, c.store, all); err != nil {
			return false, err
		}
	}
	c.putConfig([]tenant{{Name: "hule930", APIKeys: []string{"key-hule930"}, RatePerS: quotaRate, Burst: quotaBurst}})
	for range 3 {
		if _, err := c.addMachine("annotto-bay"); err != nil {
			return false, err
		}
	}
	if err := c.awaitReady(ctx); err != nil {
		return false, err
	}
	c.record.say("traffic begins")
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	var mu sync.Mutex
	var sent []asked
	var wait sync.WaitGroup
	for i := range quotaConsumers {
		wait.Go(func() {
			c.consumeStatus(traffic, fmt.Sprintf("consumer-%d", i), func(r result) {
				mu.Lock()
				sent = append(sent, asked{r.id, r.sent})
				mu.Unlock()
			})
		})
	}
	if !sleep(ctx, quotaBefore) {
		return false, ctx.Err()
	}
	if err := c.loseTwo(ctx); err != nil {
		return false, err
	}
	sleep(ctx, quotaAfter)
	stop()
	wait.Wait()
	c.record.say("traffic ends")
	return c.judgeQuota(sent, all), ctx.Err()
}

// consumeStatus sends status requests one after the other. A consumer keeps a channel for
// some requests and opens new ones after that, or when a channel fails.
func (c *world) consumeStatus(ctx context.Context, name string, done func(result)) {
	for n := 0; ctx.Err() == nil; n++ {
		m := c.balancer.choose("annotto-bay", fmt.Sprint(name, n), nil)
		if m == nil {
			sleep(ctx, quotaPause)
			continue
		}
		channel := newChannel()
		for use := 0; use < channelUses && ctx.Err() == nil; use++ {
			r := send(ctx, channel, m, call{
				method: http.MethodGet, host: host, path: statusPath + "2f", key: "key-hule930", deadline: 1500 * time.Millisecond,
			})
			done(r)
			c.record.at(r.sent, "%s sends %s to %s -> status=%d after %s", name, r.id, m.name, r.status, r.ended.Sub(r.sent).Round(time.Millisecond))
			sleep(ctx, quotaPause)
			if r.err != nil {
				break
			}
		}
		channel.CloseIdleConnections()
	}
}

// memberWrites returns a channel that gets the times at which the machine's own row is
// written to the store, as the platform sees it.
func (c *world) memberWrites(m *machine) <-chan time.Time {
	writes := make(chan time.Time, 16)
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.store.wrote = func(r row) {
		if r.Table == "fleet-seats" && len(r.Key) >= len(m.ip) && r.Key[:len(m.ip)+1] == m.ip+":" {
			select {
			case writes <- time.Now():
			default:
			}
		}
	}
	return writes
}

// loseTwo kills the second and the third machine and starts them again quotaDark later. The
// moment is chosen so that they are back shortly after the first machine has renewed its row.
func (c *world) loseTwo(ctx context.Context) error {
	writes := c.memberWrites(c.machines[0])
	var last time.Time
	var interval time.Duration
	for range 3 {
		select {
		case at := <-writes:
			if !last.IsZero() {
				interval = at.Sub(last)
			}
			last = at
		case <-time.After(5 * time.Second):
			return errors.New("the first machine writes no row")
		}
	}
	c.record.line("the first machine renews its row every %s", interval.Round(time.Millisecond))
	back := last.Add(100 * time.Millisecond)
	for back.Sub(time.Now()) < quotaDark {
		back = back.Add(interval)
	}
	sleep(ctx, time.Until(back.Add(-quotaDark)))
	if c.trouble {
		c.record.say("two of three machines lose power")
		for _, m := range c.machines[1:] {
			m.kill()
		}
	}
	sleep(ctx, time.Until(back))
	if c.trouble {
		c.record.say("they start again")
		for _, m := range c.machines[1:] {
			if err := m.start(); err != nil {
				return err
			}
		}
	}
	return ctx.Err()
}

// judgeQuota applies the rule QUOTA.
func (c *world) judgeQuota(sent []asked, all *runs) bool {
	begun := map[string]time.Time{}
	for _, r := range all.all {
		begun[r.id] = r.at
	}
	var ran []struct{ sent, at time.Time }
	for _, r := range sent {
		if at, ok := begun[r.id]; ok {
			ran = append(ran, struct{ sent, at time.Time }{r.sent, at})
		}
	}
	slices.SortFunc(ran, func(a, b struct{ sent, at time.Time }) int { return a.sent.Compare(b.sent) })
	limit := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaTolerance
	most, when := 0, time.Time{}
	for i := range ran {
		end, n := ran[i].sent.Add(quotaWindow), 0
		for _, r := range ran[i:] {
			if r.sent.After(end) {
				break
			}
			if !r.at.After(end) {
				n++
			}
		}
		if n > most {
			most, when = n, ran[i].sent
		}
	}
	c.record.say("requests sent: %d, run: %d", len(sent), len(ran))
	c.record.say("most requests that were sent and run within %s: %d, from second %.1f; the rule allows %.0f", quotaWindow, most, when.Sub(c.record.begun).Seconds(), limit)
	return float64(most) > limit
}
