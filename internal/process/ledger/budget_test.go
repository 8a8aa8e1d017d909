package ledger_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/process/ledger"
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
	"hornbeamvale.example/hornbeamvale/platform/platformtest"
)

// TestBudgetHoldsUnderFaults guards against a program that uses more tokens than its
// budget. Its turns run concurrently at changing VMs, answers of the store are lost,
// and processes end while turns run.
func TestBudgetHoldsUnderFaults(t *testing.T) {
	const budget, maxTokens = 200, 10
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		store := platformtest.NewStore(t)
		vms := []*ledger.Ledger{vm(t, store), vm(t, store), vm(t, store)}
		type openTurn struct {
			id   string
			used int64
		}
		var running []openTurn
		usedTotal, rejected := int64(0), 0
		for step := 0; step < 400 && rejected < 20; step++ {
			l := vms[min(2, random.IntN(8))] // the last VM is the home most of the time
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			switch action := random.IntN(20); {
			case action == 0:
				store.LoseReplies(1)
			case action == 1: // a process ends and loses its memory
				vms[random.IntN(3)] = vm(t, store)
			case action < 10 && len(running) < 4:
				id := fmt.Sprint("t", step)
				limit := 1 + random.Int64N(maxTokens)
				_, err := l.Open(ctx, ledger.OpenRequest{Group: group("p"), Customer: customer, Turn: id, MaxTokens: limit, Budget: budget, HasHistory: true})
				if err != nil {
					require.ErrorIs(t, err, ledger.ErrBudgetExceeded)
					rejected++
					break
				}
				running = append(running, openTurn{id, random.Int64N(limit + 1)})
				usedTotal += running[len(running)-1].used
				require.LessOrEqual(t, usedTotal, int64(budget), "seed %d step %d", seed, step)
			case len(running) > 0:
				i := random.IntN(len(running))
				r := running[i]
				running = append(running[:i], running[i+1:]...)
				if random.IntN(6) == 0 {
					break // the turn is never settled
				}
				require.NoError(t, l.Record(ctx, ledger.RecordRequest{
					Group: group("p"), ID: r.id, Used: r.used, Turn: turntree.Turn{Customer: customer},
				}))
			}
			cancel()
		}
		require.Positive(t, usedTotal)
	}
}
