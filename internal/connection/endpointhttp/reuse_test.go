package endpointhttp

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/connection/call"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// TestCancelAndReuse guards against an answer that reaches a later request on the same
// connection, an engine that runs on after a cancel, and a new connection for every
// chat.
func TestCancelAndReuse(t *testing.T) {
	var mu sync.Mutex
	remotes := map[string][]string{}
	cancelled := make(chan struct{})
	c, address := startReplica(t, func(w http.ResponseWriter, r *http.Request) {
		program := r.Header.Get(programHeader)
		mu.Lock()
		remotes[program] = append(remotes[program], r.RemoteAddr)
		mu.Unlock()
		_, _ = io.WriteString(w, `data: {"choices":[{"delta":{"content":"`+program+`"},"finish_reason":"stop"}]}`+"\n\n")
		_ = http.NewResponseController(w).Flush()
		if program == "cancelled" {
			<-r.Context().Done()
			close(cancelled)
			return
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
	chat := func(ctx context.Context, program string) *ChatStream {
		s, err := c.Chat(ctx, address, ChatRequest{Program: program})
		require.NoError(t, err)
		chunk, err := s.Next()
		require.NoError(t, err)
		require.Equal(t, program, chunk.Text)
		return s
	}
	for range 2 {
		_, err := chat(context.Background(), "whole").Next()
		require.ErrorIs(t, err, io.EOF)
	}
	remote := func(program string, i int) string {
		mu.Lock()
		defer mu.Unlock()
		return remotes[program][i]
	}
	require.Equal(t, remote("whole", 0), remote("whole", 1))

	ctx, cancel := context.WithCancel(context.Background())
	s := chat(ctx, "cancelled")
	cancel()
	_, err := s.Next()
	require.Equal(t, refusal.Unknown, asError(t, err).Run)
	require.Equal(t, 1, asError(t, err).Chunks)
	<-cancelled
	_, err = chat(context.Background(), "next").Next()
	require.ErrorIs(t, err, io.EOF)
	require.NotEqual(t, remote("cancelled", 0), remote("next", 0))
}

// TestCancelledBeforeSending guards against a run state of unknown for a request of which
// nothing was sent.
func TestCancelledBeforeSending(t *testing.T) {
	c, address := startReplica(t, func(http.ResponseWriter, *http.Request) {})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := c.CallService(ctx, address, ServiceRequest{Service: call.Service{Method: "POST", Path: "/", Body: []byte("b")}})
	require.Equal(t, refusal.NotRun, asError(t, err).Run)
	require.True(t, errors.Is(err, context.Canceled))
}

// TestEngineProtocol guards against a change of the paths and fields of the engine
// protocol.
func TestEngineProtocol(t *testing.T) {
	c, address := startReplica(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		switch r.Method + " " + r.URL.RequestURI() {
		case "POST /v1/cache/release":
			if string(body) != `{"program":"p"}` {
				w.WriteHeader(http.StatusBadRequest)
			}
		case "GET /v1/load":
			_, _ = io.WriteString(w, `{"running":2,"waiting":3,"batch_limit":8}`)
		case "GET /v1/cache/events?since=4":
			_, _ = io.WriteString(w, `{"events":[{"sequence":6,"kind":"removed","program":"p","blocks":9}],"latest":6}`)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
	ctx := context.Background()
	require.NoError(t, c.ReleaseCache(ctx, address, "p"))
	l, err := c.Load(ctx, address)
	require.NoError(t, err)
	require.Equal(t, LoadReport{Running: 2, Waiting: 3, BatchLimit: 8}, l)
	page, err := c.CacheEvents(ctx, address, 4)
	require.NoError(t, err)
	require.Equal(t, CacheEventPage{Events: []CacheEvent{{6, "removed", "p", 9}}, Latest: 6}, page)
}
