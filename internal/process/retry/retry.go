// Package retry decides whether a failed call is sent again. It is used by the
// control loop only.
package retry

import (
	"time"

	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

const (
	// maxAttempts includes the first one.
	maxAttempts = 3
	// ratio and minPerSecond bound the retries of one endpoint, so that retries
	// of a failing endpoint cannot multiply its load.
	ratio        = 0.1
	minPerSecond = 3
	window       = 10 // buckets of one second
)

type bucket struct {
	second            int64
	requests, retries int
}

// Budget counts the requests and retries of one endpoint over the last 10 s.
// The zero value is an unused budget.
type Budget struct{ buckets [window]bucket }

func (b *Budget) at(now time.Time) *bucket {
	second := now.Unix()
	k := &b.buckets[second%window]
	if k.second != second {
		*k = bucket{second: second}
	}
	return k
}

// Request counts a first attempt.
func (b *Budget) Request(now time.Time) { b.at(now).requests++ }

// take counts a retry if the budget allows it.
func (b *Budget) take(now time.Time) bool {
	current := b.at(now)
	requests, retries := 0, 0
	for _, k := range b.buckets {
		if age := current.second - k.second; age >= 0 && age < window {
			requests += k.requests
			retries += k.retries
		}
	}
	if float64(retries+1) > max(ratio*float64(requests), minPerSecond*window) {
		return false
	}
	current.retries++
	return true
}

// Reason says why a decision was taken.
type Reason string

// The reasons.
const (
	Safe        Reason = "safe"
	MayHaveRun  Reason = "may_have_run"
	Attempts    Reason = "attempts_used"
	BudgetEmpty Reason = "budget_empty"
)

// Decision is the outcome of Decide. A retry goes to another replica at once.
type Decision struct {
	Retry  bool
	Reason Reason
}

// Decide decides on a call whose attempt (counted from 1) failed with the given
// run state. A non-idempotent call is sent again only if it has certainly not
// run; any run state but NotRun, also an unknown one, counts as may have run.
// A granted retry is counted in the budget.
func Decide(now time.Time, attempt int, run refusal.RunState, idempotent bool, b *Budget) Decision {
	switch {
	case run != refusal.NotRun && !idempotent:
		return Decision{Reason: MayHaveRun}
	case attempt >= maxAttempts:
		return Decision{Reason: Attempts}
	case !b.take(now):
		return Decision{Reason: BudgetEmpty}
	}
	return Decision{Retry: true, Reason: Safe}
}
