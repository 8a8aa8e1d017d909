package historyload

import (
	"context"
	"fmt"
	"sync"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
)

// RefusedError means that a history cannot be loaded before the request's deadline.
type RefusedError struct {
	// Bytes is the size of the history, and Ahead what is loaded before it.
	Bytes, Ahead int64
	// Rate is the mean number of bytes per second of one load, and TimeLeft the time until the
	// deadline.
	Rate     int64
	TimeLeft time.Duration
	// RetryAfter is when the load can be expected to have its turn.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("a history of about %d bytes cannot be loaded in %s: %d bytes are loaded before it, at %d bytes/s a load", e.Bytes, e.TimeLeft.Round(time.Millisecond), e.Ahead, e.Rate)
}

// TimeoutError means that a history was not loaded in time although the store did not fail.
type TimeoutError struct {
	// Step is what the request waited for at the end.
	Step string
	// RetryAfter is when the caller should return.
	RetryAfter time.Duration
}

// Error implements error.
func (e *TimeoutError) Error() string { return "the history was not loaded in time: " + e.Step }

// Unwrap lets callers treat the error as that of an ended wait.
func (e *TimeoutError) Unwrap() error { return context.DeadlineExceeded }

// Stats are the figures of a Gate.
type Stats struct {
	Waiting, Loading int
	// LoadBytes and HoldBytes are the memory charged to each class.
	LoadBytes, HoldBytes int64
	Refused              int64
	// Rate is the mean number of bytes per second of one load.
	Rate float64
}

// Gate admits the requests of a VM that need a large history. It is safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	queue   *Queue
	refused int64
}

// NewGate returns a gate with the given limits.
func NewGate(l Limits) *Gate { return &Gate{queue: NewQueue(l)} }

// Ticket is the admission of a request. Release must be called at its end.
type Ticket struct {
	gate  *Gate
	entry *Entry
	once  sync.Once
}

// Enter waits until a job is admitted. It returns a *RefusedError if the job cannot end before
// its deadline, and a *TimeoutError if ctx ends first.
func (g *Gate) Enter(ctx context.Context, j Job) (*Ticket, error) {
	begun := clock.Monotonic()
	g.mu.Lock()
	e := g.queue.Add(j)
	g.advance()
	g.mu.Unlock()
	timer := time.NewTimer(max(0, j.Deadline-clock.Monotonic()))
	defer timer.Stop()
	select {
	case <-e.ready:
	case <-ctx.Done():
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance()
	switch {
	case e.admitted && ctx.Err() == nil:
		return &Ticket{gate: g, entry: e}, nil
	case e.refused != nil:
		return nil, e.refused
	}
	g.queue.Remove(e)
	g.advance()
	what := "to be loaded"
	if j.Class == Hold {
		what = "for memory"
	}
	return nil, &TimeoutError{Step: fmt.Sprintf("it waited %s %s, with %d bytes charged of %d",
		(clock.Monotonic() - begun).Round(time.Millisecond), what, g.queue.charged[j.Class], g.queue.limits.Bytes)}
}

// Account returns a ticket without memory, see Queue.Account.
func (g *Gate) Account() *Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &Ticket{gate: g, entry: g.queue.Account()}
}

// advance lets the queue decide and wakes the jobs. The caller must hold g.mu.
func (g *Gate) advance() {
	for _, e := range g.queue.Advance(clock.Monotonic()) {
		if e.refused != nil {
			g.refused++
		}
		close(e.ready)
	}
}

// Stats returns the present figures.
func (g *Gate) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Stats{
		Waiting: len(g.queue.waiting), Loading: len(g.queue.loading), Refused: g.refused, Rate: g.queue.rate,
		LoadBytes: g.queue.charged[Load], HoldBytes: g.queue.charged[Hold],
	}
}

// Loaded notes the end of a load, see Queue.Loaded.
func (t *Ticket) Loaded(bytes, read int64) {
	t.change(func(q *Queue) { q.Loaded(t.entry, clock.Monotonic(), bytes, read) })
}

// Grow notes how many bytes a load has come to, see Queue.Grow. It may be called on a nil ticket.
func (t *Ticket) Grow(bytes int64) {
	if t != nil {
		t.change(func(q *Queue) { q.Grow(t.entry, bytes) })
	}
}

// Keep sets the memory that the request still needs.
func (t *Ticket) Keep(bytes int64) { t.change(func(q *Queue) { q.Keep(t.entry, bytes) }) }

// Release ends the admission. It may be called repeatedly, also on a nil ticket.
func (t *Ticket) Release() {
	if t == nil {
		return
	}
	t.once.Do(func() { t.change(func(q *Queue) { q.Remove(t.entry) }) })
}

func (t *Ticket) change(f func(*Queue)) {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	f(t.gate.queue)
	t.gate.advance()
}
