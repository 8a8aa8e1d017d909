package scenarios

import (
	"context"
	"errors"
	"flag"
	"slices"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"hornbeamvale.example/hornbeamvale/standin/fleet/request"
)

// endRunCommand ends a program run. It repeats the request until it is accepted.
//
//	endrun [-key KEY] VM PROGRAM
func endRunCommand(f *fleet, _ *testscript.TestScript, args []string) error {
	flags := flag.NewFlagSet("endrun", flag.ContinueOnError)
	key := flags.String("key", "alice-key", "caller's key")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.NArg() != 2 {
		return errors.New("usage: endrun [-key KEY] VM PROGRAM")
	}
	v, _, err := f.vm(flags.Arg(0))
	if err != nil {
		return err
	}
	call := request.Call{Key: *key, Program: flags.Arg(1)}
	return waitFor("the accepted end of "+call.Program, func(ctx context.Context) bool {
		return request.EndProgram(ctx, v.Caller, call) == nil
	})
}

// settleCommand settles a call whose outcome is unknown. It repeats the request until
// the result is one of those of -want, by default ok.
//
//	settle [-want CODE] VM PROGRAM ID ran|not_run
func settleCommand(f *fleet, _ *testscript.TestScript, args []string) error {
	flags := flag.NewFlagSet("settle", flag.ContinueOnError)
	want := flags.String("want", resultOK, "accepted results")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.NArg() != 4 {
		return errors.New("usage: settle [-want CODE] VM PROGRAM ID ran|not_run")
	}
	v, _, err := f.vm(flags.Arg(0))
	if err != nil {
		return err
	}
	call := request.Call{Key: "alice-key", Program: flags.Arg(1), ID: flags.Arg(2)}
	return waitFor("settlement "+*want, func(ctx context.Context) bool {
		result := resultOf(request.Settle(ctx, v.Caller, call, flags.Arg(3)))
		code, _, _ := strings.Cut(result, "/")
		return slices.Contains(strings.Split(*want, ","), code)
	})
}
