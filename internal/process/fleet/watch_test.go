package fleet

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
)

// changingTable is a store whose table changes every 50 ms.
type changingTable struct{ calls int }

func (s *changingTable) Transact(context.Context, platform.PartitionTx) (platform.PartitionTxResult, error) {
	return platform.PartitionTxResult{}, errors.New("not used")
}

func (s *changingTable) Range(context.Context, platform.RangeQuery) (platform.Page, error) {
	s.calls++
	return platform.Page{Revision: 1}, nil
}

func (s *changingTable) Changes(ctx context.Context, _ string, after uint64, _ time.Duration) (platform.Page, error) {
	s.calls++
	clock.Sleep(ctx, 50*time.Millisecond)
	return platform.Page{Rows: []platform.Row{{Revision: after + 1}}, Revision: after + 1}, nil
}

// TestChangesAreReadInBatches guards against one call to the store for each change of
// each replica: at 65 VMs with 80 replicas that was a third of all calls. After a
// recent failure there must be no wait, since it would add to the grace period of
// expired rows.
func TestChangesAreReadInBatches(t *testing.T) {
	// A read of changes takes 50 ms and the wait 400 ms. The limit adds one call for
	// the first read of the whole table and one that begins as the time ends.
	for _, c := range []struct {
		recentlyFailed bool
		maxCalls       int
	}{{false, 10_000/450 + 2}, {true, 10_000/50 + 2}} {
		synctest.Test(t, func(t *testing.T) {
			store := &changingTable{}
			none := func(context.Context, platform.Page) {}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			watcher{
				name: "replicas", store: store, table: "t", onFullRead: none, onChanges: none, noteError: func(string, error) {},
				batchDelay: replicaBatchDelay, recentlyFailed: func() bool { return c.recentlyFailed },
			}.run(ctx)
			require.LessOrEqual(t, store.calls, c.maxCalls)
			require.Greater(t, store.calls, c.maxCalls*8/10)
		})
	}
}

// forgetfulTable is a store without a history of changes.
type forgetfulTable struct{ changingTable }

func (s *forgetfulTable) Changes(context.Context, string, uint64, time.Duration) (platform.Page, error) {
	s.calls++
	return platform.Page{}, &platform.Error{Kind: platform.HistoryGone, Op: "changes", Err: errors.New("gone")}
}

// TestDiscardedHistoryIsReadWithPauses guards against whole reads without a pause while the
// store discards its history again and again, which all VMs would make at the same time.
func TestDiscardedHistoryIsReadWithPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &forgetfulTable{}
		none := func(context.Context, platform.Page) {}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		watcher{
			name: "replicas", store: store, table: "t", onFullRead: none, onChanges: none, noteError: func(string, error) {},
			recentlyFailed: func() bool { return false },
		}.run(ctx)
		// Two calls in each pause, and those before the first one.
		require.LessOrEqual(t, store.calls, 2*int(10*time.Second/storeRetryDelay)+4)
		require.Greater(t, store.calls, 20)
	})
}

// TestDiscardedHistoryIsNoFailure guards against a replica that stays in use for the grace
// period of an outage, because the store discarded its history of changes.
func TestDiscardedHistoryIsNoFailure(t *testing.T) {
	l := newFixture(t).loop
	l.noteStoreError("replicas", &platform.Error{Kind: platform.HistoryGone, Op: "changes", Err: errors.New("gone")})
	require.False(t, l.recentlyFailed())
	l.noteStoreError("replicas", &platform.Error{Kind: platform.NotApplied, Op: "changes", Err: errors.New("down")})
	require.True(t, l.recentlyFailed())
}
