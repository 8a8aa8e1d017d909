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

// LimitAsks requests tokens of customers' rates from this member, which owns the
// customers' slots. Reply must have buffer space for one value.
type LimitAsks struct {
	Asks  []CustomerAsk
	Reply chan<- []CustomerGrant
}

// Apply implements Event.
func (e LimitAsks) Apply(s *State, now time.Time) { e.Reply <- s.grantTokens(now, e.Asks) }

// grantTokens answers the asks for the customers whose slots this member owns.
func (s *State) grantTokens(now time.Time, asks []CustomerAsk) []CustomerGrant {
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
// register. It sends one message to each of them.
func (s *State) sendRecalls(now time.Time, customers []string) {
	if len(customers) == 0 {
		return
	}
	for _, id := range s.registry.IDs() {
		var list []string
		for _, customer := range customers {
			if !s.limits.owners[customer].Counts(now, ShortMemberID(id)) {
				list = append(list, customer)
			}
		}
		info, ok := s.registry.Get(id)
		switch {
		case len(list) == 0:
		case id == s.self:
			s.recallCustomers(now, list)
		case ok && s.config.Peers != nil:
			peers, to := s.config.Peers, Peer{ID: id, Info: info}
			s.submitJob(func(ctx context.Context) Event {
				_ = peers.RecallLimits(ctx, to, list) // the owner repeats it while it lacks tokens
				return nil
			})
		}
	}
}

// recallCustomers makes this member register with the customers' owners.
func (s *State) recallCustomers(now time.Time, customers []string) {
	for _, customer := range customers {
		if l := s.limits.limiters[customer]; l != nil {
			l.Recall()
			s.limits.next = now
		}
	}
}

// LimitRecall requests that this member registers with the customers' owners.
type LimitRecall struct{ Customers []string }

// Apply implements Event.
func (e LimitRecall) Apply(s *State, now time.Time) { s.recallCustomers(now, e.Customers) }

// limitOwner returns the customer's limit owner if this member owns the customer's slot
// and has loaded it, and nil otherwise. It creates a missing owner.
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
	p, ok := limitPolicy(s.current.Version, customer)
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

// setPreviousOwner records the owner of an acquired slot before this member, whose grants
// may still be in use. The previous owner is unknown if the epochs show that slot rows
// were missed between two polls.
func (l *limits) setPreviousOwner(slot ownership.Slot, before, now ownership.Owner) {
	delete(l.previousOwner, slot)
	if before.Epoch+1 == now.Epoch {
		l.previousOwner[slot] = before.Member
	}
}

// startQuietTime lets this member grant tokens to the slot's customers only after the
// tokens that the previous owner granted have expired.
func (s *State) startQuietTime(now time.Time, slot ownership.Slot) {
	quiet := limit.GrantLifetime + limit.ClockMargin
	if s.limits.evictedMembers[s.limits.previousOwner[slot]] {
		quiet = quietAfterEviction(s.config.LeaseTTL)
	}
	s.limits.quietUntil[slot] = now.Add(quiet)
}

// quietAfterEviction returns the quiet time after the eviction of an owner whose lease
// expired. The owner stopped granting at TTL - 20% after its last renewal and was evicted
// at TTL + 20% after it. So 40% of the TTL has passed since its last grant, or 36% if the
// clock rates differ by 5%.
func quietAfterEviction(ttl time.Duration) time.Duration {
	return max(0, limit.GrantLifetime+limit.ClockMargin-ttl*36/100)
}

// recordEvictedMember records the member of a seat row that an eviction has locked.
func (s *State) recordEvictedMember(row platform.Row) {
	var seat member.SeatRow
	if !row.Deleted && msgpack.Unmarshal(row.Value, &seat) == nil && seat.Evicted {
		s.limits.evictedMembers[seat.Member] = true
	}
}

// addLimitOwners creates the missing limit owners of the customers in this member's slots,
// so that their buckets fill before the first request of a customer arrives.
func (s *State) addLimitOwners(now time.Time) {
	for c := range s.current.Version.Customers() {
		s.limitOwner(now, c.Name)
	}
}

// endLimitOwners ends the limit owners of the slot's customers and keeps their accounts
// for the next owner.
func (s *State) endLimitOwners(now time.Time, slot ownership.Slot, epoch uint64) {
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
