package fleet

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/version/hashing"
)

// SeatTable holds one row for each VM of the fleet, under its address.
const SeatTable = "fleet-seats"

const (
	// seatPoll is the time between two reads of the seats, with a renewal of the own
	// one before each. A seat that others have not seen renewed for seatTTL is dropped;
	// until then nobody uses its part of the rates, since its holder may only be cut
	// off. The holder stops after seatUse.
	seatPoll = 2500 * time.Millisecond
	seatUse  = 8 * time.Second
	seatTTL  = 10 * time.Second
	// seatRemoval is when the row of a silent seat is deleted. Processes that start
	// later then do not count it for another seatTTL.
	seatRemoval = seatTTL + 5*time.Second
	// joinWait is how long a new seat, or a part of a rate that moved to this VM, is
	// not used: by then every VM that can reach the store has read the change.
	joinWait = seatPoll + time.Second
	// peerPause is how long a VM that did not answer is not asked.
	peerPause = time.Second
)

// Seat is a VM's place in the fleet.
type Seat struct {
	VM string `msgpack:"vm"`
	// Address is where it listens for other VMs, IP:port. It identifies the seat: a
	// process that starts again on the same VM takes its seat over.
	Address string `msgpack:"a"`
}

// seatView is what a VM knows of the seats.
type seatView struct {
	self Seat
	// held are the seats on the list by address, with when their row last changed.
	held map[string]seatState
	// rows are all rows of the last read, also of VMs that fell silent.
	rows map[string]seatState
	// first is set while the first read is applied: the wait for the own seat then
	// covers the parts that come with it.
	first    bool
	lastRead time.Time
	renewed  time.Time // when the last renewal of the own seat was sent
	// downUntil is when the store was last seen down for all VMs. The others count
	// the silence of a seat anew from their first read after that.
	downUntil time.Time
	failed    map[string]time.Time // by VM
	// usable says that the own seat's part of the rates may be spent, from usableFrom on.
	usable     bool
	usableFrom time.Time
}

type seatState struct {
	Seat
	revision uint64
	changed  time.Time
}

func newSeatView(self Seat) seatView {
	return seatView{self: self, held: map[string]seatState{}, failed: map[string]time.Time{}}
}

// count returns the number of seats; a VM that has read none counts itself.
func (v *seatView) count() int { return max(1, len(v.held)) }

// all returns the seats, ordered by address.
func (v *seatView) all() []Seat {
	seats := make([]Seat, 0, len(v.held))
	for _, h := range v.held {
		seats = append(seats, h.Seat)
	}
	slices.SortFunc(seats, func(a, b Seat) int { return strings.Compare(a.Address, b.Address) })
	return seats
}

// holders returns the VMs that have a part of a customer's rate: fewer for a small
// rate, so that each part holds some tokens. All VMs with the same view choose the
// same; a VM that joins or goes changes no more than one of them.
func (v *seatView) holders(customer string, rate float64) []Seat {
	type ranked struct {
		rank uint64
		seat Seat
	}
	order := make([]ranked, 0, len(v.held))
	for _, h := range v.held {
		order = append(order, ranked{hashing.Sum("holder", customer, h.Address), h.Seat})
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), strings.Compare(a.seat.Address, b.seat.Address))
	})
	chosen := make([]Seat, min(len(order), max(minHolders, int(rate/minPart))))
	for i := range chosen {
		chosen[i] = order[i].seat
	}
	return chosen
}

// isSelf says whether the own seat is among the given ones.
func (v *seatView) isSelf(seats []Seat) bool {
	return slices.ContainsFunc(seats, func(s Seat) bool { return s.Address == v.self.Address })
}

// reachable returns those of the seats of other VMs that answer.
func (v *seatView) reachable(now time.Time, seats []Seat) []Seat {
	var out []Seat
	for _, s := range seats {
		if s.Address != v.self.Address && now.Sub(v.failed[s.VM]) >= peerPause {
			out = append(out, s)
		}
	}
	return out
}

// peerFailed says that a VM did not answer.
type peerFailed struct{ seat string }

// Apply implements Event.
func (e peerFailed) Apply(s *State, now time.Time) { s.seats.failed[e.seat] = now }

// keepSeat writes the own seat and reads those of the others until ctx ends.
func (l *Loop) keepSeat(ctx context.Context) {
	heldBefore, ok := l.heldBefore(ctx)
	for ok && ctx.Err() == nil {
		renewed := time.Now()
		err := l.writeSeat(ctx, l.config.Self)
		l.note("seat", err)
		if err != nil {
			clock.Sleep(ctx, watchPause)
			continue
		}
		e, err := l.readSeats(ctx)
		l.note("seats", err)
		if err != nil {
			clock.Sleep(ctx, watchPause)
			continue
		}
		e.heldBefore, e.renewed = heldBefore, renewed
		l.post(ctx, e)
		clock.Sleep(ctx, seatPoll)
	}
}

// heldBefore says whether an earlier process of this VM holds the seat, so that the
// others count it; ok is false when ctx ends.
func (l *Loop) heldBefore(ctx context.Context) (held, ok bool) {
	for ctx.Err() == nil {
		e, err := l.readSeats(ctx)
		l.note("seats", err)
		if err == nil {
			return slices.ContainsFunc(e.seats, func(s seatState) bool { return s.Address == l.config.Self.Address }), true
		}
		clock.Sleep(ctx, watchPause)
	}
	return false, false
}

func (l *Loop) writeSeat(ctx context.Context, self Seat) error {
	value, err := msgpack.Marshal(self)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	_, err = l.config.Store.Transact(ctx, platform.PartedTx{Tx: platform.Tx{
		Writes: []platform.Write{{Key: platform.Key{Table: SeatTable, Key: self.Address}, Value: value}},
	}})
	return err
}

func (l *Loop) readSeats(ctx context.Context) (seatsRead, error) {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := l.config.Store.Range(callCtx, platform.RangeQuery{Table: SeatTable})
	if err != nil {
		return seatsRead{}, err
	}
	e := seatsRead{}
	for _, row := range page.Rows {
		var seat Seat
		if err := msgpack.Unmarshal(row.Value, &seat); err != nil {
			l.config.Log.State("Seat not readable", "seat", row.Key.Key, "err", err)
			continue
		}
		e.seats = append(e.seats, seatState{Seat: seat, revision: row.Revision})
	}
	return e, nil
}

// seatsRead is a read of all seats after the own one was renewed. heldBefore says
// that an earlier process of this VM held the seat, so that the others count it.
type seatsRead struct {
	seats      []seatState
	heldBefore bool
	renewed    time.Time
}

// Apply implements Event.
func (e seatsRead) Apply(s *State, now time.Time) {
	v := &s.seats
	before := v.all()
	v.first = v.lastRead.IsZero()
	gone := v.take(now, e.seats)
	switch {
	case v.usableFrom.IsZero() && e.heldBefore:
		v.usableFrom = now
	case v.usableFrom.IsZero() || v.lapsed(now):
		v.usableFrom = now.Add(joinWait)
	}
	v.renewed = e.renewed
	s.dirty = true
	if !slices.EqualFunc(v.all(), before, func(a, b Seat) bool { return a.Address == b.Address }) {
		s.config.Log.State("Seats changed", "seats", v.count(), "before", len(before))
		s.applyRates(now)
	}
	v.first = false
	// One VM is enough to delete the rows of VMs that are gone for good.
	if all := v.all(); len(gone) > 0 && len(all) > 0 && all[0].Address == v.self.Address {
		s.loop.start(func(ctx context.Context) { s.loop.removeSeats(ctx, gone) })
	}
}

// take replaces the seats by those of a read and returns the rows of VMs that are
// gone. Only time in which the store was read counts as silence of a VM, since
// nobody can renew while the store is away.
func (v *seatView) take(now time.Time, read []seatState) (gone []seatState) {
	pause := now.Sub(v.lastRead) - seatPoll
	held := map[string]seatState{}
	for _, seat := range read {
		seat.changed = now
		if known, ok := v.rows[seat.Address]; ok && known.revision == seat.revision {
			seat.changed = known.changed
			if pause > readTimeout {
				seat.changed = seat.changed.Add(pause)
			}
		}
		held[seat.Address] = seat
	}
	v.rows, v.held, v.lastRead = held, map[string]seatState{}, now
	for address, seat := range held {
		switch silent := now.Sub(seat.changed); {
		case silent < seatTTL || address == v.self.Address:
			v.held[address] = seat
		case silent > seatRemoval:
			gone = append(gone, seat)
		}
	}
	return gone
}

func (l *Loop) removeSeats(ctx context.Context, seats []seatState) {
	for _, seat := range seats {
		key := platform.Key{Table: SeatTable, Key: seat.Address}
		callCtx, cancel := context.WithTimeout(ctx, readTimeout)
		_, err := l.config.Store.Transact(callCtx, platform.PartedTx{Tx: platform.Tx{
			Conditions: []platform.Condition{{Key: key, Revision: seat.revision}},
			Writes:     []platform.Write{{Key: key, Delete: true}},
		}})
		cancel()
		l.note("remove seat", err)
	}
}

// stepSeats begins to use the own seat when the others have had the time to see it,
// and stops when it was not renewed for seatUse: they may drop it. While the store
// is down for all VMs nobody can.
func (s *State) stepSeats(now time.Time) time.Time {
	v := &s.seats
	if v.usableFrom.IsZero() {
		return time.Time{}
	}
	if s.config.StoreDown() {
		v.downUntil = now
	}
	switch lapsed := v.lapsed(now); {
	case v.usable && lapsed:
		v.usable, s.dirty = false, true
		s.config.Log.State("Seat not used", "renewed", now.Sub(v.renewed))
		s.applyRates(now)
	case lapsed:
	case !v.usable && !now.Before(v.usableFrom):
		v.usable, s.dirty = true, true
		s.applyRates(now)
	}
	if !v.usable && v.usableFrom.After(now) {
		return v.usableFrom
	}
	return time.Time{}
}

// lapsed says whether others may have dropped the own seat.
func (v *seatView) lapsed(now time.Time) bool {
	return now.Sub(clock.Later(v.renewed, v.downUntil)) > seatUse
}
