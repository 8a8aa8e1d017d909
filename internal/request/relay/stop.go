package relay

import (
	"context"
	"errors"
	"sync"

	"hornbeamvale.example/hornbeamvale/internal/connection/call"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

var errStopped = errors.New("the VM stops before the answer has begun")

// stopWriter ends a request that was admitted before the VM began to stop and whose answer has
// not begun when every request has to be answered. Its caller gets a refusal instead of a
// connection that is cut. An answer that has begun goes on.
type stopWriter struct {
	call.ResponseWriter
	cancel         context.CancelFunc // of the request
	mu             sync.Mutex
	begun, stopped bool
}

// stop ends the request unless its answer has begun.
func (w *stopWriter) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.begun {
		w.stopped = true
		w.cancel()
	}
}

// isStopped reports whether the stop has ended the request.
func (w *stopWriter) isStopped() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopped
}

// Begin implements call.ResponseWriter. An answer of a request that was stopped just before
// would be cut off, so it becomes a refusal.
func (w *stopWriter) Begin(status int, headers []call.Header, length int64) error {
	w.mu.Lock()
	w.begun = true
	stopped := w.stopped
	w.mu.Unlock()
	if stopped {
		w.Refuse(refusal.New(refusal.TimeLimit, "%v", errStopped).WithRun(refusal.Unknown))
		return errStopped
	}
	return w.ResponseWriter.Begin(status, headers, length)
}
