package journal

import (
	"fmt"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/ownership"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
)

// MaxPendingBytes bounds the bodies that wait for the platform, so that a long
// outage does not exhaust the VM's memory. No new turn starts above half of it. The
// other half is reserved for turns in flight.
const MaxPendingBytes = 64 << 20

// BodyRef is the location of a record's body in an object.
type BodyRef struct {
	Object string
	Offset int64
	Length int64
}

// Fence identifies one ownership of a slot by the slot and the revision of its
// row. The revision changes only when the owner changes.
type Fence struct {
	Slot     ownership.Slot
	Revision uint64
}

// Record is one entry of a batch.
type Record struct {
	// Slot is the slot that this member must own for the record to be committed.
	Slot ownership.Slot
	// SlotRevision is the revision of the slot row when the record was made. The
	// commit requires that the row still has it.
	SlotRevision uint64
	Body         []byte
	// Writes returns the rows to write, given the location of the body.
	Writes func(BodyRef) []platform.Write
	// Done is called on the control thread: with nil after the commit, or with an
	// *Error if the record will not be committed.
	Done func(now time.Time, err error)
}

// Error reports why a record was dropped. If no field but Slot is set, the journal
// was closed.
type Error struct {
	Slot ownership.Slot
	// Fenced means that another member owns the slot now.
	Fenced bool
	// LeaseLost means that this member has lost its lease.
	LeaseLost bool
}

// Error implements error.
func (e *Error) Error() string {
	switch {
	case e.Fenced:
		return fmt.Sprintf("journal: record dropped: slot %d has another owner", e.Slot)
	case e.LeaseLost:
		return "journal: record dropped: the lease of this member has expired"
	default:
		return "journal: record dropped: the journal is closed"
	}
}

// Batch is the records of one transaction. It is immutable while it is written.
type Batch struct {
	Sequence uint64
	Object   string
	Body     []byte
	Records  []Record
	Tx       platform.Tx
	// TakenAt is the start of the first attempt, before anything was sent.
	TakenAt time.Time
	refs    []BodyRef
}

// Batcher collects records and forms batches from them. At most one batch is in
// flight.
type Batcher struct {
	member        string
	interval      time.Duration // see Config.Interval
	renewInterval time.Duration // see Config.RenewInterval

	pending       []Record
	pendingBytes  int64 // sum of the bodies in pending
	inFlight      *Batch
	retryAt       time.Time // when the batch in flight is sent again; zero during an attempt
	lastSent      time.Time // start of the last attempt; at first the join
	sequence      uint64    // of the last batch
	leaseKey      platform.Key
	leaseRow      func(sequence uint64) []byte
	leaseRevision uint64
}

// Config configures a Batcher.
type Config struct {
	Member string
	// Interval is the minimum time between two transactions.
	Interval time.Duration
	// RenewInterval is the maximum time between two transactions. Each renews the
	// lease.
	RenewInterval time.Duration
	// LeaseKey and LeaseRow return the key and the value of the lease row, which
	// each transaction rewrites.
	LeaseKey platform.Key
	LeaseRow func(sequence uint64) []byte
	// LeaseRevision is the revision of the lease row as written at join.
	LeaseRevision uint64
}

// NewBatcher returns a batcher for a member that has joined at now.
func NewBatcher(c Config, now time.Time) *Batcher {
	return &Batcher{
		member: c.Member, interval: c.Interval, renewInterval: c.RenewInterval, lastSent: now,
		leaseKey: c.LeaseKey, leaseRow: c.LeaseRow, leaseRevision: c.LeaseRevision,
	}
}

// SetInterval changes the minimum time between two transactions.
func (b *Batcher) SetInterval(d time.Duration) { b.interval = d }

// Fits reports whether a record with a body of n bytes can be added without
// exceeding MaxPendingBytes.
func (b *Batcher) Fits(n int) bool { return b.pendingBytes+int64(n) <= MaxPendingBytes }

// Add appends a record to the next batch. The caller must have checked Fits.
func (b *Batcher) Add(r Record) {
	b.pending = append(b.pending, r)
	b.pendingBytes += int64(len(r.Body))
}

// Full reports whether more than half of MaxPendingBytes waits, so that no new turn
// may start.
func (b *Batcher) Full() bool { return b.pendingBytes > MaxPendingBytes/2 }

// Idle reports whether no record waits or is in flight.
func (b *Batcher) Idle() bool { return len(b.pending) == 0 && b.inFlight == nil }

// Holds reports whether a record of the slot waits or is in flight.
func (b *Batcher) Holds(s ownership.Slot) bool {
	for _, r := range b.pending {
		if r.Slot == s {
			return true
		}
	}
	if b.inFlight != nil {
		for _, r := range b.inFlight.Records {
			if r.Slot == s {
				return true
			}
		}
	}
	return false
}

// LeaseRevision returns the last known revision of the lease row.
func (b *Batcher) LeaseRevision() uint64 { return b.leaseRevision }

// Due returns when Take will next return a batch. It is zero during an attempt to
// write one.
func (b *Batcher) Due() time.Time {
	switch {
	case b.inFlight != nil && b.retryAt.IsZero():
		return time.Time{}
	case b.inFlight != nil:
		return b.retryAt
	case len(b.pending) > 0:
		return b.lastSent.Add(b.interval)
	default:
		return b.lastSent.Add(b.renewInterval)
	}
}

// Take returns the batch to write now, or nil if none is due. A failed batch is
// returned again with the same sequence, so that an attempt whose answer was lost
// and its repeat cannot both take effect.
func (b *Batcher) Take(now time.Time) *Batch {
	due := b.Due()
	if due.IsZero() || now.Before(due) {
		return nil
	}
	b.lastSent = now
	if b.inFlight != nil {
		b.retryAt = time.Time{}
		return b.inFlight
	}
	b.sequence++
	batch := &Batch{
		Sequence: b.sequence,
		Object:   fmt.Sprintf("journal/%s/%d", b.member, b.sequence),
		Records:  b.pending,
		TakenAt:  now,
	}
	for _, r := range batch.Records {
		batch.refs = append(batch.refs, BodyRef{Object: batch.Object, Offset: int64(len(batch.Body)), Length: int64(len(r.Body))})
		batch.Body = append(batch.Body, r.Body...)
	}
	b.pending, b.pendingBytes = nil, 0
	b.buildTx(batch)
	b.inFlight = batch
	return batch
}

// buildTx builds the transaction. Its conditions are the revisions of the lease row
// and of the row of each slot with a record, so that a former owner cannot write.
func (b *Batcher) buildTx(batch *Batch) {
	tx := platform.Tx{
		Conditions: []platform.Condition{{Key: b.leaseKey, Revision: b.leaseRevision}},
		Writes:     []platform.Write{{Key: b.leaseKey, Value: b.leaseRow(batch.Sequence)}},
	}
	fences := map[Fence]bool{}
	last := map[platform.Key]int{}
	for i, r := range batch.Records {
		if f := r.fence(); !fences[f] {
			fences[f] = true
			tx.Conditions = append(tx.Conditions, platform.Condition{Key: r.Slot.Key(), Revision: r.SlotRevision})
		}
		for _, w := range r.Writes(batch.refs[i]) {
			if at, ok := last[w.Key]; ok {
				tx.Writes[at] = w // a later write of a row includes the earlier one
				continue
			}
			last[w.Key] = len(tx.Writes)
			tx.Writes = append(tx.Writes, w)
		}
	}
	batch.Tx = tx
}

// Committed completes the batch in flight after its commit. revision is the new
// revision of the lease row.
func (b *Batcher) Committed(now time.Time, revision uint64) {
	batch := b.inFlight
	b.inFlight, b.retryAt, b.leaseRevision = nil, time.Time{}, revision
	for _, r := range batch.Records {
		r.Done(now, nil)
	}
}

// Retry schedules the next attempt at the batch in flight.
func (b *Batcher) Retry(at time.Time) { b.retryAt = at }

func (r *Record) fence() Fence { return Fence{Slot: r.Slot, Revision: r.SlotRevision} }

// Fenced drops the records of ownerships that have ended and makes the rest of the
// batch due at once. The member may have become owner of a slot again since, so
// records under a newer revision are kept.
func (b *Batcher) Fenced(now time.Time, lost map[Fence]bool) {
	batch := b.inFlight
	var dropped []Record
	kept := Batch{Sequence: batch.Sequence, Object: batch.Object, Body: batch.Body, TakenAt: batch.TakenAt}
	for i, r := range batch.Records {
		if lost[r.fence()] {
			dropped = append(dropped, r)
			continue
		}
		kept.Records = append(kept.Records, r)
		kept.refs = append(kept.refs, batch.refs[i])
	}
	b.buildTx(&kept)
	b.inFlight, b.retryAt = &kept, now
	for _, r := range dropped {
		r.Done(now, &Error{Slot: r.Slot, Fenced: true})
	}
}

// Close drops all records after the loss of the lease.
func (b *Batcher) Close(now time.Time) {
	records := b.pending
	if b.inFlight != nil {
		records = append(b.inFlight.Records, records...)
	}
	b.pending, b.inFlight, b.pendingBytes, b.retryAt = nil, nil, 0, time.Time{}
	for _, r := range records {
		r.Done(now, &Error{Slot: r.Slot, LeaseLost: true})
	}
}
