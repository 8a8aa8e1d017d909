package driver

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Consumers' time limit of a turn, retries of an attempt, and how often a failed turn is sent
// again, from the sheet of bluemahoe-batch and PROTOCOL.md.
const (
	turnDeadline = 3 * time.Second
	turnRetries  = 1
	turnRepeats  = 2
)

// turn is one turn of a program with all its tries.
type turn struct {
	program, tenant, zone string
	index                 int // from 1
	previous              string
	previousEnded         time.Time // when the previous turn was answered whole
	aim                   time.Time // of the program
	tries                 []result
	answered              string // id of the try that was answered whole
}

// turnLog collects the turns of all programs.
type turnLog struct {
	record *record
	mu     sync.Mutex
	all    []*turn
}

func (l *turnLog) add(t *turn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, t)
}

// programPlan says how the programs of a tenant run.
type programPlan struct {
	tenant, key, zone string
	turns             int
	pause             time.Duration
	aim               time.Duration
}

// runProgram runs one program as a consumer does.
func (c *world) runProgram(ctx context.Context, log *turnLog, p programPlan) {
	id, session := newID()[:12], newID()[:8]
	aim := time.Now().Add(p.aim)
	previous, previousEnded := "", time.Time{}
	for i := 1; i <= p.turns && ctx.Err() == nil; i++ {
		t := &turn{program: id, tenant: p.tenant, zone: p.zone, index: i, previous: previous, previousEnded: previousEnded, aim: aim}
		ended := c.runTurn(ctx, p, t, session)
		log.add(t)
		if !ended {
			return
		}
		previous, previousEnded = t.answered, time.Now()
		sleep(ctx, p.pause)
	}
}

// runTurn sends a turn until it is answered or the consumer gives up. It reports whether the
// program goes on.
func (c *world) runTurn(ctx context.Context, p programPlan, t *turn, session string) bool {
	for repeat := 0; repeat <= turnRepeats; repeat++ {
		if repeat > 0 && !sleep(ctx, 100*time.Millisecond+rand.N(300*time.Millisecond)) {
			return false
		}
		limit := time.Now().Add(turnDeadline)
		tried := map[*machine]bool{}
		for retry := 0; retry <= turnRetries; retry++ {
			left := time.Until(limit)
			m := c.balancer.choose(p.zone, t.program, tried)
			if m == nil || left <= 0 {
				break
			}
			tried[m] = true
			channel := newChannel()
			r := send(ctx, channel, m, call{
				method: http.MethodPost, host: host, path: turnPath + "2f", key: p.key, deadline: left,
				body: []byte("input " + t.program + "\n"), stream: true, program: t.program, session: session, previous: t.previous,
				programLeft: time.Until(t.aim), budget: 100_000, promptTokens: 600, maxTokens: 10 * chunkTokens,
			})
			channel.CloseIdleConnections()
			if ctx.Err() != nil {
				return false
			}
			t.tries = append(t.tries, r)
			c.record.at(r.sent, "consumer sends turn %d of %s tenant=%s id=%s previous=%s to %s -> status=%d whole=%t retry-after=%s after %s err=%v",
				t.index, t.program, p.tenant, r.id, t.previous, m.name, r.status, r.whole, r.retryAfter, r.ended.Sub(r.sent).Round(time.Millisecond), r.err)
			if r.ok() {
				t.answered = r.id
				return true
			}
			switch r.status {
			case 400, 401, 402, 403, 404, 413:
				return false
			}
			if !r.promise() {
				break
			}
			if r.hasRetry && !sleep(ctx, min(r.retryAfter, time.Until(limit)/3)) {
				return false
			}
		}
	}
	return false
}

// arrivals starts programs at random times with the given mean rate until ctx ends.
func (c *world) arrivals(ctx context.Context, wait *sync.WaitGroup, log *turnLog, perSecond float64, p programPlan) {
	for sleep(ctx, time.Duration(rand.ExpFloat64()/perSecond*float64(time.Second))) {
		wait.Go(func() { c.runProgram(ctx, log, p) })
	}
}
