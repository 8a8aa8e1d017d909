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
	// waitTimeout bounds each wait for a condition and each short request. It is far
	// above what any of them needs, since a timeout fails the scenario.
	waitTimeout = 30 * time.Second
	// stopTimeout bounds the graceful stop of a VM.
	stopTimeout = 90 * time.Second

	operatorKey = "operator-key"
)

// fleet holds the processes that a script has started. The commands of a script run one
// after another. Background tasks use only the addresses of the processes and the fields
// under mu.
type fleet struct {
	dir      string
	platform *process.StandIn
	engines  []*process.StandIn
	services []*process.StandIn
	vms      []*process.VM
	// peerLinks holds the link to each VM's peer port, platformLinks the link from each
	// VM to the platform; both are in the order of vms.
	peerLinks, platformLinks []*connection.Link
	store                    platform.Client

	mu         sync.Mutex
	background map[string]*task
	results    map[string][]string     // results of calls, by path
	statuses   map[string]int          // exit statuses of hornbeamvalectl, by background task
	clients    map[string]*http.Client // by name of the connection that they keep
}

// fleetKey is the key of the *fleet in a script's environment.
type fleetKey struct{}

func newFleet(dir string) *fleet {
	return &fleet{
		dir: dir, background: map[string]*task{}, results: map[string][]string{},
		statuses: map[string]int{}, clients: map[string]*http.Client{},
	}
}

// command adapts a function that returns an error to a testscript command. The command
// cannot be negated.
func command(run func(f *fleet, ts *testscript.TestScript, args []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("the command cannot be negated")
		}
		ts.Check(run(ts.Value(fleetKey{}).(*fleet), ts, args))
	}
}

// waitFor waits until a condition holds. what describes the condition in the error.
func waitFor(what string, holds func(ctx context.Context) bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if process.WaitUntil(ctx, func() bool { return holds(ctx) }) != nil {
		return fmt.Errorf("timed out waiting for %q after %s", what, waitTimeout)
	}
	return nil
}

// requestContext returns the context of a request that is expected to be answered at
// once.
func requestContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), waitTimeout)
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

// defaultSettings shorten the waits of scenarios: the lease and the seat of a VM expire
// soon after it was killed or frozen.
var defaultSettings = []string{
	"lease.ttl=2s", "lease.seat_ttl=2s", "poll.interval=200ms", "shutdown.drain_limit=60s",
}

// fleetCommand starts the stand-ins and N VMs, submits the default document, and waits
// until it is in force at each VM and each VM admits requests.
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
	f.store = platform.New("http://"+f.platform.Address, waitTimeout, nil)
	if f.engines, err = startStandIns(*engines, append([]string{"engine"}, strings.Fields(*engineFlags)...)); err != nil {
		return err
	}
	if f.services, err = startStandIns(*services, []string{"service"}); err != nil {
		return err
	}
	if err := f.startVMs(n, append(defaultSettings, flags.Args()[1:]...)); err != nil {
		return err
	}
	if err := f.submitDefaultDocument(); err != nil {
		return err
	}
	return f.waitUntilAdmitted()
}

// waitUntilAdmitted waits until each VM admits requests of each customer. A new owner of
// a customer's rate limit grants no tokens at first.
func (f *fleet) waitUntilAdmitted() error {
	for _, v := range f.vms {
		for _, key := range []string{"alice-key", "bob-key"} {
			err := waitFor(key+" is admitted at "+v.ID, func(ctx context.Context) bool {
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

// startStandIns starts n stand-ins with the same arguments.
func startStandIns(n int, args []string) ([]*process.StandIn, error) {
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

// startVMs starts n VMs and waits until they are ready.
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
		if err := waitFor(v.ID+" is ready", v.Ready); err != nil {
			return err
		}
	}
	return nil
}

// maxStartAttempts bounds the attempts to start a VM. An attempt fails if another process
// of the machine takes the VM's port between the choice of the port and the start.
const maxStartAttempts = 5

// addVM starts VM i, from 0, behind its own links and waits until it listens.
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
		if err := waitFor(name+" listens or ends", func(context.Context) bool {
			return strings.Contains(v.Logs(), "Serving") || v.HasEnded()
		}); err != nil {
			v.Kill()
			return err
		}
		if v.HasEnded() && strings.Contains(v.Logs(), "address already in use") && attempt < maxStartAttempts {
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

// close ends every process by its process id and checks the VMs' logs for data races. It
// prints the logs if the scenario failed.
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
		hasRace := strings.Contains(logs, "DATA RACE")
		if hasRace || failed != nil && failed.Failed() {
			t.Log(logs)
		}
		if hasRace {
			t.Fatal(v.ID + " has a data race")
		}
	}
}

// logBackground logs how each background task ended. This often explains why a wait for
// its effect timed out.
func (f *fleet) logBackground(t testscript.T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, bg := range f.background {
		select {
		case <-bg.done:
			t.Log("background " + name + ": " + fmt.Sprint(bg.err))
		default:
			t.Log("background " + name + ": still running")
		}
	}
}
