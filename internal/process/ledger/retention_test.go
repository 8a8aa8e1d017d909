package ledger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
)

const (
	longRetention  = 10 * time.Minute
	shortRetention = time.Minute
)

// requireKept requires that a new VM finds the program's turn and its spent budget.
func (f *testFleet) requireKept(program, turn string, spent int64) {
	f.t.Helper()
	l := f.newVM()
	_, err := l.History(f.t.Context(), turntree.GroupOf("parish", program), "parish", turn)
	require.NoError(f.t, err, "the turn was deleted within its retention")
	open, _ := turnOf(program, turn, "next", 0)
	open.Budget = open.MaxTokens + spent - 1
	_, err = l.Open(f.t.Context(), open)
	require.ErrorIs(f.t, err, ErrBudgetExceeded, "the spent budget was forgotten")
}

// TestRetentionOutlivesTheVMThatStatedIt guards against a program that is deleted by the
// retention of its last change: only the VM that had recorded a turn knew that it has to be
// kept for longer, so a restart, a new home or a turn on another route shortened it.
func TestRetentionOutlivesTheVMThatStatedIt(t *testing.T) {
	for name, last := range map[string]func(f *testFleet, l *Ledger) error{
		"turn on a route with a shorter retention": func(f *testFleet, l *Ledger) error {
			return f.runTurn(l, "p", "", "2", shortRetention)
		},
		"settlement on a route without history": func(f *testFleet, l *Ledger) error {
			open, _ := turnOf("p", "", "2", 0)
			if _, err := l.Open(f.t.Context(), open); err != nil {
				return err
			}
			return l.Settle(f.t.Context(), SettleRequest{Group: open.Group, Turn: "2"})
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t)
			require.NoError(t, f.runTurn(f.newVM(), "p", "", "1", longRetention))
			l := f.newVM()
			require.NoError(t, last(f, l))
			f.pass(longRetention)
			l.expire(t.Context())
			f.requireKept("p", "1", 4)

			f.pass(accountIdleTimeout + time.Second)
			l.expire(t.Context())
			_, err := f.newVM().History(t.Context(), turntree.GroupOf("parish", "p"), "parish", "1")
			require.ErrorIs(t, err, ErrTurnNotFound, "rows are kept forever")
		})
	}
}

// earlierChange changes a program's account as build 19775ae does: it knows the fields
// Spent and Reserved only.
func (f *testFleet) earlierChange(program string, spend int64) {
	f.t.Helper()
	type earlierAccount struct {
		Spent    int64            `msgpack:"s"`
		Reserved map[string]int64 `msgpack:"r,omitempty"`
	}
	g, l := turntree.GroupOf("parish", program), f.newVM()
	page, err := l.readGroup(f.t.Context(), g)
	require.NoError(f.t, err)
	var a earlierAccount
	tx := platform.Tx{Conditions: []platform.Condition{{Key: accountKey(g)}}}
	for _, r := range page.Rows {
		if r.Key == accountKey(g) {
			require.NoError(f.t, msgpack.Unmarshal(r.Value, &a))
			tx.Conditions[0].Revision = r.Revision
		}
	}
	a.Spent += spend
	data, err := msgpack.Marshal(a)
	require.NoError(f.t, err)
	tx.Writes = []platform.Write{{Key: accountKey(g), Value: data}}
	result, err := l.store.Transact(f.t.Context(), platform.PartitionTx{Part: g.Partition(), Tx: tx})
	require.NoError(f.t, err)
	require.True(f.t, result.Committed)
}

// TestRetentionBesideAnEarlierBuild guards against a retention that is lost when a VM of
// build 19775ae changes the program, and against a program that only such VMs have changed
// and a VM of this build deletes by the retention of its own change.
func TestRetentionBesideAnEarlierBuild(t *testing.T) {
	t.Run("changed by the earlier build", func(t *testing.T) {
		f := newTestFleet(t)
		require.NoError(t, f.runTurn(f.newVM(), "p", "", "1", longRetention))
		f.earlierChange("p", 6)
		l := f.newVM()
		require.NoError(t, f.runTurn(l, "p", "1", "2", shortRetention))
		f.pass(longRetention)
		l.expire(t.Context())
		f.requireKept("p", "1", 14)
	})
	t.Run("begun by the earlier build", func(t *testing.T) {
		f := newTestFleet(t)
		f.earlierChange("p", 6)
		l := f.newVM()
		l.options.LongestRetention = func() time.Duration { return longRetention }
		require.NoError(t, f.runTurn(l, "p", "", "1", shortRetention))
		f.pass(longRetention)
		l.expire(t.Context())
		f.requireKept("p", "1", 10)
	})
}

// TestReadRevisionKeepsTheRows guards against a VM that changed a program long ago, reads a
// later change of another VM without making one, and deletes the rows by its own old time.
func TestReadRevisionKeepsTheRows(t *testing.T) {
	f := newTestFleet(t)
	a, b := f.newVM(), f.newVM()
	require.NoError(t, f.runTurn(b, "p", "", "1", shortRetention))
	f.pass(85 * time.Second)
	require.NoError(t, f.runTurn(a, "p", "1", "2", shortRetention))
	open, _ := turnOf("p", "2", "3", shortRetention)
	open.Budget = 1
	_, err := b.Open(t.Context(), open)
	require.ErrorIs(t, err, ErrBudgetExceeded)
	f.pass(accountIdleTimeout + time.Second)
	b.expire(t.Context())
	f.requireKept("p", "2", 8)
}
