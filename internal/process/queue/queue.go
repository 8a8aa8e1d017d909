// Package queue orders the calls that wait for one endpoint. Between customers
// it is start-time fair queueing by weight; within a customer the run with the
// least attained service goes first, and waiting raises a call. Calls whose
// prefix is cached at a replica with room go earlier within bounds. It is used
// by the control loop only.
package queue

import (
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
)

// ageing is the attained service, in milliseconds, that one second of waiting
// makes up for. So a run that has had 100 s of service waits at most 10 s behind
// new runs, which is less than a call may wait. With 100 and 1,000 in place of
// 10,000, calls of long runs expired in the queue (docs/measurements.md, Routing).
const ageing = 10_000.0

// Item is one waiting call.
type Item struct {
	// ID is unique within the queue.
	ID       string
	Customer string
	// Weight is the customer's weight; values of 0 and less count as 1.
	Weight float64
	// Cost is the expected service in milliseconds of a place in a replica's
	// batch; at least 1 is charged.
	Cost float64
	// Attained is the service that the call's run has received so far, in the
	// unit of Cost.
	Attained float64
	// Deadline ends the wait; zero means never.
	Deadline time.Time
	// Value is the caller's own.
	Value any
}

type waiting struct {
	Item
	key      float64 // lower goes first; constant, since all calls age alike
	sequence uint64  // first come, first served between equal keys
	queued   time.Time
	customer *customer
}

// customer is the state of one customer. It stays until virtual time passes its
// finish tag, so that leaving the queue does not clear what it owes.
type customer struct {
	name   string
	weight float64
	start  float64 // start tag of its next call
	items  line
}

// Queue is the queue of one endpoint on one VM.
type Queue struct {
	bound     int
	length    int
	epoch     time.Time // origin of the ageing keys, the first push
	virtual   float64   // least start tag among the waiting customers at the last pop
	sequence  uint64
	customers map[string]*customer
	byID      map[string]*waiting
	held      time.Time // when the first call that the last Pop kept back may go
}

// New returns a queue of at most bound calls.
func New(bound int) *Queue {
	return &Queue{bound: max(1, bound), customers: map[string]*customer{}, byID: map[string]*waiting{}}
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int { return q.length }

// Push queues a call. It returns the calls that were dropped to keep the bound,
// which may include the pushed one: they have not run. A call whose ID is
// already queued is returned as dropped.
func (q *Queue) Push(now time.Time, it Item) []Item {
	if _, ok := q.byID[it.ID]; ok {
		return []Item{it}
	}
	if q.epoch.IsZero() {
		q.epoch = now
	}
	c := q.customer(it)
	q.sequence++
	w := &waiting{
		Item: it, customer: c, sequence: q.sequence, queued: now,
		key: it.Attained + ageing*now.Sub(q.epoch).Seconds(),
	}
	c.items.insert(w)
	q.byID[it.ID] = w
	q.length++
	if q.length <= q.bound {
		return nil
	}
	items := q.furthestAboveShare().items
	victim := items[len(items)-1]
	q.remove(victim)
	return []Item{victim.Item}
}

func (q *Queue) customer(it Item) *customer {
	c := q.customers[it.Customer]
	if c == nil {
		c = &customer{name: it.Customer}
		q.customers[it.Customer] = c
	}
	if c.weight = it.Weight; c.weight <= 0 {
		c.weight = 1
	}
	if len(c.items) == 0 {
		c.start = max(c.start, q.virtual)
	}
	return c
}

// furthestAboveShare returns the customer whose queued calls exceed its weighted
// share of the queue by most.
func (q *Queue) furthestAboveShare() *customer {
	var weights float64
	for _, c := range q.customers {
		if len(c.items) > 0 {
			weights += c.weight
		}
	}
	var worst *customer
	var worstExcess float64
	for _, c := range q.customers {
		if len(c.items) == 0 {
			continue
		}
		excess := float64(len(c.items)) - float64(q.bound)*c.weight/weights
		if worst == nil || excess > worstExcess || excess == worstExcess && c.name < worst.name {
			worst, worstExcess = c, excess
		}
	}
	return worst
}

// Pop returns the next call to dispatch. Calls past their deadline stay for
// Expire. locate is asked for the locality of waiting calls. Pop returns none
// while each call that it looked at is blocked or kept for a short time for the
// replica that holds its prefix; NextDue tells when to ask again.
func (q *Queue) Pop(now time.Time, locate func(Item) Locality) (Item, bool) {
	w := q.next(now, locate)
	if w == nil {
		return Item{}, false
	}
	q.virtual = max(q.virtual, q.leastStart())
	w.customer.start += max(1, w.Cost) / w.customer.weight
	q.remove(w)
	q.forget()
	return w.Item, true
}

// next returns the first call of the customer with the least start tag, both
// moved by locality.
func (q *Queue) next(now time.Time, locate func(Item) Locality) *waiting {
	var best *waiting
	var bestTag float64
	q.held = time.Time{}
	for _, c := range q.customers {
		if best != nil && c.start-fairWindow > bestTag {
			continue
		}
		first := c.items.best(now, locate)
		q.held = clock.Earlier(q.held, first.held)
		if first.call == nil {
			continue
		}
		tag := c.start + first.at.shift(fairWindow)
		if best == nil || tag < bestTag || tag == bestTag && c.name < best.Customer {
			best, bestTag = first.call, tag
		}
	}
	return best
}

// leastStart returns the least start tag among the customers with waiting calls.
// Locality may serve a customer before it, which must not set back customers
// that join the queue.
func (q *Queue) leastStart() float64 {
	least, found := 0.0, false
	for _, c := range q.customers {
		if len(c.items) > 0 && (!found || c.start < least) {
			least, found = c.start, true
		}
	}
	return least
}

// Remove takes a call out of the queue, such as one whose caller is gone.
func (q *Queue) Remove(id string) bool {
	w, ok := q.byID[id]
	if ok {
		q.remove(w)
	}
	return ok
}

// Expire removes and returns the calls whose deadline has passed, in order of arrival.
func (q *Queue) Expire(now time.Time) []Item {
	var expired []*waiting
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

// NextDue returns when the queue needs a look after now: at the earliest deadline
// or when a call need not be kept any longer; false if no call has such a time.
func (q *Queue) NextDue(now time.Time) (time.Time, bool) {
	var next time.Time
	if q.held.After(now) {
		next = q.held
	}
	for _, w := range q.byID {
		next = clock.Earlier(next, w.Deadline)
	}
	return next, !next.IsZero()
}

// Charge adds to a customer's account the service of a call beyond its Cost;
// extra is negative if the call was cheaper.
func (q *Queue) Charge(name string, weight, extra float64) {
	c := q.customer(Item{Customer: name, Weight: weight})
	c.start = max(q.virtual, c.start+extra/c.weight)
}

func (q *Queue) remove(w *waiting) {
	w.customer.items.remove(w)
	delete(q.byID, w.ID)
	q.length--
}

// forget drops customers that wait for nothing and owe nothing.
func (q *Queue) forget() {
	for name, c := range q.customers {
		if len(c.items) == 0 && c.start <= q.virtual {
			delete(q.customers, name)
		}
	}
}
