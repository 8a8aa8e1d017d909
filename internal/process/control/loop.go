package control

import (
	"context"
	"sync"
	"sync/atomic"

	"hornbeamvale.example/hornbeamvale/internal/process/eventloop"
)

const (
	// workers is the number of goroutines that make short platform and peer calls.
	workers = 16
	// jobQueueLength is the capacity of the queue of jobs for the workers.
	jobQueueLength = 1024
	// logQueueLength is the capacity of the queue of log lines and event-log entries.
	// When it is full, further ones are dropped and counted.
	logQueueLength = 4096
)

// Event is a change of the control state. Apply runs on the control thread and must
// not block.
type Event = eventloop.Event[*State]

// job does I/O on a worker goroutine. It returns the event that reports the result,
// or nil if there is nothing to report.
type job func(ctx context.Context) Event

// Loop is the control loop with its workers.
type Loop struct {
	*eventloop.Loop[*State]
	jobs    chan job
	journal chan job // has its own worker, so that journal commits do not wait for other jobs
	poll    chan job // polls and attempts to join; has its own worker
	// logs holds log lines and event-log entries. Another goroutine writes them, since
	// both may block.
	logs     chan func()
	dropped  atomic.Int64 // entries that did not fit into logs
	snapshot atomic.Pointer[Snapshot]
	state    *State
}

// NewLoop returns a loop for the given process.
func NewLoop(c Config) *Loop {
	l := &Loop{
		jobs:    make(chan job, jobQueueLength),
		journal: make(chan job, 1),
		poll:    make(chan job, 1),
		logs:    make(chan func(), logQueueLength),
	}
	l.state = newState(c, l)
	l.Loop = eventloop.New(l.state)
	l.state.publish()
	return l
}

// Snapshot returns the latest published snapshot, which is immutable.
func (l *Loop) Snapshot() *Snapshot { return l.snapshot.Load() }

// Run runs the loop and its workers until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() { l.runJobs(ctx, l.jobs) })
	}
	wg.Go(func() { l.runJobs(ctx, l.journal) })
	wg.Go(func() { l.runJobs(ctx, l.poll) })
	wg.Go(func() { l.writeLogs(ctx) })
	l.Loop.Run(ctx)
	wg.Wait()
}

// runJobs runs queued jobs and posts the events that they return.
func (l *Loop) runJobs(ctx context.Context, jobs <-chan job) {
	for {
		select {
		case <-ctx.Done():
			return
		case j := <-jobs:
			if e := j(ctx); e != nil {
				_ = l.Post(ctx, e) // fails only when the process stops
			}
		}
	}
}

// writeLogs writes queued log entries until ctx ends, and then those still queued.
func (l *Loop) writeLogs(ctx context.Context) {
	for {
		select {
		case entry := <-l.logs:
			entry()
		case <-ctx.Done():
			for {
				select {
				case entry := <-l.logs:
					entry()
				default:
					return
				}
			}
		}
	}
}

// queueLog queues f, which writes a log entry. Entries are written in the order of
// the calls.
func (l *Loop) queueLog(f func()) {
	select {
	case l.logs <- f:
	default:
		l.dropped.Add(1)
	}
}

// DroppedLogs returns the number of log lines and event-log entries that were dropped
// because the queue was full.
func (l *Loop) DroppedLogs() int64 { return l.dropped.Load() }

// submit adds a job to a queue of the workers. It returns false if the queue is full.
func (l *Loop) submit(queue chan job, j job) bool {
	select {
	case queue <- j:
		return true
	default:
		return false
	}
}

// Error reports a failed operation of the control loop.
type Error struct {
	Op  string
	Err error
}

// Error implements error.
func (e *Error) Error() string { return "control " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
