// Package turntree holds the records of programs whose turns form a tree: a turn
// names the turn that it continues, and several turns may continue the same one.
// It is pure: records are values, the store is elsewhere.
package turntree

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"

	"github.com/vmihailenco/msgpack/v5"

	"hornbeamvale.example/hornbeamvale/internal/version/hashing"
)

const (
	// PartCount is the number of parts over which programs are spread. A part of the
	// platform's store applies 300 transactions a second, the store 800 calls.
	PartCount = 8
	// groupBytes is the length of a group's name before its encoding.
	groupBytes = 12
)

// Group names the rows of one program of one customer. Programs of different
// customers never share a group.
type Group string

// GroupOf returns the group of a program.
func GroupOf(customer, program string) Group {
	sum := sha256.Sum256([]byte(strconv.Itoa(len(customer)) + ":" + customer + program))
	return Group(hex.EncodeToString(sum[:groupBytes]))
}

// Part returns the part of the store that holds the group's rows.
func (g Group) Part() string { return partName(uint64(g.PartNumber())) }

// PartNumber returns the number of that part, below PartCount.
func (g Group) PartNumber() int { return int(hashing.Sum("group", string(g)) % PartCount) }

// Parts returns the names of all parts.
func Parts() []string {
	names := make([]string, PartCount)
	for i := range names {
		names[i] = partName(uint64(i))
	}
	return names
}

func partName(i uint64) string { return "p" + strconv.FormatUint(i, 10) }

// Turn is one turn that has ended: what it added to its line.
type Turn struct {
	Customer string `msgpack:"c"`
	// Parent is the id of the turn that this one continues; empty at the start of a
	// line. A group holds the whole line of each of its turns.
	Parent string `msgpack:"p,omitempty"`
	// Input is the request's body, Output the data of the answer's events, each
	// followed by a line feed.
	Input  []byte `msgpack:"i"`
	Output []byte `msgpack:"o"`
	// Replica answered the turn, so that it probably has the line in its cache.
	Replica string `msgpack:"r,omitempty"`
}

// Account bounds the tokens that all turns of a program may generate. A turn's
// bound is reserved before it is dispatched and replaced by its use when it ends,
// so that the sum of both is never above the budget.
type Account struct {
	// Spent is the number of tokens of ended turns.
	Spent int64 `msgpack:"s"`
	// Reserved holds the bounds of running turns by their id.
	Reserved map[string]int64 `msgpack:"r,omitempty"`
}

// Reserve reserves most tokens for a turn within a budget; false if they do not
// fit. A budget of 0 has no bound. A repeated reservation changes nothing.
func (a *Account) Reserve(turn string, most, budget int64) bool {
	if _, ok := a.Reserved[turn]; ok {
		return true
	}
	if budget > 0 && a.Committed()+most > budget {
		return false
	}
	if a.Reserved == nil {
		a.Reserved = map[string]int64{}
	}
	a.Reserved[turn] = most
	return true
}

// Settle replaces a turn's reservation by its use. A turn that has no reservation
// was settled before.
func (a *Account) Settle(turn string, used int64) bool {
	if _, ok := a.Reserved[turn]; !ok {
		return false
	}
	delete(a.Reserved, turn)
	a.Spent += used
	return true
}

// Committed returns the tokens that are spent or reserved.
func (a *Account) Committed() int64 {
	sum := a.Spent
	for _, n := range a.Reserved {
		sum += n
	}
	return sum
}

// Error is this package's error.
type Error struct {
	Record string
	Err    error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("record %s: %v", e.Record, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Encode returns the stored form of a record.
func Encode(record any) ([]byte, error) {
	data, err := msgpack.Marshal(record)
	if err != nil {
		return nil, &Error{Record: fmt.Sprintf("%T", record), Err: err}
	}
	return data, nil
}

// DecodeTurn reads a stored turn.
func DecodeTurn(data []byte) (Turn, error) {
	var t Turn
	if err := msgpack.Unmarshal(data, &t); err != nil {
		return Turn{}, &Error{Record: "turn", Err: err}
	}
	return t, nil
}

// DecodeAccount reads a stored account; no data is the account of a new program.
func DecodeAccount(data []byte) (Account, error) {
	var a Account
	if len(data) == 0 {
		return a, nil
	}
	if err := msgpack.Unmarshal(data, &a); err != nil {
		return Account{}, &Error{Record: "account", Err: err}
	}
	return a, nil
}
