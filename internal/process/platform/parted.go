package platform

import (
	"context"
	"time"
)

// HistoryGone means that the changes after the requested revision are no longer
// kept: the table has to be read whole.
const HistoryGone ErrorKind = "history_gone"

// Overloaded is certain: the service did nothing, since it gets more calls than it
// takes, from all VMs together or from this one. The call may be made again later.
const Overloaded ErrorKind = "overloaded"

// DidNothing says whether a call certainly had no effect.
func (k ErrorKind) DidNothing() bool { return k == NotApplied || k == Overloaded }

// RangeQuery names the rows of one part of a table with From <= key < To; an empty
// To has no end.
type RangeQuery struct{ Table, Part, From, To string }

// Page holds rows as of one moment.
type Page struct {
	Rows []Row
	// Revision is the store's revision at the read.
	Revision uint64
}

// PartedTx is a transaction over the rows of one part. The store applies the
// transactions of a part one after another.
type PartedTx struct {
	Part string
	Tx   `msgpack:"x,noinline"`
}

// PartedResult is the certain outcome of a PartedTx.
type PartedResult struct {
	Committed bool
	// Revision is the revision of every row written.
	Revision uint64
	// Current holds, if a condition failed, the rows of all conditions that exist.
	Current []Row
}

// PartedStore is a table service whose tables are divided into parts and whose
// changes can be awaited. All errors are of type *Error. It is safe for concurrent
// use.
type PartedStore interface {
	Transact(ctx context.Context, tx PartedTx) (PartedResult, error)
	Range(ctx context.Context, q RangeQuery) (Page, error)
	// Changes returns the rows of a table that changed after a revision, waiting for
	// at most wait until there is one.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
}
