// Package soak runs the real daemon as separate processes on stand-ins of the
// platform, injects random faults from outside and checks the promises from what
// callers and replicas see.
//
//	go test ./soak -run TestSoak -seeds 50 -first 1 -duration 12s
//
// A seed that failed is kept in regressions with a line on its cause.
package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/platform/platformtest"
	"hornbeamvale.example/hornbeamvale/standin/fleet/connection"
)

var (
	seeds    = flag.Int("seeds", 2, "number of seeds")
	first    = flag.Uint64("first", 1, "first seed")
	duration = flag.Duration("duration", 10*time.Second, "time with faults for each seed")
)

// regressions are seeds that failed once, with the cause.
var regressions = map[uint64]string{
	104: "the stand-in sent events with its failures, which counted as tokens",
	112: "as 104",
	209: "as 104",
}

const (
	vms      = 4
	replicas = 3 // of each service
	callers  = 8
)

// TestSoak guards the promises under random faults: processes that are killed,
// paused and stopped, links that are cut and stalled, a store that is down, loses
// answers and its history, replicas that fail, and changes of the configuration.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "hornbeamvaled")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/hornbeamvaled").CombinedOutput()
	require.NoError(t, err, string(out))
	run := func(seed uint64) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { soakOne(t, binary, seed) })
	}
	for seed, cause := range regressions {
		t.Logf("seed %d failed once: %s", seed, cause)
		run(seed)
	}
	for i := range *seeds {
		run(*first + uint64(i))
	}
}

// soak is one run.
type soak struct {
	t        *testing.T
	random   *rand.Rand // of the faults
	store    *platformtest.Store
	vms      []*vm
	replicas []*platformtest.Replica
	links    []*connection.Link // to the replicas
	judge    *judge

	mu        sync.Mutex
	disturbed time.Time // the last moment of an unplanned disturbance
	version   int
	faults    []string // for the report of a failure
}

func soakOne(t *testing.T, binary string, seed uint64) {
	folder, err := os.MkdirTemp("", "soak")
	require.NoError(t, err)
	s := &soak{t: t, random: rand.New(rand.NewPCG(seed, 7)), store: platformtest.NewStore(t)}
	s.judge = newJudge(s)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("faults: %v\nlogs: %s", s.faults, folder)
			return
		}
		require.NoError(t, os.RemoveAll(folder))
	})
	s.configure(`"key-a"`)
	for _, service := range []string{"model", "tools"} {
		b := platformtest.Behaviour{}
		if service == "model" {
			b = platformtest.Behaviour{Events: 3, Gap: 10 * time.Millisecond}
		}
		for i := range replicas {
			s.addReplica(service, fmt.Sprint(service, i), b)
		}
	}
	for i := range vms {
		s.vms = append(s.vms, newVM(t, binary, folder, i, s.store))
	}
	s.judge.waitUntilServed(30 * time.Second)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for i := range callers {
		c := newCaller(s, rand.New(rand.NewPCG(seed, 100+uint64(i))), i)
		wait.Go(func() { c.run(stop) })
	}
	for end := time.Now().Add(*duration); time.Now().Before(end); {
		s.fault()
		time.Sleep(time.Duration(100+s.random.IntN(700)) * time.Millisecond)
	}
	close(stop)
	wait.Wait()
	s.heal()
	s.judge.waitUntilServed(30 * time.Second)
	s.judge.verdict()
}

const configuration = `{"version":%d,
"routes":[
 {"name":"chat","host":"app.example","path_prefix":"/chat/","type":"streaming","timeout_ms":3000,"priority":1,"service":"model","max_attempts":2,"keeps_history":true,"retention_s":60},
 {"name":"read","host":"app.example","path_prefix":"/read/","type":"idempotent","timeout_ms":1500,"priority":2,"service":"tools","max_attempts":2},
 {"name":"pay","host":"app.example","path_prefix":"/pay/","type":"non_idempotent","timeout_ms":1500,"priority":2,"service":"tools","max_attempts":2}],
"services":[{"name":"model","runtime":{"slots":8,"chunk_tokens":14}},{"name":"tools"}],
"limits":{"max_body_bytes":65536},
"tenants":[{"name":"a","api_keys":[%s],"rate_per_s":%d,"burst":%d}]}`

// configure writes the next configuration.
func (s *soak) configure(keys string) {
	s.mu.Lock()
	s.version += 1 + s.version%3
	version := s.version
	s.mu.Unlock()
	s.store.Put("op", "config", fmt.Appendf(nil, configuration, version, keys, rate, rate))
}

func (s *soak) addReplica(service, id string, b platformtest.Behaviour) {
	r := platformtest.NewReplica(s.t, id, b)
	link, err := connection.NewLink(r.Address(), "vm")
	require.NoError(s.t, err)
	s.t.Cleanup(link.Close)
	s.replicas, s.links = append(s.replicas, r), append(s.links, link)
	s.list(len(s.replicas)-1, "ready")
}

func (s *soak) service(i int) string {
	if i < replicas {
		return "model"
	}
	return "tools"
}

// list writes a replica's entry with the address of its link.
func (s *soak) list(i int, state string) {
	s.store.Put("servers", s.replicas[i].ID, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"a","slots":8,"state":%q,"sequence":1}`, s.service(i), s.links[i].Address(), state))
}

// disturb notes an unplanned disturbance that lasts for d.
func (s *soak) disturb(what string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, what)
	if until := time.Now().Add(d); until.After(s.disturbed) {
		s.disturbed = until
	}
}

// calm says whether no unplanned disturbance lay in the time from settleAfter before
// a moment on.
func (s *soak) calm(from time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return from.Sub(s.disturbed) > settleAfter
}

// fault injects one fault and returns; its end is injected by a timer.
func (s *soak) fault() {
	v := s.vms[s.random.IntN(len(s.vms))]
	i := s.random.IntN(len(s.replicas))
	d := time.Duration(300+s.random.IntN(2500)) * time.Millisecond
	switch s.random.IntN(13) {
	case 0, 1:
		s.stop(v)
	case 2:
		s.disturb("kill "+v.name, time.Second)
		v.signal(syscall.SIGKILL)
		s.restart(v, d/3)
	case 3:
		s.disturb("pause "+v.name, d)
		v.signal(syscall.SIGSTOP)
		time.AfterFunc(d, func() { v.signal(syscall.SIGCONT) })
	case 4:
		s.setLink("store link of "+v.name, v.link, connection.Cut, d)
	case 5:
		s.setLink("store link of "+v.name, v.link, connection.Stalled, d)
	case 6:
		s.disturb("store down", d)
		s.store.SetDown(true)
		time.AfterFunc(d, func() { s.store.SetDown(false) })
	case 7:
		s.disturb("lost answers", 2*time.Second)
		s.store.LoseReplies(1 + s.random.IntN(8))
	case 8:
		s.disturb("history dropped", 0)
		s.store.DropHistory()
	case 9:
		s.setLink("replica "+s.replicas[i].ID, s.links[i], connection.Cut, d)
	case 10:
		s.setLink("replica "+s.replicas[i].ID, s.links[i], connection.Stalled, d)
	case 11:
		s.misbehave(i, d)
	case 12:
		s.configure(`"key-a"`)
		s.list(i, "draining")
		time.AfterFunc(d, func() { s.list(i, "ready") })
	}
}

func (s *soak) setLink(what string, l *connection.Link, state connection.State, d time.Duration) {
	s.disturb(fmt.Sprint(what, " ", state), d)
	l.SetState("vm", state)
	time.AfterFunc(d, func() { l.SetState("vm", connection.Healthy) })
}

func (s *soak) misbehave(i int, d time.Duration) {
	b := []platformtest.Behaviour{{Shed: true}, {ResetConnection: true}, {WrongID: true}, {Status: 500}, {Delay: 2 * time.Second}}[s.random.IntN(5)]
	good := platformtest.Behaviour{}
	if s.service(i) == "model" {
		good = platformtest.Behaviour{Events: 3, Gap: 10 * time.Millisecond}
		b.Events = 3
	}
	s.disturb(fmt.Sprintf("replica %s %+v", s.replicas[i].ID, b), d)
	s.replicas[i].SetBehaviour(b)
	time.AfterFunc(d, func() { s.replicas[i].SetBehaviour(good) })
}

// stop stops a VM as planned and starts it again. A process that is still there after
// its time is killed, which is a failure unless it was disturbed.
func (s *soak) stop(v *vm) {
	if v.stopping() {
		return
	}
	v.mu.Lock()
	v.ending = time.Now()
	began, done := v.ending, v.done
	v.mu.Unlock()
	v.signal(syscall.SIGTERM)
	time.AfterFunc(stopWithin, func() {
		select {
		case <-done:
		default:
			if s.calm(began) {
				s.judge.broken("process of %s did not end within %v", v.name, stopWithin)
			}
			v.signal(syscall.SIGKILL)
		}
		s.restart(v, 100*time.Millisecond)
	})
}

// restart starts the VM's process again when it has ended.
func (s *soak) restart(v *vm, after time.Duration) {
	done := v.ended()
	go func() {
		<-done
		time.Sleep(after)
		if v.ended() == done {
			if err := v.start(); err != nil {
				s.judge.broken("%s does not start: %v", v.name, err)
			}
		}
	}()
}

// heal ends all faults and waits for the timers of those under way.
func (s *soak) heal() {
	time.Sleep(stopWithin + time.Second)
	s.store.SetDown(false)
	s.store.LoseReplies(0)
	for _, v := range s.vms {
		v.signal(syscall.SIGCONT)
	}
}
