package driver

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store, from PROTOCOL.md.
const (
	maxEntries   = 100
	maxCallBytes = 1 << 20
	maxRowBytes  = 65536
	maxNameBytes = 200
	maxPageRows  = 500
	txnTime      = 3 * time.Millisecond
	historyKept  = 20 * time.Second
)

// row is one row of the store as it is sent.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
	written time.Time
}

type rowName struct{ table, part, key string }

// store is a stand-in of the platform's store.
type store struct {
	address  string
	listener net.Listener
	record   *record

	mu      sync.Mutex
	version uint64
	rows    map[rowName]row // deleted rows stay as tombstones
	dropped uint64          // newest version of the dropped history
	changed chan struct{}
	parts   map[string]*sync.Mutex
	refused int
	// wrote is called with each row that a VM has written, if it is set.
	wrote func(r row)
}

func newStore(ip string, rec *record) (*store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(), listener: l, record: rec, rows: map[rowName]row{},
		changed: make(chan struct{}), parts: map[string]*sync.Mutex{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.transact)
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	mux.HandleFunc("GET /v1/rows-parts", s.listParts)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put writes a row as the operator or a replica does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowName{table, "", key}] = row{Table: table, Key: key, Value: data, Version: s.version, written: time.Now()}
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) part(name string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[name] == nil {
		s.parts[name] = &sync.Mutex{}
	}
	return s.parts[name]
}

type transaction struct {
	Expected    []row `json:"expected_revision"`
	Set         []row `json:"set_keys"`
	Remove      []row `json:"remove"`
	CrossRegion bool  `json:"cross_region"`
}

// check returns the reason why a transaction is refused, or an empty text.
func (t *transaction) check(size int) string {
	all := slices.Concat(t.Expected, t.Set, t.Remove)
	if len(all) > maxEntries {
		return "more than " + strconv.Itoa(maxEntries) + " entries: " + strconv.Itoa(len(all))
	}
	if size > maxCallBytes {
		return "more than 1 MB: " + strconv.Itoa(size)
	}
	for _, r := range all {
		if len(r.Table) > maxNameBytes || len(r.Part) > maxNameBytes || len(r.Key) > maxNameBytes || len(r.Value) > maxRowBytes {
			return "a name or value is too large"
		}
		if r.Part != all[0].Part && !t.CrossRegion {
			return "several parts"
		}
	}
	return ""
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var tx transaction
	if err := json.Unmarshal(body, &tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if why := tx.check(len(body)); why != "" {
		s.mu.Lock()
		s.refused++
		s.mu.Unlock()
		s.record.line("store refuses a transaction with 400: %s", why)
		http.Error(w, why, http.StatusBadRequest)
		return
	}
	part := ""
	for _, x := range slices.Concat(tx.Set, tx.Remove) {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		part = x.Part
	}
	lock := s.part(part)
	lock.Lock()
	time.Sleep(txnTime)
	s.mu.Lock()
	current, ok := s.conditions(tx.Expected)
	if ok {
		s.apply(tx)
	}
	reply := map[string]any{"row_version": s.version, "now_ms": time.Now().UnixMilli()}
	wrote := s.wrote
	s.mu.Unlock()
	lock.Unlock()
	if !ok {
		reply["rows"] = current
		answer(w, http.StatusPreconditionFailed, reply)
		return
	}
	answer(w, http.StatusOK, reply)
	if wrote != nil {
		for _, x := range tx.Set {
			wrote(x)
		}
	}
}

func (s *store) conditions(expected []row) (current []row, ok bool) {
	current, ok = []row{}, true
	for _, e := range expected {
		r, found := s.rows[rowName{e.Table, e.Part, e.Key}]
		found = found && !r.Deleted
		if found {
			current = append(current, r)
		}
		if found && r.Version != e.Version || !found && e.Version != 0 {
			ok = false
		}
	}
	return current, ok
}

func (s *store) apply(tx transaction) {
	s.version++
	now := time.Now()
	for _, r := range tx.Set {
		r.Version, r.written = s.version, now
		s.rows[rowName{r.Table, r.Part, r.Key}] = r
	}
	for _, r := range tx.Remove {
		r.Version, r.Deleted, r.Value, r.written = s.version, true, nil, now
		s.rows[rowName{r.Table, r.Part, r.Key}] = r
	}
	s.wake()
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = min(limit, n)
	}
	s.mu.Lock()
	var rows []row
	for name, x := range s.rows {
		in := name.table == q.Get("table") && name.part == q.Get("part") && name.key >= q.Get("from")
		if in && !x.Deleted && (q.Get("to") == "" || name.key < q.Get("to")) {
			rows = append(rows, x)
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	page, size := []row{}, 0
	for _, x := range rows {
		size += len(x.Value)*4/3 + len(x.Key) + 100
		if len(page) == limit || len(page) > 0 && size > maxCallBytes {
			break
		}
		page = append(page, x)
	}
	answer(w, http.StatusOK, map[string]any{
		"rows": page, "has_more": len(page) < len(rows), "row_version": version, "now_ms": time.Now().UnixMilli(),
	})
}

func (s *store) listParts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	names := map[string]bool{}
	for name, x := range s.rows {
		if name.table == q.Get("table") && !x.Deleted && name.part > q.Get("after") {
			names[name.part] = true
		}
	}
	s.mu.Unlock()
	parts := []string{}
	for name := range names {
		parts = append(parts, name)
	}
	slices.Sort(parts)
	answer(w, http.StatusOK, map[string]any{"parts": parts, "has_more": false})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		rows, changed, version := s.since(q.Get("table"), after), s.changed, s.version
		gone := after < s.dropped
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		reply := map[string]any{"rows": rows, "row_version": version, "now_ms": time.Now().UnixMilli()}
		if len(rows) > 0 {
			answer(w, http.StatusOK, reply)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			answer(w, http.StatusOK, reply)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes of a table after a version, in order. It drops tombstones that
// are older than the history.
func (s *store) since(table string, after uint64) []row {
	rows := []row{}
	for name, x := range s.rows {
		if x.Deleted && time.Since(x.written) > historyKept {
			s.dropped = max(s.dropped, x.Version)
			delete(s.rows, name)
			continue
		}
		if name.table == table && x.Version > after {
			rows = append(rows, x)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return int(a.Version) - int(b.Version) })
	return rows
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // an error means that the caller has gone
}
