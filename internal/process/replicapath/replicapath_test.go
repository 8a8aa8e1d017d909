package replicapath

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// network is a set of replicas, some of which accept connections.
type network struct {
	mu    sync.Mutex
	up    map[string]bool
	dials int
}

func newNetwork(replicas int) *network {
	n := &network{up: map[string]bool{}}
	n.set(replicas, true)
	return n
}

// set makes the first replicas accept connections or not.
func (n *network) set(replicas int, up bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range replicas {
		n.up[fmt.Sprint(i)] = up
	}
}

func (n *network) path() (*Path, *[]State) {
	var changes []State
	return New(Config{
		Sample: func(_ context.Context, most int) (out []string) {
			n.mu.Lock()
			defer n.mu.Unlock()
			for i := range min(most, len(n.up)) {
				out = append(out, fmt.Sprint(i))
			}
			return out
		},
		Dial: func(ctx context.Context, address string) error {
			n.mu.Lock()
			up := n.up[address]
			n.dials++
			n.mu.Unlock()
			if up {
				return nil
			}
			<-ctx.Done()
			return errors.New("no answer")
		},
		Changed: func(s State) { changes = append(changes, s) },
	}), &changes
}

// TestReplicaThatIsDownIsNoLostPath guards against a detour around replicas that are down
// while others can be reached.
func TestReplicaThatIsDownIsNoLostPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(9)
		n.set(furtherReplicas, false)
		path, changes := n.path()
		require.Equal(t, Direct, path.Test(t.Context()))
		require.Empty(t, *changes)
	})
}

// TestLostPathIsFoundAndRegained guards against a VM that goes on sending requests to
// replicas that it cannot reach, or that does not return to its own path.
func TestLostPathIsFoundAndRegained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(9)
		path, changes := n.path()
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go path.Run(ctx)
		require.Equal(t, Direct, path.Test(ctx))
		time.Sleep(reachedValidity)
		n.set(9, false)
		begun := time.Now()
		require.Equal(t, Lost, path.Test(ctx))
		require.LessOrEqual(t, time.Since(begun), 2*dialTimeout)
		time.Sleep(10 * time.Second)
		require.Equal(t, Lost, path.State())
		n.set(9, true)
		time.Sleep(probeInterval + 2*dialTimeout + time.Millisecond)
		require.Equal(t, Direct, path.State())
		synctest.Wait()
		require.Equal(t, []State{Lost, Direct}, *changes)
	})
}

// TestTestsAreFew guards against a connection to a replica for each request that fails.
func TestTestsAreFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(9)
		path, _ := n.path()
		var wait sync.WaitGroup
		for range 1000 {
			wait.Go(func() { path.Test(t.Context()) })
			time.Sleep(time.Millisecond)
		}
		wait.Wait()
		require.LessOrEqual(t, n.dials, int(time.Second/reachedValidity)+1)
	})
}

// TestNoReplicaIsNoLostPath guards against a detour when there is no replica to reach.
func TestNoReplicaIsNoLostPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		path, _ := newNetwork(0).path()
		require.Equal(t, Direct, path.Test(t.Context()))
	})
}
