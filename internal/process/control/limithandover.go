package control

import (
	"context"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/limit"
	"hornbeamvale.example/hornbeamvale/internal/process/ownership"
)

const (
	// accountWait is how long a member that stops waits for its successors to
	// fetch the accounts of its customers.
	accountWait = 2 * time.Second
	// accountRetry is the wait before a successor asks again, since it may know of
	// the handover before the former owner does.
	accountRetry = 100 * time.Millisecond
)

// endedAccount is the account of an owner that has ended at this member.
type endedAccount struct {
	account limit.Account
	epoch   uint64
	at      time.Time
	fetched bool
}

// AccountQuery names a customer and the epoch of its new owner.
type AccountQuery struct {
	Customer string `msgpack:"c"`
	Epoch    uint64 `msgpack:"e"`
}

// CustomerAccount is the account of a customer's former owner.
type CustomerAccount struct {
	Customer string        `msgpack:"c"`
	Account  limit.Account `msgpack:"a"`
}

// FetchAccounts asks a former owner for the accounts of customers that it has
// handed over. Reply must have room for one answer.
type FetchAccounts struct {
	Queries []AccountQuery
	Reply   chan<- []CustomerAccount
}

// Apply implements Event. The epoch shows that nobody has owned the slot in between.
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

// accountsWaiting says whether successors may still fetch accounts, and drops those
// of no use any more.
func (s *State) accountsWaiting(now time.Time) bool {
	waiting := false
	for customer, a := range s.limits.accounts {
		switch age := now.Sub(a.at); {
		case age > limit.GrantLifetime+limit.ClockMargin:
			delete(s.limits.accounts, customer)
		case !a.fetched && age < accountWait:
			waiting = true
		}
	}
	return waiting
}

// fetchAccounts asks the former owners of acquired slots for their accounts, so that
// a planned handover needs no quiet time.
func (s *State) fetchAccounts(now time.Time, slots []ownership.Slot) {
	wanted := map[ownership.Slot]bool{}
	for _, slot := range slots {
		wanted[slot] = true
	}
	queries := map[string][]AccountQuery{}
	for customer := range s.limits.owners {
		slot := ownership.CustomerSlot(customer)
		if from := s.limits.previous[slot]; wanted[slot] && from != "" {
			queries[from] = append(queries[from], AccountQuery{Customer: customer, Epoch: s.slots.Owner(slot).Epoch})
		}
	}
	for from, list := range queries {
		s.fetchFrom(from, list, now.Add(limit.GrantLifetime+limit.ClockMargin), 0)
	}
}

func (s *State) fetchFrom(from string, queries []AccountQuery, until time.Time, wait time.Duration) {
	info, ok := s.registry.Get(from)
	if !ok || s.config.Peers == nil {
		return // the former owner has ended; the quiet time applies
	}
	self, peers, to := s.self, s.config.Peers, Peer{ID: from, Info: info}
	s.run(func(ctx context.Context) Event {
		if !clock.Sleep(ctx, wait) {
			return nil
		}
		e := accountsFetched{self: self, from: from, queries: queries, until: until, askedAt: time.Now()}
		e.accounts, _ = peers.FetchAccounts(ctx, to, queries) // asked again below
		return e
	})
}

// accountsFetched reports the accounts of a former owner.
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
		s.fetchFrom(e.from, missing, e.until, accountRetry)
	}
}
