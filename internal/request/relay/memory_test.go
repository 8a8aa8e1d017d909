package relay

import (
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/semaphore"
)

// TestStreamMemoryIsSharedAndReturned guards against streams that keep more than the memory
// for streams together, and against memory that stays taken when a stream has ended.
func TestStreamMemoryIsSharedAndReturned(t *testing.T) {
	const largest = maxEventBytes + maxTurnBytes
	pool := NewStreamMemory(0)
	a, b := streamMemory{pool: pool}, streamMemory{pool: pool}
	for n := 0; n <= largest; n += 4096 {
		require.True(t, a.hold(n), "a single stream of the largest size")
	}
	require.True(t, b.hold(smallStreamBytes), "a small stream needs no room")
	require.False(t, b.hold(smallStreamBytes+streamMemoryStep))
	a.release()
	require.True(t, b.hold(largest))
	b.release()
	b.release()

	full := streamMemory{pool: semaphore.NewWeighted(streamMemoryStep)}
	require.True(t, full.hold(smallStreamBytes+1))
	require.True(t, full.hold(smallStreamBytes+streamMemoryStep/copyFactor))
	require.False(t, full.hold(smallStreamBytes+streamMemoryStep/copyFactor+1))
}
