package member

import "time"

// Freshness bounds how long a VM admits requests under a configuration that it
// could not confirm. Without this bound, a VM that is cut off would go on accepting
// withdrawn keys.
type Freshness struct {
	bound       time.Duration
	confirmedAt time.Time
}

// NewFreshness returns a Freshness without a confirmation, which is not fresh.
func NewFreshness(bound time.Duration) *Freshness { return &Freshness{bound: bound} }

// Confirmed records that the version in force was the newest one at the given time,
// which must be taken before the confirming request is sent.
func (f *Freshness) Confirmed(at time.Time) {
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// FreshUntil returns when the VM must stop admitting requests, and the zero time
// before the first confirmation.
func (f *Freshness) FreshUntil() time.Time {
	if f.confirmedAt.IsZero() {
		return time.Time{}
	}
	return f.confirmedAt.Add(f.bound)
}

// Age returns the time since the last confirmation of the configuration.
func (f *Freshness) Age(now time.Time) time.Duration { return now.Sub(f.confirmedAt) }
