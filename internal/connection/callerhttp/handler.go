// Package callerhttp is the HTTP interface for callers: chat completions, calls of
// plain services, and the end and settlement of program runs. It decodes requests and
// writes answers and refusals; a Handler decides on them.
package callerhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/connection/call"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// Handler decides on decoded requests.
type Handler interface {
	// Serve answers c through r. A refusal ends the answer, even after chunks were
	// sent.
	Serve(ctx context.Context, caller call.Caller, c *call.Call, r call.Responder) *refusal.Refusal
	// EndRun ends a run and the runs of its sub-agents.
	EndRun(ctx context.Context, caller call.Caller, run string) *refusal.Refusal
	// Settle records the outcome that a caller gives to a call whose outcome is
	// unknown.
	Settle(ctx context.Context, caller call.Caller, s call.Settlement) *refusal.Refusal
}

// Default limits.
const (
	DefaultMaxServiceBody = 1 << 20 // bytes
	DefaultMaxChatBody    = 4 << 20 // bytes
	DefaultWriteTimeout   = 30 * time.Second
)

// Options holds limits. A zero field means the default.
type Options struct {
	// MaxServiceBody and MaxChatBody bound the request bodies of plain services and chats,
	// in bytes.
	MaxServiceBody, MaxChatBody int64
	// WriteTimeout bounds each write, so that a caller that stops reading does not
	// occupy its turn for ever.
	WriteTimeout time.Duration
}

type server struct {
	handler Handler
	opts    Options
}

// NewHandler returns the HTTP handler of the callers' port.
func NewHandler(h Handler, opts Options) http.Handler {
	if opts.MaxServiceBody == 0 {
		opts.MaxServiceBody = DefaultMaxServiceBody
	}
	if opts.MaxChatBody == 0 {
		opts.MaxChatBody = DefaultMaxChatBody
	}
	if opts.WriteTimeout == 0 {
		opts.WriteTimeout = DefaultWriteTimeout
	}
	return &server{handler: h, opts: opts}
}

const (
	chatPath       = "/v1/chat/completions"
	endpointPrefix = "/v1/endpoints/"
	programPrefix  = "/v1/programs/"
	settleSuffix   = "/settle"
)

// ServeHTTP routes a request by its escaped path. http.ServeMux is not used, because
// it answers a path that is not clean with a redirect instead of a refusal.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	caller := call.Caller{Received: time.Now()}
	out := newResponder(w, s.opts.WriteTimeout, caller.Received)
	key, ref := callerKey(r)
	caller.Key = key
	if ref == nil {
		ref = checkKeyOnlyInAuthorization(r, key)
	}
	if ref == nil {
		ref = s.route(r, caller, out)
	}
	if ref != nil {
		out.refuse(ref)
	}
}

func (s *server) route(r *http.Request, caller call.Caller, out *responder) *refusal.Refusal {
	path := r.URL.EscapedPath()
	switch {
	case path == chatPath && r.Method == http.MethodPost:
		c, ref := parseChat(r, s.opts.MaxChatBody)
		return s.serve(r, caller, c, ref, out)
	case strings.HasPrefix(path, endpointPrefix) && serviceMethods[r.Method]:
		c, ref := parseService(r, strings.TrimPrefix(path, endpointPrefix), s.opts.MaxServiceBody)
		return s.serve(r, caller, c, ref, out)
	case strings.HasPrefix(path, programPrefix) && r.Method == http.MethodDelete:
		return s.endRun(r, caller, strings.TrimPrefix(path, programPrefix), out)
	case strings.HasPrefix(path, programPrefix) && strings.HasSuffix(path, settleSuffix) && r.Method == http.MethodPost:
		run := strings.TrimSuffix(strings.TrimPrefix(path, programPrefix), settleSuffix)
		return s.settle(r, caller, run, out)
	}
	return refusal.New(refusal.EndpointUnknown, "%s is not served at this path", r.Method)
}

// serve passes a decoded call to the handler, or returns the refusal of its decoding.
func (s *server) serve(r *http.Request, caller call.Caller, c *call.Call, ref *refusal.Refusal, out *responder) *refusal.Refusal {
	if ref != nil {
		return ref
	}
	out.call = c
	if ref := s.handler.Serve(r.Context(), caller, c, out); ref != nil {
		return ref
	}
	if !out.ended {
		return refusal.New(refusal.Internal, "the request was not answered").WithRun(refusal.Unknown)
	}
	return nil
}

// endRun ends the run whose escaped name is given.
func (s *server) endRun(r *http.Request, caller call.Caller, escaped string, out *responder) *refusal.Refusal {
	run, ref := runFromPath(escaped)
	if ref != nil {
		return ref
	}
	if ref := s.handler.EndRun(r.Context(), caller, run); ref != nil {
		return ref
	}
	out.noContent()
	return nil
}

// settleBody is the request body of a settlement.
type settleBody struct {
	RequestID string           `json:"request_id"`
	Outcome   refusal.RunState `json:"outcome"`
}

// settle settles a call of the run whose escaped name is given.
func (s *server) settle(r *http.Request, caller call.Caller, escaped string, out *responder) *refusal.Refusal {
	run, ref := runFromPath(escaped)
	if ref != nil {
		return ref
	}
	body, ref := readBody(r, s.opts.MaxServiceBody)
	if ref != nil {
		return ref
	}
	var b settleBody
	if err := json.Unmarshal(body, &b); err != nil {
		return refusal.New(refusal.BadRequest, "the body is not a settlement: %v", err)
	}
	if b.Outcome != refusal.Ran && b.Outcome != refusal.NotRun {
		return refusal.New(refusal.BadRequest, "outcome must be %q or %q", refusal.Ran, refusal.NotRun)
	}
	if ref := checkText("request_id", b.RequestID, maxRequestID); ref != nil {
		return ref
	}
	settlement := call.Settlement{Run: run, RequestID: b.RequestID, Outcome: b.Outcome}
	if ref := s.handler.Settle(r.Context(), caller, settlement); ref != nil {
		return ref
	}
	out.noContent()
	return nil
}

// runFromPath unescapes and checks the name of a run.
func runFromPath(escaped string) (string, *refusal.Refusal) {
	run, err := url.PathUnescape(escaped)
	if err != nil {
		return "", refusal.New(refusal.BadRequest, "the program's name is not escaped correctly")
	}
	return run, checkRun("program", run)
}
