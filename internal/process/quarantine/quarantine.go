package quarantine

import (
	"cmp"
	"slices"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
)

const (
	// crashesToBlock is the number of replicas that have to break off a request, one after
	// the other, before it is blocked. One or two may have crashed for another reason.
	crashesToBlock = 3
	// crashMemory is how long a crash counts.
	crashMemory = 10 * time.Minute
	// firstBlock is the duration of the first block. Each further one lasts blockGrowth
	// times as long as the one before. After a block one request is tried; once maxTrials
	// of them have crashed their replicas, blocks last maxBlock.
	firstBlock  = time.Minute
	blockGrowth = 10
	maxTrials   = 3
	maxBlock    = 24 * time.Hour
	// trialMemory is how long after the end of a block a request is tried before it is
	// treated as any other.
	trialMemory = 24 * time.Hour
	// trialTimeout bounds the time in which a trial has to end before another one begins.
	trialTimeout = time.Minute
	// clearedMemory is how long the end of a block is remembered, so that a VM that has not
	// learned of it does not bring the block back.
	clearedMemory = time.Minute
	// maxRecords bounds the memory.
	maxRecords = 4096
)

// Crash is a run of a request that ended with a broken connection.
type Crash struct {
	// Replica and StartedMS name the replica and its start.
	Replica   string
	StartedMS int64
	// Body is the fingerprint of the request with its body.
	Body Fingerprint
	// Begun is when the request was sent to the replica, At when the connection broke.
	Begun, At time.Time
}

// record is what is known about the requests of one fingerprint.
type record struct {
	// crashes are the crashes since the last run that ended well. Each run began after the
	// crash before it, at another start of a replica.
	crashes []Crash
	// level counts the blocks; 0 for a fingerprint that was never blocked.
	level int
	until time.Time // end of the block
	// cleared is set if a run has ended well since the block began.
	cleared    bool
	trialUntil time.Time // a trial is under way until then; zero without one
	changed    time.Time
	own        bool // this VM has begun the block
}

// blocked reports whether the record keeps requests from replicas or on trial.
func (r *record) blocked() bool { return r.level > 0 && !r.cleared }

// Quarantine is the state of all suspected and blocked requests. One goroutine uses it.
type Quarantine struct {
	records map[Fingerprint]*record
}

// New returns an empty quarantine.
func New() *Quarantine { return &Quarantine{records: map[Fingerprint]*record{}} }

// Empty reports whether nothing is known of any request.
func (q *Quarantine) Empty() bool { return len(q.records) == 0 }

// Crashed records a crash under a fingerprint. minBodies is the number of different bodies
// that have to be among the crashes before the fingerprint is blocked. It reports whether
// the crash was counted, and whether it began a block.
func (q *Quarantine) Crashed(now time.Time, f Fingerprint, c Crash, minBodies int) (counted, began bool) {
	r := q.record(now, f)
	if r == nil || r.blocked() && now.Before(r.until) {
		return false, false
	}
	r.forget(now)
	if n := len(r.crashes); n > 0 && !c.Begun.After(r.crashes[n-1].At) {
		return false, false // it ran beside the last one
	}
	if slices.ContainsFunc(r.crashes, func(k Crash) bool { return k.Replica == c.Replica && k.StartedMS == c.StartedMS }) {
		return false, false
	}
	r.crashes, r.changed = append(r.crashes, c), now
	needed := crashesToBlock
	if r.blocked() {
		needed = 1 // on trial
	}
	if len(r.crashes) < needed || !r.blocked() && bodies(r.crashes) < minBodies {
		return true, false
	}
	r.block(now, r.level+1, blockDuration(r.level+1))
	r.own = true
	return true, true
}

// bodies returns the number of different bodies.
func bodies(crashes []Crash) int {
	seen := map[Fingerprint]bool{}
	for _, c := range crashes {
		seen[c.Body] = true
	}
	return len(seen)
}

// forget drops the crashes that are too old.
func (r *record) forget(now time.Time) {
	r.crashes = slices.DeleteFunc(r.crashes, func(c Crash) bool { return now.Sub(c.At) > crashMemory })
}

func (r *record) block(now time.Time, level int, left time.Duration) {
	*r = record{level: level, until: now.Add(left), changed: now}
}

// blockDuration returns the duration of the n-th block, counted from 1.
func blockDuration(n int) time.Duration {
	if n > maxTrials {
		return maxBlock
	}
	d := firstBlock
	for ; n > 1; n-- {
		d *= blockGrowth
	}
	return d
}

// Succeeded records that a run of a fingerprint has ended well. It reports whether that
// changes anything, and whether it ends a block.
func (q *Quarantine) Succeeded(now time.Time, f Fingerprint) (changed, ended bool) {
	r := q.records[f]
	if r == nil || len(r.crashes) == 0 && !r.blocked() {
		return false, false
	}
	ended = r.blocked()
	r.clear(now)
	return true, ended
}

func (r *record) clear(now time.Time) {
	r.crashes, r.cleared, r.trialUntil, r.changed = nil, r.level > 0, time.Time{}, now
}

// BeginTrial reports whether a request of a fingerprint may be sent to a replica now: if
// it is not blocked, or as the trial after its block.
func (q *Quarantine) BeginTrial(now time.Time, f Fingerprint) bool {
	r := q.records[f]
	if r == nil || !r.blocked() {
		return true
	}
	if now.Before(r.until) || now.Before(r.trialUntil) {
		return false
	}
	r.trialUntil, r.changed = now.Add(trialTimeout), now
	return true
}

// record returns the record of a fingerprint and makes one if there is none. It returns nil
// if the memory is full of blocks.
func (q *Quarantine) record(now time.Time, f Fingerprint) *record {
	if r := q.records[f]; r != nil {
		return r
	}
	if len(q.records) >= maxRecords && !q.evict() {
		return nil
	}
	r := &record{changed: now}
	q.records[f] = r
	return r
}

// evict drops the record that was not blocked and has not changed for the longest time.
func (q *Quarantine) evict() bool {
	var oldest Fingerprint
	var found *record
	for f, r := range q.records {
		if !r.blocked() && (found == nil || r.changed.Before(found.changed)) {
			oldest, found = f, r
		}
	}
	delete(q.records, oldest)
	return found != nil
}

// Expire drops what is too old and returns when it has to be called next; zero if nothing
// is kept.
func (q *Quarantine) Expire(now time.Time) (next time.Time) {
	for f, r := range q.records {
		end := r.changed.Add(crashMemory)
		switch {
		case r.blocked():
			end = r.until.Add(trialMemory)
		case r.cleared && len(r.crashes) == 0:
			end = r.changed.Add(clearedMemory)
		}
		if !now.Before(end) {
			delete(q.records, f)
			continue
		}
		next = clock.Earlier(next, end)
	}
	return next
}

// View is what traffic sees of a quarantine. It is immutable; nil is an empty one.
type View struct {
	suspected map[Fingerprint]bool
	blocks    map[Fingerprint]blockView
}

type blockView struct{ until, trialUntil time.Time }

// View returns the present view; nil if nothing is suspected.
func (q *Quarantine) View() *View {
	if len(q.records) == 0 {
		return nil
	}
	v := &View{suspected: map[Fingerprint]bool{}, blocks: map[Fingerprint]blockView{}}
	for f, r := range q.records {
		v.suspected[f] = r.blocked() || len(r.crashes) > 0
		if r.blocked() {
			v.blocks[f] = blockView{r.until, r.trialUntil}
		}
	}
	return v
}

// Empty reports whether no request is suspected.
func (v *View) Empty() bool { return v == nil }

// Suspected reports whether a run of a fingerprint that ends well has to be recorded.
func (v *View) Suspected(f Fingerprint) bool { return v != nil && v.suspected[f] }

// Verdict says whether a request may be sent to a replica.
type Verdict uint8

// The verdicts.
const (
	// Free means that nothing is held against the request.
	Free Verdict = iota
	// Blocked means that the request must not be sent.
	Blocked
	// OnTrial means that one request of the fingerprint may be sent, see BeginTrial.
	OnTrial
)

// Check returns the verdict on a request with the given fingerprints. left is the time
// until a blocked one may be tried.
func (v *View) Check(now time.Time, fingerprints ...Fingerprint) (verdict Verdict, left time.Duration) {
	if v == nil {
		return Free, 0
	}
	for _, f := range fingerprints {
		b, ok := v.blocks[f]
		if !ok {
			continue
		}
		verdict = max(verdict, OnTrial)
		left = max(left, b.until.Sub(now), b.trialUntil.Sub(now))
	}
	if left > 0 {
		return Blocked, left
	}
	return verdict, 0
}

// Blocks returns the number of fingerprints that are blocked or on trial.
func (v *View) Blocks() int {
	if v == nil {
		return 0
	}
	return len(v.blocks)
}

// sortedBlocks returns the fingerprints of blocks and ended blocks, in a fixed order.
func (q *Quarantine) sortedBlocks() []Fingerprint {
	var out []Fingerprint
	for f, r := range q.records {
		if r.level > 0 {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b Fingerprint) int { return cmp.Compare(string(a[:]), string(b[:])) })
	return out
}
