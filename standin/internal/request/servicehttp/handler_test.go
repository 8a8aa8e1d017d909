package servicehttp

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/standin/internal/process/loop"
	"hornbeamvale.example/hornbeamvale/standin/internal/process/service"
)

// waitLimit is the maximum duration of a wait in these tests.
const waitLimit = 20 * time.Second

// TestFaultyRequestsCount guards against a request that ran with an injected fault but is
// missing from the counts, which would hide a repeated run from other tests.
func TestFaultyRequestsCount(t *testing.T) {
	stateLoop := loop.New(service.NewState())
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go stateLoop.Run(ctx)
	server := httptest.NewServer(New(stateLoop))
	defer server.Close()
	do := func(ctx context.Context, method, path, body string) (string, error) {
		r, err := http.NewRequestWithContext(ctx, method, server.URL+path, strings.NewReader(body))
		require.NoError(t, err)
		r.Header.Set("User-Agent", "test")
		if !strings.HasPrefix(path, "/_") {
			r.Header.Set(requestIDHeader, "id1")
		}
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			return "", err
		}
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		return string(text), err
	}
	text, err := do(t.Context(), http.MethodPost, "/pay//now", "{}")
	require.NoError(t, err)
	require.JSONEq(t, `{"method":"POST","path":"/pay//now","request_id":"id1","run":1}`, text)

	_, err = do(t.Context(), http.MethodPost, "/_faults", `{"cut_before_answer":true}`)
	require.NoError(t, err)
	_, err = do(t.Context(), http.MethodPost, "/pay//now", "{}")
	require.Error(t, err)

	_, err = do(t.Context(), http.MethodPost, "/_faults", `{"hang":true}`)
	require.NoError(t, err)
	hung, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := do(hung, http.MethodPost, "/pay//now", "{}")
		done <- err
	}()
	const want = `{"requests":{"id1":3},"paths":{"/pay//now":3}}`
	counted := func() bool {
		text, err := do(t.Context(), http.MethodGet, "/_counts", "")
		return err == nil && strings.TrimSpace(text) == want
	}
	require.Eventually(t, counted, waitLimit, time.Millisecond)
	cancel()
	require.ErrorIs(t, <-done, context.Canceled)
	idle := func() bool {
		text, err := do(t.Context(), http.MethodGet, "/v1/load", "")
		return err == nil && strings.TrimSpace(text) == `{"running":0}`
	}
	require.Eventually(t, idle, waitLimit, time.Millisecond, "a hung request must end with its client")

	text, err = do(t.Context(), http.MethodGet, "/_headers", "")
	require.NoError(t, err)
	require.Contains(t, text, `"Hornbeamvale-Request-Id":["id1"]`)
	require.NotContains(t, text, "Authorization")
}
