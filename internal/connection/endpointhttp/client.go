// Package endpointhttp is the HTTP client of replicas: chat completions with
// server-sent events, plain service calls, cache releases, load reports and
// cache events. Its connections are reused between requests; an error tells
// whether the request may have run.
package endpointhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

const (
	// dialTimeout bounds the connect; replicas are at most a few milliseconds away.
	dialTimeout = 2 * time.Second
	// idleTimeout closes connections to replicas that are no longer picked.
	idleTimeout = 30 * time.Second
	// idlePerReplica keeps a connection for each request in a usual engine batch.
	idlePerReplica = 256
	// maxErrorBody bounds how much of an error response is read, in bytes.
	maxErrorBody = 64 << 10
	// maxResponse bounds the response of a plain service call, in bytes.
	maxResponse = 8 << 20
)

// Client sends requests to replicas. It is safe for concurrent use.
type Client struct{ transport *http.Transport }

// New returns a client with its own connection pool.
func New() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{transport: &http.Transport{
		Proxy: nil,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost: idlePerReplica,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// countingConn counts the bytes whose write was started.
type countingConn struct {
	net.Conn
	started atomic.Int64
}

// Write counts before it writes, so that a count read after Close is final:
// a write that starts later fails.
func (c *countingConn) Write(p []byte) (int, error) {
	c.started.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// attempt records on which connections one request was placed.
type attempt struct {
	mu    sync.Mutex
	conns []*countingConn
	base  []int64
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if conn, ok := info.Conn.(*countingConn); ok {
		a.conns = append(a.conns, conn)
		a.base = append(a.base, conn.started.Load())
	}
}

// runState closes the connections of a failed request and says whether a byte
// was written. WroteHeaders of httptrace is too late for this: it reports after
// the headers reached the buffer, which may have been flushed in part before.
func (a *attempt) runState() refusal.RunState {
	a.mu.Lock()
	defer a.mu.Unlock()
	run := refusal.NotRun
	for i, conn := range a.conns {
		_ = conn.Close()
		if conn.started.Load() != a.base[i] {
			run = refusal.Unknown
		}
	}
	return run
}

// onceBody is a body that the transport cannot rewind. http.Transport repeats a
// request on its own when the body can be rewound and the method or an
// Idempotency-Key header suggests that this is safe; whether it is safe is
// decided by the configuration, so such a repeat must not happen here.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

// send makes one request. The caller closes the response's body.
func (c *Client) send(ctx context.Context, method string, u *url.URL, header http.Header, body []byte) (*http.Response, *Error) {
	a := &attempt{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn})
	req, err := http.NewRequestWithContext(ctx, method, u.String(), nil)
	if err != nil {
		return nil, &Error{Run: refusal.NotRun, Replica: u.Host, Err: err}
	}
	req.Header = header
	req.Body = onceBody{bytes.NewReader(body)}
	req.ContentLength = int64(len(body))
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, &Error{Run: a.runState(), Replica: u.Host, Err: err}
	}
	return resp, nil
}

// sendJSON posts v, or makes a GET request if v is nil.
func (c *Client) sendJSON(ctx context.Context, u *url.URL, header http.Header, v any) (*http.Response, *Error) {
	if v == nil {
		return c.send(ctx, http.MethodGet, u, header, nil)
	}
	body, err := json.Marshal(v)
	if err != nil {
		return nil, &Error{Run: refusal.NotRun, Replica: u.Host, Err: err}
	}
	header.Set("Content-Type", "application/json")
	return c.send(ctx, http.MethodPost, u, header, body)
}

func replicaURL(address, path string) *url.URL {
	return &url.URL{Scheme: "http", Host: address, Path: path}
}
