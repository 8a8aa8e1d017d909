// Package platform is the client of the platform's services: the transactional
// table service, the object store and the list of VMs. docs/platform.md
// describes the protocol. The package also declares PartitionedStore, the table service
// of a platform with another protocol; its client is in package platform/connection.
package platform

import (
	"context"
	"errors"
)

// Key identifies a row.
type Key struct {
	Table string `json:"table"`
	Key   string `json:"key"`
}

// Row is a row as read. Revision is the number of the transaction that wrote it last;
// the numbers are service-wide and increase.
type Row struct {
	Key      `msgpack:"k,noinline"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	// Deleted marks a tombstone; only Since reads return tombstones.
	Deleted bool `json:"deleted,omitempty"`
}

// Condition holds if the row's revision equals Revision; 0 means that the row is absent.
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

// Tx is a transaction: all writes are applied if all conditions hold, otherwise none.
type Tx struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// TxResult is the outcome of a transaction that the service has answered.
type TxResult struct {
	Committed bool `json:"committed"`
	// Revision is the revision that every written row got.
	Revision uint64 `json:"revision,omitempty"`
	// Failed lists the indexes of the conditions that did not hold.
	Failed []int `json:"failed,omitempty"`
}

// Since selects the rows of a table that have a key prefix and changed after a
// revision, including tombstones. The result is in revision order and is cut at Limit
// rows, but never between rows of the same revision.
type Since struct {
	Table    string `json:"table"`
	Prefix   string `json:"prefix,omitempty"`
	Revision uint64 `json:"revision"`
	Limit    int    `json:"limit,omitempty"`
}

// Read is a read request. The service counts it as one read, however many rows it
// selects.
type Read struct {
	Gets  []Key   `json:"gets,omitempty"`
	Since []Since `json:"since,omitempty"`
}

// ReadResult answers a Read. Rows has a row for each of Gets in the same order, with
// Revision 0 if the row is absent. Changes has the rows for each Since. Revision is the
// service's revision at the time of the read. A caller that has all rows up to it
// (More is false) continues from there.
type ReadResult struct {
	Revision uint64  `json:"revision"`
	Rows     []Row   `json:"rows,omitempty"`
	Changes  [][]Row `json:"changes,omitempty"`
	More     []bool  `json:"more,omitempty"`
}

// VMState is a VM's state in the platform's list.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's list of VMs. The list lags behind: an entry does not
// prove that the VM is in this state now.
type VM struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Endpoint is the endpoint whose replica runs on the VM; empty for entry VMs.
	Endpoint string  `json:"endpoint,omitempty"`
	State    VMState `json:"state"`
}

// ErrorKind says what a caller may conclude from a failed call.
type ErrorKind string

const (
	// NotApplied means that the call certainly had no effect.
	NotApplied ErrorKind = "not_applied"
	// OutcomeUnknown means that a write may have taken effect.
	OutcomeUnknown ErrorKind = "outcome_unknown"
	// NotFound means that the object does not exist.
	NotFound ErrorKind = "not_found"
	// Exists means that there is already an object with this key.
	Exists ErrorKind = "exists"
)

// Error is the error of a call to the platform.
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

// KindOf returns the kind of an *Error in err's chain. Any other error is
// OutcomeUnknown.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return OutcomeUnknown
}

// Client gives access to the platform's services. All errors are of type *Error.
type Client interface {
	Commit(ctx context.Context, tx Tx) (TxResult, error)
	Read(ctx context.Context, r Read) (ReadResult, error)
	// PutObject stores a new object. It fails with Exists if the key is in use, since
	// an object is never overwritten.
	PutObject(ctx context.Context, key string, body []byte) error
	GetObject(ctx context.Context, key string) ([]byte, error)
	// GetObjectRange reads length bytes from offset. It fails if the object ends before.
	GetObjectRange(ctx context.Context, key string, offset, length int64) ([]byte, error)
	DeleteObject(ctx context.Context, key string) error
	VMs(ctx context.Context) ([]VM, error)
}
