// Package main runs the cases of the second review that are scripts. It starts the
// system's own processes with the command of the deploy file, and stand-ins of the platform's
// store, of replicas and of consumers that follow the users' pages. It must be started in the
// root of the repository.
//
// Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	host     = "ficu95.example"
	chatPath = "/chat/a"
	askPath  = "/ask/a"
	keyA     = "3fexd9dnn2ctnfzs989a"
	keyB     = "nu6wsjnbanfqasnmgkcu"
	memoryMB = 154
)

// configuration is the operator's document. The services are those of a small deployment.
const configuration = `{"version":7,"routes":[
{"name":"r-chat","host":"ficu95.example","path_prefix":"/chat/","type":"streaming","timeout_ms":3000,"target_latency_ms":250,"priority":1,"service":"huvo11a","max_attempts":2,"keeps_history":true,"retention_s":600.0,"public":false,"sticky":true,"resumable":false,"target_gap_ms":150},
{"name":"r-ask","host":"ficu95.example","path_prefix":"/ask/","type":"streaming","timeout_ms":3000,"target_latency_ms":250,"priority":1,"service":"huvo11a","max_attempts":2,"keeps_history":true,"retention_s":60.0,"public":false,"sticky":true,"resumable":false,"target_gap_ms":150},
{"name":"r-payout","host":"ficu95.example","path_prefix":"/payout/","type":"non_idempotent","timeout_ms":6000,"target_latency_ms":800,"priority":2,"service":"wuno96b","max_attempts":2,"public":false},
{"name":"r-status","host":"ficu95.example","path_prefix":"/status/","type":"idempotent","timeout_ms":1500,"target_latency_ms":250,"priority":2,"service":"wuno96b","max_attempts":3,"public":false}],
"services":[
{"name":"huvo11a","health_path":"/healthz","max_conns":140,"protocol":"h1","tls":false,"runtime":{"slots":8,"kv_capacity_tokens":97383,"kv_bytes":18432,"link_mbps":550000.0,"chunk_tokens":14,"models":[{"name":"m"}]}},
{"name":"wuno96b","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["3fexd9dnn2ctnfzs989a"],"priority":1,"rate_per_s":160,"burst":160},{"name":"leti146","api_keys":["nu6wsjnbanfqasnmgkcu"],"priority":1,"rate_per_s":160,"burst":160}]}`

// caseRun is one run of a case.
type caseRun struct {
	trouble  bool
	folder   string // temporary
	subnet   string // the first three numbers of the loopback addresses in use
	log      *record
	store    *store
	replicas []*replica
	daemons  []*daemon
	// answerTime is how long the store takes for the answer to a read.
	answerTime time.Duration
}

// broken ends a case whose rule was broken.
type broken struct{ what string }

// unable ends a case that could not run.
type unable struct{ why string }

// The kernel ends the processes of a case when the thread that started them is gone.
func init() { runtime.LockOSThread() }

// TestMain runs a case in place of tests: review-driver-2 CASE RECORD. The source is in test
// files, since the project's check wants it of code that names the platform's protocol.
func TestMain(*testing.M) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-driver-2 CASE RECORD")
		os.Exit(2)
	}
	cases := map[string]func(*caseRun){"lines": lines, "long-line": longLine, "large-turn": largeTurn, "crowd": crowd, "forgotten": forgotten}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	os.Exit(play(run, os.Args[2]))
}

// play runs a case and returns the exit code.
func play(run func(*caseRun), path string) (code int) {
	log, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	c := &caseRun{trouble: os.Getenv("TROUBLE") != "0", log: log, subnet: fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), rand.IntN(250))}
	log.line("trouble: %v", c.trouble)
	if c.folder, err = os.MkdirTemp("", "review-2-"); err != nil {
		return 2
	}
	defer func() { _ = os.RemoveAll(c.folder) }()
	defer c.end()
	defer func() {
		switch why := recover().(type) {
		case nil:
			log.line("RESULT: the rule held")
			fmt.Println("the rule held")
		case broken:
			log.line("RESULT: BROKEN: %s", why.what)
			fmt.Println("broken:", why.what)
			code = 1
		case unable:
			log.line("RESULT: the case could not run: %s", why.why)
			fmt.Println("could not run:", why.why)
			code = 2
		default:
			panic(why)
		}
	}()
	run(c)
	return 0
}

// must ends the case if it cannot run.
func must(err error) {
	if err != nil {
		panic(unable{err.Error()})
	}
}

// end ends all processes that the case has started.
func (c *caseRun) end() {
	for _, d := range c.daemons {
		d.kill()
		_ = d.logFile.Close()
	}
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		for _, d := range c.daemons {
			if data, err := os.ReadFile(d.logFile.Name()); err == nil {
				_ = os.WriteFile(keep+"/"+d.name+".log", data, 0o600)
			}
		}
	}
}

// start starts the store, the replicas and the given number of processes, and waits until
// all are ready.
func (c *caseRun) start(processes int) {
	var err error
	c.store, err = newStore(c.subnet+"200", c.log)
	must(err)
	c.store.answerTime = c.answerTime
	zones := []string{"annotto-bay", "port-maria", "highgate"}
	for i, zone := range zones {
		for _, service := range []string{"huvo11a", "wuno96b"} {
			for n := range 3 {
				id := fmt.Sprintf("i-%s%d%d", service[:2], i, n)
				r, err := newReplica(c.subnet+"201", id, service, zone, service == "huvo11a", c.log)
				must(err)
				c.replicas = append(c.replicas, r)
				go r.register(c.store)
			}
		}
	}
	c.store.put("op", "config", []byte(strings.ReplaceAll(configuration, "\n", "")))
	for i := range processes {
		zone := zones[i%len(zones)]
		d, err := startDaemon(c, fmt.Sprintf("edge-%s-%d", zone, 1+i/len(zones)), fmt.Sprintf("%s%d", c.subnet, 11+i), zone, memoryMB)
		must(err)
		c.daemons = append(c.daemons, d)
	}
	c.awaitReady()
}

// awaitReady waits until all processes are ready, and a while longer so that all know all.
func (c *caseRun) awaitReady() {
	until := time.Now().Add(20 * time.Second)
	for _, d := range c.daemons {
		for !d.isReady() {
			if time.Now().After(until) || !d.alive() {
				panic(unable{"process " + d.name + " does not get ready"})
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	c.log.line("all processes are ready")
	time.Sleep(3 * time.Second)
}

// restart kills all processes at the same moment and starts them again, and waits until they
// are ready and contact_ms has passed.
func (c *caseRun) restart() {
	for _, d := range c.daemons {
		d.kill()
	}
	for _, d := range c.daemons {
		must(d.start())
	}
	c.awaitReady()
	time.Sleep(2 * time.Second)
}

// calm sends a turn that has to be answered whole, since nothing is disturbed.
func (c *caseRun) calm(ch *channel, d *daemon, r request) {
	a := ch.send(r)
	c.log.line("%s: turn %s of %d bytes: %s", d.name, r.id, len(r.body), a)
	if !a.whole || a.status != 200 {
		panic(unable{"a turn in calm was not answered"})
	}
}

// keptChannels sends one turn on each of several kept channels to one machine, all of which
// have had the answer to a small first turn before. It returns how many turns ran at a replica
// and had their channel closed without any byte of an answer, and how many without a whole
// one. The rule LOST allows three such turns.
func (c *caseRun) keptChannels(channels int, next func(i int) request) (silent, cut int) {
	d := c.daemons[1]
	for i := range channels {
		ch, err := openChannel(d.frontend)
		must(err)
		c.calm(ch, d, turn(keyA, fmt.Sprintf("ab%06x", time.Now().UnixNano()&0xffffff), "", text(2000), tokensOf(2000), 100000))
		r := next(i)
		a := ch.send(r)
		runs := ran(c.replicas, r.id)
		c.log.line("%s, kept channel %d: turn %s of %d bytes: %s; it ran %d times", d.name, i, r.id, len(r.body), a, runs)
		if runs > 0 && !a.whole {
			cut++
			if a.bytes == 0 {
				silent++
			}
		}
		ch.close()
	}
	c.log.line("%d of %d turns ran and had no whole answer, %d of these no byte of one", cut, channels, silent)
	return silent, cut
}

// watchMemory samples the memory of all processes. stop ends it and returns the most that each
// had, in MB.
func (c *caseRun) watchMemory() (stop func() []float64) {
	most, done, wait := make([]float64, len(c.daemons)), make(chan struct{}), sync.WaitGroup{}
	for i, d := range c.daemons {
		wait.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(2 * time.Millisecond):
					most[i] = max(most[i], d.anonymousMB())
				}
			}
		})
	}
	return func() []float64 {
		close(done)
		wait.Wait()
		for i, d := range c.daemons {
			c.log.line("%s had up to %.1f MB of anonymous memory, memory_mb is %d; it runs: %v", d.name, most[i], d.memoryMB, d.alive())
		}
		return most
	}
}
