package platform

import (
	"context"
	"time"
)

// HistoryGone means that the store no longer keeps all changes after the requested
// revision. The caller has to read the whole table.
const HistoryGone ErrorKind = "history_gone"

// Overloaded means that the service refused the call because it gets too many, from all
// VMs together or from this one. The call certainly had no effect and may be repeated
// later.
const Overloaded ErrorKind = "overloaded"

// Rejected means that the service refused the call for its size or form. The call certainly had
// no effect, and to repeat it is no use.
const Rejected ErrorKind = "rejected"

// Interrupted means that the service had begun its reply to a read, and the call ended before the
// whole of it had come. The service is sound, and the caller or the VM is slow.
const Interrupted ErrorKind = "interrupted"

// HadNoEffect reports whether the failed call certainly had no effect.
func (k ErrorKind) HadNoEffect() bool {
	return k == NotApplied || k == Overloaded || k == Rejected
}

// Limits of a PartitionedStore.
const (
	// MaxTxEntries is the largest number of conditions and writes of a transaction.
	MaxTxEntries = 100
	// MaxTxBytes is the largest size of a transaction after its encoding.
	MaxTxBytes = 1_000_000
)

// RangeQuery selects the rows of one partition of a table with From <= key < To. An
// empty To means no upper bound.
type RangeQuery struct {
	Table, Part, From, To string
	// FirstPage asks for the rows of the store's first reply only. VMs of builds up to 7f97bc3
	// return all rows.
	FirstPage bool `msgpack:",omitempty"`
	// Limit is the largest number of rows of a reply; 0 for as many as the store sends. It
	// needs FirstPage. VMs of builds up to 7102817 ignore it.
	Limit int `msgpack:",omitempty"`
	// ReplyWithin is how long a direct call may wait for the beginning of the reply; 0 for no
	// limit but that of the call. A large reply may then take as long as the call.
	ReplyWithin time.Duration `msgpack:"-"`
}

// Page is a consistent read of rows.
type Page struct {
	Rows []Row
	// Revision is the store's revision at the time of the read.
	Revision uint64
	// StoreClock is what the store's steady clock showed then, since a fixed time in the
	// past; 0 if it is unknown, as it is through a VM of a build before this field.
	StoreClock time.Duration `msgpack:",omitempty"`
	// More is set if rows of the range follow, which only happens with FirstPage.
	More bool `msgpack:",omitempty"`
}

// PartitionTx is a transaction over the rows of one partition. The store applies the
// transactions of a partition one after another.
type PartitionTx struct {
	Part string
	Tx   `msgpack:"x,noinline"`
}

// minSendRate is the rate in bytes per second at which a slow VM encodes and sends a transaction.
const minSendRate = 1 << 20

// SendTime returns how much longer than a small transaction a transaction of this size may take.
func (t PartitionTx) SendTime() time.Duration {
	size := 0
	for _, w := range t.Writes {
		size += len(w.Value)
	}
	return time.Duration(size) * time.Second / minSendRate
}

// PartitionTxResult is the outcome of a PartitionTx that the store has answered.
type PartitionTxResult struct {
	Committed bool
	// Revision is the revision that every written row got.
	Revision uint64
	// Current holds the existing rows among those that the conditions name; set only if
	// a condition failed.
	Current []Row
}

// PartitionedStore is a table service whose tables are partitioned and whose changes can be
// awaited. All errors are of type *Error. It is safe for concurrent use.
type PartitionedStore interface {
	Transact(ctx context.Context, tx PartitionTx) (PartitionTxResult, error)
	Range(ctx context.Context, q RangeQuery) (Page, error)
	// Changes returns the rows of a table that changed after a revision. If there is
	// none, it waits for one for at most wait.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
}
