package ledger

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
	"hornbeamvale.example/hornbeamvale/platform/connection"
	"hornbeamvale.example/hornbeamvale/platform/platformtest"
)

// TestRowsAreKeptForTheRetention guards against a VM that only settled a turn of a program
// and then deletes its rows: the retention of the turns was known to the VM that recorded
// them only, so turns and budgets were gone 30 s after the settlement.
func TestRowsAreKeptForTheRetention(t *testing.T) {
	const retention = time.Minute
	store := platformtest.NewStore(t)
	now := time.Unix(1_000_000, 0)
	newLedger := func() *Ledger {
		l := New(t.Context(), connection.NewStoreClient(store.Address(), 0), Options{CacheBytes: 1 << 20, Rate: func() float64 { return 0 }})
		l.now = func() time.Time { return now }
		return l
	}
	g := turntree.GroupOf("parish", "p")
	a, b := newLedger(), newLedger()
	_, err := a.Open(t.Context(), OpenRequest{Group: g, Customer: "parish", Turn: "1", MaxTokens: 10, Budget: 30, Retention: retention})
	require.NoError(t, err)
	require.NoError(t, a.Record(t.Context(), RecordRequest{
		Group: g, ID: "1", Used: 10, Retention: retention, Turn: turntree.Turn{Customer: "parish", Input: []byte("x")},
	}))
	_, err = b.Open(t.Context(), OpenRequest{Group: g, Customer: "parish", Turn: "2", Parent: "1", MaxTokens: 10, Budget: 30, Retention: retention})
	require.NoError(t, err)
	require.NoError(t, b.Settle(t.Context(), SettleRequest{Group: g, Turn: "2", Used: 10, Retention: retention}))

	now = now.Add(retention - time.Second)
	b.expire(t.Context())
	a.expire(t.Context())
	_, err = newLedger().History(t.Context(), g, "parish", "1")
	require.NoError(t, err, "the turn was deleted within its retention")
	_, err = newLedger().Open(t.Context(), OpenRequest{Group: g, Customer: "parish", Turn: "3", Parent: "1", MaxTokens: 20, Budget: 30})
	require.ErrorIs(t, err, ErrBudgetExceeded, "the spent budget was forgotten")

	now = now.Add(accountIdleTimeout + 2*time.Second)
	b.expire(t.Context())
	_, err = newLedger().History(t.Context(), g, "parish", "1")
	require.ErrorIs(t, err, ErrTurnNotFound, "rows are kept forever")
}

// TestAccountIsReleasedBeforeItsCallersGoOn guards against a caller that has its result and
// still meets a busy account, which the search for expired accounts then passes over.
func TestAccountIsReleasedBeforeItsCallersGoOn(t *testing.T) {
	l := New(t.Context(), nil, Options{})
	a, c := &account{busy: true}, &change{done: make(chan error, 1)}
	l.mu.Lock()
	go l.finish(accountUpdate{account: a, changes: []*change{c}}, nil)
	select {
	case <-c.done:
		t.Error("the caller got its result while the account was busy")
	case <-time.After(100 * time.Millisecond):
	}
	l.mu.Unlock()
	if !t.Failed() {
		require.NoError(t, <-c.done)
		l.mu.Lock()
		defer l.mu.Unlock()
		require.False(t, a.busy)
	}
}

// limitedStore is a store on which only some further transactions succeed.
type limitedStore struct {
	platform.PartitionedStore
	left int
}

func (s *limitedStore) Transact(ctx context.Context, tx platform.PartitionTx) (platform.PartitionTxResult, error) {
	if s.left == 0 || len(tx.Conditions)+len(tx.Writes) > 100 {
		return platform.PartitionTxResult{}, &platform.Error{Kind: platform.NotApplied, Op: "transact"}
	}
	s.left--
	return s.PartitionedStore.Transact(ctx, tx)
}

// TestLongProgramIsDeletedWhole guards against a long program of which only the first rows
// are deleted, by key: turns remained that had lost their chain, and were continued.
func TestLongProgramIsDeletedWhole(t *testing.T) {
	const turns, retention = 130, time.Minute
	f := newTestFleet(t)
	l := f.newVM()
	parent := ""
	for i := range turns {
		id := fmt.Sprintf("%016x", (i*7919)%turns) // keys are not in the order of the turns
		if i%10 == 9 {
			parent = fmt.Sprintf("%016x", ((i-5)*7919)%turns) // a branch
		}
		require.NoError(t, f.runTurn(l, "p", parent, id, retention))
		parent = id
	}
	f.pass(retention + accountIdleTimeout + time.Second)
	g := turntree.GroupOf("parish", "p")
	revision := l.accounts[g].revision

	// Each turn that is left after an interrupted removal has its chain.
	store := &limitedStore{PartitionedStore: l.store, left: 1}
	l.store = store
	l.remove(t.Context(), g, revision)
	reader := f.newVM()
	left := 0
	for _, r := range f.store.Rows(programTable) {
		if id, ok := turnID(g, r.Key); ok {
			left++
			_, err := reader.History(t.Context(), g, "parish", id)
			require.NoError(t, err)
		}
	}
	require.Greater(t, left, 0)
	require.Less(t, left, turns)

	store.left = 100
	l.remove(t.Context(), g, revision)
	require.Empty(t, f.store.Rows(programTable))
	require.Empty(t, f.store.Rows(indexTable))
}
