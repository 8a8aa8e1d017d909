package fleet

import (
	"context"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/share"
)

const (
	// borrowTimeout bounds one call to another VM. A round trip takes 3 ms.
	borrowTimeout = 100 * time.Millisecond
	// maxLenders bounds the VMs that are asked for one request. If none of them has a
	// token, the one that has the next one reserves it.
	maxLenders = 3
)

// LoanRequest asks another VM for tokens of a customer's rate.
type LoanRequest struct {
	// MaxWait is how long the borrower's request may wait for its token.
	MaxWait time.Duration
	// Prefetch is the number of tokens that the borrower expects to need in addition. They
	// are lent only if the lender does not expect to need them itself.
	Prefetch float64
}

// Loan is the reply to a LoanRequest.
type Loan struct {
	// Granted is set if the lender gave away a token. It may be used after Wait. Otherwise
	// Wait is the time after which the lender has a token.
	Granted bool
	Wait    time.Duration
	// Prefetched is the number of tokens lent in addition, for use at once.
	Prefetched float64
}

// borrow gets a token for a request that this VM has none for. A token that is free at
// once at one of the holders is taken there; otherwise the holder that has the next one
// reserves it, this VM's own share included. The request is refused as soon as it is
// known that no token will be free in time.
func (s *State) borrow(now time.Time, customer string, r *rateShare, w *waiter) {
	if search := s.loanSearch(now, customer, r, w); search != nil {
		s.startSearch(now, search)
		return
	}
	s.reserveOwn(now, r, w)
}

// loanSearch returns the search for a token of a request, which makes calls to other VMs
// and must not run on the control thread. It returns nil if there is no VM to ask.
func (s *State) loanSearch(now time.Time, customer string, r *rateShare, w *waiter) func(context.Context) loanEnded {
	lenders := s.members.reachable(now, r.holders)
	if len(lenders) == 0 {
		return nil
	}
	r.firstLender++
	lenders = rotate(lenders, r.firstLender)[:min(len(lenders), maxLenders)]
	own, prefetch := ownWait(now, r), r.bucket.Prefetch(now)
	return func(ctx context.Context) loanEnded {
		return loanEnded{customer: customer, w: w, asked: now, loanResult: s.findLoan(ctx, lenders, customer, w.maxWait, prefetch, own)}
	}
}

// rotate returns the members in the same order, beginning with another one.
func rotate(members []Member, first int) []Member {
	out := make([]Member, 0, len(members))
	for i := range members {
		out = append(out, members[(first+i)%len(members)])
	}
	return out
}

// noShare is the wait for the own share of a VM that has none.
const noShare = time.Hour

// ownWait returns how long this VM's own share needs to have a token.
func ownWait(now time.Time, r *rateShare) time.Duration {
	if r.bucket.Rate() <= 0 {
		return noShare
	}
	return r.bucket.NextToken(now).Sub(now)
}

// loanResult says where a request may get its token.
type loanResult struct {
	Loan
	own      bool // the own share has the next token
	failed   []Member
	complete bool // all holders that were asked have answered
}

// findLoan asks the lenders one after another. It runs on a goroutine of its own.
func (s *State) findLoan(ctx context.Context, lenders []Member, customer string, maxWait time.Duration, prefetch float64, own time.Duration) loanResult {
	result := loanResult{complete: true}
	best, bestWait := -1, own
	for i, to := range lenders {
		request := LoanRequest{Prefetch: prefetch}
		if len(lenders) == 1 && own == noShare {
			request.MaxWait = maxWait
		}
		loan, err := s.borrowFrom(ctx, to, customer, request)
		result.Prefetched += loan.Prefetched
		switch {
		case err != nil:
			result.failed, result.complete = append(result.failed, to), false
		case loan.Granted:
			result.Granted, result.Wait = true, loan.Wait
			return result
		case loan.Wait < bestWait:
			best, bestWait = i, loan.Wait
		}
	}
	result.Wait = bestWait
	switch {
	case bestWait > maxWait:
	case best < 0:
		result.own = true
	default:
		loan, err := s.borrowFrom(ctx, lenders[best], customer, LoanRequest{MaxWait: maxWait})
		if err != nil {
			result.failed, result.complete = append(result.failed, lenders[best]), false
			return result
		}
		result.Granted, result.Wait = loan.Granted, loan.Wait
	}
	return result
}

func (s *State) borrowFrom(ctx context.Context, to Member, customer string, request LoanRequest) (Loan, error) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	return s.config.Peers.Borrow(ctx, to, customer, request)
}

// loanEnded is the event that the search for a token of a request has ended.
type loanEnded struct {
	customer string
	w        *waiter
	asked    time.Time // when the search began
	loanResult
}

// Apply implements Event.
func (e loanEnded) Apply(s *State, now time.Time) {
	for _, m := range e.failed {
		s.members.failed[m.VM] = now
	}
	r := s.rates[e.customer]
	if r == nil {
		return
	}
	if now.Sub(e.asked) > share.LoanLifetime {
		// This process was paused. The lenders' buckets have filled up again since, so what
		// they lent must not be used in addition.
		e.Granted, e.Prefetched, e.complete = false, 0, false
	}
	if e.Prefetched > 0 {
		r.bucket.AddLoan(now, e.Prefetched)
	}
	w := e.w
	switch {
	case w.gone:
		if e.Granted && e.Wait == 0 {
			r.bucket.AddLoan(now, 1)
		}
	case e.Granted:
		s.admitAfter(now, r, w, e.Wait)
	case e.own || r.bucket.Rate() > 0:
		s.reserveOwn(now, r, w)
	default:
		if e.complete {
			r.exhaustedUntil = now.Add(e.Wait)
		}
		r.refuse(now, w, min(e.Wait, maxRateWait))
	}
}

// reserveOwn reserves a token of this VM's own share for a request, or refuses it.
func (s *State) reserveOwn(now time.Time, r *rateShare, w *waiter) {
	wait, ok := r.bucket.Reserve(now, w.limit.Sub(now))
	if !ok {
		r.refuse(now, w, min(wait, maxRateWait))
		return
	}
	s.admitAfter(now, r, w, wait)
}

// admitAfter admits a request at once or when its token is free.
func (s *State) admitAfter(now time.Time, r *rateShare, w *waiter, wait time.Duration) {
	if wait <= 0 {
		r.admit(w)
		return
	}
	w.admitAt = now.Add(wait)
}

// Lend is the event that another VM asks for tokens of a customer's rate.
type Lend struct {
	Customer string
	LoanRequest
	Reply chan<- Loan
}

// Apply implements Event.
func (e Lend) Apply(s *State, now time.Time) {
	r := s.rates[e.Customer]
	if r == nil || r.bucket.Rate() <= 0 {
		e.Reply <- Loan{Wait: noShare}
		return
	}
	var loan Loan
	loan.Wait, loan.Granted = r.bucket.Reserve(now, e.MaxWait)
	if loan.Granted && loan.Wait == 0 {
		loan.Prefetched = r.bucket.Lend(now, e.Prefetch)
	}
	e.Reply <- loan
}
