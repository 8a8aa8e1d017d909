package platform_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/standin/fleet/connection"
)

// TestConnectionsThatFallSilentAreReplacedAtOnce guards against one failed call for each
// idle connection to the platform after the path has lost them without a reset.
func TestConnectionsThatFallSilentAreReplacedAtOnce(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond)
		_, _ = w.Write([]byte("object"))
	}))
	t.Cleanup(server.Close)
	link, err := connection.NewLink(strings.TrimPrefix(server.URL, "http://"), "vm")
	require.NoError(t, err)
	t.Cleanup(link.Close)
	client := platform.New("http://"+link.Address(), time.Second, nil)
	get := func() error {
		_, err := client.GetObject(t.Context(), "key")
		return err
	}
	var wait sync.WaitGroup
	for range 6 {
		wait.Go(func() { require.NoError(t, get()) })
	}
	wait.Wait()
	link.Silence("vm")
	require.Error(t, get())
	require.NoError(t, get())
}
