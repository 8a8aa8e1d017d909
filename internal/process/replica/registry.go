package replica

import (
	"slices"
	"strings"
	"time"
)

const (
	// slownessGain is the weight of a new observation of a replica's service time.
	// With 0.2 a replica that turns slow is seen after about five answers.
	slownessGain = 0.2
	// slownessMin and slownessMax bound one observation, since the work of single
	// requests differs much.
	slownessMin, slownessMax = 0.3, 5.0
	// slownessHalfLife is how fast an observation loses weight, so that a replica
	// that was slow gets requests again.
	slownessHalfLife = 4 * time.Second
	// connectionIdle is how long an idle connection counts as open; the client keeps
	// it for 9 s.
	connectionIdle = 8500 * time.Millisecond
)

// Listing is a replica as it registers itself.
type Listing struct {
	// ID names one replica; a restart may keep it, and then Born differs.
	ID                            string
	Address, Endpoint, DataCentre string
	// Slots is the number of requests that it works on at once.
	Slots int
	// Born is when it started, in milliseconds of Unix time; 0 if not stated.
	Born int64
	// Leaving says that it takes no new work.
	Leaving bool
}

type registered struct {
	Listing
	// lapsesAt ends the use of a replica whose listing has disappeared for a reason
	// that may lie in the list; zero while it is listed.
	lapsesAt time.Time
	refuses  time.Time // it answered that it is not the named replica until then
	traffic
	slowness float64
	observed time.Time
	idle     []time.Time // since when the idle connections are idle, oldest first
}

// Registry holds the replicas that register themselves under an id. Its methods are
// called by one goroutine.
type Registry struct {
	vm      string
	entries map[string]*registered
}

// NewRegistry returns the registry of the named VM.
func NewRegistry(vm string) *Registry {
	return &Registry{vm: vm, entries: map[string]*registered{}}
}

// List takes a replica's listing. A replica that has started again or has moved
// begins anew.
func (r *Registry) List(l Listing) {
	e := r.entries[l.ID]
	if e == nil || e.Born != l.Born || e.Address != l.Address || e.Endpoint != l.Endpoint {
		e = &registered{slowness: 1}
		r.entries[l.ID] = e
	}
	e.Listing, e.lapsesAt = l, time.Time{}
}

// Remove takes a replica off the list, at once or, while its listing may come back,
// at the given time.
func (r *Registry) Remove(id string, at time.Time) {
	e := r.entries[id]
	switch {
	case e == nil:
	case at.IsZero():
		delete(r.entries, id)
	case e.lapsesAt.IsZero():
		e.lapsesAt = at
	}
}

// Replace takes a whole list. Replicas that are not on it are removed as by Remove.
func (r *Registry) Replace(all []Listing, absentAt time.Time) {
	listed := make(map[string]bool, len(all))
	for _, l := range all {
		listed[l.ID] = true
		r.List(l)
	}
	for id := range r.entries {
		if !listed[id] {
			r.Remove(id, absentAt)
		}
	}
}

// Expire drops the replicas whose listing has not come back, and returns when the
// next one is due; zero if none is.
func (r *Registry) Expire(now time.Time) (next time.Time) {
	for id, e := range r.entries {
		if e.lapsesAt.IsZero() {
			continue
		}
		if !now.Before(e.lapsesAt) {
			delete(r.entries, id)
			continue
		}
		if next.IsZero() || e.lapsesAt.Before(next) {
			next = e.lapsesAt
		}
	}
	return next
}

// Report takes a load report.
func (r *Registry) Report(now time.Time, id string, l Load) {
	if e := r.entries[id]; e != nil {
		e.load.report(now, l)
	}
}

// Begin counts a request that is about to be sent.
func (r *Registry) Begin(now time.Time, id string) {
	if e := r.entries[id]; e != nil {
		e.begin(now)
		e.pruneIdle(now)
		if n := len(e.idle); n > 0 {
			e.idle = e.idle[:n-1]
		}
	}
}

// pruneIdle forgets connections that have been idle for too long.
func (e *registered) pruneIdle(now time.Time) {
	n := 0
	for n < len(e.idle) && now.Sub(e.idle[n]) > connectionIdle {
		n++
	}
	e.idle = append(e.idle[:0], e.idle[n:]...)
}

// End counts the end of a request; ok is false if the replica failed it, and kept
// says that its connection may be used again.
func (r *Registry) End(now time.Time, id string, ok, kept bool) {
	if e := r.entries[id]; e != nil && e.end(now, r.vm, id, ok) && kept {
		e.idle = append(e.idle, now)
	}
}

// Observe takes the service time of a request relative to what is usual.
func (r *Registry) Observe(now time.Time, id string, ratio float64) {
	if e := r.entries[id]; e != nil {
		ratio = min(max(ratio, slownessMin), slownessMax)
		e.slowness = e.current(now)*(1-slownessGain) + ratio*slownessGain
		e.observed = now
	}
}

// current returns the slowness, which approaches 1 with the age of the last
// observation.
func (e *registered) current(now time.Time) float64 {
	age := now.Sub(e.observed)
	if e.slowness <= 1 || e.observed.IsZero() {
		return e.slowness
	}
	weight := 1.0
	for ; age > slownessHalfLife && weight > 0.05; age -= slownessHalfLife {
		weight /= 2
	}
	return 1 + (e.slowness-1)*weight
}

// NotHere takes the answer that another replica has this one's address.
func (r *Registry) NotHere(now time.Time, id string) {
	if e := r.entries[id]; e != nil {
		e.refuses = now.Add(leavingHold)
	}
}

// Count returns the number of replicas on the list.
func (r *Registry) Count() int { return len(r.entries) }

// Candidates returns the replicas of an endpoint, ordered by id.
func (r *Registry) Candidates(now time.Time, endpoint string) []Candidate {
	var out []Candidate
	for _, e := range r.entries {
		if e.Endpoint == endpoint {
			out = append(out, e.candidate(now))
		}
	}
	slices.SortFunc(out, func(a, b Candidate) int { return strings.Compare(a.Replica, b.Replica) })
	return out
}

func (e *registered) candidate(now time.Time) Candidate {
	e.pruneIdle(now)
	return Candidate{
		Replica: e.ID, Address: e.Address, DataCentre: e.DataCentre,
		Leaving: e.Leaving || now.Before(e.refuses),
		Failing: e.failures.failing(), RetryAt: e.failures.retryAt, Probing: e.failures.probing,
		Own: e.load.own, InFlight: e.load.inFlight(), Slots: e.Slots,
		Slowness: e.current(now), Connected: len(e.idle) > 0,
	}
}
