package peer

import (
	"bufio"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
)

// readLoop reads and dispatches frames until the connection ends. It never waits for
// a stream, so that a slow one does not delay the others.
func (c *conn) readLoop() {
	defer c.close()
	for {
		f, size, err := readFrame(c.reader)
		if err != nil {
			return
		}
		c.received.Store(clock.Monotonic().Nanoseconds())
		c.manager.received(f.Type, size)
		if f.Type == GoAway {
			c.handleGoAway()
			continue
		}
		c.dispatch(f)
	}
}

// dispatch delivers a frame to its stream or opens the stream. It drops and counts
// frames of ended streams and frames with a wrong token.
func (c *conn) dispatch(f *frame) {
	c.mu.Lock()
	s := c.streams[f.Stream.Number]
	c.mu.Unlock()
	switch {
	case s != nil && s.id.Token == f.Stream.Token:
		s.deliver(f)
	case s == nil && f.Type.role() != roleNone:
		c.accept(f)
	default:
		c.manager.dropped.Add(1)
	}
}

// accept starts the handler of a stream or call that the other side opens. It drops
// and counts the frame if its stream number belongs to this side or is not above all
// earlier ones, and after a GoAway of the other side or when the connection is being
// closed.
func (c *conn) accept(f *frame) {
	c.mu.Lock()
	remote := f.Stream.Number%2 != c.nextNumber%2
	if !remote || f.Stream.Number <= c.lastRemote || c.goneAway || c.closing || c.ctx.Err() != nil {
		c.mu.Unlock()
		c.manager.dropped.Add(1)
		return
	}
	c.lastRemote = f.Stream.Number
	if len(c.streams) >= maxStreams {
		c.mu.Unlock()
		c.trySend(f.Stream, Message{Type: TurnCancel})
		return
	}
	s := newStream(c, f.Stream, f.Type.role())
	c.streams[s.id.Number] = s
	c.mu.Unlock()
	first := Message{Type: f.Type, Payload: f.Payload}
	if f.Type.role() == roleStream {
		s.inbox <- first // does not wait, since the inbox is empty
		c.manager.wait.Go(func() { c.serveStream(s) })
		return
	}
	c.manager.wait.Go(func() { c.serveCall(s, first) })
}

// serveStream runs the handler of a stream and closes the stream afterwards.
func (c *conn) serveStream(s *Stream) {
	defer s.Close()
	c.manager.handler.Stream(s.ctx, c.vm, s)
}

// serveCall runs the handler of a call and sends its reply, or a CallRefusal if the
// handler or the sending failed.
func (c *conn) serveCall(s *Stream, m Message) {
	defer s.Close()
	reply, err := c.manager.handler.Call(s.ctx, c.vm, m)
	if err == nil {
		err = s.Send(s.ctx, reply) // fails if the reply exceeds MaxFrame
	}
	if err == nil {
		return
	}
	if payload, err := encodeRefusal(err); err == nil {
		_ = c.send(s.ctx, s.id, Message{Type: CallRefusal, Payload: payload})
	}
}

// handleGoAway handles the GoAway of the other side: neither side opens new streams,
// and the connection is closed after its last stream.
func (c *conn) handleGoAway() {
	c.mu.Lock()
	c.draining, c.goneAway = true, true
	c.mu.Unlock()
	c.manager.removeConn(c)
	c.closeIfUnused()
}

// writeLoop writes queued frames and closes the connection after the idle time.
func (c *conn) writeLoop() {
	defer c.close()
	w := bufio.NewWriterSize(c.nc, bufferSize)
	timer := time.NewTimer(c.manager.idle)
	defer timer.Stop()
	for {
		select {
		case o := <-c.queue:
			if c.write(w, o) != nil {
				return
			}
		case <-timer.C:
			nextCheck, ok := c.checkIdle(w)
			if !ok {
				return
			}
			timer.Reset(nextCheck)
		case <-c.endSignal:
			if !c.announceEnd(w) {
				c.writeLast(w)
				return
			}
			timer.Reset(idleGrace)
		case <-c.ctx.Done():
			return
		}
	}
}

// announceEnd writes what is queued and a GoAway on a retired connection, and returns true.
// The other side then closes it, after the streams that it may have opened meanwhile. It
// returns false if the connection is to be closed by this side. Only writeLoop calls it.
func (c *conn) announceEnd(w *bufio.Writer) bool {
	c.mu.Lock()
	closes := c.goneAway || c.closing
	c.mu.Unlock()
	if closes || c.writeQueued(w) != nil {
		return false
	}
	o, err := encodeOutgoing(streamID{}, Message{Type: GoAway})
	return err == nil && c.write(w, o) == nil
}

// writeLast writes what is queued, tells the other side by the end of the stream of bytes
// that no more follows, and waits until that side has closed the connection: to close it
// while bytes of that side arrive would reset it, and drop what it has not received. Only
// writeLoop calls it.
func (c *conn) writeLast(w *bufio.Writer) {
	if c.writeQueued(w) != nil {
		return
	}
	if half, ok := c.nc.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	timer := time.NewTimer(idleGrace)
	defer timer.Stop()
	select {
	case <-c.ctx.Done():
	case <-timer.C:
	}
}

// writeQueued writes the frames that are queued.
func (c *conn) writeQueued(w *bufio.Writer) error {
	for {
		select {
		case o := <-c.queue:
			if err := c.write(w, o); err != nil {
				return err
			}
		default:
			return w.Flush()
		}
	}
}

// write writes o, unless its sender has withdrawn it, and flushes if no further frame
// is queued.
func (c *conn) write(w *bufio.Writer, o *outgoing) error {
	if o.state.CompareAndSwap(frameQueued, frameWriting) {
		if err := c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := w.Write(o.data); err != nil {
			return err
		}
		c.manager.sent(o.typ, len(o.data))
		if o.written != nil {
			close(o.written)
		}
	}
	if len(c.queue) > 0 {
		return nil
	}
	return w.Flush()
}

// checkIdle returns the time until the next check and whether the connection stays
// open. The dialling side announces an idle connection's end with GoAway and leaves
// the closing to the other side, which may have opened streams in the meantime. Only
// writeLoop calls it.
func (c *conn) checkIdle(w *bufio.Writer) (time.Duration, bool) {
	limit := c.manager.idle
	if c.address == "" {
		limit += idleGrace
	}
	c.mu.Lock()
	idle := time.Since(c.lastUse)
	busy := len(c.streams) > 0
	announced := c.draining
	if c.retired {
		limit = idleGrace // its GoAway follows its last stream
	}
	if !busy && idle >= limit {
		c.draining = true
	}
	c.mu.Unlock()
	switch {
	case busy:
		return limit, true
	case idle < limit:
		return limit - idle, true
	case announced || c.address == "":
		return 0, false
	}
	c.manager.removeConn(c)
	o, err := encodeOutgoing(streamID{}, Message{Type: GoAway})
	return idleGrace, err == nil && c.write(w, o) == nil
}
