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

// busyTable is a store whose table changes every 50 ms.
type busyTable struct{ calls int }

func (b *busyTable) Transact(context.Context, platform.PartedTx) (platform.PartedResult, error) {
	return platform.PartedResult{}, errors.New("not used")
}

func (b *busyTable) Range(context.Context, platform.RangeQuery) (platform.Page, error) {
	b.calls++
	return platform.Page{Revision: 1}, nil
}

func (b *busyTable) Changes(ctx context.Context, _ string, after uint64, _ time.Duration) (platform.Page, error) {
	b.calls++
	clock.Sleep(ctx, 50*time.Millisecond)
	return platform.Page{Rows: []platform.Row{{Revision: after + 1}}, Revision: after + 1}, nil
}

// TestChangesAreReadTogether guards against a call of the store for each change of
// each replica: at 65 VMs with 80 replicas that was a third of all calls. While the
// store is doubtful a pause would add to the grace of lapsed listings.
func TestChangesAreReadTogether(t *testing.T) {
	// A read of changes takes 50 ms, and the pause 400 ms. The first read of the whole
	// table and one that begins as the time ends come on top.
	for _, c := range []struct {
		doubtful bool
		most     int
	}{{false, 10_000/450 + 2}, {true, 10_000/50 + 2}} {
		synctest.Test(t, func(t *testing.T) {
			store := &busyTable{}
			none := func(context.Context, platform.Page) {}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			watcher{
				name: "replicas", store: store, table: "t", whole: none, changed: none, note: func(string, error) {},
				pause: listingPause, doubtful: func() bool { return c.doubtful },
			}.run(ctx)
			require.LessOrEqual(t, store.calls, c.most)
			require.Greater(t, store.calls, c.most*8/10)
		})
	}
}
