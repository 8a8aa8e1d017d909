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
	level       float64 // own tokens
	loan        float64 // borrowed tokens; they expire at loanEnds
	loanEnds    time.Time
	demand      float64 // smoothed demand in requests/s
	updated     time.Time
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
	switch {
	case b.loan >= 1-epsilon:
		b.loan = max(0, b.loan-1)
	case b.level+b.loan >= 1-epsilon:
		b.level, b.loan = max(0, b.level-(1-b.loan)), 0
	default:
		return false
	}
	return true
}

// ReturnToken returns a token that was taken but not used.
func (b *Bucket) ReturnToken(now time.Time) {
	b.advance(now)
	b.level = min(b.capacity(), b.level+1)
}

// RecordDemand adds a request to the demand, whether or not it gets a token.
func (b *Bucket) RecordDemand(now time.Time) {
	b.advance(now)
	b.demand += math.Ln2 / demandHalfLife.Seconds()
}

// Shortfall returns how many tokens to borrow: one for each of the waiting requests, and
// those for the expected demand until a loan expires.
func (b *Bucket) Shortfall(now time.Time, waiting int) float64 {
	b.advance(now)
	expectedDemand := max(0, b.demand-b.rate) * LoanLifetime.Seconds() / 2
	return math.Ceil(max(0, float64(waiting)+expectedDemand-b.level-b.loan))
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
	b.loan += tokens
	b.loanEnds = now.Add(LoanLifetime)
}

// NextToken returns when the share's own rate has filled the bucket up to one token.
func (b *Bucket) NextToken(now time.Time) time.Time {
	b.advance(now)
	shortfall := 1 - b.level - b.loan
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
	if !b.loanEnds.After(now) {
		b.loan = 0
	}
	b.updated = now
}
