package callerhttp

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"hornbeamvale.example/hornbeamvale/internal/connection/call"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

var serviceMethods = map[string]bool{
	http.MethodGet: true, http.MethodPost: true, http.MethodPut: true, http.MethodDelete: true,
}

// systemFields are the fields of a request to an engine that only the system may set.
// The comparison ignores case, since an engine may do so as well.
var systemFields = map[string]bool{"priority": true, "cache_ttl": true, "resume_from": true, "request_id": true}

// chatFields are the fields that are decoded into call.Chat and call.Call.
var chatFields = map[string]bool{
	"model": true, "messages": true, "stream": true, "max_tokens": true, "max_completion_tokens": true, "n": true,
}

// readBody reads the body and refuses one of more than limit bytes.
func readBody(r *http.Request, limit int64) ([]byte, *refusal.Refusal) {
	if r.ContentLength > limit {
		return nil, refusal.New(refusal.BadRequest, "the body exceeds %d bytes", limit)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, refusal.New(refusal.BadRequest, "the body cannot be read")
	}
	if int64(len(body)) > limit {
		return nil, refusal.New(refusal.BadRequest, "the body exceeds %d bytes", limit)
	}
	return body, nil
}

// parseHeaders returns a call with the fields that chats and services share: the run,
// the turn and the request id.
func parseHeaders(h http.Header) (*call.Call, *refusal.Refusal) {
	run, ref := runFromHeaders(h)
	if ref != nil {
		return nil, ref
	}
	turn, ref := turnFromHeaders(h, run)
	if ref != nil {
		return nil, ref
	}
	id, ok, ref := singleHeader(h, headerRequestID)
	if ref == nil && ok {
		ref = checkText(headerRequestID, id, maxRequestID)
	}
	if ref != nil {
		return nil, ref
	}
	return &call.Call{Run: run, Turn: turn, RequestID: id}, nil
}

// parseService decodes a call of a plain service. rest is the escaped path below
// endpointPrefix: the endpoint's name and the path at the endpoint.
func parseService(r *http.Request, rest string, limit int64) (*call.Call, *refusal.Refusal) {
	c, ref := parseHeaders(r.Header)
	if ref != nil {
		return nil, ref
	}
	escaped, path, _ := strings.Cut(rest, "/")
	endpoint, err := url.PathUnescape(escaped)
	if err != nil {
		return nil, refusal.New(refusal.BadRequest, "the endpoint's name is not escaped correctly")
	}
	if ref := checkName("endpoint", endpoint); ref != nil {
		return nil, ref
	}
	if ref := checkPath(path); ref != nil {
		return nil, ref
	}
	body, ref := readBody(r, limit)
	if ref != nil {
		return nil, ref
	}
	c.Endpoint = endpoint
	c.Service = &call.Service{
		Method: r.Method, Path: "/" + path, Query: r.URL.RawQuery, Headers: forwardedHeaders(r.Header), Body: body,
	}
	return c, nil
}

// checkPath refuses dot segments, because a replica may resolve them to a path that the
// configuration does not allow.
func checkPath(escaped string) *refusal.Refusal {
	path, err := url.PathUnescape(escaped)
	if err != nil {
		return refusal.New(refusal.BadRequest, "the path is not escaped correctly")
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return refusal.New(refusal.BadRequest, "the path contains a dot segment")
		}
	}
	return nil
}

// forwardedHeaders returns the headers that are passed on, sorted by name, so that
// equal requests have equal digests.
func forwardedHeaders(h http.Header) []call.Header {
	var out []call.Header
	for name, values := range h {
		if name == headerRequestID || !call.Forwardable(name, h["Connection"]) {
			continue
		}
		for _, value := range values {
			out = append(out, call.Header{Name: name, Value: value})
		}
	}
	slices.SortStableFunc(out, func(a, b call.Header) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// chatBody is the part of a chat's request body that is decoded here.
type chatBody struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
}

// parseChat decodes a chat completions request.
func parseChat(r *http.Request, limit int64) (*call.Call, *refusal.Refusal) {
	c, ref := parseHeaders(r.Header)
	if ref != nil {
		return nil, ref
	}
	data, ref := readBody(r, limit)
	if ref != nil {
		return nil, ref
	}
	options, ref := chatOptions(data)
	if ref != nil {
		return nil, ref
	}
	var b chatBody
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, refusal.New(refusal.BadRequest, "the body is not a chat: %v", err)
	}
	if ref := checkName("model", b.Model); ref != nil {
		return nil, ref
	}
	if b.MaxTokens < 0 || b.MaxCompletionTokens < 0 || (b.N != nil && *b.N != 1) {
		return nil, refusal.New(refusal.BadRequest, "max_tokens must not be negative and n must be 1")
	}
	messages, ref := chatMessages(b.Messages)
	if ref != nil {
		return nil, ref
	}
	c.Endpoint = b.Model
	c.Chat = &call.Chat{Messages: messages, MaxTokens: b.MaxTokens, Stream: b.Stream, Options: options}
	if b.MaxCompletionTokens > 0 {
		c.Chat.MaxTokens = b.MaxCompletionTokens
	}
	return c, nil
}

// chatOptions returns the fields of the body that are passed to the engine unchanged.
// It refuses fields that only the system sets, and fields of chatFields that are not in
// lower case.
func chatOptions(data []byte) (map[string]json.RawMessage, *refusal.Refusal) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil || fields == nil {
		return nil, refusal.New(refusal.BadRequest, "the body is not a JSON object")
	}
	for name := range fields {
		lower := strings.ToLower(name)
		if systemFields[lower] || (chatFields[lower] && name != lower) {
			return nil, refusal.New(refusal.BadRequest, "field %q may not be set", name)
		}
		if chatFields[name] {
			delete(fields, name)
		}
	}
	return fields, nil
}

// chatMessages decodes the messages of a chat. It refuses fields that call.Message does
// not have, because dropping them would silently change the program's history.
func chatMessages(data json.RawMessage) ([]call.Message, *refusal.Refusal) {
	var messages []call.Message
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&messages); err != nil {
		return nil, refusal.New(refusal.BadRequest, "messages must be a list of role and text content: %v", err)
	}
	if len(messages) == 0 {
		return nil, refusal.New(refusal.BadRequest, "messages is empty")
	}
	return messages, nil
}
