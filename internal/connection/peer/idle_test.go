package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// TestIdleClosingLosesNoRequest guards against the loss of a request that is written
// while the other side closes the idle connection, and of requests of two VMs that
// dial each other at the same time. With an idle time of 1 ms, a connection may close
// before its first use on a busy machine, so "not run" is accepted as a result.
func TestIdleClosingLosesNoRequest(t *testing.T) {
	const calls = 300
	h := handler{call: func(_ context.Context, _ string, m Message) (Message, error) {
		return Message{StatusPage, m.Payload}, nil
	}}
	ctx, cancel := context.WithCancel(testContext(t))
	var managers [2]*Manager
	var addresses [2]string
	names := [2]string{"a", "b"}
	var served sync.WaitGroup
	for i, name := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		addresses[i] = l.Addr().String()
		managers[i] = NewManager(name, nil, h)
		managers[i].idle = time.Millisecond
		served.Go(func() { _ = managers[i].Serve(ctx, l) })
	}
	errs := make(chan error, 2*calls)
	var callers sync.WaitGroup
	for i := range managers {
		callers.Go(func() {
			for n := range calls {
				_, err := managers[i].Call(ctx, names[1-i], addresses[1-i], Message{StatusQuery, nil})
				errs <- err
				time.Sleep(time.Duration(n%5) * 500 * time.Microsecond)
			}
		})
	}
	callers.Wait()
	close(errs)
	cancel()
	for _, m := range managers {
		m.Close()
	}
	served.Wait()
	for err := range errs {
		if err != nil {
			requireRunState(t, err, refusal.NotRun)
		}
	}
}

// TestClosingConnectionIsReplaced guards against a request that fails because its
// connection has begun to close and is still used for new streams.
func TestClosingConnectionIsReplaced(t *testing.T) {
	a, _, address := pair(t, handler{call: func(_ context.Context, _ string, m Message) (Message, error) {
		return Message{StatusPage, m.Payload}, nil
	}})
	for _, begin := range []func(c *conn){
		func(c *conn) { c.mu.Lock(); c.draining = true; c.mu.Unlock() },
		func(c *conn) { c.cancel() },
	} {
		_, err := a.Call(testContext(t), "b", address, Message{StatusQuery, nil})
		require.NoError(t, err)
		a.mu.Lock()
		c := a.conns["b"]
		a.mu.Unlock()
		begin(c)
		_, err = a.Call(testContext(t), "b", address, Message{StatusQuery, nil})
		require.NoError(t, err)
	}
}
