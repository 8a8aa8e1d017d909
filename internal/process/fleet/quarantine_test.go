package fleet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"hornbeamvale.example/hornbeamvale/internal/process/quarantine"
)

var noticeMutex sync.Mutex

// NotifyQuarantine implements PeerClient.
func (f *rateFleet) NotifyQuarantine(_ context.Context, to Member, notices []quarantine.Notice) error {
	noticeMutex.Lock()
	defer noticeMutex.Unlock()
	if f.lost[to.VM] {
		return errNoAnswer
	}
	for _, vm := range f.vms {
		if vm.config.Self.VM == to.VM {
			QuarantineNoticed{Notices: notices}.Apply(vm.State, f.now)
		}
	}
	return nil
}

func printsOf(body string) RequestPrints {
	return RequestPrints{
		Body: quarantine.FingerprintOf("c", "/p", "", []byte(body)),
		Path: quarantine.PathFingerprintOf("c", "/p", ""),
	}
}

// crash makes a VM see a crash at a new start of a replica.
func (f *rateFleet) crash(vm, n int, prints RequestPrints, hasOutput bool) {
	s := f.vms[vm].State
	RunCrashed{
		Prints: prints, HasOutput: hasOutput, Done: make(chan struct{}),
		Crash: quarantine.Crash{Replica: fmt.Sprint("r", n), Body: prints.Body, Begun: f.now.Add(-50 * time.Millisecond), At: f.now},
	}.Apply(s, f.now)
	s.Step(f.now)
}

func (f *rateFleet) verdict(vm int, prints RequestPrints) quarantine.Verdict {
	verdict, _ := f.vms[vm].quarantine.View().Check(f.now, prints.Body, prints.Path)
	return verdict
}

// TestCrashesSeenByDifferentVMsAddUp guards against a request that is blocked nowhere
// because each VM has seen only one of its crashes.
func TestCrashesSeenByDifferentVMsAddUp(t *testing.T) {
	f := newRateFleet(t, 10, 1000)
	bad := printsOf("bad")
	for i := range 3 {
		require.Equal(t, quarantine.Free, f.verdict(9, bad))
		f.crash(i, i, bad, false)
		f.advance(100 * time.Millisecond)
	}
	for vm := range f.vms {
		require.Equal(t, quarantine.Blocked, f.verdict(vm, bad), "vm %d", vm)
		require.Equal(t, quarantine.Free, f.verdict(vm, printsOf("another")))
	}
}

// TestVariantsOfARequestAreBlockedTogether guards against a request that comes with and
// without a part of its body, each of which crashes replicas anew.
func TestVariantsOfARequestAreBlockedTogether(t *testing.T) {
	f := newRateFleet(t, 2, 1000)
	for i, body := range []string{"shared part and question", "question", "question"} {
		f.crash(0, i, printsOf(body), false)
		f.advance(100 * time.Millisecond)
	}
	require.Equal(t, quarantine.Blocked, f.verdict(1, printsOf("a third form")))
}

// TestRequestsThatRanForAWhileDoNotBlockTheirPath guards against a customer whose path is
// blocked because its requests were at replicas that crashed for another reason.
func TestRequestsThatRanForAWhileDoNotBlockTheirPath(t *testing.T) {
	f := newRateFleet(t, 2, 1000)
	for i, body := range []string{"one", "two", "three", "four"} {
		f.crash(0, i, printsOf(body), true)
		f.advance(100 * time.Millisecond)
	}
	require.Equal(t, quarantine.Free, f.verdict(1, printsOf("five")))
}

// TestSuccessAtAnotherVMEndsSuspicion guards against a request that is blocked although it
// runs well elsewhere.
func TestSuccessAtAnotherVMEndsSuspicion(t *testing.T) {
	f := newRateFleet(t, 3, 1000)
	prints := printsOf("x")
	for i := range 6 {
		f.crash(0, i, prints, false)
		f.advance(100 * time.Millisecond)
		if i%2 == 1 {
			require.True(t, f.vms[1].quarantine.View().Suspected(prints.Body))
			RunSucceeded{prints}.Apply(f.vms[1].State, f.now)
			f.vms[1].Step(f.now)
		}
	}
	require.Equal(t, quarantine.Free, f.verdict(0, prints))
}

// TestBlocksPassThroughMemberRows guards against a request that crashes replicas again
// because a VM was not reached by the notices, or has been restarted.
func TestBlocksPassThroughMemberRows(t *testing.T) {
	f := newRateFleet(t, 10, 1000)
	f.lost["vm9"] = true
	bad := printsOf("bad")
	for i := range 3 {
		f.crash(0, i, bad, false)
		f.advance(100 * time.Millisecond)
	}
	require.Equal(t, quarantine.Free, f.verdict(9, bad))
	rows, keepers := []quarantine.Notice{}, 0
	for vm := range f.vms {
		reply := make(chan []quarantine.Notice, 1)
		memberRowBlocks{reply}.Apply(f.vms[vm].State, f.now)
		kept := <-reply
		if rows = append(rows, kept...); len(kept) > 0 {
			keepers++
		}
	}
	require.GreaterOrEqual(t, keepers, 2, "the block is kept by too few")
	require.LessOrEqual(t, keepers, quarantineKeepers+1, "the block is kept by too many")
	data, err := msgpack.Marshal(memberRow{Member: member(0), Blocks: rows})
	require.NoError(t, err)
	var row memberRow
	require.NoError(t, msgpack.Unmarshal(data, &row))
	require.Equal(t, memberRow{Member: member(0), Blocks: rows}, row)
	var plain Member
	require.NoError(t, msgpack.Unmarshal(data, &plain), "as read by a process of an earlier version")
	require.Equal(t, member(0), plain)

	done := make(chan struct{})
	quarantineRead{row.Blocks, done}.Apply(f.vms[9].State, f.now)
	require.Equal(t, quarantine.Blocked, f.verdict(9, bad))
}

// TestOneVMTriesABlockedRequest guards against a trial at each VM when a block ends.
func TestOneVMTriesABlockedRequest(t *testing.T) {
	f := newRateFleet(t, 10, 1000)
	bad := printsOf("bad")
	for i := range 3 {
		f.crash(i, i, bad, false)
		f.advance(100 * time.Millisecond)
	}
	f.now = f.now.Add(2 * time.Minute)
	trials := 0
	for vm := range f.vms {
		reply := make(chan bool, 1)
		BeginTrial{Prints: bad, Reply: reply}.Apply(f.vms[vm].State, f.now)
		f.vms[vm].Step(f.now)
		if <-reply {
			trials++
		}
	}
	require.Equal(t, 1, trials)
	f.crash(4, 9, bad, false)
	for vm := range f.vms {
		require.Equal(t, quarantine.Blocked, f.verdict(vm, bad), "after a trial that crashed its replica")
	}
}
