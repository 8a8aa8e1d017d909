package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"hornbeamvale.example/hornbeamvale/internal/process/member"
	"hornbeamvale.example/hornbeamvale/internal/process/ownership"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/platform/platformtest"
)

// countingPlatform serves the platform's HTTP protocol from the in-memory platform and
// counts the calls and the bytes of its connections.
type countingPlatform struct {
	fake                  *platformtest.Fake
	sent, received, calls atomic.Int64
}

type countingConn struct {
	net.Conn
	p *countingPlatform
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.p.received.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.p.sent.Add(int64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	p *countingPlatform
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.p}, nil
}

func (p *countingPlatform) start(b *testing.B) platform.Client {
	b.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tx", func(w http.ResponseWriter, r *http.Request) {
		serveJSON(w, r, p.fake.Commit)
	})
	mux.HandleFunc("POST /v1/read", func(w http.ResponseWriter, r *http.Request) {
		serveJSON(w, r, p.fake.Read)
	})
	mux.HandleFunc("GET /v1/vms", func(w http.ResponseWriter, r *http.Request) {
		vms, err := p.fake.VMs(r.Context())
		tag := fmt.Sprintf("%q", fmt.Sprint(len(vms))) // the benchmark's lists differ in length
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		answerJSON(w, vms, err)
	})
	mux.HandleFunc("PUT /v1/objects/{key...}", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		answerJSON(w, nil, errors.Join(err, p.fake.PutObject(r.Context(), r.PathValue("key"), body)))
	})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.calls.Add(1)
		mux.ServeHTTP(w, r)
	}))
	server.Listener = countingListener{server.Listener, p}
	server.Start()
	b.Cleanup(server.Close)
	return platform.New(server.URL, 10*time.Second, nil)
}

func serveJSON[In, Out any](w http.ResponseWriter, r *http.Request, call func(context.Context, In) (Out, error)) {
	var in In
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		answerJSON(w, nil, err)
		return
	}
	out, err := call(r.Context(), in)
	answerJSON(w, out, err)
}

func answerJSON(w http.ResponseWriter, v any, err error) {
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(v) // an error means that the client has disconnected
}

// idlePeriod is how long the idle member is measured.
const idlePeriod = 6 * time.Second

// BenchmarkIdleMember runs a control loop without traffic against the platform over HTTP.
// It reports the CPU time of the control thread, the platform calls and their bytes in a
// second, and the size of the heap.
func BenchmarkIdleMember(b *testing.B) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	b.Cleanup(func() { klog.LogToStderr(true) })
	for _, size := range []struct{ members, vms int }{{10, 0}, {103, 0}, {410, 0}, {410, 1200}, {410, 4000}, {410, 12000}} {
		b.Run(fmt.Sprintf("members=%d/replicas=%d", size.members, size.vms), func(b *testing.B) {
			for b.Loop() {
				idleMember(b, size.members, size.vms)
			}
		})
	}
}

func idleMember(b *testing.B, members, replicas int) {
	p := &countingPlatform{fake: platformtest.New()}
	fillPlatform(b, p.fake, members)
	if replicas > 0 {
		p.fake.SetVMs(benchVMs(replicas))
	}
	before := benchHeap()
	l := NewLoop(Config{
		Info: benchInfo(0), NewMemberID: func() string { return benchMember(0) }, Platform: p.start(b),
		LeaseTTL: 30 * time.Second, SeatTTL: time.Hour, PollInterval: time.Second, FreshnessBound: 3 * time.Second,
		WritesPerSecond: 300,
	})
	l.state.current = benchVersion(b, 630)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.Run(ctx)
	}()
	for !l.Snapshot().Joined {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Second) // the first poll reads every row
	cpu, sent, received, calls := l.CPUTime(), p.sent.Load(), p.received.Load(), p.calls.Load()
	time.Sleep(idlePeriod)
	perSecond := func(n int64) float64 { return float64(n) / idlePeriod.Seconds() }
	b.ReportMetric(perSecond((l.CPUTime() - cpu).Microseconds()), "control-µs/s")
	b.ReportMetric(perSecond(p.sent.Load()-sent), "in-bytes/s")
	b.ReportMetric(perSecond(p.received.Load()-received), "out-bytes/s")
	b.ReportMetric(perSecond(p.calls.Load()-calls), "calls/s")
	b.ReportMetric(float64(benchHeap()-before), "heap-bytes")
	cancel()
	<-ended
}

// fillPlatform writes the rows of a fleet. Its slots are distributed evenly among all
// members except the first, which is the member under test.
func fillPlatform(b *testing.B, f *platformtest.Fake, members int) {
	b.Helper()
	var tx platform.Tx
	for n := 1; n < members; n++ {
		tx.Writes = append(tx.Writes,
			platform.Write{Key: member.Key(benchMember(n)), Value: benchInfo(n).Encode()},
			platform.Write{Key: member.LeaseKey(benchMember(n)), Value: member.LeaseRow{Sequence: 1}.Encode()},
			platform.Write{Key: member.SeatKey(n), Value: member.SeatRow{Member: benchMember(n)}.Encode()})
	}
	for slot := range ownership.Slot(ownership.SlotCount) {
		owner := ownership.Owner{Member: benchMember(1 + int(slot)%(members-1)), Epoch: 1}
		tx.Writes = append(tx.Writes, platform.Write{Key: slot.Key(), Value: owner.Encode()})
	}
	result, err := f.Commit(context.Background(), tx)
	if err != nil || !result.Committed {
		b.Fatal(strings.TrimSpace(fmt.Sprint("writing the fleet's rows failed: ", err)))
	}
}
