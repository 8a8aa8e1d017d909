package quarantine

import "time"

// Notice is news about one fingerprint, as VMs send it to each other and keep it in the
// store. Times are given by their age, since clocks are not compared between VMs.
type Notice struct {
	Fingerprint Fingerprint `msgpack:"f"`
	// Crash is a crash that the sender has seen; nil if the notice is about something else.
	Crash *CrashNotice `msgpack:"c,omitempty"`
	// MinBodies is as for Quarantine.Crashed.
	MinBodies int `msgpack:"n,omitempty"`
	// Succeeded is set if a run has ended well, since the block of Level if that is not 0.
	Succeeded bool `msgpack:"s,omitempty"`
	// Level is the number of blocks so far; Left is the time until the end of the last one,
	// TrialLeft until that of the trial after it.
	Level     int           `msgpack:"l,omitempty"`
	Left      time.Duration `msgpack:"t,omitempty"`
	TrialLeft time.Duration `msgpack:"r,omitempty"`
}

// CrashNotice is a Crash with ages in place of times.
type CrashNotice struct {
	Replica   string        `msgpack:"r"`
	StartedMS int64         `msgpack:"s,omitempty"`
	Body      Fingerprint   `msgpack:"b"`
	BegunAge  time.Duration `msgpack:"g"`
	Age       time.Duration `msgpack:"a"`
}

// Notice returns the notice of a crash that this VM has seen. minBodies is as for
// Quarantine.Crashed.
func (c Crash) Notice(now time.Time, f Fingerprint, minBodies int) Notice {
	return Notice{Fingerprint: f, MinBodies: minBodies, Crash: &CrashNotice{
		Replica: c.Replica, StartedMS: c.StartedMS, Body: c.Body, BegunAge: now.Sub(c.Begun), Age: now.Sub(c.At),
	}}
}

// State returns the notice of the present state of a fingerprint that is or was blocked.
func (q *Quarantine) State(now time.Time, f Fingerprint) Notice {
	n := Notice{Fingerprint: f}
	if r := q.records[f]; r != nil {
		n.Level, n.Succeeded = r.level, r.cleared
		n.Left, n.TrialLeft = max(0, r.until.Sub(now)), max(0, r.trialUntil.Sub(now))
	}
	return n
}

// Blocks returns the states of the fingerprints that are or were blocked and for which
// keep returns true. own says whether this VM has begun the block.
func (q *Quarantine) Blocks(now time.Time, keep func(f Fingerprint, own bool) bool) []Notice {
	var out []Notice
	for _, f := range q.sortedBlocks() {
		if keep(f, q.records[f].own) {
			out = append(out, q.State(now, f))
		}
	}
	return out
}

// Merge applies a notice of another VM. It reports whether the state has changed. News of
// an earlier block is ignored, so that the end of a block does not move with each exchange.
func (q *Quarantine) Merge(now time.Time, n Notice) bool {
	if n.Level < 0 || n.Left < 0 || n.TrialLeft < 0 || n.Left > maxBlock || n.TrialLeft > trialTimeout {
		return false
	}
	if c := n.Crash; c != nil {
		if c.Age < 0 || c.BegunAge < c.Age {
			return false
		}
		counted, began := q.Crashed(now, n.Fingerprint, Crash{
			Replica: c.Replica, StartedMS: c.StartedMS, Body: c.Body, Begun: now.Add(-c.BegunAge), At: now.Add(-c.Age),
		}, n.MinBodies)
		if began {
			q.records[n.Fingerprint].own = false
		}
		return counted
	}
	if n.Level > 0 {
		return q.mergeBlock(now, n)
	}
	if r := q.records[n.Fingerprint]; !n.Succeeded || r == nil || r.blocked() {
		return false
	}
	changed, _ := q.Succeeded(now, n.Fingerprint)
	return changed
}

// mergeBlock applies the news of a block.
func (q *Quarantine) mergeBlock(now time.Time, n Notice) bool {
	r := q.record(now, n.Fingerprint)
	if r == nil || n.Level < r.level {
		return false
	}
	changed := false
	if n.Level > r.level {
		r.block(now, n.Level, n.Left)
		changed = true
	}
	if n.Succeeded && !r.cleared {
		r.clear(now)
		changed = true
	}
	if until := now.Add(n.TrialLeft); n.TrialLeft > 0 && r.blocked() && r.trialUntil.Before(now) {
		r.trialUntil, changed = until, true
	}
	return changed
}
