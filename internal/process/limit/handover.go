package limit

import (
	"slices"
	"time"
)

// Account is an owner's state after its last grant, for the next owner in a
// planned handover. Times are durations from the moment when it was read.
type Account struct {
	Level   float64
	Members []MemberAccount
	Tokens  []TokenAccount
}

// MemberAccount is the owner's record of one VM.
type MemberAccount struct {
	VM                           string
	Incarnation, Sequence, Epoch uint64
	Counted                      time.Duration // how much longer the VM contributes; 0 if it does not
}

// TokenAccount is a number of granted tokens that a VM may still spend, and how
// much longer it may do so.
type TokenAccount struct {
	Tokens float64
	Left   time.Duration
}

// Account returns the owner's state, after which Ask must not be called. It
// reports false during the quiet time, since the owner doesn't know which tokens
// of its predecessor are outstanding.
func (o *Owner) Account(now time.Time) (Account, bool) {
	if now.Before(o.quietUntil) {
		return Account{}, false
	}
	o.advance(now)
	a := Account{Level: o.level}
	for vm, m := range o.members {
		a.Members = append(a.Members, MemberAccount{
			VM: vm, Incarnation: m.incarnation, Sequence: m.grant.Sequence, Epoch: m.grant.Epoch,
			Counted: max(0, m.countedUntil.Sub(now)),
		})
		if m.outstanding > 0 {
			a.Tokens = append(a.Tokens, TokenAccount{Tokens: m.outstanding, Left: m.expires.Sub(now)})
		}
	}
	for _, x := range o.detached {
		a.Tokens = append(a.Tokens, TokenAccount{Tokens: x.tokens, Left: x.expires.Sub(now)})
	}
	return a, true
}

// After returns the account as if it had been read elapsed later: contributions
// are shortened, the lifetimes of tokens are not.
func (a Account) After(elapsed time.Duration) Account {
	members := slices.Clone(a.Members)
	for i := range members {
		members[i].Counted = max(0, members[i].Counted-elapsed)
	}
	a.Members = members
	return a
}

// Adopt takes over the state of the previous owner and ends the quiet time. The
// account was requested at askedAt and read at an unknown time since, so both
// times are taken on the safe side: contributions end as if it had been read at
// askedAt, tokens expire as if it had been read now. Adopt does nothing after the
// quiet time.
func (o *Owner) Adopt(now, askedAt time.Time, a Account) {
	if !now.Before(o.quietUntil) {
		return
	}
	for _, x := range a.Tokens {
		o.detached = append(o.detached, detachedTokens{x.Tokens, now.Add(x.Left)})
		o.granted += x.Tokens
		o.expireBy(now.Add(x.Left))
	}
	for _, x := range a.Members {
		m := o.members[x.VM]
		if m == nil {
			// The recorded grant has no tokens, so that a repeated ask gets none twice.
			m = &member{incarnation: x.Incarnation, grant: Grant{Sequence: x.Sequence, Epoch: x.Epoch}, deleteAt: now.Add(memberTTL)}
			o.members[x.VM] = m
			o.expireBy(m.deleteAt)
		}
		if until := askedAt.Add(x.Counted); m.incarnation == x.Incarnation && x.Counted > 0 && until.After(now) {
			m.countedUntil = until
			o.counted++
			o.expireBy(until)
		}
	}
	o.quietUntil, o.updated = now, now
	if o.policy.due(now) {
		o.policy.apply()
	}
	o.level = a.Level
	o.trim()
}
