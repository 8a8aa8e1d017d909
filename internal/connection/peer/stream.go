package peer

import (
	"context"
	"io"
	"sync"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

const (
	// window is the number of messages that may be sent without acknowledgement, in
	// each direction of a stream.
	window = 64
	// creditBatch is the number of received messages after which credit is returned.
	creditBatch = 16
)

// Stream is a sequence of messages to and from another VM. One goroutine may send
// while another one receives.
type Stream struct {
	conn   *conn
	id     streamID
	role   role          // of the message that opened it
	inbox  chan Message  // holds a whole window, so that readLoop never waits
	credit chan struct{} // one element for each message that may be sent
	ctx    context.Context
	cancel context.CancelFunc

	// unacknowledged counts received messages for which no credit was returned yet.
	// Only the receiving goroutine uses it.
	unacknowledged int

	endOnce sync.Once
	ended   chan struct{}
	err     error // why the stream ended; set before ended is closed
}

// newStream returns a stream with credit for a whole window.
func newStream(c *conn, id streamID, r role) *Stream {
	s := &Stream{
		conn: c, id: id, role: r, inbox: make(chan Message, window), credit: make(chan struct{}, window), ended: make(chan struct{}),
	}
	s.ctx, s.cancel = context.WithCancel(c.ctx)
	for range window {
		s.credit <- struct{}{}
	}
	return s
}

// end ends the stream with the error that Recv and Send return from then on. It
// cancels the handler's context, except for io.EOF: the handler may still answer
// after the other side has closed the stream. Only the first call has an effect.
func (s *Stream) end(err error) {
	s.endOnce.Do(func() {
		s.err = err
		close(s.ended)
		if err != io.EOF {
			s.cancel()
		}
	})
}

// Send queues m for writing. It waits for credit if the other side has not yet
// received a whole window of earlier messages.
func (s *Stream) Send(ctx context.Context, m Message) error {
	if m.Type.internal() {
		return errTypeNotAllowed
	}
	select {
	case <-s.ended:
		return s.sendError()
	default:
	}
	select {
	case <-s.credit:
	case <-s.ended:
		return s.sendError()
	case <-ctx.Done():
		return ctx.Err()
	}
	if s.role == roleStream {
		s.conn.streamSent.Store(clock.Monotonic().Nanoseconds())
	}
	err := s.conn.send(ctx, s.id, m)
	if err != nil {
		s.credit <- struct{}{} // returns the credit; has room, since it was taken above
	}
	return err
}

// sendError returns the error of a send on an ended stream. It is ErrClosed if the
// other side closed the stream, where Recv returns io.EOF.
func (s *Stream) sendError() error {
	if s.err == io.EOF {
		return ErrClosed
	}
	return s.err
}

// Recv returns the next message. It returns io.EOF after the other side has closed
// the stream, ErrCancelled after it has cancelled the stream, and an *Error when the
// connection is lost.
func (s *Stream) Recv(ctx context.Context) (Message, error) {
	select {
	case m := <-s.inbox:
		return m, s.acknowledge(ctx)
	default:
	}
	select {
	case m := <-s.inbox:
		return m, s.acknowledge(ctx)
	case <-ctx.Done():
		return Message{}, ctx.Err()
	case <-s.ended:
	}
	// readLoop delivers all messages before it ends the stream, so the inbox may hold
	// some.
	select {
	case m := <-s.inbox:
		return m, nil
	default:
		return Message{}, s.err
	}
}

// acknowledge counts a received message and returns credit to the other side in
// batches while the stream is open. If the credit cannot be sent, the count stays and
// the next call tries again.
func (s *Stream) acknowledge(ctx context.Context) error {
	s.unacknowledged++
	if s.unacknowledged < creditBatch {
		return nil
	}
	select {
	case <-s.ended:
		return nil
	default:
	}
	payload, err := Encode(s.unacknowledged)
	if err != nil {
		return err
	}
	if s.conn.send(ctx, s.id, Message{Type: TurnCredit, Payload: payload}) == nil {
		s.unacknowledged = 0
	}
	return nil
}

// Close ends the stream in both directions. Messages sent before are delivered.
func (s *Stream) Close() { s.finish(StreamEnd) }

// Cancel ends the stream and cancels the context of its handler at the other side.
func (s *Stream) Cancel() { s.finish(TurnCancel) }

// finish ends the stream at this side and tells the other side by a frame of type t.
func (s *Stream) finish(t Type) {
	registered := s.conn.remove(s)
	s.end(ErrClosed)
	s.cancel()
	if registered {
		s.conn.sendLast(s.id, t)
		return
	}
	s.conn.closeIfUnused()
}

// deliver handles a frame of this stream. readLoop calls it, so it never waits.
func (s *Stream) deliver(f *frame) {
	switch f.Type {
	case StreamEnd:
		s.conn.remove(s)
		s.end(io.EOF)
		s.conn.closeIfUnused()
	case TurnCancel:
		s.conn.remove(s)
		s.end(ErrCancelled)
		s.conn.closeIfUnused()
	case TurnCredit:
		if !s.addCredit(f.Payload) {
			s.abort()
		}
	default:
		select {
		case s.inbox <- Message{Type: f.Type, Payload: f.Payload}:
		default:
			s.abort()
		}
	}
}

// addCredit adds the credit of a TurnCredit payload. It returns false for an invalid
// payload and for credit beyond the window.
func (s *Stream) addCredit(payload []byte) bool {
	var n int
	if Decode(payload, &n) != nil || n < 0 || n > window {
		return false
	}
	for range n {
		select {
		case s.credit <- struct{}{}:
		default:
			return false
		}
	}
	return true
}

// abort cancels a stream whose other side exceeded its credit or sent invalid credit.
func (s *Stream) abort() {
	if s.conn.remove(s) {
		s.conn.trySend(s.id, Message{Type: TurnCancel})
	}
	s.end(&Error{Run: refusal.Unknown, VM: s.conn.vm, Err: errCreditExceeded})
	s.conn.closeIfUnused()
}
