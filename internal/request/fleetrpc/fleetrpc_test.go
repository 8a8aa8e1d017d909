package fleetrpc

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/connection/peer"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/storepath"
)

// TestStoreCallsKeepTheirFields guards against a field of a store call that is lost by
// the encoding between VMs: a transaction without its conditions would overwrite that of
// another VM.
func TestStoreCallsKeepTheirFields(t *testing.T) {
	key := platform.Key{Table: "programs", Key: "g/1"}
	calls := []storepath.Call{
		{Transact: &platform.PartitionTx{Part: "p3", Tx: platform.Tx{
			Conditions: []platform.Condition{{Key: key, Revision: 7}},
			Writes:     []platform.Write{{Key: key, Value: []byte("v")}, {Key: platform.Key{Table: "t", Key: "k"}, Delete: true}},
		}}},
		{Range: &platform.RangeQuery{Table: "t", Part: "p", From: "a", To: "b"}},
		{Changes: &storepath.ChangesQuery{Table: "t", After: 9, Wait: time.Second}},
	}
	for _, c := range calls {
		data, err := peer.Encode(c)
		require.NoError(t, err)
		var got storepath.Call
		require.NoError(t, peer.Decode(data, &got))
		require.Equal(t, c, got)
	}
	reply := storepath.Reply{
		Result: platform.PartitionTxResult{Committed: true, Revision: 4, Current: []platform.Row{{Key: key, Value: []byte("v"), Revision: 3}}},
		Page:   platform.Page{Rows: []platform.Row{{Key: key, Deleted: true, Revision: 5}}, Revision: 6},
		Failed: platform.NotApplied, Reason: "x",
	}
	data, err := peer.Encode(reply)
	require.NoError(t, err)
	var got storepath.Reply
	require.NoError(t, peer.Decode(data, &got))
	require.Equal(t, reply, got)
}
