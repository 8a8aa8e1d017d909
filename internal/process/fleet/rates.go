package fleet

import (
	"context"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/share"
	"hornbeamvale.example/hornbeamvale/internal/version"
)

const (
	// minShareRate is the minimum rate, in requests/s, of one share of a customer's
	// rate. Smaller shares hold fewer tokens than one loan. There are at least
	// minShareHolders shares, so that the loss of one VM leaves most of the rate.
	minShareRate    = 8.0
	minShareHolders = 3
	// maxLoanWait is how long a VM without a share waits in the queue of a VM that has
	// one, so that callers of all VMs have the same chance.
	maxLoanWait = 60 * time.Millisecond
	// maxRateWait bounds how long a request waits for a token of its customer's rate.
	// maxStartWait is the limit for a request that starts a program: no work is lost if
	// such a request is refused.
	maxRateWait  = 400 * time.Millisecond
	maxStartWait = 100 * time.Millisecond
	// startRetryAfter is the delay after which a caller may retry to start a program
	// while its customer is at its rate.
	startRetryAfter = 500 * time.Millisecond
	// borrowTimeout bounds one call to another VM. A round trip takes 3 ms.
	borrowTimeout = 100 * time.Millisecond
	// borrowRetryDelay is the wait before the next round of borrowing after no other VM
	// had enough tokens.
	borrowRetryDelay = 60 * time.Millisecond
	// UnlimitedRate is the rate from which on a customer's requests are not limited.
	UnlimitedRate = 1e6
)

// rateShare is this VM's share of one customer's rate.
type rateShare struct {
	bucket       *share.Bucket
	startLimiter *share.StartLimiter
	unlimited    bool
	waiting      []waiter
	borrowing    bool
	holders      []Member // the VMs that have a share of the rate
	holds        bool     // this VM is one of the holders
	// usableFrom is when this VM may begin to use a share that another VM may still be
	// using; zero if there is no such wait.
	usableFrom  time.Time
	borrowAfter time.Time
	firstLender int // counter that rotates the VM that is asked first
}

// waiter is a request of this VM or a loan to another VM that waits for a token.
type waiter struct {
	deadline      time.Time
	startsProgram bool
	reply         chan<- TakeRateTokenResult // set for a request
	loanReply     chan<- float64             // set for a loan
}

// TakeRateTokenResult is the reply to a TakeRateToken.
type TakeRateTokenResult struct {
	OK bool
	// RetryAfter is the delay after which a refused request has a chance to be
	// admitted.
	RetryAfter time.Duration
}

// TakeRateToken is the event that takes one token of a customer's rate for a request.
type TakeRateToken struct {
	Customer string
	// Deadline ends the wait for a token; zero means the longest wait.
	Deadline time.Time
	// StartsProgram is set if the request starts a program.
	StartsProgram bool
	Reply         chan<- TakeRateTokenResult
}

// Apply implements Event.
func (e TakeRateToken) Apply(s *State, now time.Time) {
	r := s.rates[e.Customer]
	if r == nil || r.unlimited {
		// Without a share, the configuration in force has just removed the customer; the
		// check of its key then refuses the request.
		e.Reply <- TakeRateTokenResult{OK: true}
		return
	}
	if e.StartsProgram && !r.startLimiter.Take(now, r.bucket.Rate()) {
		e.Reply <- TakeRateTokenResult{RetryAfter: startRetryAfter}
		return
	}
	r.bucket.RecordDemand(now)
	if len(r.waiting) == 0 && r.bucket.Take(now) {
		r.admit(waiter{startsProgram: e.StartsProgram, reply: e.Reply})
		return
	}
	wait := maxRateWait
	if e.StartsProgram {
		wait = maxStartWait
	}
	if latest := now.Add(wait); e.Deadline.IsZero() || latest.Before(e.Deadline) {
		e.Deadline = latest
	}
	r.waiting = append(r.waiting, waiter{deadline: e.Deadline, startsProgram: e.StartsProgram, reply: e.Reply})
	s.borrow(now, e.Customer, r)
}

// ReturnRateToken is the event that returns the token of a request that no replica ran.
type ReturnRateToken struct{ Customer string }

// Apply implements Event.
func (e ReturnRateToken) Apply(s *State, now time.Time) {
	if r := s.rates[e.Customer]; r != nil {
		r.bucket.ReturnToken(now)
	}
}

// admit gives a token to a request or a loan.
func (r *rateShare) admit(w waiter) {
	if w.loanReply != nil {
		w.loanReply <- 1
		return
	}
	r.startLimiter.RecordAdmission(w.startsProgram)
	w.reply <- TakeRateTokenResult{OK: true}
}

// refuse replies to a waiter that gets no token.
func (w waiter) refuse(after time.Duration) {
	if w.loanReply != nil {
		w.loanReply <- 0
		return
	}
	w.reply <- TakeRateTokenResult{RetryAfter: after}
}

// applyRates applies the rates after a change of the configuration or of the members.
func (s *State) applyRates(now time.Time) {
	if s.table == nil {
		return
	}
	present := map[string]bool{}
	for _, c := range s.table.Customers() {
		present[c.Name] = true
		r := s.rates[c.Name]
		if r == nil {
			// No other VM had a share of a new customer's rate before, so there is no
			// wait.
			r = &rateShare{bucket: share.NewBucket(now, 0, 0, 1), startLimiter: share.NewStartLimiter(now), holds: true}
			s.rates[c.Name] = r
		}
		r.unlimited = c.Rate >= UnlimitedRate
		s.applyRate(now, c, r)
	}
	for name, r := range s.rates {
		if !present[name] {
			for _, w := range r.waiting {
				w.refuse(0)
			}
			delete(s.rates, name)
		}
	}
}

// applyRate sets this VM's share of one customer's rate. A share that this VM did not
// have before is not used until every VM that can reach the store has seen the change.
func (s *State) applyRate(now time.Time, c *version.Customer, r *rateShare) {
	wasHolder := r.holds
	r.holders = s.members.holders(c.Name, c.Rate)
	r.holds = s.members.includesSelf(r.holders)
	if r.holds && !wasHolder && !s.members.firstRead {
		r.usableFrom = now.Add(joinDelay)
	}
	rate, burst := c.Rate, c.Burst
	if !s.members.usable || !r.holds || now.Before(r.usableFrom) {
		rate, burst = 0, 0
	}
	r.bucket.SetPolicy(now, rate, burst, len(r.holders))
}

// stepRates admits waiting requests and refuses those whose wait has ended. It returns
// when it has to run next.
func (s *State) stepRates(now time.Time) (next time.Time) {
	for name, r := range s.rates {
		if !r.usableFrom.IsZero() {
			next = clock.Earlier(next, s.stepShare(now, name, r))
		}
		for len(r.waiting) > 0 && r.bucket.Take(now) {
			r.admit(r.waiting[0])
			r.waiting = r.waiting[1:]
		}
		r.expire(now)
		if len(r.waiting) == 0 {
			continue
		}
		s.borrow(now, name, r)
		for _, w := range r.waiting {
			next = clock.Earlier(next, w.deadline)
		}
		next = clock.Earlier(next, r.bucket.NextToken(now))
		if !r.borrowing {
			next = clock.Earlier(next, r.borrowAfter)
		}
	}
	return next
}

func (r *rateShare) expire(now time.Time) {
	kept := r.waiting[:0]
	for _, w := range r.waiting {
		if now.Before(w.deadline) {
			kept = append(kept, w)
			continue
		}
		if w.reply != nil && !w.startsProgram {
			// No VM of the fleet had a token, so running programs are delayed.
			r.startLimiter.RecordRefusal(now)
		}
		w.refuse(r.bucket.NextToken(now).Sub(now))
	}
	r.waiting = kept
}

// stepShare begins to use a share once usableFrom has passed; before, it returns
// usableFrom.
func (s *State) stepShare(now time.Time, name string, r *rateShare) time.Time {
	if now.Before(r.usableFrom) {
		return r.usableFrom
	}
	r.usableFrom = time.Time{}
	if c, ok := s.table.Customer(name); ok {
		s.applyRate(now, c, r)
	}
	return time.Time{}
}

// borrow asks the other holders of the rate one after another for the missing tokens.
func (s *State) borrow(now time.Time, customer string, r *rateShare) {
	if r.borrowing || now.Before(r.borrowAfter) || len(r.waiting) == 0 {
		return
	}
	lenders := s.members.reachable(now, r.holders)
	if len(lenders) == 0 {
		return
	}
	r.borrowing = true
	r.firstLender++
	missing := r.bucket.Shortfall(now, len(r.waiting))
	first := r.firstLender % len(lenders)
	request := LoanRequest{Wait: !r.holds}
	s.loop.start(func(ctx context.Context) {
		for i := range lenders {
			if missing <= 0 || ctx.Err() != nil {
				break
			}
			to := lenders[(first+i)%len(lenders)]
			request.Want = missing
			got, err := s.borrowFrom(ctx, to, customer, request)
			if err != nil {
				s.loop.post(ctx, peerFailed{vm: to.VM})
				continue
			}
			if got > 0 {
				missing -= got
				s.loop.post(ctx, borrowed{customer: customer, tokens: got})
			}
		}
		s.loop.post(ctx, borrowed{customer: customer, done: true, exhausted: missing > 0})
	})
}

func (s *State) borrowFrom(ctx context.Context, to Member, customer string, request LoanRequest) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	return s.config.Peers.Borrow(ctx, to, customer, request)
}

// borrowed is the event that another VM has lent tokens, or that a round of borrowing
// has ended.
type borrowed struct {
	customer        string
	tokens          float64
	done, exhausted bool
}

// Apply implements Event.
func (e borrowed) Apply(s *State, now time.Time) {
	r := s.rates[e.customer]
	if r == nil {
		return
	}
	if e.tokens > 0 {
		r.bucket.AddLoan(now, e.tokens)
	}
	if e.done {
		r.borrowing = false
		if e.exhausted {
			r.borrowAfter = now.Add(borrowRetryDelay)
		}
	}
}

// LoanRequest asks another VM for tokens of a customer's rate.
type LoanRequest struct {
	Want float64 // tokens
	// Wait is set if the borrower has no share of its own. Its callers depend on
	// borrowed tokens, so the loan may wait for a token.
	Wait bool
}

// Lend is the event that another VM asks for tokens of a customer's rate.
type Lend struct {
	Customer string
	LoanRequest
	Reply chan<- float64
}

// Apply implements Event.
func (e Lend) Apply(s *State, now time.Time) {
	r := s.rates[e.Customer]
	if r == nil {
		e.Reply <- 0
		return
	}
	lent := 0.0
	if len(r.waiting) == 0 {
		lent = r.bucket.Lend(now, e.Want)
	}
	if lent == 0 && e.Wait && r.holds {
		r.waiting = append(r.waiting, waiter{deadline: now.Add(maxLoanWait), loanReply: e.Reply})
		return
	}
	e.Reply <- lent
}
