package replica

import (
	"strconv"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/version/hashing"
)

const (
	// failuresToBackOff is the number of consecutive failures after which a
	// replica gets no calls. One or two can be the fault of single requests.
	failuresToBackOff = 3
	firstBackOff      = time.Second
	maxBackOff        = 30 * time.Second
	// Jitter in [0.75, 1.25) keeps a doubled back-off longer than the one before
	// and spreads the probes of the VMs.
	jitterLow, jitterSpan = 0.75, 0.5
)

// traffic is what a VM knows of a replica from its own calls and the load reports.
type traffic struct {
	load     loadTracker
	failures detector
}

// begin counts a call that is about to be sent.
func (t *traffic) begin(now time.Time) {
	t.load.change(now, +1)
	t.failures.begin(now)
}

// end counts the end of a call; false if none is known to run, as after the replica
// was dropped meanwhile.
func (t *traffic) end(now time.Time, vm, replica string, ok bool) bool {
	if t.load.own == 0 {
		return false
	}
	t.load.change(now, -1)
	t.failures.end(now, vm, replica, ok)
	return true
}

// detector finds a failing replica from the ends of its calls.
type detector struct {
	consecutive int
	backOffs    int // consecutive back-offs; 0 means not failing
	retryAt     time.Time
	probing     bool
}

func (d *detector) failing() bool { return d.backOffs > 0 }

// begin marks the first call after the back-off as the probe.
func (d *detector) begin(now time.Time) {
	if d.failing() && !now.Before(d.retryAt) {
		d.probing = true
	}
}

// end counts the end of a call. A failure during the back-off belongs to a call
// that began before it, so it does not lengthen the back-off.
func (d *detector) end(now time.Time, vm, replica string, ok bool) {
	if ok {
		*d = detector{}
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

// backOff returns the back-off after n earlier ones.
func backOff(n int, vm, replica string) time.Duration {
	b := maxBackOff
	if n < 5 { // 2^5 s is above the maximum
		b = firstBackOff << n
	}
	jitter := jitterLow + jitterSpan*hashing.Fraction("back-off", vm, replica, strconv.Itoa(n))
	return time.Duration(float64(b) * jitter)
}
