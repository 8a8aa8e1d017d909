package main

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/platform/platformtest"
)

const (
	// crashText makes the replicas of these tests crash when they begin to run a request
	// whose body contains it.
	crashText = "crash"
	// allowedRetries is how many retries of a request may reach replicas later than
	// contactTime after it has crashed the third.
	allowedRetries = 3
	// copyInterval is the time between two copies of the request.
	copyInterval = 100 * time.Millisecond
)

// crashingRuns returns the runs of requests that crash their replicas, of both services.
func (fleet *testFleet) crashingRuns() (runs []platformtest.Run) {
	for _, replicas := range [][]*platformtest.Replica{fleet.model, fleet.tools} {
		for _, x := range replicas {
			for _, run := range x.Runs() {
				if strings.Contains(run.Body, crashText) {
					runs = append(runs, run)
				}
			}
		}
	}
	return runs
}

// registerRestarts lists every replica with its present start, as it does itself after a
// crash.
func (fleet *testFleet) registerRestarts() {
	for i := range fleet.model {
		fleet.store.Put("servers", fleet.model[i].ID, fleet.model[i].Registration("model", "ready"))
		fleet.store.Put("servers", fleet.tools[i].ID, fleet.tools[i].Registration("tools", "ready"))
	}
}

// sendCopies sends a request through changing VMs for the given time, while other requests
// of its customer go on.
func (fleet *testFleet) sendCopies(d time.Duration, send func(vm int) reply) (statuses []int) {
	var others sync.WaitGroup
	defer others.Wait()
	for i, begun := 0, time.Now(); time.Since(begun) < d; i++ {
		vm := i % len(fleet.vms)
		others.Go(func() { fleet.turn(vm, "sound", "", "sound ") })
		got := send(vm)
		statuses = append(statuses, got.status)
		fleet.registerRestarts()
		time.Sleep(copyInterval)
	}
	return statuses
}

// requireFewRetries checks the bound of the users' pages, and that copies are refused as
// not run at the end.
func (fleet *testFleet) requireFewRetries(send func(vm int) reply, statuses []int) {
	runs := fleet.crashingRuns()
	require.GreaterOrEqual(fleet.t, len(runs), 3)
	times := make([]time.Time, 0, len(runs))
	for _, run := range runs {
		times = append(times, run.At)
	}
	third := nthEarliest(times, 3).Add(crashDelayBound)
	late := 0
	for _, at := range times {
		if at.After(third.Add(contactTime)) {
			late++
		}
	}
	require.LessOrEqual(fleet.t, late, allowedRetries, "retries after the third crash; statuses %v", statuses)
	last := send(0)
	require.Equal(fleet.t, 503, last.status)
	require.Empty(fleet.t, fleet.runs(last.id))
	require.NotEmpty(fleet.t, last.header.Get("Retry-After"))
}

// crashDelayBound is more than the time from the begin of a run to its crash.
const crashDelayBound = 50 * time.Millisecond

// nthEarliest returns the n-th of the times in their order, counted from 1.
func nthEarliest(times []time.Time, n int) time.Time {
	for _, at := range times {
		earlier := 0
		for _, other := range times {
			if other.Before(at) {
				earlier++
			}
		}
		if earlier == n-1 {
			return at
		}
	}
	return time.Time{}
}

// TestTurnThatCrashesReplicasIsQuarantined guards against a turn that crashes one replica
// after the other because each copy of it is taken for a new request.
func TestTurnThatCrashesReplicasIsQuarantined(t *testing.T) {
	fleet := newTestFleet(t, 3)
	fleet.setBehaviour(fleet.model, platformtest.Behaviour{Events: 3, CrashesOn: crashText})
	n := 0
	send := func(vm int) reply {
		n++
		return fleet.turn(vm, string(rune('a'+n%26)), "", "please "+crashText)
	}
	fleet.requireFewRetries(send, fleet.sendCopies(contactTime+2*time.Second, send))
	require.Equal(t, 200, fleet.turn(0, "sound", "", "sound ").status, "another request of the customer")
}

// TestRepeatableRequestThatCrashesReplicasIsQuarantined guards against an idempotent
// request whose crash of one replica makes the VM send it to the next.
func TestRepeatableRequestThatCrashesReplicasIsQuarantined(t *testing.T) {
	fleet := newTestFleet(t, 3)
	fleet.setBehaviour(fleet.tools, platformtest.Behaviour{CrashesOn: crashText})
	send := func(vm int) reply { return fleet.send(vm, "POST", "/read/1", []byte(crashText)) }
	fleet.requireFewRetries(send, fleet.sendCopies(contactTime+2*time.Second, send))
	require.Equal(t, 200, fleet.send(0, "POST", "/read/2", []byte("sound")).status)
}

// TestQuarantineSurvivesARestartOfAllVMs guards against a request that crashes replicas
// again because all VMs were restarted at the same time.
func TestQuarantineSurvivesARestartOfAllVMs(t *testing.T) {
	fleet := newTestFleet(t, 3)
	fleet.setBehaviour(fleet.model, platformtest.Behaviour{Events: 3, CrashesOn: crashText})
	send := func(vm int) reply { return fleet.turn(vm, "p", "", "please "+crashText) }
	statuses := fleet.sendCopies(contactTime, send)
	for _, vm := range fleet.vms {
		vm.stop()
	}
	for _, vm := range fleet.vms {
		require.NoError(t, <-vm.done)
		vm.done <- nil
	}
	stopped := len(fleet.vms)
	for i := range stopped {
		fleet.start(fleet.vms[i].settings.VM)
	}
	fleet.vms = fleet.vms[stopped:]
	for i := range fleet.vms {
		fleet.eventually(func() bool { return fleet.ready(i) })
	}
	fleet.requireFewRetries(send, append(statuses, fleet.sendCopies(2*time.Second, send)...))
}
