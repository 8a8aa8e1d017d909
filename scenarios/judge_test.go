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

// ranCommand checks how often a path ran at the services together, or at one of
// them. With -wait it first waits until the path ran that often.
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
		err := until(fmt.Sprintf("%s ran %d times", path, want), func(ctx context.Context) bool {
			got, err := ran(ctx, services, path)
			return err == nil && got >= want
		})
		if err != nil {
			return err
		}
	}
	ctx, cancel := short()
	defer cancel()
	got, err := ran(ctx, services, path)
	if err == nil && got != want {
		err = fmt.Errorf("%s ran %d times, want %d", path, got, want)
	}
	return err
}

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

// truthfulCommand compares what callers were told of non-idempotent calls with
// what ran: after an answer, exactly once; if every attempt was refused as not
// run, not at all; in no case twice. One id has to stand for one path.
//
//	truthful PATH...
func truthfulCommand(f *fleet, _ *testscript.TestScript, args []string) error {
	for _, path := range args {
		f.mu.Lock()
		told := slices.Clone(f.told[path])
		f.mu.Unlock()
		ctx, cancel := short()
		got, err := ran(ctx, f.services, path)
		cancel()
		if err != nil {
			return err
		}
		low, high := 0, 0
		for _, result := range told {
			switch {
			case result == resultOK, strings.HasSuffix(result, "/ran"):
				low, high = 1, 1
			case !strings.HasSuffix(result, "/not_run"):
				high = 1
			}
		}
		if got < low || got > high {
			return fmt.Errorf("%s ran %d times, but its callers were told %v", path, got, told)
		}
	}
	return nil
}

// busyCommand waits until a stand-in has N requests: busy engineN|serviceN N
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
	return until(args[0]+" is busy", func(ctx context.Context) bool {
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

// idleCommand waits until stand-ins have no request: idle engine|service...
func idleCommand(f *fleet, _ *testscript.TestScript, args []string) error {
	for _, a := range args {
		targets, err := f.standIns(a)
		if err != nil {
			return err
		}
		for _, s := range targets {
			err := until(a+" is idle", func(ctx context.Context) bool {
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

// blocksCommand waits until engines hold no cache blocks, or some.
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
	return until(args[1]+" holds blocks: "+args[0], func(ctx context.Context) bool {
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

// startedCommand waits until a program's time line says that a turn has started,
// that is after its intent is durable: started PROGRAM
func startedCommand(f *fleet, _ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errors.New("usage: started PROGRAM")
	}
	return f.happened(args[0], eventlog.TurnStarted)
}

// waitingCommand waits until a call of a program has been admitted: waiting PROGRAM
func waitingCommand(f *fleet, _ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errors.New("usage: waiting PROGRAM")
	}
	return f.happened(args[0], eventlog.TurnAdmitted)
}

// happened waits until the time line of a program of alice has an event.
func (f *fleet) happened(program string, kind eventlog.Kind) error {
	return until(fmt.Sprintf("%s of %s", kind, program), func(context.Context) bool {
		out, status, err := f.ctl(1, "events", "--program", "alice/"+program)
		return err == nil && status == 0 && strings.Contains(out, string(kind))
	})
}
