package control_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/process/control"
	"hornbeamvale.example/hornbeamvale/internal/process/journal"
	"hornbeamvale.example/hornbeamvale/internal/process/member"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/program"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// joinTime is long enough for a process to join and claim all slots.
const joinTime = 10 * time.Second

// withSingleVM runs a test function on a fleet of one VM that owns all slots.
func withSingleVM(t *testing.T, run func(f *fleet, v *vm)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		v := f.start()
		time.Sleep(joinTime)
		run(f, v)
		f.kill(v)
		<-v.done
	})
}

// beginTurn posts a BeginTurn and returns its decision.
func beginTurn(t *testing.T, v *vm, key program.Key, kind program.Kind, turn uint64) program.Decision {
	reply := make(chan program.Decision, 1)
	d, ok := ask(v, control.BeginTurn{Reply: reply, Request: program.TurnRequest{
		Key: key, Kind: kind, Turn: turn, RequestID: "k", Deadline: time.Now().Add(time.Second),
	}}, reply)
	require.True(t, ok, "BeginTurn got no answer")
	return d
}

var bookingKey = program.Key{Customer: "windward", Run: "booking:1"}

// TestAnswerThatDoesNotFitEndsTheTurn guards against a program that accepts no further
// turns after an answer that was too large for the journal's queue.
func TestAnswerThatDoesNotFitEndsTheTurn(t *testing.T) {
	withSingleVM(t, func(f *fleet, v *vm) {
		d := beginTurn(t, v, bookingKey, program.ModelTurn, 1)
		require.Nil(t, d.Refusal)
		reply := make(chan control.FinishResult, 1)
		end, ok := ask(v, control.FinishTurn{
			Key: bookingKey, Turn: 1, Waiter: d.Waiter, Reply: reply,
			Result: program.Result{Body: make([]byte, journal.MaxPendingBytes+1)},
		}, reply)
		require.True(t, ok)
		require.Equal(t, refusal.Unknown, end.Refusal.Run)
		d = beginTurn(t, v, bookingKey, program.ModelTurn, 1)
		require.Nil(t, d.Refusal, "the repeated turn was refused")
	})
}

// TestGrantEndsWithItsMembership guards against a dispatch under a later membership. If
// the process loses its lease after the grant, another member may settle the call, and a
// new lease of the same process does not make the old grant valid.
func TestGrantEndsWithItsMembership(t *testing.T) {
	withSingleVM(t, func(f *fleet, v *vm) {
		d := beginTurn(t, v, bookingKey, program.NonIdempotentCall, 1)
		require.Nil(t, d.Refusal)
		require.True(t, mayAct(v, d))
		old := v.loop.Snapshot().Self
		_, err := f.platform.Commit(context.Background(), platform.Tx{Writes: []platform.Write{
			{Key: member.LeaseKey(old), Delete: true}, {Key: member.Key(old), Delete: true},
		}})
		require.NoError(t, err)
		time.Sleep(joinTime)
		require.NotEqual(t, old, v.loop.Snapshot().Self)
		require.True(t, v.loop.Snapshot().LeaseValid(time.Now()))
		require.False(t, mayAct(v, d))
		again := beginTurn(t, v, bookingKey, program.NonIdempotentCall, 1)
		require.Equal(t, refusal.Unknown, again.Refusal.Run)
	})
}

// TestGracefulShutdown guards against a graceful shutdown that interrupts a turn or does
// not finish while callers keep sending turns.
func TestGracefulShutdown(t *testing.T) {
	for seed := range int64(4) {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runGracefulShutdown(t, seed) })
		})
	}
}

func runGracefulShutdown(t *testing.T, seed int64) {
	f := newFleet(t, seed)
	for range 3 {
		f.start()
	}
	calling, stopCallers := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i := range 10 {
		callers.Go(func() { f.caller(calling, fmt.Sprintf("booking:%d", i)) })
	}
	time.Sleep(joinTime)
	v := f.randomVM()
	if seed%2 == 1 {
		v.link.set(false, 0.3, 0.2)
	}
	began := time.Now()
	f.shutDown(v)
	t.Log("graceful shutdown took", time.Since(began))
	time.Sleep(joinTime)
	stopCallers()
	callers.Wait()
	f.checkOwnership()
	for _, v := range f.members() {
		f.kill(v)
		<-v.done
	}
	require.Empty(t, f.violations)
	require.Equal(t, 1, f.stats["stops"], "the shutdown did not finish within %v", stopTime)
	require.Zero(t, f.stats["settled ran"]+f.stats["settled not_run"], "a turn was interrupted")
}

// TestShutdownOfAll guards against members that stop at the same time and hand their
// slots to one another.
func TestShutdownOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		for range 3 {
			f.start()
		}
		time.Sleep(joinTime)
		var stops sync.WaitGroup
		for _, v := range f.members() {
			stops.Go(func() { f.shutDown(v) })
		}
		stops.Wait()
		require.Equal(t, 3, f.stats["stops"], "%v", f.stats)
		f.start()
		time.Sleep(joinTime)
		f.checkOwnership()
		for _, v := range f.members() {
			f.kill(v)
			<-v.done
		}
	})
}
