package control

import (
	"context"
	"crypto/sha256"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/eventloop"
	"hornbeamvale.example/hornbeamvale/internal/process/limit"
	"hornbeamvale.example/hornbeamvale/internal/process/ownership"
	"hornbeamvale.example/hornbeamvale/internal/version"
)

// limitInterval is the time between two looks for asks that are due. Asks for the
// same owner that fall due in it share a frame.
const limitInterval = 50 * time.Millisecond

// limits is the state of rates and bursts at this member.
type limits struct {
	limiters map[string]*limit.Limiter
	owners   map[string]*limit.Owner
	// quietUntil keeps a new owner of a slot from granting while shares of the
	// former one may be in use.
	quietUntil map[ownership.Slot]time.Time
	// previous is the owner of an acquired slot before this member.
	previous map[ownership.Slot]string
	evicted  map[string]bool // members whose leases expired
	// accounts are those of the owners that ended here, for their successors.
	accounts  map[string]*endedAccount
	waits     map[rateWait]chan<- bool
	next      time.Time
	joinedAt  time.Time // when the commit of the join was known
	vacancies limit.Vacancies
	// removed says when a version without the customer ended its limiter.
	removed map[string]time.Time
	// incarnations counts the limiters made for a customer, since an owner may
	// remember an earlier one.
	incarnations map[string]uint64
	// closed is set before the seat is given up: other VMs may count it from then on.
	closed bool
	// policySince is when the version in force was applied here.
	policySince time.Time
}

type rateWait struct {
	customer string
	id       uint64
}

func newLimits() *limits {
	return &limits{
		limiters: map[string]*limit.Limiter{}, owners: map[string]*limit.Owner{},
		quietUntil: map[ownership.Slot]time.Time{}, waits: map[rateWait]chan<- bool{},
		previous: map[ownership.Slot]string{}, evicted: map[string]bool{}, accounts: map[string]*endedAccount{},
		removed: map[string]time.Time{}, incarnations: map[string]uint64{},
	}
}

// CustomerAsk is an ask with the customer that it is for.
type CustomerAsk struct {
	Customer string    `msgpack:"c"`
	Ask      limit.Ask `msgpack:"a"`
}

// CustomerGrant is the answer to a CustomerAsk.
type CustomerGrant struct {
	Customer string      `msgpack:"c"`
	Grant    limit.Grant `msgpack:"g"`
}

func policy(v *version.Version, customer string) (limit.Policy, bool) {
	c, ok := v.Customer(customer)
	if !ok {
		return limit.Policy{}, false
	}
	return limit.Policy{Rate: c.Rate, Burst: c.Burst, Seats: v.Seats}, true
}

// LimitID is a member's name in asks: eight bytes of a digest, since asks are most
// of the messages between VMs.
func LimitID(member string) string {
	digest := sha256.Sum256([]byte(member))
	return string(digest[:8])
}

// limiterPolicy is the policy at this VM, whose seat may be one that the version
// does not have any more.
func (s *State) limiterPolicy(customer string) (limit.Policy, bool) {
	p, ok := policy(s.current.Version, customer)
	p.SeatRemoved = s.info.Seat >= p.Seats
	return p, ok
}

// TakeRate takes one request off a customer's rate. Reply must have room for one
// answer. It gets true when the request may go on; there is no answer if the
// customer's tokens do not come before the deadline.
type TakeRate struct {
	Customer string
	Deadline time.Time
	Reply    chan<- bool
}

// Apply implements Event.
func (e TakeRate) Apply(s *State, now time.Time) {
	t := s.limits.limiters[e.Customer]
	if t == nil || s.limits.closed || !s.joined || !s.seat.Valid(now) {
		e.Reply <- false
		return
	}
	if ok, _ := t.Take(now, 1); ok {
		e.Reply <- true
		return
	}
	id := t.Wait(now, 1, e.Deadline)
	s.limits.waits[rateWait{e.Customer, id}] = e.Reply
	s.limits.next = now
}

// CancelRate drops a wait for tokens whose deadline has passed or whose caller is
// gone.
type CancelRate struct{ Reply chan<- bool }

// Apply implements Event.
func (e CancelRate) Apply(s *State, _ time.Time) {
	for w, reply := range s.limits.waits {
		if reply == e.Reply {
			delete(s.limits.waits, w)
			if t := s.limits.limiters[w.customer]; t != nil {
				t.Cancel(w.id)
			}
			return
		}
	}
}

// joinLimits makes the limiters of all customers at the join. Now is after the
// join's commit, so the owners' reads that show the seat as vacant are older.
func (s *State) joinLimits(now time.Time) {
	s.limits.joinedAt, s.limits.next = now, now
	if s.limits.policySince.IsZero() {
		s.limits.policySince = now // an earlier membership has applied the version
	}
	s.addLimiters(now, now)
}

// addLimiters makes the missing limiters. A customer that a version adds may have
// been removed by an earlier version that its owner has not seen, and other VMs
// may still have an older policy for it.
func (s *State) addLimiters(now, notBefore time.Time) {
	for c := range s.current.Version.Customers() {
		if s.limits.limiters[c.Name] != nil {
			continue
		}
		from := clock.Later(notBefore, s.limits.joinedAt.Add(limit.FallbackDelay))
		if at, ok := s.limits.removed[c.Name]; ok {
			from = clock.Later(from, at.Add(limit.FallbackDelay))
		}
		p, _ := s.limiterPolicy(c.Name)
		s.limits.incarnations[c.Name]++
		t := limit.NewLimiter(p, now, from)
		t.VM, t.Incarnation = LimitID(s.self), s.limits.incarnations[c.Name]
		s.limits.limiters[c.Name] = t
	}
}

func (s *State) dueLimits() time.Time {
	if !s.joined || s.limits.closed || len(s.limits.limiters) == 0 {
		return time.Time{}
	}
	return s.limits.next
}

// stepLimits admits waiting requests and sends the asks that are due, one frame
// for each owner.
func (s *State) stepLimits(now time.Time) {
	if now.Before(s.limits.next) || !s.joined || s.limits.closed {
		return
	}
	next := now.Add(eventloop.IdleStep)
	asks := map[string][]CustomerAsk{}
	for customer, t := range s.limits.limiters {
		if ask, ok := t.NextAsk(now); ok {
			owner := s.slots.Owner(ownership.CustomerSlot(customer)).Member
			asks[owner] = append(asks[owner], CustomerAsk{Customer: customer, Ask: ask})
		}
		s.admit(now, customer, t)
		if due := t.NextDeadline(); !due.IsZero() && due.Before(next) {
			next = due
		}
	}
	s.limits.next = next
	if earliest := now.Add(limitInterval); next.Before(earliest) {
		s.limits.next = earliest
	}
	for owner, list := range asks {
		s.sendAsks(now, owner, list)
	}
}

func (s *State) admit(now time.Time, customer string, t *limit.Limiter) {
	for _, id := range t.Admit(now) {
		w := rateWait{customer, id}
		if reply, ok := s.limits.waits[w]; ok {
			delete(s.limits.waits, w)
			reply <- true
		}
	}
}

func (s *State) sendAsks(now time.Time, owner string, asks []CustomerAsk) {
	if owner == s.self {
		s.applyGrants(now, now, s.grant(now, asks))
		return
	}
	info, ok := s.registry.Get(owner)
	if !ok || s.config.Peers == nil {
		return // the limiters ask again after their retry interval
	}
	self, peers, to := s.self, s.config.Peers, Peer{ID: owner, Info: info}
	s.run(func(ctx context.Context) Event {
		grants, err := peers.AskLimits(ctx, to, asks)
		if err != nil {
			return nil
		}
		return limitGrants{self: self, askedAt: now, grants: grants}
	})
}

// limitGrants reports the grants of an owner.
type limitGrants struct {
	self    string
	askedAt time.Time
	grants  []CustomerGrant
}

// Apply implements Event.
func (e limitGrants) Apply(s *State, now time.Time) {
	if e.self == s.self {
		s.applyGrants(now, e.askedAt, e.grants)
	}
}

func (s *State) applyGrants(now, askedAt time.Time, grants []CustomerGrant) {
	if s.limits.closed {
		return
	}
	for _, g := range grants {
		if t := s.limits.limiters[g.Customer]; t != nil {
			t.Granted(now, askedAt, g.Grant)
			s.admit(now, g.Customer, t)
		}
	}
}

// applyPolicies passes the rates of a new version on.
func (s *State) applyPolicies(now time.Time) {
	s.limits.policySince = now
	for customer, t := range s.limits.limiters {
		if p, ok := s.limiterPolicy(customer); ok {
			t.SetPolicy(now, p)
		} else {
			delete(s.limits.limiters, customer)
			s.limits.removed[customer] = now
		}
	}
	for customer, o := range s.limits.owners {
		if p, ok := policy(s.current.Version, customer); ok {
			o.SetPolicy(now, p)
		} else {
			delete(s.limits.owners, customer)
		}
	}
	if !s.joined {
		return
	}
	s.addLimiters(now, now.Add(limit.PropagationDelay))
	s.addOwners(now)
}

// applyVacancy tells the limit owners how many seats nobody holds. ReadAt is when
// the read of the seat rows was sent.
func (s *State) applyVacancy(now, readAt time.Time) {
	seats := s.current.Version.Seats
	s.limits.vacancies.Observe(readAt, seats, s.seats.Vacant(seats))
	vacant, until := s.limits.vacancies.Count()
	for _, o := range s.limits.owners {
		o.SetVacant(now, vacant, until)
	}
}
