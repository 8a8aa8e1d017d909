package member

import (
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hornbeamvale.example/hornbeamvale/internal/process/platform"
)

// SeatRow is the value of a seat row. The holder of a seat has a fallback share of
// every customer's rate. The seat of an evicted member stays locked for the seat
// TTL, since the member may be cut off and still use its shares. A member can
// therefore use its seat during a platform outage much longer than its slot lease.
type SeatRow struct {
	Member  string `msgpack:"m"`
	Evicted bool   `msgpack:"e,omitempty"`
}

// Encode returns the row's value.
func (s SeatRow) Encode() []byte {
	b, _ := msgpack.Marshal(s) // a plain struct cannot fail
	return b
}

// SeatKey returns the row key of a seat.
func SeatKey(n int) platform.Key {
	return platform.Key{Table: SeatsTable, Key: strconv.Itoa(n)}
}

// Seats holds the last read seat rows.
type Seats struct {
	ttl  time.Duration
	rows map[int]seatObservation
}

// seatObservation is a seat row with its revision and when it was read.
type seatObservation struct {
	SeatRow
	revision uint64
	since    time.Time
}

// NewSeats returns a Seats without rows. ttl is the seat TTL.
func NewSeats(ttl time.Duration) *Seats {
	return &Seats{ttl: ttl, rows: map[int]seatObservation{}}
}

// Apply records a seat row that was read at now. It ignores a row whose key is not a
// seat number.
func (s *Seats) Apply(now time.Time, row platform.Row) {
	n, err := strconv.Atoi(row.Key.Key)
	if err != nil {
		return
	}
	if row.Deleted {
		delete(s.rows, n)
		return
	}
	var seat SeatRow
	if msgpack.Unmarshal(row.Value, &seat) != nil {
		seat = SeatRow{} // an unreadable row keeps the seat locked
	}
	s.rows[n] = seatObservation{SeatRow: seat, revision: row.Revision, since: now}
}

// Free returns the lowest seat below count that has no row.
func (s *Seats) Free(count int) (int, bool) {
	for n := range count {
		if _, taken := s.rows[n]; !taken {
			return n, true
		}
	}
	return 0, false
}

// Vacant returns how many seats below count have no row.
func (s *Seats) Vacant(count int) int {
	vacant := count
	for n := range s.rows {
		if n < count {
			vacant--
		}
	}
	return max(0, vacant)
}

// UnlockedSeat is the seat of an evicted member that the member can no longer use.
type UnlockedSeat struct {
	Seat     int
	Revision uint64
}

// Unlocked returns the seats of evicted members whose seat TTL and margin have
// passed at readAt, the time when the last read was sent.
func (s *Seats) Unlocked(readAt time.Time) []UnlockedSeat {
	var unlocked []UnlockedSeat
	for n, row := range s.rows {
		if row.Evicted && readAt.Sub(row.since) >= s.ttl+s.ttl/marginDivisor {
			unlocked = append(unlocked, UnlockedSeat{Seat: n, Revision: row.revision})
		}
	}
	return unlocked
}
