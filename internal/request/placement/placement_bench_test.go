package placement

import (
	"fmt"
	"testing"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/replica"
)

// BenchmarkPick measures the choice of a replica for one call, with the check for free
// capacity that the control loop makes before it.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{40, 312, 400, 4000} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			cs := make([]replica.Candidate, n)
			for i := range cs {
				cs[i] = replica.Candidate{
					Replica: fmt.Sprintf("10.0.%d.%d:9000", i>>8, i&255), DataCentre: fmt.Sprintf("data-centre-%02d", i%40),
					BatchLimit: 16, InFlight: i % 16, MaxConcurrent: 64,
				}
			}
			p := DefaultProfile()
			r := Request{
				ID: "id", Now: time.Now(), VM: "entry-0000", DataCentre: "data-centre-01", ConcurrencyShare: 1, PromptTokens: 140_000,
				CachedTokens: map[string]int64{cs[n/2].Replica: 139_000},
			}
			b.ReportAllocs()
			for b.Loop() {
				if !p.Room(r, cs).Any() {
					b.Fatal("no room")
				}
				if _, ok := p.Pick(r, cs); !ok {
					b.Fatal("no replica")
				}
			}
		})
	}
}
