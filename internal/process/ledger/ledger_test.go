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

const customer = "parish"

var options = ledger.Options{CacheBytes: 1 << 20, Rate: func() float64 { return 0 }}

// vm returns the ledger of one more VM that uses the store.
func vm(t *testing.T, s *platformtest.Store) *ledger.Ledger {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return ledger.New(ctx, connection.NewStoreClient(s.Address(), 0), options)
}

func group(program string) turntree.Group { return turntree.GroupOf(customer, program) }

// reserve opens a turn and ignores its history.
func reserve(t *testing.T, l *ledger.Ledger, o ledger.OpenRequest) error {
	t.Helper()
	_, err := l.Open(t.Context(), o)
	return err
}

// runTurn opens and records one turn whose input and output are made from text.
func runTurn(t *testing.T, l *ledger.Ledger, program, parent, id, text string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	history, err := l.Open(ctx, ledger.OpenRequest{
		Group: group(program), Customer: customer, Turn: id, Parent: parent, MaxTokens: 10, Budget: 1000,
	})
	require.NoError(t, err)
	require.NoError(t, l.Record(ctx, ledger.RecordRequest{
		Group: group(program), ID: id, Used: 4, History: history,
		Turn: turntree.Turn{Customer: customer, Parent: parent, Input: []byte(text + "?"), Output: []byte(text + "!\n")},
	}))
}

// TestHistoryIsTheSameAtEveryVM guards against a history that is lost or mixed up when
// a program continues at another VM, forks, or is continued by another program.
func TestHistoryIsTheSameAtEveryVM(t *testing.T) {
	store := platformtest.NewStore(t)
	a, b := vm(t, store), vm(t, store)
	runTurn(t, a, "p", "", "1", "one")
	runTurn(t, b, "p", "1", "2", "two")
	runTurn(t, a, "p", "1", "3", "three")
	runTurn(t, b, "q", "3", "4", "four")
	for i, l := range []*ledger.Ledger{a, b, vm(t, store)} {
		for _, c := range []struct{ program, parent, want string }{
			{"p", "2", "one?one!\ntwo?two!\nnew"},
			{"p", "3", "one?one!\nthree?three!\nnew"},
			{"q", "4", "one?one!\nthree?three!\nfour?four!\nnew"},
			{"r", "2", "one?one!\ntwo?two!\nnew"},
			{"p", "", "new"},
		} {
			history, err := l.History(t.Context(), group(c.program), customer, c.parent)
			require.NoError(t, err, "vm %d, turn %s", i, c.parent)
			require.Equal(t, c.want, string(history.Prompt([]byte("new"))), "vm %d, turn %s", i, c.parent)
		}
	}
}

// TestTurnOfAnotherCustomerIsHidden guards against a customer that can read the history
// of another one.
func TestTurnOfAnotherCustomerIsHidden(t *testing.T) {
	store := platformtest.NewStore(t)
	a := vm(t, store)
	runTurn(t, a, "p", "", "1", "one")
	for _, l := range []*ledger.Ledger{a, vm(t, store)} {
		_, err := l.History(t.Context(), turntree.GroupOf("other", "p"), "other", "1")
		require.ErrorIs(t, err, ledger.ErrTurnNotFound)
	}
}

// TestUnreadableTurnIsNotReportedMissing guards against a VM that reports a turn as
// missing although it only could not read the store.
func TestUnreadableTurnIsNotReportedMissing(t *testing.T) {
	store := platformtest.NewStore(t)
	runTurn(t, vm(t, store), "p", "", "1", "one")
	l := vm(t, store)
	_, err := l.History(t.Context(), group("p"), customer, "none")
	require.ErrorIs(t, err, ledger.ErrTurnNotFound)
	other := vm(t, store) // l has cached the turn by now
	store.SetDown(true)
	_, err = other.History(t.Context(), group("q"), customer, "1")
	require.Error(t, err)
	require.NotErrorIs(t, err, ledger.ErrTurnNotFound)
}

// TestLargeTurn guards against the loss of a turn that does not fit into one row.
func TestLargeTurn(t *testing.T) {
	store := platformtest.NewStore(t)
	text := strings.Repeat("x", 200_000)
	runTurn(t, vm(t, store), "p", "", "1", text)
	history, err := vm(t, store).History(t.Context(), group("p"), customer, "1")
	require.NoError(t, err)
	require.Equal(t, text+"?"+text+"!\n", string(history.Prompt(nil)))
}

// TestTurnOfAProgramLargerThanTheCache guards against a stored turn that gets 404 because the
// other turns of its program have filled the cache while they were read.
func TestTurnOfAProgramLargerThanTheCache(t *testing.T) {
	store := platformtest.NewStore(t)
	a := vm(t, store)
	runTurn(t, a, "p", "", "root", "root")
	for i := range 20 {
		runTurn(t, a, "p", "root", fmt.Sprint("t", i), strings.Repeat("x", 1000))
	}
	small := options
	small.CacheBytes = 4000
	l := ledger.New(t.Context(), connection.NewStoreClient(store.Address(), 0), small)
	for i := range 20 {
		history, err := l.History(t.Context(), group("q"), customer, fmt.Sprint("t", i))
		require.NoError(t, err)
		require.Equal(t, 2, history.Len())
	}
}

// TestBudgetIsNeverExceeded guards against concurrent turns of a program that together
// exceed its budget: they reserve at three VMs at once while answers are lost.
func TestBudgetIsNeverExceeded(t *testing.T) {
	const budget, maxTokens, turns = 100, 9, 40
	store := platformtest.NewStore(t)
	vms := []*ledger.Ledger{vm(t, store), vm(t, store), vm(t, store)}
	store.LoseReplies(5)
	var granted, refused atomic.Int64
	var wait sync.WaitGroup
	for i := range turns {
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			_, err := vms[i%len(vms)].Open(ctx, ledger.OpenRequest{
				Group: group("p"), Customer: customer, Turn: fmt.Sprint("t", i), MaxTokens: maxTokens, Budget: budget,
			})
			switch {
			case err == nil:
				granted.Add(1)
			case errors.Is(err, ledger.ErrBudgetExceeded):
				refused.Add(1)
			}
		})
	}
	wait.Wait()
	require.EqualValues(t, budget/maxTokens, granted.Load())
	require.EqualValues(t, turns-budget/maxTokens, refused.Load())
}

// TestSettlementFreesUnusedTokens guards against tokens that stay reserved after the
// turn ended at another VM, which would reject a program that has tokens left.
func TestSettlementFreesUnusedTokens(t *testing.T) {
	store := platformtest.NewStore(t)
	a, b := vm(t, store), vm(t, store)
	r := ledger.OpenRequest{Group: group("p"), Customer: customer, Turn: "1", MaxTokens: 60, Budget: 100}
	require.NoError(t, reserve(t, a, r))
	r.Turn = "2"
	require.ErrorIs(t, reserve(t, b, r), ledger.ErrBudgetExceeded)
	require.NoError(t, a.Settle(t.Context(), ledger.SettleRequest{Group: r.Group, Turn: "1", Used: 10}))
	require.NoError(t, reserve(t, b, r))
}

// TestRecordWaitsForTheStore guards against a turn that ends before it is durable.
func TestRecordWaitsForTheStore(t *testing.T) {
	store := platformtest.NewStore(t)
	l := vm(t, store)
	require.NoError(t, reserve(t, l, ledger.OpenRequest{Group: group("p"), Customer: customer, Turn: "1", MaxTokens: 5}))
	store.SetDown(true)
	ended := ledger.RecordRequest{Group: group("p"), ID: "1", Turn: turntree.Turn{Customer: customer, Input: []byte("i")}}
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	require.Error(t, l.Record(ctx, ended))
	store.SetDown(false)
	require.NoError(t, l.Record(t.Context(), ended))
	_, err := vm(t, store).History(t.Context(), group("p"), customer, "1")
	require.NoError(t, err)
}

// delayedStore is a store whose first transaction gets no answer and can be applied
// later.
type delayedStore struct {
	platform.PartitionedStore
	delayed atomic.Pointer[platform.PartitionTx]
	once    sync.Once
}

func (s *delayedStore) Transact(ctx context.Context, tx platform.PartitionTx) (platform.PartitionTxResult, error) {
	delay := false
	s.once.Do(func() { delay = true; s.delayed.Store(&tx) })
	if delay {
		return platform.PartitionTxResult{}, &platform.Error{Kind: platform.OutcomeUnknown, Op: "transact", Err: errors.New("no answer")}
	}
	return s.PartitionedStore.Transact(ctx, tx)
}

// TestLateTransactionChangesNothing guards against a transaction that is applied
// seconds after its retry and undoes it.
func TestLateTransactionChangesNothing(t *testing.T) {
	store := platformtest.NewStore(t)
	direct := connection.NewStoreClient(store.Address(), 0)
	s := &delayedStore{PartitionedStore: direct}
	l := ledger.New(t.Context(), s, options)
	r := ledger.OpenRequest{Group: group("p"), Customer: customer, Turn: "1", MaxTokens: 60, Budget: 100}
	require.NoError(t, reserve(t, l, r))
	result, err := direct.Transact(t.Context(), *s.delayed.Load())
	require.NoError(t, err)
	require.False(t, result.Committed)
	r.Turn = "2"
	require.ErrorIs(t, reserve(t, vm(t, store), r), ledger.ErrBudgetExceeded)
}
