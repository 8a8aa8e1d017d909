package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/process/settings"
	"hornbeamvale.example/hornbeamvale/platform/platformtest"
)

// within bounds the waits of these tests; it is far above what they take, so that a
// slow machine does not decide.
const within = 20 * time.Second

// rig is a fleet on stand-ins of the platform.
type rig struct {
	t        *testing.T
	store    *platformtest.Store
	model    []*platformtest.Replica
	tools    []*platformtest.Replica
	vms      []*testVM
	client   *http.Client
	mu       sync.Mutex
	requests int
}

type testVM struct {
	settings settings.Fleet
	stop     context.CancelFunc
	done     chan error
}

const testConfiguration = `{"version":%d,
"routes":[
 {"name":"chat","host":"app.example","path_prefix":"/chat/","type":"streaming","timeout_ms":4000,"target_latency_ms":250,"priority":1,"service":"model","max_attempts":2,"keeps_history":true,"retention_s":60,"target_gap_ms":150},
 {"name":"read","host":"app.example","path_prefix":"/read/","type":"idempotent","timeout_ms":2000,"target_latency_ms":250,"priority":2,"service":"tools","max_attempts":2},
 {"name":"pay","host":"app.example","path_prefix":"/pay/","type":"non_idempotent","timeout_ms":2000,"target_latency_ms":250,"priority":2,"service":"tools","max_attempts":2},
 {"name":"open","host":"app.example","path_prefix":"/open/","type":"idempotent","timeout_ms":2000,"target_latency_ms":250,"priority":2,"service":"tools","max_attempts":2,"public":true}],
"services":[{"name":"model","health_path":"/healthz","max_conns":100,"runtime":{"slots":8,"chunk_tokens":14}},{"name":"tools","health_path":"/healthz","max_conns":100}],
"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"parish","api_keys":[%s],"rate_per_s":%d,"burst":%d},{"name":"other","api_keys":["key-o"],"rate_per_s":1000,"burst":1000}]}`

// newRig starts a fleet of n VMs with two replicas of each service.
func newRig(t *testing.T, n int) *rig {
	r := &rig{t: t, store: platformtest.NewStore(t), client: &http.Client{Transport: &http.Transport{}, Timeout: within}}
	t.Cleanup(r.client.CloseIdleConnections)
	r.configure(1, `"key-p"`, 10_000)
	for i := range 2 {
		r.model = append(r.model, platformtest.NewReplica(t, fmt.Sprint("m", i), platformtest.Behaviour{Events: 3}))
		r.tools = append(r.tools, platformtest.NewReplica(t, fmt.Sprint("t", i), platformtest.Behaviour{}))
		r.store.Put("servers", r.model[i].ID, r.model[i].Entry("model", "ready"))
		r.store.Put("servers", r.tools[i].ID, r.tools[i].Entry("tools", "ready"))
	}
	// An entry that another writer made names no replica.
	r.store.Put("servers", "odd", []byte(`{"service":7}`))
	for i := range n {
		r.start(fmt.Sprint("vm", i))
	}
	for i := range r.vms {
		r.eventually(func() bool { return r.ready(i) && r.send(i, "GET", "/read/x", nil).status == http.StatusOK })
	}
	return r
}

func (r *rig) configure(number int, keys string, rate int) {
	r.store.Put("op", "config", fmt.Appendf(nil, testConfiguration, number, keys, rate, rate))
}

func (r *rig) eventually(f func() bool) {
	r.t.Helper()
	require.Eventually(r.t, f, within, 20*time.Millisecond)
}

func (r *rig) start(name string) {
	s := settings.Fleet{VM: name, DataCentre: "a", MemoryBytes: 200 << 20, StopWithin: 3 * time.Second, Store: r.store.Address()}
	for _, a := range []*netip.AddrPort{&s.Callers, &s.Ready, &s.Peers, &s.Metrics} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(r.t, err)
		*a = netip.MustParseAddrPort(l.Addr().String())
		require.NoError(r.t, l.Close())
	}
	ctx, stop := context.WithCancel(context.Background())
	vm := &testVM{settings: s, stop: stop, done: make(chan error, 1)}
	r.vms = append(r.vms, vm)
	go func() { vm.done <- serveFleet(ctx, s, make(chan os.Signal)) }()
	r.t.Cleanup(func() {
		stop()
		<-vm.done
		vm.done <- nil
	})
}

func (r *rig) ready(vm int) bool {
	resp, err := r.client.Get("http://" + r.vms[vm].settings.Ready.String() + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// reply is what a caller received.
type reply struct {
	id, body string
	status   int
	header   http.Header
	err      error // also of an answer that is not complete
}

// send sends a request with a new id to a VM. Headers come in pairs.
func (r *rig) send(vm int, method, path string, body []byte, headers ...string) reply {
	r.mu.Lock()
	r.requests++
	id := fmt.Sprintf("%x", sha256.Sum256(fmt.Append(nil, r.requests)))[:16]
	r.mu.Unlock()
	req, err := http.NewRequest(method, "http://"+r.vms[vm].settings.Callers.String()+path, bytes.NewReader(body))
	require.NoError(r.t, err)
	req.Host = "app.example"
	req.Header.Set("Hornbeamvale-Attempt-Id", id)
	req.Header.Set("Hornbeamvale-Deadline-Ms", "4000")
	req.Header.Set("Hornbeamvale-Credential", "key-p")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return reply{id: id, err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{id: id, body: string(data), status: resp.StatusCode, header: resp.Header, err: err}
}

// turn sends a turn of a program.
func (r *rig) turn(vm int, program, parent, input string, headers ...string) reply {
	headers = append(headers, "Hornbeamvale-Program-Id", program, "Hornbeamvale-Token-Usage", "100,50")
	if parent != "" {
		headers = append(headers, "Hornbeamvale-Previous-Turn", parent)
	}
	return r.send(vm, "POST", "/chat/1", []byte(input), headers...)
}

// runs returns the runs of a request at all replicas.
func (r *rig) runs(id string) (found []platformtest.Run) {
	for _, replicas := range [][]*platformtest.Replica{r.model, r.tools} {
		for _, x := range replicas {
			for _, run := range x.Runs() {
				if run.ID == id {
					found = append(found, run)
				}
			}
		}
	}
	return found
}

func (r *rig) behave(replicas []*platformtest.Replica, b platformtest.Behaviour) {
	for _, x := range replicas {
		x.Behave(b)
	}
}

func events(id string) string {
	var out strings.Builder
	for i := range 3 {
		_, _ = fmt.Fprintf(&out, "%s.%d\n", id, i+1)
	}
	return out.String()
}

// TestProgramAcrossVMs guards against a history that does not follow its program
// through any VM, and against a key or a header of the caller that reaches a replica.
func TestProgramAcrossVMs(t *testing.T) {
	r := newRig(t, 3)
	first := r.turn(0, "p", "", "one ", "Hornbeamvale-Tenant", "forged", "Hornbeamvale-Pin-Ms", "9")
	require.Equal(t, 200, first.status, first.body)
	require.NoError(t, first.err)
	second := r.turn(1, "p", first.id, "two ")
	require.Equal(t, 200, second.status, second.body)
	third := r.turn(2, "q", second.id, "three ")
	require.Equal(t, 200, third.status, third.body)
	run := r.runs(third.id)
	require.Len(t, run, 1)
	require.Equal(t, "one "+events(first.id)+"two "+events(second.id)+"three ", run[0].Body)
	run = r.runs(first.id)
	require.Len(t, run, 1)
	require.Equal(t, "parish", run[0].Tenant)
	require.Empty(t, run[0].Header.Get("Hornbeamvale-Credential"))
	require.Empty(t, run[0].Header.Get("Hornbeamvale-Pin-Ms"))

	foreign := r.turn(0, "x", first.id, "new ", "Hornbeamvale-Credential", "key-o")
	require.Equal(t, 404, foreign.status)
	require.Empty(t, r.runs(foreign.id))
	spent := r.turn(0, "p", second.id, "four ", "Hornbeamvale-Token-Budget", "120")
	require.Equal(t, 402, spent.status)
	require.Empty(t, r.runs(spent.id))
}

// TestAtMostOnce guards against a second run of a request that may have run, and
// against a promise of "not run" for it.
func TestAtMostOnce(t *testing.T) {
	r := newRig(t, 1)
	for _, b := range []platformtest.Behaviour{{Cut: true}, {Foreign: true}, {Delay: 3 * time.Second}} {
		r.behave(r.tools, b)
		got := r.send(0, "POST", "/pay/1", []byte("sweep"))
		require.Contains(t, []int{502, 504}, got.status, "%+v", b)
		require.Len(t, r.runs(got.id), 1, "%+v", b)
	}
	r.behave(r.tools, platformtest.Behaviour{Shed: true})
	shed := r.send(0, "POST", "/pay/1", []byte("sweep"))
	require.Equal(t, 503, shed.status)
	require.NotEmpty(t, shed.header.Get("Retry-After"))
	require.Empty(t, r.runs(shed.id))

	r.behave(r.tools, platformtest.Behaviour{})
	r.tools[0].Behave(platformtest.Behaviour{Shed: true})
	for range 6 {
		got := r.send(0, "POST", "/pay/1", []byte("sweep"))
		require.Equal(t, 200, got.status)
		require.Len(t, r.runs(got.id), 1)
	}
	r.tools[0].Behave(platformtest.Behaviour{Cut: true})
	for range 6 {
		got := r.send(0, "GET", "/read/1", nil)
		require.Equal(t, 200, got.status, "an idempotent request was not repeated")
	}
	own := platformtest.Behaviour{Status: 500}
	r.behave(r.tools, own)
	failed := r.send(0, "POST", "/pay/1", nil)
	require.Equal(t, 500, failed.status)
	require.NotEmpty(t, failed.header.Get("Hornbeamvale-Response-Signature"))
}

// TestBrokenStreamDoesNotLookComplete guards against a turn that ends as if it were
// whole, and against a second run of it.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	r := newRig(t, 1)
	r.behave(r.model, platformtest.Behaviour{Events: 3, Cut: true})
	got := r.turn(0, "p", "", "one ")
	require.Error(t, got.err)
	require.Len(t, r.runs(got.id), 1)
	r.behave(r.model, platformtest.Behaviour{Events: 3})
	require.Equal(t, 404, r.turn(0, "p", got.id, "two ").status)
}

// TestTurnEndsOnlyWhenDurable guards against an answer that ends while the store is
// down: the turn would be lost with its VM.
func TestTurnEndsOnlyWhenDurable(t *testing.T) {
	r := newRig(t, 2)
	r.behave(r.model, platformtest.Behaviour{Events: 3, Gap: 150 * time.Millisecond})
	done := make(chan reply)
	go func() { done <- r.turn(0, "p", "", "one ") }()
	r.eventually(func() bool { return len(r.model[0].Runs())+len(r.model[1].Runs()) > 0 })
	r.store.SetDown(true)
	refused := r.turn(1, "q", "", "one ")
	require.Equal(t, 503, refused.status)
	require.Empty(t, r.runs(refused.id))
	r.store.SetDown(false)
	got := <-done
	if got.err == nil {
		r.eventually(func() bool { return r.turn(1, "p", got.id, "two ").status == 200 })
	}
	r.eventually(func() bool { return r.turn(0, "r", "", "one ").status == 200 })
}

// TestConfigurationIsFollowed guards against a withdrawn key that still works, a new
// version that is missed when the history of changes is dropped, and a version that
// goes back.
func TestConfigurationIsFollowed(t *testing.T) {
	r := newRig(t, 2)
	require.Equal(t, 401, r.send(0, "GET", "/read/1", nil, "Hornbeamvale-Credential", "none").status)
	require.Equal(t, 404, r.send(0, "GET", "/none/1", nil).status)
	r.configure(5, `"key-n"`, 10_000)
	r.store.Forget()
	for i := range r.vms {
		r.eventually(func() bool { return r.send(i, "GET", "/read/1", nil).status == 401 })
		require.Equal(t, 200, r.send(i, "GET", "/read/1", nil, "Hornbeamvale-Credential", "key-n").status)
	}
	r.configure(4, `"key-p"`, 10_000)
	r.configure(6, `"key-n"`, 10_000)
	r.eventually(func() bool {
		require.Equal(t, 401, r.send(0, "GET", "/read/1", nil).status)
		body := r.metrics(0)
		return strings.Contains(body, "hornbeamvale_configuration_version 6") ||
			strings.Contains(body, `hornbeamvale_configuration_version{otel_scope_name="hornbeamvale",otel_scope_schema_url="",otel_scope_version=""} 6`)
	})
}

func (r *rig) metrics(vm int) string {
	resp, err := r.client.Get("http://" + r.vms[vm].settings.Metrics.String() + "/metrics")
	require.NoError(r.t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(r.t, err)
	return string(body)
}

// TestLeavingReplicaGetsNoWork guards against requests to a replica that drains, is
// gone, or whose address another replica has now.
func TestLeavingReplicaGetsNoWork(t *testing.T) {
	r := newRig(t, 1)
	r.store.Put("servers", "t0", r.tools[0].Entry("tools", "draining"))
	time.Sleep(200 * time.Millisecond) // a change is read within one round trip
	before := len(r.tools[0].Runs())
	for range 5 {
		require.Equal(t, 200, r.send(0, "GET", "/read/1", nil).status)
	}
	require.Len(t, r.tools[0].Runs(), before)
	// The address of t0 is registered under an id that the replica does not have.
	r.store.Delete("servers", "t0")
	r.store.Put("servers", "t9", r.tools[0].Entry("tools", "ready"))
	for range 10 {
		require.Equal(t, 200, r.send(0, "POST", "/pay/1", nil).status)
	}
	require.Len(t, r.tools[0].Runs(), before)
}

// TestRateHoldsAcrossVMs guards against a customer that gets more than its rate and
// burst by using all VMs.
func TestRateHoldsAcrossVMs(t *testing.T) {
	r := newRig(t, 3)
	const rate = 20
	r.configure(2, `"key-p"`, rate)
	r.eventually(func() bool { return strings.Contains(r.metrics(2), "configuration_version") && r.version(2) })
	began := time.Now()
	var wait sync.WaitGroup
	for i := range 200 {
		wait.Go(func() { r.send(i%3, "GET", "/read/1", nil) })
	}
	wait.Wait()
	ran := 0
	for _, x := range r.tools {
		for _, run := range x.Runs() {
			if run.Tenant == "parish" {
				ran++
			}
		}
	}
	// Each VM may hold one token besides its share of the burst.
	require.LessOrEqual(t, float64(ran), rate+rate*time.Since(began).Seconds()+3)
	require.NotZero(t, ran)
}

// version says whether every VM has version 2 in force.
func (r *rig) version(number int) bool {
	for i := range r.vms {
		if !strings.Contains(r.metrics(i), fmt.Sprintf("} %d\n", number)) {
			return false
		}
	}
	return true
}

// TestStopCutsNothing guards against a planned stop that cuts a request, keeps
// itself ready, or leaves the process running.
func TestStopCutsNothing(t *testing.T) {
	r := newRig(t, 2)
	r.behave(r.model, platformtest.Behaviour{Events: 8, Gap: 100 * time.Millisecond})
	done := make(chan reply)
	go func() { done <- r.turn(0, "p", "", "one ") }()
	r.eventually(func() bool { return len(r.model[0].Runs())+len(r.model[1].Runs()) > 0 })
	r.vms[0].stop()
	r.eventually(func() bool { return !r.ready(0) })
	still := r.send(0, "GET", "/read/1", nil)
	require.Equal(t, 200, still.status)
	got := <-done
	require.NoError(t, got.err)
	require.Equal(t, 200, got.status)
	require.Equal(t, 200, r.turn(1, "p", got.id, "two ").status)
	require.NoError(t, <-r.vms[0].done)
	r.vms[0].done <- nil
}

// TestIsolatedVMStopsAdmitting guards against a withdrawn key that works on at a VM
// that is cut off from the store and from all other VMs.
func TestIsolatedVMStopsAdmitting(t *testing.T) {
	r := newRig(t, 1)
	r.store.SetDown(true)
	r.eventually(func() bool { return !r.ready(0) })
	r.eventually(func() bool {
		got := r.send(0, "GET", "/read/1", nil)
		return got.status == 503 && strings.Contains(got.body, "stale_configuration")
	})
	r.store.SetDown(false)
	r.eventually(func() bool { return r.ready(0) && r.send(0, "GET", "/read/1", nil).status == 200 })
}

// TestRefusalOfRepeatedRequestIsTrue guards against "not run" for a request of which
// one attempt may have run, and against a replica's status that callers would take
// for that promise.
func TestRefusalOfRepeatedRequestIsTrue(t *testing.T) {
	r := newRig(t, 1)
	for range 8 {
		r.tools[0].Behave(platformtest.Behaviour{Cut: true})
		r.tools[1].Behave(platformtest.Behaviour{Shed: true})
		got := r.send(0, "GET", "/read/1", nil)
		if len(r.runs(got.id)) > 0 {
			require.Equal(t, 502, got.status)
		} else {
			require.Equal(t, 503, got.status)
		}
	}
	r.behave(r.tools, platformtest.Behaviour{Status: 503})
	got := r.send(0, "POST", "/pay/1", nil)
	require.Equal(t, 502, got.status)
	require.Len(t, r.runs(got.id), 1)
}

// TestHangingReplicaIsLeftInTime guards against an idempotent request that waits for
// one replica until no time is left for another.
func TestHangingReplicaIsLeftInTime(t *testing.T) {
	r := newRig(t, 1)
	r.tools[0].Behave(platformtest.Behaviour{Delay: 3 * time.Second})
	for range 4 {
		require.Equal(t, 200, r.send(0, "GET", "/read/1", nil).status)
	}
}
