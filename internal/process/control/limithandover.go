package control

import (
	"context"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/limit"
	"hornbeamvale.example/hornbeamvale/internal/process/ownership"
)

const (
	// accountFetchWait is how long a stopping member waits for the new limit owners to
	// fetch the accounts of its customers.
	accountFetchWait = 2 * time.Second
	// accountFetchRetry is the wait before a new owner repeats its request. It may learn
	// of the handover before the previous owner does.
	accountFetchRetry = 100 * time.Millisecond
)

// endedAccount is the account of a limit owner that has ended at this member.
type endedAccount struct {
	account limit.Account
	epoch   uint64    // of the slot while the owner was here
	at      time.Time // when the owner ended
	fetched bool      // by the new owner
}

// AccountQuery names a customer and the epoch of its new owner.
type AccountQuery struct {
	Customer string `msgpack:"c"`
	Epoch    uint64 `msgpack:"e"`
}

// CustomerAccount is the account of a customer's previous limit owner.
type CustomerAccount struct {
	Customer string        `msgpack:"c"`
	Account  limit.Account `msgpack:"a"`
}

// FetchAccounts requests the accounts of customers whose slots this member has handed
// over. Reply must have buffer space for one value.
type FetchAccounts struct {
	Queries []AccountQuery
	Reply   chan<- []CustomerAccount
}

// Apply implements Event. An account is returned only if its epoch directly precedes the
// new owner's, so that nobody owned the slot in between.
func (e FetchAccounts) Apply(s *State, now time.Time) {
	var found []CustomerAccount
	for _, q := range e.Queries {
		if a := s.limits.accounts[q.Customer]; a != nil && a.epoch+1 == q.Epoch {
			a.fetched = true
			found = append(found, CustomerAccount{Customer: q.Customer, Account: a.account.After(now.Sub(a.at))})
		}
	}
	e.Reply <- found
}

// accountsUnfetched returns whether a new owner may still fetch an account. It drops the
// accounts that have become useless because their tokens have expired.
func (s *State) accountsUnfetched(now time.Time) bool {
	waiting := false
	for customer, a := range s.limits.accounts {
		switch age := now.Sub(a.at); {
		case age > limit.GrantLifetime+limit.ClockMargin:
			delete(s.limits.accounts, customer)
		case !a.fetched && age < accountFetchWait:
			waiting = true
		}
	}
	return waiting
}

// fetchAccounts requests the accounts of acquired slots from their previous owners, so
// that a planned handover needs no quiet time.
func (s *State) fetchAccounts(now time.Time, slots []ownership.Slot) {
	wanted := map[ownership.Slot]bool{}
	for _, slot := range slots {
		wanted[slot] = true
	}
	queries := map[string][]AccountQuery{}
	for customer := range s.limits.owners {
		slot := ownership.CustomerSlot(customer)
		if from := s.limits.previousOwner[slot]; wanted[slot] && from != "" {
			queries[from] = append(queries[from], AccountQuery{Customer: customer, Epoch: s.slots.Owner(slot).Epoch})
		}
	}
	for from, list := range queries {
		s.fetchAccountsFrom(from, list, now.Add(limit.GrantLifetime+limit.ClockMargin), 0)
	}
}

// fetchAccountsFrom requests accounts from a previous owner after a wait. The request is
// repeated for missing accounts until the given time.
func (s *State) fetchAccountsFrom(from string, queries []AccountQuery, until time.Time, wait time.Duration) {
	info, ok := s.registry.Get(from)
	if !ok || s.config.Peers == nil {
		return // the previous owner is no longer a member, so the quiet time applies
	}
	self, peers, to := s.self, s.config.Peers, Peer{ID: from, Info: info}
	s.submitJob(func(ctx context.Context) Event {
		if !clock.Sleep(ctx, wait) {
			return nil
		}
		e := accountsFetched{self: self, from: from, queries: queries, until: until, askedAt: clock.Now()}
		e.accounts, _ = peers.FetchAccounts(ctx, to, queries) // Apply repeats a failed request
		return e
	})
}

// accountsFetched reports the accounts that a previous owner returned.
type accountsFetched struct {
	self, from string
	queries    []AccountQuery
	askedAt    time.Time
	until      time.Time // end of the quiet time
	accounts   []CustomerAccount
}

// Apply implements Event.
func (e accountsFetched) Apply(s *State, now time.Time) {
	if e.self != s.self {
		return
	}
	found := map[string]limit.Account{}
	for _, a := range e.accounts {
		found[a.Customer] = a.Account
	}
	var missing []AccountQuery
	for _, q := range e.queries {
		o := s.limits.owners[q.Customer]
		a, ok := found[q.Customer]
		switch {
		case o == nil || s.slots.Owner(ownership.CustomerSlot(q.Customer)).Epoch != q.Epoch:
		case ok && s.lease.Valid(now):
			o.Adopt(now, e.askedAt, a)
		default:
			missing = append(missing, q)
		}
	}
	if len(missing) > 0 && now.Before(e.until) {
		s.fetchAccountsFrom(e.from, missing, e.until, accountFetchRetry)
	}
}
