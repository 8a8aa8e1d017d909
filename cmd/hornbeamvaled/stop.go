package main

import (
	"context"
	"net"
	"time"

	"k8s.io/klog/v2"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/fleet"
)

const (
	// drainFraction is the fraction of the stop timeout during which new requests are still
	// accepted: the load balancer sends new connections until two readiness checks, one
	// second apart, have failed.
	drainFraction = 0.35
	// acceptFraction is the fraction of the stop timeout until which new connections are
	// accepted if they keep arriving. Without new ones for quietPeriod the listener is
	// closed earlier, but not before drainFraction.
	acceptFraction = 0.6
	quietPeriod    = 200 * time.Millisecond
	// acceptedPeriod is the time in which the requests of connections that were accepted
	// last are read before idle connections are closed.
	acceptedPeriod = 100 * time.Millisecond
	// firstRequestFraction is the fraction of the stop timeout for which a new connection is
	// kept for its first request after the listener was closed.
	firstRequestFraction = 0.1
	// abortFraction is the fraction of the stop timeout after which running requests are
	// aborted, so that the process exits before the platform kills it.
	abortFraction = 0.93
	// answerFraction is the fraction of the stop timeout by which every request has to be
	// answered: a caller that gets an error knows more than one whose connection is cut.
	answerFraction = 0.9
)

// shutdown stops the daemon gracefully. It reports not ready to the load balancer, tells
// callers to close their connections, accepts connections until the load balancer sends no
// more, and completes running requests within abortFraction of the stop timeout.
func (d *fleetDaemon) shutdown(callers net.Listener) {
	klog.InfoS("Stopping", "vm", d.settings.VM, "stopTimeout", d.settings.StopTimeout)
	part := func(fraction float64) time.Duration {
		return time.Duration(fraction * float64(d.settings.StopTimeout))
	}
	begun := clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), part(abortFraction))
	defer cancel()
	done := make(chan struct{})
	if d.loop.Post(ctx, fleet.PrepareStop{StopAt: begun.Add(part(answerFraction)), Done: done}) != nil {
		return
	}
	defer time.AfterFunc(part(answerFraction)-clock.Since(begun), d.stopUnanswered).Stop()
	select {
	case <-done:
	case <-ctx.Done():
		return
	}
	clock.Sleep(ctx, part(drainFraction))
	for clock.Since(begun) < part(acceptFraction) && clock.Monotonic()-time.Duration(d.lastAccepted.Load()) < quietPeriod {
		clock.Sleep(ctx, quietPeriod/4)
	}
	// Drain would return at once if no connection were known at this moment, although the last
	// ones may just have been accepted. Shutdown alone closes connections whose requests have
	// just been read.
	_ = callers.Close()
	clock.Sleep(ctx, acceptedPeriod)
	err := d.intake.Drain(ctx, part(firstRequestFraction))
	if err == nil {
		err = d.callers.Shutdown(ctx)
	}
	d.rpc.StopForwarding(ctx)
	if err != nil {
		klog.ErrorS(err, "Requests were still running at the stop limit and are aborted", "stopTimeout", d.settings.StopTimeout, "abortFraction", abortFraction)
	}
}
