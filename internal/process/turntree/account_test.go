package turntree

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// earlierAccount is the Account of build 19775ae, which is stored as it is.
type earlierAccount struct {
	Spent    int64            `msgpack:"s"`
	Reserved map[string]int64 `msgpack:"r,omitempty"`
}

// TestAccountsOfAnEarlierBuild guards against an account that a VM of this build or of
// 19775ae misreads, and against a retention that is lost when the earlier build changes it.
func TestAccountsOfAnEarlierBuild(t *testing.T) {
	for _, a := range []Account{
		{Spent: 7},
		{Spent: 7, Retention: 10 * time.Minute},
		{Spent: 7, Retention: 1500 * time.Millisecond, Reserved: map[string]int64{"1": 20, "2": 30}},
	} {
		data, err := EncodeAccount(a)
		require.NoError(t, err)
		var earlier earlierAccount
		require.NoError(t, msgpack.Unmarshal(data, &earlier))
		sum := earlier.Spent
		for _, n := range earlier.Reserved {
			sum += n
		}
		require.Equal(t, a.Committed(), sum, "the earlier build counts other tokens")

		// The earlier build reserves a turn and settles another one.
		if earlier.Reserved == nil {
			earlier.Reserved = map[string]int64{}
		}
		earlier.Reserved["3"] = 5
		delete(earlier.Reserved, "1")
		data, err = msgpack.Marshal(earlier)
		require.NoError(t, err)
		got, err := DecodeAccount(data)
		require.NoError(t, err)
		want := map[string]int64{"3": 5}
		if n, ok := a.Reserved["2"]; ok {
			want["2"] = n
		}
		require.Equal(t, Account{Spent: 7, Reserved: want, Retention: a.Retention}, got)
	}
}

// TestMalformedRetentionIsAnError guards against rows that are deleted because their
// retention cannot be read.
func TestMalformedRetentionIsAnError(t *testing.T) {
	data, err := msgpack.Marshal(earlierAccount{Reserved: map[string]int64{retentionKey + "x": 0}})
	require.NoError(t, err)
	_, err = DecodeAccount(data)
	require.Error(t, err)
}

// TestIndexMarkBesideTheBuildBefore guards against a build up to 7f97bc3 that misreads an
// account with IndexKnown, or that keeps it although it adds copies without the mark.
func TestIndexMarkBesideTheBuildBefore(t *testing.T) {
	a := Account{Spent: 7, Retention: time.Minute, IndexKnown: true, Reserved: map[string]int64{"1": 20}}
	data, err := EncodeAccount(a)
	require.NoError(t, err)
	got, err := DecodeAccount(data)
	require.NoError(t, err)
	require.Equal(t, a, got)

	// The build before takes the retention from the key of its entry and drops the entry.
	var before earlierAccount
	require.NoError(t, msgpack.Unmarshal(data, &before))
	require.Contains(t, before.Reserved, retentionKey+"60000")
	delete(before.Reserved, retentionKey+"60000")
	require.Equal(t, a.Reserved, before.Reserved)

	before.Reserved[retentionKey+"60000"] = 0
	data, err = msgpack.Marshal(before)
	require.NoError(t, err)
	got, err = DecodeAccount(data)
	require.NoError(t, err)
	a.IndexKnown = false
	require.Equal(t, a, got)

	// The build before reads a marked copy as any other turn.
	data, err = Encode(Turn{Customer: "c", Parent: "p", Input: []byte("i"), Output: []byte("o"), Copied: true})
	require.NoError(t, err)
	var turnBefore struct {
		Customer string `msgpack:"c"`
		Parent   string `msgpack:"p,omitempty"`
		Input    []byte `msgpack:"i"`
		Output   []byte `msgpack:"o"`
	}
	require.NoError(t, msgpack.Unmarshal(data, &turnBefore))
	require.Equal(t, "i/o", string(turnBefore.Input)+"/"+string(turnBefore.Output))
}
