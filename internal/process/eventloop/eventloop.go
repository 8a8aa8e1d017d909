// Package eventloop runs the control state of a process on one thread. Typed
// events change the state one by one; everything else runs on other threads.
package eventloop

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// queueLength bounds the events that wait for the loop.
	queueLength = 4096
	// eventsPerStep bounds the events applied before timers are looked at.
	eventsPerStep = 128
	// minStep keeps the loop from running without a pause when a due effect cannot
	// be started because a queue is full.
	minStep = time.Millisecond
	// IdleStep is the longest sleep of the loop.
	IdleStep = time.Second
)

// Event changes the control state. Apply runs on the control thread and must not
// block.
type Event[S any] interface {
	Apply(s S, now time.Time)
}

// Stepper is a control state with timers.
type Stepper interface {
	// Step does what is due and returns when something is due next.
	Step(now time.Time) time.Time
}

// Loop applies events to one state.
type Loop[S Stepper] struct {
	events  chan Event[S]
	state   S
	cpu     atomic.Int64 // nanoseconds of CPU time of the control thread
	applied atomic.Int64
}

// New returns a loop over the state, which from then on belongs to Run's thread.
func New[S Stepper](state S) *Loop[S] {
	return &Loop[S]{events: make(chan Event[S], queueLength), state: state}
}

// CPU returns the CPU time that the control thread has used.
func (l *Loop[S]) CPU() time.Duration { return time.Duration(l.cpu.Load()) }

// Events returns the number of events applied so far.
func (l *Loop[S]) Events() int64 { return l.applied.Load() }

// Post queues an event. It blocks while the queue is full and fails only with ctx.
func (l *Loop[S]) Post(ctx context.Context, e Event[S]) error {
	select {
	case l.events <- e:
		return nil
	case <-ctx.Done():
		return &Error{Op: "post", Err: ctx.Err()}
	}
}

// Run applies events on a thread of its own until ctx ends.
func (l *Loop[S]) Run(ctx context.Context) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.events:
			l.apply(e)
		case <-timer.C:
		}
		next := l.state.Step(time.Now())
		timer.Reset(min(max(time.Until(next), minStep), IdleStep))
		l.measure()
	}
}

// apply applies an event and those that wait behind it.
func (l *Loop[S]) apply(e Event[S]) {
	for range eventsPerStep {
		e.Apply(l.state, time.Now())
		l.applied.Add(1)
		select {
		case e = <-l.events:
		default:
			return
		}
	}
	e.Apply(l.state, time.Now())
	l.applied.Add(1)
}

func (l *Loop[S]) measure() {
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_THREAD, &usage) == nil {
		l.cpu.Store(usage.Utime.Nano() + usage.Stime.Nano())
	}
}

// Error is this package's error.
type Error struct {
	Op  string
	Err error
}

// Error implements error.
func (e *Error) Error() string { return "event loop " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
