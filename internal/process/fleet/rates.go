package fleet

import (
	"context"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/share"
)

const (
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
	waiting   []Take
	borrowing bool
	askAgain  time.Time
	next      int // seat that is asked first
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
		a.admit(e)
		return
	}
	wait := rateWait
	if e.Starts {
		wait = startWait
	}
	if latest := now.Add(wait); e.Deadline.IsZero() || latest.Before(e.Deadline) {
		e.Deadline = latest
	}
	a.waiting = append(a.waiting, e)
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

func (a *allowance) admit(t Take) {
	a.starts.Admitted(t.Starts)
	t.Reply <- Taken{OK: true}
}

// applyRates takes the rates of a new version or another number of seats.
func (s *State) applyRates(now time.Time) {
	if s.table == nil {
		return
	}
	present := map[string]bool{}
	for _, c := range s.table.Customers() {
		present[c.Name] = true
		rate, burst := c.Rate, c.Burst
		if !s.seats.usable {
			rate, burst = 0, 0
		}
		a := s.rates[c.Name]
		if a == nil {
			a = &allowance{bucket: share.NewBucket(now, rate, burst, s.seats.count()), starts: share.NewStarts(now)}
			s.rates[c.Name] = a
		}
		a.unlimited = c.Rate >= Unlimited
		a.bucket.SetPolicy(now, rate, burst, s.seats.count())
	}
	for name, a := range s.rates {
		if !present[name] {
			for _, w := range a.waiting {
				w.Reply <- Taken{}
			}
			delete(s.rates, name)
		}
	}
}

// stepRates admits waiting requests and refuses those whose wait has ended. It
// returns when the next one is due.
func (s *State) stepRates(now time.Time) (next time.Time) {
	for name, a := range s.rates {
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
			next = sooner(next, w.Deadline)
		}
		next = sooner(next, a.bucket.NextToken(now))
		if !a.borrowing {
			next = sooner(next, a.askAgain)
		}
	}
	return next
}

func (a *allowance) expire(now time.Time) {
	kept := a.waiting[:0]
	for _, w := range a.waiting {
		if now.Before(w.Deadline) {
			kept = append(kept, w)
			continue
		}
		if !w.Starts {
			// The whole fleet has no token, so programs that run are held up.
			a.starts.Press(now)
		}
		w.Reply <- Taken{RetryAfter: a.bucket.NextToken(now).Sub(now)}
	}
	a.waiting = kept
}

func sooner(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// borrow asks the other VMs, one after another, for the tokens that are missing.
func (s *State) borrow(now time.Time, customer string, a *allowance) {
	if a.borrowing || now.Before(a.askAgain) || len(a.waiting) == 0 {
		return
	}
	others := s.seats.others()
	if len(others) == 0 {
		return
	}
	a.borrowing = true
	a.next++
	missing := a.bucket.Missing(now, len(a.waiting))
	first := a.next % len(others)
	s.loop.start(func(ctx context.Context) {
		for i := range others {
			if missing <= 0 || ctx.Err() != nil {
				break
			}
			to := others[(first+i)%len(others)]
			got, err := s.askFor(ctx, to, customer, missing)
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

func (s *State) askFor(ctx context.Context, to Seat, customer string, want float64) (float64, error) {
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

// Lend gives tokens of a customer to another VM.
type Lend struct {
	Customer string
	Want     float64
	Reply    chan<- float64
}

// Apply implements Event.
func (e Lend) Apply(s *State, now time.Time) {
	a := s.rates[e.Customer]
	if a == nil || len(a.waiting) > 0 {
		e.Reply <- 0
		return
	}
	e.Reply <- a.bucket.Lend(now, e.Want)
}
