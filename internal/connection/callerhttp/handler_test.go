package callerhttp

import (
	"bufio"
	"bytes"
	"context"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/connection/call"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// recorder is a Handler that keeps the last decoded request and answers with serve, or
// with status 200 if serve is nil.
type recorder struct {
	call       *call.Call
	key, run   string
	settlement call.Settlement
	serve      func(r call.Responder) *refusal.Refusal
}

func (h *recorder) Serve(_ context.Context, caller call.Caller, c *call.Call, r call.Responder) *refusal.Refusal {
	h.call, h.key = c, caller.Key
	if h.serve == nil {
		_ = r.End(call.Answer{Status: 200})
		return nil
	}
	return h.serve(r)
}

func (h *recorder) EndRun(_ context.Context, _ call.Caller, run string) *refusal.Refusal {
	h.run = run
	return nil
}

func (h *recorder) Settle(_ context.Context, _ call.Caller, s call.Settlement) *refusal.Refusal {
	h.settlement = s
	return nil
}

// do sends one request to a server with handler h. headers alternates names and values.
func do(h Handler, method, target, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		r.Header.Add(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	NewHandler(h, Options{}).ServeHTTP(w, r)
	return w
}

const chat = `{"model":"m","stream":true,"messages":[{"role":"user","content":"q"}],"top_p":1}`

// TestServiceForwardsNoCredentials guards against a key or a header of the system that
// is passed on to an endpoint.
func TestServiceForwardsNoCredentials(t *testing.T) {
	h := &recorder{}
	w := do(h, "PUT", "/v1/endpoints/ledger/a%2Fb?x=1", "body", "Authorization", "Bearer secret", "Cookie", "c",
		"Hornbeamvale-Program", "p:1", "Hornbeamvale-Parent", "root:1/mid:2", "Hornbeamvale-Turn", "3",
		"Connection", "X-Hop", "X-Hop", "1", "X-Kept", "2", "Idempotency-Key", "id")
	require.Equal(t, 200, w.Code)
	require.Equal(t, "secret", h.key)
	require.Equal(t, &call.Call{
		Run: "root:1/mid:2/p:1", Turn: 3, RequestID: "id", Endpoint: "ledger",
		Service: &call.Service{
			Method: "PUT", Path: "/a%2Fb", Query: "x=1", Body: []byte("body"), Headers: []call.Header{{Name: "X-Kept", Value: "2"}},
		},
	}, h.call)
}

// TestBadRequests guards against requests with a malformed name, an oversized body or a
// leaked key that reach the handler.
func TestBadRequests(t *testing.T) {
	const key = "Authorization"
	for name, send := range map[string]func(h Handler) *httptest.ResponseRecorder{
		"key in query": func(h Handler) *httptest.ResponseRecorder {
			return do(h, "GET", "/v1/endpoints/e/p?k=s%65cret", "", key, "Bearer secret")
		},
		"key in header": func(h Handler) *httptest.ResponseRecorder {
			return do(h, "GET", "/v1/endpoints/e/p", "", key, "Bearer secret", "X-Key", "a secret")
		},
		"slash in program": func(h Handler) *httptest.ResponseRecorder {
			return do(h, "POST", chatPath, chat, "Hornbeamvale-Program", "a/b")
		},
		"empty segment": func(h Handler) *httptest.ResponseRecorder {
			return do(h, "POST", chatPath, chat, "Hornbeamvale-Program", "a", "Hornbeamvale-Parent", "r//s")
		},
		"long name": func(h Handler) *httptest.ResponseRecorder {
			return do(h, "POST", chatPath, chat, "Hornbeamvale-Program", strings.Repeat("a", maxName+1))
		},
		"control character": func(h Handler) *httptest.ResponseRecorder { return do(h, "DELETE", "/v1/programs/a%0Ab", "") },
		"turn zero": func(h Handler) *httptest.ResponseRecorder {
			return do(h, "POST", chatPath, chat, "Hornbeamvale-Program", "a", "Hornbeamvale-Turn", "0")
		},
		"dot segment": func(h Handler) *httptest.ResponseRecorder { return do(h, "GET", "/v1/endpoints/e/a/%2e%2e/b", "") },
		"large body": func(h Handler) *httptest.ResponseRecorder {
			return do(h, "POST", "/v1/endpoints/e/p", strings.Repeat("a", DefaultMaxServiceBody+1))
		},
		"system field": func(h Handler) *httptest.ResponseRecorder {
			return do(h, "POST", chatPath, strings.Replace(chat, "top_p", "Priority", 1))
		},
		"message field": func(h Handler) *httptest.ResponseRecorder {
			return do(h, "POST", chatPath, strings.Replace(chat, `"role"`, `"x":1,"role"`, 1))
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := &recorder{}
			got := send(h)
			require.Equal(t, http.StatusBadRequest, got.Code)
			require.Contains(t, got.Body.String(), `"code":"bad_request"`)
			require.Contains(t, got.Body.String(), `"run":"not_run"`)
			require.Nil(t, h.call)
			require.Empty(t, h.run)
		})
	}
}

// TestStream guards against text that is lost or sent twice at the end of a stream, and
// against a refusal that looks like a complete answer.
func TestStream(t *testing.T) {
	h := &recorder{serve: func(r call.Responder) *refusal.Refusal {
		_ = r.Chunk(call.Chunk{Text: "ab"})
		_ = r.End(call.Answer{Text: "abc", FinishReason: "stop", Turn: 4})
		return nil
	}}
	body := do(h, "POST", chatPath, chat).Body.String()
	require.Equal(t, 1, strings.Count(body, `"content":"ab"`))
	require.Equal(t, 1, strings.Count(body, `"content":"c"`))
	require.Contains(t, body, `"hornbeamvale_turn":4`)
	require.True(t, strings.HasSuffix(body, "data: [DONE]\n\n"))

	h.serve = func(r call.Responder) *refusal.Refusal {
		_ = r.Chunk(call.Chunk{Text: "ab"})
		return refusal.New(refusal.StoreUnavailable, "m").WithRun(refusal.Unknown)
	}
	body = do(h, "POST", chatPath, chat).Body.String()
	require.Contains(t, body, "event: error\ndata: {\"error\":{\"code\":\"store_unavailable\",\"message\":\"m\",\"run\":\"unknown\"}}\n\n")
	require.NotContains(t, body, "[DONE]")

	h.serve = func(call.Responder) *refusal.Refusal { return refusal.New(refusal.RateLimited, "m") }
	w := do(h, "POST", chatPath, chat)
	require.Equal(t, http.StatusTooManyRequests, w.Code)
	require.Equal(t, "1", w.Header().Get("Retry-After"))
}

// TestRunNameInPath guards against a sub-agent's run name that loses a segment.
func TestRunNameInPath(t *testing.T) {
	h := &recorder{}
	require.Equal(t, http.StatusNoContent, do(h, "DELETE", "/v1/programs/r:1/s:2", "").Code)
	require.Equal(t, "r:1/s:2", h.run)
	w := do(h, "POST", "/v1/programs/r:1%2Fs:2/settle", `{"request_id":"i","outcome":"ran"}`)
	require.Equal(t, http.StatusNoContent, w.Code)
	require.Equal(t, call.Settlement{Run: "r:1/s:2", RequestID: "i", Outcome: refusal.Ran}, h.settlement)
}

// TestEveryCodeHasAStatus guards against a refusal code without an HTTP status.
func TestEveryCodeHasAStatus(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "../../version/refusal/refusal.go", nil, 0)
	require.NoError(t, err)
	n := 0
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if ident, ok := spec.Type.(*ast.Ident); ok && ident.Name == "Code" {
			n++
			require.Contains(t, responses, refusal.Code(strings.Trim(spec.Values[0].(*ast.BasicLit).Value, `"`)))
		}
		return true
	})
	require.Len(t, responses, n)
}

// FuzzRequest guards against a panic on a malformed request and against a
// decoded request with a name that the checks should refuse.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"))
	f.Add([]byte("GET /v1/endpoints/e/p?q HTTP/1.1\r\nHost: a\r\nHornbeamvale-Program: p\r\n\r\n"))
	f.Add([]byte("DELETE /v1/programs/a%2Fb HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			return
		}
		h := &recorder{}
		w := httptest.NewRecorder()
		NewHandler(h, Options{}).ServeHTTP(w, r)
		_, _ = io.Copy(io.Discard, w.Result().Body)
		if h.call != nil && h.call.Run != "" && checkRun("run", h.call.Run) != nil {
			t.Fatalf("run %q was accepted", h.call.Run)
		}
	})
}
