package member

import "time"

// marginDivisor sets the safety margin to a fifth of the TTL: a holder stops at
// TTL - 20%, an observer waits for TTL + 20%. The margin covers different clock
// rates and the time between a check of the lease and the action it allows.
const marginDivisor = 5

// Lease is the holder's view of its own lease.
type Lease struct {
	ttl        time.Duration
	validUntil time.Time
}

// NewLease returns a lease that is not yet valid.
func NewLease(ttl time.Duration) *Lease { return &Lease{ttl: ttl} }

// Renewed records a renewal that was sent at sentAt and has certainly taken effect.
// The lease is counted from before the request was sent, which is safe because an
// observer counts from the time when it read the row, which is later.
func (l *Lease) Renewed(sentAt time.Time) {
	until := sentAt.Add(l.ttl - l.ttl/marginDivisor)
	if until.After(l.validUntil) {
		l.validUntil = until
	}
}

// ValidUntil returns when the holder must stop acting as an owner.
func (l *Lease) ValidUntil() time.Time { return l.validUntil }

// Valid reports whether the holder may act as an owner.
func (l *Lease) Valid(now time.Time) bool { return BeforeOnBothClocks(now, l.validUntil) }

// BeforeOnBothClocks reports whether now is before until on both the monotonic clock
// and the wall clock. The monotonic clock of a VM may stop while the VM is suspended,
// whereas the wall clock is corrected afterwards. If the wall clock jumps ahead for
// another reason, the time limit counts as passed until its next renewal.
func BeforeOnBothClocks(now, until time.Time) bool {
	return remainsOnBoth(until.Sub(now), until.Round(0).Sub(now.Round(0)))
}

// remainsOnBoth reports whether time is left on both clocks.
func remainsOnBoth(monotonic, wall time.Duration) bool { return monotonic > 0 && wall > 0 }

// RenewInterval returns the maximum time between two renewals.
func (l *Lease) RenewInterval() time.Duration { return l.ttl / 3 }

// Observer tracks the lease rows of other members to detect expired leases.
type Observer struct {
	wait time.Duration // how long an unchanged row shows an expired lease
	seen map[string]observation
}

// observation is the revision of a lease row and when it was first read.
type observation struct {
	revision uint64
	since    time.Time
}

// NewObserver returns an observer of leases with the given TTL.
func NewObserver(ttl time.Duration) *Observer {
	return &Observer{wait: ttl + ttl/marginDivisor, seen: map[string]observation{}}
}

// Observe records the revision of the member's lease row. now is when the answer to
// the read arrived.
func (o *Observer) Observe(now time.Time, member string, revision uint64) {
	if s, ok := o.seen[member]; ok && s.revision == revision {
		return
	}
	o.seen[member] = observation{revision: revision, since: now}
}

// Expired reports whether the lease row has been unchanged for the TTL and the
// margin up to readAt, the time when the last read was sent.
func (o *Observer) Expired(readAt time.Time, member string) bool {
	s, ok := o.seen[member]
	return ok && readAt.Sub(s.since) >= o.wait
}

// Revision returns the last observed revision of the member's lease row.
func (o *Observer) Revision(member string) uint64 { return o.seen[member].revision }

// Forget removes a member that has left.
func (o *Observer) Forget(member string) { delete(o.seen, member) }
