// Package endpointhttp is the HTTP client for replicas of endpoints: chat completions
// with server-sent events, calls of plain services, cache releases, load reports, cache
// events and orders. Connections are reused between requests. An error tells whether
// the request may have run.
package endpointhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/connection/conntrack"
	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/httphead"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

const (
	// dialTimeout bounds the TCP connect. It is far above the network delay to replicas,
	// which is a few milliseconds at most.
	dialTimeout = 2 * time.Second
	// silence is how long a request waits for the head of its response before its failure
	// counts as evidence against the idle connections to the replica.
	silence = 500 * time.Millisecond
	// idleTimeout is how long an unused connection is kept. It closes connections to
	// replicas that no longer get requests.
	idleTimeout = 30 * time.Second
	// idlePerReplica is the largest number of unused connections to one replica. It
	// covers one connection for each request of a usual engine batch.
	idlePerReplica = 256
	// maxErrorBody is how much of the body of an error response, or of a stream after its
	// final event, is read at most, in bytes.
	maxErrorBody = 64 << 10
	// maxResponse is the largest response body of a plain service, in bytes.
	maxResponse = 8 << 20
)

// Client sends requests to replicas. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
	dialer    *conntrack.Dialer
	// OnSilentClose, if set, is told of connections that were closed as silent. It must not
	// block, and is set before the first request.
	OnSilentClose func(conntrack.SilentClose)
}

// New returns a client with its own connection pool.
func New() *Client {
	dialer := conntrack.NewDialer(dialTimeout, 0)
	return &Client{dialer: dialer, transport: &http.Transport{
		Proxy:               nil,
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idlePerReplica,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// Close closes the connections that no request uses.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// unrewindableBody is a request body that the transport cannot rewind. http.Transport
// repeats a request by itself if its body can be rewound and its method or an
// Idempotency-Key header suggests that a repeat is safe. Whether it is safe is for the
// configuration to decide, so the transport must not repeat requests.
type unrewindableBody struct{ io.Reader }

func (unrewindableBody) Close() error { return nil }

// send sends one request. The caller must close the body of the response. The pool may hand out
// a connection that was closed a moment ago; the request then goes out on another one.
func (c *Client) send(ctx context.Context, method string, u *url.URL, header http.Header, body []byte) (*http.Response, *Error) {
	for closed := 0; ; closed++ {
		resp, err := c.sendOnce(ctx, method, u, header, body)
		if err == nil || closed == idlePerReplica || ctx.Err() != nil || err.Run != refusal.NotRun || !errors.Is(err, net.ErrClosed) {
			return resp, err
		}
	}
}

// sendOnce sends a request on one connection.
func (c *Client) sendOnce(ctx context.Context, method string, u *url.URL, header http.Header, body []byte) (*http.Response, *Error) {
	var tracker conntrack.RequestTracker
	req, err := http.NewRequestWithContext(tracker.WithTrace(ctx), method, u.String(), nil)
	if err != nil {
		return nil, &Error{Run: refusal.NotRun, Replica: u.Host, Err: err}
	}
	req.Header = header
	req.Body = unrewindableBody{bytes.NewReader(body)}
	req.ContentLength = int64(len(body))
	sent := clock.Monotonic()
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		if silent := clock.Monotonic() - sent; silent >= silence {
			closed := c.dialer.CloseSilent(u.Host, sent, conntrack.IdleOnly)
			if closed > 0 && c.OnSilentClose != nil {
				c.OnSilentClose(conntrack.SilentClose{Address: u.Host, Closed: closed, Silent: silent, Evidence: method + " " + u.Path})
			}
		}
		// WroteHeaders of httptrace reports too late what was written: it is called when the
		// headers are in the buffer, part of which may have been flushed before.
		tracker.Close()
		run := refusal.NotRun
		if tracker.Wrote() {
			run = refusal.Unknown
		}
		return nil, &Error{Run: run, Replica: u.Host, Err: err}
	}
	if err := httphead.Check(resp); err != nil {
		_ = resp.Body.Close()
		tracker.Discard()
		return nil, &Error{Run: refusal.Unknown, Replica: u.Host, Err: err}
	}
	return resp, nil
}

// sendJSON sends a POST request with v as JSON, or a GET request if v is nil.
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
