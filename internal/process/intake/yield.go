package intake

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// This file decides who gives up what it holds when a sender needs room. Load pattern: many
// large or expensive requests at a time, of which most stop and stay open.

const (
	// stallTime is how long a sender makes no progress until others may have its memory. A
	// lost packet is repeated after 200 ms or more.
	stallTime = 400 * time.Millisecond
	// slowTime is how long a request may be received while others need its memory. The time
	// limit of a turn is 3 s, so no caller still waits then.
	slowTime = 5 * time.Second
	// lingerFactor bounds connections with those that are already closed but whose goroutine
	// still ends: net/http keeps it for 500 ms after some answers.
	lingerFactor = 2
)

// Yield asks a connection to give up what it holds.
type Yield struct {
	Sender *Sender
	Reason Reason
	Action Action
}

// Action says how a connection gives up what it holds.
type Action uint8

// The actions.
const (
	Refuse  Action = iota // the receipt ends, and a refusal is written
	EndRead               // the connection ends if nothing more of a request arrives
	Close                 // the connection is closed at once
)

// action returns how a connection in this phase yields. Only the goroutine that reads a
// connection knows whether it has just read a request, so the connection is closed from
// outside only when all answers have been written.
func (s *Sender) action() Action {
	switch s.phase {
	case Body:
		return Refuse
	case Closing:
		return Close
	}
	return EndRead
}

// Verdict is the decision on a charge.
type Verdict uint8

// The verdicts.
const (
	Granted Verdict = iota
	Wait            // there will be room when others have yielded
	Refused
)

// mark notes that a sender has to yield.
func (b *Budget) mark(s *Sender, why Reason, action Action) Yield {
	s.yielded = why
	s.ending = s.phase == Idle && action == EndRead
	b.yielding += s.charged
	if action != Refuse {
		b.closed(s)
	}
	return Yield{Sender: s, Reason: why, Action: action}
}

// takeBack lets a connection go on that was chosen while it was idle and on which a request
// arrives. It returns false if the sender has yielded otherwise.
func (b *Budget) takeBack(s *Sender) bool {
	if s.ending {
		b.yielding -= s.charged
		b.reopened(s)
		s.yielded, s.ending, s.closeAfterRequest = NoReason, false, true
	}
	return s.yielded == NoReason
}

// Open decides on a new connection. If there is no room, the first of these is closed for it,
// and among equals the one that did nothing for the longest time: one that only lingers, one
// that has never sent a request, one that has stalled, one that is idle between requests.
// Running requests are never closed for it. The sender is nil if there is no room.
func (b *Budget) Open(address netip.Addr, holder Holder, now time.Duration) (*Sender, []Yield, Reason) {
	s := &Sender{address: address, since: now, progressed: now, holder: holder}
	if len(b.senders) >= lingerFactor*b.limits.Connections {
		return nil, nil, TooManyOpen
	}
	use := b.addresses[address]
	why, sameAddress := NoReason, false
	switch {
	case b.open >= b.limits.Connections:
		why = TooManyOpen
	case use != nil && use.open >= b.limits.AddressConnections:
		why, sameAddress = AddressOpen, true
	}
	if why == NoReason {
		b.insert(s)
		return s, nil, NoReason
	}
	var chosen *Sender
	for c := range b.senders {
		if !c.open || c.yielded != NoReason || sameAddress && c.address != address || !c.replaceable(now) {
			continue
		}
		if chosen == nil || cmp.Or(cmp.Compare(c.rank(), chosen.rank()), cmp.Compare(c.lastSeen(), chosen.lastSeen())) < 0 {
			chosen = c
		}
	}
	if chosen == nil {
		return nil, nil, why
	}
	yield := b.mark(chosen, why, chosen.action())
	b.closed(chosen)
	b.insert(s)
	return s, []Yield{yield}, NoReason
}

// replaceable reports whether a connection may be closed for a new one.
func (s *Sender) replaceable(now time.Duration) bool {
	switch s.phase {
	case Closing, Idle:
		return true
	case Head, Body:
		return s.stalled(now)
	}
	return false
}

// rank orders the connections that may be closed.
func (s *Sender) rank() int {
	switch {
	case s.phase == Closing:
		return 0
	case s.phase == Idle && !s.served:
		return 1
	case s.phase != Idle:
		return 2
	}
	return 3
}

func (s *Sender) lastSeen() time.Duration { return max(s.since, s.progressed) }

// stalled reports whether a sender has stopped or sends so slowly that its caller cannot
// wait any more.
func (s *Sender) stalled(now time.Duration) bool {
	return !s.waiting && now-s.progressed >= stallTime || now-s.since >= slowTime
}

// Charge decides on further bytes of a request that is being received, of which received
// have arrived. If they do not fit, senders that have stalled yield first, then large
// requests that began later than this one, so that of many large requests the earlier ones
// are received to their end. A charge that no such sender makes room for is refused.
func (b *Budget) Charge(s *Sender, bytes int64, received int, now time.Duration) (Verdict, []Yield, Reason) {
	if s.received += received; s.received >= progressBytes || s.waiting {
		s.progressed, s.received = now, 0
	}
	s.waiting = false
	if s.yielded != NoReason {
		return Refused, nil, s.yielded
	}
	if s.charged+bytes > b.limits.AddressBytes {
		return Refused, nil, BodyTooLarge // it would not fit into an empty budget
	}
	missing, ofLarge, ofAddress := b.missing(s, bytes)
	if missing <= 0 {
		b.add(s, bytes)
		return Granted, nil, NoReason
	}
	why := NoMemory
	if ofAddress {
		why = AddressMemory
	}
	yields, freed := []Yield(nil), b.yielding
	for _, c := range b.candidates(s, ofLarge, ofAddress, now) {
		if freed >= missing {
			break
		}
		freed += c.charged
		reason := why
		if c.stalled(now) {
			reason = Stalled
		}
		yields = append(yields, Yield{Sender: c, Reason: reason, Action: c.action()})
	}
	if freed < missing {
		return Refused, nil, why
	}
	for _, y := range yields {
		b.mark(y.Sender, y.Reason, y.Action)
	}
	s.waiting = true
	return Wait, yields, NoReason
}

// missing returns how many bytes are missing for a charge, and whether they are missing in
// the part for large requests or, beyond that, in the part of the sender's address.
func (b *Budget) missing(s *Sender, bytes int64) (missing int64, ofLarge, ofAddress bool) {
	missing = b.total + bytes - b.limits.Bytes
	after := s.charged + bytes
	if after <= smallBytes {
		return missing, false, false
	}
	more := after - s.largeCharge()
	if m := b.large + more - (b.limits.Bytes - b.limits.Reserved); m > missing {
		missing, ofLarge = m, true
	}
	if m := b.addresses[s.address].large + more - b.limits.AddressBytes; m > missing {
		missing, ofLarge, ofAddress = m, true, true
	}
	return missing, ofLarge, ofAddress
}

// candidates returns the senders that may have to yield to s, in this order.
func (b *Budget) candidates(s *Sender, ofLarge, ofAddress bool, now time.Duration) []*Sender {
	var stalled, later []*Sender
	for c := range b.senders {
		switch {
		case c == s || c.yielded != NoReason || c.charged == 0 || c.phase == Running || c.phase == Closing,
			ofLarge && c.largeCharge() == 0, ofAddress && c.address != s.address:
		case c.stalled(now):
			stalled = append(stalled, c)
		case c.largeCharge() > 0 && c.since > s.since:
			later = append(later, c)
		}
	}
	slices.SortFunc(stalled, func(x, y *Sender) int { return cmp.Compare(x.progressed, y.progressed) })
	slices.SortFunc(later, func(x, y *Sender) int { return cmp.Compare(y.since, x.since) })
	return append(stalled, later...)
}
