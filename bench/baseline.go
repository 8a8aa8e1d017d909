package main

import (
	"slices"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/queue"
	"hornbeamvale.example/hornbeamvale/internal/process/replica"
	"hornbeamvale.example/hornbeamvale/internal/request/placement"
)

// fifo is the queue of the baseline policy. It serves calls in order of arrival and
// drops new ones when it is full.
type fifo struct {
	bound int
	items []queue.Item
}

// Len returns the number of waiting calls.
func (f *fifo) Len() int { return len(f.items) }

// Push queues the call. If the queue is full, it returns the call as dropped.
func (f *fifo) Push(_ time.Time, it queue.Item) []queue.Item {
	if len(f.items) >= f.bound {
		return []queue.Item{it}
	}
	f.items = append(f.items, it)
	return nil
}

// Pop removes and returns the oldest call that has not expired.
func (f *fifo) Pop(now time.Time, _ func(queue.Item) queue.Locality) (queue.Item, bool) {
	for i, it := range f.items {
		if now.Before(it.Deadline) {
			f.items = slices.Delete(f.items, i, i+1)
			return it, true
		}
	}
	return queue.Item{}, false
}

// NextDue returns false, since the baseline holds no call back for a replica.
func (f *fifo) NextDue(time.Time) (time.Time, bool) { return time.Time{}, false }

// Expire removes and returns the calls whose deadline has passed.
func (f *fifo) Expire(now time.Time) []queue.Item {
	var out, rest []queue.Item
	for _, it := range f.items {
		if now.Before(it.Deadline) {
			rest = append(rest, it)
		} else {
			out = append(out, it)
		}
	}
	f.items = rest
	return out
}

// roundRobin picks the replicas in turn and skips those that the default filters
// exclude.
type roundRobin struct{ next int }

// Pick returns the next replica that passes the filters, or false if none does.
func (p *roundRobin) Pick(r placement.Request, cs []replica.Candidate) (replica.Candidate, bool) {
	filters := placement.Profile{Filters: placement.DefaultProfile().Filters}
	for range cs {
		c := cs[p.next%len(cs)]
		p.next++
		if filters.Room(r, []replica.Candidate{c}).Any() {
			return c, true
		}
	}
	return replica.Candidate{}, false
}
