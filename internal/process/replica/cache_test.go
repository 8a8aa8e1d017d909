package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/version"
	"hornbeamvale.example/hornbeamvale/operator"
)

func cacheView(t *testing.T, now time.Time) *View {
	v, err := version.Compile(&operator.Document{
		Fleet: operator.Fleet{Seats: 1}, Endpoints: []operator.Endpoint{{Name: "agents", Kind: operator.KindModel, Replicas: []string{"r1"}}},
	}, 1)
	require.NoError(t, err)
	view := NewView("entry-01")
	view.Apply(now, nil, v)
	return view
}

// TestEvictionsOfServedRuns guards against routing a run to a replica for a prefix
// that the engine has evicted, and against an index that includes runs that other VMs
// dispatch.
func TestEvictionsOfServedRuns(t *testing.T) {
	now := time.Unix(1000, 0)
	v := cacheView(t, now)
	v.RecordUsage(now, "r1", "mine", Usage{PromptTokens: 100, CompletionTokens: 20})
	require.Equal(t, map[string]int64{"r1": 120}, v.CachedTokens("mine"))
	later := now.Add(time.Second)
	v.ApplyCacheEvents(later, "r1", CacheEventBatch{Events: []CacheEvent{
		{Sequence: 1, Kind: CacheStored, Run: "other", Tokens: 64}, {Sequence: 2, Kind: CacheEvicted, Run: "mine"},
	}})
	require.Empty(t, v.CachedTokens("mine"))
	require.Empty(t, v.CachedTokens("other"))
}

// TestOldPrefixesArePruned guards against an index that grows with every run.
func TestOldPrefixesArePruned(t *testing.T) {
	now := time.Unix(1000, 0)
	v := cacheView(t, now)
	v.RecordUsage(now, "r1", "old", Usage{PromptTokens: 1})
	v.RecordUsage(now.Add(time.Minute), "r1", "new", Usage{PromptTokens: 1})
	v.PruneCache(now.Add(time.Second))
	require.Empty(t, v.cache.runs["old"])
	require.NotEmpty(t, v.cache.runs["new"])
}
