package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readInterval is the time for which a reading of the suspended time is reused. A VM
	// that has just resumed notices it after this time at the latest.
	readInterval = 5 * time.Millisecond
	// minSuspension is the difference of the two clocks that is not taken for a
	// suspension, since they are not read at the same moment.
	minSuspension = 20 * time.Millisecond
)

// processStart is the origin of Monotonic.
var processStart = time.Now()

// suspension measures how long the VM was suspended since the start of the process. The
// monotonic clock of the Go runtime does not count that time.
type suspension struct {
	// drift returns by how much the clock that counts suspended time is ahead of the one
	// that does not.
	drift  func() time.Duration
	origin time.Duration // drift at the start of the process
	readAt atomic.Int64  // on the monotonic clock, in nanoseconds since processStart
	total  atomic.Int64  // nanoseconds
}

func newSuspension(drift func() time.Duration) *suspension {
	return &suspension{drift: drift, origin: drift()}
}

var vmSuspension = newSuspension(systemDrift)

// systemDrift reads the two clocks of the system. If either cannot be read, suspended time
// is not counted.
func systemDrift() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}

// at returns the suspended time, read again if the last reading is older than
// readInterval at the monotonic time now.
func (s *suspension) at(now time.Duration) time.Duration {
	if last := s.readAt.Load(); last == 0 || now.Nanoseconds()-last >= readInterval.Nanoseconds() {
		s.readAt.Store(now.Nanoseconds())
		total := s.drift() - s.origin
		if total-time.Duration(s.total.Load()) >= minSuspension {
			s.total.Store(total.Nanoseconds())
		}
	}
	return time.Duration(s.total.Load())
}

// Now returns the current time, with a monotonic reading that also counts the time for
// which the VM was suspended. Ages and deadlines must be computed from it: with time.Now
// a lease, a share of a rate or a confirmation seems valid after a suspension in which it
// has expired. Times of Now must not be compared with those of time.Now.
func Now() time.Time {
	now := time.Now()
	return now.Add(vmSuspension.at(now.Sub(processStart)))
}

// Since returns the time since t, which is a result of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t, which is based on a result of Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Monotonic returns the time since the start of the process, including suspended time. It
// does not depend on changes of the time of day.
func Monotonic() time.Duration { return Now().Sub(processStart) }
