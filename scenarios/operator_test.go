package scenarios

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"hornbeamvale.example/hornbeamvale/internal/connection/operatorhttp"
	"hornbeamvale.example/hornbeamvale/operator"
	"hornbeamvale.example/hornbeamvale/standin/fleet/process"
	"hornbeamvale.example/hornbeamvale/standin/fleet/request"
)

// document returns the default configuration of the scenarios: two customers that may
// use every endpoint and program, with rates that no scenario reaches.
func (f *fleet) document() *operator.Document {
	const rate, burst = 4000, 1000
	customer := func(name string) operator.Customer {
		return operator.Customer{
			Name: name, Rate: rate, Burst: burst, Weight: 1, Endpoints: []string{"*"}, Programs: []string{"*"},
			Keys: []operator.Key{operator.NewKey("main", name+"-key"), operator.NewKey("spare", name+"-spare")},
		}
	}
	addresses := func(standIns []*process.StandIn) (a []string) {
		for _, s := range standIns {
			a = append(a, s.Address)
		}
		return a
	}
	return &operator.Document{
		Fleet:     operator.Fleet{Seats: len(f.vms) + 1},
		Customers: []operator.Customer{customer("alice"), customer("bob")},
		Programs:  []operator.Program{{Name: "booking"}, {Name: "payout"}},
		Endpoints: []operator.Endpoint{
			{Name: "cacao-agents", Kind: operator.KindModel, Replicas: addresses(f.engines)},
			{Name: "batch-ledger", Kind: operator.KindService, Replicas: addresses(f.services), Routes: []operator.Route{
				{Method: http.MethodGet, Prefix: "/", Idempotent: true},
			}},
		},
	}
}

// submitDefaultDocument submits the default configuration and waits until it is in force
// at every VM.
func (f *fleet) submitDefaultDocument() error {
	path := filepath.Join(f.dir, "default.json")
	if err := writeDocument(path, f.document()); err != nil {
		return err
	}
	out, status, err := f.ctl(1, "submit", path, "--base", "0")
	if err != nil || status != 0 {
		return fmt.Errorf("submit: status %d: %s: %w", status, out, err)
	}
	for n := range f.vms {
		if err := f.waitForVersion(n+1, 1); err != nil {
			return err
		}
	}
	return nil
}

func writeDocument(path string, d *operator.Document) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(d.Print(file), file.Close())
}

// documentCommand writes the default document with changes to a file.
//
//	document [-program NAME] [-timeout S] [-concurrent N] [-vmlist ENDPOINT] FILE
func documentCommand(f *fleet, ts *testscript.TestScript, args []string) error {
	flags := flag.NewFlagSet("document", flag.ContinueOnError)
	name := flags.String("program", "", "declare another program, so that documents differ")
	timeout := flags.Int("timeout", 0, "timeout_seconds of each endpoint")
	concurrent := flags.Int("concurrent", 0, "max_concurrent of each endpoint")
	vmList := flags.String("vmlist", "", "endpoint whose replicas come from the list of VMs only")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.NArg() != 1 {
		return errors.New("usage: document [flags] FILE")
	}
	d := f.document()
	if *name != "" {
		d.Programs = append(d.Programs, operator.Program{Name: *name})
	}
	for i := range d.Endpoints {
		d.Endpoints[i].TimeoutSeconds, d.Endpoints[i].MaxConcurrent = *timeout, *concurrent
		if d.Endpoints[i].Name == *vmList {
			d.Endpoints[i].Replicas = nil
		}
	}
	return writeDocument(ts.MkAbs(flags.Arg(0)), d)
}

// ctlCommand runs hornbeamvalectl against a VM. Its exit status must be one of those of
// -exit. With -until the command is repeated until it is.
//
//	ctl [-bg NAME] [-exit N,N] [-until] VM ARGS...
func ctlCommand(f *fleet, ts *testscript.TestScript, args []string) error {
	flags := flag.NewFlagSet("ctl", flag.ContinueOnError)
	name := flags.String("bg", "", "run in the background")
	exits := flags.String("exit", "0", "accepted exit statuses")
	until := flags.Bool("until", false, "repeat until the exit status is accepted")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.NArg() < 2 {
		return errors.New("usage: ctl [flags] VM ARGS...")
	}
	_, n, err := f.vm(flags.Arg(0))
	if err != nil {
		return err
	}
	rest := flags.Args()[1:]
	for i, a := range rest {
		if strings.HasSuffix(a, ".json") {
			rest[i] = ts.MkAbs(a)
		}
	}
	accepted := strings.Split(*exits, ",")
	run := func() error {
		var out string
		var status int
		once := func(context.Context) bool {
			out, status, err = f.ctl(n, rest...)
			if *name != "" && err == nil {
				f.setStatus(*name, status)
			}
			return err == nil && slices.Contains(accepted, strconv.Itoa(status))
		}
		if once(context.Background()) || *until && waitFor("hornbeamvalectl", once) == nil {
			if *name == "" {
				fmt.Fprint(ts.Stdout(), out)
			}
			return nil
		}
		return fmt.Errorf("hornbeamvalectl %s: status %d, want %s: %s: %w", strings.Join(rest, " "), status, *exits, out, err)
	}
	if *name != "" {
		f.runInBackground(*name, run)
		return nil
	}
	return run()
}

// ctl runs hornbeamvalectl against VM n and returns its output and exit status.
func (f *fleet) ctl(n int, args ...string) (string, int, error) {
	keyFile := filepath.Join(f.dir, "operator.key")
	if err := os.WriteFile(keyFile, []byte(operatorKey+"\n"), 0o600); err != nil {
		return "", 0, err
	}
	ctx, cancel := requestContext()
	defer cancel()
	args = append([]string{"--server", "http://" + f.vms[n-1].Operator, "--key-file", keyFile}, args...)
	cmd := exec.CommandContext(ctx, filepath.Join(binaries, "hornbeamvalectl"), args...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.Exited() {
		return out.String(), exit.ExitCode(), nil
	}
	return out.String(), 0, err
}

// setStatus records the exit status of hornbeamvalectl in a background task.
func (f *fleet) setStatus(name string, status int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.statuses[name] = status
}

// oneAcceptedCommand checks that exactly one of several background commands, which have
// ended, had the exit status 0: oneaccepted NAME...
func oneAcceptedCommand(f *fleet, _ *testscript.TestScript, args []string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	accepted := 0
	for _, name := range args {
		if status, ok := f.statuses[name]; ok && status == 0 {
			accepted++
		}
	}
	if accepted != 1 {
		return fmt.Errorf("%d of %v were accepted, want 1; exit statuses: %v", accepted, args, f.statuses)
	}
	return nil
}

// leavingCommand waits until VMs regard a stand-in as leaving: leaving STANDIN VM...
func leavingCommand(f *fleet, _ *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errors.New("usage: leaving STANDIN VM...")
	}
	targets, err := f.standIns(args[0])
	if err != nil {
		return err
	}
	for _, a := range args[1:] {
		v, _, err := f.vm(a)
		if err != nil {
			return err
		}
		err = waitFor(args[0]+" is leaving at "+v.ID, func(ctx context.Context) bool {
			header := http.Header{"Authorization": {"Bearer " + operatorKey}}
			page, err := request.Do(ctx, http.MethodGet, "http://"+v.Operator+"/v1/status", "", header)
			return err == nil && isLeaving(page, targets[0].Address)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// isLeaving reports whether a status page shows the replica at an address as leaving.
func isLeaving(page, address string) bool {
	var status operatorhttp.Status
	if json.Unmarshal([]byte(page), &status) != nil {
		return false
	}
	for _, e := range status.Endpoints {
		for _, r := range e.Replicas {
			if r.Address == address {
				return r.Leaving
			}
		}
	}
	return false
}

// versionCommand waits until a version or a higher one is in force at VMs.
//
//	version N VM...
func versionCommand(f *fleet, _ *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errors.New("usage: version N VM...")
	}
	number, err := strconv.ParseFloat(args[0], 64)
	if err != nil {
		return err
	}
	for _, a := range args[1:] {
		_, n, err := f.vm(a)
		if err != nil {
			return err
		}
		if err := f.waitForVersion(n, number); err != nil {
			return err
		}
	}
	return nil
}

// waitForVersion waits until a version or a higher one is in force at VM n.
func (f *fleet) waitForVersion(n int, number float64) error {
	v := f.vms[n-1]
	return waitFor(fmt.Sprintf("version %g is in force at %s", number, v.ID), func(ctx context.Context) bool {
		page, err := request.Do(ctx, http.MethodGet, "http://"+v.Operator+"/metrics", "", nil)
		if err != nil {
			return false
		}
		for line := range strings.Lines(page) {
			if strings.HasPrefix(line, "hornbeamvale_configuration_version") {
				fields := strings.Fields(line)
				got, err := strconv.ParseFloat(fields[len(fields)-1], 64)
				return err == nil && got >= number
			}
		}
		return false
	})
}
