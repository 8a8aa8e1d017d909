// Command overhead measures the overhead that the system adds to a call. It starts the
// stand-ins and first one, then three entry VMs as processes on loopback. It sends the
// same bounded load to the engine stand-in alternately directly and through the VMs, and
// prints the measures of both with their ratios.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"

	"hornbeamvale.example/hornbeamvale/operator"
	"hornbeamvale.example/hornbeamvale/standin/internal/process/fleet"
)

const (
	callerKey = "overhead-caller-key"
	endpoint  = "conseil-llm"
	// setupTimeout bounds the start of the processes and, separately, the wait for the
	// first accepted calls.
	setupTimeout = 30 * time.Second
)

type options struct {
	Bin      string        `long:"bin" default:"bin" description:"folder of the binaries"`
	Period   time.Duration `long:"period" default:"4s" description:"length of one period of load"`
	Rounds   int           `long:"rounds" default:"2" description:"periods of each kind"`
	Callers  int           `long:"callers" default:"8" description:"callers that run programs at the same time"`
	Tokens   int           `long:"tokens" default:"32" description:"tokens of an answer"`
	StepTime time.Duration `long:"step-time" default:"5ms" description:"time of one token at the engine"`
	Takeover bool          `long:"takeover" description:"measure the loss of a VM in place of the overhead"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "overhead:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	if o.Takeover {
		for _, ttl := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
			if err := withFleet(o, func(f *fleet.Fleet) error { return measureTakeover(ctx, f, o, ttl) }); err != nil {
				return err
			}
		}
		return nil
	}
	for _, vms := range []int{1, 3} {
		if err := withFleet(o, func(f *fleet.Fleet) error { return measureOverhead(ctx, f, o, vms) }); err != nil {
			return err
		}
	}
	return nil
}

// withFleet calls measure with a fleet that has no processes yet, and stops those that
// measure starts.
func withFleet(o options, measure func(*fleet.Fleet) error) (err error) {
	bin, err := filepath.Abs(o.Bin)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "hornbeamvale-overhead")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	f := &fleet.Fleet{Bin: bin, Dir: dir}
	defer func() { err = errors.Join(err, f.Stop()) }()
	return measure(f)
}

// measureOverhead compares the direct load with the load through n VMs and prints the
// result.
func measureOverhead(ctx context.Context, f *fleet.Fleet, o options, n int) error {
	engine, proxy, err := startFleet(ctx, f, o, n)
	if err != nil {
		return err
	}
	direct, through := &loadGenerator{options: o, engine: engine}, &loadGenerator{options: o, vms: f.VMs}
	if err := through.warmUp(ctx); err != nil {
		return err
	}
	before, err := readUsage(ctx, f.VMs)
	if err != nil {
		return err
	}
	var platformUsage platformCounts
	for range o.Rounds {
		direct.run(ctx)
		begin := proxy.snapshot()
		through.run(ctx)
		platformUsage = platformUsage.plus(proxy.snapshot().minus(begin))
	}
	after, err := readUsage(ctx, f.VMs)
	if err != nil {
		return err
	}
	printComparison(os.Stdout, n, direct, through, after.minus(before), platformUsage)
	return nil
}

// startFleet starts n VMs and the stand-ins and submits a configuration. It returns the
// address of the engine and the proxy that counts the requests to the platform.
func startFleet(ctx context.Context, f *fleet.Fleet, o options, n int) (engine string, proxy *platformProxy, err error) {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	platformAddress, err := f.StartStandIn("platform")
	if err != nil {
		return "", nil, err
	}
	proxy = newPlatformProxy(platformAddress)
	if f.Platform, err = proxy.listen(); err != nil {
		return "", nil, err
	}
	engine, err = f.StartStandIn("engine", "--answer-tokens", fmt.Sprint(o.Tokens),
		"--step-time", o.StepTime.String(), "--batch", fmt.Sprint(2*o.Callers))
	if err != nil {
		return "", nil, err
	}
	for i := range n {
		if err := f.StartDaemon(fmt.Sprintf("entry-%02d", i+1), "brest-a"); err != nil {
			return "", nil, err
		}
	}
	if err := f.WaitReady(ctx); err != nil {
		return "", nil, err
	}
	return engine, proxy, f.Submit(ctx, &operator.Document{
		Fleet: operator.Fleet{Seats: n},
		Customers: []operator.Customer{{
			Name: "tresorerie", Keys: []operator.Key{operator.NewKey("overhead", callerKey)},
			Rate: 20_000, Burst: 20_000, Weight: 1, Endpoints: []string{"*"}, Programs: []string{"*"},
		}},
		Programs: []operator.Program{{Name: programName}},
		Endpoints: []operator.Endpoint{{
			Name: endpoint, Kind: operator.KindModel, Replicas: []string{engine}, MaxConcurrent: 1024,
			Routes: []operator.Route{{Method: http.MethodGet, Prefix: "/", Idempotent: true}},
		}},
	})
}
