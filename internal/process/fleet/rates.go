package fleet

import (
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/share"
	"hornbeamvale.example/hornbeamvale/internal/version"
)

const (
	// minShareRate is the minimum rate, in requests/s, of one share of a customer's rate.
	// There are at least minShareHolders shares, so that the loss of one VM leaves a part
	// of the rate. More shares of a small rate would hold less than a token each.
	minShareRate    = 8.0
	minShareHolders = 2
	// maxRateWait bounds how long a request waits for a token of its customer's rate, in
	// addition to maxRateWaitFraction of its remaining time. maxStartWait is the limit for
	// a request that starts a program: no work is lost if such a request is refused.
	maxRateWait         = 800 * time.Millisecond
	maxRateWaitFraction = 0.5
	maxStartWait        = 100 * time.Millisecond
	// startRetryAfter is the delay after which a caller may retry to start a program
	// while its customer is at its rate.
	startRetryAfter = 500 * time.Millisecond
	// UnlimitedRate is the rate from which on a customer's requests are not limited.
	UnlimitedRate = 1e6
)

// rateShare is this VM's share of one customer's rate.
type rateShare struct {
	bucket       *share.Bucket
	startLimiter *share.StartLimiter
	unlimited    bool
	waiting      map[chan<- TakeRateTokenResult]*waiter
	holders      []Member // the VMs that have a share of the rate
	holds        bool     // this VM is one of the holders
	// formerHolders are VMs that may still use shares that the holders will use. The
	// holders that a new member replaces are the next ones in the ranking.
	formerHolders []Member
	// usableFrom is when this VM may begin to use a share that another VM may still be
	// using; zero if there is no such wait.
	usableFrom time.Time
	// usableUntil is when this VM stops to use a share that it has lost to a new member;
	// zero if it uses none.
	usableUntil time.Time
	firstLender int // counter that rotates the VM that is asked first
	// exhaustedUntil is when a request with the longest wait has a chance again: every
	// holder that was asked has given away its tokens until then. A change of the holders
	// or of the rate ends it.
	exhaustedUntil time.Time
}

// waiter is a request that waits for a token.
type waiter struct {
	limit         time.Time // the latest time at which the token has to be free
	maxWait       time.Duration
	startsProgram bool
	reply         chan<- TakeRateTokenResult
	// admitAt is when the token that was reserved for the request is free; zero while
	// other VMs are asked for one.
	admitAt time.Time
	gone    bool // the caller no longer waits
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
	// Deadline is the request's own; zero if it has none.
	Deadline time.Time
	// StartsProgram is set if the request starts a program.
	StartsProgram bool
	// Reply has a capacity of at least 1 and is used for this request only.
	Reply chan<- TakeRateTokenResult
}

// Apply implements Event.
func (e TakeRateToken) Apply(s *State, now time.Time) {
	r := s.currentShare(now, e.Customer)
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
	w := &waiter{maxWait: e.maxWait(now), startsProgram: e.StartsProgram, reply: e.Reply}
	w.limit = now.Add(w.maxWait)
	switch {
	case r.bucket.Take(now):
		r.admit(w)
	case w.limit.Before(r.exhaustedUntil):
		r.refuse(now, w, r.exhaustedUntil.Sub(now))
	default:
		r.waiting[w.reply] = w
		s.borrow(now, e.Customer, r, w)
	}
}

// currentShare returns this VM's share of a customer's rate, without a right to use it
// that has ended while the process was paused; nil if there is no such customer.
func (s *State) currentShare(now time.Time, customer string) *rateShare {
	s.stepMembers(now)
	r := s.rates[customer]
	if r != nil {
		s.stepShare(now, customer, r)
	}
	return r
}

// maxWait returns how long the request may wait for a token.
func (e TakeRateToken) maxWait(now time.Time) time.Duration {
	if e.StartsProgram {
		return maxStartWait
	}
	if e.Deadline.IsZero() {
		return maxRateWait
	}
	return max(0, min(maxRateWait, time.Duration(maxRateWaitFraction*float64(e.Deadline.Sub(now)))))
}

// CancelRateToken is the event that a request no longer waits for the token that it asked
// for with the same Reply. A token that it got meanwhile is returned.
type CancelRateToken struct {
	Customer string
	Reply    chan TakeRateTokenResult
}

// Apply implements Event.
func (e CancelRateToken) Apply(s *State, now time.Time) {
	r := s.rates[e.Customer]
	if r == nil {
		return
	}
	select {
	case taken := <-e.Reply:
		if taken.OK {
			r.bucket.ReturnToken(now)
		}
		return
	default:
	}
	if w := r.waiting[e.Reply]; w != nil {
		delete(r.waiting, e.Reply)
		w.gone = true
		if !w.admitAt.IsZero() {
			r.bucket.ReturnToken(now)
		}
	}
}

// ReturnRateToken is the event that returns the token of a request that no replica ran.
type ReturnRateToken struct{ Customer string }

// Apply implements Event.
func (e ReturnRateToken) Apply(s *State, now time.Time) {
	if r := s.rates[e.Customer]; r != nil {
		r.bucket.ReturnToken(now)
	}
}

// admit gives a token to a request.
func (r *rateShare) admit(w *waiter) {
	delete(r.waiting, w.reply)
	r.startLimiter.RecordAdmission(w.startsProgram)
	w.reply <- TakeRateTokenResult{OK: true}
}

// refuse answers a request that gets no token. after is the time until one may be free.
func (r *rateShare) refuse(now time.Time, w *waiter, after time.Duration) {
	delete(r.waiting, w.reply)
	if !w.startsProgram {
		r.startLimiter.RecordRefusal(now) // running programs are delayed
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
			r = &rateShare{bucket: share.NewBucket(now, 0, 0, 1), startLimiter: share.NewStartLimiter(now), holds: true, waiting: map[chan<- TakeRateTokenResult]*waiter{}}
			s.rates[c.Name] = r
		}
		r.unlimited = c.Rate >= UnlimitedRate
		s.applyRate(now, c, r)
	}
	for name, r := range s.rates {
		if !present[name] {
			for _, w := range r.waiting {
				r.refuse(now, w, 0)
				w.gone = true
			}
			delete(s.rates, name)
		}
	}
}

// applyRate sets this VM's share of one customer's rate. A share that this VM did not
// have before is not used until every VM that can reach the store has seen the change. A
// share that it has lost is used until its new holder may begin.
func (s *State) applyRate(now time.Time, c *version.Customer, r *rateShare) {
	wasHolder := r.holds
	r.holders, r.formerHolders = s.members.holdersAndNext(c.Name, c.Rate)
	r.holds = s.members.includesSelf(r.holders)
	switch {
	case r.holds && !wasHolder && !s.members.firstRead:
		r.usableFrom = now.Add(joinDelay)
	case wasHolder && !r.holds && !now.Before(r.usableFrom):
		r.usableUntil = s.members.handoverUntil
	}
	if r.holds || !now.Before(r.usableUntil) {
		r.usableUntil = time.Time{}
	}
	r.exhaustedUntil = time.Time{}
	rate, burst := c.Rate, c.Burst
	if !s.members.inUse || !r.holds && r.usableUntil.IsZero() || now.Before(r.usableFrom) {
		rate, burst = 0, 0
	}
	r.bucket.SetPolicy(now, rate, burst, len(r.holders))
}

// stepRates admits the requests whose tokens are free. It returns when it has to run
// next.
func (s *State) stepRates(now time.Time) (next time.Time) {
	for name, r := range s.rates {
		next = clock.Earlier(next, s.stepShare(now, name, r))
		for _, w := range r.waiting {
			switch {
			case w.admitAt.IsZero():
			case now.Before(w.admitAt):
				next = clock.Earlier(next, w.admitAt)
			case now.Sub(w.admitAt) > share.LoanLifetime:
				// This process was paused. The bucket has filled up again since, so the
				// token must not be used in addition.
				r.refuse(now, w, 0)
			default:
				r.admit(w)
			}
		}
	}
	return next
}

// stepShare begins to use a share once usableFrom has passed, and ends the use of a lost
// one at usableUntil. It returns the next of these times.
func (s *State) stepShare(now time.Time, name string, r *rateShare) time.Time {
	begins := !r.usableFrom.IsZero() && !now.Before(r.usableFrom)
	ends := !r.usableUntil.IsZero() && !now.Before(r.usableUntil)
	if begins {
		r.usableFrom = time.Time{}
	}
	if c, ok := s.table.Customer(name); ok && (begins || ends) {
		s.applyRate(now, c, r)
	}
	return clock.Earlier(r.usableFrom, r.usableUntil)
}
