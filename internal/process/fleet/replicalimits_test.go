package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/process/replica"
)

const (
	// limitWindow is the time over which the platform judges a replica's limit. In it, the
	// replica may get one and a half times what the limit allows, and 5 requests.
	limitWindow = 4 * time.Second
	// limitLearningTime is the time after the first answer with a limit from which on the
	// requests of a VM count.
	limitLearningTime = 500 * time.Millisecond
	maxWait           = 300 * time.Millisecond
)

func allowedIn(rate float64) int { return int(1.5*rate*limitWindow.Seconds() + 5) }

// limitFleet is a fleet in virtual time whose replicas answer at once.
type limitFleet struct {
	*rateFleet
	limits   map[string]float64     // by replica
	arrivals map[string][]time.Time // by replica
	refused  int
}

func newLimitFleet(t *testing.T, vms int, limits map[string]float64) *limitFleet {
	f := &limitFleet{rateFleet: newRateFleet(t, vms, 1000), limits: limits, arrivals: map[string][]time.Time{}}
	for _, vm := range f.vms {
		for id := range limits {
			vm.replicas.Register(replica.Registration{ID: id, Endpoint: "m", BatchLimit: 8})
		}
	}
	return f
}

// send sends a request of the endpoint through a VM.
func (f *limitFleet) send(vm int) PickResult {
	s := f.vms[vm].State
	reply := make(chan PickResult, 1)
	Pick{Request: PickRequest{Endpoint: "m", MaxWait: maxWait}, Reply: reply}.Apply(s, f.now)
	picked := <-reply
	if !picked.OK {
		f.refused++
		return picked
	}
	at := f.now
	if !picked.StartAt.IsZero() {
		at = picked.StartAt
	}
	id := picked.Replica.Replica
	f.arrivals[id] = append(f.arrivals[id], at)
	answered := ReplicaAnswered{Replica: id, SentAt: at}
	if rate := f.limits[id]; rate > 0 {
		answered.Limit = &rate
	}
	answered.Apply(s, at)
	EndRequest{Replica: id}.Apply(s, f.now)
	return picked
}

// load sends the given number of requests a second through each VM.
func (f *limitFleet) load(d time.Duration, perVM float64) {
	const step = 20 * time.Millisecond
	due := make([]float64, len(f.vms))
	for end := f.now.Add(d); f.now.Before(end); f.advance(step) {
		for vm := range f.vms {
			for due[vm] += perVM * step.Seconds(); due[vm] >= 1; due[vm]-- {
				f.send(vm)
			}
		}
	}
}

// most returns the largest number of arrivals at a replica in a limitWindow that begins
// after the given time.
func (f *limitFleet) most(id string, after time.Time) int {
	arrivals := slices.SortedFunc(slices.Values(f.arrivals[id]), time.Time.Compare)
	most := 0
	for i, first := range arrivals {
		if first.Before(after) {
			continue
		}
		n := 0
		for i+n < len(arrivals) && arrivals[i+n].Sub(first) < limitWindow {
			n++
		}
		most = max(most, n)
	}
	return most
}

// TestReplicaLimitHoldsAcrossVMs answers this load: all VMs want to send to a replica far
// more than it takes, steadily and after a pause in which their tokens have come together.
// Without shares it got the load of all VMs. Bounds: the rule of the platform, and four
// fifths of the limit are used.
func TestReplicaLimitHoldsAcrossVMs(t *testing.T) {
	for _, c := range []struct {
		vms  int
		rate float64
	}{{1, 5}, {4, 1.1}, {10, 0.3}, {10, 1.1}, {10, 6.8}, {95, 1.1}, {95, 6.3}, {400, 12}} {
		t.Run(fmt.Sprintf("%d VMs %.1f per second", c.vms, c.rate), func(t *testing.T) {
			f := newLimitFleet(t, c.vms, map[string]float64{"a": c.rate})
			told := f.now.Add(limitLearningTime)
			f.load(20*time.Second, 10)
			steady := len(f.arrivals["a"])
			f.advance(12 * time.Second)
			f.load(12*time.Second, 10)
			require.LessOrEqual(t, f.most("a", told), allowedIn(c.rate))
			require.GreaterOrEqual(t, float64(steady), 0.8*c.rate*20)
			require.Positive(t, f.refused)
		})
	}
}

// TestReplicaLimitHoldsWhileVMsJoin guards against a limit that old and new holders use at
// the same time while not all VMs have seen a change of the members.
func TestReplicaLimitHoldsWhileVMsJoin(t *testing.T) {
	const rate = 4.0
	f := newLimitFleet(t, 24, map[string]float64{"a": rate})
	for _, vm := range f.vms {
		readOf(12, 0, 2, f.now).Apply(vm.State, f.now)
	}
	told := f.now.Add(limitLearningTime)
	f.load(8*time.Second, 10)
	for i, vm := range f.vms { // the VMs read the change one after another
		readOf(24, 0, 3, f.now).Apply(vm.State, f.now)
		if i%2 == 0 {
			f.load(100*time.Millisecond, 10)
		}
	}
	f.load(10*time.Second, 10)
	require.LessOrEqual(t, f.most("a", told), allowedIn(rate))
}

// TestReplicaLimitEnds guards against a limit that stays in force after the replica has
// ended it, at the VMs that send it nothing too, and against an end that an older answer
// announces.
func TestReplicaLimitEnds(t *testing.T) {
	f := newLimitFleet(t, 10, map[string]float64{"a": 1.1})
	sent := f.now
	f.advance(10 * time.Millisecond)
	f.load(3*time.Second, 10)
	for _, vm := range f.vms {
		require.Len(t, vm.limits, 1)
	}
	ReplicaAnswered{Replica: "a", SentAt: sent}.Apply(f.vms[0].State, f.now)
	require.Len(t, f.vms[0].limits, 1, "an older answer ended the limit")
	f.limits["a"] = 0
	f.load(4*time.Second, 10)
	for _, vm := range f.vms {
		require.Empty(t, vm.limits)
	}
}

// TestFewVMsSendNotices answers this load: all VMs of a large fleet learn of a limit from
// the replica itself at the same time. Each of them would tell each other one.
func TestFewVMsSendNotices(t *testing.T) {
	f := newLimitFleet(t, 95, map[string]float64{"a": 6})
	for vm := range f.vms {
		f.send(vm)
	}
	for range 100 {
		f.advance(5 * time.Millisecond)
	}
	require.Positive(t, f.notices)
	require.LessOrEqual(t, f.notices, 10*94, "more than ten VMs sent notices")
}

// TestLimitIsForgottenWithoutNews guards against a replica that gets nothing any more from
// a VM that has missed the end of its limit.
func TestLimitIsForgottenWithoutNews(t *testing.T) {
	f := newLimitFleet(t, 2, map[string]float64{"a": 2})
	f.load(time.Second, 10)
	f.lost["vm1"] = true
	f.advance(limitMemory + time.Second)
	require.Empty(t, f.vms[1].limits)
}

// TestUnservableRequestIsRefusedAtOnce guards against a request that waits although no
// replica takes it in time, and against a wait without an end for the caller.
func TestUnservableRequestIsRefusedAtOnce(t *testing.T) {
	f := newLimitFleet(t, 1, map[string]float64{"a": 1})
	f.load(5*time.Second, 10)
	picked := f.send(0)
	require.False(t, picked.OK)
	require.Positive(t, picked.RetryIn)
	require.LessOrEqual(t, picked.RetryIn, time.Second+maxWait, "the next token is reserved at most")
	// A VM with a share that is used up prefers a replica without a limit.
	f.vms[0].replicas.Register(replica.Registration{ID: "b", Endpoint: "m", BatchLimit: 8})
	require.Equal(t, "b", f.send(0).Replica.Replica)
}

// TestVMWithoutAShareRefusesAtOnce guards against a request that waits at a VM that has no
// share of the limits of any replica, although another VM may have one.
func TestVMWithoutAShareRefusesAtOnce(t *testing.T) {
	f := newLimitFleet(t, 10, map[string]float64{"a": 0.1})
	f.load(5*time.Second, 10)
	without := slices.IndexFunc(f.vms, func(vm *fixture) bool { return !vm.limits["a"].holds })
	require.GreaterOrEqual(t, without, 0)
	picked := f.send(without)
	require.False(t, picked.OK)
	require.Equal(t, retryElsewhere, picked.RetryIn)
}

// TestReservationEndsAfterAPause guards against a process that was paused and then uses a
// reserved request in addition to those that it may send by then.
func TestReservationEndsAfterAPause(t *testing.T) {
	picked := PickResult{OK: true, StartAt: start}
	require.False(t, picked.Expired(start.Add(reservationLifetime)))
	require.True(t, picked.Expired(start.Add(reservationLifetime+time.Millisecond)))
}
