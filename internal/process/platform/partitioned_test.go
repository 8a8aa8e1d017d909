package platform

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// earlierPage is the Page of build 19775ae.
type earlierPage struct {
	Rows     []Row
	Revision uint64
}

// TestPagesBetweenBuilds guards against pages, which VMs read for each other, that build
// 19775ae or this one misreads.
func TestPagesBetweenBuilds(t *testing.T) {
	rows := []Row{{Key: Key{Table: "t", Key: "k"}, Value: []byte("v"), Revision: 4}}
	data, err := msgpack.Marshal(Page{Rows: rows, Revision: 5, StoreClock: time.Hour})
	require.NoError(t, err)
	var earlier earlierPage
	require.NoError(t, msgpack.Unmarshal(data, &earlier))
	require.Equal(t, earlierPage{rows, 5}, earlier)

	data, err = msgpack.Marshal(earlier)
	require.NoError(t, err)
	var page Page
	require.NoError(t, msgpack.Unmarshal(data, &page))
	require.Equal(t, Page{Rows: rows, Revision: 5}, page)
}
