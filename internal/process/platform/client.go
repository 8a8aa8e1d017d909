package platform

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/httphead"
)

const (
	// maxResponseBytes bounds the body of a response, which is read into memory whole.
	maxResponseBytes = 64 << 20
	// maxIdleConnections bounds the idle connections to the platform kept for reuse.
	maxIdleConnections = 16
)

// HTTPClient implements Client with the platform's protocol (docs/platform.md). Its methods
// are safe for concurrent use.
type HTTPClient struct {
	base string
	http *http.Client
	vms  atomic.Pointer[vmList]
}

// vmList is the list of VMs as last read, with its entity tag. The list has 120 bytes
// for each VM and seldom changes, so that most reads can be answered "not modified".
type vmList struct {
	etag string
	vms  []VM
}

var _ Client = (*HTTPClient)(nil)

// New returns a client of the platform at the base URL, such as
// "https://10.0.0.1:7000". timeout bounds one call from the connection to the end of
// the response; tls may be nil.
func New(base string, timeout time.Duration, tls *tls.Config) *HTTPClient {
	return &HTTPClient{
		base: strings.TrimRight(base, "/"),
		http: &http.Client{
			Timeout: timeout,
			Transport: &http.Transport{
				TLSClientConfig:     tls,
				MaxIdleConnsPerHost: maxIdleConnections,
				IdleConnTimeout:     time.Minute,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// request is one call of the protocol.
type request struct {
	byteRange        string // of an object, in the form of the Range header; empty for the whole object
	op, method, path string
	body             []byte
	// readOnly is set if the call changes nothing; its failure then never leaves an
	// outcome unknown.
	readOnly bool
	// ifNoneMatch is the entity tag of the response that the caller has already. If the
	// tag is still current, the call returns errNotModified.
	ifNoneMatch string
	// etag receives the entity tag of the response; may be nil.
	etag *string
}

// errNotModified means that the entity tag in the request is still current.
var errNotModified = errors.New("not modified")

// Commit implements Client.
func (c *HTTPClient) Commit(ctx context.Context, tx Tx) (TxResult, error) {
	var result TxResult
	err := c.callJSON(ctx, request{op: "commit", method: http.MethodPost, path: "/v1/tx"}, tx, &result)
	return result, err
}

// Read implements Client.
func (c *HTTPClient) Read(ctx context.Context, r Read) (ReadResult, error) {
	var result ReadResult
	q := request{op: "read", method: http.MethodPost, path: "/v1/read", readOnly: true}
	if err := c.callJSON(ctx, q, r, &result); err != nil {
		return ReadResult{}, err
	}
	if len(result.Rows) != len(r.Gets) || len(result.Changes) != len(r.Since) || len(result.More) != len(r.Since) {
		return ReadResult{}, q.callError(errors.New("the answer does not match the request"))
	}
	return result, nil
}

// PutObject implements Client.
func (c *HTTPClient) PutObject(ctx context.Context, key string, body []byte) error {
	_, err := c.callObject(ctx, request{op: "put object", method: http.MethodPut, body: body}, key)
	return err
}

// GetObject implements Client.
func (c *HTTPClient) GetObject(ctx context.Context, key string) ([]byte, error) {
	return c.callObject(ctx, request{op: "get object", method: http.MethodGet, readOnly: true}, key)
}

// DeleteObject implements Client. The deletion of an absent object succeeds.
func (c *HTTPClient) DeleteObject(ctx context.Context, key string) error {
	_, err := c.callObject(ctx, request{op: "delete object", method: http.MethodDelete}, key)
	return err
}

// VMs implements Client. The caller must not change the list: later calls return the
// same slice until the platform's list changes.
func (c *HTTPClient) VMs(ctx context.Context) ([]VM, error) {
	var list vmList
	q := request{op: "list VMs", method: http.MethodGet, path: "/v1/vms", readOnly: true, etag: &list.etag}
	last := c.vms.Load()
	if last != nil {
		q.ifNoneMatch = last.etag
	}
	err := c.callJSON(ctx, q, nil, &list.vms)
	switch {
	case errors.Is(err, errNotModified):
		return last.vms, nil
	case err != nil:
		return nil, err
	}
	if list.etag != "" {
		c.vms.Store(&list)
	}
	return list.vms, nil
}

// GetObjectRange implements Client.
func (c *HTTPClient) GetObjectRange(ctx context.Context, key string, offset, length int64) ([]byte, error) {
	q := request{op: "get object", method: http.MethodGet, readOnly: true}
	if offset < 0 || length < 0 {
		return nil, &Error{Kind: NotApplied, Op: q.op, Err: fmt.Errorf("range %d+%d is not valid", offset, length)}
	}
	if length == 0 {
		return nil, nil
	}
	q.byteRange = fmt.Sprintf("bytes=%d-%d", offset, offset+length-1)
	body, err := c.callObject(ctx, q, key)
	if err != nil {
		return nil, err
	}
	if int64(len(body)) != length {
		return nil, q.callError(fmt.Errorf("%d bytes came for a range of %d", len(body), length))
	}
	return body, nil
}

func (c *HTTPClient) callObject(ctx context.Context, q request, key string) ([]byte, error) {
	if !ValidObjectKey(key) {
		return nil, &Error{Kind: NotApplied, Op: q.op, Err: fmt.Errorf("object key %q is not valid", key)}
	}
	segments := strings.Split(key, "/")
	for i, s := range segments {
		segments[i] = url.PathEscape(s)
	}
	q.path = "/v1/objects/" + strings.Join(segments, "/")
	return c.call(ctx, q)
}

// ValidObjectKey reports whether key can be part of a URL path: no segment between
// "/" is empty, "." or "..".
func ValidObjectKey(key string) bool {
	for _, s := range strings.Split(key, "/") {
		if s == "" || s == "." || s == ".." {
			return false
		}
	}
	return true
}

func (c *HTTPClient) callJSON(ctx context.Context, q request, in, out any) error {
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return &Error{Kind: NotApplied, Op: q.op, Err: err}
		}
		q.body = body
	}
	body, err := c.call(ctx, q)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, out); err != nil {
		return q.callError(err)
	}
	return nil
}

func (c *HTTPClient) call(ctx context.Context, q request) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, q.method, c.base+q.path, bytes.NewReader(q.body))
	if err != nil {
		return nil, &Error{Kind: NotApplied, Op: q.op, Err: err}
	}
	if q.byteRange != "" {
		r.Header.Set("Range", q.byteRange)
	}
	if q.ifNoneMatch != "" {
		r.Header.Set("If-None-Match", q.ifNoneMatch)
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	// The transport retries a write on its own only if none of its bytes was sent.
	response, err := c.http.Do(r.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil && !connected.Load() {
		return nil, &Error{Kind: NotApplied, Op: q.op, Err: err}
	}
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			// The path may have lost all open connections without a reset. The idle ones
			// would each cost a call its time.
			c.http.CloseIdleConnections()
		}
		return nil, q.callError(err)
	}
	defer response.Body.Close()
	if err := httphead.Check(response); err != nil {
		c.http.CloseIdleConnections() // a response without a body has returned its own
		return nil, q.callError(err)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return nil, q.callError(err)
	}
	if len(body) > maxResponseBytes {
		return nil, q.callError(fmt.Errorf("the answer is longer than %d bytes", maxResponseBytes))
	}
	if q.ifNoneMatch != "" && response.StatusCode == http.StatusNotModified {
		return nil, errNotModified
	}
	if q.etag != nil {
		*q.etag = response.Header.Get("ETag")
	}
	if response.StatusCode/100 == 2 {
		return body, nil
	}
	return nil, q.statusError(response.StatusCode, body)
}

// callError returns the error of a call that may have reached the service but got no
// complete and valid response.
func (q request) callError(err error) *Error {
	kind := OutcomeUnknown
	if q.readOnly {
		kind = NotApplied
	}
	return &Error{Kind: kind, Op: q.op, Err: err}
}

// statusError returns the error of a response whose status is not a success. Only the
// platform's service writes the field "effect". A response of an intermediary, such as
// a gateway, has no such field and does not prove that the call had no effect.
func (q request) statusError(status int, body []byte) *Error {
	var failure struct {
		Error  string `json:"error"`
		Effect string `json:"effect"`
	}
	_ = json.Unmarshal(body, &failure) // a body that cannot be decoded counts as one without the field
	e := &Error{Kind: OutcomeUnknown, Op: q.op, Err: fmt.Errorf("status %d: %s", status, failure.Error)}
	if failure.Effect == "none" {
		e.Kind = NotApplied
		switch status {
		case http.StatusNotFound:
			e.Kind = NotFound
		case http.StatusConflict:
			e.Kind = Exists
		}
	} else if q.readOnly {
		e.Kind = NotApplied
	}
	return e
}
