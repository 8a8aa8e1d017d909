package fleet

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hornbeamvale.example/hornbeamvale/internal/process/platform"
)

// SeatTable holds one row for each VM of the fleet, under its address.
const SeatTable = "fleet-seats"

const (
	// seatPoll is the time between two reads of the seats.
	seatPoll = 2 * time.Second
	// seatRenewal is the time between two writes of the own seat. A seat that was not
	// renewed for seatTTL is dropped; until then its part of the rates is not used by
	// anybody else, since its holder may only be cut off.
	seatRenewal = 15 * time.Second
	seatTTL     = 60 * time.Second
	// joinWait is how long a new seat is not used: by then every VM that can reach the
	// store has read it and divides the rates by one more.
	joinWait = seatPoll + time.Second
	// peerPause is how long a VM that did not answer is not asked.
	peerPause = time.Second
)

// Seat is a VM's place in the fleet.
type Seat struct {
	VM string `msgpack:"vm"`
	// Address is where it listens for other VMs, IP:port. It identifies the seat: a
	// process that starts again on the same VM takes its seat over.
	Address    string `msgpack:"a"`
	DataCentre string `msgpack:"d"`
	// Renewal counts the writes of this process.
	Renewal uint64 `msgpack:"n"`
}

// seatView is what a VM knows of the seats.
type seatView struct {
	self Seat
	// held are the seats on the list by address, with when their row last changed.
	held   map[string]seatState
	failed map[string]time.Time // by VM
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

// count returns by how many seats the rates are divided.
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

// others returns the seats of other VMs that answer, ordered by address.
func (v *seatView) others() []Seat {
	now := time.Now()
	return slices.DeleteFunc(v.all(), func(s Seat) bool {
		return s.Address == v.self.Address || now.Sub(v.failed[s.VM]) < peerPause
	})
}

// peerFailed says that a VM did not answer.
type peerFailed struct{ seat string }

// Apply implements Event.
func (e peerFailed) Apply(s *State, now time.Time) { s.seats.failed[e.seat] = now }

// keepSeat writes the own seat and reads those of the others until ctx ends.
func (l *Loop) keepSeat(ctx context.Context) {
	self := l.config.Self
	var renewed time.Time
	heldBefore, looked := false, false
	for ctx.Err() == nil {
		if !looked {
			e, err := l.readSeats(ctx)
			l.note("seats", err)
			if err != nil {
				sleep(ctx, watchPause)
				continue
			}
			looked = true
			heldBefore = slices.ContainsFunc(e.seats, func(s seatState) bool { return s.Address == self.Address })
		}
		if renewed.IsZero() || time.Since(renewed) >= seatRenewal {
			self.Renewal++
			if err := l.writeSeat(ctx, self); err != nil {
				l.note("seat", err)
				sleep(ctx, watchPause)
				continue
			}
			renewed = time.Now()
		}
		e, err := l.readSeats(ctx)
		l.note("seats", err)
		if err != nil {
			sleep(ctx, watchPause)
			continue
		}
		e.heldBefore = heldBefore
		l.post(ctx, e)
		sleep(ctx, seatPoll)
	}
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

// seatsRead is a read of all seats after the own one was written. heldBefore says
// that an earlier process of this VM held the seat, so that the others count it.
type seatsRead struct {
	seats      []seatState
	heldBefore bool
}

// Apply implements Event.
func (e seatsRead) Apply(s *State, now time.Time) {
	before := s.seats.count()
	held := map[string]seatState{}
	for _, seat := range e.seats {
		seat.changed = now
		if known, ok := s.seats.held[seat.Address]; ok && known.revision == seat.revision {
			seat.changed = known.changed
		}
		if now.Sub(seat.changed) < seatTTL {
			held[seat.Address] = seat
		}
	}
	s.seats.held = held
	if s.seats.usableFrom.IsZero() {
		s.seats.usableFrom = now
		if !e.heldBefore {
			s.seats.usableFrom = now.Add(joinWait)
		}
	}
	s.dirty = true
	if s.seats.count() != before {
		s.config.Log.State("Seats changed", "seats", s.seats.count(), "before", before)
		s.applyRates(now)
	}
}

// stepSeats begins to use the own seat when the others have had the time to see it.
func (s *State) stepSeats(now time.Time) time.Time {
	v := &s.seats
	if v.usable || v.usableFrom.IsZero() {
		return time.Time{}
	}
	if now.Before(v.usableFrom) {
		return v.usableFrom
	}
	v.usable = true
	s.applyRates(now)
	return time.Time{}
}
