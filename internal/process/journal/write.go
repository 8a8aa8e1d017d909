package journal

import (
	"context"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/member"
	"hornbeamvale.example/hornbeamvale/internal/process/ownership"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
)

// WriteResult is the known result of one attempt to write a batch.
type WriteResult struct {
	// SentAt is a time before the transaction took effect. The lease is counted
	// from it.
	SentAt time.Time
	// Committed is true only if the batch has certainly been committed.
	// LeaseRevision is then the revision of the lease row.
	Committed     bool
	LeaseRevision uint64
	// Fenced holds the ownerships of the batch that have ended.
	Fenced map[Fence]bool
	// LeaseLost means that the lease row was deleted or written by another process.
	LeaseLost bool
	// Err is set when the attempt failed and the same batch has to be sent again.
	Err error
}

// Write makes one attempt to write a batch. If its answer is lost, Write reads the
// lease row, which holds the sequence of the last transaction that took effect.
func Write(ctx context.Context, c platform.Client, b *Batch) WriteResult {
	if len(b.Body) > 0 {
		err := c.PutObject(ctx, b.Object, b.Body)
		if err != nil && platform.KindOf(err) != platform.Exists {
			return WriteResult{Err: err}
		}
	}
	sentAt := clock.Now()
	result, err := c.Commit(ctx, b.Tx)
	switch {
	case err != nil:
		return resolve(ctx, c, b, err)
	case result.Committed:
		return WriteResult{SentAt: sentAt, Committed: true, LeaseRevision: result.Revision}
	}
	fenced := map[Fence]bool{}
	for _, i := range result.Failed {
		if i == 0 {
			return resolve(ctx, c, b, nil)
		}
		if c := b.Tx.Conditions[i]; c.Table == ownership.Table {
			if s, ok := ownership.ParseSlot(c.Key.Key); ok {
				fenced[Fence{Slot: s, Revision: c.Revision}] = true
			}
		}
	}
	return WriteResult{SentAt: sentAt, Fenced: fenced}
}

// resolve reads the lease row to determine the outcome of an attempt whose effect is
// not known, or whose lease condition failed, possibly because an earlier attempt
// took effect.
func resolve(ctx context.Context, c platform.Client, b *Batch, cause error) WriteResult {
	leaseKey := b.Tx.Conditions[0].Key
	read, err := c.Read(ctx, platform.Read{Gets: []platform.Key{leaseKey}})
	if err != nil {
		return WriteResult{Err: err}
	}
	if len(read.Rows) != 1 || read.Rows[0].Revision == 0 {
		return WriteResult{LeaseLost: true}
	}
	row := read.Rows[0]
	lease, err := member.DecodeLease(row)
	switch {
	case err != nil:
		return WriteResult{LeaseLost: true}
	case lease.Sequence == b.Sequence:
		// The row shows that one of the attempts took effect, but not which one, so
		// the lease is counted from the start of the first.
		return WriteResult{SentAt: b.TakenAt, Committed: true, LeaseRevision: row.Revision}
	case row.Revision != b.Tx.Conditions[0].Revision:
		return WriteResult{LeaseLost: true}
	default:
		return WriteResult{Err: cause}
	}
}
