// Command demo starts three entry VMs and the stand-ins as processes on loopback,
// submits a configuration, runs one program of several dependent calls, and prints the
// answers and the time line of the program. It stops all processes afterwards.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"hornbeamvale.example/hornbeamvale/standin/internal/process/fleet"
)

// demoTimeout bounds the whole demo, from the start of the processes.
const demoTimeout = time.Minute

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) (err error) {
	bin, err := filepath.Abs("bin")
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "hornbeamvale-demo")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	d := &demo{Fleet: fleet.Fleet{Bin: bin, Dir: dir}}
	defer func() { err = errors.Join(err, d.Stop()) }()
	if err := d.start(ctx); err != nil {
		return err
	}
	if err := d.Submit(ctx, d.document()); err != nil {
		return err
	}
	return d.runProgram(ctx)
}
