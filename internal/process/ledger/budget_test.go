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

// TestBudgetHoldsUnderFaults guards against tokens beyond a program's budget when its
// turns run side by side at changing VMs, with lost answers of the store and with
// processes that end while turns run.
func TestBudgetHoldsUnderFaults(t *testing.T) {
	const budget, most = 200, 10
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		store := platformtest.NewStore(t)
		vms := []*ledger.Ledger{vm(t, store), vm(t, store), vm(t, store)}
		type running struct {
			id   string
			used int64
		}
		var open []running
		handed, refused := int64(0), 0
		for step := 0; step < 400 && refused < 20; step++ {
			l := vms[min(2, random.IntN(8))] // the last one is the home most of the time
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			switch what := random.IntN(20); {
			case what == 0:
				store.LoseAnswers(1)
			case what == 1: // the process ends with all that it knows
				vms[random.IntN(3)] = vm(t, store)
			case what < 10 && len(open) < 4:
				id := fmt.Sprint("t", step)
				bound := 1 + random.Int64N(most)
				_, err := l.Open(ctx, ledger.Opening{Group: group("p"), Customer: customer, Turn: id, Most: bound, Budget: budget, HasLine: true})
				if err != nil {
					require.ErrorIs(t, err, ledger.ErrBudget)
					refused++
					break
				}
				open = append(open, running{id, random.Int64N(bound + 1)})
				handed += open[len(open)-1].used
				require.LessOrEqual(t, handed, int64(budget), "seed %d step %d", seed, step)
			case len(open) > 0:
				i := random.IntN(len(open))
				r := open[i]
				open = append(open[:i], open[i+1:]...)
				if random.IntN(6) == 0 {
					break // nobody settles it
				}
				require.NoError(t, l.Record(ctx, ledger.Ended{
					Group: group("p"), ID: r.id, Used: r.used, Turn: turntree.Turn{Customer: customer},
				}))
			}
			cancel()
		}
		require.Positive(t, handed)
	}
}
