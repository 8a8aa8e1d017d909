// Package retry decides whether a failed call is sent again. Only the control loop
// uses it.
package retry

import (
	"time"

	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

const (
	// maxAttempts is the number of attempts per call, including the first one.
	maxAttempts = 3
	// retryRatio and minRetriesPerSecond bound the retries of one endpoint, so that
	// retries cannot multiply the load of a failing endpoint. Up to
	// minRetriesPerSecond are allowed regardless of the ratio to first attempts.
	retryRatio          = 0.1
	minRetriesPerSecond = 3
	windowSeconds       = 10 // one bucket per second
)

// bucket counts the first attempts and the retries of one second.
type bucket struct {
	second            int64
	requests, retries int
}

// Budget counts the requests and retries of one endpoint in the last 10 s and
// limits the retries. The zero value is an unused budget.
type Budget struct{ buckets [windowSeconds]bucket }

// bucketAt returns the bucket of the second of now, emptied if it holds an older
// second.
func (b *Budget) bucketAt(now time.Time) *bucket {
	second := now.Unix()
	k := &b.buckets[second%windowSeconds]
	if k.second != second {
		*k = bucket{second: second}
	}
	return k
}

// CountRequest counts the first attempt of a request.
func (b *Budget) CountRequest(now time.Time) { b.bucketAt(now).requests++ }

// takeRetry counts a retry if the budget allows it and reports whether it does.
func (b *Budget) takeRetry(now time.Time) bool {
	current := b.bucketAt(now)
	requests, retries := 0, 0
	for _, k := range b.buckets {
		if age := current.second - k.second; age >= 0 && age < windowSeconds {
			requests += k.requests
			retries += k.retries
		}
	}
	if float64(retries+1) > max(retryRatio*float64(requests), minRetriesPerSecond*windowSeconds) {
		return false
	}
	current.retries++
	return true
}

// Reason is the reason for a Decision.
type Reason string

// Reasons for a Decision: the call is sent again, it may have run, its attempts are
// used up, or the endpoint's retry budget is.
const (
	Safe         Reason = "safe"
	MayHaveRun   Reason = "may_have_run"
	AttemptsUsed Reason = "attempts_used"
	BudgetEmpty  Reason = "budget_empty"
)

// Decision is the result of Decide. A retry goes to another replica at once.
type Decision struct {
	Retry  bool
	Reason Reason
}

// Decide decides whether a call is sent again after its attempt (counted from 1)
// failed with the given run state. A non-idempotent call is sent again only if it
// has certainly not run: every run state except NotRun, including an unknown one,
// means that it may have run. A granted retry is counted in the budget.
func Decide(now time.Time, attempt int, run refusal.RunState, idempotent bool, b *Budget) Decision {
	switch {
	case run != refusal.NotRun && !idempotent:
		return Decision{Reason: MayHaveRun}
	case attempt >= maxAttempts:
		return Decision{Reason: AttemptsUsed}
	case !b.takeRetry(now):
		return Decision{Reason: BudgetEmpty}
	}
	return Decision{Retry: true, Reason: Safe}
}
