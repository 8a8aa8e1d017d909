package endpointhttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/connection/call"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// startReplica returns a client and the address of a replica that answers with h.
func startReplica(t *testing.T, h http.HandlerFunc) (*Client, string) {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	c := New()
	t.Cleanup(c.Close)
	return c, strings.TrimPrefix(srv.URL, "http://")
}

// asError requires that err is an *Error and returns it.
func asError(t *testing.T, err error) *Error {
	t.Helper()
	var e *Error
	require.ErrorAs(t, err, &e)
	return e
}

// TestChatEnds guards against a truncated stream that is taken for a whole answer.
func TestChatEnds(t *testing.T) {
	const text = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
	const stop = "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":7}}\n\n"
	for _, tt := range []struct {
		name, body string
		whole      bool
		chunks     int
	}{
		{"whole", text + text + stop + "data: [DONE]\n\n", true, 3},
		{"no done", text + stop, false, 2},
		{"no finish reason", text + "data: [DONE]\n\n", false, 1},
		{"error event", text + "event: error\ndata: {\"error\":\"leaving\",\"effect\":\"none\"}\n\n", false, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c, address := startReplica(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, tt.body) })
			s, err := c.Chat(context.Background(), address, ChatRequest{})
			require.NoError(t, err)
			defer s.Close()
			n := 0
			for ; err == nil; n++ {
				_, err = s.Next()
			}
			require.Equal(t, tt.chunks, n-1)
			require.Equal(t, tt.whole, errors.Is(err, io.EOF))
			if !tt.whole {
				e := asError(t, err)
				require.Equal(t, refusal.Unknown, e.Run)
				require.Equal(t, tt.chunks, e.Chunks)
			}
		})
	}
}

// TestRunStateOfFailures guards against a failed request that is reported as not run
// although it may have run.
func TestRunStateOfFailures(t *testing.T) {
	for _, tt := range []struct {
		name, body string
		status     int
		want       refusal.RunState
	}{
		{"leaving", `{"error":"leaving","effect":"none"}`, 503, refusal.NotRun},
		{"leaving without effect", `{"error":"leaving"}`, 503, refusal.Unknown},
		{"other code", `{"error":"x","effect":"none"}`, 503, refusal.Unknown},
		{"other status", `{"error":"leaving","effect":"none"}`, 500, refusal.Unknown},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c, address := startReplica(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tt.status)
				_, _ = io.WriteString(w, tt.body)
			})
			_, err := c.Chat(context.Background(), address, ChatRequest{})
			require.Equal(t, tt.want, asError(t, err).Run)
		})
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	_, err = New().CallService(context.Background(), address, ServiceRequest{Service: call.Service{Method: "POST", Path: "/"}})
	require.Equal(t, refusal.NotRun, asError(t, err).Run)
}

// TestTransportDoesNotRetry guards against a retry by the transport itself on a reused
// connection, which would run the request twice.
func TestTransportDoesNotRetry(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		var runs atomic.Int32
		c, address := startReplica(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/warm" {
				return
			}
			runs.Add(1)
			panic(http.ErrAbortHandler)
		})
		_, err := c.CallService(context.Background(), address, ServiceRequest{Service: call.Service{Method: "GET", Path: "/warm"}})
		require.NoError(t, err)
		_, err = c.CallService(context.Background(), address, ServiceRequest{Service: call.Service{
			Method: method, Path: "/pay", Headers: []call.Header{{Name: "Idempotency-Key", Value: "k"}},
		}})
		require.Equal(t, refusal.Unknown, asError(t, err).Run)
		require.EqualValues(t, 1, runs.Load())
	}
}

// TestCallForwardsOnlyAllowedHeaders guards against credentials that are sent to a
// replica, and against a client that follows redirects.
func TestCallForwardsOnlyAllowedHeaders(t *testing.T) {
	c, address := startReplica(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Location", "/elsewhere")
		w.WriteHeader(http.StatusFound)
		_, _ = fmt.Fprintf(w, "%s %s %q %q", r.URL.EscapedPath(), r.Header.Get("Hornbeamvale-Request-Id"), r.Header.Get("Authorization"), r.Header.Get("X-A"))
	})
	resp, err := c.CallService(context.Background(), address, ServiceRequest{RequestID: "id1", Service: call.Service{
		Method: "GET", Path: "/a%2Fb", Headers: []call.Header{{Name: "authorization", Value: "s"}, {Name: "X-A", Value: "v"}},
	}})
	require.NoError(t, err)
	require.Equal(t, http.StatusFound, resp.Status)
	require.Equal(t, `/a%2Fb id1 "" "v"`, string(resp.Body))
}

// FuzzEvents guards against a panic, unbounded memory and an endless loop on a malformed
// event stream.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("event: error\r\ndata: a\ndata: b\n\n: c\ndata:[DONE]\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, total := newEventReader(bytes.NewReader(data)), 0
		for {
			ev, err := r.next()
			if err != nil {
				return
			}
			total += len(ev.data)
			if total > len(data) {
				t.Fatalf("%d bytes of data from %d bytes", total, len(data))
			}
			_, _ = decodeChunk(ev.data)
		}
	})
}
