package peer

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/standin/fleet/connection"
)

// TestSilentConnectionIsReplaced guards against calls that fail one after another on a
// connection whose path was lost without a reset, until its keep-alive ends it after 11 s.
func TestSilentConnectionIsReplaced(t *testing.T) {
	a, _, address := pair(t, handler{call: func(_ context.Context, _ string, m Message) (Message, error) {
		return Message{Type: LimitGrant, Payload: m.Payload}, nil
	}})
	link, err := connection.NewLink(address, "a")
	require.NoError(t, err)
	t.Cleanup(link.Close)
	call := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		defer cancel()
		_, err := a.Call(ctx, "b", link.Address(), Message{LimitAsk, []byte("x")})
		return err
	}
	require.NoError(t, call())
	require.Eventually(t, func() bool { // the last frame of the call
		_, received := a.FrameBytes(StreamEnd)
		return received > 0
	}, 10*time.Second, time.Millisecond)
	link.Silence("a")
	require.Error(t, call())
	require.NoError(t, call())
}

// TestAbandonedCallIsNotDelivered guards against a call that another VM serves after its
// caller has given up, once the link is whole again.
func TestAbandonedCallIsNotDelivered(t *testing.T) {
	served := make(chan string, 10)
	a, _, address := pair(t, handler{call: func(_ context.Context, _ string, m Message) (Message, error) {
		served <- string(m.Payload)
		return Message{Type: LimitGrant, Payload: m.Payload}, nil
	}})
	link, err := connection.NewLink(address, "a")
	require.NoError(t, err)
	t.Cleanup(link.Close)
	call := func(payload string) error {
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		defer cancel()
		_, err := a.Call(ctx, "b", link.Address(), Message{LimitAsk, []byte(payload)})
		return err
	}
	require.NoError(t, call("first"))
	require.Equal(t, "first", <-served)
	require.Eventually(t, func() bool { // the last frame of the call
		_, received := a.FrameBytes(StreamEnd)
		return received > 0
	}, 10*time.Second, time.Millisecond)
	link.SetState("a", connection.Held)
	require.Error(t, call("abandoned"))
	time.Sleep(100 * time.Millisecond) // until the link has noticed the end of the connection
	link.SetState("a", connection.Healthy)
	require.NoError(t, call("next"))
	require.Equal(t, "next", <-served)
}
