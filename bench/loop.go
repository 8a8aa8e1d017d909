package main

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// event is an action at a point of virtual time. Events of the same time run in the
// order in which they were scheduled.
type event struct {
	at       time.Time
	sequence uint64
	action   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// eventLoop is a discrete-event loop in virtual time.
type eventLoop struct {
	now      time.Time
	rng      *rand.Rand
	sequence uint64
	events   eventHeap
}

func newEventLoop(seed uint64) *eventLoop {
	return &eventLoop{now: time.Unix(0, 0), rng: rand.New(rand.NewPCG(seed, seed))}
}

func (l *eventLoop) after(d time.Duration, action func()) {
	l.sequence++
	heap.Push(&l.events, event{l.now.Add(d), l.sequence, action})
}

func (l *eventLoop) every(period time.Duration, action func()) {
	l.after(period, func() {
		action()
		l.every(period, action)
	})
}

// runUntil runs events until virtual time passes end, done returns true or no event is
// left.
func (l *eventLoop) runUntil(end time.Time, done func() bool) {
	for len(l.events) > 0 && !l.events[0].at.After(end) && !done() {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.action()
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
