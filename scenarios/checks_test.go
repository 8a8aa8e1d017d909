package scenarios

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"hornbeamvale.example/hornbeamvale/internal/process/eventlog"
	"hornbeamvale.example/hornbeamvale/standin/fleet/process"
	"hornbeamvale.example/hornbeamvale/standin/fleet/request"
)

// ranCommand checks how many requests of a path ran at all services together, or at one
// of them. With -wait it first waits until at least that many have run.
//
//	ran [-wait] [-at serviceN] PATH N
func ranCommand(f *fleet, _ *testscript.TestScript, args []string) error {
	flags := flag.NewFlagSet("ran", flag.ContinueOnError)
	wait := flags.Bool("wait", false, "wait until the path ran N times")
	at := flags.String("at", "service", "service")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.NArg() != 2 {
		return errors.New("usage: ran [-wait] [-at serviceN] PATH N")
	}
	services, err := f.standIns(*at)
	if err != nil {
		return err
	}
	path := flags.Arg(0)
	want, err := strconv.Atoi(flags.Arg(1))
	if err != nil {
		return err
	}
	if *wait {
		err := waitFor(fmt.Sprintf("%s ran %d times", path, want), func(ctx context.Context) bool {
			got, err := ran(ctx, services, path)
			return err == nil && got >= want
		})
		if err != nil {
			return err
		}
	}
	ctx, cancel := requestContext()
	defer cancel()
	got, err := ran(ctx, services, path)
	if err == nil && got != want {
		err = fmt.Errorf("%s ran %d times, want %d", path, got, want)
	}
	return err
}

// ran returns how many requests of a path ran at the services together.
func ran(ctx context.Context, services []*process.StandIn, path string) (int, error) {
	total := 0
	for _, s := range services {
		n, err := request.RunCount(ctx, s.Address, path)
		if err != nil {
			return 0, err
		}
		total += n
	}
	return total, nil
}

// consistentCommand checks that the results of non-idempotent calls agree with what ran:
// after an answer the call ran exactly once; if every attempt was refused as not run, it
// did not run; in no case it ran twice. A path must not be used with more than one id.
//
//	consistent PATH...
func consistentCommand(f *fleet, _ *testscript.TestScript, args []string) error {
	for _, path := range args {
		f.mu.Lock()
		results := slices.Clone(f.results[path])
		f.mu.Unlock()
		ctx, cancel := requestContext()
		got, err := ran(ctx, f.services, path)
		cancel()
		if err != nil {
			return err
		}
		least, most := 0, 0
		for _, result := range results {
			switch {
			case result == resultOK, strings.HasSuffix(result, "/ran"):
				least, most = 1, 1
			case !strings.HasSuffix(result, "/not_run"):
				most = 1
			}
		}
		if got < least || got > most {
			return fmt.Errorf("%s ran %d times, but its callers got the results %v", path, got, results)
		}
	}
	return nil
}

// busyCommand waits until stand-ins together run at least N requests:
//
//	busy engine|service|engineN|serviceN N
func busyCommand(f *fleet, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errors.New("usage: busy STANDIN N")
	}
	targets, err := f.standIns(args[0])
	if err != nil {
		return err
	}
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	return waitFor(args[0]+" is busy", func(ctx context.Context) bool {
		total := 0
		for _, s := range targets {
			running, err := request.InFlight(ctx, s.Address)
			if err != nil {
				return false
			}
			total += running
		}
		return total >= n
	})
}

// idleCommand waits until stand-ins run no request: idle engine|service...
func idleCommand(f *fleet, _ *testscript.TestScript, args []string) error {
	for _, a := range args {
		targets, err := f.standIns(a)
		if err != nil {
			return err
		}
		for _, s := range targets {
			err := waitFor(a+" is idle", func(ctx context.Context) bool {
				n, err := request.InFlight(ctx, s.Address)
				return err == nil && n == 0
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// blocksCommand waits until engines hold no cache blocks, or at least one.
//
//	blocks none|some engine|engineN
func blocksCommand(f *fleet, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 || args[0] != "none" && args[0] != "some" {
		return errors.New("usage: blocks none|some ENGINE")
	}
	targets, err := f.standIns(args[1])
	if err != nil {
		return err
	}
	return waitFor(args[1]+" holds blocks: "+args[0], func(ctx context.Context) bool {
		total := 0
		for _, s := range targets {
			blocks, err := request.CachedBlocks(ctx, s.Address)
			if err != nil {
				return false
			}
			for _, n := range blocks {
				total += n
			}
		}
		return (total == 0) == (args[0] == "none")
	})
}

// startedCommand waits until a turn of a program has started, which happens after its
// intent is durable: started PROGRAM
func startedCommand(f *fleet, _ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errors.New("usage: started PROGRAM")
	}
	return f.waitForEvent(args[0], eventlog.TurnStarted)
}

// admittedCommand waits until a call of a program has been admitted: admitted PROGRAM
func admittedCommand(f *fleet, _ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errors.New("usage: admitted PROGRAM")
	}
	return f.waitForEvent(args[0], eventlog.TurnAdmitted)
}

// waitForEvent waits until the timeline of a program of the customer alice has an event
// of a kind.
func (f *fleet) waitForEvent(program string, kind eventlog.Kind) error {
	return waitFor(fmt.Sprintf("event %s of %s", kind, program), func(context.Context) bool {
		out, status, err := f.ctl(1, "events", "--program", "alice/"+program)
		return err == nil && status == 0 && strings.Contains(out, string(kind))
	})
}
