// Package service holds the state of the plain service stand-in: the number of executed
// requests and the headers received.
package service

import (
	"maps"
	"net/http"
	"slices"
	"time"
)

// Faults is the body of POST /_faults. It replaces all injected faults.
type Faults struct {
	// DelayMS delays each response, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// Hang runs requests and sends no response until the client disconnects.
	Hang bool `json:"hang"`
	// CutBeforeAnswer runs requests and closes the connection in place of a response.
	CutBeforeAnswer bool `json:"cut_before_answer"`
}

// Counts holds the number of executed requests.
type Counts struct {
	Requests map[string]int `json:"requests"` // by request id
	Paths    map[string]int `json:"paths"`
}

// State is the state of the service. It is owned by one goroutine, see package loop.
type State struct {
	Faults  Faults
	Running int
	counts  Counts
	headers http.Header
}

// NewState returns the state of a service without requests.
func NewState() *State {
	return &State{
		counts:  Counts{Requests: map[string]int{}, Paths: map[string]int{}},
		headers: http.Header{},
	}
}

// Deadline implements loop.State. The state changes only by commands.
func (s *State) Deadline() time.Time { return time.Time{} }

// Tick implements loop.State.
func (s *State) Tick(time.Time) {}

// Begin counts the start of a request. It returns how often its id has run, or its path
// if it has no id.
func (s *State) Begin(id, path string, headers http.Header) (run int) {
	s.Running++
	for name, values := range headers {
		for _, v := range values {
			if !slices.Contains(s.headers[name], v) {
				s.headers.Add(name, v)
			}
		}
	}
	s.counts.Paths[path]++
	if id == "" {
		return s.counts.Paths[path]
	}
	s.counts.Requests[id]++
	return s.counts.Requests[id]
}

// Counts returns a copy of the counts.
func (s *State) Counts() Counts {
	return Counts{Requests: maps.Clone(s.counts.Requests), Paths: maps.Clone(s.counts.Paths)}
}

// Headers returns a copy of all distinct header values received.
func (s *State) Headers() http.Header { return s.headers.Clone() }
