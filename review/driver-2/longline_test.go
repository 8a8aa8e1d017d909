package main

import "fmt"

// longLine has a program take many small turns. After a final fault (all processes are killed
// at the same moment) new programs continue from its last turn. Without the trouble there is
// no fault, and the line goes on in its own program.
func longLine(c *caseRun) {
	const turns, size = 110, 300
	c.start(3)
	c.setStream(true, 3, 0)
	ch, err := openChannel(c.daemons[0].frontend)
	must(err)
	parent := ""
	for i := range turns {
		r := turn(keyA, "cafe01", parent, text(size), tokensOf(size*(i+1)), 100000)
		c.calm(ch, c.daemons[0], r)
		parent = r.id
	}
	ch.close()
	if c.trouble {
		c.restart()
	}
	silent, cut := c.keptChannels(6, func(i int) request {
		program := "cafe01"
		if c.trouble {
			program = fmt.Sprintf("beef%02x", i)
		}
		return turn(keyA, program, parent, text(size), tokensOf(size*(turns+1)), 100000)
	})
	c.log.line("the store refused %d calls as too large", c.store.refused)
	if silent > 3 {
		panic(broken{fmt.Sprintf("LOST: %d of 6 turns that continue a line of %d turns in a new program ran at a sound replica, and their kept channels were closed without an answer (%d without a whole one)", silent, turns, cut)})
	}
}
