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

// Table is the platform table of run records.
const Table = "programs"

// Key names a run. The customer is part of it, so that two customers that use
// the same run name never meet.
type Key struct {
	Customer string
	Run      string
}

// Slot returns the slot that holds the run.
func (k Key) Slot() ownership.Slot { return ownership.ProgramSlot(k.Customer, k.Run) }

// RowKey returns the key of the run's row.
func (k Key) RowKey() platform.Key {
	return platform.Key{Table: Table, Key: SlotPrefix(k.Slot()) + k.Customer + "/" + k.Run}
}

// SlotPrefix is the common prefix of the row keys of a slot's runs.
func SlotPrefix(s ownership.Slot) string { return fmt.Sprintf("%04x/", uint16(s)) }

// Kind tells what a turn called.
type Kind uint8

// The kinds of turns.
const (
	// ModelTurn adds to the history and may be run again.
	ModelTurn Kind = iota
	// IdempotentCall is a plain service call that may be repeated.
	IdempotentCall
	// NonIdempotentCall is a plain service call that runs at most once.
	NonIdempotentCall
)

// ParseRowKey reads the run and the slot from a row key.
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
	// Body is shared by all copies of the record, since its place is known only
	// when the batch that holds it is formed.
	Body *journal.BodyRef `msgpack:"b"`
	// Level counts how often the segment was merged; 0 is a single turn. A merged
	// segment has the last of its turns as Turn and the bodies of its model turns
	// one after another as its body.
	Level uint8 `msgpack:"l,omitempty"`
}

// IntentState tells what is known of a non-idempotent call.
type IntentState uint8

// The states of an intent.
const (
	// IntentPending means that the call may be running.
	IntentPending IntentState = iota
	// IntentUnknown means that nobody will learn whether it ran without a settlement.
	IntentUnknown
)

// Intent is a non-idempotent call that was announced before its dispatch.
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
	// Turn is the number of the last turn that ended.
	Turn     uint64    `msgpack:"t"`
	Segments []Segment `msgpack:"sg,omitempty"`
	Intent   *Intent   `msgpack:"in,omitempty"`
	// Merged lists the hashes of callers' request ids whose turns were merged. Their
	// repeats are refused as run.
	Merged []uint64 `msgpack:"mi,omitempty"`
	// Settled lists the request ids of unknown calls that were settled as run.
	Settled []Settled `msgpack:"se,omitempty"`
	// Ceiling is the amount that may have been spent of the root's budget. After a
	// takeover it counts as spent, so that spending in flight is never lost.
	Ceiling Amount `msgpack:"c"`
	// StartedUnix and ActiveUnix are wall-clock seconds for the wall-clock budget
	// and the idle bound; they survive takeovers.
	StartedUnix int64 `msgpack:"su"`
	ActiveUnix  int64 `msgpack:"au"`
	// ContextTokens is the size of the history as the engine last counted it.
	ContextTokens int64 `msgpack:"ct,omitempty"`
	// Holders lists the replicas that may hold KV cache of the run.
	Holders []Holder `msgpack:"h,omitempty"`
}

// Settled is an unknown call that a caller or operator declared as run.
type Settled struct {
	Turn      uint64           `msgpack:"t"`
	RequestID string           `msgpack:"i"`
	Outcome   refusal.RunState `msgpack:"o"`
}

// Holder is a replica that may hold KV cache of the run.
type Holder struct {
	Endpoint string `msgpack:"e"`
	Replica  string `msgpack:"r"`
}

// Encode returns the row's value.
func (r *Record) Encode() []byte {
	b, _ := msgpack.Marshal(r) // a plain struct cannot fail
	return b
}

// DecodeRecord reads a row.
func DecodeRecord(row platform.Row) (Record, error) {
	var r Record
	if err := msgpack.Unmarshal(row.Value, &r); err != nil {
		return Record{}, fmt.Errorf("program row %s: %w", row.Key.Key, err)
	}
	return r, nil
}

func (r *Record) clone() Record {
	c := *r
	c.Segments = append([]Segment(nil), r.Segments...)
	c.Merged = append([]uint64(nil), r.Merged...)
	c.Settled = append([]Settled(nil), r.Settled...)
	c.Holders = append([]Holder(nil), r.Holders...)
	if r.Intent != nil {
		intent := *r.Intent
		c.Intent = &intent
	}
	return c
}

// addHolder puts the holder last, where affinity looks first.
func (r *Record) addHolder(h Holder) {
	if h.Replica == "" {
		return
	}
	r.Holders = slices.DeleteFunc(r.Holders, func(known Holder) bool { return known == h })
	r.Holders = append(r.Holders, h)
}

func unix(now time.Time) int64 { return now.Unix() }
