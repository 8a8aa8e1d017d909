package peer

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/connection/conntrack"
	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

const (
	// idleTimeout is how long the dialling side keeps a connection without streams.
	idleTimeout = 60 * time.Second
	// idleGrace is how much longer the accepting side keeps it. The dialling side
	// closes first, so that no frame is lost while the connection closes.
	idleGrace = 15 * time.Second
	// writeTimeout bounds a write, so that a connection is closed if the other side
	// does not read.
	writeTimeout = 10 * time.Second
	// deliveryTime is how long before the last frame was received a message must have been
	// sent to have arrived for certain: frames of both directions cross.
	deliveryTime = time.Second
	queueLength  = 256 // frames
	// bufferSize is the size of the buffer of each direction, in bytes. Each of 410
	// VMs has a connection to every other one: buffers of 64 KiB take 58 MB on each VM,
	// above the 32 MB that it has for control; buffers of 4 KiB take 7.6 MB.
	bufferSize = 4 << 10
	// maxStreams bounds the handlers that another VM can start: a connection with this
	// number of open streams cancels each new stream of the other side.
	maxStreams = 4096
)

// conn is one connection to another VM.
type conn struct {
	manager *Manager
	vm      string
	address string // empty on the accepting side
	nc      net.Conn
	reader  *bufio.Reader
	queue   chan *outgoing
	ctx     context.Context
	cancel  context.CancelFunc
	// opening is a lock that is held from the choice of a stream number until the
	// opening frame is queued. Stream numbers are thus written in increasing order,
	// and a receiver can refuse a number that was used before.
	opening chan struct{}
	// received is when the last frame arrived, as clock.Monotonic in nanoseconds.
	received atomic.Int64
	// streamSent is when a message of a stream was last queued, in the same way; 0 if none was.
	streamSent atomic.Int64
	// endSignal tells writeLoop to look whether the connection is to be closed, since its last
	// stream has ended.
	endSignal chan struct{}

	mu         sync.Mutex
	streams    map[uint64]*Stream // by number
	nextNumber uint64             // odd on the dialling side, even on the accepting side
	lastRemote uint64             // last number of a stream that the other side opened
	lastUse    time.Time          // end of the last stream
	draining   bool               // this side opens no new streams
	goneAway   bool               // the other side opens no new streams
	retired    bool               // this side closes the connection after its last stream
	closing    bool               // neither side opens new streams; closes after what is queued
}

func newConn(m *Manager, vm, address string, nc net.Conn, reader *bufio.Reader) *conn {
	c := &conn{
		manager: m, vm: vm, address: address, nc: nc, reader: reader,
		queue: make(chan *outgoing, queueLength), opening: make(chan struct{}, 1),
		endSignal: make(chan struct{}, 1), streams: map[uint64]*Stream{}, nextNumber: 2, lastUse: time.Now(),
	}
	if address != "" {
		c.nextNumber = 1
	}
	c.received.Store(clock.Monotonic().Nanoseconds())
	c.ctx, c.cancel = context.WithCancel(m.ctx)
	return c
}

// States of an outgoing frame.
const (
	frameQueued int32 = iota
	frameWriting
	frameWithdrawn
)

// outgoing is an encoded frame in the queue of writeLoop. writeLoop and a sender that
// gives up both change the state atomically, so that a withdrawn frame is certainly
// not written.
type outgoing struct {
	typ     Type
	data    []byte
	state   atomic.Int32
	written chan struct{} // closed after the write; nil if nobody waits
}

// withdraw reports whether the frame was still queued and is now never written.
func (o *outgoing) withdraw() bool { return o.state.CompareAndSwap(frameQueued, frameWithdrawn) }

// enqueue waits for room in the queue of writeLoop.
func (c *conn) enqueue(ctx context.Context, o *outgoing) error {
	select {
	case c.queue <- o:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.ctx.Done():
		return errConnClosed
	}
}

func encodeOutgoing(id streamID, m Message) (*outgoing, error) {
	data, err := encodeFrame(&frame{Type: m.Type, Stream: id, Payload: m.Payload})
	if err != nil {
		return nil, err
	}
	return &outgoing{typ: m.Type, data: data}, nil
}

// send queues a frame of an open stream.
func (c *conn) send(ctx context.Context, id streamID, m Message) error {
	o, err := encodeOutgoing(id, m)
	if err != nil {
		return err
	}
	if err := c.enqueue(ctx, o); err != nil {
		return &Error{Run: refusal.Unknown, VM: c.vm, Err: err}
	}
	return nil
}

// sendLast queues the last frame of a stream. It doesn't wait: while the other side does not
// read, the queue stays full until writeTimeout, and the stream's user has a caller to answer.
func (c *conn) sendLast(id streamID, t Type) {
	o, err := encodeOutgoing(id, Message{Type: t})
	if err != nil {
		c.closeIfUnused()
		return
	}
	select {
	case c.queue <- o:
		c.closeIfUnused()
	default:
		c.manager.goUnlessClosed(func() {
			_ = c.enqueue(context.Background(), o) // with the connection, the other side loses the stream
			c.closeIfUnused()
		}, func() {})
	}
}

// trySend queues a frame without waiting and closes the connection if the queue is
// full. It is for readLoop, which must not wait for writeLoop.
func (c *conn) trySend(id streamID, m Message) {
	o, err := encodeOutgoing(id, m)
	if err != nil {
		return
	}
	select {
	case c.queue <- o:
	default:
		c.close()
	}
}

// open opens a stream with its first message and returns after the message was
// written to the connection's buffer, or when ctx ends while it is being written. Errors are
// *Error.
func (c *conn) open(ctx context.Context, m Message) (*Stream, error) {
	select {
	case c.opening <- struct{}{}:
	case <-ctx.Done():
		return nil, c.notRun(ctx.Err())
	case <-c.ctx.Done():
		return nil, c.notRun(errConnClosed)
	}
	s := c.register(m.Type)
	if s == nil {
		<-c.opening
		return nil, c.notRun(errConnClosed)
	}
	o, err := encodeOutgoing(s.id, m)
	if err == nil {
		o.written = make(chan struct{})
		err = c.enqueue(ctx, o)
	}
	<-c.opening
	if err != nil {
		c.discard(s)
		return nil, c.notRun(err)
	}
	select {
	case <-o.written:
		return s, nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-c.ctx.Done():
		select {
		case <-o.written:
			return s, nil // the reply may have arrived before the connection ended
		default:
		}
		err = errConnClosed
	}
	if o.withdraw() {
		c.discard(s)
		return nil, c.notRun(err)
	}
	if ctx.Err() != nil && c.ctx.Err() == nil {
		// The frame is being written, or was, and cannot be taken back: the other VM may only
		// be paused. The next use of the stream is bounded by its own context.
		return s, nil
	}
	s.Cancel()
	return nil, &Error{Run: refusal.Unknown, VM: c.vm, Err: err}
}

// notRun returns the error of a request of which no byte was written.
func (c *conn) notRun(err error) error { return &Error{Run: refusal.NotRun, VM: c.vm, Err: err} }

// discard ends a stream of which the other side has received no frame.
func (c *conn) discard(s *Stream) {
	c.remove(s)
	s.end(ErrClosed)
	c.closeIfUnused()
}

// register returns a new stream that a message of type t opens, or nil if the connection takes no new streams.
func (c *conn) register(t Type) *Stream {
	var token [8]byte
	_, _ = rand.Read(token[:]) // documented to return no error
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining || c.ctx.Err() != nil {
		return nil
	}
	s := newStream(c, streamID{Number: c.nextNumber, Token: binary.BigEndian.Uint64(token[:])}, t.role())
	<-s.credit // used by the opening message
	c.nextNumber += 2
	c.streams[s.id.Number] = s
	return s
}

// remove removes a stream from the connection and reports whether it was registered.
// closeIfUnused has to follow, once the last frame of the stream is queued.
func (c *conn) remove(s *Stream) bool {
	c.mu.Lock()
	_, ok := c.streams[s.id.Number]
	delete(c.streams, s.id.Number)
	c.lastUse = time.Now()
	c.mu.Unlock()
	return ok
}

// closeIfUnused has writeLoop end a connection that was retired, or that had a GoAway of the
// other side, once no stream is open.
func (c *conn) closeIfUnused() {
	c.mu.Lock()
	unused := (c.goneAway || c.retired) && len(c.streams) == 0
	c.mu.Unlock()
	if unused {
		c.signalEnd()
	}
}

func (c *conn) signalEnd() {
	select {
	case c.endSignal <- struct{}{}:
	default:
	}
}

// closeAfterWrites takes no new streams and has writeLoop close the connection when it has
// written what is queued.
func (c *conn) closeAfterWrites() {
	c.mu.Lock()
	c.draining, c.closing = true, true
	c.mu.Unlock()
	c.signalEnd()
}

// retireIfSilent takes the connection out of use if it has received nothing since a call was
// sent that has waited longer than an answer takes. The network path may have lost the
// connection without a reset; the next call then uses a new one. Streams go on, since the
// other VM may be sound and only be silent for a second: the connection closes with its last
// stream. A connection with nothing but calls, whose callers have other ways, is closed at
// once, so that abandoned calls are not delivered, unless the end of a stream may still have
// to arrive.
func (c *conn) retireIfSilent(sent time.Duration) {
	now, received := clock.Monotonic(), time.Duration(c.received.Load())
	if now-sent < conntrack.SilenceThreshold || received >= sent {
		return
	}
	silent := SilentConnection{VM: c.vm, Silence: now - received}
	c.mu.Lock()
	silent.Streams, silent.Calls = c.count()
	first := !c.draining && c.ctx.Err() == nil
	c.draining, c.retired = true, true
	c.mu.Unlock()
	if first {
		c.manager.observer.ConnectionSilent(silent)
	}
	streamSent := time.Duration(c.streamSent.Load())
	delivered := streamSent == 0 || streamSent < received-deliveryTime
	if silent.Streams == 0 && delivered {
		c.abort()
		return
	}
	c.manager.removeConn(c)
	c.closeIfUnused()
	_ = conntrack.LimitUnacknowledged(c.nc, goneTimeout) // without it, the streams' time limits end them
}

// count returns the number of open streams and calls. The caller must hold c.mu.
func (c *conn) count() (streams, calls int) {
	for _, s := range c.streams {
		if s.role == roleStream {
			streams++
		}
	}
	return streams, len(c.streams) - streams
}

// abort closes the connection without delivering what the kernel has not sent yet. It
// closes nc before the loops notice, since they close it in the ordinary way.
func (c *conn) abort() {
	_ = conntrack.Abort(c.nc)
	c.close()
}

// close closes the connection and ends its streams. It may be called repeatedly.
func (c *conn) close() {
	c.cancel()
	_ = c.nc.Close()
	c.mu.Lock()
	c.draining = true
	lost := c.streams
	c.streams = map[uint64]*Stream{}
	c.mu.Unlock()
	for _, s := range lost {
		s.end(&Error{Run: refusal.Unknown, VM: c.vm, Err: errConnClosed})
	}
	c.manager.removeConn(c)
}
