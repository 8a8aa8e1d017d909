// Package fleet starts and stops the processes of the demo and of the overhead
// measurement on loopback: stand-ins and daemons. It also runs the operators' client.
package fleet

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"time"

	"hornbeamvale.example/hornbeamvale/operator"
	"hornbeamvale.example/hornbeamvale/standin/fleet/process"
)

// OperatorKey is the operators' key of every daemon of a fleet.
const OperatorKey = "demo-operator-key"

const (
	// defaultLeaseTTL is shorter than the daemon's default of 10 s, so that the slots of
	// a lost VM are taken over sooner.
	defaultLeaseTTL = 3 * time.Second
	// stopLimit limits the graceful stop of one process.
	stopLimit = 20 * time.Second
)

// Fleet is a set of running processes.
type Fleet struct {
	// Bin is the directory of the binaries, Dir the directory of settings and logs.
	Bin, Dir string
	// Platform is the address of the platform stand-in that daemons use.
	Platform string
	// LeaseTTL is the lease TTL of the daemons; 0 means defaultLeaseTTL.
	LeaseTTL time.Duration
	// VMs holds the running daemons in the order of their start.
	VMs       []*process.VM
	processes []stopper // all running processes in the order of their start
}

type stopper interface {
	Stop(limit time.Duration) error
}

// StartStandIn starts a stand-in and returns its address.
func (f *Fleet) StartStandIn(args ...string) (string, error) {
	s, err := process.StartStandIn(f.Bin, os.Stderr, args...)
	if err != nil {
		return "", err
	}
	f.processes = append(f.processes, s)
	return s.Address, nil
}

// StartDaemon writes the settings of a VM and starts it.
func (f *Fleet) StartDaemon(id, dataCentre string) error {
	v, err := process.NewVM(f.Bin, f.Dir, id)
	if err != nil {
		return err
	}
	s := v.PlaintextSettings(dataCentre, f.Platform, v.Peer, OperatorKey)
	s.Set("lease", "ttl", cmp.Or(f.LeaseTTL, defaultLeaseTTL).String())
	s.Set("shutdown", "drain_limit", "15s")
	if err := errors.Join(v.Configure(s), v.Start()); err != nil {
		return err
	}
	f.VMs, f.processes = append(f.VMs, v), append(f.processes, v)
	return nil
}

// WaitReady waits until every daemon is ready for traffic.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, v := range f.VMs {
		if err := process.WaitUntil(ctx, func() bool { return v.Ready(ctx) }); err != nil {
			return fmt.Errorf("%s is not ready: %w", v.ID, err)
		}
	}
	return nil
}

// Stop stops the processes gracefully, in the reverse order of their start. On a failure
// it prints the logs of the daemons.
func (f *Fleet) Stop() error {
	var failed error
	for _, p := range slices.Backward(f.processes) {
		failed = errors.Join(failed, p.Stop(stopLimit))
	}
	if failed != nil {
		for _, v := range f.VMs {
			fmt.Fprint(os.Stderr, v.Logs())
		}
	}
	return failed
}

// Kill kills the n-th running daemon.
func (f *Fleet) Kill(n int) error {
	if n < 0 || n >= len(f.VMs) {
		return fmt.Errorf("VM %d was not started", n)
	}
	v := f.VMs[n]
	f.VMs = slices.Delete(f.VMs, n, n+1)
	f.processes = slices.DeleteFunc(f.processes, func(p stopper) bool { return p == stopper(v) })
	v.Kill()
	return nil
}

// Submit writes the first configuration document to a file and submits it with
// hornbeamvalectl.
func (f *Fleet) Submit(ctx context.Context, doc *operator.Document) error {
	path := filepath.Join(f.Dir, "configuration.json")
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := errors.Join(doc.Print(file), file.Close()); err != nil {
		return err
	}
	return f.RunCtl(ctx, "submit", path, "--base", "0")
}

// RunCtl runs hornbeamvalectl against the first daemon and forwards its output.
func (f *Fleet) RunCtl(ctx context.Context, args ...string) error {
	keyFile := filepath.Join(f.Dir, "operator.key")
	if err := os.WriteFile(keyFile, []byte(OperatorKey+"\n"), 0o600); err != nil {
		return err
	}
	args = append([]string{"--server", "http://" + f.VMs[0].Operator, "--key-file", keyFile}, args...)
	cmd := exec.CommandContext(ctx, filepath.Join(f.Bin, "hornbeamvalectl"), args...)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	return cmd.Run()
}
