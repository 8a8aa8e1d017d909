// Command standin runs a stand-in for one external system: the platform, a model engine
// or a plain service. docs/platform.md and docs/engine.md describe them.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"k8s.io/klog/v2"

	"hornbeamvale.example/hornbeamvale/standin/internal/process/engine"
	"hornbeamvale.example/hornbeamvale/standin/internal/process/loop"
	"hornbeamvale.example/hornbeamvale/standin/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/standin/internal/process/service"
	"hornbeamvale.example/hornbeamvale/standin/internal/request/enginehttp"
	"hornbeamvale.example/hornbeamvale/standin/internal/request/platformhttp"
	"hornbeamvale.example/hornbeamvale/standin/internal/request/servicehttp"
)

type serverOptions struct {
	Listen          string        `long:"listen" default:"127.0.0.1:0" description:"address to listen on; port 0 takes a free one"`
	ShutdownTimeout time.Duration `long:"shutdown-timeout" default:"10s" description:"wait for running requests after SIGTERM"`
}

type platformCommand struct{ serverOptions }

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	stateLoop := loop.New(platform.NewState())
	return c.serve(stateLoop.Run, platformhttp.New(stateLoop))
}

type engineCommand struct {
	serverOptions
	StepTime      time.Duration `long:"step-time" default:"2ms" description:"time of one step of the batch"`
	Batch         int           `long:"batch" default:"8" description:"requests that run together"`
	PrefillTokens int           `long:"prefill-tokens" default:"512" description:"prompt tokens computed per step"`
	Blocks        int           `long:"blocks" default:"4096" description:"cache memory in blocks of 16 tokens"`
	AnswerTokens  int           `long:"answer-tokens" default:"0" description:"end every answer after this many tokens; 0 uses max_tokens"`
	CheckFence    bool          `long:"check-fence" description:"refuse orders with an old fencing number"`
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	if c.StepTime <= 0 || c.Batch <= 0 || c.PrefillTokens <= 0 || c.Blocks < 0 || c.AnswerTokens < 0 {
		return errors.New("--step-time, --batch and --prefill-tokens must be above 0, --blocks and --answer-tokens at least 0")
	}
	stateLoop := loop.New(engine.NewState(engine.Config{
		StepTime: c.StepTime, BatchLimit: c.Batch, PrefillTokens: c.PrefillTokens,
		Blocks: c.Blocks, AnswerTokens: c.AnswerTokens, CheckFence: c.CheckFence,
	}))
	return c.serve(stateLoop.Run, enginehttp.New(stateLoop))
}

type serviceCommand struct{ serverOptions }

// Execute implements flags.Commander.
func (c *serviceCommand) Execute([]string) error {
	stateLoop := loop.New(service.NewState())
	return c.serve(stateLoop.Run, servicehttp.New(stateLoop))
}

type commands struct {
	Service  serviceCommand  `command:"service" description:"plain service that counts what ran"`
	Engine   engineCommand   `command:"engine" description:"model engine with chat completions"`
	Platform platformCommand `command:"platform" description:"table service, object store and list of VMs"`
}

func main() {
	var c commands
	if _, err := flags.Parse(&c); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		klog.Flush()
		os.Exit(1)
	}
	klog.Flush()
}

// serve serves requests until SIGTERM or SIGINT. It then waits for the running requests
// for up to ShutdownTimeout.
func (o *serverOptions) serve(run func(context.Context), h http.Handler) error {
	signalled, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	loopCtx, stopLoop := context.WithCancel(context.Background())
	defer stopLoop()
	go run(loopCtx)

	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", o.Listen, err)
	}
	fmt.Printf("listening %s\n", listener.Addr()) // read by the processes that start a stand-in on port 0
	server := &http.Server{Handler: h}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return err
	case <-signalled.Done():
	}
	klog.InfoS("Stopping", "address", listener.Addr().String())
	shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), o.ShutdownTimeout)
	defer cancelShutdown()
	if err := server.Shutdown(shutdownCtx); err != nil {
		return errors.Join(err, server.Close())
	}
	return nil
}
