package version_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"hornbeamvale.example/hornbeamvale/internal/version"
	"hornbeamvale.example/hornbeamvale/operator"
)

// benchDocument returns a document with n customers, of two keys each, and 3 models.
func benchDocument(n int) *operator.Document {
	doc := &operator.Document{Fleet: operator.Fleet{Seats: 410}, Programs: []operator.Program{{Name: "booking"}}}
	for _, e := range []string{"cacao-agents", "conseil-llm", "third-llm"} {
		doc.Endpoints = append(doc.Endpoints, operator.Endpoint{Name: e, Kind: operator.KindModel})
	}
	for i := range n {
		doc.Customers = append(doc.Customers, operator.Customer{
			Name: fmt.Sprintf("customer-%04d", i), Rate: 46, Burst: 92, Weight: 1,
			Endpoints: []string{"cacao-agents", "conseil-llm"}, Programs: []string{"*"},
			Keys: []operator.Key{
				operator.NewKey("a", fmt.Sprintf("key-a-%d", i)), operator.NewKey("b", fmt.Sprintf("key-b-%d", i)),
			},
		})
	}
	return doc
}

// BenchmarkLoad measures the load of a new version by a VM: the document is decoded and
// compiled. It reports the size of the document and the heap size of the version.
func BenchmarkLoad(b *testing.B) {
	for _, n := range []int{63, 210, 630, 1260} {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			body, err := json.Marshal(benchDocument(n))
			if err != nil {
				b.Fatal(err)
			}
			load := func() (*operator.Document, *version.Version) {
				var doc operator.Document
				if err := json.Unmarshal(body, &doc); err != nil {
					b.Fatal(err)
				}
				v, err := version.Compile(&doc, 1)
				if err != nil {
					b.Fatal(err)
				}
				return &doc, v
			}
			b.ReportAllocs()
			for b.Loop() {
				load()
			}
			before := heap()
			doc, v := load()
			b.ReportMetric(float64(heap()-before), "heap-bytes")
			b.ReportMetric(float64(len(body)), "document-bytes")
			runtime.KeepAlive(doc)
			runtime.KeepAlive(v)
		})
	}
}

// heap returns the size of the live heap in bytes.
func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkAuthenticate measures the lookup of one request's key.
func BenchmarkAuthenticate(b *testing.B) {
	for _, n := range []int{63, 210, 630, 1260} {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			v, err := version.Compile(benchDocument(n), 1)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := v.Authenticate("key-b-7"); !ok {
					b.Fatal("the key is not known")
				}
			}
		})
	}
}
