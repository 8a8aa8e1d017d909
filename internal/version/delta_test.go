package version

import (
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hornbeamvale.example/hornbeamvale/operator"
)

// The seed is fixed so that a run can be repeated; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

// drawDocument draws a random document with a few customers, programs and endpoints.
func drawDocument(t *rapid.T, label string) *operator.Document {
	names := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), rapid.ID[string])
	doc := &operator.Document{Fleet: operator.Fleet{Seats: rapid.IntRange(1, 3).Draw(t, label+"-seats")}}
	for _, n := range names.Draw(t, label+"-customers") {
		doc.Customers = append(doc.Customers, operator.Customer{
			Name: n, Rate: float64(rapid.IntRange(1, 2).Draw(t, "rate")), Burst: 1, Endpoints: []string{"*"}, Programs: []string{"*"},
		})
	}
	for _, n := range names.Draw(t, label+"-programs") {
		doc.Programs = append(doc.Programs, operator.Program{Name: n, IdleSeconds: rapid.IntRange(0, 1).Draw(t, "idle")})
	}
	for _, n := range names.Draw(t, label+"-endpoints") {
		doc.Endpoints = append(doc.Endpoints, operator.Endpoint{
			Name: n, Kind: operator.KindService, Drained: rapid.Bool().Draw(t, "drained"),
			Routes: []operator.Route{{Prefix: "/"}}[:rapid.IntRange(0, 1).Draw(t, "routes")],
		})
	}
	return doc
}

// canonical returns the encoding of a document with sorted lists, whose order has no
// meaning.
func canonical(t require.TestingT, d *operator.Document) string {
	c := *d
	c.Customers = slices.SortedFunc(slices.Values(d.Customers), func(a, b operator.Customer) int { return cmp.Compare(a.Name, b.Name) })
	c.Programs = slices.SortedFunc(slices.Values(d.Programs), func(a, b operator.Program) int { return cmp.Compare(a.Name, b.Name) })
	c.Endpoints = slices.SortedFunc(slices.Values(d.Endpoints), func(a, b operator.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	text, err := json.Marshal(c)
	require.NoError(t, err)
	return string(text)
}

// TestDeltaLeadsToTheSameDocument guards against different configurations at a VM that
// applies deltas and a VM that reads the whole document.
func TestDeltaLeadsToTheSameDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawDocument(t, "from"), drawDocument(t, "to")
		before := canonical(t, from)
		stored, err := json.Marshal(Diff(from, to))
		require.NoError(t, err)
		var d Delta
		require.NoError(t, json.Unmarshal(stored, &d))
		require.Equal(t, canonical(t, to), canonical(t, d.Apply(from)))
		require.Equal(t, before, canonical(t, from), "the document in force must not change")
	})
}

// TestDeltaIsAsLargeAsTheChange guards against deltas that grow with the document: with
// 49,000 changes a day and 630 customers, every VM would read too much.
func TestDeltaIsAsLargeAsTheChange(t *testing.T) {
	from := &operator.Document{Fleet: operator.Fleet{Seats: 410}}
	for i := range 630 {
		from.Customers = append(from.Customers, operator.Customer{
			Name: fmt.Sprintf("customer-%d", i), Rate: 46, Burst: 92, Endpoints: []string{"*"}, Programs: []string{"*"},
			Keys: []operator.Key{operator.NewKey("k1", fmt.Sprint(i))},
		})
	}
	to := *from
	to.Customers = slices.Clone(from.Customers)
	to.Customers[7].Keys = nil
	delta, err := json.Marshal(Diff(from, &to))
	require.NoError(t, err)
	whole, err := json.Marshal(from)
	require.NoError(t, err)
	t.Logf("delta %d bytes, document %d bytes", len(delta), len(whole))
	// The 0.57 changes a second may take a tenth of a VM's 18 KB/s.
	require.Less(t, len(delta), 3000)
}
