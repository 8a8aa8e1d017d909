// Package eventlog keeps the latest events of a process in memory, so that an operator
// can see what happened to a program run on every VM. The log lives as long as the
// process and is not durable. It only explains what happened; the durable record is the
// journal.
//
// Traffic goroutines and the control loop add events. The log has its own mutex, which
// is held only to copy events. The log is no part of the control state.
package eventlog

import (
	"strings"
	"sync"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
)

const (
	// DefaultCapacity is the default capacity of a log, in events. An event takes 128 bytes
	// plus its strings.
	DefaultCapacity = 14_336
	// MaxDetailBytes bounds the detail of an event, in bytes, since it may hold text from
	// callers or endpoints. Longer details are truncated.
	MaxDetailBytes = 256
)

// Kind says what happened. The values are stable, since operators filter by them.
type Kind string

// The kinds of events.
const (
	TurnAdmitted        Kind = "turn_admitted"
	TurnForwarded       Kind = "turn_forwarded"
	TurnStarted         Kind = "turn_started"
	TurnAborted         Kind = "turn_aborted"
	TurnDispatched      Kind = "turn_dispatched"
	TurnRetried         Kind = "turn_retried"
	TurnResumed         Kind = "turn_resumed"
	TurnAwaitsJournal   Kind = "turn_held" // the end of its answer waits for the journal
	TurnEnded           Kind = "turn_ended"
	TurnRefused         Kind = "turn_refused"
	TurnReplayed        Kind = "turn_replayed"
	IntentDurable       Kind = "intent_durable"
	OutcomeDurable      Kind = "outcome_durable"
	OutcomeUnknown      Kind = "outcome_unknown"
	OutcomeSettled      Kind = "outcome_settled"
	ProgramCreated      Kind = "program_created"
	ProgramEnded        Kind = "program_ended"
	CacheReleased       Kind = "cache_released"
	SlotTaken           Kind = "slot_taken"
	SlotLost            Kind = "slot_lost"
	MemberEvicted       Kind = "member_evicted"
	EngineOrdered       Kind = "engine_ordered"
	LeaseLost           Kind = "lease_lost"
	VersionApplied      Kind = "version_applied"
	ConfigurationStale  Kind = "configuration_stale"
	KeyWithdrawn        Kind = "key_withdrawn"
	JournalWriteFailed  Kind = "journal_write_failed"
	JournalWriteSettled Kind = "journal_write_settled"
)

// Event is one entry of the timeline.
type Event struct {
	// Time is read from the VM's wall clock. Between VMs it gives no reliable order.
	Time time.Time `json:"time"`
	VM   string    `json:"vm"`
	// Sequence is the position in the VM's log. The first event after the process start
	// has 1.
	Sequence uint64 `json:"sequence"`
	Kind     Kind   `json:"kind"`
	// Customer is the run's customer; two customers may use the same run name.
	Customer string `json:"customer,omitempty"`
	// Run is the program run ("booking:4711"; a sub-agent's run follows its parent's
	// after "/"). It is empty for events of the whole process.
	Run    string `json:"run,omitempty"`
	Turn   int64  `json:"turn,omitempty"`
	Epoch  uint64 `json:"epoch,omitempty"` // of the run's slot; 0 if not known
	Detail string `json:"detail,omitempty"`
}

// Log is a ring buffer of the latest events. It is safe for concurrent use.
type Log struct {
	vm  string
	now func() time.Time

	mu       sync.Mutex
	ring     []Event // grows up to capacity as events arrive
	capacity int     // maximum number of events kept
	added    uint64  // number of events added since the process start, including overwritten ones
}

// New returns a log of the given VM that keeps the latest capacity events, but at least 1.
func New(vm string, capacity int) *Log {
	return &Log{vm: vm, now: clock.Now, capacity: max(1, capacity)}
}

// Add appends an event and overwrites the oldest one if the log is full. It sets VM and
// Sequence, and Time if that is zero.
func (l *Log) Add(e Event) {
	e.VM = l.vm
	if len(e.Detail) > MaxDetailBytes {
		// Without the clone the log would keep the whole text in memory.
		e.Detail = strings.Clone(strings.ToValidUTF8(e.Detail[:MaxDetailBytes], ""))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.Time.IsZero() {
		e.Time = l.now()
	}
	e.Sequence = l.added + 1
	if len(l.ring) < l.capacity {
		l.ring = append(l.ring, e)
	} else {
		l.ring[l.added%uint64(l.capacity)] = e
	}
	l.added++
}

// Query returns the kept events of a customer's run and of the sub-agents below it, in the
// order in which they were added. If run is empty, it returns all events of all customers.
func (l *Log) Query(customer, run string) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []Event
	n := uint64(len(l.ring))
	for i := l.added - n; i < l.added; i++ {
		if e := l.ring[i%uint64(l.capacity)]; run == "" || e.Customer == customer && inRun(e.Run, run) {
			found = append(found, e)
		}
	}
	return found
}

// Dropped returns the number of events that were overwritten since the process start.
func (l *Log) Dropped() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.added - uint64(len(l.ring))
}
