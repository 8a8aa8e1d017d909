package scenarios

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/standin/fleet/connection"
	"hornbeamvale.example/hornbeamvale/standin/fleet/process"
	"hornbeamvale.example/hornbeamvale/standin/fleet/request"
)

const (
	// deadline bounds each wait for a condition. It is far above what any of them
	// needs, since an expired deadline fails the scenario.
	deadline = 30 * time.Second
	// stopLimit bounds the graceful stop of a process.
	stopLimit = 90 * time.Second

	operatorKey = "operator-key"
)

// fleet is what one script has started. A script's commands run one after
// another; calls in the background use its addresses only.
type fleet struct {
	dir      string
	platform *process.StandIn
	engines  []*process.StandIn
	services []*process.StandIn
	vms      []*process.VM
	// peerLinks are by target VM; platformLinks by source VM.
	peerLinks, platformLinks []*connection.Link
	store                    platform.Client

	mu         sync.Mutex
	background map[string]*pending
	told       map[string][]string // what callers were told, by path
	statuses   map[string]int      // of hornbeamvalectl in the background
	clients    map[string]*http.Client
}

type fleetKey struct{}

func newFleet(dir string) *fleet {
	return &fleet{
		dir: dir, background: map[string]*pending{}, told: map[string][]string{},
		statuses: map[string]int{}, clients: map[string]*http.Client{},
	}
}

// command adapts a function that returns an error. No command may be negated.
func command(run func(f *fleet, ts *testscript.TestScript, args []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("the command cannot be negated")
		}
		ts.Check(run(ts.Value(fleetKey{}).(*fleet), ts, args))
	}
}

// until waits for a condition. what names it in the error.
func until(what string, holds func(ctx context.Context) bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	if process.WaitUntil(ctx, func() bool { return holds(ctx) }) != nil {
		return fmt.Errorf("%s: not within %s", what, deadline)
	}
	return nil
}

// short is the context of a request that is answered at once.
func short() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), deadline)
}

func vmName(n int) string { return fmt.Sprintf("entry-%02d", n) }

// vm returns the VM with the number in the text, from 1.
func (f *fleet) vm(text string) (*process.VM, int, error) {
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > len(f.vms) {
		return nil, 0, fmt.Errorf("%q is not the number of a VM", text)
	}
	return f.vms[n-1], n, nil
}

// defaultSettings shorten what scenarios wait for. Lease and seat expire soon
// after a VM died or was frozen.
var defaultSettings = []string{
	"lease.ttl=2s", "lease.seat_ttl=2s", "poll.interval=200ms", "shutdown.drain_limit=60s",
}

// fleetCommand starts the stand-ins and VMs, submits the default document and
// waits until it is in force everywhere.
//
//	fleet [-engines N] [-services N] [-engine FLAGS] N [section.key=value...]
func fleetCommand(f *fleet, _ *testscript.TestScript, args []string) error {
	flags := flag.NewFlagSet("fleet", flag.ContinueOnError)
	engines := flags.Int("engines", 1, "engines")
	services := flags.Int("services", 1, "services")
	engineFlags := flags.String("engine", "--answer-tokens 12", "flags of each engine")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.NArg() < 1 {
		return errors.New("usage: fleet [flags] N [section.key=value...]")
	}
	n, err := strconv.Atoi(flags.Arg(0))
	if err != nil {
		return err
	}
	if f.platform, err = process.StartStandIn(binaries, io.Discard, "platform"); err != nil {
		return err
	}
	f.store = platform.New("http://"+f.platform.Address, deadline, nil)
	if f.engines, err = standIns(*engines, append([]string{"engine"}, strings.Fields(*engineFlags)...)); err != nil {
		return err
	}
	if f.services, err = standIns(*services, []string{"service"}); err != nil {
		return err
	}
	if err := f.startVMs(n, append(defaultSettings, flags.Args()[1:]...)); err != nil {
		return err
	}
	if err := f.submitDefault(); err != nil {
		return err
	}
	return f.warm()
}

// warm waits until each VM has tokens for each customer: a new owner of a
// customer's limit grants nothing at first.
func (f *fleet) warm() error {
	for _, v := range f.vms {
		for _, key := range []string{"alice-key", "bob-key"} {
			err := until(key+" is admitted at "+v.ID, func(ctx context.Context) bool {
				_, err := request.Service(ctx, v.Caller, request.Call{Key: key}, "batch-ledger", http.MethodGet, "/warm")
				return err == nil
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

func standIns(n int, args []string) ([]*process.StandIn, error) {
	var started []*process.StandIn
	for range n {
		s, err := process.StartStandIn(binaries, io.Discard, args...)
		if err != nil {
			return started, err
		}
		started = append(started, s)
	}
	return started, nil
}

func (f *fleet) startVMs(n int, overrides []string) error {
	var names []string
	for i := range n {
		names = append(names, vmName(i+1))
	}
	for i, name := range names {
		if err := f.addVM(name, names, i, overrides); err != nil {
			return err
		}
	}
	for _, v := range f.vms {
		if err := until(v.ID+" is ready", v.Ready); err != nil {
			return err
		}
	}
	return nil
}

// startAttempts bounds the starts of a VM whose port was taken by another process
// of the machine between its choice and the start.
const startAttempts = 5

// addVM starts a VM behind links of its own and waits until it listens.
func (f *fleet) addVM(name string, names []string, i int, overrides []string) error {
	for attempt := 1; ; attempt++ {
		v, err := process.NewVM(binaries, f.dir, name)
		if err != nil {
			return err
		}
		peers, err := connection.NewLink(v.Peer, names...)
		if err != nil {
			return err
		}
		store, err := connection.NewLink(f.platform.Address, name)
		if err != nil {
			return err
		}
		if err := configure(v, i, store.Address(), peers.Address(), overrides); err != nil {
			return err
		}
		if err := v.Start(); err != nil {
			return err
		}
		if err := until(name+" listens or ends", func(context.Context) bool {
			return strings.Contains(v.Logs(), "Serving") || v.HasEnded()
		}); err != nil {
			v.Kill()
			return err
		}
		if v.HasEnded() && strings.Contains(v.Logs(), "address already in use") && attempt < startAttempts {
			peers.Close()
			store.Close()
			continue
		}
		f.vms, f.peerLinks, f.platformLinks = append(f.vms, v), append(f.peerLinks, peers), append(f.platformLinks, store)
		return nil
	}
}

// configure writes the settings of VM i, from 0.
func configure(v *process.VM, i int, store, peers string, overrides []string) error {
	dataCentres := []string{"annotto-bay", "port-maria", "highgate"}
	s := v.PlaintextSettings(dataCentres[i%len(dataCentres)], store, peers, operatorKey)
	for _, o := range overrides {
		key, value, found := strings.Cut(o, "=")
		section, name, dotted := strings.Cut(key, ".")
		if !found || !dotted {
			return fmt.Errorf("%q is not section.key=value", o)
		}
		s.Set(section, name, value)
	}
	return v.Configure(s)
}

// close ends every process by its own id and checks the logs for data races. The
// VMs' logs are printed when the scenario failed.
func (f *fleet) close(t testscript.T) {
	for _, v := range f.vms {
		if v.Process != nil {
			v.Kill()
		}
	}
	for _, l := range append(f.peerLinks, f.platformLinks...) {
		l.Close()
	}
	standIns := append(f.engines, f.services...)
	if f.platform != nil {
		standIns = append(standIns, f.platform)
	}
	for _, s := range standIns {
		s.Kill()
	}
	failed, _ := t.(interface{ Failed() bool })
	if failed != nil && failed.Failed() {
		f.logBackground(t)
	}
	for _, v := range f.vms {
		logs := v.Logs()
		raced := strings.Contains(logs, "DATA RACE")
		if raced || failed != nil && failed.Failed() {
			t.Log(logs)
		}
		if raced {
			t.Fatal(v.ID + " has a data race")
		}
	}
}

// logBackground tells how each background call ended, which is often why a wait
// for its effect did not end.
func (f *fleet) logBackground(t testscript.T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, p := range f.background {
		select {
		case <-p.done:
			t.Log("background " + name + ": " + fmt.Sprint(p.err))
		default:
			t.Log("background " + name + ": still runs")
		}
	}
}
