package conntrack

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
)

// dialPair returns a tracked connection and its other end.
func dialPair(t *testing.T, d *Dialer, l net.Listener) (client *Conn, server net.Conn) {
	t.Helper()
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			close(accepted)
			return
		}
		accepted <- c
	}()
	nc, err := d.DialContext(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	server, ok := <-accepted
	require.True(t, ok)
	t.Cleanup(func() {
		_ = nc.Close()
		_ = server.Close()
	})
	return nc.(*Conn), server
}

// exchange sends a byte and, if answered, receives one.
func exchange(t *testing.T, client *Conn, server net.Conn, answered bool) {
	t.Helper()
	_, err := client.Write([]byte{1})
	require.NoError(t, err)
	if !answered {
		return
	}
	_, err = server.Write([]byte{2})
	require.NoError(t, err)
	_, err = io.ReadFull(client, make([]byte, 1))
	require.NoError(t, err)
}

func newListener(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// TestSilentConnectionsAreClosedTogether guards against connections that stay in use one
// after another although a call without an answer has shown that the path lost them, and
// against the loss of a call whose connection works.
func TestSilentConnectionsAreClosedTogether(t *testing.T) {
	d := NewDialer(time.Second, time.Second)
	l, other := newListener(t), newListener(t)
	address := l.Addr().String()
	idle, idleEnd := dialPair(t, d, l)
	waiting, waitingEnd := dialPair(t, d, l)
	elsewhere, elsewhereEnd := dialPair(t, d, other)
	exchange(t, idle, idleEnd, true)
	exchange(t, waiting, waitingEnd, false)
	exchange(t, elsewhere, elsewhereEnd, true)
	open := func(c *Conn) bool { return c.SetDeadline(time.Time{}) == nil }

	require.Zero(t, d.CloseSilent(address, 0, WaitingIfAllSilent), "both were established after the call")
	since := clock.Monotonic()
	require.Equal(t, 1, d.CloseSilent(address, since, IdleOnly))
	require.False(t, open(idle))
	require.True(t, open(waiting))

	active, activeEnd := dialPair(t, d, l)
	exchange(t, active, activeEnd, true)
	require.Zero(t, d.CloseSilent(address, since, WaitingIfAllSilent), "another connection has received bytes")
	require.True(t, open(waiting))

	since = clock.Monotonic()
	require.Equal(t, 2, d.CloseSilent(address, since, WaitingIfAllSilent))
	require.False(t, open(waiting))
	require.True(t, open(elsewhere))
	require.EqualValues(t, 4, d.Dials())
}
