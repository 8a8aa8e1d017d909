package fleet

import (
	"context"
	"math"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/share"
)

const (
	// borrowTimeout bounds one call to another VM. A round trip takes 3 ms.
	borrowTimeout = 100 * time.Millisecond
	// maxLenders bounds the VMs with a share that are asked for one request. If none of
	// them has a token, the one that has the next one reserves it.
	maxLenders = 3
	// maxFormerHolders bounds the further VMs that are asked while holders cannot use their
	// shares yet. Some of them still use the shares that they give up.
	maxFormerHolders = 6
	// shareRetryDelay is the wait that a VM states if it does not know when it will have a
	// usable share. By then the VMs have read the same members.
	shareRetryDelay = memberPollInterval
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
	// NoShare is set if the lender has no share that it may use now. Other VMs may have
	// tokens before Wait has passed.
	NoShare bool
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
	enough := min(len(lenders), maxLenders)
	lenders = append(rotate(lenders, r.firstLender), s.members.reachable(now, r.formerHolders)...)
	own, prefetch := ownWait(now, r), r.bucket.Prefetch(now)
	return func(ctx context.Context) loanEnded {
		return loanEnded{customer: customer, w: w, asked: now, loanResult: s.findLoan(ctx, lenders, enough, customer, w.maxWait, prefetch, own)}
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

// noToken is the wait for a token where none was offered.
const noToken = time.Duration(math.MaxInt64)

// ownWait returns how long this VM's own share needs to have a token.
func ownWait(now time.Time, r *rateShare) time.Duration {
	if r.bucket.Rate() <= 0 {
		return noToken
	}
	return r.bucket.NextToken(now).Sub(now)
}

// shareWait returns the time after which this VM may use its share of a customer's rate,
// which it may not use now.
func (s *State) shareWait(now time.Time, r *rateShare) time.Duration {
	if r == nil || !r.holds {
		return shareRetryDelay
	}
	if from := clock.Later(r.usableFrom, s.members.usableFrom); from.After(now) {
		return from.Sub(now)
	}
	return shareRetryDelay
}

// loanResult says where a request may get its token. If no VM that was asked has a usable
// share, NoShare is set and Wait is the shortest time until one has.
type loanResult struct {
	Loan
	own      bool // the own share has the next token
	failed   []Member
	complete bool // all holders that were asked have answered
}

// findLoan asks the lenders one after another until enough of them, not counting those
// without a usable share, have answered or failed. It runs on a goroutine of its own.
func (s *State) findLoan(ctx context.Context, lenders []Member, enough int, customer string, maxWait time.Duration, prefetch float64, own time.Duration) loanResult {
	result := loanResult{complete: true}
	best, bestWait, shareWait := -1, own, noToken
	for i, asked := 0, 0; i < len(lenders) && asked < enough; i++ {
		to, request := lenders[i], LoanRequest{Prefetch: prefetch}
		if enough == 1 && own == noToken {
			request.MaxWait = maxWait
		}
		loan, err := s.borrowFrom(ctx, to, customer, request)
		result.Prefetched += loan.Prefetched
		switch {
		case err != nil:
			result.failed, result.complete = append(result.failed, to), false
			asked++
		case loan.NoShare:
			shareWait = min(shareWait, loan.Wait)
		case loan.Granted:
			result.Granted, result.Wait = true, loan.Wait
			return result
		default:
			asked++
			if loan.Wait < bestWait {
				best, bestWait = i, loan.Wait
			}
		}
	}
	result.Wait = bestWait
	switch {
	case bestWait == noToken:
		result.NoShare, result.Wait = true, min(shareWait, shareRetryDelay)
	case bestWait > maxWait:
		result.Wait = min(bestWait, shareWait)
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
	case e.NoShare:
		r.refuse(now, w, min(e.Wait, s.shareWait(now, r)))
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
	r := s.currentShare(now, e.Customer)
	if r == nil || r.bucket.Rate() <= 0 {
		e.Reply <- Loan{NoShare: true, Wait: s.shareWait(now, r)}
		return
	}
	var loan Loan
	loan.Wait, loan.Granted = r.bucket.Reserve(now, e.MaxWait)
	if loan.Granted && loan.Wait == 0 {
		loan.Prefetched = r.bucket.Lend(now, e.Prefetch)
	}
	e.Reply <- loan
}
