package driver

import (
	"context"
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
	heartbeat    = 1200 * time.Millisecond
	replicaQueue = 24
)

// run is one request that a replica has run.
type run struct {
	id, tenant, previous, replica string
	body                          string // digest
	at                            time.Time
}

// runs collects the runs of all replicas.
type runs struct {
	record *record
	quiet  bool // single runs are not written to the record

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
	if !x.quiet {
		x.record.at(r.at, "replica %s runs %s tenant=%s previous=%s", r.replica, r.id, r.tenant, r.previous)
	}
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
	most              atomic.Int64 // requests running or waiting at the same time
	born              int64
}

// startReplica starts a replica and registers it until ctx ends.
func startReplica(ctx context.Context, ip, zone, id string, kind replicaKind, s *store, all *runs) (*replica, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		id: id, address: l.Addr().String(), zone: zone, kind: kind, runs: all,
		slots: make(chan struct{}, kind.slots), born: time.Now().UnixMilli(),
	}
	server := &http.Server{Handler: r, IdleTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	go r.register(ctx, s)
	return r, nil
}

// register writes the replica's entry every heartbeat.
func (r *replica) register(ctx context.Context, s *store) {
	for sequence := 1; ctx.Err() == nil; sequence++ {
		s.put("servers", r.id, map[string]any{
			"service": r.kind.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.kind.slots,
			"state": "ready", "cold_remaining_ms": 0, "sequence": sequence, "born": r.born,
		})
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
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
	for most := r.most.Load(); present > most && !r.most.CompareAndSwap(most, present); most = r.most.Load() {
	}
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
		id: id, tenant: q.Header.Get("Hornbeamvale-Tenant"), previous: q.Header.Get("Hornbeamvale-Previous-Turn"),
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
