package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// lines has a program start sub-agents from its first turn. All processes are killed at the
// same moment and started again, and the sub-agents' lines go on, each with the tries of a
// consumer: two attempts for a turn, which is sent three times. Without the trouble no process
// is killed.
func lines(c *caseRun) {
	const branches, size, program, budget = 32, 600 << 10, "cafe01", 10000000
	c.answerTime = 4 * time.Millisecond // as on the users' sheet
	c.start(3)
	d := c.daemons[0]
	ch, err := openChannel(d.frontend)
	must(err)
	root := turn(keyA, program, "", text(2000), tokensOf(2000), budget)
	c.calm(ch, d, root)
	var parents []string
	for range branches {
		r := turn(keyA, program, root.id, text(size), tokensOf(size), budget)
		c.calm(ch, d, r)
		parents = append(parents, r.id)
	}
	ch.close()
	if c.trouble {
		c.restart()
	}
	stopMemory := c.watchMemory()
	over := make(chan struct{})
	var others sync.WaitGroup
	var first, firstReached int
	others.Go(func() { first, firstReached = c.firstTurns(over) })
	var lost, unknown atomic.Int64
	var wait sync.WaitGroup
	for line, parent := range parents {
		wait.Go(func() {
			for try := range 6 {
				d := c.daemons[(line+try)%len(c.daemons)]
				ch, err := openChannel(d.frontend)
				if err != nil {
					continue
				}
				r := turn(keyA, program, parent, text(300), tokensOf(size+300), budget)
				a := ch.send(r)
				ch.close()
				c.log.line("%s: line %d, try %d: turn %s continues %s: %s", d.name, line, try, r.id, parent, a)
				if a.status == 404 || a.status == 410 {
					unknown.Add(1)
					return
				}
				if ran(c.replicas, r.id) > 0 {
					return
				}
				if try%2 == 0 {
					time.Sleep(min(a.retryAfter, (r.deadline-a.took)/3))
				} else {
					time.Sleep(250 * time.Millisecond)
				}
			}
			lost.Add(1)
		})
	}
	wait.Wait()
	close(over)
	others.Wait()
	stopMemory()
	c.log.line("%d of %d lines reached no replica in 6 tries, %d were answered 404 or 410; %d of %d first turns reached one", lost.Load(), branches, unknown.Load(), firstReached, first)
	if unknown.Load() > 0 {
		panic(broken{fmt.Sprintf("LOST: %d turns that were answered whole less than retention_s ago are not known", unknown.Load())})
	}
	// The rule counts lines only while nine tenths of first turns reach a replica. The replicas
	// are idle.
	if lost.Load() > 0 && 10*firstReached >= 9*first {
		panic(broken{fmt.Sprintf("LOST: %d of %d lines reached no replica in 6 tries, and %d of %d first turns did", lost.Load(), branches, firstReached, first)})
	}
}

// firstTurns sends first turns of another tenant until over is closed. It returns how many it
// sent and how many reached a replica.
func (c *caseRun) firstTurns(over <-chan struct{}) (sent, reached int) {
	for ; ; sent++ {
		select {
		case <-over:
			return sent, reached
		case <-time.After(200 * time.Millisecond):
		}
		d := c.daemons[sent%len(c.daemons)]
		ch, err := openChannel(d.frontend)
		if err != nil {
			continue
		}
		r := turn(keyB, fmt.Sprintf("f1%04x", sent), "", text(2000), tokensOf(2000), 1000)
		a := ch.send(r)
		ch.close()
		c.log.line("%s: first turn %s: %s", d.name, r.id, a)
		if ran(c.replicas, r.id) > 0 {
			reached++
		}
	}
}
