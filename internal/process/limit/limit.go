// Package limit keeps each customer within its rate and burst across all VMs.
// It is a pure state machine: time is an argument, and only the control loop
// calls it.
//
// # Invariant
//
// Let P be the number of tokens that all VMs together could spend without
// further accrual: fallback levels, the owner's level and the granted tokens. P
// never exceeds Burst and accrues at no more than Rate, so the requests
// admitted in a window number at most Burst + Rate*window. A fleet has at most
// Seats live VMs. Each contributes Rate/Seats and Burst/Seats either to its own
// fallback bucket or to the owner's bucket, never to both.
//
// # Contributions
//
// The owner offers a registration in a grant. The limiter gives up its fallback
// bucket when it receives the offer. The owner counts the VM only when the next
// sequence number arrives with the owner's own epoch, since a limiter advances
// its sequence only when it accepts a grant. The owner counts the VM until
// RegistrationTTL after it issued the acknowledged grant, however late the
// acknowledgement arrives. The limiter restarts its fallback bucket, empty, no
// earlier than RegistrationTTL + GrantLifetime + ClockMargin after it received
// the grant. It follows that:
//   - an owner stops counting a VM before the VM restarts its fallback bucket,
//     and the tokens granted from that contribution have expired by then;
//   - a limiter that assumes a registration that the owner no longer counts
//     gets fewer tokens than it is entitled to, which is safe.
//
// A limiter exists from the VM's join. Its fallback bucket stays empty for
// FallbackDelay, the same time, because the owner may still count the previous
// incarnation, the previous holder of the seat or the vacant seat. For the same
// reason its asks are not Settled, and the owner offers no registration, for
// JoinDelay. It may receive tokens before that. If a version removes a customer
// and a later one adds it again, an owner that has not seen the removal may
// still count the VM. FallbackDelay therefore counts from the removal as well,
// and the fallback bucket of an added customer starts no earlier than
// PropagationDelay after the version.
//
// A registration costs messages. A VM whose fallback bucket meets its demand
// does not register. A registered VM without demand renews only while
// Grant.Keep says that the customer has demand elsewhere. An owner that is
// short of tokens while some seats do not contribute recalls their shares: the
// VMs that it does not count register, including those without demand.
//
// # Vacant seats
//
// The owner adds the contributions of seats that nobody holds. Vacancies takes
// the smallest number of vacant seats in all reads of the last FallbackDelay,
// and it is valid for RegistrationTTL after the last read was sent. A VM that
// is counted at t held its seat without a gap from JoinDelay before its offer
// until RegistrationTTL before t. Reads are at most RegistrationTTL apart, so
// one of them falls into that time and after t - FallbackDelay, and the
// smallest number does not include the seat. A VM that takes a seat starts its
// fallback bucket FallbackDelay later, when the tokens granted for the vacant
// seat have expired.
//
// # Pooled customers
//
// A fallback bucket that holds less than one request cannot admit any. If Burst
// is less than Seats, no VM has a fallback bucket and the owner counts every
// seat, without registrations.
//
// # Granted tokens
//
// A limiter's tokens are one pool that expires as a whole. Each grant renews
// it. The limiter counts the lifetime from before it asked. The owner counts it
// from when it granted and adds ClockMargin. The owner counts every granted
// token as outstanding until a report shows a smaller pool or the pool has
// expired, so a lost grant costs its tokens for at most GrantLifetime +
// ClockMargin. A report states the level of the pool, not a difference: the
// pool cannot grow before the next grant, so a late report is still an upper
// bound. A report on a pool that the owner has expired changes nothing. A grant
// that arrives after its lifetime adds nothing. An ask that is repeated with
// the same sequence number has no second effect: it gets the recorded grant
// with the remaining lifetime. Older sequence numbers and incarnations get
// nothing.
//
// # Change of owner
//
// An owner must not be called once its lease is invalid. A new owner has a
// higher epoch and an empty bucket that accrues nothing before quietUntil,
// which the caller sets to at least GrantLifetime + ClockMargin after the
// previous owner's last possible grant. Accruing during the quiet time would
// allow twice the burst around its end. The version that the new owner starts
// with may not have reached all VMs, so its policy applies PropagationDelay
// after policySince. A limiter keeps tokens of an earlier epoch until they
// expire and does not report their use to the new owner.
//
// # Change of policy
//
// A VM applies a smaller share per seat at once and a larger one
// PropagationDelay later, when all VMs have the version. A VM that resumes from
// a pause must apply the current policy before it admits; the freshness check
// ensures that. Until PropagationDelay + GrantLifetime + ClockMargin after the
// acceptance (PropagationDelay + twice the other two if the owner changes), the
// bound is the larger of the two policies'. The owner does not renew pools
// while the granted tokens exceed its limit, so that tokens of a larger burst
// expire.
//
// # Rounding
//
// Levels are float64. A request passes when the level is short of it by at most
// 1e-9 of a token, far above the rounding error of sums of this size. The error
// does not accumulate: the level is then set to zero.
package limit

import (
	"math"
	"time"
)

const (
	// GrantLifetime is how long a limiter may spend granted tokens.
	GrantLifetime = 3 * time.Second
	// ClockMargin covers clocks whose rates differ by up to 5% over the longest
	// interval that is compared between VMs.
	ClockMargin = 300 * time.Millisecond
	// RegistrationTTL is how long the owner counts an acknowledged registration.
	RegistrationTTL = 3 * time.Second
	// PropagationDelay is the time within which every VM has applied a version.
	PropagationDelay = 4 * time.Second
	// JoinDelay is how long after its join a VM may not register. It exceeds
	// RegistrationTTL, so that the previous holder of the seat is no longer
	// counted, and covers PropagationDelay, so that a VM on an added seat does
	// not contribute while others divide by fewer seats.
	JoinDelay = PropagationDelay + ClockMargin
	// AskInterval is the minimum time between two asks.
	AskInterval = 200 * time.Millisecond
	// FallbackDelay is how long a VM's fallback bucket stays empty after a
	// join, a removal of the customer or a registration. An owner may count the
	// seat for RegistrationTTL more, and tokens granted from it last
	// GrantLifetime + ClockMargin.
	FallbackDelay = RegistrationTTL + GrantLifetime + ClockMargin
	// BriefGrantLifetime is the lifetime of tokens for requests that are already
	// waiting. It is short because the use of these tokens is not reported.
	BriefGrantLifetime = MaxWait
	// keepRegistered is how long VMs without demand stay registered after the
	// customer's last demand.
	keepRegistered = 10 * time.Second
	// RecallInterval is the minimum time between two recalls of a customer's shares.
	RecallInterval = time.Second
	// IdleInterval is the time between two asks of a VM without demand. It renews
	// the registration three times per RegistrationTTL.
	IdleInterval = RegistrationTTL / 3
	// RetryInterval is the time after which an unanswered ask is repeated. It is
	// half of MaxWait, so that a waiting request survives one lost ask.
	RetryInterval = MaxWait / 2
	// MaxWait is how long a request may wait for tokens.
	MaxWait = 500 * time.Millisecond

	epsilon = 1e-9 // tokens
	// roundUpBurst is the burst per seat from which the wanted tokens are rounded
	// up, so that a VM with little demand holds one token in advance. At most a
	// quarter of the burst is held this way.
	roundUpBurst = 4 // tokens
	// minWant is the number of wanted tokens below which the demand has ended.
	minWant = 0.01 // tokens
	// memberTTL is how long the owner keeps the record of a VM that does not ask.
	// It exceeds the time for which a copy of an ask can stay on a connection:
	// without the record, copies of consecutive asks would look new.
	memberTTL = 10 * time.Minute
)

// Policy is one customer's rate (requests/s) and burst (requests) across the
// fleet, divided among Seats.
type Policy struct {
	Rate, Burst float64
	Seats       int
	// SeatRemoved means that the VM holds a seat that a policy has removed. It has no
	// fallback bucket and contributes nothing.
	SeatRemoved bool
}

// pooled reports whether the owner counts every seat without registrations.
func (p Policy) pooled() bool { return p.Burst < float64(max(1, p.Seats)) }

// Ask reports how many granted tokens a VM still holds and asks for more.
type Ask struct {
	VM          string
	Incarnation uint64
	Sequence    uint64 // advances by one with each accepted grant
	Epoch       uint64 // epoch of the last accepted grant before this ask
	// Held is what is left of the pool granted in Epoch. The VM cannot hold more
	// before the next grant, so the value is an upper bound however late it arrives.
	Held float64
	// Returned is the unspent part of the decrease since the last report.
	Returned float64
	// Want is how many tokens the VM could use.
	Want float64
	// Settled means that the VM has held its seat for JoinDelay and may register.
	Settled bool
	// Brief means that all wanted tokens are for requests that are waiting.
	Brief bool
}

// Grant answers an Ask.
type Grant struct {
	Sequence   uint64
	Epoch      uint64 // the owner's slot epoch
	Tokens     float64
	Lifetime   time.Duration // counted from the ask; 0 does not renew the pool
	Registered bool          // offers a registration: the VM must give up its fallback bucket
	Keep       bool          // the VM must stay registered even without demand
}

// share is the rate (requests/s) and burst (requests) of one seat.
type share struct {
	rate, burst float64
	pooled      bool // it belongs to the owner's bucket without a registration
}

func (p Policy) share() share {
	n := float64(max(1, p.Seats))
	return share{rate: max(0, p.Rate) / n, burst: max(0, p.Burst) / n, pooled: p.pooled()}
}

// fallback returns the share of a VM's fallback bucket, which is zero for a
// pooled customer and on a removed seat.
func (p Policy) fallback() share {
	if p.pooled() || p.SeatRemoved {
		return share{}
	}
	return p.share()
}

// delayedShare is a share of which a decrease applies at once and an increase
// after a delay, when all VMs have the version.
type delayedShare struct {
	now, next share
	seats     int
	at        time.Time // when next applies; zero when nothing is pending
}

// set replaces the share. Setting the same share again does not postpone a
// pending increase.
func (s *delayedShare) set(now time.Time, next share, seats int, delay time.Duration) {
	if s.next == next && s.seats == max(1, seats) {
		return
	}
	s.next = next
	s.now = share{
		rate: min(s.now.rate, next.rate), burst: min(s.now.burst, next.burst),
		pooled: s.now.pooled && next.pooled,
	}
	s.seats = max(1, seats)
	s.at = time.Time{}
	if s.now != s.next {
		s.at = now.Add(delay)
	}
}

func (s *delayedShare) due(t time.Time) bool { return !s.at.IsZero() && !s.at.After(t) }

func (s *delayedShare) apply() { s.now, s.at = s.next, time.Time{} }

// fill returns the level after accrual between two times, at most limit.
func fill(level, rate, limit float64, from, to time.Time) float64 {
	if to.After(from) {
		level += rate * to.Sub(from).Seconds()
	}
	return math.Max(0, math.Min(level, limit))
}
