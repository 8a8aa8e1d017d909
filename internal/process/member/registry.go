package member

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"hornbeamvale.example/hornbeamvale/internal/process/platform"
)

// Platform tables with the rows of members, seats and leases.
const (
	MembersTable = "members"
	SeatsTable   = "seats"
	LeasesTable  = "leases"
)

const (
	// watchersPerLease is the number of VMs that read a lease row in every poll, so
	// that two of them may fail.
	watchersPerLease = 3
	// watchAllUpTo is the fleet size up to which each VM watches all leases.
	watchAllUpTo = 16
	// sweepPolls is the number of polls in which a VM reads every lease at least
	// once. This finds an expired member whose watchers have all failed.
	sweepPolls = 30
)

// Info is the value of a member row. The row is written at the join and when a
// graceful shutdown begins, and deleted when the member leaves. A member id
// identifies one run of one process and is never reused.
type Info struct {
	VM         string `msgpack:"vm"`
	Address    string `msgpack:"a"` // peer port, IP:port
	Operator   string `msgpack:"o"` // operators' port, IP:port
	DataCentre string `msgpack:"d"`
	Region     string `msgpack:"r"`
	Seat       int    `msgpack:"s"`
	// Leaving is set when a graceful shutdown begins. A leaving member is given no
	// slots.
	Leaving bool `msgpack:"l,omitempty"`
}

// Encode returns the row's value.
func (i Info) Encode() []byte {
	b, _ := msgpack.Marshal(i) // a plain struct cannot fail
	return b
}

// DecodeInfo decodes the value of a member row.
func DecodeInfo(row platform.Row) (Info, error) {
	var i Info
	if err := msgpack.Unmarshal(row.Value, &i); err != nil {
		return Info{}, fmt.Errorf("decode member row %s: %w", row.Key.Key, err)
	}
	return i, nil
}

// LeaseRow is the value of a lease row.
type LeaseRow struct {
	// Sequence is the number of the member's last journal transaction.
	Sequence uint64 `msgpack:"s"`
}

// Encode returns the row's value.
func (l LeaseRow) Encode() []byte {
	b, _ := msgpack.Marshal(l) // a plain struct cannot fail
	return b
}

// DecodeLease decodes the value of a lease row.
func DecodeLease(row platform.Row) (LeaseRow, error) {
	var l LeaseRow
	if err := msgpack.Unmarshal(row.Value, &l); err != nil {
		return LeaseRow{}, fmt.Errorf("decode lease row %s: %w", row.Key.Key, err)
	}
	return l, nil
}

// LeaseKey returns the row key of a member's lease.
func LeaseKey(member string) platform.Key {
	return platform.Key{Table: LeasesTable, Key: member}
}

// Key returns the row key of a member.
func Key(member string) platform.Key {
	return platform.Key{Table: MembersTable, Key: member}
}

// Registry holds the last read member rows and selects the leases to watch.
type Registry struct {
	self    string
	members map[string]Info
	sweep   int // index in ids at which the current part of the sweep begins
	// ids holds the member ids in ascending order, and assigned tells which of their
	// leases this VM watches. Ranking all members takes 0.7 ms with 410 members, too
	// much for each poll, so both are kept until the members change (nil then).
	ids      []string
	assigned []bool
}

// NewRegistry returns an empty registry of the member self, which may not have
// joined yet.
func NewRegistry(self string) *Registry {
	return &Registry{self: self, members: map[string]Info{}}
}

// Set records a member row.
func (r *Registry) Set(id string, i Info) {
	if _, known := r.members[id]; !known {
		r.ids, r.assigned = nil, nil
	}
	r.members[id] = i
}

// Remove deletes a member that has left or whose lease has expired.
func (r *Registry) Remove(id string) {
	if _, known := r.members[id]; known {
		r.ids, r.assigned = nil, nil
	}
	delete(r.members, id)
}

// Get returns a member's row.
func (r *Registry) Get(id string) (Info, bool) {
	i, ok := r.members[id]
	return i, ok
}

// IDs returns the member ids in ascending order. The caller must not change the
// slice.
func (r *Registry) IDs() []string {
	if r.ids == nil {
		r.ids = slices.Sorted(maps.Keys(r.members))
	}
	return r.ids
}

// NotLeaving returns the ids of the members that are not leaving and may therefore be
// given slots, in ascending order.
func (r *Registry) NotLeaving() []string {
	return slices.DeleteFunc(slices.Clone(r.IDs()), func(id string) bool { return r.members[id].Leaving })
}

// IDSet returns the member ids as a set.
func (r *Registry) IDSet() map[string]bool {
	ids := make(map[string]bool, len(r.members))
	for id := range r.members {
		ids[id] = true
	}
	return ids
}

// NextWatched returns the members whose leases this VM reads in its next poll: those
// that rendezvous hashing assigns to it and the next part of a sweep over all
// members. Each call advances the sweep.
func (r *Registry) NextWatched() []string {
	ids := r.IDs()
	if len(ids) <= watchAllUpTo {
		return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == r.self })
	}
	if r.assigned == nil {
		r.assigned = make([]bool, len(ids))
		for n, id := range ids {
			r.assigned[n] = id != r.self && r.watches(ids, id)
		}
	}
	per := (len(ids) + sweepPolls - 1) / sweepPolls
	r.sweep = (r.sweep + per) % len(ids)
	var watched []string
	for n, id := range ids {
		if id == r.self {
			continue
		}
		swept := (n-r.sweep+len(ids))%len(ids) < per
		if swept || r.assigned[n] {
			watched = append(watched, id)
		}
	}
	return watched
}

// watches reports whether self is one of the watchers of the member, that is,
// whether fewer than watchersPerLease members rank before it.
func (r *Registry) watches(ids []string, id string) bool {
	own := rank(id, r.self)
	before := 0
	for _, other := range ids {
		if other != id && other != r.self && cmp.Less(rank(id, other), own) {
			before++
			if before == watchersPerLease {
				return false
			}
		}
	}
	return true
}

// rank returns the hash by which the watchers of a member are ordered.
func rank(member, watcher string) uint64 {
	return xxhash.Sum64String(member + "\x00" + watcher)
}
