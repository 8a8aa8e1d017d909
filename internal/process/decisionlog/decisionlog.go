// Package decisionlog writes structured log lines without blocking requests. Lines wait
// in a bounded queue for a single writer. Lines beyond the queue's length or the rate
// limit are dropped and counted.
package decisionlog

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

const (
	// queueLength is the maximum number of lines that wait for the writer.
	queueLength = 1024
	// linesPerSecond and burst limit the lines about requests. A VM handles about 30
	// requests per second. Under a flood of requests the counters give the rest of the
	// information.
	linesPerSecond = 100
	burst          = 400
	// dropReportInterval is the minimum time between two reports of dropped lines.
	dropReportInterval = 5 * time.Second
)

// Sink writes one line. It may block.
type Sink func(message string, keysAndValues ...any)

type line struct {
	message string
	values  []any
}

// Log accepts lines from any goroutine.
type Log struct {
	sink    Sink
	lines   chan line
	limiter *rate.Limiter
	dropped atomic.Int64
}

// New returns a log that writes to sink; nil means klog.
func New(sink Sink) *Log {
	if sink == nil {
		sink = func(message string, keysAndValues ...any) { klog.InfoS(message, keysAndValues...) }
	}
	return &Log{sink: sink, lines: make(chan line, queueLength), limiter: rate.NewLimiter(linesPerSecond, burst)}
}

// Dropped returns the number of dropped lines.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Request logs a decision about a request. These lines are rate-limited.
func (l *Log) Request(message string, keysAndValues ...any) {
	if !l.limiter.Allow() {
		l.dropped.Add(1)
		return
	}
	l.State(message, keysAndValues...)
}

// State logs a change of the process's state or of its view of other parts of the
// system. Such lines are few, so only the length of the queue limits them.
func (l *Log) State(message string, keysAndValues ...any) {
	select {
	case l.lines <- line{message, keysAndValues}:
	default:
		l.dropped.Add(1)
	}
}

// Run writes lines until ctx ends, and then the lines that are still queued.
func (l *Log) Run(ctx context.Context) {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	var reported int64
	for {
		select {
		case entry := <-l.lines:
			l.sink(entry.message, entry.values...)
		case <-ticker.C:
			if dropped := l.dropped.Load(); dropped > reported {
				l.sink("Log lines were dropped because the queue or the rate limit was exceeded", "count", dropped-reported, "total", dropped)
				reported = dropped
			}
		case <-ctx.Done():
			for {
				select {
				case entry := <-l.lines:
					l.sink(entry.message, entry.values...)
				default:
					return
				}
			}
		}
	}
}
