package limit

import (
	"math"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
)

// Taker admits one customer's requests at one VM, from tokens that the owner
// granted and from the VM's fallback bucket.
type Taker struct {
	VM          string // set by the caller before the first ask
	Incarnation uint64 // set by the caller before the first ask

	since        time.Time // time of the join or of the version that added the customer
	outside      bool      // see Policy.Outside
	keep         bool      // renew the registration even without demand
	registered   time.Time // when the last grant that registered this VM arrived
	acknowledge  bool      // an ask must acknowledge the registration before the owner counts it
	recalled     bool      // the owner has asked this VM to register
	policy       delayedShare
	fallback     float64   // level of the fallback bucket
	fallbackFrom time.Time // the fallback bucket is empty before this time
	updated      time.Time

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
	nextID  uint64
}

// waiter is a request that waits for tokens.
type waiter struct {
	id       uint64
	tokens   float64
	deadline time.Time
}

// NewTaker returns a taker without tokens, for a VM that joins or for a customer
// that a version adds. Its fallback bucket fills from fallbackFrom, which must be
// at least HoldBack after the join and after the end of an earlier taker of this
// VM for this customer.
func NewTaker(p Policy, now, fallbackFrom time.Time) *Taker {
	return &Taker{
		policy: delayedShare{now: p.fallback(), next: p.fallback(), seats: max(1, p.Seats)},
		since:  now, outside: p.Outside, fallbackFrom: fallbackFrom, updated: now, sequence: 1,
	}
}

// SetPolicy replaces the policy; a larger share per seat applies after
// PolicySpread. If there was no fallback share before, the new one applies
// Lifetime + Margin later still, when the tokens that the owner may have granted
// from it have expired.
func (t *Taker) SetPolicy(now time.Time, p Policy) {
	t.advance(now)
	t.outside = p.Outside
	next, delay := p.fallback(), PolicySpread
	if t.policy.now == (share{}) {
		delay += Lifetime + Margin
	}
	t.policy.set(now, next, p.Seats, delay)
	t.fallback = min(t.fallback, t.policy.now.burst)
}

// Recall makes the VM register, so that the owner can grant its share to VMs with
// demand.
func (t *Taker) Recall() {
	if t.policy.next.burst > 0 && !t.outside {
		t.recalled = true
	}
}

// Take admits a request of n tokens or returns when to try again. It refuses while
// other requests wait, so that requests are admitted in order.
func (t *Taker) Take(now time.Time, n float64) (ok bool, retryAfter time.Duration) {
	t.advance(now)
	t.demand += n
	if len(t.waiting) == 0 && t.spend(n) {
		return true, 0
	}
	return false, t.retryAfter(n)
}

// Wait queues a request that Take has refused, until the deadline and for at most
// MaxWait.
func (t *Taker) Wait(now time.Time, n float64, deadline time.Time) (id uint64) {
	if latest := now.Add(MaxWait); deadline.After(latest) {
		deadline = latest
	}
	t.nextID++
	t.waiting = append(t.waiting, waiter{t.nextID, n, deadline})
	return t.nextID
}

// Admit returns the waiting requests that now get their tokens, in order of
// arrival, and drops those whose deadline has passed.
func (t *Taker) Admit(now time.Time) []uint64 {
	t.advance(now)
	var ids []uint64
	for len(t.waiting) > 0 {
		w := t.waiting[0]
		if w.deadline.After(now) {
			if !t.spend(w.tokens) {
				break
			}
			ids = append(ids, w.id)
		}
		t.waiting = t.waiting[1:]
	}
	return ids
}

// Cancel removes a waiting request and reports whether it was still waiting.
func (t *Taker) Cancel(id uint64) bool {
	for i, w := range t.waiting {
		if w.id == id {
			t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// NextAsk returns the ask to send at now, if one is due. An unanswered ask is
// repeated unchanged, so that the owner applies it once.
func (t *Taker) NextAsk(now time.Time) (Ask, bool) {
	t.advance(now)
	if now.Before(t.askDue()) {
		return Ask{}, false
	}
	if !t.pending {
		t.compose(now)
	}
	t.recalled = false
	t.pending, t.askedAt = true, now
	return t.ask, true
}

// compose builds the next ask. It wants tokens for the demand of two intervals and
// for the waiting requests, and returns the tokens that the VM holds beyond that.
// With a small burst the demand is rounded down: one token for each VM that has
// any demand would tie up a burst of ten on ten VMs. With rare requests, each then
// waits for one ask.
func (t *Taker) compose(now time.Time) {
	if since := now.Sub(t.askedAt).Seconds(); !t.askedAt.IsZero() && since > 0 {
		t.average = (t.average + t.demand/since) / 2
	}
	want := t.average * (2 * AskInterval).Seconds()
	if t.policy.now.burst >= roundUpBurst && want > minWant {
		want = math.Ceil(want)
	} else {
		want = math.Floor(want)
	}
	inAdvance := want // tokens for requests that have not arrived yet
	for _, w := range t.waiting {
		want += w.tokens
	}
	returned := max(0, t.held-want)
	t.held -= returned
	t.ask = Ask{
		VM: t.VM, Incarnation: t.Incarnation, Sequence: t.sequence, Epoch: t.epoch,
		Held: t.held, Returned: returned, Want: max(0, want-t.held),
		Settled: !t.outside && !now.Before(t.since.Add(JoinDelay)), Brief: inAdvance == 0,
	}
	t.demand, t.acknowledge = 0, false
}

// Granted applies the grant for the ask that was sent at askedAt. It ignores
// grants for other asks and of earlier epochs.
func (t *Taker) Granted(now, askedAt time.Time, g Grant) {
	t.advance(now)
	if !t.pending || g.Sequence != t.sequence || g.Epoch < t.epoch {
		return
	}
	if g.Epoch > t.epoch {
		t.earlier, t.earlierExpires = t.held, t.expires
		t.held, t.expires = 0, time.Time{}
		t.epoch = g.Epoch
	}
	t.pending = false
	t.sequence++
	if until := askedAt.Add(g.Lifetime); g.Lifetime > 0 && until.After(now) {
		if t.held <= 0 {
			t.expires = time.Time{} // spent tokens do not extend the lifetime of new ones
		}
		t.held += max(0, g.Tokens)
		t.expires = clock.Later(t.expires, until)
	}
	t.counted = t.held
	if t.expires.Sub(askedAt) <= BriefLifetime {
		t.counted = 0
	}
	t.keep = g.Keep
	if g.Registered {
		t.acknowledge = !t.isRegistered()
		t.fallback, t.fallbackFrom, t.registered = 0, now.Add(HoldBack), now
	}
}

// NextDeadline returns the earliest time at which NextAsk or Admit has something
// to do.
func (t *Taker) NextDeadline() time.Time {
	next := t.askDue()
	if len(t.waiting) == 0 {
		return next
	}
	w := t.waiting[0]
	if w.deadline.Before(next) {
		next = w.deadline
	}
	if at := t.updated.Add(t.retryAfter(w.tokens)); at.Before(next) {
		next = at
	}
	return next
}

// askDue returns when the next ask is due, an hour ahead if none is needed.
func (t *Taker) askDue() time.Time {
	demand := len(t.waiting) > 0 || t.demandNeedsAsk()
	switch {
	case t.pending && (demand || t.counted > epsilon || t.acknowledge || t.isRegistered()):
		return t.askedAt.Add(RetryInterval)
	case demand || t.recalled || t.acknowledge:
		return clock.Later(t.updated, t.askedAt.Add(AskInterval))
	case t.counted > epsilon || t.keep && t.isRegistered():
		return clock.Later(t.updated, t.askedAt.Add(IdleInterval))
	}
	return t.updated.Add(time.Hour)
}

// demandNeedsAsk reports whether the owner must learn of the demand since the last
// ask. An unregistered VM whose fallback bucket meets its demand does not ask, and
// neither does a VM without a fallback bucket that would hold no token in advance.
func (t *Taker) demandNeedsAsk() bool {
	switch {
	case t.demand == 0:
		return false
	case t.isRegistered() || t.counted > epsilon:
		return true
	case t.policy.now.burst > 0:
		return t.fallback < t.policy.now.burst/2
	}
	return t.average*(2*AskInterval).Seconds() >= 1
}

// isRegistered reports whether the last registration is younger than
// RegistrationTTL.
func (t *Taker) isRegistered() bool {
	return !t.registered.IsZero() && t.updated.Sub(t.registered) < RegistrationTTL
}

// retryAfter returns the time until the fallback bucket has n tokens, or
// AskInterval, whichever is shorter.
func (t *Taker) retryAfter(n float64) time.Duration {
	rate := t.policy.now.rate
	missing := n - t.fallback
	if rate <= 0 || missing > t.policy.now.burst || missing/rate >= AskInterval.Seconds() || t.updated.Before(t.fallbackFrom) {
		return AskInterval
	}
	return max(time.Millisecond, time.Duration(missing/rate*float64(time.Second)))
}

// advance fills the fallback bucket up to now and drops expired tokens.
func (t *Taker) advance(now time.Time) {
	if !now.After(t.updated) {
		return
	}
	from := clock.Later(t.updated, t.fallbackFrom)
	if t.policy.due(now) {
		t.fallback = fill(t.fallback, t.policy.now.rate, t.policy.now.burst, from, t.policy.at)
		from = clock.Later(from, t.policy.at)
		t.policy.apply()
	}
	t.fallback = fill(t.fallback, t.policy.now.rate, t.policy.now.burst, from, now)
	t.updated = now
	if !t.expires.After(now) {
		t.held, t.counted = 0, 0
	}
	if !t.earlierExpires.After(now) {
		t.earlier = 0
	}
}

// spend takes n tokens, first those that expire soonest, or none if there are
// fewer.
func (t *Taker) spend(n float64) bool {
	if t.earlier+t.held+t.fallback+epsilon < n {
		return false
	}
	a := min(n, t.earlier)
	t.earlier -= a
	s := min(n-a, t.held)
	t.held -= s
	t.fallback = max(0, t.fallback-(n-a-s))
	return true
}
