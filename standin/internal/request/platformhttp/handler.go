// Package platformhttp is the HTTP front end of the platform stand-in. It decodes requests,
// encodes responses and applies the faults that concern the connection. The state is in
// package platform.
package platformhttp

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"time"

	"hornbeamvale.example/hornbeamvale/standin/internal/process/loop"
	"hornbeamvale.example/hornbeamvale/standin/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/standin/internal/request/answer"
)

type handler struct{ stateLoop *loop.Loop[*platform.State] }

// outcome is the result of one request, which determines the response.
type outcome struct {
	status int
	body   any    // encoded as JSON; []byte for an object; nil for no body
	tag    string // entity tag; empty for none
	delay  time.Duration
	lost   bool // close the connection in place of a response
}

// New returns the HTTP handler of the platform's protocol.
func New(stateLoop *loop.Loop[*platform.State]) http.Handler {
	h := &handler{stateLoop: stateLoop}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tx", h.tx)
	mux.HandleFunc("POST /v1/read", h.read)
	mux.HandleFunc("PUT /v1/objects/{key...}", h.putObject)
	mux.HandleFunc("GET /v1/objects/{key...}", h.getObject)
	mux.HandleFunc("DELETE /v1/objects/{key...}", h.deleteObject)
	mux.HandleFunc("GET /v1/vms", h.vms)
	mux.HandleFunc("PUT /v1/vms", h.setVMs)
	mux.HandleFunc("POST /_faults", h.faults)
	return mux
}

func failure(status int, message string) outcome {
	return outcome{status: status, body: answer.Failure{Error: message, Effect: answer.NoEffect}}
}

// serve runs f on the goroutine of the loop and writes its outcome. During an injected
// outage it responds with 503 and does not run f.
func (h *handler) serve(w http.ResponseWriter, r *http.Request, f func(*platform.State) outcome) {
	o, err := loop.Do(r.Context(), h.stateLoop, func(s *platform.State) outcome {
		if s.Faults.Outage {
			return failure(http.StatusServiceUnavailable, "outage")
		}
		o := f(s)
		o.delay = time.Duration(s.Faults.DelayMS) * time.Millisecond
		return o
	})
	if err != nil {
		answer.CloseConnection() // f may or may not run
	}
	answer.Pause(r, o.delay)
	if o.lost {
		answer.CloseConnection()
	}
	if o.tag != "" {
		w.Header().Set("ETag", o.tag)
	}
	switch body := o.body.(type) {
	case nil:
		w.WriteHeader(o.status)
	case []byte:
		w.Header().Set("Content-Type", "application/octet-stream")
		http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(body)) // supports range requests
	default:
		answer.JSON(w, o.status, body)
	}
}

func (h *handler) tx(w http.ResponseWriter, r *http.Request) {
	var tx platform.Tx
	if !answer.Decode(w, r, &tx) {
		return
	}
	h.serve(w, r, func(s *platform.State) outcome {
		result, err := s.Commit(tx)
		if err != nil {
			return failure(http.StatusBadRequest, err.Error())
		}
		return outcome{status: http.StatusOK, body: result, lost: s.LoseNextResponse()}
	})
}

func (h *handler) read(w http.ResponseWriter, r *http.Request) {
	var read platform.Read
	if !answer.Decode(w, r, &read) {
		return
	}
	h.serve(w, r, func(s *platform.State) outcome {
		return outcome{status: http.StatusOK, body: s.Read(read)}
	})
}

func (h *handler) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		answer.Refuse(w, http.StatusBadRequest, "body: "+err.Error())
		return
	}
	h.serve(w, r, func(s *platform.State) outcome {
		if !s.PutObject(r.PathValue("key"), body) {
			return failure(http.StatusConflict, "the object exists")
		}
		return outcome{status: http.StatusCreated}
	})
}

func (h *handler) getObject(w http.ResponseWriter, r *http.Request) {
	h.serve(w, r, func(s *platform.State) outcome {
		body, ok := s.Object(r.PathValue("key"))
		if !ok {
			return failure(http.StatusNotFound, "no such object")
		}
		return outcome{status: http.StatusOK, body: body}
	})
}

func (h *handler) deleteObject(w http.ResponseWriter, r *http.Request) {
	h.serve(w, r, func(s *platform.State) outcome {
		s.DeleteObject(r.PathValue("key"))
		return outcome{status: http.StatusNoContent}
	})
}

// vms responds with the list of VMs and an entity tag of its content, or with 304 if the
// client's tag matches.
func (h *handler) vms(w http.ResponseWriter, r *http.Request) {
	h.serve(w, r, func(s *platform.State) outcome {
		vms := s.VMs(time.Now())
		digest := sha256.New()
		for _, vm := range vms {
			_, _ = fmt.Fprintf(digest, "%q", []string{vm.ID, vm.Address, vm.DataCentre, vm.Endpoint, vm.State})
		}
		tag := `"` + hex.EncodeToString(digest.Sum(nil)[:16]) + `"`
		if r.Header.Get("If-None-Match") == tag {
			return outcome{status: http.StatusNotModified, tag: tag}
		}
		return outcome{status: http.StatusOK, body: vms, tag: tag}
	})
}

func (h *handler) setVMs(w http.ResponseWriter, r *http.Request) {
	vms := []platform.VM{}
	if !answer.Decode(w, r, &vms) {
		return
	}
	h.serve(w, r, func(s *platform.State) outcome {
		s.SetVMs(time.Now(), vms)
		return outcome{status: http.StatusNoContent}
	})
}

func (h *handler) faults(w http.ResponseWriter, r *http.Request) {
	var f platform.Faults
	if !answer.DecodeStrict(w, r, &f) {
		return
	}
	if _, err := loop.Do(r.Context(), h.stateLoop, func(s *platform.State) bool { s.Faults = f; return true }); err != nil {
		answer.CloseConnection()
	}
	w.WriteHeader(http.StatusNoContent)
}
