package conntrack

import (
	"context"
	"net/http/httptrace"
	"sync"
)

// Exchange is one request on a connection and its answer. It lasts from the first byte that
// is written for the request until its user ends it or the connection is closed. The times
// of bytes don't show this: a sound peer may pause in the middle of an answer.
type Exchange struct {
	conn   *Conn
	before int64 // bytes written on the connection before the exchange
	begun  bool  // something was written; guarded by conn.mu
	// framing is used by the reader of the connection.
	framing framingCheck
}

// StartExchange assigns the connection to a request. The previous exchange on it, if any, has
// had its whole answer.
func (c *Conn) StartExchange() *Exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange = &Exchange{conn: c, before: c.Written()}
	return c.exchange
}

// End says that the whole answer was read. It does nothing if the connection already serves
// another request: a pool may hand the connection out before it reports that it got it back.
func (x *Exchange) End() {
	x.conn.mu.Lock()
	defer x.conn.mu.Unlock()
	if x.conn.exchange == x {
		x.conn.exchange = nil
	}
}

// RequestTracker follows the exchanges that net/http uses for one request. It is safe for
// concurrent use.
type RequestTracker struct {
	mu        sync.Mutex
	exchanges []*Exchange
}

// WithTrace returns a context for the request. The request's answer counts as read when
// net/http takes the connection back into its pool; otherwise net/http closes the connection.
func (t *RequestTracker) WithTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*Conn); ok {
				t.mu.Lock()
				defer t.mu.Unlock()
				t.exchanges = append(t.exchanges, c.StartExchange())
			}
		},
		PutIdleConn: func(error) {
			t.mu.Lock()
			defer t.mu.Unlock()
			for _, x := range t.exchanges {
				x.End()
			}
		},
	})
}

// Wrote reports whether the write of a byte of the request has begun.
func (t *RequestTracker) Wrote() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range t.exchanges {
		if x.conn.Written() != x.before {
			return true
		}
	}
	return false
}

// Close closes the connections of the request, except those that the pool has back: another
// request may use them. What Wrote returns is final then, since writes are counted before they
// begin and fail on a closed connection.
func (t *RequestTracker) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range t.exchanges {
		x.conn.closeFor(x, false)
	}
}

// Discard closes the connections of the request and keeps them from serving another one, also
// if the pool has them back: what arrives on them belongs to no request. A connection on which
// another request has begun is spared.
func (t *RequestTracker) Discard() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range t.exchanges {
		x.conn.closeFor(x, true)
	}
}

// closeFor closes the connection if x is its exchange or, with ended, if no other one has
// begun after it. The decision excludes the begin of a write, as that of condemn does.
func (c *Conn) closeFor(x *Exchange, ended bool) {
	c.mu.Lock()
	closes := c.exchange == x || ended && !c.inUseLocked()
	c.condemned = c.condemned || closes
	c.mu.Unlock()
	if closes {
		_ = c.Close()
	}
}
