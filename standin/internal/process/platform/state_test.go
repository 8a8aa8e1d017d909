package platform

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSinceAfterCompaction guards against a compaction of the log that drops the latest
// write of a row.
func TestSinceAfterCompaction(t *testing.T) {
	s := NewState()
	const rows, rounds = 10, 500
	for i := range rows * rounds {
		_, err := s.Commit(Tx{Writes: []Write{{Key: Key{"t", fmt.Sprint(i % rows)}}}})
		require.NoError(t, err)
	}
	require.Less(t, len(s.tables["t"].log), rows*rounds)
	for _, since := range []uint64{0, rows * (rounds - 1), rows*rounds - 3, rows * rounds} {
		got, more := s.since(Since{Table: "t", Revision: since})
		require.False(t, more)
		require.Len(t, got, int(min(rows, rows*rounds-since)))
		for i, row := range got {
			require.EqualValues(t, rows*rounds-len(got)+i+1, row.Revision)
		}
	}
}

// TestVMListLag guards against a VM list that shows a change before the lag has passed.
func TestVMListLag(t *testing.T) {
	s := NewState()
	s.Faults.VMListLagMS = 100
	start := time.Now()
	s.SetVMs(start, []VM{{ID: "a"}})
	s.SetVMs(start.Add(50*time.Millisecond), []VM{{ID: "b"}})
	require.Empty(t, s.VMs(start.Add(99*time.Millisecond)))
	require.Equal(t, []VM{{ID: "a"}}, s.VMs(start.Add(149*time.Millisecond)))
	require.Equal(t, []VM{{ID: "b"}}, s.VMs(start.Add(150*time.Millisecond)))
}
