package ledger

import (
	"context"
	"strings"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
)

// earlierStore makes a ledger write what build 7f97bc3 writes: turns and accounts without the
// marks of copies, and with each deleted turn the deletion of the turn's index entry.
type earlierStore struct {
	platform.PartitionedStore
	f *testFleet
}

// newEarlierVM returns the ledger of one more VM, which runs build 7f97bc3.
func (f *testFleet) newEarlierVM() *Ledger {
	l := f.newVM()
	l.store = earlierStore{l.store, f}
	return l
}

func (s earlierStore) Transact(ctx context.Context, tx platform.PartitionTx) (platform.PartitionTxResult, error) {
	writes := tx.Writes
	tx.Writes = nil
	for _, w := range writes {
		_, id, isTurn := strings.Cut(w.Key.Key, "/")
		switch {
		case w.Delete && w.Table == indexTable:
			continue
		case w.Delete && isTurn:
			if !strings.Contains(id, chunkSeparator) {
				tx.Writes = append(tx.Writes, platform.Write{Key: platform.Key{Table: indexTable, Key: id}, Delete: true})
			}
		case w.Delete || w.Table != programTable:
		case isTurn:
			turn, err := turntree.DecodeTurn(w.Value)
			require.NoError(s.f.t, err, "turns of the earlier build are small")
			turn.Copied = false
			w.Value, err = turntree.Encode(turn)
			require.NoError(s.f.t, err)
		default:
			account, err := turntree.DecodeAccount(w.Value)
			require.NoError(s.f.t, err)
			account.IndexKnown = false
			w.Value, err = turntree.EncodeAccount(account)
			require.NoError(s.f.t, err)
		}
		tx.Writes = append(tx.Writes, w)
	}
	return s.PartitionedStore.Transact(ctx, tx)
}
