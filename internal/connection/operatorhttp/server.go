package operatorhttp

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// maxBody is the largest request body in bytes. A document with 12,000 replicas and
	// 630 customers has about 0.5 MiB.
	maxBody = 8 << 20
	// requestTimeout bounds an operation of the backend, which may wait for the store and
	// for other VMs.
	requestTimeout = 20 * time.Second
	headerTimeout  = 5 * time.Second
	bodyTimeout    = 30 * time.Second
	idleTimeout    = 60 * time.Second
)

// ServerOptions configures the server.
type ServerOptions struct {
	Backend Backend
	// KeyDigest is the SHA-256 digest of the operators' key. Without HasKey, there is no
	// key and only verified client certificates are accepted.
	KeyDigest [sha256.Size]byte
	HasKey    bool
	// Metrics serves GET /metrics.
	Metrics http.Handler
	// Ready returns nil if the process takes traffic, and otherwise the reason.
	Ready func() error
}

// NewServer returns an HTTP server with time limits. The caller sets TLSConfig and serves
// a listener. If TLSConfig has an authority for client certificates, ClientAuth should be
// tls.VerifyClientCertIfGiven, since health checks present no certificate.
func NewServer(o ServerOptions) *http.Server {
	return &http.Server{
		Handler:           NewHandler(o),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// NewHandler returns the handler of the operators' port. Health checks, readiness and
// metrics need no authentication; all other paths do.
func NewHandler(o ServerOptions) http.Handler {
	s := &server{ServerOptions: o}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "ok\n")
	})
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.Handle("GET /metrics", o.Metrics)

	b := o.Backend
	mux.Handle("POST /v1/config", s.authenticated(withBody(b.Submit)))
	mux.Handle("GET /v1/config", s.authenticated(withoutBody(b.Current)))
	mux.Handle("POST /v1/keys/withdraw", s.authenticated(withBody(b.WithdrawKey)))
	mux.Handle("POST /v1/drain", s.authenticated(withBody(b.Drain)))
	mux.Handle("GET /v1/status", s.authenticated(withoutBody(b.Status)))
	mux.Handle("GET /v1/events", s.authenticated(s.events))
	mux.Handle("POST /v1/settle", s.authenticated(withBody(func(ctx context.Context, st Settlement) (struct{}, error) {
		return struct{}{}, b.Settle(ctx, st)
	})))
	mux.Handle("/", s.authenticated(func(r *http.Request) (any, error) {
		return nil, NewError(NotFound, "%s %s is not an operation", r.Method, r.URL.Path)
	}))
	return mux
}

type server struct{ ServerOptions }

// operation carries out one request and returns the answer, which is sent as JSON.
type operation func(r *http.Request) (any, error)

// authenticated returns a handler that authenticates the request, limits its time and
// body, and sends the answer or the error of the operation.
func (s *server) authenticated(op operation) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.isAuthentic(r) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, NewError(Unauthenticated, "an operator's key or client certificate is required"))
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		answer, err := op(r.WithContext(ctx))
		if err != nil {
			writeError(w, toError(err))
			return
		}
		writeJSON(w, http.StatusOK, answer)
	})
}

// isAuthentic reports whether a request has a verified client certificate or the
// operators' key.
func (s *server) isAuthentic(r *http.Request) bool {
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		return true
	}
	scheme, key, found := strings.Cut(r.Header.Get("Authorization"), " ")
	if !s.HasKey || !found || !strings.EqualFold(scheme, "Bearer") {
		return false
	}
	digest := sha256.Sum256([]byte(key))
	return subtle.ConstantTimeCompare(digest[:], s.KeyDigest[:]) == 1
}

func (s *server) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := s.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

func (s *server) events(r *http.Request) (any, error) {
	run := r.URL.Query().Get("program")
	if run == "" {
		return nil, NewError(BadRequest, "the parameter program must not be empty")
	}
	return s.Backend.Events(r.Context(), run)
}

// withoutBody returns the operation of a backend method without an argument.
func withoutBody[A any](call func(context.Context) (A, error)) operation {
	return func(r *http.Request) (any, error) { return call(r.Context()) }
}

// withBody returns the operation of a backend method whose argument is the request body.
// The body is decoded and checked before.
func withBody[B interface{ check() error }, A any](call func(context.Context, B) (A, error)) operation {
	return func(r *http.Request) (any, error) {
		var body B
		if err := decode(r.Body, &body); err != nil {
			return nil, err
		}
		if err := body.check(); err != nil {
			return nil, err
		}
		return call(r.Context(), body)
	}
}

// decode decodes a body that is exactly one JSON value. It refuses unknown fields, since
// a misspelt field would otherwise silently leave a limit at zero.
func decode(body io.Reader, into any) error {
	d := json.NewDecoder(body)
	d.DisallowUnknownFields()
	err := d.Decode(into)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return NewError(BadRequest, "the body is larger than %d bytes", tooLarge.Limit)
	case err != nil:
		return NewError(BadRequest, "the body is not valid: %v", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return NewError(BadRequest, "the body has data after the JSON value")
	}
	return nil
}

func writeError(w http.ResponseWriter, e *Error) {
	status, ok := statuses[e.Code]
	if !ok {
		status = http.StatusInternalServerError
	}
	writeJSON(w, status, errorBody{Error: e})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	var b bytes.Buffer
	if err := json.NewEncoder(&b).Encode(value); err != nil {
		http.Error(w, "the answer could not be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(b.Bytes()) // an error is ignored: it means that the client has disconnected
}
