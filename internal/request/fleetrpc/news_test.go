package fleetrpc

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/connection/peer"
	"hornbeamvale.example/hornbeamvale/internal/process/fleet"
	"hornbeamvale.example/hornbeamvale/internal/process/ledger"
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
)

// homeReplyOf8468140 is the reply of the build of that commit.
type homeReplyOf8468140 struct {
	History  ledger.History `msgpack:"l"`
	Outcome  string         `msgpack:"o,omitempty"`
	Reason   string         `msgpack:"e,omitempty"`
	Reserved bool           `msgpack:"r,omitempty"`
}

// TestNewsBetweenBuilds guards against a change of turns and budgets that is lost or altered
// between a build that sends news of replicas and one that doesn't know them.
func TestNewsBetweenBuilds(t *testing.T) {
	news := replicaNews{[]fleet.ReplicaNews{{Replica: "m1", StartedMS: 7, Leaving: true, Age: time.Second}}}
	open := ledger.OpenRequest{Group: "g", Customer: "c", Turn: "t", Parent: "p", MaxTokens: 5, Budget: 9, Retention: time.Minute, HasHistory: true, MayOmitHistory: true}
	requireBothWays(t, open, openPayload{open, news}, openPayload{OpenRequest: open})
	record := ledger.RecordRequest{Group: "g", ID: "i", Used: 3, Retention: time.Minute, Turn: turntree.Turn{Customer: "c", Parent: "p", Input: []byte("in"), Output: []byte("out"), Replica: "r"}}
	requireBothWays(t, record, recordPayload{record, news}, recordPayload{RecordRequest: record})
	settle := ledger.SettleRequest{Group: "g", Turn: "t", Used: 3, Retention: time.Minute}
	requireBothWays(t, settle, settlePayload{settle, news}, settlePayload{SettleRequest: settle})
	reply := homeReply{Outcome: outcomeStoreFailed, Reason: "x", Reserved: true}
	withNews := reply
	withNews.replicaNews = news
	requireBothWays(t, homeReplyOf8468140{Outcome: outcomeStoreFailed, Reason: "x", Reserved: true}, withNews, reply)
}

// requireBothWays checks that an earlier build reads the payload with news as the earlier
// one, and that this build reads both.
func requireBothWays[E, P any](t *testing.T, earlier E, withNews, without P) {
	data, err := peer.Encode(withNews)
	require.NoError(t, err)
	var atEarlier E
	require.NoError(t, peer.Decode(data, &atEarlier))
	require.Equal(t, earlier, atEarlier)
	var same P
	require.NoError(t, peer.Decode(data, &same))
	require.Equal(t, withNews, same)

	data, err = peer.Encode(earlier)
	require.NoError(t, err)
	var fromEarlier P
	require.NoError(t, peer.Decode(data, &fromEarlier))
	require.Equal(t, without, fromEarlier)
}
