// Package metered provides the connections of callers: a listener and connections that
// account to package intake for what is received, bound heads while net/http reads them, and
// close callers that do not read their answers.
package metered

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/intake"
)

const (
	// socketBuffer is the size of each socket buffer of a connection. The kernel lets them
	// grow to several MB each otherwise, for callers that do not read and for bodies that
	// wait for room.
	socketBuffer = 256 << 10
	// rejectTime bounds the write of an answer to a head that is not read to its end.
	rejectTime = 100 * time.Millisecond
	// headMargin is how far the bytes of a head may exceed the limit before it is refused:
	// the first bytes of its body arrive with it.
	headMargin = 5 << 10
	// maxLeadingBytes is what net/http passes over in empty lines before a request.
	maxLeadingBytes = 4
	// readBuffer is the size of net/http's buffer. Larger reads bypass it.
	readBuffer = 4 << 10
)

// Answers to heads that are not read to their end. The requests have not run.
const (
	answerHeadSize = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	answerEmpty    = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	answerNoRoom   = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.500\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// Listener admits connections of callers.
type Listener struct {
	net.Listener
	Intake *intake.Intake
	// MaxHeadBytes returns the largest size of a head; 0 if not known.
	MaxHeadBytes func() int
	// Log may be nil.
	Log Log
}

// Accept implements net.Listener. Connections that are not admitted are closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: nc, intake: l.Intake, maxHead: l.MaxHeadBytes, log: l.Log, address: remoteAddress(nc)}
		if c.sender, err = l.Intake.Open(c.address, c); err != nil {
			_ = nc.Close()
			continue
		}
		if tcp, ok := nc.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(socketBuffer) // after an error the kernel chooses the sizes
			_ = tcp.SetWriteBuffer(socketBuffer)
		}
		return c, nil
	}
}

func remoteAddress(c net.Conn) netip.Addr {
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// Conn is a connection of a caller. Methods on a nil *Conn do nothing and admit everything,
// for servers whose listener is no Listener.
type Conn struct {
	net.Conn
	intake  *intake.Intake
	sender  *intake.Sender
	address netip.Addr
	maxHead func() int
	log     Log

	given    atomic.Bool // the connection has to be given up
	released atomic.Bool
	left     atomic.Bool // the caller has closed or reset the connection
	cut      atomic.Bool // reportCut has been called
	// serving is set from the end of a head to the return of the handler.
	serving atomic.Bool
	// inHead is set while the bytes that arrive belong to a head. The other fields are used
	// by the goroutine that serves the connection only.
	inHead    atomic.Bool
	receiving bool // the first byte of a request has arrived
	received  int  // bytes of the head
	leading   int  // bytes of empty lines before the request
	// tailLines is how many lines may follow the last request in net/http's buffer.
	tailLines     int
	writeDeadline time.Time
	reading       readControl
}

type contextKey struct{}

// WithConn returns a context from which FromContext returns the connection. It is an
// http.Server's ConnContext.
func WithConn(ctx context.Context, nc net.Conn) context.Context {
	if c, ok := nc.(*Conn); ok {
		c.inHead.Store(true)
		return context.WithValue(ctx, contextKey{}, c)
	}
	return ctx
}

// FromContext returns the connection of a request; nil if it has none.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// Read implements net.Conn. While a head is received it charges what the head takes, and ends
// the connection if the head is too large or there is no room for it.
func (c *Conn) Read(p []byte) (int, error) {
	if c.given.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(p)
	for looked := false; n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !c.given.Load() && c.reading.again(c.Conn, len(p) == 1, looked); looked = true {
		n, err = c.Conn.Read(p)
	}
	if err != nil {
		c.noteLeft(err)
	}
	if n == 0 || len(p) == 1 { // net/http reads single bytes to notice the end of a connection
		return n, err
	}
	c.noteTail(p[:n], len(p))
	if !c.inHead.Load() {
		return n, err
	}
	if failed := c.chargeHead(p[:n]); failed != nil {
		return 0, failed
	}
	return n, err
}

// noteTail counts the lines after the last empty line: only these can be the beginning of
// another head that net/http has in its buffer when the request ends.
func (c *Conn) noteTail(p []byte, size int) {
	if size > readBuffer {
		c.tailLines = 0
		return
	}
	c.tailLines = 0
	for {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			return
		}
		p = p[i+1:]
		c.tailLines++
		if bytes.HasPrefix(p, []byte("\r\n")) || bytes.HasPrefix(p, []byte("\n")) {
			c.tailLines = 0
			p = p[bytes.IndexByte(p, '\n')+1:]
		}
	}
}

// chargeHead accounts for a part of a head.
func (c *Conn) chargeHead(p []byte) error {
	if !c.receiving {
		empty := len(p) - len(bytes.TrimLeft(p, "\r\n"))
		if c.leading += empty; c.leading > maxLeadingBytes {
			return c.reject(answerEmpty, intake.EmptyLines)
		}
		if empty == len(p) {
			return nil
		}
		c.receiving = true
		if err := c.intake.BeginHead(c.sender); err != nil {
			c.reportCut(intake.ReasonOf(err), intake.Head)
			return os.ErrDeadlineExceeded
		}
	}
	c.received += len(p)
	if limit := c.maxHead(); limit > 0 && c.received > limit+headMargin {
		return c.reject(answerHeadSize, intake.HeadTooLarge)
	}
	lines := bytes.Count(p, []byte("\n"))
	if err := c.intake.Charge(context.Background(), c.sender, intake.HeadCost(lines, len(p)), len(p)); err != nil {
		return c.reject(answerNoRoom, intake.NoReason)
	}
	return nil
}

// reject answers a head that is not read to its end. The error makes net/http close the
// connection without an answer of its own.
func (c *Conn) reject(answer string, why intake.Reason) error {
	if why != intake.NoReason {
		c.intake.Count(why, c.address)
	}
	if !c.given.Swap(true) {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(rejectTime))
		_, _ = c.Conn.Write([]byte(answer)) // the caller may be gone
	}
	return os.ErrDeadlineExceeded
}

// EndHead notes that a head has been parsed: what arrives from now on is not part of it.
func (c *Conn) EndHead() {
	if c != nil {
		c.inHead.Store(false)
	}
}

// BeginBody notes that a head has been parsed and takes the given number of bytes.
func (c *Conn) BeginBody(ctx context.Context, head int64) error {
	if c == nil {
		return nil
	}
	c.EndHead()
	c.serving.Store(true)
	return c.intake.BeginBody(ctx, c.sender, head)
}

// ChargeBody takes room for bytes of the body. received have arrived since the last call.
func (c *Conn) ChargeBody(ctx context.Context, room int64, received int) error {
	if c == nil {
		return nil
	}
	return c.intake.Charge(ctx, c.sender, room, received)
}

// Run notes that the request has been received and is going to be served. On an error it must
// not be.
func (c *Conn) Run() error {
	if c == nil {
		return nil
	}
	return c.intake.Run(c.sender)
}

// Yielded returns the limit for which the connection has to give up what it holds.
func (c *Conn) Yielded() intake.Reason {
	if c == nil {
		return intake.NoReason
	}
	return c.intake.Yielded(c.sender)
}

// Count counts a refusal for a limit that the caller of Count has checked.
func (c *Conn) Count(why intake.Reason) {
	if c != nil {
		c.intake.Count(why, c.address)
	}
}

// Answered notes that the handler of a request has returned.
func (c *Conn) Answered() {
	if c != nil {
		c.serving.Store(false)
		c.intake.Answered(c.sender)
	}
}

// ConnState is an http.Server's ConnState. When a request has ended, the connection holds
// only what net/http may have read of the next one.
func ConnState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*Conn)
	if !ok || state != http.StateIdle {
		return
	}
	c.receiving, c.received, c.leading = false, 0, 0
	c.inHead.Store(true)
	c.intake.End(c.sender)
	if c.tailLines > 0 && c.intake.Charge(context.Background(), c.sender, intake.LineCost(c.tailLines), 0) != nil {
		c.intake.EndIdle(c.sender, intake.NoMemory)
	}
}

// CloseWrite is called by net/http before it waits for the caller to read the last answer.
func (c *Conn) CloseWrite() error {
	c.intake.Linger(c.sender)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.serving.Load() { // by http.Server.Close
		c.reportCut(intake.ClosedByServer, intake.Running)
	}
	err := c.Conn.Close()
	if !c.released.Swap(true) {
		c.intake.Close(c.sender)
	}
	return err
}

// Interrupt implements intake.Holder.
func (c *Conn) Interrupt() {
	c.given.Store(true)
	c.reading.end(c.Conn)
}

// Abandon implements intake.Holder. Close, which net/http calls later, releases what the
// connection holds.
func (c *Conn) Abandon() {
	c.given.Store(true)
	if c.serving.Load() {
		c.reportCut(c.Yielded(), intake.Body)
	}
	_ = c.Conn.Close()
}
