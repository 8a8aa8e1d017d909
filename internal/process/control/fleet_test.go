package control_test

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"hornbeamvale.example/hornbeamvale/internal/process/control"
	"hornbeamvale.example/hornbeamvale/internal/process/member"
	"hornbeamvale.example/hornbeamvale/internal/process/ownership"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/platform/platformtest"
	"hornbeamvale.example/hornbeamvale/internal/process/program"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

const (
	// maxViolations bounds the violations that a failed test prints.
	maxViolations = 10

	leaseTTL = 2 * time.Second
	pollTime = 200 * time.Millisecond
)

func init() {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
}

// link is one member's connection to the platform. It delays calls, loses answers and
// can be cut.
type link struct {
	*platformtest.Fake
	mu  sync.Mutex
	rng *rand.Rand
	cut bool
	// lose is the probability that the answer to a commit or put is lost. late is the
	// probability that a commit is applied only after its caller got an error.
	lose, late float64
}

const (
	// stopTime is longer than a handover of all slots takes, even if the first answers
	// are lost.
	stopTime  = 20 * time.Second
	maxDelay  = 30 * time.Millisecond
	lateDelay = 500 * time.Millisecond
)

func (l *link) set(cut bool, lose, late float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.lose, l.late = cut, lose, late
}

// transit waits for the network delay and returns what happens to the call.
func (l *link) transit(write bool) (cut, lost, late bool) {
	l.mu.Lock()
	delay := time.Duration(l.rng.Int63n(int64(maxDelay)))
	draw, lose, lateness := l.rng.Float64(), l.lose, l.late
	l.mu.Unlock()
	time.Sleep(delay)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut, write && draw < lose, write && draw >= lose && draw < lose+lateness
}

func linkError(op string, kind platform.ErrorKind) error {
	return &platform.Error{Kind: kind, Op: op, Err: context.DeadlineExceeded}
}

func (l *link) Commit(ctx context.Context, tx platform.Tx) (platform.TxResult, error) {
	cut, lost, late := l.transit(true)
	switch {
	case cut:
		return platform.TxResult{}, linkError("commit", platform.OutcomeUnknown)
	case late:
		go func() {
			time.Sleep(lateDelay)
			_, _ = l.Fake.Commit(context.WithoutCancel(ctx), tx)
		}()
		return platform.TxResult{}, linkError("commit", platform.OutcomeUnknown)
	}
	result, err := l.Fake.Commit(ctx, tx)
	if lost {
		return platform.TxResult{}, linkError("commit", platform.OutcomeUnknown)
	}
	return result, err
}

func (l *link) Read(ctx context.Context, r platform.Read) (platform.ReadResult, error) {
	if cut, _, _ := l.transit(false); cut {
		return platform.ReadResult{}, linkError("read", platform.NotApplied)
	}
	result, err := l.Fake.Read(ctx, r)
	if cut, _, _ := l.transit(false); cut { // the way back, so the answer is older than its arrival
		return platform.ReadResult{}, linkError("read", platform.NotApplied)
	}
	return result, err
}

func (l *link) PutObject(ctx context.Context, key string, body []byte) error {
	cut, lost, _ := l.transit(true)
	if cut {
		return linkError("put", platform.OutcomeUnknown)
	}
	err := l.Fake.PutObject(ctx, key, body)
	if lost {
		return linkError("put", platform.OutcomeUnknown)
	}
	return err
}

// vm is one process of the fleet.
type vm struct {
	name string
	loop *control.Loop
	link *link
	stop context.CancelFunc
	done chan struct{}

	mu          sync.Mutex
	pausedUntil time.Time
	// dead is closed when the process is killed.
	dead chan struct{}
}

// pauseLoop is an event that blocks the control thread, as a pause of the process does.
type pauseLoop struct{ d time.Duration }

func (e pauseLoop) Apply(*control.State, time.Time) { time.Sleep(e.d) }

// pause suspends a process: its control thread and its traffic.
func (v *vm) pause(d time.Duration) {
	v.mu.Lock()
	v.pausedUntil = time.Now().Add(d)
	v.mu.Unlock()
	_ = v.loop.Post(context.Background(), pauseLoop{d})
}

// resume waits until the process is not paused. It returns false if the process was
// killed.
func (v *vm) resume() bool {
	v.mu.Lock()
	until := v.pausedUntil
	v.mu.Unlock()
	select {
	case <-v.dead:
		return false
	case <-time.After(time.Until(until)):
		return true
	}
}

// fleet is a set of processes on one platform, with a record of what their callers saw.
type fleet struct {
	t        *testing.T
	rng      *rand.Rand
	platform *platformtest.Fake

	mu         sync.Mutex
	vms        []*vm
	ids        int
	dispatches map[string]int          // of non-idempotent calls, by turn
	open       map[string]map[*vm]bool // processes with a dispatched turn, by run
	acks       map[string]string       // answers, by turn
	// mergedCalls holds the service calls whose answers were dropped by a merge.
	mergedCalls map[string]struct{}
	violations  []string
	stats       map[string]int
}

func newFleet(t *testing.T, seed int64) *fleet {
	return &fleet{
		t: t, rng: rand.New(rand.NewSource(seed)), platform: platformtest.New(), dispatches: map[string]int{},
		open: map[string]map[*vm]bool{}, acks: map[string]string{}, mergedCalls: map[string]struct{}{}, stats: map[string]int{},
	}
}

// start adds and starts a process.
func (f *fleet) start() *vm {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ids++
	v := &vm{name: fmt.Sprintf("vm%d", f.ids), done: make(chan struct{}), dead: make(chan struct{})}
	v.link = &link{Fake: f.platform, rng: rand.New(rand.NewSource(f.rng.Int63()))}
	incarnation := 0
	v.loop = control.NewLoop(control.Config{
		Info:        member.Info{VM: v.name},
		NewMemberID: func() string { incarnation++; return fmt.Sprintf("%s.%d", v.name, incarnation) },
		Platform:    v.link, LeaseTTL: leaseTTL, SeatTTL: time.Minute, PollInterval: pollTime,
		FreshnessBound: 3 * time.Second, WritesPerSecond: 100,
	})
	var ctx context.Context
	ctx, v.stop = context.WithCancel(context.Background())
	go func() { defer close(v.done); v.loop.Run(ctx) }()
	f.vms = append(f.vms, v)
	return v
}

// kill stops a process abruptly and removes it from the fleet.
func (f *fleet) kill(v *vm) {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(v.dead)
	v.stop()
	for i := range f.vms {
		if f.vms[i] == v {
			f.vms = append(f.vms[:i:i], f.vms[i+1:]...)
			return
		}
	}
}

// shutDown stops a process gracefully, which must not interrupt a turn.
func (f *fleet) shutDown(v *vm) {
	done := make(chan struct{})
	if v.loop.Post(context.Background(), control.Stop{Done: done}) != nil {
		return
	}
	select {
	case <-done:
		f.count("stops")
	case <-time.After(stopTime):
		f.count("stops cut short")
	}
	f.kill(v)
}

// randomVM returns one of the running processes.
func (f *fleet) randomVM() *vm {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[f.rng.Intn(len(f.vms))]
}

func (f *fleet) chance(p float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64() < p
}

func (f *fleet) between(a, b time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return a + time.Duration(f.rng.Int63n(int64(b-a)))
}

// count adds one to a statistic.
func (f *fleet) count(what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stats[what]++
}

// recordViolation records a violation of an invariant. f.mu must be locked.
func (f *fleet) recordViolation(format string, args ...any) {
	if len(f.violations) == maxViolations {
		return
	}
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// ask posts an event to a process and waits for its answer. ok is false if none came.
func ask[T any](v *vm, e control.Event, reply <-chan T) (answer T, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	if v.loop.Post(ctx, e) != nil {
		return answer, false
	}
	select {
	case answer = <-reply:
		return answer, true
	case <-v.dead:
	case <-ctx.Done():
	}
	return answer, false
}

// caller sends the turns of one run in order and repeats each until it is answered.
func (f *fleet) caller(ctx context.Context, run string) {
	key := program.Key{Customer: "windward", Run: run}
	for turn := uint64(1); ctx.Err() == nil; turn++ {
		kind := program.ModelTurn
		if f.chance(0.5) {
			kind = program.NonIdempotentCall
		}
		for ctx.Err() == nil && !f.attempt(key, kind, turn) {
			time.Sleep(f.between(10*time.Millisecond, 200*time.Millisecond))
		}
	}
}

// attempt sends a turn to the owner that a random process knows. It returns whether the
// turn has ended.
func (f *fleet) attempt(key program.Key, kind program.Kind, turn uint64) (ended bool) {
	v := f.randomVM()
	owner, known := v.loop.Snapshot().Owner(key.Slot())
	for _, other := range f.members() {
		if known && other.loop.Snapshot().Self == owner.ID {
			v = other
		}
	}
	reply := make(chan program.Decision, 1)
	d, ok := ask(v, control.BeginTurn{Reply: reply, Request: program.TurnRequest{
		Key: key, Kind: kind, Turn: turn, RequestID: fmt.Sprintf("%s-%d", key.Run, turn), Digest: program.Digest{byte(turn)},
		Deadline: time.Now().Add(time.Second),
	}}, reply)
	name := fmt.Sprintf("%s#%d", key.Run, turn)
	switch {
	case !ok:
		done := make(chan struct{})
		if _, answered := ask(v, control.CancelTurnWait{Key: key, Reply: reply, Done: done}, done); !answered {
			return false
		}
		select {
		case d = <-reply:
			if d.Verdict == program.Dispatch || d.Verdict == program.DispatchAfterCommit {
				go f.run(v, key, kind, d, name) // granted before the cancellation took effect
			}
		default:
		}
		return false
	case d.Verdict == program.Refuse && d.Refusal.Run == refusal.Unknown:
		f.settle(v, key, name, turn)
		return false
	case d.Verdict == program.Refuse:
		f.count(string(d.Refusal.Code))
		return d.Refusal.Run == refusal.Ran
	case d.Verdict == program.Replay:
		f.count("replays")
		return f.replayed(d, name)
	}
	return f.run(v, key, kind, d, name)
}

func (f *fleet) members() []*vm {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*vm(nil), f.vms...)
}

// mayAct is the check that traffic goroutines make before a dispatch.
func mayAct(v *vm, d program.Decision) bool {
	return v.loop.Snapshot().MayDispatch(time.Now(), d.Key.Slot(), d.Owner)
}

// run executes a granted turn and returns whether it was answered.
func (f *fleet) run(v *vm, key program.Key, kind program.Kind, d program.Decision, name string) bool {
	d.Key = key
	time.Sleep(f.between(0, 300*time.Millisecond)) // simulates the wait for a replica
	if !v.resume() {
		return false
	}
	if !f.dispatch(v, d, kind, name) {
		reply := make(chan *refusal.Refusal, 1)
		ask(v, control.AbortTurn{Key: key, Turn: d.Turn, Waiter: d.Waiter, State: refusal.NotRun, Reply: reply}, reply)
		return false
	}
	time.Sleep(f.between(0, 800*time.Millisecond))
	if !v.resume() {
		return false
	}
	body := fmt.Sprintf("%s by %s %d\n", name, v.name, d.Waiter)
	result := program.Result{Body: []byte(body), Merged: f.mergeSegments(d.Merge)}
	reply := make(chan control.FinishResult, 1)
	end, ok := ask(v, control.FinishTurn{Key: key, Turn: d.Turn, Waiter: d.Waiter, Result: result, Reply: reply}, reply)
	f.mu.Lock()
	delete(f.open[key.Run], v)
	f.mu.Unlock()
	if !ok || end.Refusal != nil {
		return false
	}
	return f.ack(name, body)
}

// dispatch checks and dispatches a turn at one instant of virtual time, so that no pause
// lies between the two. It records a violation if another process may also act then.
func (f *fleet) dispatch(v *vm, d program.Decision, kind program.Kind, name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !mayAct(v, d) {
		return false
	}
	f.stats["dispatches"]++
	for other := range f.open[d.Key.Run] {
		if other != v && other.loop.Snapshot().MayDispatch(time.Now(), d.Key.Slot(), other.loop.Snapshot().Self) {
			f.recordViolation("%v: %s and %s may both act for %s", time.Now(), v.name, other.name, name)
		}
	}
	if f.open[d.Key.Run] == nil {
		f.open[d.Key.Run] = map[*vm]bool{}
	}
	f.open[d.Key.Run][v] = true
	if kind == program.NonIdempotentCall {
		f.dispatches[name]++
		if f.dispatches[name] > 1 {
			f.recordViolation("%s was dispatched %d times", name, f.dispatches[name])
		}
	}
	return true
}

// settle settles a call with an unknown outcome according to what really happened.
func (f *fleet) settle(v *vm, key program.Key, name string, turn uint64) {
	f.mu.Lock()
	outcome := refusal.NotRun
	if f.dispatches[name] > 0 {
		outcome = refusal.Ran
	}
	f.stats["settled "+string(outcome)]++
	f.mu.Unlock()
	reply := make(chan *refusal.Refusal, 1)
	ask(v, control.SettleCall{Key: key, RequestID: fmt.Sprintf("%s-%d", key.Run, turn), Outcome: outcome, Reply: reply}, reply)
}

// ack records the answer to a turn. All answers to one turn must be equal.
func (f *fleet) ack(name, body string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stats["turns"]++
	if before, ok := f.acks[name]; ok && before != body {
		f.recordViolation("%s was answered %q and %q", name, before, body)
	}
	f.acks[name] = body
	return true
}

// replayed records the replayed answer to a turn and returns whether it could be read.
func (f *fleet) replayed(d program.Decision, name string) bool {
	body := f.read(d.Segments[0])
	return body != "" && f.ack(name, body)
}

// injectFaults injects random faults until ctx ends and then removes them.
func (f *fleet) injectFaults(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(f.between(300*time.Millisecond, 3*time.Second))
		v := f.randomVM()
		switch f.between(0, 7) {
		case 0:
			f.count("pauses")
			v.pause(f.between(100*time.Millisecond, 8*time.Second))
		case 1:
			f.count("cuts")
			v.link.set(true, 0, 0)
			time.Sleep(f.between(100*time.Millisecond, 6*time.Second))
			v.link.set(false, 0, 0)
		case 2:
			v.link.set(false, 0.3, 0.2)
		case 3:
			v.link.set(false, 0, 0)
		case 4:
			f.count("outages")
			f.platform.SetOutage(true)
			time.Sleep(f.between(100*time.Millisecond, 4*time.Second))
			f.platform.SetOutage(false)
		case 5:
			f.count("deaths")
			f.kill(v)
			f.start()
		case 6:
			f.start()
			f.shutDown(v)
		}
	}
	f.platform.SetOutage(false)
	for _, v := range f.members() {
		v.link.set(false, 0, 0)
	}
}

// read returns the stored body of a segment, or "" if it cannot be read.
func (f *fleet) read(s program.Segment) string {
	object, err := f.platform.GetObject(context.Background(), s.Body.Object)
	if err != nil {
		return ""
	}
	return string(object[s.Body.Offset : s.Body.Offset+s.Body.Length])
}

// mergeSegments merges segments as a turn does. It records the calls whose answers it
// drops.
func (f *fleet) mergeSegments(segments []program.Segment) []byte {
	if len(segments) == 0 {
		return nil
	}
	joined := []byte{}
	for _, s := range segments {
		body := f.read(s)
		if body == "" && s.Body.Length > 0 {
			return nil // the platform is unavailable; a later turn merges
		}
		if s.Kind == program.ModelTurn {
			joined = append(joined, body...)
			continue
		}
		name, _, _ := strings.Cut(body, " ")
		f.mu.Lock()
		f.mergedCalls[name] = struct{}{}
		f.mu.Unlock()
	}
	f.count("merges")
	return joined
}

// checkStored requires that every answered turn is stored exactly once in the platform.
func (f *fleet) checkStored(runs []string) {
	for _, run := range runs {
		key := program.Key{Customer: "windward", Run: run}
		read, err := f.platform.Read(context.Background(), platform.Read{Gets: []platform.Key{key.RowKey()}})
		require.NoError(f.t, err)
		record, err := program.DecodeRecord(read.Rows[0])
		require.NoError(f.t, err)
		var stored string
		for _, s := range record.Segments {
			stored += f.read(s)
		}
		for name, body := range f.acks {
			_, merged := f.mergedCalls[name]
			if strings.HasPrefix(name, run+"#") && !merged {
				require.Equal(f.t, 1, strings.Count(stored, body), "the answered turn %s is not stored exactly once", name)
			}
		}
	}
}

// checkOwnership requires that each slot has exactly one owner with a valid lease and
// that the slots are distributed evenly.
func (f *fleet) checkOwnership() {
	vms := f.members()
	owned := map[string]int{}
	for slot := range ownership.Slot(ownership.SlotCount) {
		var serving []string
		for _, v := range vms {
			s := v.loop.Snapshot()
			if owner, ok := s.Owner(slot); ok && owner.ID == s.Self && s.LeaseValid(time.Now()) {
				serving = append(serving, v.name)
			}
		}
		require.Len(f.t, serving, 1, "owners of slot %d", slot)
		owned[serving[0]]++
	}
	high := (ownership.SlotCount + len(vms) - 1) / len(vms)
	for name, n := range owned {
		require.LessOrEqual(f.t, n, high, "%s owns too many slots", name)
	}
}

// TestFleet guards against two members that act for one slot, calls that run twice,
// answered turns that are lost or differ, and a fleet that does not recover. In virtual
// time, processes pause, die, lose answers and lose the platform. The seed determines the
// faults; the Go scheduler decides the order of events at the same instant.
func TestFleet(t *testing.T) {
	for seed := range int64(3) {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runFleet(t, seed) })
		})
	}
}

func runFleet(t *testing.T, seed int64) {
	const (
		processes = 4
		faultTime = 30 * time.Second
		recovery  = 10 * time.Second
	)
	f := newFleet(t, seed)
	for range processes {
		f.start()
	}
	runs := make([]string, 10)
	calling, stopCallers := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i := range runs {
		runs[i] = fmt.Sprintf("booking:%d", i)
		callers.Go(func() { f.caller(calling, runs[i]) })
	}
	faulty, endFaults := context.WithTimeout(context.Background(), faultTime)
	defer endFaults()
	f.injectFaults(faulty)
	time.Sleep(recovery)
	f.mu.Lock()
	before := len(f.acks)
	f.mu.Unlock()
	time.Sleep(recovery)
	stopCallers()
	callers.Wait()
	f.checkOwnership()
	for _, v := range f.members() {
		f.kill(v)
		<-v.done
	}
	t.Log(f.stats)
	require.Empty(t, f.violations)
	require.Greater(t, len(f.acks), before, "no turn was answered after the recovery")
	f.checkStored(runs)
}
