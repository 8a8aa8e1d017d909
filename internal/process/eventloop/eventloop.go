// Package eventloop applies typed events to a state on a single OS thread, one
// at a time. All other work runs on other threads. The state and its events are
// defined by the caller.
package eventloop

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
)

const (
	// queueLength is the capacity of the event queue.
	queueLength = 4096
	// eventsPerStep bounds the events that are applied between two checks of the
	// timers.
	eventsPerStep = 128
	// minSleep is the shortest sleep of the loop. It prevents a busy loop when work
	// that is due cannot start because a queue is full.
	minSleep = time.Millisecond
	// MaxSleep is the longest sleep of the loop between two steps.
	MaxSleep = time.Second
)

// Event is a change of the state. Apply runs on the loop's thread and must not
// block.
type Event[S any] interface {
	Apply(s S, now time.Time)
}

// StateMachine is the state that a Loop owns and applies events to. Only the loop's
// thread calls Step.
type StateMachine interface {
	// Step does the work that is due and returns the time of the next step. The loop
	// also calls it after events, and at least once per MaxSleep.
	Step(now time.Time) time.Time
}

// Loop applies events to a state.
type Loop[S StateMachine] struct {
	events  chan Event[S]
	state   S
	cpuTime atomic.Int64 // CPU time of the loop's thread, in nanoseconds
	applied atomic.Int64
}

// New returns a loop for the state. From then on only the thread of Run may access
// the state.
func New[S StateMachine](state S) *Loop[S] {
	return &Loop[S]{events: make(chan Event[S], queueLength), state: state}
}

// CPUTime returns the CPU time that the loop's thread has used.
func (l *Loop[S]) CPUTime() time.Duration { return time.Duration(l.cpuTime.Load()) }

// AppliedEvents returns the number of events applied so far.
func (l *Loop[S]) AppliedEvents() int64 { return l.applied.Load() }

// Post queues an event. It blocks while the queue is full and fails only when ctx
// ends.
func (l *Loop[S]) Post(ctx context.Context, e Event[S]) error {
	select {
	case l.events <- e:
		return nil
	case <-ctx.Done():
		return &Error{Op: "post", Err: ctx.Err()}
	}
}

// Run applies events on a dedicated OS thread until ctx ends.
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
		next := l.state.Step(clock.Now())
		timer.Reset(min(max(clock.Until(next), minSleep), MaxSleep))
		l.updateCPUTime()
	}
}

// apply applies an event and further queued events, up to eventsPerStep.
func (l *Loop[S]) apply(e Event[S]) {
	for range eventsPerStep {
		e.Apply(l.state, clock.Now())
		l.applied.Add(1)
		select {
		case e = <-l.events:
		default:
			return
		}
	}
	e.Apply(l.state, clock.Now())
	l.applied.Add(1)
}

// updateCPUTime stores the CPU time of the calling thread.
func (l *Loop[S]) updateCPUTime() {
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_THREAD, &usage) == nil {
		l.cpuTime.Store(usage.Utime.Nano() + usage.Stime.Nano())
	}
}

// Error reports a failed operation of the event loop.
type Error struct {
	Op  string
	Err error
}

// Error implements error.
func (e *Error) Error() string { return "event loop " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
