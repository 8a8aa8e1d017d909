package program

import (
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/journal"
	"hornbeamvale.example/hornbeamvale/internal/process/ownership"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/version"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
	"hornbeamvale.example/hornbeamvale/operator"
)

const (
	// maxWaiters is the maximum number of requests that wait for a turn of one run.
	maxWaiters = 16
	// endedRetention is how long the record of an ended run is kept, so that a late
	// repeat of one of its turns does not start a new run.
	endedRetention = time.Hour
	// requestRetention is how long the record of a call that has a request id and no
	// program is kept.
	requestRetention = 24 * time.Hour
)

// RequestRunPrefix is the prefix of the run names of calls that have a request id
// and no program. A caller's run name must not start with a colon.
const RequestRunPrefix = ":request:"

// TurnRequest is a request to start a turn.
type TurnRequest struct {
	Key       Key
	Kind      Kind
	Turn      uint64 // 0 means the next turn
	RequestID string
	Digest    Digest
	Endpoint  string
	// Reserve is an upper bound of what the turn spends, not counting the history.
	Reserve Amount
	// HistoryPrice is the price of 1,000 tokens of the history.
	HistoryPrice int64
	Budget       operator.Budget
	Deadline     time.Time // end of the wait for the turn
	// RepeatDeadline is when a repeat of the turn in flight stops waiting for the end
	// of that turn.
	RepeatDeadline time.Time
	// Waiter identifies the request in Ready, Finish and Abort. It is unique for the
	// lifetime of the process.
	Waiter uint64
}

// Verdict says how a request for a turn proceeds.
type Verdict uint8

// The verdicts.
const (
	// Wait means that the request waits; Ready returns its decision later.
	Wait Verdict = iota
	// Dispatch means that the turn is dispatched now.
	Dispatch
	// DispatchAfterCommit means that the turn is dispatched once Decision.Entry is
	// journaled.
	DispatchAfterCommit
	// Replay means that the request is answered with the recorded body.
	Replay
	// Refuse means that the request is answered with the refusal.
	Refuse
)

// Decision is the decision on a request for a turn.
type Decision struct {
	Verdict Verdict
	Waiter  uint64
	// Owner is the membership under which the turn was granted. The control loop
	// sets it.
	Owner string
	Key   Key
	Turn  uint64
	// Repeat says, for the verdict Wait, that the request repeats the turn in flight.
	Repeat   bool
	Segments []Segment // the history of a model turn, or the answer to replay
	Refusal  *refusal.Refusal
	// Merge lists segments to be merged into one. Result.Merged returns their bodies.
	Merge []Segment
	// Entry must be journaled before the dispatch.
	Entry *JournalEntry
	// Affinity is the replica that most likely holds the run's KV cache.
	Affinity Holder
	// AttainedService is the service that the run has received, in milliseconds at a
	// replica. It decides the order in queues.
	AttainedService int64

	// run and turnReserve are what withEntry needs to form Entry. For a request that
	// waited, Ready forms it when it returns the decision.
	run         *run
	turnReserve Amount
}

// JournalEntry is a change to be journaled: the rows of the run and of its root.
type JournalEntry struct {
	Slot ownership.Slot
	Body []byte
	rows []entryRow
	// parts are the parts of Body. Writes sets their references.
	parts []bodyPart
}

// bodyPart is a part of an entry's body that a segment refers to.
type bodyPart struct {
	ref            *journal.BodyRef
	offset, length int64
}

// add appends a part to the body and returns the reference to it, which Writes sets.
func (e *JournalEntry) add(body []byte) *journal.BodyRef {
	part := bodyPart{ref: &journal.BodyRef{}, offset: int64(len(e.Body)), length: int64(len(body))}
	e.Body = append(e.Body, body...)
	e.parts = append(e.parts, part)
	return part.ref
}

type entryRow struct {
	key     Key
	record  Record
	deleted bool
}

// BodyRef returns the reference to the stored body of the turn, once the entry is
// durable.
func (e *JournalEntry) BodyRef() journal.BodyRef { return e.part(0) }

// MergedBodyRef returns the reference to the stored merged body, if there is one.
func (e *JournalEntry) MergedBodyRef() journal.BodyRef { return e.part(1) }

func (e *JournalEntry) part(i int) journal.BodyRef {
	if i >= len(e.parts) {
		return journal.BodyRef{}
	}
	return *e.parts[i].ref
}

// Writes returns the row writes of the entry, whose body is stored at ref.
func (e *JournalEntry) Writes(ref journal.BodyRef) []platform.Write {
	for _, p := range e.parts {
		*p.ref = journal.BodyRef{Object: ref.Object, Offset: ref.Offset + p.offset, Length: p.length}
	}
	writes := make([]platform.Write, 0, len(e.rows))
	for i := range e.rows {
		row := &e.rows[i]
		if row.deleted {
			writes = append(writes, platform.Write{Key: row.key.RowKey(), Delete: true})
			continue
		}
		writes = append(writes, platform.Write{Key: row.key.RowKey(), Value: row.record.Encode()})
	}
	return writes
}

// run is the state of one run at its owner.
type run struct {
	key      Key
	record   Record
	root     *run // itself for a root
	spending *spending
	// current is the turn in flight: it runs or its end is being journaled.
	current  *turn
	waiting  []TurnRequest
	attained int64
	// stored says that the run has a row in the table or that one is being journaled.
	stored bool
}

type turn struct {
	request    TurnRequest
	number     uint64
	reserved   Amount
	committing bool
	// merge says that mergeWidth segments from index mergeFrom are being merged.
	merge     bool
	mergeFrom int
}

// slotState is the state of an owned slot.
type slotState struct {
	draining bool
	runs     map[Key]*run
}

// Runs is the table of the runs in the slots that this VM owns.
type Runs struct {
	slots map[ownership.Slot]*slotState
	ready []Decision
	// runsWithWaiters holds the runs with waiting requests, so that a search for
	// deadlines scans only these.
	runsWithWaiters map[*run]struct{}
}

// NewRuns returns an empty table.
func NewRuns() *Runs {
	return &Runs{slots: map[ownership.Slot]*slotState{}, runsWithWaiters: map[*run]struct{}{}}
}

// Loaded says whether the slot's runs are loaded.
func (t *Runs) Loaded(s ownership.Slot) bool { return t.slots[s] != nil }

// Load takes over a slot with the rows that the platform stores for it. The
// ceiling of each root counts as spent. A pending intent becomes unknown, since
// the former owner may have dispatched the call.
func (t *Runs) Load(s ownership.Slot, records map[Key]Record, budget func(run string) operator.Budget) {
	state := &slotState{runs: make(map[Key]*run, len(records))}
	t.slots[s] = state
	for key, record := range records {
		r := &run{key: key, record: record, stored: true}
		if record.Intent != nil {
			record.Intent.State = IntentUnknown
		}
		state.runs[key] = r
	}
	for _, r := range state.runs {
		t.attach(state, r, budget(r.key.Run))
	}
}

// attach links a run to its root. It creates the root and the root's spending if
// they are missing.
func (t *Runs) attach(state *slotState, r *run, budget operator.Budget) {
	rootKey := Key{Customer: r.key.Customer, Run: version.RootRun(r.key.Run)}
	root := state.runs[rootKey]
	if root == nil {
		root = &run{key: rootKey}
		state.runs[rootKey] = root
	}
	if root.spending == nil {
		root.spending = &spending{
			limit: budgetLimit(budget), wall: time.Duration(budget.WallSeconds) * time.Second,
			spent: root.record.Ceiling, ceiling: root.record.Ceiling,
		}
		root.root = root
	}
	r.root, r.spending = root, root.spending
}

// Drop removes a slot that another member now owns. Its waiting requests are
// refused. For turns in flight, Finish and Abort then return nil.
func (t *Runs) Drop(s ownership.Slot) {
	state := t.slots[s]
	delete(t.slots, s)
	if state == nil {
		return
	}
	for _, r := range state.runs {
		t.refuseWaiters(r, refusal.New(refusal.OwnerUnavailable, "the program's owner has changed"))
	}
}

// Drain stops a slot from starting new turns, before a handover. Its waiting
// requests are refused.
func (t *Runs) Drain(s ownership.Slot) {
	state := t.slots[s]
	if state == nil || state.draining {
		return
	}
	state.draining = true
	for _, r := range state.runs {
		t.refuseWaiters(r, refusal.New(refusal.OwnerUnavailable, "the program's owner is handing over"))
	}
}

// Idle says whether a slot has no turn in flight.
func (t *Runs) Idle(s ownership.Slot) bool {
	if state := t.slots[s]; state != nil {
		for _, r := range state.runs {
			if r.current != nil {
				return false
			}
		}
	}
	return true
}

// AllIdle says whether no slot has a turn in flight.
func (t *Runs) AllIdle() bool {
	for s := range t.slots {
		if !t.Idle(s) {
			return false
		}
	}
	return true
}

func (t *Runs) find(k Key) *run {
	if state := t.slots[k.Slot()]; state != nil {
		return state.runs[k]
	}
	return nil
}

// Count returns the number of runs in memory.
func (t *Runs) Count() int {
	n := 0
	for _, s := range t.slots {
		n += len(s.runs)
	}
	return n
}

func (t *Runs) refuseWaiters(r *run, why *refusal.Refusal) {
	for _, req := range r.waiting {
		t.ready = append(t.ready, refuse(req, why.WithRun(r.executionState(req)).After(time.Second)))
	}
	r.waiting = nil
	delete(t.runsWithWaiters, r)
}

// Ready returns and removes the decisions on requests that had to wait. Their
// entries must be journaled before the table changes again.
func (t *Runs) Ready() []Decision {
	ready := t.ready
	t.ready = nil
	for i := range ready {
		ready[i] = ready[i].withEntry()
	}
	return ready
}
