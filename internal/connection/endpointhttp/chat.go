package endpointhttp

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/connection/call"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

const (
	programHeader   = "Hornbeamvale-Program"
	requestIDHeader = "Hornbeamvale-Request-Id"
	// doneData is the data of the final event of a stream.
	doneData = "[DONE]"
	// drainTimeout bounds the wait for the end of the body after the final event.
	drainTimeout = 50 * time.Millisecond
)

// errTruncated is the cause of an error if a stream ends before its final event.
var errTruncated = errors.New("stream ended without the final event")

// ChatRequest is one turn for an engine.
type ChatRequest struct {
	Model string
	// Messages starts with the history.
	Messages  []call.Message
	MaxTokens int // 0 leaves the limit to the engine
	// Options holds further fields of the request body.
	Options map[string]json.RawMessage
	// Program is an opaque id under which the engine keeps the program's cache.
	Program   string
	RequestID string
	// Priority orders requests at the engine. A lower value runs first.
	Priority int
	// CacheTTL is how long the engine may keep the program's cache after this request
	// without a further one. It is sent in whole seconds, rounded up; 0 is not sent.
	CacheTTL time.Duration
	// ResumeFrom is the number of chunks that were already received in an earlier
	// attempt.
	ResumeFrom int
}

// body returns the request body. Options cannot replace the typed fields.
func (r ChatRequest) body() map[string]any {
	b := make(map[string]any, len(r.Options)+8)
	for name, value := range r.Options {
		b[name] = value
	}
	b["model"], b["messages"], b["stream"] = r.Model, r.Messages, true
	b["priority"], b["request_id"] = r.Priority, r.RequestID
	if r.CacheTTL > 0 { // the engine would take 0 as the order to keep no cache
		b["cache_ttl"] = int64((r.CacheTTL + time.Second - 1) / time.Second)
	}
	if r.ResumeFrom > 0 {
		b["resume_from"] = r.ResumeFrom
	}
	if r.MaxTokens > 0 {
		b["max_tokens"] = r.MaxTokens
	}
	return b
}

// ChatChunk is one event of a chat's answer, decoded.
type ChatChunk struct {
	Text string
	// FinishReason is set on the last chunk.
	FinishReason string
	// Usage is nil on chunks that do not report it.
	Usage *call.Usage
}

// ChatStream reads the answer of one chat. It is used by one goroutine.
type ChatStream struct {
	replica  string
	body     io.ReadCloser
	events   *eventReader
	chunks   int   // received
	finished bool  // a chunk had a finish reason
	err      error // returned by every further Next
}

// Chat starts a chat at the replica. The stream is cancelled when ctx ends.
func (c *Client) Chat(ctx context.Context, address string, r ChatRequest) (*ChatStream, error) {
	header := http.Header{"Accept": {"text/event-stream"}}
	if r.Program != "" {
		header.Set(programHeader, r.Program)
	}
	resp, sendErr := c.sendJSON(ctx, replicaURL(address, "/v1/chat/completions"), header, r.body())
	if sendErr != nil {
		return nil, sendErr
	}
	if resp.StatusCode != http.StatusOK {
		defer func() { _ = resp.Body.Close() }()
		return nil, readStatusError(address, resp)
	}
	return &ChatStream{replica: address, body: resp.Body, events: newEventReader(resp.Body)}, nil
}

// Next returns the next chunk. It returns io.EOF after the whole answer, and otherwise
// errors of type *Error.
func (s *ChatStream) Next() (ChatChunk, error) {
	if s.err != nil {
		return ChatChunk{}, s.err
	}
	chunk, err := s.read()
	if err != nil {
		s.err = err
		return ChatChunk{}, err
	}
	s.chunks++
	return chunk, nil
}

// read reads and decodes the next event. It closes the body at every end.
func (s *ChatStream) read() (ChatChunk, error) {
	ev, err := s.events.next()
	switch {
	case errors.Is(err, io.EOF):
		return ChatChunk{}, s.fail(errTruncated)
	case err != nil:
		return ChatChunk{}, s.fail(err)
	case ev.name == "error":
		return ChatChunk{}, s.failByEvent(ev.data)
	case string(ev.data) == doneData:
		if !s.finished {
			return ChatChunk{}, s.fail(errTruncated)
		}
		s.drain()
		return ChatChunk{}, io.EOF
	}
	chunk, err := decodeChunk(ev.data)
	if err != nil {
		return ChatChunk{}, s.fail(err)
	}
	s.finished = s.finished || chunk.FinishReason != ""
	return chunk, nil
}

// drain reads the body to its end, so that the connection can be reused. The connection
// is closed if the replica does not end the body within drainTimeout.
func (s *ChatStream) drain() {
	timer := time.AfterFunc(drainTimeout, s.Close)
	_, _ = io.Copy(io.Discard, io.LimitReader(s.body, maxErrorBody))
	timer.Stop()
	_ = s.body.Close()
}

// Close ends the stream. If the answer is not complete, this closes the connection, by
// which the engine learns of the cancel.
func (s *ChatStream) Close() { _ = s.body.Close() }

// fail closes the body and returns the *Error of a stream that failed with err.
func (s *ChatStream) fail(err error) *Error {
	_ = s.body.Close()
	return &Error{Run: refusal.Unknown, Replica: s.replica, Chunks: s.chunks, Err: err}
}

// failByEvent closes the body and returns the *Error that an error event describes.
func (s *ChatStream) failByEvent(data []byte) *Error {
	_ = s.body.Close()
	e := statusError(s.replica, 0, data)
	e.Chunks = s.chunks
	return e
}

// chunkBody is the JSON form of a chunk.
type chunkBody struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
		CachedTokens     int64 `json:"cached_tokens"`
	} `json:"usage"`
}

func decodeChunk(data []byte) (ChatChunk, error) {
	var b chunkBody
	if err := json.Unmarshal(data, &b); err != nil {
		return ChatChunk{}, err
	}
	var chunk ChatChunk
	if len(b.Choices) > 0 {
		chunk.Text = b.Choices[0].Delta.Content
		if reason := b.Choices[0].FinishReason; reason != nil {
			chunk.FinishReason = *reason
		}
	}
	if b.Usage != nil {
		chunk.Usage = &call.Usage{
			PromptTokens: b.Usage.PromptTokens, CachedTokens: b.Usage.CachedTokens,
			CompletionTokens: b.Usage.CompletionTokens,
		}
	}
	return chunk, nil
}
