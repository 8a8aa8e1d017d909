package replica

import (
	"strconv"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/version/hashing"
)

const (
	// failuresToBackOff is the number of consecutive failures after which a replica
	// gets no calls. One or two failures can be caused by the requests themselves.
	failuresToBackOff = 3
	firstBackOff      = time.Second
	maxBackOff        = 30 * time.Second
	// maxGoneFraction bounds the replicas of an endpoint that get no calls after a single
	// failure. If more fail at the same time, the fault may be on the way to them.
	maxGoneFraction = 0.5
	// Jitter in [0.75, 1.25) keeps a doubled back-off longer than the previous one
	// and spreads the probes of the VMs.
	jitterMin, jitterRange = 0.75, 0.5
)

// callState is what a VM knows about a replica from its own calls and the load
// reports.
type callState struct {
	load     loadTracker
	failures failureDetector
}

// begin counts a call that is about to be sent.
func (s *callState) begin(now time.Time) {
	s.load.change(now, +1)
	s.failures.begin(now)
}

// end counts the end of a call. It returns false if no call is in flight, which
// happens if the state of the replica was dropped during the call.
func (s *callState) end(now time.Time, vm, replica string, ok bool) bool {
	if s.load.own == 0 {
		return false
	}
	s.load.change(now, -1)
	s.failures.end(now, vm, replica, ok)
	return true
}

// failureDetector detects a failing replica by the results of its calls.
type failureDetector struct {
	consecutive int
	backOffs    int // consecutive back-offs; 0 means not failing
	retryAt     time.Time
	probing     bool
	// gone is set if nothing answered at the replica's address. A call that began before
	// may still end well, and says nothing about calls that begin now.
	gone bool
}

func (d *failureDetector) failing() bool { return d.backOffs > 0 }

// begin marks the first call after the back-off as the probe.
func (d *failureDetector) begin(now time.Time) {
	if d.failing() && !now.Before(d.retryAt) {
		d.probing = true
	}
}

// cancel takes back the begin of a call that is not sent. If it was to be the probe,
// another call may be.
func (d *failureDetector) cancel() { d.probing = false }

// end counts the end of a call. A failure during the back-off is that of a call that
// began earlier, so it does not lengthen the back-off.
func (d *failureDetector) end(now time.Time, vm, replica string, ok bool) {
	if ok {
		if !d.gone || d.probing {
			*d = failureDetector{}
		}
		return
	}
	d.consecutive++
	if d.failing() && !d.probing || d.consecutive < failuresToBackOff {
		return
	}
	d.probing = false
	d.retryAt = now.Add(backOff(d.backOffs, vm, replica))
	d.backOffs++
}

// markGone makes the failure that is about to be counted begin a back-off.
func (d *failureDetector) markGone() {
	d.gone = true
	d.consecutive = max(d.consecutive, failuresToBackOff-1)
}

// backOff returns the duration of the back-off that follows n consecutive ones.
func backOff(n int, vm, replica string) time.Duration {
	b := maxBackOff
	if n < 5 { // 2^5 s is above the maximum
		b = firstBackOff << n
	}
	jitter := jitterMin + jitterRange*hashing.Fraction("back-off", vm, replica, strconv.Itoa(n))
	return time.Duration(float64(b) * jitter)
}
