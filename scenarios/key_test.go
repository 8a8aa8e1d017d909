package scenarios

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/operator"
	"hornbeamvale.example/hornbeamvale/standin/fleet/process"
)

// TestNoEndpointSeesAKey guards against a caller's key that reaches an endpoint. The
// service stand-in reports every header value that it has received. A request whose
// query contains the key must be refused; it must not be forwarded with the key removed.
func TestNoEndpointSeesAKey(t *testing.T) {
	const key = "alice-secret-key"
	dir := t.TempDir()
	platform, service := startStandIn(t, "platform"), startStandIn(t, "service")
	v, err := process.NewVM(binaries, dir, "entry-01")
	require.NoError(t, err)
	require.NoError(t, v.Configure(v.PlaintextSettings("annotto-bay", platform.Address, v.Peer, operatorKey)))
	require.NoError(t, v.Start())
	t.Cleanup(v.Kill)
	awaitStatus(t, http.DefaultClient, "http://"+v.Operator+"/readyz", http.StatusOK)
	submitDocument(t, dir, "http://"+v.Operator, "", &operator.Document{
		Fleet: operator.Fleet{Seats: 1},
		Customers: []operator.Customer{{
			Name: "alice", Keys: []operator.Key{operator.NewKey("k", key)}, Rate: 100, Burst: 100, Endpoints: []string{"*"}, Programs: []string{"*"},
		}},
		Programs: []operator.Program{{Name: "booking"}},
		Endpoints: []operator.Endpoint{{
			Name: "ledger", Kind: operator.KindService, Replicas: []string{service.Address},
			Routes: []operator.Route{{Method: http.MethodGet, Prefix: "/", Idempotent: true}},
		}},
	})

	call := func(path string) int {
		request, err := http.NewRequest(http.MethodGet, "http://"+v.Caller+"/v1/endpoints/ledger"+path, nil)
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+key)
		request.Header.Set("Cookie", "session=abc")
		request.Header.Set("Hornbeamvale-Program", "booking:1")
		request.Header.Set("X-Trace", "kept")
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		_ = response.Body.Close()
		return response.StatusCode
	}
	ctx, cancel := context.WithTimeout(context.Background(), goTestTimeout)
	defer cancel()
	require.NoError(t, process.WaitUntil(ctx, func() bool { return call("/lots/88") == http.StatusOK }))
	require.Equal(t, http.StatusBadRequest, call("/lots/88?token="+key))

	response, err := http.Get("http://" + service.Address + "/_headers")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	var headers map[string][]string
	require.NoError(t, json.Unmarshal(body, &headers))
	require.Contains(t, headers, "X-Trace", "headers of the caller are forwarded")
	require.NotContains(t, string(body), key)
	require.NotContains(t, headers, "Authorization")
	require.NotContains(t, headers, "Cookie")
	require.Equal(t, 1, runCount(t, service.Address, "/lots/88"), "the call with the key in its query must not run")
}

// runCount returns how many requests of a path ran at a service stand-in.
func runCount(t *testing.T, address, path string) int {
	response, err := http.Get("http://" + address + "/_counts")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	var counts struct{ Paths map[string]int }
	require.NoError(t, json.NewDecoder(response.Body).Decode(&counts))
	return counts.Paths[path]
}
