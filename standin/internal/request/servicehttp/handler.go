// Package servicehttp is the HTTP front end of the plain service stand-in. It decodes requests,
// encodes responses and applies the faults that concern the connection. The state is in
// package service.
package servicehttp

import (
	"context"
	"io"
	"net/http"
	"time"

	"hornbeamvale.example/hornbeamvale/standin/internal/process/loop"
	"hornbeamvale.example/hornbeamvale/standin/internal/process/service"
	"hornbeamvale.example/hornbeamvale/standin/internal/request/answer"
)

// requestIDHeader is the header with the id under which a request may run at most once.
const requestIDHeader = "Hornbeamvale-Request-Id"

type handler struct {
	stateLoop *loop.Loop[*service.State]
}

// New returns the HTTP handler of the service. It does not use a ServeMux, because that
// redirects paths such as "/a//b".
func New(stateLoop *loop.Loop[*service.State]) http.Handler {
	h := &handler{stateLoop: stateLoop}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method + " " + r.URL.Path {
		case "GET /_counts":
			answer.JSON(w, http.StatusOK, do(h, r, (*service.State).Counts))
		case "GET /_headers":
			answer.JSON(w, http.StatusOK, do(h, r, (*service.State).Headers))
		case "GET /v1/load":
			answer.JSON(w, http.StatusOK, do(h, r, func(s *service.State) load { return load{s.Running} }))
		case "POST /_faults":
			h.faults(w, r)
		default:
			h.run(w, r)
		}
	})
}

type load struct {
	Running int `json:"running"`
}

type result struct {
	Method    string `json:"method"`
	Path      string `json:"path"`
	RequestID string `json:"request_id,omitempty"`
	Run       int    `json:"run"`
}

// do runs f on the goroutine of the loop. It closes the connection on an error, as f may
// or may not run then.
func do[R any](h *handler, r *http.Request, f func(*service.State) R) R {
	reply, err := loop.Do(r.Context(), h.stateLoop, f)
	if err != nil {
		answer.CloseConnection()
	}
	return reply
}

func (h *handler) run(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		answer.CloseConnection() // an incomplete request is not run
	}
	id, path := r.Header.Get(requestIDHeader), r.URL.EscapedPath()
	type started struct {
		run    int
		faults service.Faults
	}
	// The request counts as run even if the client disconnects, since it has arrived.
	ctx := context.WithoutCancel(r.Context())
	start, err := loop.Do(ctx, h.stateLoop, func(s *service.State) started {
		return started{s.Begin(id, path, r.Header), s.Faults}
	})
	if err != nil {
		answer.CloseConnection()
	}
	defer func() {
		_, _ = loop.Do(ctx, h.stateLoop, func(s *service.State) bool { s.Running--; return true })
	}()
	answer.Pause(r, time.Duration(start.faults.DelayMS)*time.Millisecond)
	if start.faults.Hang {
		<-r.Context().Done()
	}
	if start.faults.Hang || start.faults.CutBeforeAnswer {
		answer.CloseConnection()
	}
	answer.JSON(w, http.StatusOK, result{r.Method, path, id, start.run})
}

func (h *handler) faults(w http.ResponseWriter, r *http.Request) {
	var f service.Faults
	if !answer.DecodeStrict(w, r, &f) {
		return
	}
	do(h, r, func(s *service.State) bool { s.Faults = f; return true })
	w.WriteHeader(http.StatusNoContent)
}
