package endpointhttp

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/standin/fleet/connection"
)

// TestConnectionsThatFallSilentAreReplacedAtOnce guards against one failed request for
// each idle connection to a replica after the path has lost them without a reset.
func TestConnectionsThatFallSilentAreReplacedAtOnce(t *testing.T) {
	c, address := startReplica(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(w, "{}")
	})
	link, err := connection.NewLink(address, "vm")
	require.NoError(t, err)
	t.Cleanup(link.Close)
	send := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 2*silence)
		defer cancel()
		resp, sendErr := c.send(ctx, http.MethodGet, replicaURL(link.Address(), "/"), http.Header{}, nil)
		if sendErr != nil {
			return sendErr
		}
		_, err := io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return err
	}
	var wait sync.WaitGroup
	for range 6 {
		wait.Go(func() { require.NoError(t, send()) })
	}
	wait.Wait()
	link.Silence("vm")
	require.Error(t, send())
	require.NoError(t, send())
}
