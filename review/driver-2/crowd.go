package main

import (
	"fmt"
	"sync"
	"time"
)

// crowd has one consumer take a few turns with large bodies of legal size, and a crowd of
// consumers continue from the last of them at the same moment through one machine. Without the
// trouble the bodies are small. The process must stay within memory_mb and go on serving.
func crowd(c *caseRun) {
	const turns, consumers = 4, 120
	size := 700_000
	if !c.trouble {
		size = 2000
	}
	c.start(3)
	c.setStream(false, 5, 150*time.Millisecond)
	ch, err := openChannel(c.daemons[0].frontend)
	must(err)
	parent := ""
	for range turns {
		r := turn(keyA, "cafe01", parent, text(size), 20000, 100000)
		c.calm(ch, c.daemons[0], r)
		parent = r.id
	}
	ch.close()
	target := c.daemons[1]
	stopMemory := c.watchMemory()
	outcomes, mu, wait := map[string]int{}, sync.Mutex{}, sync.WaitGroup{}
	for range consumers {
		wait.Go(func() {
			ch, err := openChannel(target.frontend)
			if err != nil {
				return
			}
			defer ch.close()
			r := turn(keyA, "cafe01", parent, text(300), 20000, 1000000)
			a := ch.send(r)
			c.log.line("%s: turn %s of %d bytes: %s", target.name, r.id, len(r.body), a)
			mu.Lock()
			defer mu.Unlock()
			outcomes[fmt.Sprintf("%d, whole: %v", a.status, a.whole)]++
		})
	}
	wait.Wait()
	most := stopMemory()
	c.log.line("the crowd's answers: %v", outcomes)
	for i, d := range c.daemons {
		if most[i] > float64(d.memoryMB) || !d.alive() {
			panic(broken{fmt.Sprintf("%s took %.1f MB of memory, memory_mb is %d: the platform kills it", d.name, most[i], d.memoryMB)})
		}
	}
}
