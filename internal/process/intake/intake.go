package intake

import (
	"context"
	"errors"
	"maps"
	"net/netip"
	"sync"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
)

const (
	// roomWait bounds the wait for room that others give up.
	roomWait = 500 * time.Millisecond
	// expireInterval is the time between two checks of the times of connections.
	expireInterval = 500 * time.Millisecond
	// drainInterval is the time between two checks of a stop whether connections are left.
	drainInterval = 20 * time.Millisecond
)

// Error says that a request cannot be received. It has not run.
type Error struct{ Reason Reason }

// Error implements error.
func (e *Error) Error() string { return "the request is not received: limit " + string(e.Reason) }

// ReasonOf returns the limit because of which an error of Intake occurred.
func ReasonOf(err error) Reason {
	var e *Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return NoReason
}

// Intake is a Budget for concurrent use. It lives as long as the process.
type Intake struct {
	mu     sync.Mutex
	budget *Budget
	freed  chan struct{} // closed and replaced when room is freed; nil if nobody waits
	report report
}

// New returns an Intake with the limits.
func New(l Limits) *Intake { return &Intake{budget: NewBudget(l), report: newReport()} }

// Open admits a connection or returns an *Error. It may close another connection.
func (i *Intake) Open(address netip.Addr, holder Holder) (*Sender, error) {
	i.mu.Lock()
	s, yields, why := i.budget.Open(address, holder, clock.Monotonic())
	if why != NoReason {
		i.report.count(why, address)
	}
	i.yield(yields)
	i.mu.Unlock()
	closeYielded(yields)
	if s == nil {
		return nil, &Error{why}
	}
	return s, nil
}

// Close releases a connection with all that it holds.
func (i *Intake) Close(s *Sender) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.budget.Remove(s)
	i.wake()
}

// BeginHead notes the first bytes of a request.
func (i *Intake) BeginHead(s *Sender) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	ending := s.ending
	if !i.budget.BeginHead(s, clock.Monotonic()) {
		return &Error{s.yielded}
	}
	if ending {
		s.holder.Resume()
	}
	return nil
}

// BeginBody notes that a head was parsed and charges what it takes.
func (i *Intake) BeginBody(ctx context.Context, s *Sender, bytes int64) error {
	i.mu.Lock()
	ending := s.ending
	begun, why := i.budget.BeginBody(s, bytes, clock.Monotonic()), s.yielded
	if ending && begun {
		s.holder.Resume()
	}
	i.wake()
	i.mu.Unlock()
	if !begun {
		return &Error{why}
	}
	return i.Charge(ctx, s, bytes, 0)
}

// Charge takes bytes from the budget for a request of which more has been received. It waits
// a short time for room that others give up, and returns an *Error if there is none.
func (i *Intake) Charge(ctx context.Context, s *Sender, bytes int64, received int) error {
	var timeout <-chan time.Time
	for {
		i.mu.Lock()
		verdict, yields, why := i.budget.Charge(s, bytes, received, clock.Monotonic())
		if verdict == Refused && s.yielded == NoReason {
			i.report.count(why, s.address)
		}
		i.yield(yields)
		if verdict == Wait && i.freed == nil {
			i.freed = make(chan struct{})
		}
		freed := i.freed
		i.mu.Unlock()
		closeYielded(yields)
		switch verdict {
		case Granted:
			return nil
		case Refused:
			return &Error{why}
		}
		if timeout == nil {
			timer := time.NewTimer(roomWait)
			defer timer.Stop()
			timeout = timer.C
		}
		received = 0
		select {
		case <-freed:
		case <-timeout:
			i.Count(NoMemory, s.address)
			return &Error{NoMemory}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Run notes that a request has been received and is going to be served. On an error it must
// not be.
func (i *Intake) Run(s *Sender) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.budget.Run(s) {
		return &Error{s.yielded}
	}
	return nil
}

// Answered releases what a request holds except its head.
func (i *Intake) Answered(s *Sender) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.budget.Answered(s)
	i.wake()
}

// End releases what the request before holds and notes that the connection is idle.
func (i *Intake) End(s *Sender) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.yield(i.budget.End(s, clock.Monotonic()))
	i.wake()
}

// EndIdle ends a connection unless a request has been read from it.
func (i *Intake) EndIdle(s *Sender, why Reason) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s.yielded == NoReason {
		i.yield([]Yield{i.budget.mark(s, why, EndRead)})
	}
}

// Take charges bytes that belong to no connection of a caller. A nil Intake has no bound.
func (i *Intake) Take(bytes int64) bool {
	if i == nil {
		return true
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	ok := i.budget.Take(bytes)
	if !ok {
		i.report.count(ForwardMemory, netip.Addr{})
	}
	return ok
}

// Return releases bytes of Take.
func (i *Intake) Return(bytes int64) {
	if i == nil || bytes == 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.budget.Return(bytes)
	i.wake()
}

// Linger notes that a connection is only kept until the caller has read the last answer.
func (i *Intake) Linger(s *Sender) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.budget.Linger(s)
}

// Yielded returns the limit for which a sender has to give up what it holds.
func (i *Intake) Yielded(s *Sender) Reason {
	i.mu.Lock()
	defer i.mu.Unlock()
	return s.yielded
}

// Expire closes connections that have been in a phase for too long, and logs which limits
// closed or refused how many, until ctx ends.
func (i *Intake) Expire(ctx context.Context, times func() Times, log Log) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		i.mu.Lock()
		yields := i.budget.Expire(times(), clock.Monotonic())
		i.yield(yields)
		lines := i.report.take(clock.Monotonic())
		i.mu.Unlock()
		closeYielded(yields)
		for _, l := range lines {
			log.State("Closed connections or refused requests of callers", "limit", l.reason, "count", l.count,
				"address", l.address, "addressCount", l.addressCount, "period", reportInterval)
		}
	}
}

// Drain ends idle connections, and the others after their requests, until none is left. New
// connections are kept for their first request for firstRequest. Drain returns the error of ctx
// if that ends before.
func (i *Intake) Drain(ctx context.Context, firstRequest time.Duration) error {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		i.mu.Lock()
		i.yield(i.budget.Drain(firstRequest, clock.Monotonic()))
		left := len(i.budget.senders)
		i.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Count counts a connection that was closed or a request that was refused.
func (i *Intake) Count(why Reason, address netip.Addr) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.report.count(why, address)
}

// yield asks senders to yield that may still go on, and counts all. It has the lock, so that
// a request that is read at the same time begins before or after it.
func (i *Intake) yield(yields []Yield) {
	for _, y := range yields {
		i.report.count(y.Reason, y.Sender.address)
		if y.Action == EndRead {
			y.Sender.holder.EndRead()
		}
	}
}

// closeYielded asks the other senders to yield, without the lock.
func closeYielded(yields []Yield) {
	for _, y := range yields {
		switch y.Action {
		case Close:
			y.Sender.holder.Abandon()
		case Refuse:
			y.Sender.holder.Interrupt()
		}
	}
}

// wake lets the senders that wait for room try again.
func (i *Intake) wake() {
	if i.freed != nil {
		close(i.freed)
		i.freed = nil
	}
}

// Use is what callers hold.
type Use struct {
	Connections int
	Bytes       int64
}

// Use returns what callers hold.
func (i *Intake) Use() Use {
	i.mu.Lock()
	defer i.mu.Unlock()
	return Use{Connections: i.budget.open, Bytes: i.budget.total}
}

// Counts returns the number of closed connections and refused requests by limit.
func (i *Intake) Counts() map[Reason]int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.report.totals()
}

// CountCut counts a connection that this VM ended before it had answered what it had received.
func (i *Intake) CountCut(why Reason, phase Phase) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.report.cuts[Cut{why, phase}]++
}

// Cuts returns the numbers of CountCut.
func (i *Intake) Cuts() map[Cut]int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return maps.Clone(i.report.cuts)
}
