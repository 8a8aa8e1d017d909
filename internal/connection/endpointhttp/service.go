package endpointhttp

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"hornbeamvale.example/hornbeamvale/internal/connection/call"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

var errResponseTooLarge = errors.New("response exceeds 8 MiB")

// ServiceRequest is one call of a plain service. RequestID is not sent if it is empty.
type ServiceRequest struct {
	Service   call.Service
	RequestID string
}

// ServiceResponse is the replica's whole response, with any status.
type ServiceResponse struct {
	Status  int
	Headers []call.Header
	Body    []byte
}

// CallService calls a plain service at the replica. Errors are *Error.
func (c *Client) CallService(ctx context.Context, address string, r ServiceRequest) (*ServiceResponse, error) {
	u := replicaURL(address, "")
	path, err := url.PathUnescape(r.Service.Path)
	if err != nil {
		return nil, &Error{Run: refusal.NotRun, Replica: address, Err: err}
	}
	u.Path, u.RawPath, u.RawQuery = path, r.Service.Path, r.Service.Query
	header := http.Header{}
	for _, h := range r.Service.Headers {
		if call.Forwardable(h.Name, nil) {
			header.Add(h.Name, h.Value)
		}
	}
	if r.RequestID != "" {
		header.Set(requestIDHeader, r.RequestID)
	}
	resp, sendErr := c.send(ctx, r.Service.Method, u, header, r.Service.Body)
	if sendErr != nil {
		return nil, sendErr
	}
	return readService(address, resp)
}

// readService reads the response of a plain service. A response in which the replica
// states that it has not started the request is returned as an *Error.
func readService(address string, resp *http.Response) (*ServiceResponse, error) {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse+1))
	if err == nil && len(body) > maxResponse {
		err = errResponseTooLarge
	}
	if err != nil {
		return nil, &Error{Run: refusal.Unknown, Replica: address, Status: resp.StatusCode, Err: err}
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		if e := statusError(address, resp.StatusCode, body); e.Run == refusal.NotRun {
			return nil, e
		}
	}
	out := &ServiceResponse{Status: resp.StatusCode, Body: body}
	for name, values := range resp.Header {
		if !call.Forwardable(name, resp.Header["Connection"]) {
			continue
		}
		for _, value := range values {
			out.Headers = append(out.Headers, call.Header{Name: name, Value: value})
		}
	}
	return out, nil
}

// ReleaseCache instructs the engine to drop the cache of a program. It may be repeated.
func (c *Client) ReleaseCache(ctx context.Context, address, program string) error {
	v := struct {
		Program string `json:"program"`
	}{program}
	return c.exchangeJSON(ctx, replicaURL(address, "/v1/cache/release"), v, nil)
}

// LoadReport is a replica's report of its own load. It may be out of date.
type LoadReport struct {
	Running int `json:"running"` // requests
	Waiting int `json:"waiting"` // requests
	// BatchLimit is the largest number of requests that run together; 0 if not
	// reported.
	BatchLimit int `json:"batch_limit"`
	// Models, Role and Fence are the state that orders have brought about.
	Models []string `json:"models"`
	Role   string   `json:"role"`
	Fence  uint64   `json:"fence"`
}

// Load reads the replica's load report.
func (c *Client) Load(ctx context.Context, address string) (LoadReport, error) {
	var l LoadReport
	err := c.exchangeJSON(ctx, replicaURL(address, "/v1/load"), nil, &l)
	return l, err
}

// CacheEvent reports that a program's prefix was stored in the cache or evicted.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"` // "stored" or "removed"
	Program  string `json:"program"`
	Blocks   int64  `json:"blocks"` // the program's cached blocks after the event
}

// CacheEventPage is one page of events. Events are missing if the first Sequence is
// above the requested sequence number plus 1.
type CacheEventPage struct {
	Events []CacheEvent `json:"events"`
	// Latest is the sequence number of the replica's newest event. It falls when the
	// replica restarts.
	Latest uint64 `json:"latest"`
}

// CacheEvents reads the replica's cache events after the sequence number since.
func (c *Client) CacheEvents(ctx context.Context, address string, since uint64) (CacheEventPage, error) {
	u := replicaURL(address, "/v1/cache/events")
	u.RawQuery = "since=" + strconv.FormatUint(since, 10)
	var page CacheEventPage
	err := c.exchangeJSON(ctx, u, nil, &page)
	return page, err
}

// exchangeJSON sends in as sendJSON does and decodes the JSON response into out, unless
// out is nil.
func (c *Client) exchangeJSON(ctx context.Context, u *url.URL, in, out any) error {
	resp, sendErr := c.sendJSON(ctx, u, http.Header{}, in)
	if sendErr != nil {
		return sendErr
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return readStatusError(u.Host, resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err == nil && out != nil {
		err = json.Unmarshal(body, out)
	}
	if err != nil {
		return &Error{Run: refusal.Unknown, Replica: u.Host, Status: resp.StatusCode, Err: err}
	}
	return nil
}
