package platform

import (
	"errors"
	"slices"
	"strings"
	"time"

	"hornbeamvale.example/hornbeamvale/standin/internal/process/lag"
)

// DefaultSinceLimit is the page size in rows of a Since read without a limit.
const DefaultSinceLimit = 1000

// ErrDuplicateWrite is returned for a transaction that writes a row twice: the result
// would depend on the order of the writes.
var ErrDuplicateWrite = errors.New("a transaction writes each row at most once")

// State is the state of the platform. It is owned by one goroutine, see package loop.
type State struct {
	Faults   Faults
	revision uint64
	tables   map[string]*table
	objects  map[string][]byte
	vms      lag.Value[[]VM]
}

type table struct {
	rows map[string]Row // includes tombstones of deleted rows
	// log holds an entry for each write, in revision order. An entry is stale if its row
	// has been written again.
	log []logEntry
}

type logEntry struct {
	revision uint64
	key      string
}

// NewState returns an empty platform.
func NewState() *State {
	s := &State{tables: map[string]*table{}, objects: map[string][]byte{}}
	s.vms.Set(time.Now(), 0, []VM{})
	return s
}

// Deadline implements loop.State. The state changes only by commands.
func (s *State) Deadline() time.Time { return time.Time{} }

// Tick implements loop.State.
func (s *State) Tick(time.Time) {}

// Commit applies all writes of tx if all its conditions hold, otherwise none.
func (s *State) Commit(tx Tx) (TxResult, error) {
	seen := map[Key]bool{}
	for _, w := range tx.Writes {
		if seen[w.Key] {
			return TxResult{}, ErrDuplicateWrite
		}
		seen[w.Key] = true
	}
	var failed []int
	for i, c := range tx.Conditions {
		if s.get(c.Key).Revision != c.Revision {
			failed = append(failed, i)
		}
	}
	if len(failed) > 0 {
		return TxResult{Failed: failed}, nil
	}
	s.revision++
	for _, w := range tx.Writes {
		s.write(w)
	}
	return TxResult{Committed: true, Revision: s.revision}, nil
}

func (s *State) write(w Write) {
	t := s.tables[w.Table]
	if t == nil {
		t = &table{rows: map[string]Row{}}
		s.tables[w.Table] = t
	}
	if w.Delete && s.get(w.Key).Revision == 0 {
		return // an absent row needs no tombstone
	}
	row := Row{Key: w.Key, Revision: s.revision, Deleted: w.Delete}
	if !w.Delete {
		row.Value = w.Value
	}
	t.rows[w.Key.Key] = row
	t.log = append(t.log, logEntry{s.revision, w.Key.Key})
	if len(t.log) > 2*len(t.rows)+DefaultSinceLimit {
		t.log = slices.DeleteFunc(t.log, t.stale)
	}
}

func (t *table) stale(e logEntry) bool { return t.rows[e.key].Revision != e.revision }

func (s *State) get(k Key) Row {
	if t := s.tables[k.Table]; t != nil {
		if row, ok := t.rows[k.Key]; ok && !row.Deleted {
			return row
		}
	}
	return Row{Key: k}
}

// Read returns all rows that r requests as of one revision.
func (s *State) Read(r Read) ReadResult {
	result := ReadResult{Revision: s.revision}
	for _, k := range r.Gets {
		result.Rows = append(result.Rows, s.get(k))
	}
	for _, q := range r.Since {
		rows, more := s.since(q)
		result.Changes = append(result.Changes, rows)
		result.More = append(result.More, more)
	}
	return result
}

// since returns a page of changed rows in revision order. A page never ends between two
// rows of one revision: the caller continues after the last revision of the page and
// would miss the other rows of that transaction.
func (s *State) since(q Since) (rows []Row, more bool) {
	rows = []Row{}
	t := s.tables[q.Table]
	if t == nil {
		return rows, false
	}
	limit := q.Limit
	if limit <= 0 {
		limit = DefaultSinceLimit
	}
	start, _ := slices.BinarySearchFunc(t.log, q.Revision+1, func(e logEntry, r uint64) int {
		if e.revision < r {
			return -1
		}
		return 1
	})
	for _, e := range t.log[start:] {
		if t.stale(e) || !strings.HasPrefix(e.key, q.Prefix) {
			continue
		}
		if len(rows) >= limit && rows[len(rows)-1].Revision != e.revision {
			return rows, true
		}
		rows = append(rows, t.rows[e.key])
	}
	return rows, false
}

// PutObject stores a new object. It returns false if the key exists.
func (s *State) PutObject(key string, body []byte) bool {
	if _, ok := s.objects[key]; ok {
		return false
	}
	s.objects[key] = body
	return true
}

// Object returns an object. It returns false if the key does not exist.
func (s *State) Object(key string) ([]byte, bool) {
	body, ok := s.objects[key]
	return body, ok
}

// DeleteObject deletes an object if it exists.
func (s *State) DeleteObject(key string) { delete(s.objects, key) }

// SetVMs replaces the list of VMs.
func (s *State) SetVMs(now time.Time, vms []VM) { s.vms.Set(now, s.vmLag(), vms) }

// VMs returns the list of VMs as published, that is, with its lag.
func (s *State) VMs(now time.Time) []VM { return s.vms.Get(now, s.vmLag()) }

func (s *State) vmLag() time.Duration {
	return time.Duration(s.Faults.VMListLagMS) * time.Millisecond
}

// LoseNextResponse reports whether the response to the current transaction has to be
// lost, and decrements Faults.LoseAnswers if so.
func (s *State) LoseNextResponse() bool {
	if s.Faults.LoseAnswers == 0 {
		return false
	}
	s.Faults.LoseAnswers--
	return true
}
