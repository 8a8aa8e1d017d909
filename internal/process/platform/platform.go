// Package platform is the client of the platform's services: the transactional
// table service, the object store and the list of VMs. docs/platform.md
// describes the protocol.
package platform

import (
	"context"
	"errors"
)

// Key names one row.
type Key struct {
	Table string `json:"table"`
	Key   string `json:"key"`
}

// Row is one row as read. Revision is the service-wide number of the
// transaction that wrote it last; it only grows.
type Row struct {
	Key      `msgpack:"k,noinline"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	// Deleted marks a tombstone in the answer to a Since read.
	Deleted bool `json:"deleted,omitempty"`
}

// Condition holds when the row's revision equals Revision; 0 means absent.
type Condition struct {
	Key      `msgpack:"k,noinline"`
	Revision uint64 `json:"revision"`
}

// Write sets or deletes one row.
type Write struct {
	Key    `msgpack:"k,noinline"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Tx commits all writes when all conditions hold, else none.
type Tx struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// TxResult is the certain outcome of a transaction.
type TxResult struct {
	Committed bool `json:"committed"`
	// Revision is the revision of every row written.
	Revision uint64 `json:"revision,omitempty"`
	// Failed lists the indexes of the conditions that did not hold.
	Failed []int `json:"failed,omitempty"`
}

// Since asks for the rows of a table, below a key prefix, that changed after a
// revision, tombstones included. A result is cut at Limit rows, in revision order.
type Since struct {
	Table    string `json:"table"`
	Prefix   string `json:"prefix,omitempty"`
	Revision uint64 `json:"revision"`
	Limit    int    `json:"limit,omitempty"`
}

// Read is one read request; it counts as one read whatever it asks for.
type Read struct {
	Gets  []Key   `json:"gets,omitempty"`
	Since []Since `json:"since,omitempty"`
}

// ReadResult answers Gets in their order (Revision 0 where absent) and each
// Since with its rows. Revision is the service's revision at the read; a caller
// that got all rows up to it (More is false) continues from there.
type ReadResult struct {
	Revision uint64  `json:"revision"`
	Rows     []Row   `json:"rows,omitempty"`
	Changes  [][]Row `json:"changes,omitempty"`
	More     []bool  `json:"more,omitempty"`
}

// VMState is a VM's state on the platform's list.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's lagging list. It is a hint, never a proof.
type VM struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Endpoint names the endpoint whose replica runs there; empty for entry VMs.
	Endpoint string  `json:"endpoint,omitempty"`
	State    VMState `json:"state"`
}

// ErrorKind tells what a caller may conclude from a failed call.
type ErrorKind string

const (
	// NotApplied is certain: the service did nothing.
	NotApplied ErrorKind = "not_applied"
	// OutcomeUnknown means that a write may have taken effect.
	OutcomeUnknown ErrorKind = "outcome_unknown"
	// NotFound means that the object does not exist.
	NotFound ErrorKind = "not_found"
	// Exists means that an object of that key exists already.
	Exists ErrorKind = "exists"
)

// Error is this layer's error.
type Error struct {
	Kind ErrorKind
	Op   string
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return "platform " + e.Op + ": " + string(e.Kind)
	}
	return "platform " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns what may be concluded from an error of this package; any other error
// leaves the outcome unknown.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return OutcomeUnknown
}

// Client is what the rest of the process uses of the platform. All errors are
// of type *Error.
type Client interface {
	Commit(ctx context.Context, tx Tx) (TxResult, error)
	Read(ctx context.Context, r Read) (ReadResult, error)
	// PutObject stores a new object; a key is written once.
	PutObject(ctx context.Context, key string, body []byte) error
	GetObject(ctx context.Context, key string) ([]byte, error)
	// GetObjectRange reads length bytes from offset; an object that is shorter is an
	// error.
	GetObjectRange(ctx context.Context, key string, offset, length int64) ([]byte, error)
	DeleteObject(ctx context.Context, key string) error
	VMs(ctx context.Context) ([]VM, error)
}
