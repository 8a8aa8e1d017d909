package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// acceptPause is the wait after a failed accept, for example when the process has no
// free file descriptors.
const acceptPause = 100 * time.Millisecond

// closeTimeout bounds the time in which Close writes what is queued. A VM that is reached
// takes a few milliseconds; the other ones must not hold up the end of the process.
const closeTimeout = 200 * time.Millisecond

// Handler serves the streams and calls that other VMs open. Each method call runs in
// its own goroutine. from is the name of the other VM. ctx ends when the other side
// cancels or the connection is lost.
type Handler interface {
	// Stream serves one stream. The stream is closed when it returns.
	Stream(ctx context.Context, from string, s *Stream)
	// Call returns the reply to a call. A *refusal.Refusal is sent to the caller unchanged.
	Call(ctx context.Context, from string, m Message) (Message, error)
}

// Manager holds the connections to other VMs.
type Manager struct {
	self     string
	tls      *tls.Config // nil means plaintext
	handler  Handler
	idle     time.Duration // idleTimeout, except in tests
	observer Observer
	ctx      context.Context
	cancel   context.CancelFunc
	wait     sync.WaitGroup // of all goroutines of connections and handlers

	bytesSent, bytesReceived [typeLimit]atomic.Uint64 // by type
	dropped                  atomic.Uint64            // frames
	handshakes               atomic.Int64             // accepted connections without a hello

	mu     sync.Mutex
	closed bool
	conns  map[string]*conn   // by VM, for new streams
	all    map[*conn]struct{} // every live connection
	dials  map[dialTarget]*pendingDial
}

// dialTarget is a VM and the address at which it listens.
type dialTarget struct{ vm, address string }

// pendingDial is a dial that several requests may wait for.
type pendingDial struct {
	done chan struct{} // closed after conn and err are set
	conn *conn
	err  error
}

// NewManager returns a manager for the VM self. dial is the TLS configuration of the
// connections that it dials. If dial is nil, connections are plaintext and the names of
// VMs are not verified.
func NewManager(self string, dial *tls.Config, h Handler) *Manager {
	m := &Manager{
		self: self, tls: dial, handler: h, idle: idleTimeout, observer: noObserver{},
		conns: map[string]*conn{}, all: map[*conn]struct{}{}, dials: map[dialTarget]*pendingDial{},
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

// Serve accepts connections until ctx ends. Connections that are open then stay open
// until Close. With TLS, l must be a TLS listener.
func (m *Manager) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		nc, err := l.Accept()
		switch {
		case err == nil:
			m.goUnlessClosed(func() { m.accept(nc) }, func() { _ = nc.Close() })
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		default:
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(acceptPause):
			}
		}
	}
}

// goUnlessClosed starts f, or calls otherwise if the manager is closed.
func (m *Manager) goUnlessClosed(f, otherwise func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		otherwise()
		return
	}
	m.wait.Go(f)
}

// Close closes all connections after they have written what is queued, for which it waits
// closeTimeout at most, and waits for their goroutines and handlers.
func (m *Manager) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	live := m.live()
	for _, c := range live {
		c.closeAfterWrites()
	}
	expired := false
	for _, c := range live {
		if expired {
			break
		}
		select {
		case <-c.ctx.Done():
		case <-timer.C:
			expired = true
		}
	}
	m.cancel()
	for _, c := range m.live() {
		c.close()
	}
	m.wait.Wait()
}

// live returns the live connections.
func (m *Manager) live() []*conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Keys(m.all))
}

// Open opens a stream to vm, which listens at address. Errors are *Error.
func (m *Manager) Open(ctx context.Context, vm, address string, first Message) (*Stream, error) {
	if first.Type.role() != roleStream {
		return nil, &Error{Run: refusal.NotRun, VM: vm, Err: errTypeNotAllowed}
	}
	return m.open(ctx, vm, address, first)
}

// Call sends one request to vm and returns its reply. Errors are *Error.
func (m *Manager) Call(ctx context.Context, vm, address string, request Message) (Message, error) {
	if request.Type.role() != roleCall {
		return Message{}, &Error{Run: refusal.NotRun, VM: vm, Err: errTypeNotAllowed}
	}
	s, err := m.open(ctx, vm, address, request)
	if err != nil {
		return Message{}, err
	}
	sent := clock.Monotonic()
	reply, err := s.Recv(ctx)
	if err != nil {
		s.Cancel()
		s.conn.retireIfSilent(sent)
		return Message{}, &Error{Run: refusal.Unknown, VM: vm, Err: err}
	}
	s.Close()
	if reply.Type == CallRefusal {
		return Message{}, &Error{Run: refusal.Unknown, VM: vm, Err: decodeRefusal(reply.Payload)}
	}
	return reply, nil
}

// open opens a stream. It tries a second connection if the first one closed before
// anything was written, which happens to idle connections.
func (m *Manager) open(ctx context.Context, vm, address string, first Message) (*Stream, error) {
	for attempt := 0; ; attempt++ {
		c, err := m.connTo(ctx, vm, address)
		if err != nil {
			return nil, &Error{Run: refusal.NotRun, VM: vm, Err: err}
		}
		s, err := c.open(ctx, first)
		var e *Error
		if attempt == 0 && errors.As(err, &e) && e.Run == refusal.NotRun && errors.Is(err, errConnClosed) {
			m.removeConn(c) // a closing connection may still be in conns
			continue
		}
		return s, err
	}
}

// connTo returns the live connection to vm or waits for a dial.
func (m *Manager) connTo(ctx context.Context, vm, address string) (*conn, error) {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		return nil, errManagerClosed
	}
	// A connection that was dialled at another address leads to an earlier incarnation
	// of the VM.
	if c := m.conns[vm]; c != nil && (c.address == "" || c.address == address) {
		m.mu.Unlock()
		return c, nil
	}
	to := dialTarget{vm, address}
	d := m.dials[to]
	if d == nil {
		d = &pendingDial{done: make(chan struct{})}
		m.dials[to] = d
		m.wait.Go(func() { m.dial(to, d) })
	}
	m.mu.Unlock()
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// removeConn takes c out of use for new streams and, once c is closed, out of the
// live connections.
func (m *Manager) removeConn(c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.conns[c.vm] == c {
		delete(m.conns, c.vm)
	}
	if c.ctx.Err() != nil {
		delete(m.all, c)
	}
}

// HeardSince reports whether a frame of vm has arrived since t, as clock.Monotonic.
func (m *Manager) HeardSince(vm string, t time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.all {
		if c.vm == vm && time.Duration(c.received.Load()) > t {
			return true
		}
	}
	return false
}

func (m *Manager) sent(t Type, size int) {
	if t < typeLimit {
		m.bytesSent[t].Add(uint64(size))
	}
}

func (m *Manager) received(t Type, size int) {
	if t < typeLimit {
		m.bytesReceived[t].Add(uint64(size))
	}
}

// FrameBytes returns the bytes of the frames of a type that were sent and received since
// the manager was created.
func (m *Manager) FrameBytes(t Type) (sent, received uint64) {
	if t >= typeLimit {
		return 0, 0
	}
	return m.bytesSent[t].Load(), m.bytesReceived[t].Load()
}

// DroppedFrames returns the number of dropped frames: those of ended streams, with a wrong
// token, or that would open a stream which may not be opened.
func (m *Manager) DroppedFrames() uint64 { return m.dropped.Load() }
