// Command hornbeamvaled is the scheduler daemon that runs on every entry VM. It has two
// modes: with --config it takes its settings from a file of the operators (daemon.go), with
// --platform it takes them from the platform and follows the platform's store (fleet.go).
// This package creates the parts of the daemon, connects them, and starts and stops them;
// it decides nothing about single requests.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"k8s.io/klog/v2"

	"hornbeamvale.example/hornbeamvale/internal/process/settings"
	platformprocess "hornbeamvale.example/hornbeamvale/platform/process"
)

// Exit codes.
const (
	exitFailure  = 1
	exitUsage    = 2
	exitSettings = 3
)

type options struct {
	Config        string `long:"config" value-name:"FILE" description:"settings file"`
	Platform      bool   `long:"platform" description:"take the settings from the platform and follow its store"`
	MetricsPort   uint16 `long:"metrics-port" value-name:"PORT" description:"port of the metrics with --platform; by default the second internal port"`
	CheckSettings bool   `long:"check-settings" description:"check the settings file and exit"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var o options
	if _, err := flags.ParseArgs(&o, args); err != nil {
		var flagsError *flags.Error
		if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
			return 0
		}
		return exitUsage
	}
	if o.Platform == (o.Config != "") {
		fmt.Fprintln(os.Stderr, "exactly one of --config and --platform is required")
		return exitUsage
	}
	if o.Platform {
		return runFleet(o)
	}
	s, err := settings.Load(o.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if o.CheckSettings {
		fmt.Println("settings are valid")
		return 0
	}
	defer klog.Flush()
	setVerbosity(s.Log.Verbosity)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := serve(ctx, s); err != nil {
		klog.ErrorS(err, "Daemon failed")
		return exitFailure
	}
	return 0
}

// runFleet runs the daemon with the settings file that the platform provides.
func runFleet(o options) int {
	s, err := platformprocess.Load()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if o.MetricsPort != 0 {
		s.MetricsAddress = netip.AddrPortFrom(s.MetricsAddress.Addr(), o.MetricsPort)
	}
	if o.CheckSettings {
		fmt.Println("settings are valid")
		return 0
	}
	logToStandardOutput()
	defer klog.Flush()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	listeners, err := listenFleet(s)
	if err != nil {
		klog.ErrorS(err, "Daemon failed")
		return exitFailure
	}
	if err := serveFleet(ctx, s, listeners, reload); err != nil {
		klog.ErrorS(err, "Daemon failed")
		return exitFailure
	}
	return 0
}
