// Package loop runs the goroutine that owns the state of a stand-in. HTTP handlers send
// commands to it and wait for the result.
package loop

import (
	"context"
	"errors"
	"time"
)

// ErrStopped is returned for a command sent after the loop has stopped.
var ErrStopped = errors.New("the stand-in is stopping")

// commandQueue limits the commands that wait for the loop.
const commandQueue = 64

// State is the state that a loop owns. Its methods run only on the loop's goroutine.
type State interface {
	// Deadline returns the time of the next Tick, or zero if none is due.
	Deadline() time.Time
	// Tick does the work that is due at now.
	Tick(now time.Time)
}

// Loop owns a state of type S.
type Loop[S State] struct {
	state    S
	commands chan func(S)
	stopped  chan struct{}
}

// New returns a loop that owns state. Run starts it.
func New[S State](state S) *Loop[S] {
	return &Loop[S]{state: state, commands: make(chan func(S), commandQueue), stopped: make(chan struct{})}
}

// Run executes commands and ticks until ctx ends.
func (l *Loop[S]) Run(ctx context.Context) {
	defer close(l.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var due <-chan time.Time
		if d := l.state.Deadline(); !d.IsZero() {
			timer.Reset(time.Until(d))
			due = timer.C
		}
		select {
		case <-ctx.Done():
			return
		case command := <-l.commands:
			command(l.state)
		case now := <-due:
			l.state.Tick(now)
		}
	}
}

// Do runs f on the loop's goroutine and returns its result. It returns an error if ctx
// ends or the loop stops first; f may still run then.
func Do[S State, R any](ctx context.Context, l *Loop[S], f func(S) R) (R, error) {
	reply := make(chan R, 1)
	var none R
	select {
	case l.commands <- func(s S) { reply <- f(s) }:
	case <-ctx.Done():
		return none, ctx.Err()
	case <-l.stopped:
		return none, ErrStopped
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-l.stopped:
		return none, ErrStopped
	}
}
