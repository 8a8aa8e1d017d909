// Package conntrack dials TCP connections and keeps track of when each of them last
// sent and received bytes. What was sent for a request ends with the request: closing a
// connection that waits for an answer resets it. A network path can lose the state of its open connections
// without a reset, so that they stay silent for good while new ones work. All
// connections to a peer share that fate: one call without an answer is evidence against
// each of them that has received nothing since and carries no request. One that carries a
// request may be sound: its peer may be silent for a second or so and go on.
package conntrack

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
)

// SilenceThreshold is the shortest time that a call has to wait for an answer that is
// due at once before it counts as evidence against connections. The slowest healthy
// peers answer calls that do not wait in about a quarter of a second.
const SilenceThreshold = 250 * time.Millisecond

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// Dialer dials TCP connections and tracks those that are open. It is safe for concurrent
// use.
type Dialer struct {
	dial  DialFunc
	dials atomic.Int64
	// received is when a connection last received bytes, as clock.Monotonic in nanoseconds.
	received atomic.Int64

	mu   sync.Mutex
	open map[string]map[*Conn]struct{} // by remote address
}

// DialFunc connects to an address, as net.Dialer does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewDialer returns a dialer. timeout bounds the set-up of a connection. The kernel closes
// a connection whose sent bytes stay unacknowledged for userTimeout, and drops them; 0
// means the system's own limit of some minutes. This detects peers that are gone without a
// reset, and bounds how long after a decision its bytes may still arrive.
func NewDialer(timeout, userTimeout time.Duration) *Dialer {
	dialer := net.Dialer{Timeout: timeout, Control: func(_, _ string, raw syscall.RawConn) error {
		return setUserTimeout(raw, userTimeout)
	}}
	return NewDialerWith(dialer.DialContext)
}

// NewDialerWith returns a dialer that makes its connections by the given function.
func NewDialerWith(dial DialFunc) *Dialer {
	return &Dialer{dial: dial, open: map[string]map[*Conn]struct{}{}}
}

// LastReceived returns when any connection last received bytes, as clock.Monotonic; 0 if
// none has.
func (d *Dialer) LastReceived() time.Duration { return time.Duration(d.received.Load()) }

// Reaches connects to an address and closes the connection at once.
func (d *Dialer) Reaches(ctx context.Context, address string) error {
	c, err := d.dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return c.Close()
}

// LimitUnacknowledged has the kernel close a connection whose sent bytes stay
// unacknowledged for timeout. It does nothing if c is not a TCP connection.
func LimitUnacknowledged(c net.Conn, timeout time.Duration) error {
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok { // of TLS
		c = wrapped.NetConn()
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(raw, timeout)
}

// setUserTimeout sets TCP_USER_TIMEOUT.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	if err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	}); err != nil {
		return err
	}
	return optionErr
}

// DialContext connects to an address, as net.Dialer does. The connection is a *Conn.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	nc, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	d.dials.Add(1)
	c := &Conn{Conn: nc, dialer: d, address: address}
	c.received.Store(clock.Monotonic().Nanoseconds())
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.open[address] == nil {
		d.open[address] = map[*Conn]struct{}{}
	}
	d.open[address][c] = struct{}{}
	return c, nil
}

// Dials returns the number of connections that were established.
func (d *Dialer) Dials() int64 { return d.dials.Load() }

// Scope selects the connections that CloseSilent closes.
type Scope uint8

// The scopes of CloseSilent.
const (
	// IdleOnly spares connections that are in use for an exchange.
	IdleOnly Scope = iota
	// InUseIfAllSilent includes connections that are in use if no connection to the address
	// has received anything.
	InUseIfAllSilent
)

// SilentClose describes connections to a peer that were closed because a call had no answer.
type SilentClose struct {
	Address string
	Closed  int           // connections
	Silent  time.Duration // how long they had received nothing at least
	// Evidence is the id of the request, or the kind of the call, that had no answer.
	Evidence string
}

// CloseSilent closes the connections to an address that have received nothing since the
// given time, as clock.Monotonic. It returns their number.
func (d *Dialer) CloseSilent(address string, since time.Duration, scope Scope) int {
	d.mu.Lock()
	allSilent := true
	var idle, inUse []*Conn
	for c := range d.open[address] {
		switch {
		case c.receivedSince(since):
			allSilent = false
		case c.inUse():
			inUse = append(inUse, c)
		default:
			idle = append(idle, c)
		}
	}
	d.mu.Unlock()
	withInUse := allSilent && scope == InUseIfAllSilent
	if withInUse {
		idle = append(idle, inUse...)
	}
	closed := 0
	for _, c := range idle {
		if c.condemn(since, withInUse) {
			_ = c.Close()
			closed++
		}
	}
	return closed
}

func (d *Dialer) remove(c *Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.open[c.address], c)
	if len(d.open[c.address]) == 0 {
		delete(d.open, c.address)
	}
}

// Conn is a tracked connection.
type Conn struct {
	net.Conn
	dialer  *Dialer
	address string
	written atomic.Int64 // bytes
	// mu orders the begin of a write and the decision to close the connection.
	mu        sync.Mutex
	condemned bool      // nothing may be written any more
	exchange  *Exchange // the latest one, until it ends; nil if there is none
	// inputEnded is set when a read has found the end of the input.
	inputEnded atomic.Bool
	// writing is held during a write. It guards broken, which is the error of a write that met
	// the break of the connection.
	writing sync.Mutex
	broken  error

	// sent and received are the times of the last write and of the last read that returned
	// bytes, as clock.Monotonic in nanoseconds.
	sent, received atomic.Int64
}

// Written returns the number of bytes of all writes that have begun.
func (c *Conn) Written() int64 { return c.written.Load() }

// Write implements net.Conn. A pool may hand out a connection that is being closed as
// silent, since it sees the close later; nothing is sent on it then, nor counted as written.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.beginWrite(len(p)) {
		return 0, &net.OpError{Op: "write", Net: "tcp", Addr: c.RemoteAddr(), Err: net.ErrClosed}
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	switch {
	case brokeConnection(err):
		c.broken = err
	case errors.Is(err, os.ErrDeadlineExceeded) && c.inputEnded.Load():
		err = &net.OpError{Op: "write", Net: "tcp", Addr: c.RemoteAddr(), Err: syscall.EPIPE}
	}
	return n, err
}

// brokeConnection reports whether a write failed because its connection was reset, or was given
// up by the kernel. EPIPE means that a read has had that error, or that the peer had ended its
// output in order before.
func brokeConnection(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// beginWrite counts a write that is about to begin. It returns false if the connection is
// condemned.
func (c *Conn) beginWrite(bytes int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.condemned {
		return false
	}
	if c.exchange != nil {
		c.exchange.begun = true
	}
	// A failed write may have sent a part.
	c.written.Add(int64(bytes))
	c.sent.Store(clock.Monotonic().Nanoseconds())
	return true
}

// condemn forbids further writes if the connection has received nothing since the given
// time and, unless withInUse is set, is not in use. A request that begins at the same time
// has either begun, and is spared, or sends nothing.
func (c *Conn) condemn(since time.Duration, withInUse bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receivedSince(since) || c.inUseLocked() && !withInUse {
		return false
	}
	c.condemned = true
	return true
}

// Read implements net.Conn. It returns io.EOF only if the peer has ended its output in order.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.endInput()
	}
	if n > 0 {
		now := clock.Monotonic().Nanoseconds()
		c.received.Store(now)
		c.dialer.received.Store(now)
		if failed := c.checkFraming(p[:n]); failed != nil {
			return 0, failed
		}
	}
	return n, err
}

// checkFraming checks what was received for the present exchange.
func (c *Conn) checkFraming(p []byte) error {
	c.mu.Lock()
	x := c.exchange
	c.mu.Unlock()
	if x == nil {
		return nil
	}
	return x.framing.next(p)
}

// endInput returns the error of a read that has found the end of the input. The kernel reports
// the break of a connection once, to the write or read that comes first. After a write, a read
// finds the end of the input as if the peer had closed the connection, and an answer that ends
// there would seem whole. A write in progress is ended, since it may have that error already:
// net/http uses a connection no more whose input has ended.
func (c *Conn) endInput() error {
	c.inputEnded.Store(true)
	_ = c.Conn.SetWriteDeadline(longAgo) // fails only on a closed connection
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.broken != nil {
		return c.broken
	}
	return io.EOF
}

// Close implements net.Conn. A connection that waits for an answer is reset: the kernel
// would otherwise deliver what it still holds of the request, long after its caller has
// given up.
func (c *Conn) Close() error {
	c.dialer.remove(c)
	if c.waiting() {
		return Abort(c.Conn)
	}
	return c.Conn.Close()
}

// Abort closes a connection without delivering what the kernel has not sent yet. The other
// side sees a reset.
func Abort(c net.Conn) error {
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok { // of TLS
		c = wrapped.NetConn()
	}
	var err error
	if tcp, ok := c.(*net.TCPConn); ok {
		err = tcp.SetLinger(0)
	}
	return errors.Join(err, c.Close())
}

// inUse reports whether an exchange has begun on the connection and has not ended.
func (c *Conn) inUse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inUseLocked()
}

// inUseLocked is inUse for a caller that holds c.mu.
func (c *Conn) inUseLocked() bool { return c.exchange != nil && c.exchange.begun }

// waiting reports whether nothing has been received since the last write.
func (c *Conn) waiting() bool { return c.sent.Load() > c.received.Load() }

func (c *Conn) receivedSince(since time.Duration) bool {
	return c.received.Load() >= since.Nanoseconds()
}
