// Package share divides the customers' rates and bursts among VMs without an owner.
// Each VM has a fixed seat with an equal part of every customer's bucket, and a VM
// that runs out borrows tokens from the others. Tokens are only ever moved, so the
// requests admitted in any window stay within the rate and burst, whatever
// messages are lost.
package share

import (
	"math"
	"time"
)

const (
	// LoanLifetime is how long borrowed tokens last. Unused ones expire, as the
	// lender's bucket fills meanwhile and both together could exceed the burst.
	LoanLifetime = 500 * time.Millisecond
	// reserve is the part of a bucket, in seconds of its recent demand, that a
	// lender keeps for its own callers.
	reserve = 250 * time.Millisecond
	// demandHalfLife smooths the demand.
	demandHalfLife = 500 * time.Millisecond
	// epsilon covers the rounding of sums of tokens.
	epsilon = 1e-9
)

// Bucket is one VM's part of one customer's rate and burst. It is not safe for
// concurrent use.
type Bucket struct {
	rate, burst float64 // of this seat
	level       float64
	loan        float64
	loanEnds    time.Time
	demand      float64 // requests/s, smoothed
	updated     time.Time
}

// NewBucket returns an empty bucket of a seat that has 1/seats of the customer's
// rate (requests/s) and burst (requests). It begins empty because the seat's former
// process may just have spent its tokens.
func NewBucket(now time.Time, rate, burst float64, seats int) *Bucket {
	b := &Bucket{updated: now}
	b.SetPolicy(now, rate, burst, seats)
	return b
}

// SetPolicy changes the customer's rate and burst or the number of seats.
func (b *Bucket) SetPolicy(now time.Time, rate, burst float64, seats int) {
	b.advance(now)
	n := float64(max(1, seats))
	b.rate, b.burst = rate/n, burst/n
	b.level = min(b.level, b.cap())
}

// cap is the most that the bucket holds. At least one token, since requests are
// whole; the rate bounds how often it fills.
func (b *Bucket) cap() float64 { return max(1, b.burst) }

// Rate returns the rate of this seat in requests/s.
func (b *Bucket) Rate() float64 { return b.rate }

// Take takes a token for a request.
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

// GiveBack returns a token that was taken and not used.
func (b *Bucket) GiveBack(now time.Time) {
	b.advance(now)
	b.level = min(b.cap(), b.level+1)
}

// Asked counts a request in the demand, whether or not it gets a token.
func (b *Bucket) Asked(now time.Time) {
	b.advance(now)
	b.demand += math.Ln2 / demandHalfLife.Seconds()
}

// Missing returns how many tokens to borrow for a number of waiting requests: theirs
// and those of the demand until a loan expires.
func (b *Bucket) Missing(now time.Time, waiting int) float64 {
	b.advance(now)
	ahead := max(0, b.demand-b.rate) * LoanLifetime.Seconds() / 2
	return math.Ceil(max(0, float64(waiting)+ahead-b.level-b.loan))
}

// Lend gives up to want whole tokens to another VM.
func (b *Bucket) Lend(now time.Time, want float64) float64 {
	b.advance(now)
	spare := b.level - b.demand*reserve.Seconds()
	lent := math.Floor(min(want, max(0, spare)) + epsilon)
	b.level -= lent
	return lent
}

// Borrowed adds tokens that another VM has lent.
func (b *Bucket) Borrowed(now time.Time, tokens float64) {
	b.advance(now)
	b.loan += tokens
	b.loanEnds = now.Add(LoanLifetime)
}

// NextToken returns when the bucket has a token by its own rate.
func (b *Bucket) NextToken(now time.Time) time.Time {
	b.advance(now)
	missing := 1 - b.level - b.loan
	if missing <= 0 {
		return now
	}
	if b.rate <= 0 {
		return now.Add(time.Hour)
	}
	return now.Add(time.Duration(missing / b.rate * float64(time.Second)))
}

func (b *Bucket) advance(now time.Time) {
	elapsed := now.Sub(b.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	b.level = min(b.cap(), b.level+b.rate*elapsed)
	b.demand *= math.Exp2(-elapsed / demandHalfLife.Seconds())
	if !b.loanEnds.After(now) {
		b.loan = 0
	}
	b.updated = now
}
