package callerhttp

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/connection/call"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

var (
	errEnded         = errors.New("the answer has ended")
	errInvalidStatus = errors.New("the endpoint's status is outside 200 to 599")
	errTextTooShort  = errors.New("the answer is shorter than the chunks that were sent")
)

// responder writes one answer. It implements call.Responder.
type responder struct {
	w       http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration // of each write
	created time.Time
	id      string     // of a chat's answer
	call    *call.Call // nil until the request is decoded
	started bool       // the headers of a stream have been written
	ended   bool
	sent    int // bytes of text that were sent as chunks
}

func newResponder(w http.ResponseWriter, timeout time.Duration, created time.Time) *responder {
	return &responder{
		w: w, control: http.NewResponseController(w), timeout: timeout, created: created, id: "chatcmpl-" + rand.Text(),
	}
}

// Chunk implements call.Responder. It writes nothing for a caller that did not ask for
// a stream: End then sends the whole text.
func (r *responder) Chunk(c call.Chunk) error {
	if r.ended {
		return errEnded
	}
	if !r.streams() {
		return nil
	}
	r.sent += len(c.Text)
	return r.writeEvent("", r.chunk(c.Text))
}

// End implements call.Responder.
func (r *responder) End(a call.Answer) error {
	if r.ended {
		return errEnded
	}
	switch {
	case r.call.Service != nil:
		return r.endService(a)
	case r.streams():
		return r.endStream(a)
	}
	r.setTurn(a.Turn)
	answer := r.newCompletion("chat.completion", a.FinishReason)
	answer.Choices[0].Message = &messageBody{Role: "assistant", Content: a.Text}
	answer.Usage = usageOf(a.Usage)
	answer.Turn = a.Turn
	return r.writeJSON(http.StatusOK, answer)
}

// endStream sends the rest of the text, the last chunk with the usage, and the end of
// the stream.
func (r *responder) endStream(a call.Answer) error {
	if len(a.Text) < r.sent {
		return errTextTooShort
	}
	if rest := a.Text[r.sent:]; rest != "" {
		if err := r.Chunk(call.Chunk{Text: rest}); err != nil {
			return err
		}
	}
	last := r.newCompletion("chat.completion.chunk", a.FinishReason)
	last.Choices[0].Delta = &deltaBody{}
	last.Usage = usageOf(a.Usage)
	last.Turn = a.Turn
	if err := r.writeEvent("", last); err != nil {
		return err
	}
	r.ended = true
	return r.write([]byte("data: [DONE]\n\n"))
}

// endService sends the response of a plain service.
func (r *responder) endService(a call.Answer) error {
	if a.Status < 200 || a.Status > 599 {
		return errInvalidStatus
	}
	for _, h := range a.Headers {
		if call.Forwardable(h.Name, nil) {
			r.w.Header().Add(h.Name, h.Value)
		}
	}
	r.setTurn(a.Turn)
	r.ended = true
	r.setWriteDeadline()
	r.w.WriteHeader(a.Status)
	if err := r.write(a.Body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return err
	}
	return nil
}

// refuse sends a refusal as a JSON object, or as an event if the stream has begun.
func (r *responder) refuse(ref *refusal.Refusal) {
	if r.ended {
		return
	}
	// Errors of writes are ignored: they mean that the caller has disconnected.
	if r.started {
		r.ended = true
		_ = r.writeEvent("error", errorOf(ref))
		return
	}
	status, retryAfter := statusOf(ref)
	if retryAfter != "" {
		r.w.Header().Set("Retry-After", retryAfter)
	}
	_ = r.writeJSON(status, errorOf(ref))
}

// noContent answers a request that succeeded without a result.
func (r *responder) noContent() {
	r.ended = true
	r.w.WriteHeader(http.StatusNoContent)
}

// streams reports whether the caller asked for a stream.
func (r *responder) streams() bool { return r.call.Chat != nil && r.call.Chat.Stream }

func (r *responder) setTurn(turn uint64) {
	if turn > 0 {
		r.w.Header().Set(headerTurn, strconv.FormatUint(turn, 10))
	}
}

// writeJSON sends v as the whole answer.
func (r *responder) writeJSON(status int, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	r.ended = true
	r.w.Header().Set("Content-Type", "application/json")
	r.setWriteDeadline()
	r.w.WriteHeader(status)
	return r.write(append(body, '\n'))
}

// writeEvent sends one server-sent event, preceded by the response headers if it is the
// first one.
func (r *responder) writeEvent(name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if !r.started {
		r.started = true
		r.setTurn(r.call.Turn)
		r.w.Header().Set("Content-Type", "text/event-stream")
		r.w.Header().Set("Cache-Control", "no-store")
		r.w.WriteHeader(http.StatusOK)
	}
	var frame []byte
	if name != "" {
		frame = append(frame, "event: "+name+"\n"...)
	}
	frame = append(frame, "data: "...)
	frame = append(frame, data...)
	return r.write(append(frame, "\n\n"...))
}

// write writes and flushes p within the write timeout.
func (r *responder) write(p []byte) error {
	r.setWriteDeadline()
	if _, err := r.w.Write(p); err != nil {
		return err
	}
	return r.control.Flush()
}

// setWriteDeadline sets the deadline of the next write. net/http removes it at the end
// of the request. The error of a writer without deadlines, as in tests, is ignored.
func (r *responder) setWriteDeadline() { _ = r.control.SetWriteDeadline(time.Now().Add(r.timeout)) }
