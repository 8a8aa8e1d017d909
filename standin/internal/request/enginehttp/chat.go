package enginehttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"hornbeamvale.example/hornbeamvale/standin/internal/process/engine"
	"hornbeamvale.example/hornbeamvale/standin/internal/process/loop"
	"hornbeamvale.example/hornbeamvale/standin/internal/request/answer"
)

// programHeader is the request header with the id of the program.
const programHeader = "Hornbeamvale-Program"

type chatRequest struct {
	Model      string           `json:"model"`
	Messages   []engine.Message `json:"messages"`
	Stream     bool             `json:"stream"`
	MaxTokens  int              `json:"max_tokens"`
	RequestID  string           `json:"request_id"`
	ResumeFrom *int             `json:"resume_from"`
	Priority   int              `json:"priority"`
	CacheTTL   *float64         `json:"cache_ttl"` // seconds
}

type chatAnswer struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []choice      `json:"choices"`
	Usage   *engine.Usage `json:"usage,omitempty"`
}

type choice struct {
	Index        int             `json:"index"`
	Message      *engine.Message `json:"message,omitempty"`
	Delta        *delta          `json:"delta,omitempty"`
	FinishReason *string         `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content,omitempty"`
}

func (h *handler) chat(w http.ResponseWriter, r *http.Request) {
	var body chatRequest
	if !answer.Decode(w, r, &body) {
		return
	}
	if message := body.check(); message != "" {
		answer.Refuse(w, http.StatusBadRequest, message)
		return
	}
	request := body.engineRequest(r.Header.Get(programHeader))
	type submitted struct {
		job *engine.Job
		err error
	}
	reply, err := loop.Do(r.Context(), h.stateLoop, func(s *engine.State) submitted {
		if r.Context().Err() != nil {
			return submitted{err: r.Context().Err()} // the client has disconnected, so nothing would cancel the job
		}
		job, err := s.Submit(time.Now(), request)
		return submitted{job, err}
	})
	if err != nil {
		answer.CloseConnection()
	}
	if reply.err != nil {
		answer.Refuse(w, status(reply.err), reply.err.Error())
		return
	}
	// Cancels the job if the client has disconnected. It has no effect on a job that
	// has ended.
	defer func() {
		_, _ = loop.Do(context.WithoutCancel(r.Context()), h.stateLoop, func(s *engine.State) bool {
			s.Cancel(time.Now(), reply.job)
			return true
		})
	}()
	if body.Stream {
		body.stream(w, r, reply.job)
	} else {
		body.writeComplete(w, r, reply.job)
	}
}

// check returns the reason why the request is not valid, or "".
func (b *chatRequest) check() string {
	switch {
	case b.MaxTokens < 0 || b.MaxTokens > engine.MaxTokens:
		return fmt.Sprintf("max_tokens is not between 0 and %d", engine.MaxTokens)
	case b.ResumeFrom != nil && b.RequestID == "":
		return "resume_from needs request_id"
	case b.ResumeFrom == nil && len(b.Messages) == 0:
		return "messages is empty"
	}
	return ""
}

// engineRequest converts the body to a request of the engine.
func (b *chatRequest) engineRequest(program string) engine.Request {
	request := engine.Request{
		ID: b.RequestID, Program: program, Prompt: engine.NewPrompt(b.Messages),
		Tokens: b.MaxTokens, Priority: b.Priority, ResumeFrom: b.ResumeFrom,
	}
	if b.CacheTTL != nil {
		ttl := time.Duration(*b.CacheTTL * float64(time.Second))
		request.CacheTTL = &ttl
	}
	return request
}

// status maps a refusal of the engine to an HTTP status.
func status(err error) int {
	switch {
	case errors.Is(err, engine.ErrUnknownRequest):
		return http.StatusNotFound
	case errors.Is(err, engine.ErrOldFence):
		return http.StatusConflict
	case errors.Is(err, engine.ErrRefused), errors.Is(err, engine.ErrLeaving):
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

// next returns the next piece of the stream. It closes the connection if a fault cuts the
// stream, if the job was cancelled, for example by a request that resumes it, or if the
// client has disconnected.
func next(r *http.Request, job *engine.Job) engine.Piece {
	select {
	case piece, ok := <-job.Pieces:
		if !ok || piece.Cut {
			answer.CloseConnection()
		}
		return piece
	case <-r.Context().Done():
		answer.CloseConnection()
	}
	return engine.Piece{}
}

// stream writes the response as a stream with one server-sent event per token.
func (b *chatRequest) stream(w http.ResponseWriter, r *http.Request, job *engine.Job) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	_ = flusher.Flush() // an error means that the client has disconnected
	for {
		piece := next(r, job)
		a := chatAnswer{ID: b.RequestID, Object: "chat.completion.chunk", Model: b.Model}
		c := choice{Delta: &delta{Content: piece.Token}}
		if piece.FinishReason != "" {
			c.FinishReason, a.Usage = &piece.FinishReason, &piece.Usage
		}
		a.Choices = []choice{c}
		data, err := json.Marshal(a)
		if err != nil {
			answer.CloseConnection()
		}
		fmt.Fprintf(w, "data: %s\n\n", data)
		if piece.FinishReason != "" {
			fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		if err := flusher.Flush(); err != nil {
			answer.CloseConnection()
		}
	}
}

// writeComplete writes the response in one piece.
func (b *chatRequest) writeComplete(w http.ResponseWriter, r *http.Request, job *engine.Job) {
	var text strings.Builder
	for {
		piece := next(r, job)
		text.WriteString(piece.Token)
		if piece.FinishReason == "" {
			continue
		}
		answer.JSON(w, http.StatusOK, chatAnswer{
			ID: b.RequestID, Object: "chat.completion", Model: b.Model, Usage: &piece.Usage,
			Choices: []choice{{
				Message:      &engine.Message{Role: "assistant", Content: text.String()},
				FinishReason: &piece.FinishReason,
			}},
		})
		return
	}
}
