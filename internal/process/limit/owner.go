package limit

import (
	"math"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
)

// member is the owner's record of one VM.
type member struct {
	incarnation  uint64
	grant        Grant
	grantedAt    time.Time // when the grant was first issued
	countedUntil time.Time // end of the contribution; zero when not counted
	outstanding  float64   // granted tokens that the VM may still spend
	expires      time.Time // end of the pool of outstanding tokens
	deleteAt     time.Time // when the record is deleted unless the VM asks again
}

// Owner holds one customer's token bucket, to which all registered VMs contribute.
type Owner struct {
	epoch      uint64
	policy     delayedShare
	quietUntil time.Time
	updated    time.Time          // time up to which advance has been applied
	level      float64            // tokens that can be granted
	members    map[string]*member // by VM
	// detached holds outstanding tokens that belong to no record in members.
	detached []detachedTokens
	counted  int // members that contribute
	// vacant is the number of vacant seats, which count until vacantUntil.
	vacant      int
	vacantUntil time.Time
	lastDemand  time.Time // of the last ask that wanted tokens
	short       bool      // a grant was less than wanted since the last recall
	recallAt    time.Time // earliest time of the next recall
	granted     float64   // sum of outstanding tokens
	nextExpiry  time.Time // no expiry is due before this time; zero when none is known
}

// detachedTokens are outstanding tokens of a replaced incarnation or of a previous
// owner, counted until they expire.
type detachedTokens struct {
	tokens  float64
	expires time.Time
}

// NewOwner returns an owner with an empty bucket that grants nothing before
// quietUntil. policySince is when this VM applied the policy.
func NewOwner(p Policy, policySince, quietUntil time.Time) *Owner {
	return &Owner{
		policy:     delayedShare{next: p.share(), seats: max(1, p.Seats), at: policySince.Add(PropagationDelay)},
		quietUntil: quietUntil, updated: quietUntil, members: map[string]*member{},
	}
}

// SetEpoch sets the slot's epoch. It is called once, before the first ask.
func (o *Owner) SetEpoch(epoch uint64) { o.epoch = epoch }

// Registered returns the number of VMs that contribute to the bucket.
func (o *Owner) Registered(now time.Time) int {
	o.advance(now)
	return o.counted
}

// SetPolicy replaces the policy; a larger share per seat applies after
// PropagationDelay.
func (o *Owner) SetPolicy(now time.Time, p Policy) {
	o.advance(now)
	o.policy.set(now, p.share(), p.Seats, PropagationDelay)
	o.trim()
}

// SetVacant sets how many seats nobody holds and until when they count, see
// Vacancies.
func (o *Owner) SetVacant(now time.Time, vacant int, until time.Time) {
	o.advance(now)
	o.vacant, o.vacantUntil = 0, until
	if until.After(now) {
		o.vacant = vacant
		o.expireBy(until)
	}
	o.trim()
}

// Recall reports whether the VMs that do not contribute must register now: a grant
// was short, and some seats do not contribute. It returns true at most once per
// RecallInterval.
func (o *Owner) Recall(now time.Time) bool {
	if !o.short || now.Before(o.recallAt) || o.policy.now.pooled || int(o.seats()) >= o.policy.seats {
		return false
	}
	o.short, o.recallAt = false, now.Add(RecallInterval)
	return true
}

// Counts reports whether the VM contributes to the bucket.
func (o *Owner) Counts(now time.Time, vm string) bool {
	m := o.members[vm]
	return m != nil && m.countedUntil.After(now)
}

// Ask applies a VM's report and grants tokens from the bucket. It ignores asks of
// older incarnations and sequence numbers.
func (o *Owner) Ask(now time.Time, a Ask) Grant {
	o.advance(now)
	m := o.members[a.VM]
	switch {
	case m == nil || a.Incarnation > m.incarnation:
		m = o.join(now, a, m)
	case a.Incarnation < m.incarnation || a.Sequence < m.grant.Sequence:
		return Grant{Sequence: a.Sequence, Epoch: o.epoch}
	case a.Sequence == m.grant.Sequence:
		return o.repeat(now, m)
	default:
		o.applyReport(now, m, a)
	}
	o.issue(now, m, a)
	return m.grant
}

// join starts the record of a VM or of a new incarnation. The report in its ask
// is ignored because it refers to another owner or to a record that this owner
// has deleted.
func (o *Owner) join(now time.Time, a Ask, old *member) *member {
	m := &member{incarnation: a.Incarnation}
	if old != nil {
		if !old.countedUntil.IsZero() {
			o.counted--
			o.trim()
		}
		if old.outstanding > 0 {
			o.detached = append(o.detached, detachedTokens{old.outstanding, old.expires})
		}
	}
	o.members[a.VM] = m
	return m
}

// repeat returns the recorded grant with its remaining lifetime, or without
// tokens after it.
func (o *Owner) repeat(now time.Time, m *member) Grant {
	g := m.grant
	if left := g.Lifetime - now.Sub(m.grantedAt); g.Lifetime > 0 && left > 0 {
		g.Lifetime = left
	} else {
		g.Lifetime, g.Tokens = 0, 0
	}
	return g
}

// applyReport applies the report of held tokens in an ask and the acknowledgement of
// the grant before it.
func (o *Owner) applyReport(now time.Time, m *member, a Ask) {
	if a.Epoch != o.epoch || a.Sequence != m.grant.Sequence+1 {
		return
	}
	if decrease := m.outstanding - max(0, a.Held); decrease > 0 {
		m.outstanding -= decrease
		o.granted = max(0, o.granted-decrease)
		o.level += min(max(0, a.Returned), decrease)
		o.trim()
	}
	until := m.grantedAt.Add(RegistrationTTL)
	if !m.grant.Registered || !until.After(now) {
		return
	}
	if m.countedUntil.IsZero() {
		if o.counted >= o.policy.seats {
			return
		}
		o.counted++
	}
	m.countedUntil = until
	o.expireBy(until)
}

// issue records the next grant of a member. A grant of fewer tokens than wanted is
// a whole number, so that no VM holds a fraction of a token that it cannot use.
func (o *Owner) issue(now time.Time, m *member, a Ask) {
	quiet := now.Before(o.quietUntil)
	m.grant = Grant{Sequence: a.Sequence, Epoch: o.epoch}
	m.grant.Registered = !quiet && a.Settled && !o.policy.now.pooled && !o.policy.next.pooled
	if a.Want > 0 {
		o.lastDemand = now
	}
	m.grant.Keep = !o.lastDemand.IsZero() && now.Sub(o.lastDemand) < keepRegistered
	m.grantedAt = now
	m.deleteAt = now.Add(memberTTL)
	o.expireBy(m.deleteAt)
	if quiet || o.granted > o.limit()+epsilon {
		return
	}
	m.grant.Tokens = max(0, a.Want)
	if m.grant.Tokens > o.level {
		m.grant.Tokens = math.Floor(o.level + epsilon)
		o.short = true
	}
	m.grant.Lifetime = GrantLifetime
	margin := ClockMargin
	if a.Brief && m.outstanding == 0 {
		m.grant.Lifetime, margin = BriefGrantLifetime, BriefGrantLifetime/10
	}
	o.level = max(0, o.level-m.grant.Tokens)
	o.granted += m.grant.Tokens
	m.outstanding += m.grant.Tokens
	m.expires = clock.Later(m.expires, now.Add(m.grant.Lifetime+margin))
	o.expireBy(m.expires)
}

// seats returns how many seats contribute, at most those of the policy: VMs on
// seats that a policy change has removed may still be counted.
func (o *Owner) seats() float64 {
	if o.policy.now.pooled {
		return float64(o.policy.seats)
	}
	return float64(min(o.counted+o.vacant, o.policy.seats))
}

// limit returns the maximum of level + granted.
func (o *Owner) limit() float64 { return o.seats() * o.policy.now.burst }

// trim reduces the level so that level + granted stays within limit.
func (o *Owner) trim() { o.level = max(0, min(o.level, o.limit()-o.granted)) }

// expireBy makes sure that expire runs at t or earlier.
func (o *Owner) expireBy(t time.Time) {
	if o.nextExpiry.IsZero() || t.Before(o.nextExpiry) {
		o.nextExpiry = t
	}
}

// advance accrues tokens up to now in steps between expiries, so that a
// contribution that ended during a pause adds nothing after its end.
func (o *Owner) advance(now time.Time) {
	for {
		step := now
		if !o.nextExpiry.IsZero() && o.nextExpiry.Before(step) {
			step = o.nextExpiry
		}
		if !o.policy.at.IsZero() && o.policy.at.Before(step) {
			step = o.policy.at
		}
		if step.After(o.updated) {
			o.level = fill(o.level, o.seats()*o.policy.now.rate, max(0, o.limit()-o.granted), o.updated, step)
			o.updated = step
		}
		due := !o.nextExpiry.IsZero() && !o.nextExpiry.After(step)
		if o.policy.due(step) {
			o.policy.apply()
		}
		if due {
			o.expire(step)
		}
		if !step.Before(now) {
			return
		}
	}
}

// expire removes contributions, tokens and records that ended by t and sets the
// time of the next expiry.
func (o *Owner) expire(t time.Time) {
	o.nextExpiry = time.Time{}
	total := 0.0
	if o.vacant > 0 && !o.vacantUntil.After(t) {
		o.vacant = 0
	} else if o.vacant > 0 {
		o.expireBy(o.vacantUntil)
	}
	for vm, m := range o.members {
		if !m.countedUntil.IsZero() && !m.countedUntil.After(t) {
			m.countedUntil = time.Time{}
			o.counted--
		}
		if m.outstanding > 0 && !m.expires.After(t) {
			m.outstanding = 0
		}
		if !m.deleteAt.After(t) {
			delete(o.members, vm)
			continue
		}
		total += m.outstanding
		o.expireBy(m.deleteAt)
		if !m.countedUntil.IsZero() {
			o.expireBy(m.countedUntil)
		}
		if m.outstanding > 0 {
			o.expireBy(m.expires)
		}
	}
	kept := o.detached[:0]
	for _, x := range o.detached {
		if x.expires.After(t) {
			kept = append(kept, x)
			total += x.tokens
			o.expireBy(x.expires)
		}
	}
	o.detached = kept
	o.granted = total
	o.trim()
}
