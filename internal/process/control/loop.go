package control

import (
	"context"
	"sync"
	"sync/atomic"

	"hornbeamvale.example/hornbeamvale/internal/process/eventloop"
)

const (
	// workers is the number of goroutines for short platform and peer calls.
	workers = 16
	// jobQueue bounds the jobs that wait for a worker.
	jobQueue = 1024
	// logQueue bounds the log lines and events that wait; further ones are dropped
	// and counted.
	logQueue = 4096
)

// Event changes the control state. Apply runs on the control thread and must not
// block.
type Event = eventloop.Event[*State]

// job does I/O on a worker goroutine and returns the event that reports it, or nil.
type job func(ctx context.Context) Event

// Loop is the control loop.
type Loop struct {
	*eventloop.Loop[*State]
	jobs    chan job
	journal chan job // its own worker, so that commits wait for nothing else
	poll    chan job
	// logs takes log lines and time-line events off the control thread, since both
	// may block.
	logs     chan func()
	dropped  atomic.Int64
	snapshot atomic.Pointer[Snapshot]
	state    *State
}

// NewLoop returns a loop for the given process.
func NewLoop(c Config) *Loop {
	l := &Loop{
		jobs:    make(chan job, jobQueue),
		journal: make(chan job, 1),
		poll:    make(chan job, 1),
		logs:    make(chan func(), logQueue),
	}
	l.state = newState(c, l)
	l.Loop = eventloop.New(l.state)
	l.state.publish()
	return l
}

// Snapshot returns the published state. It is immutable.
func (l *Loop) Snapshot() *Snapshot { return l.snapshot.Load() }

// Run runs the loop and its workers until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() { l.work(ctx, l.jobs) })
	}
	wg.Go(func() { l.work(ctx, l.journal) })
	wg.Go(func() { l.work(ctx, l.poll) })
	wg.Go(func() { l.writeLogs(ctx) })
	l.Loop.Run(ctx)
	wg.Wait()
}

func (l *Loop) work(ctx context.Context, jobs <-chan job) {
	for {
		select {
		case <-ctx.Done():
			return
		case j := <-jobs:
			if e := j(ctx); e != nil {
				_ = l.Post(ctx, e) // fails only when the process ends
			}
		}
	}
}

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

// log runs f off the control thread, in the order of the calls.
func (l *Loop) log(f func()) {
	select {
	case l.logs <- f:
	default:
		l.dropped.Add(1)
	}
}

// DroppedLogs returns the number of log lines and events that were dropped.
func (l *Loop) DroppedLogs() int64 { return l.dropped.Load() }

// submit hands a job to the workers. It reports false when the queue is full.
func (l *Loop) submit(lane chan job, j job) bool {
	select {
	case lane <- j:
		return true
	default:
		return false
	}
}

// Error is this package's error.
type Error struct {
	Op  string
	Err error
}

// Error implements error.
func (e *Error) Error() string { return "control " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
