package main

import "fmt"

// largeTurn sends single turns inside the limits of the configuration on kept channels: with a
// body of 1 MiB, a quarter of max_body_bytes. Without the trouble the bodies have 20 KiB.
func largeTurn(c *caseRun) {
	size := 1 << 20
	if !c.trouble {
		size = 20 << 10
	}
	c.start(3)
	c.setStream(true, 3, 0)
	silent, cut := c.keptChannels(6, func(i int) request {
		return turn(keyA, fmt.Sprintf("cafe%02x", i), "", text(size), min(tokensOf(size), kvTokens-100), 100000)
	})
	c.log.line("the store refused %d calls as too large", c.store.refused)
	if silent > 3 {
		panic(broken{fmt.Sprintf("LOST: %d of 6 turns inside the limits ran at a sound replica, and their kept channels were closed without an answer (%d without a whole one)", silent, cut)})
	}
}
