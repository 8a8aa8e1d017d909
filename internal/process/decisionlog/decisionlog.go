// Package decisionlog writes structured log lines without ever holding up a
// request: lines wait in a bounded queue for one writer, and what exceeds the queue
// or the rate is dropped and counted.
package decisionlog

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

const (
	// queueLength bounds the lines that wait for the writer.
	queueLength = 1024
	// linesPerSecond and burst bound the lines of requests. A VM handles about 30
	// requests a second; under a flood the counters tell the rest.
	linesPerSecond = 100
	burst          = 400
	// dropReport is the shortest time between two reports of dropped lines.
	dropReport = 5 * time.Second
)

// Sink writes one line. It may block.
type Sink func(message string, keysAndValues ...any)

type line struct {
	message string
	values  []any
}

// Log takes lines from all goroutines of a process.
type Log struct {
	sink    Sink
	lines   chan line
	limiter *rate.Limiter
	dropped atomic.Int64
}

// New returns a log that writes to the sink; nil means klog.
func New(sink Sink) *Log {
	if sink == nil {
		sink = func(message string, keysAndValues ...any) { klog.InfoS(message, keysAndValues...) }
	}
	return &Log{sink: sink, lines: make(chan line, queueLength), limiter: rate.NewLimiter(linesPerSecond, burst)}
}

// Dropped returns the number of lines that were not written.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Request logs the decision on a request.
func (l *Log) Request(message string, keysAndValues ...any) {
	if !l.limiter.Allow() {
		l.dropped.Add(1)
		return
	}
	l.State(message, keysAndValues...)
}

// State logs a change of what the process believes. These lines are few, so they
// are bounded by the queue alone.
func (l *Log) State(message string, keysAndValues ...any) {
	select {
	case l.lines <- line{message, keysAndValues}:
	default:
		l.dropped.Add(1)
	}
}

// Run writes the lines until ctx ends, and then those that wait.
func (l *Log) Run(ctx context.Context) {
	ticker := time.NewTicker(dropReport)
	defer ticker.Stop()
	var reported int64
	for {
		select {
		case next := <-l.lines:
			l.sink(next.message, next.values...)
		case <-ticker.C:
			if dropped := l.dropped.Load(); dropped > reported {
				l.sink("Log lines dropped", "count", dropped-reported, "total", dropped)
				reported = dropped
			}
		case <-ctx.Done():
			for {
				select {
				case next := <-l.lines:
					l.sink(next.message, next.values...)
				default:
					return
				}
			}
		}
	}
}
