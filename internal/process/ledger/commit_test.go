package ledger_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/process/ledger"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
	"hornbeamvale.example/hornbeamvale/platform/connection"
	"hornbeamvale.example/hornbeamvale/platform/platformtest"
)

// recordingStore is a store that records the transactions and can reject them as if its
// rate were exceeded.
type recordingStore struct {
	platform.PartitionedStore
	reject       atomic.Bool
	mu           sync.Mutex
	transactions []platform.PartitionTx
}

func (s *recordingStore) Transact(ctx context.Context, tx platform.PartitionTx) (platform.PartitionTxResult, error) {
	s.mu.Lock()
	s.transactions = append(s.transactions, tx)
	s.mu.Unlock()
	if s.reject.Load() {
		return platform.PartitionTxResult{}, &platform.Error{Kind: platform.Overloaded, Op: "transact", Err: errors.New("status 429")}
	}
	return s.PartitionedStore.Transact(ctx, tx)
}

func (s *recordingStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.transactions)
}

// openAll opens the first turn of n programs concurrently and returns how many failed.
func openAll(t *testing.T, l *ledger.Ledger, n int, timeout time.Duration) (failed int64) {
	var wait sync.WaitGroup
	var failures atomic.Int64
	for i := range n {
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			_, err := l.Open(ctx, ledger.OpenRequest{
				Group: group(fmt.Sprint("p", i)), Customer: customer, Turn: fmt.Sprint("t", i), MaxTokens: 10, Budget: 100,
			})
			if err != nil {
				failures.Add(1)
			}
		})
	}
	wait.Wait()
	return failures.Load()
}

// TestChangesShareTransactions guards against one transaction per change, which exceeds
// the store's rate under load, and against a transaction across partitions.
func TestChangesShareTransactions(t *testing.T) {
	store := &recordingStore{PartitionedStore: connection.NewStoreClient(platformtest.NewStore(t).Address(), 0)}
	o := options
	o.Rate = func() float64 { return 20 }
	require.Zero(t, openAll(t, ledger.New(t.Context(), store, o), 80, 5*time.Second))
	for _, tx := range store.transactions {
		for _, c := range tx.Conditions {
			require.Equal(t, tx.Part, turntree.Group(c.Key.Key).Partition())
		}
	}
	require.LessOrEqual(t, store.count(), 10+len(turntree.Partitions()))
}

// TestLargeChangesDoNotShare guards against a transaction that exceeds the size limit
// of the store.
func TestLargeChangesDoNotShare(t *testing.T) {
	store := &recordingStore{PartitionedStore: connection.NewStoreClient(platformtest.NewStore(t).Address(), 0)}
	o := options
	o.Rate = func() float64 { return 10 }
	l := ledger.New(t.Context(), store, o)
	text := []byte(strings.Repeat("x", 150_000))
	var wait sync.WaitGroup
	for i := range 12 {
		wait.Go(func() {
			require.NoError(t, l.Record(t.Context(), ledger.RecordRequest{
				Group: group(fmt.Sprint("p", i)), ID: fmt.Sprint("t", i), Turn: turntree.Turn{Customer: customer, Input: text},
			}))
		})
	}
	wait.Wait()
	for _, tx := range store.transactions {
		bytes := 0
		for _, w := range tx.Writes {
			bytes += len(w.Value)
		}
		require.LessOrEqual(t, len(tx.Conditions)+len(tx.Writes), 100)
		require.LessOrEqual(t, bytes*4/3, 1_000_000)
	}
}

// TestConflictDoesNotBlockOtherPrograms guards against a conflict on one program's
// account that blocks the other programs of the same transaction.
func TestConflictDoesNotBlockOtherPrograms(t *testing.T) {
	store := platformtest.NewStore(t)
	o := options
	o.Rate = func() float64 { return 20 }
	a := ledger.New(t.Context(), connection.NewStoreClient(store.Address(), 0), o)
	for i := range 4 {
		runTurn(t, a, fmt.Sprint("p", i), "", fmt.Sprint("a", i), "x")
		runTurn(t, vm(t, store), fmt.Sprint("p", i), fmt.Sprint("a", i), fmt.Sprint("b", i), "y")
	}
	require.Zero(t, openAll(t, a, 12, 5*time.Second))
	require.Positive(t, a.Counters().Conflicts)
}

// TestRateRejectionsReduceTheRate guards against a VM whose retries keep the store
// above its rate.
func TestRateRejectionsReduceTheRate(t *testing.T) {
	store := &recordingStore{PartitionedStore: connection.NewStoreClient(platformtest.NewStore(t).Address(), 0)}
	store.reject.Store(true)
	o := options
	o.Rate = func() float64 { return 200 }
	l := ledger.New(t.Context(), store, o)
	require.EqualValues(t, 50, openAll(t, l, 50, time.Second))
	require.LessOrEqual(t, store.count(), 40, "of 170 that the share allows in that time")
	store.reject.Store(false)
	require.Zero(t, openAll(t, l, 50, 5*time.Second))
}

// rejectingStore rejects each transaction that writes the account of a program.
type rejectingStore struct {
	platform.PartitionedStore
	program turntree.Group
	calls   atomic.Int32
}

func (s *rejectingStore) Transact(ctx context.Context, tx platform.PartitionTx) (platform.PartitionTxResult, error) {
	s.calls.Add(1)
	for _, w := range tx.Writes {
		if w.Key.Key == string(s.program) {
			return platform.PartitionTxResult{}, &platform.Error{Kind: platform.Rejected, Op: "transact", Err: errors.New("status 400")}
		}
	}
	return s.PartitionedStore.Transact(ctx, tx)
}

// TestRejectedChangeFailsAlone guards against a change that the store refuses for its size or
// form and that is repeated until its time limit, or that fails the changes that share its
// transaction.
func TestRejectedChangeFailsAlone(t *testing.T) {
	store := &rejectingStore{PartitionedStore: connection.NewStoreClient(platformtest.NewStore(t).Address(), 0), program: group("p0")}
	o := options
	o.Rate = func() float64 { return 100 }
	begun := time.Now()
	require.EqualValues(t, 1, openAll(t, ledger.New(t.Context(), store, o), 80, 20*time.Second))
	require.Less(t, time.Since(begun), 10*time.Second, "the rejected change waited for its time limit")
	require.LessOrEqual(t, store.calls.Load(), int32(120))
}

// TestTurnIDsThatCannotBeStored guards against a turn that runs although its id does not fit into
// a key of the store, or is read as that of another turn.
func TestTurnIDsThatCannotBeStored(t *testing.T) {
	store := platformtest.NewStore(t)
	for id, valid := range map[string]bool{
		"9c41d07be2a35f68": true, strings.Repeat("x", 170): true, "a/b c": true, "é": true,
		"": false, strings.Repeat("x", 171): false, "a#0001": false, "a\xff": false,
	} {
		require.Equal(t, valid, ledger.CheckTurnID(id) == nil, "%q", id)
		if valid {
			runTurn(t, vm(t, store), "p", "", id, strings.Repeat("x", 100_000))
			_, err := vm(t, store).History(t.Context(), group("q"), customer, id)
			require.NoError(t, err)
		}
	}
	require.Zero(t, store.Refused())
}
