package fleet

import (
	"context"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/share"
	"hornbeamvale.example/hornbeamvale/internal/version"
)

const (
	// minPart is the least rate, in requests/s, of a part into which a customer's rate
	// is divided. Smaller parts hold less than the tokens of one loan. minHolders
	// parts are kept in any case, so that the loss of a VM leaves most of the rate.
	minPart    = 8.0
	minHolders = 3
	// lendWait is how long a VM without a part of its own waits in the queue of one
	// that has, so that callers of all VMs have the same chance.
	lendWait = 60 * time.Millisecond
	// rateWait is how long a request waits for its customer's rate, and startWait
	// the same for one that begins a program: it has nothing to lose yet.
	rateWait  = 400 * time.Millisecond
	startWait = 100 * time.Millisecond
	// startRetry is when a caller may try again to begin a program while its customer
	// is at its rate.
	startRetry = 500 * time.Millisecond
	// borrowTimeout bounds one question to another VM; a round trip takes 3 ms.
	borrowTimeout = 100 * time.Millisecond
	// dryPause is how long a VM does not ask again after all others had no tokens.
	dryPause = 60 * time.Millisecond
	// Unlimited is the rate from which on a customer's requests are not counted.
	Unlimited = 1e6
)

// allowance is this VM's part of one customer's rate.
type allowance struct {
	bucket    *share.Bucket
	starts    *share.Starts
	unlimited bool
	waiting   []waiter
	borrowing bool
	holders   []Seat // the VMs that have a part of the rate
	holds     bool   // this VM is one of them
	// fillFrom is when this VM may begin to use a part that was another VM's before.
	fillFrom time.Time
	askAgain time.Time
	next     int // seat that is asked first
}

// waiter waits for tokens: a request of this VM, or a loan to another one.
type waiter struct {
	deadline time.Time
	starts   bool
	reply    chan<- Taken   // of a request
	loan     chan<- float64 // of a loan
}

// Taken is the answer to a Take.
type Taken struct {
	OK bool
	// RetryAfter is when a refused request has a chance.
	RetryAfter time.Duration
}

// Take asks for one request of a customer's rate.
type Take struct {
	Customer string
	// Deadline ends the wait; zero means the longest wait.
	Deadline time.Time
	// Starts says that the request begins a program.
	Starts bool
	Reply  chan<- Taken
}

// Apply implements Event.
func (e Take) Apply(s *State, now time.Time) {
	a := s.rates[e.Customer]
	if a == nil || a.unlimited {
		// A customer that a version has just removed fails at its key.
		e.Reply <- Taken{OK: true}
		return
	}
	if e.Starts && !a.starts.Take(now, a.bucket.Rate()) {
		e.Reply <- Taken{RetryAfter: startRetry}
		return
	}
	a.bucket.Asked(now)
	if len(a.waiting) == 0 && a.bucket.Take(now) {
		a.admit(waiter{starts: e.Starts, reply: e.Reply})
		return
	}
	wait := rateWait
	if e.Starts {
		wait = startWait
	}
	if latest := now.Add(wait); e.Deadline.IsZero() || latest.Before(e.Deadline) {
		e.Deadline = latest
	}
	a.waiting = append(a.waiting, waiter{deadline: e.Deadline, starts: e.Starts, reply: e.Reply})
	s.borrow(now, e.Customer, a)
}

// GiveBack returns the token of a request that no replica ran.
type GiveBack struct{ Customer string }

// Apply implements Event.
func (e GiveBack) Apply(s *State, now time.Time) {
	if a := s.rates[e.Customer]; a != nil {
		a.bucket.GiveBack(now)
	}
}

// admit gives a token to a request or a loan.
func (a *allowance) admit(w waiter) {
	if w.loan != nil {
		w.loan <- 1
		return
	}
	a.starts.Admitted(w.starts)
	w.reply <- Taken{OK: true}
}

// refuse answers a waiter that gets no token.
func (w waiter) refuse(after time.Duration) {
	if w.loan != nil {
		w.loan <- 0
		return
	}
	w.reply <- Taken{RetryAfter: after}
}

// applyRates takes the rates of a new version or another number of seats.
func (s *State) applyRates(now time.Time) {
	if s.table == nil {
		return
	}
	present := map[string]bool{}
	for _, c := range s.table.Customers() {
		present[c.Name] = true
		a := s.rates[c.Name]
		if a == nil {
			// A part of a new customer was no other VM's before, so it needs no wait.
			a = &allowance{bucket: share.NewBucket(now, 0, 0, 1), starts: share.NewStarts(now), holds: true}
			s.rates[c.Name] = a
		}
		a.unlimited = c.Rate >= Unlimited
		s.applyRate(now, c, a)
	}
	for name, a := range s.rates {
		if !present[name] {
			for _, w := range a.waiting {
				w.refuse(0)
			}
			delete(s.rates, name)
		}
	}
}

// applyRate sets this VM's part of one customer's rate. A part that this VM did not
// have before is used when every VM that can reach the store has seen the change.
func (s *State) applyRate(now time.Time, c *version.Customer, a *allowance) {
	held := a.holds
	a.holders = s.seats.holders(c.Name, c.Rate)
	a.holds = s.seats.isSelf(a.holders)
	if a.holds && !held && !s.seats.first {
		a.fillFrom = now.Add(joinWait)
	}
	rate, burst := c.Rate, c.Burst
	if !s.seats.usable || !a.holds || now.Before(a.fillFrom) {
		rate, burst = 0, 0
	}
	a.bucket.SetPolicy(now, rate, burst, len(a.holders))
}

// stepRates admits waiting requests and refuses those whose wait has ended. It
// returns when the next one is due.
func (s *State) stepRates(now time.Time) (next time.Time) {
	for name, a := range s.rates {
		if !a.fillFrom.IsZero() {
			next = clock.Earlier(next, s.stepFill(now, name, a))
		}
		for len(a.waiting) > 0 && a.bucket.Take(now) {
			a.admit(a.waiting[0])
			a.waiting = a.waiting[1:]
		}
		a.expire(now)
		if len(a.waiting) == 0 {
			continue
		}
		s.borrow(now, name, a)
		for _, w := range a.waiting {
			next = clock.Earlier(next, w.deadline)
		}
		next = clock.Earlier(next, a.bucket.NextToken(now))
		if !a.borrowing {
			next = clock.Earlier(next, a.askAgain)
		}
	}
	return next
}

func (a *allowance) expire(now time.Time) {
	kept := a.waiting[:0]
	for _, w := range a.waiting {
		if now.Before(w.deadline) {
			kept = append(kept, w)
			continue
		}
		if w.reply != nil && !w.starts {
			// The whole fleet has no token, so programs that run are held up.
			a.starts.Press(now)
		}
		w.refuse(a.bucket.NextToken(now).Sub(now))
	}
	a.waiting = kept
}

// stepFill begins to use a part when its time has come, or returns when that is.
func (s *State) stepFill(now time.Time, name string, a *allowance) time.Time {
	if now.Before(a.fillFrom) {
		return a.fillFrom
	}
	a.fillFrom = time.Time{}
	if c, ok := s.table.Customer(name); ok {
		s.applyRate(now, c, a)
	}
	return time.Time{}
}

// borrow asks the VMs that have a part of the rate, one after another, for the tokens
// that are missing.
func (s *State) borrow(now time.Time, customer string, a *allowance) {
	if a.borrowing || now.Before(a.askAgain) || len(a.waiting) == 0 {
		return
	}
	others := s.seats.reachable(now, a.holders)
	if len(others) == 0 {
		return
	}
	a.borrowing = true
	a.next++
	missing := a.bucket.Missing(now, len(a.waiting))
	first := a.next % len(others)
	want := LoanRequest{Wait: !a.holds}
	s.loop.start(func(ctx context.Context) {
		for i := range others {
			if missing <= 0 || ctx.Err() != nil {
				break
			}
			to := others[(first+i)%len(others)]
			want.Want = missing
			got, err := s.askFor(ctx, to, customer, want)
			if err != nil {
				s.loop.post(ctx, peerFailed{seat: to.VM})
				continue
			}
			if got > 0 {
				missing -= got
				s.loop.post(ctx, borrowed{customer: customer, tokens: got})
			}
		}
		s.loop.post(ctx, borrowed{customer: customer, done: true, dry: missing > 0})
	})
}

func (s *State) askFor(ctx context.Context, to Seat, customer string, want LoanRequest) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	return s.config.Peers.Borrow(ctx, to, customer, want)
}

// borrowed adds tokens of another VM, or ends a round of questions.
type borrowed struct {
	customer  string
	tokens    float64
	done, dry bool
}

// Apply implements Event.
func (e borrowed) Apply(s *State, now time.Time) {
	a := s.rates[e.customer]
	if a == nil {
		return
	}
	if e.tokens > 0 {
		a.bucket.Borrowed(now, e.tokens)
	}
	if e.done {
		a.borrowing = false
		if e.dry {
			a.askAgain = now.Add(dryPause)
		}
	}
}

// LoanRequest asks for tokens of a customer.
type LoanRequest struct {
	Want float64
	// Wait says that the asking VM has no part of its own: its callers have only the
	// tokens of others, so it may wait for one.
	Wait bool
}

// Lend gives tokens of a customer to another VM.
type Lend struct {
	Customer string
	LoanRequest
	Reply chan<- float64
}

// Apply implements Event.
func (e Lend) Apply(s *State, now time.Time) {
	a := s.rates[e.Customer]
	if a == nil {
		e.Reply <- 0
		return
	}
	lent := 0.0
	if len(a.waiting) == 0 {
		lent = a.bucket.Lend(now, e.Want)
	}
	if lent == 0 && e.Wait && a.holds {
		a.waiting = append(a.waiting, waiter{deadline: now.Add(lendWait), loan: e.Reply})
		return
	}
	e.Reply <- lent
}
