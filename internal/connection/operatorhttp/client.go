package operatorhttp

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/httphead"
)

const (
	// defaultAttemptTimeout is above the server's own time limit, so that the server's
	// typed error arrives before the client gives up.
	defaultAttemptTimeout = requestTimeout + 5*time.Second
	// dialTimeout is short, so that a VM that is gone hardly delays the attempt at the
	// next one.
	dialTimeout = 3 * time.Second
	// maxAnswer is the largest answer in bytes. It bounds the memory for one answer.
	maxAnswer = 64 << 20
)

// ClientOptions configures a client.
type ClientOptions struct {
	// Servers lists base URLs such as "https://10.0.0.1:7445". They are tried in order.
	Servers []string
	// Key is the operators' key; empty if TLS has a client certificate instead.
	Key string
	TLS *tls.Config
	// Timeout bounds one attempt at one server; 0 means 25 s.
	Timeout time.Duration
}

// Client sends operators' requests to VMs and implements Backend. Errors are *Error if a
// server answered and *UnreachableError if none did.
type Client struct {
	options ClientOptions
	http    *http.Client
}

var _ Backend = (*Client)(nil)

// NewClient returns a client. It opens no connection.
func NewClient(o ClientOptions) *Client {
	if o.Timeout == 0 {
		o.Timeout = defaultAttemptTimeout
	}
	return &Client{options: o, http: &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			TLSHandshakeTimeout: dialTimeout,
			TLSClientConfig:     o.TLS,
			ForceAttemptHTTP2:   true,
		},
		// Redirects are not followed, since that would send the key to another server.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes the connections that no request uses.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// NewSubmissionID returns a random submission id.
func NewSubmissionID() string { return rand.Text() }

// Submit implements Backend.
func (c *Client) Submit(ctx context.Context, s Submission) (Accepted, error) {
	return call[Accepted](ctx, c, http.MethodPost, "/v1/config", s)
}

// Current implements Backend.
func (c *Client) Current(ctx context.Context) (Configuration, error) {
	return call[Configuration](ctx, c, http.MethodGet, "/v1/config", nil)
}

// WithdrawKey implements Backend.
func (c *Client) WithdrawKey(ctx context.Context, w KeyWithdrawal) (Accepted, error) {
	return call[Accepted](ctx, c, http.MethodPost, "/v1/keys/withdraw", w)
}

// Drain implements Backend.
func (c *Client) Drain(ctx context.Context, d Drain) (Accepted, error) {
	return call[Accepted](ctx, c, http.MethodPost, "/v1/drain", d)
}

// Status implements Backend.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, "/v1/status", nil)
}

// Events implements Backend.
func (c *Client) Events(ctx context.Context, run string) (EventPage, error) {
	return call[EventPage](ctx, c, http.MethodGet, "/v1/events?program="+url.QueryEscape(run), nil)
}

// Settle implements Backend.
func (c *Client) Settle(ctx context.Context, s Settlement) error {
	_, err := call[struct{}](ctx, c, http.MethodPost, "/v1/settle", s)
	return err
}

// call sends a request and returns its decoded answer.
func call[A any](ctx context.Context, c *Client, method, path string, request any) (A, error) {
	var answer A
	err := c.do(ctx, method, path, request, &answer)
	return answer, err
}

// do sends a request to the servers in order until one answers. request is encoded as
// JSON unless it is nil, and the answer is decoded into answer. Trying the next server is
// safe for changes as well: they have a submission id or may be repeated.
func (c *Client) do(ctx context.Context, method, path string, request, answer any) error {
	var body []byte
	if request != nil {
		var err error
		if body, err = json.Marshal(request); err != nil {
			return NewError(BadRequest, "the request cannot be encoded: %v", err)
		}
	}
	unreachable := &UnreachableError{}
	for _, server := range c.options.Servers {
		status, data, err := c.attempt(ctx, method, strings.TrimSuffix(server, "/")+path, body)
		if err == nil {
			return decodeAnswer(server, status, data, answer)
		}
		unreachable.Attempts = append(unreachable.Attempts, Attempt{Server: server, Err: err})
		if ctx.Err() != nil {
			break
		}
	}
	return unreachable
}

// attempt sends the request to one server and returns the status and body of its answer.
func (c *Client) attempt(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if c.options.Key != "" {
		r.Header.Set("Authorization", "Bearer "+c.options.Key)
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	if err := httphead.Check(resp); err != nil {
		c.http.CloseIdleConnections() // a response without a body has returned its own
		return 0, nil, err
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err == nil && len(data) > maxAnswer {
		err = fmt.Errorf("the answer is larger than %d bytes", maxAnswer)
	}
	return resp.StatusCode, data, err
}

// decodeAnswer decodes the body of a successful answer into answer, or returns the error
// that the server sent.
func decodeAnswer(server string, status int, data []byte, answer any) error {
	if status == http.StatusOK {
		if err := json.Unmarshal(data, answer); err != nil {
			return NewError(Internal, "%s sent an answer that is not valid: %v", server, err)
		}
		return nil
	}
	var e errorBody
	if err := json.Unmarshal(data, &e); err != nil || e.Error == nil {
		return NewError(Internal, "%s answered with status %d", server, status)
	}
	return e.Error
}
