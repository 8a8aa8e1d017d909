package main

import (
	"fmt"
	"sync"
	"time"
)

// crowd has one consumer take a few turns with large bodies of legal size, and a crowd of
// consumers continue from the last of them at the same moment through one machine, five times
// at each of two machines. A process over its memory is killed and started again, as the
// platform does it. Without the trouble the bodies are small.
func crowd(c *caseRun) {
	const turns, consumers, crowds, times, machines = 4, 120, 5, 3, 2
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
	ends := make([]int, len(c.daemons))
	for range crowds {
		for _, target := range c.daemons[1 : 1+machines] {
			over := c.guardMemory()
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
			ended := over()
			c.log.line("the crowd's answers at %s: %v", target.name, outcomes)
			for i, d := range c.daemons {
				if !ended[i] {
					continue
				}
				ends[i]++
				must(d.start())
			}
			c.awaitReady()
		}
	}
	affected, text := 0, ""
	for i, d := range c.daemons {
		text += fmt.Sprintf(" %s: %d;", d.name, ends[i])
		if ends[i] >= times {
			affected++
		}
	}
	c.log.line("times over memory_mb:%s", text)
	if affected >= machines {
		panic(broken{fmt.Sprintf("Fault: on %d of %d machines processes exceeded memory_mb %d three times or more, with no disturbance there:%s", affected, len(c.daemons), memoryMB, text)})
	}
}

// guardMemory watches the memory of all processes and kills one that exceeds its memory_mb, as
// the platform does. stop ends it and tells which processes have ended.
func (c *caseRun) guardMemory() (stop func() []bool) {
	ended, done, wait := make([]bool, len(c.daemons)), make(chan struct{}), sync.WaitGroup{}
	for i, d := range c.daemons {
		wait.Go(func() {
			for {
				select {
				case <-done:
					ended[i] = !d.alive()
					return
				case <-time.After(2 * time.Millisecond):
				}
				if mb := d.anonymousMB(); d.alive() && mb > float64(d.memoryMB) {
					c.log.line("%s has %.1f MB of anonymous memory, memory_mb is %d: it is killed", d.name, mb, d.memoryMB)
					d.kill()
				}
			}
		})
	}
	return func() []bool {
		close(done)
		wait.Wait()
		return ended
	}
}
