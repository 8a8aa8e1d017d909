package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"hornbeamvale.example/hornbeamvale/internal/process/decisionlog"
	"hornbeamvale.example/hornbeamvale/platform/connection"
	"hornbeamvale.example/hornbeamvale/platform/platformtest"
)

// earlierMemberRow is the row of a member as build 19775ae writes it, without blocks.
type earlierMemberRow struct {
	Member `msgpack:",inline"`
}

// sharesUsableAtOnce starts the loop of a VM whose earlier process has left the given row,
// and reports whether it uses its shares before joinDelay has passed.
func sharesUsableAtOnce(t *testing.T, row any) bool {
	t.Helper()
	store := platformtest.NewStore(t)
	data, err := msgpack.Marshal(row)
	require.NoError(t, err)
	store.Put(MemberTable, member(0).Address, data)
	l := NewLoop(Config{
		Store: connection.NewStoreClient(store.Address(), 0), Self: member(0), Picker: firstPicker{}, Peers: noPeers{},
		StoreDown: func() bool { return false }, Log: decisionlog.New(func(string, ...any) {}),
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { l.Run(ctx); close(ended) }()
	defer func() { cancel(); <-ended }()
	for begun := time.Now(); time.Since(begun) < joinDelay-time.Second; time.Sleep(20 * time.Millisecond) {
		if l.Snapshot().SharesUsable {
			return true
		}
	}
	require.Eventually(t, func() bool { return l.Snapshot().SharesUsable }, 10*time.Second, 20*time.Millisecond)
	return false
}

// TestReturningVMUsesItsSharesWhileItIsAMember guards against a process that starts after
// the other VMs have dropped its VM, finds the row of the process before it and uses shares
// that they have taken over; and against a fleet that waits after a short restart of all.
func TestReturningVMUsesItsSharesWhileItIsAMember(t *testing.T) {
	storeClock := func() time.Duration { return time.Duration(time.Now().UnixMilli()) * time.Millisecond }
	for name, c := range map[string]struct {
		row  any
		want bool
	}{
		"1 s after its last renewal":  {memberRow{Member: member(0), RenewedAt: storeClock() - time.Second}, true},
		"12 s after its last renewal": {memberRow{Member: member(0), RenewedAt: storeClock() - 12*time.Second}, false},
		"row of an earlier build":     {earlierMemberRow{member(0)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			require.Equal(t, c.want, sharesUsableAtOnce(t, c.row))
		})
	}
}

// TestMemberRowsBetweenBuilds guards against rows of members that build 19775ae or this one
// misreads.
func TestMemberRowsBetweenBuilds(t *testing.T) {
	data, err := msgpack.Marshal(memberRow{Member: member(3), RenewedAt: time.Hour})
	require.NoError(t, err)
	var earlier earlierMemberRow
	require.NoError(t, msgpack.Unmarshal(data, &earlier))
	require.Equal(t, member(3), earlier.Member)

	data, err = msgpack.Marshal(earlierMemberRow{member(4)})
	require.NoError(t, err)
	var row memberRow
	require.NoError(t, msgpack.Unmarshal(data, &row))
	require.Equal(t, memberRow{Member: member(4)}, row)
}
