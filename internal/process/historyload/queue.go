// Package historyload bounds and orders the requests that need a large history. Such a history
// is read from the platform's store, decoded, sent between VMs and put before the request's
// body. When many callers need one at the same moment, as after the loss of all processes, a VM
// that works on all of them at once ends none in time, and what it holds exceeds its memory.
//
// Queue is pure: time is an argument. Gate adds the lock and the waits.
package historyload

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// loadFactor is the ratio of the memory for the load of a history to its size: the reply of
	// the store in base64, its rows, the joined rows and the decoded turns.
	loadFactor = 5
	// receiveFactor is that ratio for a history that another VM sends: its pieces, the joined
	// message and the decoded turns.
	receiveFactor = 3
	// holdFactor is the ratio for a loaded history: its turns and the prompt.
	holdFactor = 2
	// minRateSample is the smallest load whose time counts. Others are dominated by the time
	// of a call.
	minRateSample = 64 << 10
	// maxPromises bounds the callers whose time to return is remembered.
	maxPromises = 4096
	// rateWeight is the weight of a new sample in the mean rate.
	rateWeight = 0.3
)

// Class says which part of the memory a job takes. Loads wait for memory that only requests
// hold, and requests never wait for loads, so that neither class can block the other for ever.
type Class uint8

// The classes of jobs.
const (
	Load Class = iota // reads a history from the store
	Hold              // keeps a history for a request
	classes
)

// Job is a request that needs a large history.
type Job struct {
	Class Class
	// Key names what is read. Jobs with the same key share the read; empty for none.
	Key string
	// Bytes is the size of the history, or what is expected of it.
	Bytes int64
	// Deadline is when the request stops to wait, as clock.Monotonic.
	Deadline time.Duration
	// Received is set if another VM sends the history.
	Received bool
	// Cached is set for a Load whose history is in memory, so that nothing is read.
	Cached bool
}

// reads reports whether the job reads from the store.
func (j Job) reads() bool { return j.Class == Load && !j.Cached }

// Limits bound the jobs of a VM.
type Limits struct {
	// Bytes is the memory for each class of jobs.
	Bytes int64
	// Loads is the largest number of histories that are read at the same time.
	Loads int
}

// Entry is a job in a Queue.
type Entry struct {
	Job
	charged  int64
	admitted bool
	begun    time.Duration // when it was admitted
	refused  *RefusedError
	ready    chan struct{} // closed once it is admitted or refused; used by Gate
}

// Queue decides which jobs go on and which are refused. Jobs are admitted by the least time
// left, as long as they can end in it: then some end in each round of tries, where equal shares
// would let all run out of time. A job that cannot end in its time is refused at once.
type Queue struct {
	limits  Limits
	waiting []*Entry // by deadline
	loading map[*Entry]struct{}
	charged [classes]int64
	// rate is the mean number of bytes per second of one load; 0 until one has ended.
	rate float64
	// promised is the time up to which loads are taken by callers that were told to return, and
	// promises is when each of them should, by key.
	promised time.Duration
	promises map[string]time.Duration
}

// NewQueue returns an empty queue.
func NewQueue(l Limits) *Queue {
	return &Queue{limits: l, loading: map[*Entry]struct{}{}, promises: map[string]time.Duration{}}
}

// Add adds a job. Advance decides on it.
func (q *Queue) Add(j Job) *Entry {
	e := &Entry{Job: j, ready: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(q.waiting, e, func(a, b *Entry) int {
		return cmp.Or(cmp.Compare(a.Deadline, b.Deadline), -1) // after those with the same deadline
	})
	q.waiting = slices.Insert(q.waiting, at, e)
	return e
}

// Advance admits and refuses jobs, and returns those on which it has decided.
func (q *Queue) Advance(now time.Duration) []*Entry {
	var decided, waiting []*Entry
	seen := map[string]bool{}
	var ahead int64 // bytes that are loaded before
	for e := range q.loading {
		seen[e.Key] = true
		ahead += e.Bytes - min(e.Bytes, int64(q.rate*(now-e.begun).Seconds()))
	}
	blocked := [classes]bool{}
	for _, e := range q.waiting {
		own := q.ownBytes(e, seen)
		switch {
		case e.reads() && ahead > 0 && q.loadTime(ahead)+q.singleTime(own) > e.Deadline-now:
			// A job with nothing before it is never refused: without a load the rate is not renewed.
			e.refused = &RefusedError{Bytes: e.Bytes, Ahead: ahead, Rate: int64(q.rate), TimeLeft: e.Deadline - now, RetryAfter: q.promise(now, ahead, own, e.Key)}
			decided = append(decided, e)
			continue
		case !blocked[e.Class] && q.fits(e): // in order, so that small jobs do not overtake a large one for ever
			q.admit(e, now)
			decided = append(decided, e)
		default:
			blocked[e.Class] = true
			waiting = append(waiting, e)
		}
		if e.reads() {
			ahead += own
			seen[e.Key] = true
		}
	}
	q.waiting = waiting
	return decided
}

// ownBytes returns what has to be loaded for an entry alone.
func (q *Queue) ownBytes(e *Entry, seen map[string]bool) int64 {
	if !e.reads() || e.Key != "" && seen[e.Key] {
		return 0
	}
	return e.Bytes
}

// loadTime returns how long all loads together take for the given number of bytes.
func (q *Queue) loadTime(bytes int64) time.Duration {
	return q.singleTime(bytes) / time.Duration(max(1, q.limits.Loads))
}

// singleTime returns how long one load takes for the given number of bytes; 0 if no load has
// ended yet.
func (q *Queue) singleTime(bytes int64) time.Duration {
	if q.rate == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / q.rate * float64(time.Second))
}

// promise returns when a refused caller should return: once what is ahead of it, and what was
// promised to callers refused before, has been loaded. Callers refused together thus return one
// after the other, at the pace of the loads. One that returns too early keeps its time.
func (q *Queue) promise(now time.Duration, ahead, own int64, key string) time.Duration {
	if at := q.promises[key]; at > now {
		return at - now
	}
	from := max(q.promised, now+q.loadTime(ahead))
	q.promised = from + q.loadTime(own)
	if len(q.promises) >= maxPromises {
		maps.DeleteFunc(q.promises, func(_ string, at time.Duration) bool { return at <= now })
	}
	if key != "" && len(q.promises) < maxPromises {
		q.promises[key] = from
	}
	return from - now
}

// fits reports whether an entry can be admitted. An entry beyond the limit is admitted alone.
func (q *Queue) fits(e *Entry) bool {
	used := q.charged[e.Class]
	if e.reads() && len(q.loading) >= q.limits.Loads {
		return false
	}
	return used == 0 || used+e.cost() <= q.limits.Bytes
}

// HoldBytes returns the memory for a request with a history of the given size.
func HoldBytes(size int) int { return holdFactor * size }

// cost returns the memory that an entry needs when it is admitted.
func (e *Entry) cost() int64 {
	switch {
	case e.Cached:
		return e.Bytes
	case e.Class == Load:
		return loadFactor * e.Bytes
	case e.Received:
		return receiveFactor * e.Bytes
	}
	return holdFactor * e.Bytes
}

func (q *Queue) admit(e *Entry, now time.Duration) {
	e.admitted, e.begun = true, now
	q.charge(e, e.cost())
	if e.reads() {
		q.loading[e] = struct{}{}
	}
}

func (q *Queue) charge(e *Entry, bytes int64) {
	q.charged[e.Class] += bytes - e.charged
	e.charged = bytes
}

// Loaded notes that the load of an entry has ended with a history of the given size, of which
// read bytes came from the store. Another load may begin; the entry keeps memory for the turns.
func (q *Queue) Loaded(e *Entry, now time.Duration, bytes, read int64) {
	_, loading := q.loading[e]
	delete(q.loading, e)
	q.Keep(e, bytes)
	if !loading {
		return
	}
	if read < minRateSample || now <= e.begun {
		return
	}
	// The rate is that of expected bytes, in which Advance counts: histories may share turns.
	sample := float64(max(e.Bytes, read)) / (now - e.begun).Seconds()
	if q.rate == 0 {
		q.rate = sample
	}
	q.rate += rateWeight * (sample - q.rate)
}

// Account returns an admitted entry without memory, for reads that do not wait for an admission.
// What they Grow to counts before further loads.
func (q *Queue) Account() *Entry {
	return &Entry{Job: Job{Class: Load, Cached: true}, admitted: true, ready: make(chan struct{})}
}

// Grow notes that a load has come to the given number of bytes, which may be more than expected.
// It takes the memory at once: what was read is there.
func (q *Queue) Grow(e *Entry, bytes int64) {
	if need := loadFactor * bytes; e.admitted && need > e.charged {
		q.charge(e, need)
	}
}

// Keep sets the memory of an admitted entry to the given number of bytes.
func (q *Queue) Keep(e *Entry, bytes int64) {
	if e.admitted {
		q.charge(e, bytes)
	}
}

// Remove ends an entry, which may still wait.
func (q *Queue) Remove(e *Entry) {
	if e.admitted {
		q.charge(e, 0)
		delete(q.loading, e)
		e.admitted = false
		return
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(w *Entry) bool { return w == e })
}
