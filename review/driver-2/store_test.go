package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the platform's store, from PROTOCOL.md.
const (
	maxEntries   = 100
	maxCallBytes = 1 << 20
	maxRowText   = 65536 // length of a value in base64
	maxPageRows  = 500
	maxPageBytes = 1 << 20
	txnTime      = 3 * time.Millisecond
)

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"` // base64
	Version uint64 `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowName struct{ table, part, key string }

// store is a stand-in of the platform's store as PROTOCOL.md describes it.
type store struct {
	listener net.Listener
	started  time.Time
	log      *record

	mu      sync.Mutex
	version uint64
	rows    map[rowName]row      // a deleted row stays as a tombstone
	keys    map[rowName][]string // keys in ascending order, by table and part
	changed chan struct{}        // closed and replaced at each change
	refused int                  // calls that exceeded a limit of the store
	// answerTime is how long the answer to a read takes.
	answerTime time.Duration
}

func newStore(host string, log *record) (*store, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, started: time.Now(), log: log, rows: map[rowName]row{}, keys: map[rowName][]string{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.transact)
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a row as the operator or a replica does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(value), Version: s.version})
	s.wake()
}

// set stores a row or a tombstone. The caller must hold s.mu.
func (s *store) set(x row) {
	name := rowName{x.Table, x.Part, x.Key}
	if _, known := s.rows[name]; !known {
		part := rowName{x.Table, x.Part, ""}
		at, _ := slices.BinarySearch(s.keys[part], x.Key)
		s.keys[part] = slices.Insert(s.keys[part], at, x.Key)
	}
	s.rows[name] = x
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) nowMS() int64 { return time.Since(s.started).Milliseconds() + 1000 }

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, 64<<20))
	if err != nil {
		return
	}
	var tx struct {
		Expected []row `json:"expected_revision"`
		Set      []row `json:"set_keys"`
		Remove   []row `json:"remove"`
	}
	if err := json.Unmarshal(data, &tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	entries := len(tx.Expected) + len(tx.Set) + len(tx.Remove)
	large := len(data) > maxCallBytes || entries > maxEntries
	for _, x := range tx.Set {
		large = large || len(x.Value) > maxRowText
	}
	if large {
		s.mu.Lock()
		s.refused++
		s.mu.Unlock()
		s.log.line("store refuses a transaction of %d entries and %d bytes: a call holds at most %d entries and %d bytes", entries, len(data), maxEntries, maxCallBytes)
		http.Error(w, "the call is too large", http.StatusBadRequest)
		return
	}
	for _, x := range append(append([]row(nil), tx.Set...), tx.Remove...) {
		if x.Table == "op" || x.Table == "servers" {
			http.Error(w, "not yours", http.StatusForbidden)
			return
		}
	}
	time.Sleep(txnTime)
	s.mu.Lock()
	ok, current := true, []row{}
	for _, e := range tx.Expected {
		have, found := s.rows[rowName{e.Table, e.Part, e.Key}]
		found = found && !have.Deleted
		if found {
			current = append(current, have)
		}
		if found && have.Version != e.Version || !found && e.Version != 0 {
			ok = false
		}
	}
	if ok {
		s.version++
		for _, x := range tx.Set {
			x.Version, x.Deleted = s.version, false
			s.set(x)
		}
		for _, x := range tx.Remove {
			x.Version, x.Deleted, x.Value = s.version, true, ""
			s.set(x)
		}
		s.wake()
	}
	reply := map[string]any{"row_version": s.version, "now_ms": s.nowMS()}
	s.mu.Unlock()
	if !ok {
		reply["rows"] = current
		writeJSON(w, http.StatusPreconditionFailed, reply)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(n, limit)
	}
	time.Sleep(s.answerTime)
	s.mu.Lock()
	rows, more, size, version, now := []row{}, false, 0, s.version, s.nowMS()
	keys := s.keys[rowName{q.Get("table"), q.Get("part"), ""}]
	from, _ := slices.BinarySearch(keys, q.Get("from"))
	for _, key := range keys[from:] {
		if q.Get("to") != "" && key >= q.Get("to") {
			break
		}
		x := s.rows[rowName{q.Get("table"), q.Get("part"), key}]
		if x.Deleted {
			continue
		}
		if size += len(x.Value); len(rows) > 0 && (len(rows) >= limit || size > maxPageBytes) {
			more = true
			break
		}
		rows = append(rows, x)
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"rows": rows, "has_more": more, "row_version": version, "now_ms": now})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		rows := []row{}
		for name, x := range s.rows {
			if name.table == q.Get("table") && x.Version > after {
				rows = append(rows, x)
			}
		}
		changed, version, now := s.changed, s.version, s.nowMS()
		s.mu.Unlock()
		sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
		if len(rows) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"rows": rows, "row_version": version, "now_ms": now})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			writeJSON(w, http.StatusOK, map[string]any{"rows": rows, "row_version": version, "now_ms": now})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // an error means that the caller is gone
}
