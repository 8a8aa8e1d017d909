// Package lag provides a value whose changes become visible with a delay.
package lag

import "time"

// Value is a value with as much history as the delay requires.
type Value[T any] struct{ history []entry[T] }

type entry[T any] struct {
	at    time.Time
	value T
}

// Set stores v as the value from now on and drops history that the delay does not need.
func (l *Value[T]) Set(now time.Time, delay time.Duration, v T) {
	l.history = append(l.history, entry[T]{now, v})
	l.prune(now.Add(-delay))
}

// Get returns the value at the time now minus delay, or the oldest value kept.
func (l *Value[T]) Get(now time.Time, delay time.Duration) T {
	l.prune(now.Add(-delay))
	if len(l.history) == 0 {
		var none T
		return none
	}
	return l.history[0].value
}

func (l *Value[T]) prune(before time.Time) {
	n := 0
	for n+1 < len(l.history) && !l.history[n+1].at.After(before) {
		n++
	}
	l.history = append(l.history[:0:0], l.history[n:]...)
}
