package platform_test

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/platform/platformtest"
)

const callTimeout = 10 * time.Second

// service is an implementation of the platform with functions that inject faults into it.
type service struct {
	platform.Client
	setOutage   func(bool)
	loseAnswers func(int)
	setVMs      func([]platform.VM)
}

func key(k string) platform.Key { return platform.Key{Table: "t", Key: k} }

func set(k, v string) platform.Write { return platform.Write{Key: key(k), Value: []byte(v)} }

func requireKind(t *testing.T, want platform.ErrorKind, err error) {
	t.Helper()
	var e *platform.Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, want, e.Kind, "%v", err)
}

func commit(t *testing.T, s service, tx platform.Tx) platform.TxResult {
	t.Helper()
	result, err := s.Commit(t.Context(), tx)
	require.NoError(t, err)
	return result
}

// conformance lists checks that run against the HTTP client with the stand-in and
// against the in-memory fake. Unit tests use the fake, so it must not promise more than
// the protocol does.
var conformance = []struct {
	name string
	run  func(t *testing.T, s service)
}{
	{"a failed condition applies no write", func(t *testing.T, s service) {
		first := commit(t, s, platform.Tx{Writes: []platform.Write{set("a", "1")}})
		require.True(t, first.Committed)
		second := commit(t, s, platform.Tx{
			Conditions: []platform.Condition{{Key: key("a"), Revision: first.Revision}, {Key: key("a")}},
			Writes:     []platform.Write{set("a", "2"), set("b", "2")},
		})
		require.Equal(t, platform.TxResult{Failed: []int{1}}, second)
		r, err := s.Read(t.Context(), platform.Read{Gets: []platform.Key{key("b"), key("a")}})
		require.NoError(t, err)
		require.Equal(t, []platform.Row{{Key: key("b")}, {Key: key("a"), Value: []byte("1"), Revision: first.Revision}}, r.Rows)
	}},
	{"a deleted row is absent for conditions and a tombstone for a Since read", func(t *testing.T, s service) {
		first := commit(t, s, platform.Tx{Writes: []platform.Write{set("a", "1")}})
		deleted := commit(t, s, platform.Tx{Writes: []platform.Write{{Key: key("a"), Delete: true}, {Key: key("never"), Delete: true}}})
		r, err := s.Read(t.Context(), platform.Read{Since: []platform.Since{{Table: "t", Revision: first.Revision}}})
		require.NoError(t, err)
		require.Equal(t, [][]platform.Row{{{Key: key("a"), Revision: deleted.Revision, Deleted: true}}}, r.Changes)
		again := commit(t, s, platform.Tx{Conditions: []platform.Condition{{Key: key("a")}}, Writes: []platform.Write{set("a", "2")}})
		require.True(t, again.Committed)
	}},
	{"pages of a Since read omit no row of a transaction", func(t *testing.T, s service) {
		commit(t, s, platform.Tx{Writes: []platform.Write{set("p/a", "1"), set("p/b", "1"), set("q/c", "1")}})
		last := commit(t, s, platform.Tx{Writes: []platform.Write{set("p/d", "1")}})
		var keys []string
		since := platform.Since{Table: "t", Prefix: "p/", Limit: 1}
		for more := true; more; {
			r, err := s.Read(t.Context(), platform.Read{Since: []platform.Since{since}})
			require.NoError(t, err)
			for _, row := range r.Changes[0] {
				keys, since.Revision = append(keys, row.Key.Key), row.Revision
			}
			require.Equal(t, last.Revision, r.Revision)
			more = r.More[0]
		}
		require.ElementsMatch(t, []string{"p/a", "p/b", "p/d"}, keys)
	}},
	{"a row written twice in one transaction is refused", func(t *testing.T, s service) {
		_, err := s.Commit(t.Context(), platform.Tx{Writes: []platform.Write{set("a", "1"), set("a", "2")}})
		requireKind(t, platform.NotApplied, err)
	}},
	{"an object is written once", func(t *testing.T, s service) {
		const name = "journal/vm 1/ü%2F?.bin"
		_, err := s.GetObject(t.Context(), name)
		requireKind(t, platform.NotFound, err)
		require.NoError(t, s.PutObject(t.Context(), name, []byte{0, 1}))
		requireKind(t, platform.Exists, s.PutObject(t.Context(), name, []byte{2}))
		part, err := s.GetObjectRange(t.Context(), name, 1, 1)
		require.NoError(t, err)
		require.Equal(t, []byte{1}, part)
		for _, beyond := range []int64{1, 2, 1 << 20} {
			_, err = s.GetObjectRange(t.Context(), name, beyond, 2)
			requireKind(t, platform.NotApplied, err)
		}
		body, err := s.GetObject(t.Context(), name)
		require.NoError(t, err)
		require.Equal(t, []byte{0, 1}, body)
		require.NoError(t, s.DeleteObject(t.Context(), name))
		require.NoError(t, s.DeleteObject(t.Context(), name))
		requireKind(t, platform.NotApplied, s.PutObject(t.Context(), "a/../b", nil))
	}},
	{"a lost answer leaves the outcome unknown and the writes applied", func(t *testing.T, s service) {
		s.loseAnswers(1)
		_, err := s.Commit(t.Context(), platform.Tx{Writes: []platform.Write{set("a", "1")}})
		requireKind(t, platform.OutcomeUnknown, err)
		r, err := s.Read(t.Context(), platform.Read{Gets: []platform.Key{key("a")}})
		require.NoError(t, err)
		require.Equal(t, "1", string(r.Rows[0].Value))
		// Revision 1: the transport must not have sent the transaction again.
		require.EqualValues(t, 1, r.Revision)
	}},
	{"a call during an outage is not applied", func(t *testing.T, s service) {
		s.setOutage(true)
		_, err := s.Commit(t.Context(), platform.Tx{Writes: []platform.Write{set("a", "1")}})
		requireKind(t, platform.NotApplied, err)
		_, err = s.VMs(t.Context())
		requireKind(t, platform.NotApplied, err)
		s.setOutage(false)
		r, err := s.Read(t.Context(), platform.Read{})
		require.NoError(t, err)
		require.Zero(t, r.Revision)
	}},
	{"the list of VMs is returned as set", func(t *testing.T, s service) {
		vms := []platform.VM{{ID: "r1", Address: "127.0.0.1:1", DataCentre: "brest-a", Endpoint: "caisse-app", State: platform.VMLeaving}}
		s.setVMs(vms)
		got, err := s.VMs(t.Context())
		require.NoError(t, err)
		require.Equal(t, vms, got)
	}},
}

func TestConformance(t *testing.T) {
	binary := buildStandin(t)
	for _, c := range conformance {
		t.Run("fake/"+c.name, func(t *testing.T) {
			f := platformtest.New()
			c.run(t, service{f, f.SetOutage, f.LoseAnswers, f.SetVMs})
		})
		t.Run("http/"+c.name, func(t *testing.T) {
			base := startPlatform(t, binary)
			faults := func(v map[string]any) { send(t, http.MethodPost, base+"/_faults", v) }
			c.run(t, service{
				platform.New(base, callTimeout, nil),
				func(on bool) { faults(map[string]any{"outage": on}) },
				func(n int) { faults(map[string]any{"lose_answers": n}) },
				func(vms []platform.VM) { send(t, http.MethodPut, base+"/v1/vms", vms) },
			})
		})
	}
}

// TestFakeAgreesWithStandin guards against a difference between the fake and the
// stand-in that the conformance checks do not cover. The seed is fixed.
func TestFakeAgreesWithStandin(t *testing.T) {
	ctx := t.Context()
	client, fake := platform.New(startPlatform(t, buildStandin(t)), callTimeout, nil), platformtest.New()
	random := rand.New(rand.NewPCG(1, 2))
	anyKey := func() platform.Key {
		return platform.Key{Table: string('t' + rune(random.IntN(2))), Key: fmt.Sprintf("%d/%d", random.IntN(2), random.IntN(3))}
	}
	var revision uint64
	for range 1000 {
		tx := platform.Tx{Writes: []platform.Write{}}
		for range random.IntN(4) {
			tx.Writes = append(tx.Writes, platform.Write{Key: anyKey(), Value: []byte{byte(random.IntN(256))}, Delete: random.IntN(3) == 0})
		}
		for range random.IntN(2) {
			k := anyKey()
			row, err := fake.Read(ctx, platform.Read{Gets: []platform.Key{k}})
			require.NoError(t, err)
			tx.Conditions = append(tx.Conditions, platform.Condition{Key: k, Revision: row.Rows[0].Revision + uint64(random.IntN(4)/3)})
		}
		want, wantErr := fake.Commit(ctx, tx)
		got, gotErr := client.Commit(ctx, tx)
		require.Equal(t, want, got)
		require.Equal(t, wantErr == nil, gotErr == nil, "%v, %v", wantErr, gotErr)
		revision = max(revision, want.Revision)

		k := anyKey()
		read := platform.Read{Gets: []platform.Key{k}, Since: []platform.Since{
			{Table: k.Table, Prefix: k.Key[:2], Revision: random.Uint64N(revision + 1), Limit: random.IntN(3)},
		}}
		require.Equal(t, sortedRead(t, fake, read), sortedRead(t, client, read))
	}
}

// sortedRead reads and sorts the rows of each revision by key, since the protocol does
// not define their order.
func sortedRead(t *testing.T, c platform.Client, r platform.Read) platform.ReadResult {
	t.Helper()
	result, err := c.Read(t.Context(), r)
	require.NoError(t, err)
	for _, rows := range result.Changes {
		require.True(t, slices.IsSortedFunc(rows, func(a, b platform.Row) int { return cmp.Compare(a.Revision, b.Revision) }))
		slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key.Key, b.Key.Key) })
	}
	return result
}

func buildStandin(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "standin")
	out, err := exec.Command("go", "build", "-o", binary, "hornbeamvale.example/hornbeamvale/standin/cmd/standin").CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

// startPlatform runs the stand-in until the test ends and then checks that SIGTERM ends
// it with status 0.
func startPlatform(t *testing.T, binary string) (base string) {
	t.Helper()
	cmd := exec.Command(binary, "platform")
	stdout, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	line, err := bufio.NewReader(stdout).ReadString('\n')
	t.Cleanup(func() {
		require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
		require.NoError(t, cmd.Wait())
	})
	require.NoError(t, err)
	address, ok := strings.CutPrefix(strings.TrimSpace(line), "listening ")
	require.True(t, ok, line)
	return "http://" + address
}

func send(t *testing.T, method, url string, v any) {
	t.Helper()
	body, err := json.Marshal(v)
	require.NoError(t, err)
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusNoContent, response.StatusCode)
}

// TestKindOfWriteErrors guards against a write that is reported as not applied although
// it may have been. A caller that relies on the report would apply it twice.
func TestKindOfWriteErrors(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := "http://" + listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = platform.New(closed, callTimeout, nil).Commit(t.Context(), platform.Tx{})
	requireKind(t, platform.NotApplied, err)

	// A listener that completes no TLS handshake: no request can be written.
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer silent.Close()
	_, err = platform.New("https://"+silent.Addr().String(), 50*time.Millisecond, nil).Commit(t.Context(), platform.Tx{})
	requireKind(t, platform.NotApplied, err)

	for name, c := range map[string]struct {
		status int
		body   string
		want   platform.ErrorKind
	}{
		"gateway timeout":              {http.StatusGatewayTimeout, "<html>", platform.OutcomeUnknown},
		"unavailable, no effect":       {http.StatusServiceUnavailable, `{"error":"x","effect":"none"}`, platform.NotApplied},
		"unavailable, no effect field": {http.StatusServiceUnavailable, `{}`, platform.OutcomeUnknown},
		"truncated answer":             {http.StatusOK, `{"committed":`, platform.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			_, err := platform.New(server.URL, callTimeout, nil).Commit(t.Context(), platform.Tx{})
			requireKind(t, c.want, err)
		})
	}
	t.Run("timeout", func(t *testing.T) {
		release := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
		defer server.Close()
		defer close(release)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := platform.New(server.URL, callTimeout, nil).Commit(ctx, platform.Tx{})
		requireKind(t, platform.OutcomeUnknown, err)
	})
}
