// Package share divides the customers' rates and bursts among VMs without an owner.
// Each VM that holds a share of a customer's rate has a token bucket of its own, and a
// VM that runs out of tokens borrows from the others. Tokens are only moved, never
// created, so the requests admitted in any period stay within the rate and burst even
// if messages are lost.
package share

import (
	"math"
	"time"
)

const (
	// LoanLifetime is the time after which unused borrowed tokens expire. The lender's
	// bucket refills in the meantime, so tokens that did not expire could let both
	// buckets together exceed the burst.
	LoanLifetime = 500 * time.Millisecond
	// lenderReserve is the part of a bucket that a lender keeps for its own callers, in
	// seconds of its recent demand.
	lenderReserve = 250 * time.Millisecond
	// demandHalfLife is the half-life of the exponentially smoothed demand.
	demandHalfLife = 500 * time.Millisecond
	// epsilon is the tolerance for rounding errors in sums of tokens.
	epsilon = 1e-9
)

// Bucket is a token bucket for one VM's share of one customer's rate and burst. It is
// not safe for concurrent use.
type Bucket struct {
	rate, burst float64 // of this VM's share
	level       float64 // own tokens; negative while reserved tokens are still to be filled up
	loans       []loan  // borrowed tokens, in the order of their ends
	demand      float64 // smoothed demand in requests/s
	updated     time.Time
}

// loan is a number of borrowed tokens that expire at ends.
type loan struct {
	tokens float64
	ends   time.Time
}

// NewBucket returns an empty bucket for one of the given number of equal shares of a
// customer's rate (requests/s) and burst (requests). The bucket begins empty because an
// earlier process of this VM may just have spent its tokens.
func NewBucket(now time.Time, rate, burst float64, holders int) *Bucket {
	b := &Bucket{updated: now}
	b.SetPolicy(now, rate, burst, holders)
	return b
}

// SetPolicy changes the customer's rate and burst or the number of shares.
func (b *Bucket) SetPolicy(now time.Time, rate, burst float64, holders int) {
	b.advance(now)
	n := float64(max(1, holders))
	b.rate, b.burst = rate/n, burst/n
	b.level = min(b.level, b.capacity())
}

// capacity returns the maximum number of own tokens in the bucket. It is at least one,
// since requests take whole tokens; the rate still limits how often the bucket refills.
func (b *Bucket) capacity() float64 { return max(1, b.burst) }

// Rate returns the rate of this share in requests/s.
func (b *Bucket) Rate() float64 { return b.rate }

// Take takes one token for a request. It returns false if there is none.
func (b *Bucket) Take(now time.Time) bool {
	b.advance(now)
	if b.level+b.borrowed() < 1-epsilon {
		return false
	}
	missing := 1.0
	for i := range b.loans {
		used := min(missing, b.loans[i].tokens)
		b.loans[i].tokens -= used
		missing -= used
	}
	b.level -= missing
	return true
}

// Reserve takes one token that the bucket has at once or will have within maxWait, and
// returns the time until then. The requests that are admitted at these times stay within
// the share's rate and burst. If it returns false, no token was taken, and wait is the
// time after which one would be free.
func (b *Bucket) Reserve(now time.Time, maxWait time.Duration) (wait time.Duration, ok bool) {
	if b.Take(now) {
		return 0, true
	}
	if wait = b.NextToken(now).Sub(now); wait > maxWait {
		return wait, false
	}
	b.level--
	return wait, true
}

// ReturnToken returns a token that was taken but not used. A VM without a share of its
// own may have borrowed the token, so there it expires like a loan.
func (b *Bucket) ReturnToken(now time.Time) {
	b.advance(now)
	if b.rate <= 0 {
		b.AddLoan(now, 1)
		return
	}
	b.level = min(b.capacity(), b.level+1)
}

// RecordDemand adds a request to the demand, whether or not it gets a token.
func (b *Bucket) RecordDemand(now time.Time) {
	b.advance(now)
	b.demand += math.Ln2 / demandHalfLife.Seconds()
}

// Prefetch returns how many tokens to borrow in advance: those that the expected demand
// until a loan expires needs beyond the share's rate and the tokens at hand. A share of a
// small rate gets too few requests to expect another one, so it borrows none in advance.
func (b *Bucket) Prefetch(now time.Time) float64 {
	b.advance(now)
	expected := (b.demand - b.rate) * LoanLifetime.Seconds() / 2
	return max(0, math.Floor(expected-max(0, b.level)-b.borrowed()))
}

// Lend removes up to want whole tokens for another VM and returns their number.
func (b *Bucket) Lend(now time.Time, want float64) float64 {
	b.advance(now)
	available := b.level - b.demand*lenderReserve.Seconds()
	lent := math.Floor(min(want, max(0, available)) + epsilon)
	b.level -= lent
	return lent
}

// AddLoan adds tokens that another VM has lent.
func (b *Bucket) AddLoan(now time.Time, tokens float64) {
	b.advance(now)
	b.loans = append(b.loans, loan{tokens, now.Add(LoanLifetime)})
}

// NextToken returns when the share's own rate has filled the bucket up to one token.
func (b *Bucket) NextToken(now time.Time) time.Time {
	b.advance(now)
	shortfall := 1 - b.level - b.borrowed()
	if shortfall <= 0 {
		return now
	}
	if b.rate <= 0 {
		return now.Add(time.Hour)
	}
	return now.Add(time.Duration(shortfall / b.rate * float64(time.Second)))
}

func (b *Bucket) advance(now time.Time) {
	elapsed := now.Sub(b.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	b.level = min(b.capacity(), b.level+b.rate*elapsed)
	b.demand *= math.Exp2(-elapsed / demandHalfLife.Seconds())
	expired := 0
	for expired < len(b.loans) && !b.loans[expired].ends.After(now) {
		expired++
	}
	b.loans = append(b.loans[:0], b.loans[expired:]...)
	b.updated = now
}

// borrowed returns the number of borrowed tokens.
func (b *Bucket) borrowed() float64 {
	sum := 0.0
	for _, l := range b.loans {
		sum += l.tokens
	}
	return sum
}
