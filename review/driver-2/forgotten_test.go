package main

import (
	"fmt"
	"time"
)

// forgotten has programs of a route that keeps turns for a short time continue from a turn of
// a route that keeps its turns longer. When the first are no longer kept, all processes are
// killed at the same moment, and new programs continue from that turn, which is still to be
// kept. Without the trouble nothing is killed.
func forgotten(c *caseRun) {
	const visitors, size = 64, 300
	c.start(3)
	ch, err := openChannel(c.daemons[0].frontend)
	must(err)
	answered := time.Now()
	kept := turn(keyA, "cafe01", "", text(size), tokensOf(size), 100000)
	c.calm(ch, c.daemons[0], kept)
	ch.close()
	next := func(program, path string) request {
		r := turn(keyA, program, kept.id, text(size), tokensOf(2*size), 100000)
		r.path = path
		return r
	}
	// Each process reads the turn once, as it does for any program that continues from it.
	for i, d := range c.daemons {
		ch, err := openChannel(d.frontend)
		must(err)
		c.calm(ch, d, next(fmt.Sprintf("d0%02x", i), chatPath))
		for n := range visitors {
			if n%len(c.daemons) == i {
				c.calm(ch, d, next(fmt.Sprintf("e0%02x", n), askPath))
			}
		}
		ch.close()
	}
	c.log.line("the turns of the route with retention_s 60 are no longer needed 60 s from now")
	time.Sleep(97 * time.Second)
	if c.trouble {
		for _, d := range c.daemons {
			d.kill()
		}
		for _, d := range c.daemons {
			must(d.start())
		}
		c.awaitReady()
	}
	unknown := 0
	const programs = 6
	for i := range programs {
		d := c.daemons[i%len(c.daemons)]
		ch, err := openChannel(d.frontend)
		must(err)
		r := next(fmt.Sprintf("f0%02x", i), chatPath)
		a := ch.send(r)
		ch.close()
		c.log.line("%s: turn %s of a new program continues %s, which was answered %.0f s ago: %s %s", d.name, r.id, kept.id, time.Since(answered).Seconds(), a, a.body)
		if a.status == 404 || a.status == 410 {
			unknown++
		}
	}
	if unknown > 0 {
		panic(broken{fmt.Sprintf("LOST: %d of %d turns got 404, although the turn that they continue was answered whole less than retention_s (600 s) ago", unknown, programs)})
	}
}
