package fleet

import (
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
)

// The sum of the shares in use stays within a rate if each VM that uses shares is among the
// members that every other such VM knows: the holders and the size of a share follow from
// the members, and each share gets smaller, or goes, with a further member. A VM that joins
// writes its row and waits for joinDelay. By then each other VM has read the row, or uses no
// shares, because its last read is older than shareUseTimeout. A VM is dropped memberTTL
// after its last renewal, when it has been using no shares for some time.
const (
	// joinDelay is how long a new member, or a VM that gains a share of a rate, waits
	// before it uses its shares.
	joinDelay = memberPollInterval + time.Second
	// shareUseTimeout is how long after a read of the members was sent a VM uses its shares
	// by it. It derives from joinDelay, since a VM whose row the read does not show may use
	// its shares after joinDelay.
	shareUseTimeout = joinDelay - shareUseMargin
	// shareUseMargin covers clocks that differ by 1 % in joinDelay, and 65 ms until a request
	// that got a token has been sent.
	shareUseMargin = 100 * time.Millisecond
	// storeDownLag is for how long, at most, a VM still counts the store as down for all after
	// another VM reaches it again: storepath.DownForAll counts the answer of another VM
	// for 1.5 s, and that VM probes the store every 0.5 s for up to 0.4 s.
	storeDownLag = 2400 * time.Millisecond
	// storeDownDetection is the longest time from the last read of the members until a VM
	// knows that the store is down for all, if that is why it read them no more: the read is
	// due after memberPollInterval, and calls that are not answered take up to 2 s.
	storeDownDetection = memberPollInterval + 3*time.Second
	// memberUseTimeout is how long after its last renewal a VM still counts itself as a
	// member. Later it waits like a new one.
	memberUseTimeout = 8 * time.Second
	// memberTTL is the time without a renewal after which the others drop a member. Until then
	// they don't use its shares.
	memberTTL = 10 * time.Second
	// memberRowTTL is the time after which the row of an unrenewed member is deleted.
	// Without the deletion, processes that start later would count the member for
	// another memberTTL.
	memberRowTTL = memberTTL + 5*time.Second
)

// stepMembers begins to use this VM's shares once the others have had time to see the
// member. It stops while the last read of the members is too old, and ends the membership
// when the row was not renewed for memberUseTimeout, since the others may then drop the
// member. It returns when it has to run next.
func (s *State) stepMembers(now time.Time) (next time.Time) {
	v := &s.members
	if v.usableFrom.IsZero() {
		return time.Time{}
	}
	wasUsable, wasInUse := v.usable, v.inUse
	v.usable = !v.expired(now) && (v.usable || !now.Before(v.usableFrom) && v.current(now))
	if s.config.StoreDown() {
		v.noteStoreDown(now)
	}
	v.inUse = v.usable && v.current(now)
	switch {
	case wasUsable && !v.usable:
		s.config.Log.State("Stopped using this VM's rate shares because its membership was not renewed in time", "sinceRenewal", now.Sub(v.renewed))
	case wasInUse && !v.inUse:
		s.config.Log.State("Stopped using this VM's rate shares because the members were not read in time", "sinceRead", now.Sub(v.lastReadSent))
	}
	if v.inUse != wasInUse {
		s.applyRates(now)
	}
	if v.usable != wasUsable {
		s.unpublished = true
		s.applyLimits(now)
	}
	switch {
	case v.inUse:
		return v.knownUntil().Add(shareUseTimeout)
	case !v.usable && v.usableFrom.After(now):
		return v.usableFrom
	}
	return time.Time{}
}

// noteStoreDown applies that the store is down for all VMs. No VM can join or be dropped
// meanwhile, so a VM that uses shares goes on by what it has read. One that waits may not have
// been read by those, so its wait begins anew. A VM whose last read was too old when it
// learned of the outage may have been cut off before, and not know VMs that joined then.
func (v *memberView) noteStoreDown(now time.Time) {
	switch {
	case !v.usable:
		v.usableFrom = clock.Later(v.usableFrom, now.Add(joinDelay))
	case now.Sub(v.knownUntil()) <= storeDownDetection:
		v.downUntil = clock.Later(v.downUntil, now.Add(-storeDownLag))
	}
}

// memberAt returns what the store's clock showed when this VM was last a member that may use
// its shares: storeNow, which it shows now, or before.
func (s *State) memberAt(now time.Time, before, storeNow time.Duration) time.Duration {
	s.stepMembers(now)
	if s.members.usable {
		return storeNow
	}
	return before
}

// memberAtAsked is the event that asks for the result of memberAt.
type memberAtAsked struct {
	before, storeNow time.Duration
	reply            chan<- time.Duration
}

// Apply implements Event.
func (e memberAtAsked) Apply(s *State, now time.Time) {
	e.reply <- s.memberAt(now, e.before, e.storeNow)
}

// knownUntil returns the time until which this VM knows every VM that wrote its row.
func (v *memberView) knownUntil() time.Time { return clock.Later(v.lastReadSent, v.downUntil) }

// current reports whether this VM knows every VM that may use a share now.
func (v *memberView) current(now time.Time) bool {
	return now.Sub(v.knownUntil()) < shareUseTimeout
}

// expired returns whether the other VMs may have dropped this VM.
func (v *memberView) expired(now time.Time) bool {
	return now.Sub(clock.Later(v.renewed, v.downUntil)) > memberUseTimeout
}
