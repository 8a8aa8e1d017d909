// Package enginehttp is the HTTP front end of the engine stand-in. It decodes requests,
// encodes responses and applies the faults that concern the connection. The state is in
// package engine.
package enginehttp

import (
	"net/http"
	"strconv"
	"time"

	"hornbeamvale.example/hornbeamvale/standin/internal/process/engine"
	"hornbeamvale.example/hornbeamvale/standin/internal/process/loop"
	"hornbeamvale.example/hornbeamvale/standin/internal/request/answer"
)

type handler struct{ stateLoop *loop.Loop[*engine.State] }

// New returns the HTTP handler of the engine's protocol.
func New(stateLoop *loop.Loop[*engine.State]) http.Handler {
	h := &handler{stateLoop: stateLoop}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", h.chat)
	mux.HandleFunc("POST /v1/cache/release", h.release)
	mux.HandleFunc("GET /v1/cache/blocks", h.blocks)
	mux.HandleFunc("GET /v1/cache/events", h.events)
	mux.HandleFunc("GET /v1/load", h.load)
	mux.HandleFunc("POST /v1/orders", h.orders)
	mux.HandleFunc("POST /_faults", h.faults)
	return mux
}

// do runs f on the goroutine of the loop. It closes the connection on an error, as f may
// or may not run then.
func do[R any](h *handler, r *http.Request, f func(*engine.State) R) R {
	reply, err := loop.Do(r.Context(), h.stateLoop, f)
	if err != nil {
		answer.CloseConnection()
	}
	return reply
}

type releaseRequest struct {
	Program string `json:"program"`
}

type releaseAnswer struct {
	Blocks int `json:"blocks"`
}

func (h *handler) release(w http.ResponseWriter, r *http.Request) {
	var body releaseRequest
	if !answer.Decode(w, r, &body) {
		return
	}
	if body.Program == "" {
		answer.Refuse(w, http.StatusBadRequest, "program is empty")
		return
	}
	blocks := do(h, r, func(s *engine.State) int { return s.Release(time.Now(), body.Program) })
	answer.JSON(w, http.StatusOK, releaseAnswer{blocks})
}

type blocksAnswer struct {
	Programs map[string]int `json:"programs"`
}

func (h *handler) blocks(w http.ResponseWriter, r *http.Request) {
	answer.JSON(w, http.StatusOK, blocksAnswer{do(h, r, (*engine.State).Blocks)})
}

type eventsAnswer struct {
	Events []engine.Event `json:"events"`
	Latest uint64         `json:"latest"`
}

func (h *handler) events(w http.ResponseWriter, r *http.Request) {
	var since uint64
	if text := r.URL.Query().Get("since"); text != "" {
		var err error
		if since, err = strconv.ParseUint(text, 10, 64); err != nil {
			answer.Refuse(w, http.StatusBadRequest, "since is not a sequence number")
			return
		}
	}
	answer.JSON(w, http.StatusOK, do(h, r, func(s *engine.State) (a eventsAnswer) {
		a.Events, a.Latest = s.Events(since)
		return a
	}))
}

func (h *handler) load(w http.ResponseWriter, r *http.Request) {
	answer.JSON(w, http.StatusOK, do(h, r, func(s *engine.State) engine.Load { return s.Load(time.Now()) }))
}

type orderAnswer struct {
	Fence uint64 `json:"fence"`
}

func (h *handler) orders(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if !answer.Decode(w, r, &order) {
		return
	}
	if err := do(h, r, func(s *engine.State) error { return s.ApplyOrder(time.Now(), order) }); err != nil {
		answer.Refuse(w, status(err), err.Error())
		return
	}
	answer.JSON(w, http.StatusOK, orderAnswer{order.Fence})
}

func (h *handler) faults(w http.ResponseWriter, r *http.Request) {
	var f engine.Faults
	if !answer.DecodeStrict(w, r, &f) {
		return
	}
	do(h, r, func(s *engine.State) bool { s.SetFaults(time.Now(), f); return true })
	w.WriteHeader(http.StatusNoContent)
}
