// Package driver runs the cases of the review. It starts the daemons with the command of the
// deploy file and has the stand-ins of the platform, the replicas and the consumers. It
// consists of test files alone, since other files outside the folder platform must not use
// the names of the platform's protocol; build.sh makes a program of it.
package driver

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// caseLimit bounds a case.
const caseLimit = 115 * time.Second

// world is what a case works with.
type world struct {
	root, dir string
	command   []string
	trouble   bool
	net       network
	record    *record
	store     *store
	balancer  *balancer
	machines  []*machine
	running   bool // the system has started
}

// body runs a case and returns whether the rule was broken.
type body func(ctx context.Context, c *world) (broken bool, err error)

// cases holds the cases by name. Each file of a case adds its own.
var cases = map[string]struct {
	machines int // the most that it starts
	run      body
}{}

func addCase(name string, machines int, run body) {
	cases[name] = struct {
		machines int
		run      body
	}{machines, run}
}

// TestMain runs a case in place of tests: driver [-root DIR] [-record FILE] [-keep] CASE.
func TestMain(*testing.M) { os.Exit(start()) }

func start() int {
	root := flag.String("root", ".", "root of the repository")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	keep := flag.Bool("keep", false, "keep the folder with the logs of the daemons")
	flag.Parse()
	chosen, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", flag.Arg(0))
		return exitCannot
	}
	broken, err := runCase(*root, *path, *keep, chosen.machines, chosen.run)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitCannot
	case broken:
		return exitBroken
	}
	return exitHeld
}

func runCase(root, path string, keep bool, machines int, run body) (broken bool, err error) {
	c := &world{trouble: os.Getenv("TROUBLE") != "0", balancer: newBalancer()}
	if c.root, err = filepath.Abs(root); err != nil {
		return false, err
	}
	if c.command, err = deployCommand(c.root); err != nil {
		return false, err
	}
	if c.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return false, err
	}
	if !keep {
		defer func() { _ = os.RemoveAll(c.dir) }()
	}
	if c.record, err = newRecord(path); err != nil {
		return false, err
	}
	defer c.record.close()
	c.record.line("trouble=%t logs=%s", c.trouble, c.dir)
	if c.net, err = newNetwork(machines); err != nil {
		return false, err
	}
	if c.store, err = newStore(c.net.prefix+"1", c.record); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), caseLimit)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	defer func() {
		for _, m := range c.machines {
			m.kill()
		}
	}()
	go c.balancer.run(ctx)
	broken, err = run(ctx, c)
	if err == nil && ctx.Err() != nil {
		err = errors.New("the case was stopped before its end")
	}
	return broken, err
}

// addMachine starts a machine and lets the balancer use it.
func (c *world) addMachine(zone string) (*machine, error) {
	m := c.newMachine(len(c.machines), zone)
	c.machines = append(c.machines, m)
	c.balancer.add(m)
	return m, m.start()
}

// awaitReady waits until all machines are in rotation.
func (c *world) awaitReady(ctx context.Context) error {
	limit := time.Now().Add(20 * time.Second)
	for !c.balancer.allIn() {
		if time.Now().After(limit) {
			return errors.New("the machines do not become ready")
		}
		if !sleep(ctx, 50*time.Millisecond) {
			return ctx.Err()
		}
	}
	c.running = true
	return nil
}

// sleep waits for d. It returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
