package control

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hornbeamvale.example/hornbeamvale/internal/process/limit"
	"hornbeamvale.example/hornbeamvale/internal/process/member"
	"hornbeamvale.example/hornbeamvale/internal/process/ownership"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
)

// LimitAsks asks this member, as the owner of the customers' slots, for shares.
// Reply must have room for one answer.
type LimitAsks struct {
	Asks  []CustomerAsk
	Reply chan<- []CustomerGrant
}

// Apply implements Event.
func (e LimitAsks) Apply(s *State, now time.Time) { e.Reply <- s.grant(now, e.Asks) }

// grant answers the asks for customers whose slots this member owns.
func (s *State) grant(now time.Time, asks []CustomerAsk) []CustomerGrant {
	if !s.joined || !s.lease.Valid(now) {
		return nil
	}
	var grants []CustomerGrant
	var recalls []string
	for _, a := range asks {
		if o := s.limitOwner(now, a.Customer); o != nil {
			grants = append(grants, CustomerGrant{Customer: a.Customer, Grant: o.Ask(now, a.Ask)})
			if o.Recall(now) {
				recalls = append(recalls, a.Customer)
			}
		}
	}
	s.sendRecalls(now, recalls)
	return grants
}

// sendRecalls asks the members that do not contribute to the customers' buckets to
// register, one message for each member.
func (s *State) sendRecalls(now time.Time, customers []string) {
	if len(customers) == 0 {
		return
	}
	for _, id := range s.registry.IDs() {
		var list []string
		for _, customer := range customers {
			if !s.limits.owners[customer].Counts(now, LimitID(id)) {
				list = append(list, customer)
			}
		}
		info, ok := s.registry.Get(id)
		switch {
		case len(list) == 0:
		case id == s.self:
			s.recall(now, list)
		case ok && s.config.Peers != nil:
			peers, to := s.config.Peers, Peer{ID: id, Info: info}
			s.run(func(ctx context.Context) Event {
				_ = peers.RecallLimits(ctx, to, list) // the owner repeats it while it is short
				return nil
			})
		}
	}
}

func (s *State) recall(now time.Time, customers []string) {
	for _, customer := range customers {
		if t := s.limits.limiters[customer]; t != nil {
			t.Recall()
			s.limits.next = now
		}
	}
}

// LimitRecall asks this member to register with the owners of the customers.
type LimitRecall struct{ Customers []string }

// Apply implements Event.
func (e LimitRecall) Apply(s *State, now time.Time) { s.recall(now, e.Customers) }

func (s *State) limitOwner(now time.Time, customer string) *limit.Owner {
	slot := ownership.CustomerSlot(customer)
	row := s.slots.Owner(slot)
	quiet, serving := s.limits.quietUntil[slot]
	if row.Member != s.self || !serving {
		return nil
	}
	if o := s.limits.owners[customer]; o != nil {
		return o
	}
	p, ok := policy(s.current.Version, customer)
	if !ok {
		return nil
	}
	o := limit.NewOwner(p, s.limits.policySince, quiet)
	o.SetEpoch(row.Epoch)
	vacant, until := s.limits.vacancies.Count()
	o.SetVacant(now, vacant, until)
	s.limits.owners[customer] = o
	return o
}

// setPrevious records whose grants an acquired slot's quiet time is for. Rows may
// have been missed between two polls; the epoch shows it.
func (l *limits) setPrevious(slot ownership.Slot, before, now ownership.Owner) {
	delete(l.previous, slot)
	if before.Epoch+1 == now.Epoch {
		l.previous[slot] = before.Member
	}
}

// beginLimits lets this member grant shares of the slot's customers after the
// shares of the former owner have expired.
func (s *State) beginLimits(now time.Time, slot ownership.Slot) {
	quiet := limit.GrantLifetime + limit.ClockMargin
	if s.limits.evicted[s.limits.previous[slot]] {
		quiet = quietAfterEviction(s.config.LeaseTTL)
	}
	s.limits.quietUntil[slot] = now.Add(quiet)
}

// quietAfterEviction is the quiet time after an owner whose lease has expired. It
// stopped granting at TTL - 20% after its last renewal and was evicted TTL + 20%
// after it, so 40% of the TTL has passed since its last grant, or 36% if the clocks
// run at rates 5% apart.
func quietAfterEviction(ttl time.Duration) time.Duration {
	return max(0, limit.GrantLifetime+limit.ClockMargin-ttl*36/100)
}

// noteEvicted remembers the members whose seats were locked by an eviction.
func (s *State) noteEvicted(row platform.Row) {
	var seat member.SeatRow
	if !row.Deleted && msgpack.Unmarshal(row.Value, &seat) == nil && seat.Evicted {
		s.limits.evicted[seat.Member] = true
	}
}

// addOwners makes the missing owners of the customers in this member's slots, so
// that their buckets are filled when a customer's first request comes.
func (s *State) addOwners(now time.Time) {
	for c := range s.current.Version.Customers() {
		s.limitOwner(now, c.Name)
	}
}

// dropLimits ends the ownership of the slot's customers and keeps their accounts.
func (s *State) dropLimits(now time.Time, slot ownership.Slot, epoch uint64) {
	delete(s.limits.quietUntil, slot)
	for customer, o := range s.limits.owners {
		if ownership.CustomerSlot(customer) != slot {
			continue
		}
		delete(s.limits.owners, customer)
		if a, ok := o.Account(now); ok {
			s.limits.accounts[customer] = &endedAccount{account: a, epoch: epoch, at: now}
		}
	}
}
