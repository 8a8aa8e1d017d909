package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that a replica began to work on.
type run struct {
	id, tenant, replica string
	at                  time.Time
	bodyBytes           int
}

// replica is a stand-in of a replica of a service as PROTOCOL.md describes it.
type replica struct {
	id, service, zone string
	model             bool // answers with streams of events
	stated            bool // streams are sent at once, with their length
	events            int
	gap, work         time.Duration
	listener          net.Listener
	log               *record
	born              int64

	mu       sync.Mutex
	running  int
	sequence int
	runs     []run
}

const (
	replicaSlots = 8
	replicaQueue = 24
	// kvTokens is the memory of a model's replica, in tokens.
	kvTokens = 97383
	// chunkTokens is the number of tokens in one event.
	chunkTokens = 14
)

func newReplica(host, id, service, zone string, model bool, log *record) (*replica, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, service: service, zone: zone, model: model, events: 3, gap: 10 * time.Millisecond, work: 20 * time.Millisecond, listener: l, log: log, born: time.Now().UnixMilli()}
	go func() { _ = http.Serve(l, http.HandlerFunc(r.serve)) }()
	return r, nil
}

// register writes the replica's entry every heartbeat.
func (r *replica) register(s *store) {
	for {
		r.mu.Lock()
		r.sequence++
		entry := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold_remaining_ms":0,"sequence":%d,"born":%d}`,
			r.service, r.listener.Addr().String(), r.zone, replicaSlots, r.sequence, r.born)
		r.mu.Unlock()
		s.put("servers", r.id, []byte(entry))
		time.Sleep(1200 * time.Millisecond)
	}
}

func (r *replica) serve(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	h := w.Header()
	id := req.Header.Get("Hornbeamvale-Attempt-Id")
	h.Set("Hornbeamvale-Attempt-Id", id)
	if want := req.Header.Get("Hornbeamvale-Expect-Instance"); want != "" && want != r.id {
		h.Set("Hornbeamvale-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	prompt, _, _ := strings.Cut(req.Header.Get("Hornbeamvale-Token-Usage"), ",")
	tokens, _ := strconv.Atoi(prompt)
	r.mu.Lock()
	stated, events, gap := r.stated, r.events, r.gap
	full := r.running >= replicaSlots+replicaQueue || r.model && tokens > kvTokens
	if !full {
		r.running++
		r.runs = append(r.runs, run{id: id, tenant: req.Header.Get("Hornbeamvale-Tenant"), replica: r.id, at: time.Now(), bodyBytes: len(body)})
	}
	h.Set("Hornbeamvale-Instance-Load", fmt.Sprintf("%d,%d,%d", min(r.running, replicaSlots), max(0, r.running-replicaSlots), replicaSlots))
	r.mu.Unlock()
	if full {
		h.Set("Hornbeamvale-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.log.line("replica %s runs %s with a body of %d bytes", r.id, id, len(body))
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	time.Sleep(r.work)
	h.Set("Hornbeamvale-Response-Signature", "s."+r.id+"."+id)
	if !r.model {
		answer := fmt.Sprintf("done by %s for %s", r.id, id)
		h.Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = io.WriteString(w, answer)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	if stated {
		var text strings.Builder
		for i := 1; i <= events; i++ {
			fmt.Fprintf(&text, "id: %d\ndata: %s.%d\n\n", i, id, i)
		}
		h.Set("Content-Length", strconv.Itoa(text.Len()))
		_, _ = io.WriteString(w, text.String())
		return
	}
	control := http.NewResponseController(w)
	for i := 1; i <= events; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s.%d\n\n", i, id, i)
		if control.Flush() != nil {
			return
		}
		time.Sleep(gap)
	}
}

// setStream sets how the model's replicas answer.
func (c *caseRun) setStream(stated bool, events int, gap time.Duration) {
	for _, r := range c.replicas {
		r.mu.Lock()
		r.stated, r.events, r.gap = stated, events, gap
		r.mu.Unlock()
	}
}

// ran returns how often a request ran at the replicas.
func ran(replicas []*replica, id string) int {
	n := 0
	for _, r := range replicas {
		r.mu.Lock()
		for _, x := range r.runs {
			if x.id == id {
				n++
			}
		}
		r.mu.Unlock()
	}
	return n
}
