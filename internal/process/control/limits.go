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

// limitInterval is the minimum time between two checks for asks that are due. Asks to the
// same owner that become due within it share a frame.
const limitInterval = 50 * time.Millisecond

// limits is this member's state of the customers' rate limits.
type limits struct {
	limiters map[string]*limit.Limiter // by customer
	owners   map[string]*limit.Owner   // by customer
	// quietUntil is the end of a slot's quiet time. Until then this member, as the new
	// owner, does not grant, since tokens of the previous owner may still be in use.
	quietUntil map[ownership.Slot]time.Time
	// previousOwner is the member that owned an acquired slot before this one.
	previousOwner  map[ownership.Slot]string
	evictedMembers map[string]bool // members whose leases expired
	// accounts holds the accounts of limit owners that ended here, for the next owners.
	accounts  map[string]*endedAccount
	waits     map[rateWait]chan<- bool // replies to requests that wait for tokens
	next      time.Time                // when stepLimits is due
	joinedAt  time.Time                // when the commit of the join became known
	vacancies limit.Vacancies
	// removed is when a version without the customer removed its limiter.
	removed map[string]time.Time
	// incarnations counts the limiters created for a customer. An owner may still count an
	// earlier one.
	incarnations map[string]uint64
	// closed is set before the seat is given up, since other VMs may count the seat as
	// vacant from then on.
	closed bool
	// policySince is when this member applied the version in force.
	policySince time.Time
}

// rateWait identifies a request that waits for tokens.
type rateWait struct {
	customer string
	id       uint64
}

func newLimits() *limits {
	return &limits{
		limiters: map[string]*limit.Limiter{}, owners: map[string]*limit.Owner{},
		quietUntil: map[ownership.Slot]time.Time{}, waits: map[rateWait]chan<- bool{},
		previousOwner: map[ownership.Slot]string{}, evictedMembers: map[string]bool{}, accounts: map[string]*endedAccount{},
		removed: map[string]time.Time{}, incarnations: map[string]uint64{},
	}
}

// CustomerAsk is an ask for tokens of a customer's rate.
type CustomerAsk struct {
	Customer string    `msgpack:"c"`
	Ask      limit.Ask `msgpack:"a"`
}

// CustomerGrant is the answer to a CustomerAsk.
type CustomerGrant struct {
	Customer string      `msgpack:"c"`
	Grant    limit.Grant `msgpack:"g"`
}

// limitPolicy returns a customer's rate, burst and number of seats in a version.
func limitPolicy(v *version.Version, customer string) (limit.Policy, bool) {
	c, ok := v.Customer(customer)
	if !ok {
		return limit.Policy{}, false
	}
	return limit.Policy{Rate: c.Rate, Burst: c.Burst, Seats: v.Seats}, true
}

// ShortMemberID returns a member's id in asks. It is only eight bytes of a digest, since
// most messages between VMs are asks.
func ShortMemberID(member string) string {
	digest := sha256.Sum256([]byte(member))
	return string(digest[:8])
}

// limiterPolicy returns the policy at this VM. SeatRemoved is set if the version in force
// no longer has this VM's seat.
func (s *State) limiterPolicy(customer string) (limit.Policy, bool) {
	p, ok := limitPolicy(s.current.Version, customer)
	p.SeatRemoved = s.info.Seat >= p.Seats
	return p, ok
}

// TakeRateToken takes a token of a customer's rate for one request. Reply must have buffer
// space for one value. It gets true when the request is admitted, and false if this VM
// cannot admit requests of the customer. It gets nothing if no token becomes available
// before the deadline.
type TakeRateToken struct {
	Customer string
	Deadline time.Time
	Reply    chan<- bool
}

// Apply implements Event.
func (e TakeRateToken) Apply(s *State, now time.Time) {
	l := s.limits.limiters[e.Customer]
	if l == nil || s.limits.closed || !s.joined || !s.seat.Valid(now) {
		e.Reply <- false
		return
	}
	if ok, _ := l.Take(now, 1); ok {
		e.Reply <- true
		return
	}
	id := l.Wait(now, 1, e.Deadline)
	s.limits.waits[rateWait{e.Customer, id}] = e.Reply
	s.limits.next = now
}

// CancelRateWait ends a wait for tokens whose deadline has passed or whose caller has left.
type CancelRateWait struct{ Reply chan<- bool }

// Apply implements Event.
func (e CancelRateWait) Apply(s *State, _ time.Time) {
	for w, reply := range s.limits.waits {
		if reply == e.Reply {
			delete(s.limits.waits, w)
			if l := s.limits.limiters[w.customer]; l != nil {
				l.Cancel(w.id)
			}
			return
		}
	}
}

// joinLimits creates the limiters of all customers at the join. now is after the join's
// commit, so every read in which an owner saw the seat as vacant was sent before now.
func (s *State) joinLimits(now time.Time) {
	s.limits.joinedAt, s.limits.next = now, now
	if s.limits.policySince.IsZero() {
		s.limits.policySince = now // otherwise an earlier membership applied the version
	}
	s.addLimiters(now, now)
}

// addLimiters creates the missing limiters. Their fallback starts at notBefore or later. A
// customer that a version adds may have been removed by an earlier version that its owner
// has not seen, and other VMs may still use an older policy for it.
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
		l := limit.NewLimiter(p, now, from)
		l.VM, l.Incarnation = ShortMemberID(s.self), s.limits.incarnations[c.Name]
		s.limits.limiters[c.Name] = l
	}
}

// dueLimits returns when stepLimits is due, or zero if it is not.
func (s *State) dueLimits() time.Time {
	if !s.joined || s.limits.closed || len(s.limits.limiters) == 0 {
		return time.Time{}
	}
	return s.limits.next
}

// stepLimits admits waiting requests and sends the asks that are due, in one frame to
// each owner.
func (s *State) stepLimits(now time.Time) {
	if now.Before(s.limits.next) || !s.joined || s.limits.closed {
		return
	}
	next := now.Add(eventloop.MaxSleep)
	asks := map[string][]CustomerAsk{}
	for customer, l := range s.limits.limiters {
		if ask, ok := l.NextAsk(now); ok {
			owner := s.slots.Owner(ownership.CustomerSlot(customer)).Member
			asks[owner] = append(asks[owner], CustomerAsk{Customer: customer, Ask: ask})
		}
		s.admitWaiting(now, customer, l)
		if due := l.NextDeadline(); !due.IsZero() && due.Before(next) {
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

// admitWaiting answers the waiting requests of a customer that its limiter can admit now.
func (s *State) admitWaiting(now time.Time, customer string, l *limit.Limiter) {
	for _, id := range l.Admit(now) {
		w := rateWait{customer, id}
		if reply, ok := s.limits.waits[w]; ok {
			delete(s.limits.waits, w)
			reply <- true
		}
	}
}

// sendAsks sends asks to the member that owns the customers' slots.
func (s *State) sendAsks(now time.Time, owner string, asks []CustomerAsk) {
	if owner == s.self {
		s.applyGrants(now, now, s.grantTokens(now, asks))
		return
	}
	info, ok := s.registry.Get(owner)
	if !ok || s.config.Peers == nil {
		return // the limiters repeat their asks after their retry interval
	}
	self, peers, to := s.self, s.config.Peers, Peer{ID: owner, Info: info}
	s.submitJob(func(ctx context.Context) Event {
		grants, err := peers.AskLimits(ctx, to, asks)
		if err != nil {
			return nil
		}
		return tokensGranted{self: self, askedAt: now, grants: grants}
	})
}

// tokensGranted reports an owner's answer to asks.
type tokensGranted struct {
	self    string
	askedAt time.Time
	grants  []CustomerGrant
}

// Apply implements Event.
func (e tokensGranted) Apply(s *State, now time.Time) {
	if e.self == s.self {
		s.applyGrants(now, e.askedAt, e.grants)
	}
}

// applyGrants passes grants to the limiters and admits waiting requests.
func (s *State) applyGrants(now, askedAt time.Time, grants []CustomerGrant) {
	if s.limits.closed {
		return
	}
	for _, g := range grants {
		if l := s.limits.limiters[g.Customer]; l != nil {
			l.Granted(now, askedAt, g.Grant)
			s.admitWaiting(now, g.Customer, l)
		}
	}
}

// applyLimitPolicies applies a new version's policies to the limiters and owners.
func (s *State) applyLimitPolicies(now time.Time) {
	s.limits.policySince = now
	for customer, l := range s.limits.limiters {
		if p, ok := s.limiterPolicy(customer); ok {
			l.SetPolicy(now, p)
		} else {
			delete(s.limits.limiters, customer)
			s.limits.removed[customer] = now
		}
	}
	for customer, o := range s.limits.owners {
		if p, ok := limitPolicy(s.current.Version, customer); ok {
			o.SetPolicy(now, p)
		} else {
			delete(s.limits.owners, customer)
		}
	}
	if !s.joined {
		return
	}
	s.addLimiters(now, now.Add(limit.PropagationDelay))
	s.addLimitOwners(now)
}

// applyVacantSeats tells the limit owners how many seats are vacant. readAt is when the
// read of the seat rows was sent.
func (s *State) applyVacantSeats(now, readAt time.Time) {
	seats := s.current.Version.Seats
	s.limits.vacancies.Observe(readAt, seats, s.seats.Vacant(seats))
	vacant, until := s.limits.vacancies.Count()
	for _, o := range s.limits.owners {
		o.SetVacant(now, vacant, until)
	}
}
