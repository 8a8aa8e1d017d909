package driver

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// The public case: a new version of the config adds a route that keeps history and needs no
// key, and programs run on it.
const (
	publicPath     = "/desk01/"
	publicPrograms = 4
	publicTurns    = 4
	publicEvents   = 5
	publicMax      = 6 * chunkTokens // the most tokens of one turn
	publicBudget   = 2 * publicMax   // of a program
)

func init() { addCase("public", 2, public) }

func public(ctx context.Context, c *world) (bool, error) {
	all := newRuns(c.record)
	for i := range 3 {
		if _, err := startReplica(c.net.prefix+"2", "annotto-bay", fmt.Sprintf("i-%02d", i), replicaKind{
			service: modelService, slots: 8, work: 10 * time.Millisecond, events: publicEvents, gap: 5 * time.Millisecond,
		}, c.store, all); err != nil {
			return false, err
		}
	}
	tenants := []tenant{{Name: "hule930", APIKeys: []string{"key-hule930"}}}
	c.putConfig(tenants)
	for range 2 {
		if _, err := c.addMachine("annotto-bay"); err != nil {
			return false, err
		}
	}
	if err := c.awaitReady(ctx); err != nil {
		return false, err
	}
	key := "key-hule930"
	if c.trouble {
		key = ""
	}
	c.putVersion(8, tenants, map[string]any{
		"name": "r-desk", "host": host, "path_prefix": publicPath, "type": "streaming", "timeout_ms": 3000,
		"target_latency_ms": 250, "priority": 1, "service": modelService, "max_attempts": 2, "keeps_history": true,
		"retention_s": retentionS, "public": c.trouble, "sticky": true, "resumable": false, "target_gap_ms": 150,
	})
	c.record.say("version 8 adds a route that keeps history; public: %t", c.trouble)
	sleep(ctx, 2*contact)
	wrong, over := 0, 0
	for range publicPrograms {
		w, o := c.runPublic(ctx, all, key)
		wrong, over = wrong+w, over+o
	}
	c.record.say("turns that a replica ran with another body than their chain and the new input: %d", wrong)
	c.record.say("programs that got more than their budget and the most of one turn: %d", over)
	return wrong > 0 || over > 0, ctx.Err()
}

// runPublic runs one program and returns how many of its turns had a wrong body, and 1 if it
// got too many tokens.
func (c *world) runPublic(ctx context.Context, all *runs, key string) (wrong, over int) {
	program, previous, chain, tokens := newID()[:12], "", "", 0
	for i := 1; i <= publicTurns; i++ {
		m := c.machines[i%len(c.machines)]
		input := fmt.Sprintf("input %d of %s\n", i, program)
		r := send(ctx, newChannel(), m, call{
			method: http.MethodPost, host: host, path: publicPath + "2f", key: key, deadline: turnDeadline, body: []byte(input),
			stream: true, program: program, session: program[:8], previous: previous, programLeft: time.Minute,
			budget: publicBudget, promptTokens: 600, maxTokens: publicMax,
		})
		tokens += r.events * chunkTokens
		c.record.at(r.sent, "consumer sends turn %d of %s id=%s previous=%s to %s -> status=%d events=%d whole=%t", i, program, r.id, previous, m.name, r.status, r.events, r.whole)
		if got, ran := all.body(r.id); ran && got != digestOf(chain+input) {
			wrong++
			c.record.line("UNASKED: turn %d of %s ran with body %s, its chain and input are %s", i, program, got, digestOf(chain+input))
		}
		if !r.ok() {
			break
		}
		chain += input + outputOf(r.body)
		previous = r.id
	}
	if tokens > publicBudget+publicMax {
		over = 1
		c.record.line("BUDGET: program %s got %d tokens, its budget is %d and the most of one turn %d", program, tokens, publicBudget, publicMax)
	}
	return wrong, over
}

// outputOf returns the data of the events of a stream, each followed by a line feed.
func outputOf(stream string) string {
	var out strings.Builder
	for line := range strings.Lines(stream) {
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			out.WriteString(data)
		}
	}
	return out.String()
}

func digestOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:8])
}
