package metered

import (
	"errors"
	"os"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/intake"
)

const (
	// writePart is what a caller has to read within writeStall, up to socketBuffer later than
	// it is written. Replicas cut off answers that stay unread for some seconds.
	writePart  = 16 << 10
	writeStall = 3 * time.Second
	// writeRenewal is the time after which the deadline of writes is moved, so that not every
	// event of a stream does it.
	writeRenewal = time.Second
	// lastWriteTime bounds the second write of a part whose deadline has passed. The process may
	// not have run meanwhile; then the kernel has room at once, if the caller reads.
	lastWriteTime = 250 * time.Millisecond
)

// Write implements net.Conn. It closes the connection of a caller that does not read.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for {
		n, err := c.writeOnePart(p[written:min(len(p), written+writePart)])
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.intake.Count(intake.UnreadResponse, c.address)
			c.reportCut(intake.UnreadResponse, intake.Running)
			c.Abandon()
		}
		if err != nil {
			c.noteLeft(err)
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// writeOnePart writes what the caller has to read within writeStall.
func (c *Conn) writeOnePart(part []byte) (int, error) {
	if now := time.Now(); c.writeDeadline.Sub(now) < writeStall {
		c.writeDeadline = now.Add(writeStall + writeRenewal)
		if err := c.Conn.SetWriteDeadline(c.writeDeadline); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(part)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if err = c.SetWriteDeadline(time.Now().Add(lastWriteTime)); err != nil {
		return n, err
	}
	more, err := c.Conn.Write(part[n:])
	return n + more, err
}

// SetWriteDeadline implements net.Conn. net/http clears the deadline after each answer, so the
// next write has to set it again.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline = time.Time{}
	return c.Conn.SetWriteDeadline(t)
}
