package driver

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	replicaQueue = 24
	replicaIdle  = 10 * time.Second
)

// run is one request that a replica has run.
type run struct {
	id, tenant, replica string
	body                string // digest
	at                  time.Time
}

// runs collects the runs of all replicas.
type runs struct {
	record *record

	mu   sync.Mutex
	all  []run
	byID map[string]int
	last map[string]string // digest of the body of the last run, by request
}

func newRuns(rec *record) *runs {
	return &runs{record: rec, byID: map[string]int{}, last: map[string]string{}}
}

func (x *runs) add(r run) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.all = append(x.all, r)
	x.byID[r.id]++
	x.last[r.id] = r.body
	x.record.at(r.at, "replica %s runs %s tenant=%s body=%s", r.replica, r.id, r.tenant, r.body)
}

// count returns how often a request has run.
func (x *runs) count(id string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.byID[id]
}

// body returns the digest of the body with which a request ran; false if it did not run.
func (x *runs) body(id string) (string, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	digest, ok := x.last[id]
	return digest, ok
}

// replicaKind says what a replica does with a request.
type replicaKind struct {
	service string
	slots   int
	work    time.Duration // up to the answer or the first event
	events  int           // 0 for a plain service
	gap     time.Duration // between two events
}

// replica is a stand-in of a replica.
type replica struct {
	id, address, zone string
	kind              replicaKind
	runs              *runs
	slots             chan struct{}
	waiting           atomic.Int64
	born              int64
}

// startReplica starts a replica and registers it.
func startReplica(ip, zone, id string, kind replicaKind, s *store, all *runs) (*replica, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		id: id, address: l.Addr().String(), zone: zone, kind: kind, runs: all,
		slots: make(chan struct{}, kind.slots), born: time.Now().UnixMilli(),
	}
	server := &http.Server{Handler: r, IdleTimeout: replicaIdle}
	go func() { _ = server.Serve(l) }()
	r.register(s)
	return r, nil
}

// register writes the replica's entry. The store's row changes only if more than its
// sequence does, so one write is enough for a replica that stays as it is.
func (r *replica) register(s *store) {
	s.put("servers", r.id, map[string]any{
		"service": r.kind.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.kind.slots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": r.born,
	})
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	h := w.Header()
	id := q.Header.Get("Hornbeamvale-Attempt-Id")
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	h.Set("Hornbeamvale-Instance-Id", r.id)
	h.Set("Keep-Alive", "timeout="+strconv.Itoa(int(replicaIdle.Seconds())))
	if q.URL.Path == "/healthz" {
		return
	}
	if id == "" {
		h.Set("Hornbeamvale-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.Set("Hornbeamvale-Attempt-Id", id)
	if want := q.Header.Get("Hornbeamvale-Expect-Instance"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	present := r.waiting.Add(1)
	defer r.waiting.Add(-1)
	r.setLoad(h)
	if present > int64(r.kind.slots+replicaQueue) {
		h.Set("Hornbeamvale-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	case <-q.Context().Done():
		return
	}
	r.runs.add(run{
		id: id, tenant: q.Header.Get("Hornbeamvale-Tenant"),
		replica: r.id, body: digestOf(string(body)), at: time.Now(),
	})
	h.Set("Hornbeamvale-Response-Signature", "signed."+r.id+"."+id)
	time.Sleep(r.kind.work)
	r.setLoad(h)
	if r.kind.events == 0 {
		_, _ = fmt.Fprintf(w, "done %s at %s", id, r.id)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	h.Set("Hornbeamvale-Weight-Versions", "1")
	flush := http.NewResponseController(w)
	for i := range r.kind.events {
		if i > 0 {
			time.Sleep(r.kind.gap)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: word-%d-of-%s\n\n", i+1, i+1, id); err != nil {
			return
		}
		_ = flush.Flush()
	}
}

func (r *replica) setLoad(h http.Header) {
	running := len(r.slots)
	waiting := max(0, int(r.waiting.Load())-running)
	h.Set("Hornbeamvale-Instance-Load", strconv.Itoa(running)+","+strconv.Itoa(waiting)+","+strconv.Itoa(r.kind.slots))
}
