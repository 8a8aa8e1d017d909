package ownership

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/version"
)

// SlotCount is the number of slots. It is fixed for the life of a fleet, since
// program rows are stored by slot. With 410 members, each owns 9 or 10 of the 4,096
// slots, within 1% of the mean.
const SlotCount = 4096

// Table is the platform table of slot rows.
const Table = "slots"

// Slot is a hash partition, from 0 to SlotCount-1, that one member owns at a time.
type Slot uint16

// ProgramSlot returns the slot of a program run. All sub-agents are in the slot of
// their root run.
func ProgramSlot(customer, run string) Slot {
	return hash("program", customer, version.RootRun(run))
}

// CustomerSlot returns the slot whose owner grants tokens of the customer's rate.
func CustomerSlot(customer string) Slot { return hash("customer", customer) }

// EndpointSlot returns the slot whose owner sends orders to the endpoint's replicas.
func EndpointSlot(endpoint string) Slot { return hash("endpoint", endpoint) }

func hash(parts ...string) Slot {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return Slot(d.Sum64() % SlotCount)
}

// Key returns the row key of the slot.
func (s Slot) Key() platform.Key {
	return platform.Key{Table: Table, Key: fmt.Sprintf("%04x", uint16(s))}
}

// ParseSlot parses the row key of a slot.
func ParseSlot(key string) (Slot, bool) {
	n, err := strconv.ParseUint(key, 16, 16)
	if err != nil || n >= SlotCount {
		return 0, false
	}
	return Slot(n), true
}

// Owner is the value of a slot row. The epoch increases by one with each change of
// owner.
type Owner struct {
	Member string `msgpack:"m"`
	Epoch  uint64 `msgpack:"e"`
	// Revision is the platform revision of the row. It changes only when the owner
	// changes, so a transaction with this revision as a condition fails for a former
	// owner.
	Revision uint64 `msgpack:"-"`
}

// Encode returns the row's value.
func (o Owner) Encode() []byte {
	b, _ := msgpack.Marshal(o) // a plain struct cannot fail
	return b
}

// DecodeOwner decodes a slot row.
func DecodeOwner(row platform.Row) (Owner, error) {
	var o Owner
	if err := msgpack.Unmarshal(row.Value, &o); err != nil {
		return Owner{}, fmt.Errorf("decode slot row %s: %w", row.Key.Key, err)
	}
	o.Revision = row.Revision
	return o, nil
}
