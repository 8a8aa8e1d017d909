package program

import (
	"time"

	"hornbeamvale.example/hornbeamvale/operator"
)

// Amount is an amount of the resources that a budget limits.
type Amount struct {
	Turns     int64 `msgpack:"n,omitempty"`
	Tokens    int64 `msgpack:"t,omitempty"`
	MicroCost int64 `msgpack:"m,omitempty"`
}

// Plus returns the sum of a and b.
func (a Amount) Plus(b Amount) Amount {
	return Amount{a.Turns + b.Turns, a.Tokens + b.Tokens, a.MicroCost + b.MicroCost}
}

// Minus returns a less b.
func (a Amount) Minus(b Amount) Amount {
	return Amount{a.Turns - b.Turns, a.Tokens - b.Tokens, a.MicroCost - b.MicroCost}
}

// Within says whether no component of a exceeds that of b.
func (a Amount) Within(b Amount) bool {
	return a.Turns <= b.Turns && a.Tokens <= b.Tokens && a.MicroCost <= b.MicroCost
}

func (a Amount) min(b Amount) Amount {
	return Amount{min(a.Turns, b.Turns), min(a.Tokens, b.Tokens), min(a.MicroCost, b.MicroCost)}
}

func (a Amount) max(b Amount) Amount {
	return Amount{max(a.Turns, b.Turns), max(a.Tokens, b.Tokens), max(a.MicroCost, b.MicroCost)}
}

// ceilingTurns is the number of further turns that the durable ceiling covers, so
// that a later turn need not wait for the journal before its dispatch.
const ceilingTurns = 2

// unbounded is the value of an Amount's component that has no limit.
const unbounded = int64(1) << 60

// budgetLimit returns a configured budget as an amount. In the configuration 0
// means no limit.
func budgetLimit(b operator.Budget) Amount {
	bound := func(v int64) int64 {
		if v == 0 {
			return unbounded
		}
		return v
	}
	return Amount{bound(b.Turns), bound(b.Tokens), bound(b.MicroCost)}
}

// spending accounts for the spending of a root run and all its sub-agents.
type spending struct {
	limit Amount
	wall  time.Duration // wall-clock limit; 0 means no limit
	// spent is what finished calls have spent, reserved is what calls in flight may
	// spend.
	spent, reserved Amount
	// ceiling is the durable upper bound of spent plus reserved. A call that exceeds
	// it is dispatched only after a record with a higher ceiling is durable.
	ceiling Amount
}

// fits says whether the budget allows another reservation of a.
func (s *spending) fits(a Amount) bool { return s.spent.Plus(s.reserved).Plus(a).Within(s.limit) }

// reserve reserves an amount and reports whether the durable ceiling covers it.
// Components without a limit need no ceiling.
func (s *spending) reserve(a Amount) (covered bool) {
	s.reserved = s.reserved.Plus(a)
	return s.spent.Plus(s.reserved).onlyLimited(s.limit).Within(s.ceiling)
}

// onlyLimited returns a with the components that have no limit set to 0.
func (a Amount) onlyLimited(limit Amount) Amount {
	if limit.Turns == unbounded {
		a.Turns = 0
	}
	if limit.Tokens == unbounded {
		a.Tokens = 0
	}
	if limit.MicroCost == unbounded {
		a.MicroCost = 0
	}
	return a
}

// settle replaces a reservation by what was spent. Spending above the reservation is
// charged in full and counts in the check of the next reservation.
func (s *spending) settle(reserved, spent Amount) {
	s.reserved = s.reserved.Minus(reserved)
	s.spent = s.spent.Plus(spent)
}

// nextCeiling returns the ceiling for the next record: it covers ceilingTurns
// further turns that reserve turnReserve each.
func (s *spending) nextCeiling(turnReserve Amount) Amount {
	next := s.spent.Plus(s.reserved)
	for range ceilingTurns {
		next = next.Plus(turnReserve)
	}
	return next.min(s.limit).max(s.ceiling).onlyLimited(s.limit)
}
