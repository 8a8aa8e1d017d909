// Package queue orders the calls that wait for one endpoint. Customers share the
// endpoint by weighted start-time fair queueing. Among the calls of one customer, the
// run with the least attained service goes first, and calls gain priority while they
// wait. Calls whose prefix is cached at a replica with room are moved forward within
// bounds. The package is used by the control loop only.
package queue

import (
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
)

// agingRate is the attained service, in milliseconds, that one second of waiting
// compensates for. A run that has received 100 s of service thus waits at most 10 s
// behind new runs, which is less than a call may wait. With 100 and 1,000 instead of
// 10,000, calls of long runs expired in the queue (docs/measurements.md, Routing).
const agingRate = 10_000.0

// Item is a call to be queued.
type Item struct {
	// ID is unique within the queue.
	ID       string
	Customer string
	// Weight is the customer's weight; values of 0 and less count as 1.
	Weight float64
	// Cost is the expected service, in milliseconds of one slot in a replica's batch;
	// at least 1 is charged.
	Cost float64
	// AttainedService is the service that the call's run has received so far, in the
	// unit of Cost.
	AttainedService float64
	// Deadline ends the wait; zero means never.
	Deadline time.Time
	// Value is opaque to the queue; Pop and Expire return it to the caller.
	Value any
}

type waitingCall struct {
	Item
	key      float64 // a lower key goes first; constant, since all calls age at the same rate
	sequence uint64  // arrival order, for calls with equal keys
	queued   time.Time
	customer *customer
}

// customer is the state of one customer. It is kept until virtual time reaches the
// customer's start tag, so that a customer without waiting calls keeps its debt.
type customer struct {
	name     string
	weight   float64
	startTag float64 // start tag of its next call
	calls    orderedCalls
}

// Queue is the queue of one endpoint on one VM.
type Queue struct {
	bound       int
	length      int
	epoch       time.Time // time of the first push; the keys of calls are relative to it
	virtualTime float64   // least start tag among the waiting customers at the last pop
	sequence    uint64
	customers   map[string]*customer
	byID        map[string]*waitingCall
	heldUntil   time.Time // earliest end of the hold of a call that the last Pop held back
}

// New returns a queue of at most bound calls.
func New(bound int) *Queue {
	return &Queue{bound: max(1, bound), customers: map[string]*customer{}, byID: map[string]*waitingCall{}}
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int { return q.length }

// Push queues a call. It returns the calls that were dropped to keep the bound, which
// may include the pushed one. Dropped calls have not run. A call whose ID is already
// queued is returned as dropped.
func (q *Queue) Push(now time.Time, it Item) []Item {
	if _, ok := q.byID[it.ID]; ok {
		return []Item{it}
	}
	if q.epoch.IsZero() {
		q.epoch = now
	}
	c := q.customer(it)
	q.sequence++
	w := &waitingCall{
		Item: it, customer: c, sequence: q.sequence, queued: now,
		key: it.AttainedService + agingRate*now.Sub(q.epoch).Seconds(),
	}
	c.calls.insert(w)
	q.byID[it.ID] = w
	q.length++
	if q.length <= q.bound {
		return nil
	}
	calls := q.furthestAboveShare().calls
	victim := calls[len(calls)-1]
	q.remove(victim)
	return []Item{victim.Item}
}

// customer returns the state of the call's customer with the weight that the call
// states. It creates the state if there is none.
func (q *Queue) customer(it Item) *customer {
	c := q.customers[it.Customer]
	if c == nil {
		c = &customer{name: it.Customer}
		q.customers[it.Customer] = c
	}
	if c.weight = it.Weight; c.weight <= 0 {
		c.weight = 1
	}
	if len(c.calls) == 0 {
		c.startTag = max(c.startTag, q.virtualTime)
	}
	return c
}

// furthestAboveShare returns the customer whose number of queued calls exceeds its
// weighted share of the queue by most.
func (q *Queue) furthestAboveShare() *customer {
	var weights float64
	for _, c := range q.customers {
		if len(c.calls) > 0 {
			weights += c.weight
		}
	}
	var worst *customer
	var worstExcess float64
	for _, c := range q.customers {
		if len(c.calls) == 0 {
			continue
		}
		excess := float64(len(c.calls)) - float64(q.bound)*c.weight/weights
		if worst == nil || excess > worstExcess || excess == worstExcess && c.name < worst.name {
			worst, worstExcess = c, excess
		}
	}
	return worst
}

// Pop removes and returns the next call to dispatch. Calls past their deadline stay
// in the queue until Expire removes them. locate returns the locality of a waiting
// call. Pop returns false if every call that it examined is blocked or held back for a
// replica that has its prefix; NextDue returns when to call it again.
func (q *Queue) Pop(now time.Time, locate func(Item) Locality) (Item, bool) {
	w := q.next(now, locate)
	if w == nil {
		return Item{}, false
	}
	q.virtualTime = max(q.virtualTime, q.leastStartTag())
	w.customer.startTag += max(1, w.Cost) / w.customer.weight
	q.remove(w)
	q.dropInactive()
	return w.Item, true
}

// next returns the first call of the customer with the least start tag. Locality
// moves both the calls and the start tags.
func (q *Queue) next(now time.Time, locate func(Item) Locality) *waitingCall {
	var best *waitingCall
	var bestTag float64
	q.heldUntil = time.Time{}
	for _, c := range q.customers {
		if best != nil && c.startTag-fairWindow > bestTag {
			continue
		}
		first := c.calls.best(now, locate)
		q.heldUntil = clock.Earlier(q.heldUntil, first.heldUntil)
		if first.call == nil {
			continue
		}
		tag := c.startTag + first.locality.shift(fairWindow)
		if best == nil || tag < bestTag || tag == bestTag && c.name < best.Customer {
			best, bestTag = first.call, tag
		}
	}
	return best
}

// leastStartTag returns the least start tag among the customers with waiting calls.
// Virtual time follows it and not the start tag of the customer that is served:
// locality may serve a customer with a later tag first, which must not set back
// customers that join the queue.
func (q *Queue) leastStartTag() float64 {
	least, found := 0.0, false
	for _, c := range q.customers {
		if len(c.calls) > 0 && (!found || c.startTag < least) {
			least, found = c.startTag, true
		}
	}
	return least
}

// Remove removes a call from the queue, for example one whose caller has disconnected.
// It returns false if the call is not queued.
func (q *Queue) Remove(id string) bool {
	w, ok := q.byID[id]
	if ok {
		q.remove(w)
	}
	return ok
}

// Expire removes and returns the calls whose deadline has passed, in order of arrival.
func (q *Queue) Expire(now time.Time) []Item {
	var expired []*waitingCall
	for _, w := range q.byID {
		if w.expired(now) {
			expired = append(expired, w)
		}
	}
	sortByArrival(expired)
	out := make([]Item, len(expired))
	for i, w := range expired {
		q.remove(w)
		out[i] = w.Item
	}
	return out
}

// NextDue returns when the queue must be examined again: at the earliest deadline, or
// at the end of a hold if that is after now. It returns false if there is no such
// time.
func (q *Queue) NextDue(now time.Time) (time.Time, bool) {
	var next time.Time
	if q.heldUntil.After(now) {
		next = q.heldUntil
	}
	for _, w := range q.byID {
		next = clock.Earlier(next, w.Deadline)
	}
	return next, !next.IsZero()
}

// Charge charges a customer for the service of a call beyond the call's Cost; extra is
// negative if the call took less.
func (q *Queue) Charge(name string, weight, extra float64) {
	c := q.customer(Item{Customer: name, Weight: weight})
	c.startTag = max(q.virtualTime, c.startTag+extra/c.weight)
}

func (q *Queue) remove(w *waitingCall) {
	w.customer.calls.remove(w)
	delete(q.byID, w.ID)
	q.length--
}

// dropInactive drops the customers without waiting calls whose start tag virtual time
// has reached.
func (q *Queue) dropInactive() {
	for name, c := range q.customers {
		if len(c.calls) == 0 && c.startTag <= q.virtualTime {
			delete(q.customers, name)
		}
	}
}
