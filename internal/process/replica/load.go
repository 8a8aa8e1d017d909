package replica

import "time"

// maxReportAge is the maximum age of a load report in use. It also bounds the list
// of own changes, which at the target load (71 requests/s per VM) then holds about
// 1,400 entries for all replicas together.
const maxReportAge = 10 * time.Second

// Load is a load report of a replica.
type Load struct {
	// Running and Waiting count the requests of the whole fleet at the replica.
	Running, Waiting int
	// BatchLimit is the maximum number of requests in the batch; 0 if not reported.
	BatchLimit int
	// WorkTime is how long work takes at the moment, as a multiple of the usual time; 0 if
	// not reported. It changes when other processes use the replica's machine.
	WorkTime float64 `msgpack:",omitempty"`
	// Age is the time between the measurement and the receipt of the report.
	Age time.Duration
}

// change is the begin (+1) or the end (-1) of one of this VM's calls.
type change struct {
	at    time.Time
	delta int
}

// loadTracker estimates a replica's load: the last report, corrected by the begins
// and ends of this VM's calls since its measurement.
type loadTracker struct {
	own      int // this VM's calls in flight
	reported bool
	load     Load
	measured time.Time
	changes  []change // those after measured, oldest first
}

// change counts the begin or the end of a call.
func (t *loadTracker) change(now time.Time, delta int) {
	t.own += delta
	t.prune(now)
	t.changes = append(t.changes, change{now, delta})
}

// prune drops a report that is too old, and the changes that neither the current
// report nor a later one can need.
func (t *loadTracker) prune(now time.Time) {
	oldest := now.Add(-maxReportAge)
	if t.reported && t.measured.Before(oldest) {
		t.reported = false
	}
	if t.reported {
		oldest = t.measured
	}
	n := 0
	for n < len(t.changes) && !t.changes[n].at.After(oldest) {
		n++
	}
	t.changes = append(t.changes[:0], t.changes[n:]...)
}

// report records a load report. One that was measured before the current one, or that
// is too old, is ignored.
func (t *loadTracker) report(now time.Time, l Load) {
	measured := now.Add(-max(0, l.Age))
	if l.Age <= maxReportAge && (!t.reported || !measured.Before(t.measured)) {
		t.reported, t.load, t.measured = true, l, measured
	}
	t.prune(now)
}

// inFlight estimates the number of requests of the whole fleet at the replica. This
// VM's own calls are a lower bound, and the only information without a report.
func (t *loadTracker) inFlight() int {
	if !t.reported {
		return t.own
	}
	n := t.load.Running + t.load.Waiting
	for _, c := range t.changes {
		n += c.delta
	}
	return max(n, t.own)
}
