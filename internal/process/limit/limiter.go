package limit

import (
	"math"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
)

// Limiter admits one customer's requests at one VM, from tokens that the owner
// granted and from the VM's fallback bucket.
type Limiter struct {
	VM          string // set by the caller before the first ask
	Incarnation uint64 // set by the caller before the first ask

	since        time.Time // time of the join or of the version that added the customer
	seatRemoved  bool      // see Policy.SeatRemoved
	keep         bool      // renew the registration even without demand
	registered   time.Time // when the last grant that registered this VM arrived
	acknowledge  bool      // an ask must acknowledge the registration before the owner counts it
	recalled     bool      // the owner has asked this VM to register
	policy       delayedShare
	fallback     float64   // level of the fallback bucket
	fallbackFrom time.Time // the fallback bucket is empty before this time
	updated      time.Time // time up to which advance has been applied

	epoch           uint64
	sequence        uint64    // of the pending ask, or of the next one
	held            float64   // granted tokens of the current epoch
	counted         float64   // tokens that the owner counts as outstanding until a report
	expires         time.Time // of held and counted
	earlier         float64   // tokens of an earlier epoch
	earlierExpires  time.Time
	ask             Ask  // the last ask
	pending         bool // the last ask has no grant yet
	askedAt         time.Time
	demand, average float64 // requests since the last ask; their average per second

	waiting []waiter
	lastID  uint64 // of the last waiter
}

// waiter is a request that waits for tokens.
type waiter struct {
	id       uint64
	tokens   float64
	deadline time.Time
}

// NewLimiter returns a limiter without tokens, for a VM that joins or for a
// customer that a version adds. Its fallback bucket fills from fallbackFrom,
// which must be at least FallbackDelay after the join and after the end of an
// earlier limiter of this VM for this customer.
func NewLimiter(p Policy, now, fallbackFrom time.Time) *Limiter {
	return &Limiter{
		policy: delayedShare{now: p.fallback(), next: p.fallback(), seats: max(1, p.Seats)},
		since:  now, seatRemoved: p.SeatRemoved, fallbackFrom: fallbackFrom, updated: now, sequence: 1,
	}
}

// SetPolicy replaces the policy; a larger share per seat applies after
// PropagationDelay. If there was no fallback share before, the new one applies
// GrantLifetime + ClockMargin later still, when the tokens that the owner may
// have granted from it have expired.
func (l *Limiter) SetPolicy(now time.Time, p Policy) {
	l.advance(now)
	l.seatRemoved = p.SeatRemoved
	next, delay := p.fallback(), PropagationDelay
	if l.policy.now == (share{}) {
		delay += GrantLifetime + ClockMargin
	}
	l.policy.set(now, next, p.Seats, delay)
	l.fallback = min(l.fallback, l.policy.now.burst)
}

// Recall makes the VM register, so that the owner can grant its share to VMs with
// demand.
func (l *Limiter) Recall() {
	if l.policy.next.burst > 0 && !l.seatRemoved {
		l.recalled = true
	}
}

// Take admits a request of n tokens or returns when to try again. It refuses while
// other requests wait, so that requests are admitted in order.
func (l *Limiter) Take(now time.Time, n float64) (ok bool, retryAfter time.Duration) {
	l.advance(now)
	l.demand += n
	if len(l.waiting) == 0 && l.spend(n) {
		return true, 0
	}
	return false, l.retryAfter(n)
}

// Wait queues a request that Take has refused, until the deadline and for at most
// MaxWait.
func (l *Limiter) Wait(now time.Time, n float64, deadline time.Time) (id uint64) {
	if latest := now.Add(MaxWait); deadline.After(latest) {
		deadline = latest
	}
	l.lastID++
	l.waiting = append(l.waiting, waiter{l.lastID, n, deadline})
	return l.lastID
}

// Admit returns the waiting requests that now get their tokens, in order of
// arrival, and drops those whose deadline has passed.
func (l *Limiter) Admit(now time.Time) []uint64 {
	l.advance(now)
	var ids []uint64
	for len(l.waiting) > 0 {
		w := l.waiting[0]
		if w.deadline.After(now) {
			if !l.spend(w.tokens) {
				break
			}
			ids = append(ids, w.id)
		}
		l.waiting = l.waiting[1:]
	}
	return ids
}

// Cancel removes a waiting request and reports whether it was still waiting.
func (l *Limiter) Cancel(id uint64) bool {
	for i, w := range l.waiting {
		if w.id == id {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// NextAsk returns the ask to send at now, if one is due. An unanswered ask is
// repeated unchanged, so that the owner applies it once.
func (l *Limiter) NextAsk(now time.Time) (Ask, bool) {
	l.advance(now)
	if now.Before(l.askDue()) {
		return Ask{}, false
	}
	if !l.pending {
		l.compose(now)
	}
	l.recalled = false
	l.pending, l.askedAt = true, now
	return l.ask, true
}

// compose builds the next ask. It wants tokens for the demand of two intervals and
// for the waiting requests, and returns the tokens that the VM holds beyond that.
// With a small burst the demand is rounded down: one token for each VM that has
// any demand would tie up a burst of ten on ten VMs. With rare requests, each then
// waits for one ask.
func (l *Limiter) compose(now time.Time) {
	if since := now.Sub(l.askedAt).Seconds(); !l.askedAt.IsZero() && since > 0 {
		l.average = (l.average + l.demand/since) / 2
	}
	want := l.average * (2 * AskInterval).Seconds()
	if l.policy.now.burst >= roundUpBurst && want > minWant {
		want = math.Ceil(want)
	} else {
		want = math.Floor(want)
	}
	inAdvance := want // tokens for requests that have not arrived yet
	for _, w := range l.waiting {
		want += w.tokens
	}
	returned := max(0, l.held-want)
	l.held -= returned
	l.ask = Ask{
		VM: l.VM, Incarnation: l.Incarnation, Sequence: l.sequence, Epoch: l.epoch,
		Held: l.held, Returned: returned, Want: max(0, want-l.held),
		Settled: !l.seatRemoved && !now.Before(l.since.Add(JoinDelay)), Brief: inAdvance == 0,
	}
	l.demand, l.acknowledge = 0, false
}

// Granted applies the grant for the ask that was sent at askedAt. It ignores
// grants for other asks and of earlier epochs.
func (l *Limiter) Granted(now, askedAt time.Time, g Grant) {
	l.advance(now)
	if !l.pending || g.Sequence != l.sequence || g.Epoch < l.epoch {
		return
	}
	if g.Epoch > l.epoch {
		l.earlier, l.earlierExpires = l.held, l.expires
		l.held, l.expires = 0, time.Time{}
		l.epoch = g.Epoch
	}
	l.pending = false
	l.sequence++
	if until := askedAt.Add(g.Lifetime); g.Lifetime > 0 && until.After(now) {
		if l.held <= 0 {
			l.expires = time.Time{} // spent tokens do not extend the lifetime of new ones
		}
		l.held += max(0, g.Tokens)
		l.expires = clock.Later(l.expires, until)
	}
	l.counted = l.held
	if l.expires.Sub(askedAt) <= BriefGrantLifetime {
		l.counted = 0
	}
	l.keep = g.Keep
	if g.Registered {
		l.acknowledge = !l.isRegistered()
		l.fallback, l.fallbackFrom, l.registered = 0, now.Add(FallbackDelay), now
	}
}

// NextDeadline returns the earliest time at which NextAsk or Admit has something
// to do.
func (l *Limiter) NextDeadline() time.Time {
	next := l.askDue()
	if len(l.waiting) == 0 {
		return next
	}
	w := l.waiting[0]
	if w.deadline.Before(next) {
		next = w.deadline
	}
	if at := l.updated.Add(l.retryAfter(w.tokens)); at.Before(next) {
		next = at
	}
	return next
}

// askDue returns when the next ask is due, an hour ahead if none is needed.
func (l *Limiter) askDue() time.Time {
	demand := len(l.waiting) > 0 || l.demandNeedsAsk()
	switch {
	case l.pending && (demand || l.counted > epsilon || l.acknowledge || l.isRegistered()):
		return l.askedAt.Add(RetryInterval)
	case demand || l.recalled || l.acknowledge:
		return clock.Later(l.updated, l.askedAt.Add(AskInterval))
	case l.counted > epsilon || l.keep && l.isRegistered():
		return clock.Later(l.updated, l.askedAt.Add(IdleInterval))
	}
	return l.updated.Add(time.Hour)
}

// demandNeedsAsk reports whether the owner must learn of the demand since the last
// ask. An unregistered VM whose fallback bucket meets its demand does not ask, and
// neither does a VM without a fallback bucket that would hold no token in advance.
func (l *Limiter) demandNeedsAsk() bool {
	switch {
	case l.demand == 0:
		return false
	case l.isRegistered() || l.counted > epsilon:
		return true
	case l.policy.now.burst > 0:
		return l.fallback < l.policy.now.burst/2
	}
	return l.average*(2*AskInterval).Seconds() >= 1
}

// isRegistered reports whether the last registration is younger than
// RegistrationTTL.
func (l *Limiter) isRegistered() bool {
	return !l.registered.IsZero() && l.updated.Sub(l.registered) < RegistrationTTL
}

// retryAfter returns the time until the fallback bucket has n tokens, or
// AskInterval, whichever is shorter.
func (l *Limiter) retryAfter(n float64) time.Duration {
	rate := l.policy.now.rate
	missing := n - l.fallback
	if rate <= 0 || missing > l.policy.now.burst || missing/rate >= AskInterval.Seconds() || l.updated.Before(l.fallbackFrom) {
		return AskInterval
	}
	return max(time.Millisecond, time.Duration(missing/rate*float64(time.Second)))
}

// advance fills the fallback bucket up to now and drops expired tokens.
func (l *Limiter) advance(now time.Time) {
	if !now.After(l.updated) {
		return
	}
	from := clock.Later(l.updated, l.fallbackFrom)
	if l.policy.due(now) {
		l.fallback = fill(l.fallback, l.policy.now.rate, l.policy.now.burst, from, l.policy.at)
		from = clock.Later(from, l.policy.at)
		l.policy.apply()
	}
	l.fallback = fill(l.fallback, l.policy.now.rate, l.policy.now.burst, from, now)
	l.updated = now
	if !l.expires.After(now) {
		l.held, l.counted = 0, 0
	}
	if !l.earlierExpires.After(now) {
		l.earlier = 0
	}
}

// spend takes n tokens, first those that expire soonest, or none if there are
// fewer.
func (l *Limiter) spend(n float64) bool {
	if l.earlier+l.held+l.fallback+epsilon < n {
		return false
	}
	a := min(n, l.earlier)
	l.earlier -= a
	s := min(n-a, l.held)
	l.held -= s
	l.fallback = max(0, l.fallback-(n-a-s))
	return true
}
