package program

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hornbeamvale.example/hornbeamvale/internal/process/journal"
	"hornbeamvale.example/hornbeamvale/internal/process/ownership"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// TableName is the name of the platform table of run records.
const TableName = "programs"

// Key identifies a run. It includes the customer, so that runs of two customers
// with the same run name stay separate.
type Key struct {
	Customer string
	Run      string
}

// Slot returns the slot that holds the run.
func (k Key) Slot() ownership.Slot { return ownership.ProgramSlot(k.Customer, k.Run) }

// RowKey returns the key of the run's row.
func (k Key) RowKey() platform.Key {
	return platform.Key{Table: TableName, Key: SlotPrefix(k.Slot()) + k.Customer + "/" + k.Run}
}

// SlotPrefix is the common prefix of the row keys of a slot's runs.
func SlotPrefix(s ownership.Slot) string { return fmt.Sprintf("%04x/", uint16(s)) }

// Kind is the kind of call that a turn makes.
type Kind uint8

// The kinds of turns.
const (
	// ModelTurn calls a model. It adds to the history and may be run again.
	ModelTurn Kind = iota
	// IdempotentCall is a plain service call that may be repeated.
	IdempotentCall
	// NonIdempotentCall is a plain service call that runs at most once.
	NonIdempotentCall
)

// ParseRowKey returns the run and the slot that a row key encodes.
func ParseRowKey(key string) (Key, ownership.Slot, bool) {
	prefix, rest, ok := strings.Cut(key, "/")
	if !ok {
		return Key{}, 0, false
	}
	slot, ok := ownership.ParseSlot(prefix)
	if !ok {
		return Key{}, 0, false
	}
	customer, run, ok := strings.Cut(rest, "/")
	return Key{Customer: customer, Run: run}, slot, ok
}

// Digest identifies the content of a request.
type Digest [16]byte

// Segment refers to the durable body of one turn, or of several merged turns.
type Segment struct {
	Turn      uint64 `msgpack:"t"`
	Kind      Kind   `msgpack:"k"`
	RequestID string `msgpack:"i,omitempty"`
	Digest    Digest `msgpack:"d"`
	// Body refers to the stored body. All copies of the record share the pointer,
	// since the reference is set only when the batch that holds the body is formed.
	Body *journal.BodyRef `msgpack:"b"`
	// Level is the number of times the segment was merged; 0 is a single turn. Turn
	// of a merged segment is its last turn, and its body is the concatenation of the
	// bodies of its model turns.
	Level uint8 `msgpack:"l,omitempty"`
}

// IntentState says what is known about the execution of a non-idempotent call.
type IntentState uint8

// The states of an intent.
const (
	// IntentPending means that the call may be running.
	IntentPending IntentState = iota
	// IntentUnknown means that only a settlement can tell whether the call ran.
	IntentUnknown
)

// Intent records a non-idempotent call. It is journaled before the dispatch.
type Intent struct {
	Turn      uint64      `msgpack:"t"`
	RequestID string      `msgpack:"i"`
	Digest    Digest      `msgpack:"d"`
	Endpoint  string      `msgpack:"e"`
	State     IntentState `msgpack:"s"`
}

// Status is the state of a run.
type Status uint8

// The states of a run.
const (
	Active Status = iota
	Ended
)

// Record is the durable state of a run, one row of the platform's table.
type Record struct {
	Status Status `msgpack:"st"`
	// Turn is the number of the last completed turn.
	Turn     uint64    `msgpack:"t"`
	Segments []Segment `msgpack:"sg,omitempty"`
	Intent   *Intent   `msgpack:"in,omitempty"`
	// MergedIDs lists the hashes of the request ids of merged turns that callers gave.
	// A repeat of such a turn is refused with the state that the request ran.
	MergedIDs []uint64 `msgpack:"mi,omitempty"`
	// Settled lists the calls with an unknown outcome that were settled as run.
	Settled []SettledCall `msgpack:"se,omitempty"`
	// Ceiling is an upper bound of what may have been spent of the root's budget.
	// After a takeover it counts as spent, so that the spending of calls that were
	// in flight is never lost.
	Ceiling Amount `msgpack:"c"`
	// StartedUnix and ActiveUnix are the start and the last activity in seconds of
	// Unix time, for the wall-clock budget and the idle bound. They survive takeovers.
	StartedUnix int64 `msgpack:"su"`
	ActiveUnix  int64 `msgpack:"au"`
	// ContextTokens is the size of the history in tokens, as last reported by the
	// engine.
	ContextTokens int64 `msgpack:"ct,omitempty"`
	// Holders lists the replicas that may hold KV cache of the run, the most recent
	// one last.
	Holders []Holder `msgpack:"h,omitempty"`
}

// SettledCall is a call with an unknown outcome that its caller or an operator settled
// as run.
type SettledCall struct {
	Turn      uint64           `msgpack:"t"`
	RequestID string           `msgpack:"i"`
	Outcome   refusal.RunState `msgpack:"o"`
}

// Holder is a replica that may hold KV cache of the run.
type Holder struct {
	Endpoint string `msgpack:"e"`
	Replica  string `msgpack:"r"`
}

// Encode returns the record as the value of its row.
func (r *Record) Encode() []byte {
	b, _ := msgpack.Marshal(r) // marshalling a plain struct cannot fail
	return b
}

// DecodeRecord decodes the record of a row.
func DecodeRecord(row platform.Row) (Record, error) {
	var r Record
	if err := msgpack.Unmarshal(row.Value, &r); err != nil {
		return Record{}, fmt.Errorf("decode program row %q: %w", row.Key.Key, err)
	}
	return r, nil
}

func (r *Record) clone() Record {
	c := *r
	c.Segments = append([]Segment(nil), r.Segments...)
	c.MergedIDs = append([]uint64(nil), r.MergedIDs...)
	c.Settled = append([]SettledCall(nil), r.Settled...)
	c.Holders = append([]Holder(nil), r.Holders...)
	if r.Intent != nil {
		intent := *r.Intent
		c.Intent = &intent
	}
	return c
}

// addHolder makes the holder the last one in the list, which affinity prefers.
func (r *Record) addHolder(h Holder) {
	if h.Replica == "" {
		return
	}
	r.Holders = slices.DeleteFunc(r.Holders, func(known Holder) bool { return known == h })
	r.Holders = append(r.Holders, h)
}

func unix(now time.Time) int64 { return now.Unix() }
