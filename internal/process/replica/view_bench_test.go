package replica

import (
	"fmt"
	"testing"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/version"
	"hornbeamvale.example/hornbeamvale/internal/version/hashing"
	"hornbeamvale.example/hornbeamvale/operator"
)

// benchView returns a view of n replicas, a third of them at each of 3 endpoints.
func benchView(b *testing.B, n int) (*View, []platform.VM, *version.Version) {
	b.Helper()
	doc := &operator.Document{Fleet: operator.Fleet{Seats: 410}}
	for i := range 3 {
		doc.Endpoints = append(doc.Endpoints, operator.Endpoint{Name: fmt.Sprint("model-", i), Kind: operator.KindModel})
	}
	ver, err := version.Compile(doc, 1)
	if err != nil {
		b.Fatal(err)
	}
	vms := make([]platform.VM, n)
	for i := range vms {
		vms[i] = platform.VM{
			ID: fmt.Sprintf("replica-%05d", i), Address: fmt.Sprintf("10.0.%d.%d:9000", i>>8, i&255),
			DataCentre: fmt.Sprintf("data-centre-%02d", i%40), Endpoint: fmt.Sprint("model-", i%3), State: platform.VMLive,
		}
	}
	v := NewView("entry-0000")
	v.Apply(time.Now(), vms, ver)
	return v, vms, ver
}

// BenchmarkCandidates measures listing the candidates of one endpoint, which is done
// for each call.
func BenchmarkCandidates(b *testing.B) {
	for _, n := range []int{120, 1200, 12000} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			v, _, _ := benchView(b, n)
			b.ReportAllocs()
			for b.Loop() {
				v.Candidates("model-1")
			}
		})
	}
}

// BenchmarkApply measures applying one read of the VM list.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{120, 1200, 12000} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			v, vms, ver := benchView(b, n)
			b.ReportAllocs()
			for b.Loop() {
				v.Apply(time.Now(), vms, ver)
			}
		})
	}
}

// BenchmarkRecordUsage measures the bookkeeping of one call and its cached prefix.
func BenchmarkRecordUsage(b *testing.B) {
	for _, runs := range []int{150, 1500, 15000} {
		b.Run(fmt.Sprintf("runs=%d", runs), func(b *testing.B) {
			v, vms, _ := benchView(b, 1200)
			names := make([]string, runs)
			for i := range names {
				names[i] = fmt.Sprintf("booking:%016d", i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				run, at := names[i%runs], vms[i%len(vms)].Address
				now := time.Now()
				v.AddHolder(run, at)
				v.Begin(now, at)
				v.End(now, at, true)
				v.RecordUsage(now, at, run, Usage{PromptTokens: 1000, CompletionTokens: 200})
				v.CachedTokens(run)
			}
		})
	}
}

// BenchmarkUsable measures listing the replicas that one of 410 VMs may use. The
// share of a VM is 1/410 of each replica's bound of 32 calls.
func BenchmarkUsable(b *testing.B) {
	for _, n := range []int{120, 1200, 12000} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			v, _, _ := benchView(b, n)
			v.Restrict(func(replica string, maxConcurrent int) bool {
				return hashing.Fraction("share", "entry-0000", replica) < float64(maxConcurrent)/410
			})
			b.ReportAllocs()
			usable := 0
			for b.Loop() {
				usable = len(v.Usable("model-1"))
			}
			b.ReportMetric(float64(usable), "usable")
		})
	}
}
