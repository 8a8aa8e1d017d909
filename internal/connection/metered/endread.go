package metered

import (
	"net"
	"sync"
	"time"
)

// lastReadTime is how long the reader of a connection that ends looks for bytes that the
// kernel has received. A read with a deadline that has passed does not look for them.
const lastReadTime = 20 * time.Millisecond

// readControl ends the reads of a connection by their deadline, and keeps net/http, which sets
// that deadline too, from undoing it.
type readControl struct {
	mu     sync.Mutex
	wanted time.Time // the deadline that net/http has set
	ended  bool
	// closeAfterRequest is set if the connection ends after the request that is received or
	// served.
	closeAfterRequest bool
}

func (r *readControl) end(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	_ = c.SetReadDeadline(longAgo) // fails only on a closed connection
}

func (r *readControl) resume(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended, r.closeAfterRequest = false, true
	_ = c.SetReadDeadline(r.wanted)
}

func (r *readControl) set(c net.Conn, t time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wanted = t
	if r.ended {
		return nil
	}
	return c.SetReadDeadline(t)
}

// again decides whether a read whose deadline has passed is made once more, with the deadline
// that holds by then. looked is set if this read was made again before, and serving if it is
// net/http's read of a single byte, which it makes while a handler runs: the connection does
// not end before that request is answered. Otherwise a connection that ends is looked at once
// more for bytes that the kernel has received. A deadline that was undone meanwhile ends
// nothing: net/http would take the caller for gone and cancel its request.
func (r *readControl) again(c net.Conn, serving, looked bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended && !serving {
		return !looked && c.SetReadDeadline(time.Now().Add(lastReadTime)) == nil
	}
	if r.ended {
		r.ended, r.closeAfterRequest = false, true
	}
	if !r.wanted.IsZero() && !r.wanted.After(time.Now()) {
		return false
	}
	return c.SetReadDeadline(r.wanted) == nil
}

// EndRead implements intake.Holder. The goroutine that serves the connection finds its read
// ended and closes the connection, unless a request has arrived.
func (c *Conn) EndRead() { c.reading.end(c.Conn) }

// Resume implements intake.Holder.
func (c *Conn) Resume() { c.reading.resume(c.Conn) }

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.reading.set(c.Conn, t) }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.reading.set(c.Conn, t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// ClosesAfterRequest reports whether the connection ends after the request that is being
// served.
func (c *Conn) ClosesAfterRequest() bool {
	if c == nil {
		return false
	}
	c.reading.mu.Lock()
	defer c.reading.mu.Unlock()
	return c.reading.closeAfterRequest
}
