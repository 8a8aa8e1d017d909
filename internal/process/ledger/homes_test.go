package ledger_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/process/decisionlog"
	"hornbeamvale.example/hornbeamvale/internal/process/ledger"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
	"hornbeamvale.example/hornbeamvale/platform/platformtest"
)

// remoteHome is the ledger of another VM that may be silent or lose its answers.
type remoteHome struct {
	*ledger.Ledger
	vm     string
	silent atomic.Bool
	lose   atomic.Int32
	calls  atomic.Int32
}

func (r *remoteHome) VM() string { return r.vm }

func (r *remoteHome) reach(ctx context.Context) error {
	r.calls.Add(1)
	if r.silent.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

var errLost = errors.New("the answer was lost")

func (r *remoteHome) lost(err error) error {
	if err == nil && r.lose.Add(-1) >= 0 {
		return errLost
	}
	return err
}

func (r *remoteHome) Open(ctx context.Context, o ledger.Opening) (ledger.Line, error) {
	if err := r.reach(ctx); err != nil {
		return ledger.Line{}, err
	}
	line, err := r.Ledger.Open(ctx, o)
	return line, r.lost(err)
}

func (r *remoteHome) Record(ctx context.Context, e ledger.Ended) error {
	if err := r.reach(ctx); err != nil {
		return err
	}
	return r.lost(r.Ledger.Record(ctx, e))
}

func (r *remoteHome) Settle(ctx context.Context, s ledger.Settlement) error {
	if err := r.reach(ctx); err != nil {
		return err
	}
	return r.lost(r.Ledger.Settle(ctx, s))
}

// homes returns the view of one more VM on the given homes, best first.
func homes(t *testing.T, s *platformtest.Store, of ...*remoteHome) *ledger.Homes {
	return ledger.NewHomes(vm(t, s), decisionlog.New(nil), func(_ turntree.Group, passedOver func(string) bool) (ledger.Home, bool) {
		for _, h := range of {
			if !passedOver(h.vm) {
				return h, true
			}
		}
		return nil, false
	})
}

// turnAt takes one turn to its end by way of the homes.
func turnAt(t *testing.T, h *ledger.Homes, parent, id string) ledger.Line {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	line, err := h.Open(ctx, ledger.Opening{Group: group("p"), Customer: customer, Turn: id, Parent: parent, Most: 10, Budget: 100})
	require.NoError(t, err)
	require.NoError(t, h.Record(ctx, ledger.Ended{
		Group: group("p"), ID: id, Used: 4, Line: line,
		Turn: turntree.Turn{Customer: customer, Parent: parent, Input: []byte(id + "?"), Output: []byte(id + "!")},
	}))
	return line
}

// TestHomeMakesAllChanges guards against calls of the store for each VM that a
// program comes through: a read for the history, and conflicts on the account.
func TestHomeMakesAllChanges(t *testing.T) {
	store := platformtest.NewStore(t)
	home := &remoteHome{Ledger: vm(t, store), vm: "home"}
	for i, id := range []string{"1", "2", "3", "4", "5", "6"} {
		parent := ""
		if i > 0 {
			parent = string(rune('0' + i))
		}
		line := turnAt(t, homes(t, store, home), parent, id)
		require.Equal(t, i, line.Len())
	}
	require.Equal(t, 12, store.Calls(), "a reservation and a record for each turn, nothing else")
	line, err := vm(t, store).Line(t.Context(), group("p"), customer, "6")
	require.NoError(t, err)
	require.Equal(t, "1?1!2?2!3?3!4?4!5?5!6?6!", string(line.Prompt(nil)))
}

// TestSilentHome guards against programs that stop with the VM that keeps them: a
// frozen one costs one wait, and the next one or this VM does the work.
func TestSilentHome(t *testing.T) {
	store := platformtest.NewStore(t)
	first := &remoteHome{Ledger: vm(t, store), vm: "first"}
	second := &remoteHome{Ledger: vm(t, store), vm: "second"}
	at := homes(t, store, first, second)
	turnAt(t, at, "", "1")
	first.silent.Store(true)
	asked := first.calls.Load()
	turnAt(t, at, "1", "2")
	require.Equal(t, asked+1, first.calls.Load(), "asked once, then passed over")
	second.silent.Store(true)
	turnAt(t, at, "2", "3")
	first.silent.Store(false)
	require.Equal(t, 3, turnAt(t, homes(t, store, first), "3", "4").Len(), "the home that is back knows what others wrote")
}

// TestLostAnswerOfHome guards against a turn that counts twice or not at all when
// the home has made the change and its answer is lost.
func TestLostAnswerOfHome(t *testing.T) {
	store := platformtest.NewStore(t)
	home := &remoteHome{Ledger: vm(t, store), vm: "home"}
	home.lose.Store(1)
	at := homes(t, store, home)
	turnAt(t, at, "", "1")
	_, err := at.Open(t.Context(), ledger.Opening{Group: group("p"), Customer: customer, Turn: "2", Parent: "1", Most: 96, Budget: 100})
	require.NoError(t, err, "the first turn counts 4 tokens")
	_, err = at.Open(t.Context(), ledger.Opening{Group: group("p"), Customer: customer, Turn: "3", Parent: "1", Most: 1, Budget: 100})
	require.ErrorIs(t, err, ledger.ErrBudget)
}

// TestUnsettledReservationIsKnown guards against a reservation that nobody settles
// because its caller was told that there is none.
func TestUnsettledReservationIsKnown(t *testing.T) {
	store := platformtest.NewStore(t)
	home := &remoteHome{Ledger: vm(t, store), vm: "home"}
	home.lose.Store(1)
	at := homes(t, store, home)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	store.SetDown(true)
	_, err := at.Open(ctx, ledger.Opening{Group: group("p"), Customer: customer, Turn: "1", Most: 60, Budget: 100})
	var e *ledger.Error
	require.ErrorAs(t, err, &e)
	require.True(t, e.Reserved)
}

// TestHomeThatIsGone guards against a wait of 400 ms every 2 s for a VM that does not
// come back: its seat is dropped only after 10 s, and counts anew at each restart.
func TestHomeThatIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gone := &remoteHome{vm: "gone"}
		gone.silent.Store(true)
		ctx, cancel := context.WithCancel(t.Context())
		l := ledger.New(ctx, noStore{}, options)
		h := ledger.NewHomes(l, decisionlog.New(nil), func(_ turntree.Group, passedOver func(string) bool) (ledger.Home, bool) {
			return gone, !passedOver("gone")
		})
		for range 120 {
			_, err := h.Open(ctx, ledger.Opening{Group: group("p"), Customer: customer, Turn: "1", Most: 1})
			require.NoError(t, err)
			time.Sleep(100 * time.Millisecond)
		}
		require.EqualValues(t, 3, gone.calls.Load(), "at 0, 2.4 and 6.8 s")
		cancel()
	})
}

// noStore takes every transaction.
type noStore struct{ platform.PartedStore }

func (noStore) Transact(context.Context, platform.PartedTx) (platform.PartedResult, error) {
	return platform.PartedResult{Committed: true, Revision: 1}, nil
}
