package control

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"hornbeamvale.example/hornbeamvale/internal/process/configuration"
	"hornbeamvale.example/hornbeamvale/internal/process/journal"
	"hornbeamvale.example/hornbeamvale/internal/process/limit"
	"hornbeamvale.example/hornbeamvale/internal/process/member"
	"hornbeamvale.example/hornbeamvale/internal/process/ownership"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/platform/platformtest"
	"hornbeamvale.example/hornbeamvale/internal/process/program"
	"hornbeamvale.example/hornbeamvale/internal/version"
	"hornbeamvale.example/hornbeamvale/operator"
)

const (
	benchEndpoint = "conseil-llm"
	benchProgram  = "booking"
	// benchBody is the size in bytes of a turn's recorded body: 140,000 tokens in 430
	// turns make 326 tokens a turn, with 4 bytes a token.
	benchBody = 1304
)

// benchMember returns a member id in the daemon's format.
func benchMember(n int) string { return fmt.Sprintf("entry-%04d.ABCDEFGHIJKL", n) }

func benchInfo(n int) member.Info {
	return member.Info{
		VM: fmt.Sprintf("entry-%04d", n), Address: "10.11.12.13:7444", Operator: "10.11.12.13:7445",
		DataCentre: fmt.Sprintf("data-centre-%02d", n%40), Region: fmt.Sprintf("region-%d", n%10), Seat: n,
	}
}

// benchVersion returns a version with n customers.
func benchVersion(b *testing.B, n int) configuration.LoadedVersion {
	b.Helper()
	doc := &operator.Document{
		Fleet:     operator.Fleet{Seats: 410},
		Programs:  []operator.Program{{Name: benchProgram}},
		Endpoints: []operator.Endpoint{{Name: benchEndpoint, Kind: operator.KindModel}},
	}
	for i := range n {
		doc.Customers = append(doc.Customers, operator.Customer{
			Name: fmt.Sprintf("customer-%04d", i), Rate: 46, Burst: 92, Weight: 1,
			Endpoints: []string{"*"}, Programs: []string{"*"},
			Keys: []operator.Key{operator.NewKey("k", fmt.Sprintf("key-%d", i))},
		})
	}
	v, err := version.Compile(doc, 1)
	if err != nil {
		b.Fatal(err)
	}
	return configuration.LoadedVersion{Version: v, Document: doc, Head: configuration.Head{Version: 1}}
}

// benchState returns the state of a joined member in a fleet with the given number of
// members, among which the slots are distributed evenly.
func benchState(b *testing.B, members int) *State {
	b.Helper()
	l := NewLoop(Config{
		Info: benchInfo(0), NewMemberID: func() string { return benchMember(0) },
		LeaseTTL: time.Hour, SeatTTL: time.Hour, PollInterval: time.Second, FreshnessBound: time.Hour,
		WritesPerSecond: 300, Platform: platformtest.New(),
	})
	s, now := l.state, time.Now()
	s.joined = true
	s.leaseRenewed(now)
	for n := range members {
		s.registry.Set(benchMember(n), benchInfo(n))
	}
	for slot := range ownership.Slot(ownership.SlotCount) {
		s.slots.Set(slot, ownership.Owner{Member: benchMember(int(slot) % members), Epoch: 1, Revision: 1})
		if int(slot)%members == 0 {
			s.runs.Load(slot, nil, s.budgetOf)
			s.limits.quietUntil[slot] = now
		}
	}
	s.batcher = journal.NewBatcher(journal.Config{
		Member: s.self, Interval: 0, RenewInterval: time.Hour, LeaseKey: member.LeaseKey(s.self), LeaseRevision: 1,
		LeaseRow: func(sequence uint64) []byte { return member.LeaseRow{Sequence: sequence}.Encode() },
	}, now)
	s.slotViewDirty = true
	s.publish()
	return s
}

// benchTurn runs the control work of one turn: begin, commit, finish, commit. No I/O is
// done.
func benchTurn(b *testing.B, s *State, key program.Key) { benchTurnWith(b, s, key, benchCommit) }

// benchTurnBytes runs one turn and returns the size in bytes of its transactions' JSON,
// which a worker encodes.
func benchTurnBytes(b *testing.B, s *State, key program.Key) int {
	bytes := 0
	benchTurnWith(b, s, key, func(s *State) *journal.Batch {
		batch := benchCommit(s)
		if batch != nil {
			encoded, _ := json.Marshal(batch.Tx) // strings and numbers only
			bytes += len(encoded)
		}
		return batch
	})
	return bytes
}

// benchTurnWith runs one turn and calls commit where a journal commit is due.
func benchTurnWith(b *testing.B, s *State, key program.Key, commit func(*State) *journal.Batch) {
	now := time.Now()
	decisions, ended := make(chan program.Decision, 2), make(chan FinishResult, 1)
	BeginTurn{Request: program.TurnRequest{
		Key: key, RequestID: fmt.Sprintf("~%026d", s.lastWaiter), Endpoint: benchEndpoint, Deadline: now.Add(time.Second),
	}, Reply: decisions}.Apply(s, now)
	commit(s)
	d := <-decisions
	if d.Refusal != nil {
		b.Fatal(d.Refusal)
	}
	FinishTurn{Key: key, Turn: d.Turn, Waiter: d.Waiter, Reply: ended, Result: program.Result{
		Body: make([]byte, benchBody), Spent: program.Amount{Tokens: 326, Turns: 1}, ContextTokens: 1,
		Holder: program.Holder{Endpoint: benchEndpoint, Replica: "10.20.30.40:9000"},
	}}.Apply(s, now)
	commit(s)
	if f := <-ended; f.Refusal != nil {
		b.Fatal(f.Refusal)
	}
	s.answerReadyTurns(now)
}

// benchCommit takes the batch that is due, marks it as committed and returns it.
func benchCommit(s *State) *journal.Batch {
	now := time.Now()
	batch := s.batcher.Take(now)
	if batch != nil {
		s.batcher.Committed(now, batch.Sequence+1)
	}
	return batch
}

// BenchmarkTurn measures the control work of one turn, with its two events and its
// transactions, by the number of the program's previous turns.
func BenchmarkTurn(b *testing.B) {
	for _, turns := range []int{1, 16, 48, 107, 215, 430} {
		b.Run(fmt.Sprintf("history=%d", turns), func(b *testing.B) {
			s := benchState(b, 1)
			s.current = benchVersion(b, 1)
			key := program.Key{Customer: "customer-0000", Run: benchProgram + ":0123456789abcdef"}
			for range turns {
				benchTurn(b, s, key)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if i%8 == 7 { // keeps the history close to its nominal length
					b.StopTimer()
					s = benchState(b, 1)
					s.current = benchVersion(b, 1)
					for range turns {
						benchTurn(b, s, key)
					}
					b.StartTimer()
				}
				benchTurn(b, s, key)
			}
			b.ReportMetric(float64(benchTurnBytes(b, s, key)), "tx-bytes/turn")
		})
	}
}

// BenchmarkFirstTurn measures the control work of a program's first turn and of the
// loop's step after it, by the number of programs that the member holds.
func BenchmarkFirstTurn(b *testing.B) {
	for _, programs := range []int{150, 1500, 15000} {
		b.Run(fmt.Sprintf("programs=%d", programs), func(b *testing.B) {
			s := benchState(b, 1)
			s.current = benchVersion(b, 1)
			for i := range programs {
				benchTurn(b, s, program.Key{Customer: "customer-0000", Run: fmt.Sprintf("%s:%016d", benchProgram, i)})
			}
			b.ReportAllocs()
			for i := programs; b.Loop(); i++ {
				benchTurn(b, s, program.Key{Customer: "customer-0000", Run: fmt.Sprintf("%s:%016d", benchProgram, i)})
				s.Step(time.Now())
			}
		})
	}
}

// BenchmarkProgramMemory reports the heap size of one program, by the number of its
// turns.
func BenchmarkProgramMemory(b *testing.B) {
	for _, turns := range []int{1, 48, 430} {
		b.Run(fmt.Sprintf("history=%d", turns), func(b *testing.B) {
			const programs = 20
			for b.Loop() {
				s := benchState(b, 1)
				s.current = benchVersion(b, 1)
				before := benchHeap()
				for i := range programs {
					key := program.Key{Customer: "customer-0000", Run: fmt.Sprintf("%s:%016d", benchProgram, i)}
					for range turns {
						benchTurn(b, s, key)
					}
				}
				b.ReportMetric(float64(benchHeap()-before)/programs, "heap-bytes/program")
				runtime.KeepAlive(s)
			}
		})
	}
}

// benchHeap returns the size of the live heap.
func benchHeap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkPublish measures the publication of a snapshot: with unchanged slots, as after
// each journal commit, and after a change of a slot or member.
func BenchmarkPublish(b *testing.B) {
	for _, members := range []int{10, 64, 410} {
		for _, changed := range []bool{false, true} {
			b.Run(fmt.Sprintf("members=%d/slots-changed=%v", members, changed), func(b *testing.B) {
				s := benchState(b, members)
				b.ReportAllocs()
				for b.Loop() {
					s.slotViewDirty = changed
					s.publish()
				}
			})
		}
	}
}

// BenchmarkPollEvent measures the event of a poll that found no change.
func BenchmarkPollEvent(b *testing.B) {
	for _, members := range []int{10, 64, 410} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			s := benchState(b, members)
			b.ReportAllocs()
			revision := uint64(1)
			for b.Loop() {
				revision++
				leases := map[string]uint64{}
				for _, id := range s.registry.NextWatched() {
					leases[id] = revision
				}
				pollFinished{self: s.self, result: pollResult{sentAt: time.Now(), leases: leases}}.Apply(s, time.Now())
			}
		})
	}
}

// BenchmarkTakeover measures the decision which slots of lost members to claim.
func BenchmarkTakeover(b *testing.B) {
	for _, members := range []int{10, 64, 410} {
		for _, lost := range []int{1, 10} {
			b.Run(fmt.Sprintf("members=%d/lost=%d", members, lost), func(b *testing.B) {
				s := benchState(b, members)
				for n := range lost {
					if members > lost {
						s.registry.Remove(benchMember(members - 1 - n))
					}
				}
				b.ReportAllocs()
				for b.Loop() {
					s.slots.Spread(s.slots.Orphans(s.registry.IDSet()), s.registry.IDs())
				}
			})
		}
	}
}

// BenchmarkLimitAsks measures the owner's work for one frame of asks, by the number of
// customers in the frame, each with 410 registered VMs.
func BenchmarkLimitAsks(b *testing.B) {
	for _, customers := range []int{1, 8, 64, 630} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			s := benchState(b, 1)
			s.current = benchVersion(b, customers)
			ask := func(vm int, sequence uint64) {
				asks := make([]CustomerAsk, customers)
				for i := range asks {
					asks[i] = CustomerAsk{Customer: fmt.Sprintf("customer-%04d", i), Ask: limit.Ask{
						VM: benchMember(vm), Incarnation: 1, Sequence: sequence, Want: 1,
					}}
				}
				reply := make(chan []CustomerGrant, 1)
				LimitAsks{Asks: asks, Reply: reply}.Apply(s, time.Now())
			}
			for vm := range 410 {
				ask(vm, 1)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				ask(i%410, uint64(2+i/410))
			}
		})
	}
}

// BenchmarkTakeRateToken measures the event of one request and the step after it, by the
// number of customers that the VM has served.
func BenchmarkTakeRateToken(b *testing.B) {
	for _, customers := range []int{8, 64, 630} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			s := benchState(b, 1)
			s.current = benchVersion(b, customers)
			now := time.Now()
			s.joinLimits(now)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(14 * time.Millisecond) // 71 requests a second
				reply := make(chan bool, 1)
				TakeRateToken{Customer: fmt.Sprintf("customer-%04d", i%customers), Deadline: now.Add(time.Second), Reply: reply}.Apply(s, now)
				s.stepLimits(now)
			}
		})
	}
}

// benchVMs returns a VM list of n replicas of one endpoint.
func benchVMs(n int) []platform.VM {
	vms := make([]platform.VM, n)
	for i := range vms {
		vms[i] = platform.VM{
			ID: fmt.Sprintf("replica-%05d", i), Address: fmt.Sprintf("10.%d.%d.%d:9000", i>>16&255, i>>8&255, i&255),
			DataCentre: fmt.Sprintf("data-centre-%02d", i%40), Endpoint: benchEndpoint, State: platform.VMLive,
		}
	}
	return vms
}

// BenchmarkVMList measures the event of one read of the VM list.
func BenchmarkVMList(b *testing.B) {
	for _, replicas := range []int{120, 1200, 12000} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			s := benchState(b, 1)
			s.current = benchVersion(b, 1)
			vms := benchVMs(replicas)
			b.ReportAllocs()
			for b.Loop() {
				vmsListed{vms: vms}.Apply(s, time.Now())
			}
			before := benchHeap()
			s.replicas = newReplicas("x")
			b.ReportMetric(float64(before-benchHeap())/float64(replicas), "heap-bytes/replica")
		})
	}
}

// discardPeers is a PeerClient that sends nothing.
type discardPeers struct{}

func (discardPeers) NotifySlots(context.Context, Peer) error           { return nil }
func (discardPeers) NotifyVersion(context.Context, Peer, uint64) error { return nil }
func (discardPeers) ConfirmVersion(context.Context, Peer) (Confirmation, error) {
	return Confirmation{}, nil
}

func (discardPeers) FetchAccounts(context.Context, Peer, []AccountQuery) ([]CustomerAccount, error) {
	return nil, nil
}
func (discardPeers) RecallLimits(context.Context, Peer, []string) error { return nil }
func (discardPeers) AskLimits(context.Context, Peer, []CustomerAsk) ([]CustomerGrant, error) {
	return nil, nil
}

// BenchmarkVersion measures the event of a new version, by the number of customers. A
// worker compiles the version, which is measured in internal/version.
func BenchmarkVersion(b *testing.B) {
	for _, customers := range []int{63, 210, 630} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			s := benchState(b, 410)
			s.current = benchVersion(b, customers)
			s.config.Peers = discardPeers{}
			s.joinLimits(time.Now())
			s.replicas.vms = benchVMs(12000)
			b.ReportAllocs()
			klog.SetOutput(io.Discard)
			klog.LogToStderr(false)
			b.Cleanup(func() { klog.LogToStderr(true) })
			for b.Loop() {
				s.current.Version.Number = 0
				s.applyVersion(time.Now(), configuration.LoadedVersion{Version: benchNext(s.current.Version)})
			}
		})
	}
}

// benchNext returns a copy of a version with the number 1.
func benchNext(v *version.Version) *version.Version {
	next := *v
	next.Number = 1
	return &next
}
