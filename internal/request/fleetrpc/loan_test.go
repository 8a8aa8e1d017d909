package fleetrpc

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/connection/peer"
)

// earlierLoanReply is the loanReply of build 19775ae.
type earlierLoanReply struct {
	Granted    bool          `msgpack:"g"`
	Wait       time.Duration `msgpack:"w,omitempty"`
	Prefetched float64       `msgpack:"p,omitempty"`
}

// TestLoanRepliesBetweenBuilds guards against VMs of this build and of 19775ae that misread
// each other's answers: the earlier one remembers the wait of a VM without a share, and says
// an hour if it has none itself.
func TestLoanRepliesBetweenBuilds(t *testing.T) {
	data, err := peer.Encode(loanReply{NoShare: true, Wait: 2 * time.Second})
	require.NoError(t, err)
	var read earlierLoanReply
	require.NoError(t, peer.Decode(data, &read))
	require.Equal(t, earlierLoanReply{Wait: 2 * time.Second}, read)

	for _, c := range []struct {
		written earlierLoanReply
		noShare bool
	}{
		{earlierLoanReply{Wait: time.Hour}, true},
		{earlierLoanReply{Wait: 300 * time.Millisecond}, false},
		{earlierLoanReply{Granted: true, Wait: time.Second, Prefetched: 2}, false},
	} {
		data, err := peer.Encode(c.written)
		require.NoError(t, err)
		var reply loanReply
		require.NoError(t, peer.Decode(data, &reply))
		loan := reply.loan()
		require.Equal(t, c.noShare, loan.NoShare)
		require.Equal(t, c.written.Granted, loan.Granted)
		require.Equal(t, c.written.Prefetched, loan.Prefetched)
	}
}
