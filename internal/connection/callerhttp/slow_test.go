package callerhttp

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/connection/call"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// post writes a chat completions request to nc.
func post(t *testing.T, nc net.Conn, body string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://a"+chatPath, strings.NewReader(body))
	require.NoError(t, err)
	require.NoError(t, r.Write(nc))
}

// TestSlowCaller guards against a turn that never ends because its caller does not read
// the answer.
func TestSlowCaller(t *testing.T) {
	failed := make(chan error, 1)
	h := &recorder{serve: func(r call.Responder) *refusal.Refusal {
		for {
			if err := r.Chunk(call.Chunk{Text: strings.Repeat("a", 1<<20)}); err != nil {
				failed <- err
				return nil
			}
		}
	}}
	srv := httptest.NewServer(NewHandler(h, Options{WriteTimeout: 50 * time.Millisecond}))
	defer srv.Close()
	nc, err := net.Dial("tcp", srv.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = nc.Close() }()
	post(t, nc, chat)
	select {
	case <-failed:
	case <-time.After(30 * time.Second):
		t.Fatal("the handler still writes to a caller that does not read")
	}
}
