package replica

import (
	"slices"
	"strings"
	"time"
)

const (
	// slownessGain is the weight of a new observation in the moving average of a
	// replica's slowness. With 0.2 a replica that becomes slow is detected after about
	// five answers.
	slownessGain = 0.2
	// slownessMin and slownessMax bound one observation, since the work of single
	// requests differs widely.
	slownessMin, slownessMax = 0.3, 5.0
	// serviceTimeGain is the weight of a new observation in the moving average of the
	// service time of an endpoint.
	serviceTimeGain = 0.05
	// reportHalfLives is the number of half-lives of a load report in one service time. At
	// the end of a service time most of the requests that were reported have ended.
	reportHalfLives = 2
	// slownessHalfLife is the half-life of the slowness above 1 without a new
	// observation, so that a replica that was slow gets requests again.
	slownessHalfLife = 4 * time.Second
	// leavingMemory is how long a replica that said that it is leaving is remembered while
	// it is not listed.
	leavingMemory = 5 * time.Minute
	// connectionIdleTimeout is how long an idle connection counts as open; the client
	// keeps it for 9 s.
	connectionIdleTimeout = 8500 * time.Millisecond
)

// Registration is what a replica registers about itself.
type Registration struct {
	// ID identifies the replica. A restart may keep it; StartedMS then differs.
	ID                            string
	Address, Endpoint, DataCentre string
	// BatchLimit is the number of requests that the replica processes at once.
	BatchLimit int
	// StartedMS is when the replica started, in milliseconds of Unix time; 0 if not
	// stated.
	StartedMS int64
	// Leaving says that the replica takes no new work.
	Leaving bool
	// ColdFor is how much longer the replica stays cold from the time of its registration
	// on; 0 if it is not cold.
	ColdFor time.Duration
	// Revision is the revision of the registration in the store.
	Revision uint64
}

type registeredReplica struct {
	Registration
	// removeAt is when a replica that is missing from the list is removed, if the
	// list itself may be at fault; zero while the replica is listed.
	removeAt time.Time
	// misdirectedUntil is the end of the time in which the replica gets no requests
	// because the process at its address answered that it is another replica.
	misdirectedUntil time.Time
	callState
	// slowness is the measured slowness in relation to the reported work time.
	slowness float64
	observed time.Time // last observation of the slowness
	workTime workTimeEstimate
	idle     []time.Time // since when each idle connection is idle, oldest first
}

// Registry holds the replicas that register themselves under an id. Its methods are
// called by one goroutine.
type Registry struct {
	vm      string
	entries map[string]*registeredReplica
	// leaving holds the replicas that said in an answer that they are leaving. It outlives
	// their entries, which may be missing from the list for a while.
	leaving map[string]leavingMark
	// serviceTimes is the smoothed time that a request takes, in seconds, by endpoint.
	serviceTimes map[string]float64
	// prefill estimates the rate at which prompts are computed, by endpoint.
	prefill map[string]*PrefillModel
}

// leavingMark says which start of a replica is leaving.
type leavingMark struct {
	startedMS int64
	at        time.Time
}

// NewRegistry returns the registry of the named VM.
func NewRegistry(vm string) *Registry {
	return &Registry{vm: vm, entries: map[string]*registeredReplica{}, leaving: map[string]leavingMark{}, serviceTimes: map[string]float64{}, prefill: map[string]*PrefillModel{}}
}

// Register adds or updates a replica. The state of a replica that has restarted, or
// that has another address or endpoint, is reset.
func (r *Registry) Register(reg Registration) {
	e := r.entries[reg.ID]
	if e == nil || e.StartedMS != reg.StartedMS || e.Address != reg.Address || e.Endpoint != reg.Endpoint {
		e = &registeredReplica{slowness: 1}
		r.entries[reg.ID] = e
	}
	e.Registration, e.removeAt = reg, time.Time{}
	if mark, ok := r.leaving[reg.ID]; ok {
		if mark.startedMS == reg.StartedMS {
			e.Leaving = true
		} else {
			delete(r.leaving, reg.ID)
		}
	}
}

// MarkLeaving records that a replica said in an answer that it is leaving. It stays so
// until it registers with another start, whatever its registration says. MarkLeaving
// reports whether this is new.
func (r *Registry) MarkLeaving(now time.Time, id string) bool {
	e := r.entries[id]
	if e == nil {
		return false
	}
	_, known := r.leaving[id]
	r.leaving[id] = leavingMark{startedMS: e.StartedMS, at: now}
	e.Leaving = true
	return !known
}

// Remove removes a replica, at once if at is zero, else at that time unless it is
// listed again.
func (r *Registry) Remove(id string, at time.Time) {
	e := r.entries[id]
	switch {
	case e == nil:
	case at.IsZero():
		delete(r.entries, id)
	case e.removeAt.IsZero():
		e.removeAt = at
	}
}

// ReplaceAll applies a complete list. Replicas that are not on it are removed at
// absentAt as by Remove.
func (r *Registry) ReplaceAll(all []Registration, absentAt time.Time) {
	listed := make(map[string]bool, len(all))
	for _, reg := range all {
		listed[reg.ID] = true
		r.Register(reg)
	}
	for id := range r.entries {
		if !listed[id] {
			r.Remove(id, absentAt)
		}
	}
}

// Expire removes the replicas whose removal is due, and returns when the next one is
// due; zero if none is.
func (r *Registry) Expire(now time.Time) (next time.Time) {
	for id, mark := range r.leaving {
		if r.entries[id] == nil && now.Sub(mark.at) > leavingMemory {
			delete(r.leaving, id)
		}
	}
	for id, e := range r.entries {
		if e.removeAt.IsZero() {
			continue
		}
		if !now.Before(e.removeAt) {
			delete(r.entries, id)
			continue
		}
		if next.IsZero() || e.removeAt.Before(next) {
			next = e.removeAt
		}
	}
	return next
}

// Report records a load report of a replica.
func (r *Registry) Report(now time.Time, id string, l Load) {
	if e := r.entries[id]; e != nil {
		e.load.report(now, l)
		e.workTime.report(now.Add(-max(0, l.Age)), l.WorkTime)
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

// pruneIdle drops the connections that have been idle for too long.
func (e *registeredReplica) pruneIdle(now time.Time) {
	n := 0
	for n < len(e.idle) && now.Sub(e.idle[n]) > connectionIdleTimeout {
		n++
	}
	e.idle = append(e.idle[:0], e.idle[n:]...)
}

// End counts the end of a request. ok is false if the replica failed it;
// connectionReusable says that its connection can be reused.
func (r *Registry) End(now time.Time, id string, ok, connectionReusable bool) {
	if e := r.entries[id]; e != nil && e.end(now, r.vm, id, ok) && connectionReusable {
		e.idle = append(e.idle, now)
	}
}

// MarkGone records that a request that is about to End was refused a connection, or that its
// connection broke without an answer. The replica gets no calls from then on until its
// back-off has passed, unless too many replicas of its endpoint fail. MarkGone reports
// whether it gets none.
func (r *Registry) MarkGone(id string) bool {
	e := r.entries[id]
	if e == nil || e.failures.failing() {
		return false
	}
	failing, all := 1, 0
	for _, other := range r.entries {
		if other.Endpoint == e.Endpoint {
			all++
			if other.failures.failing() {
				failing++
			}
		}
	}
	if float64(failing) > maxGoneFraction*float64(all) {
		return false
	}
	e.failures.markGone()
	return true
}

// Suspect begins a back-off of a replica that another VM has found gone, under the same
// condition as MarkGone. It reports whether the replica gets no calls because of it.
func (r *Registry) Suspect(now time.Time, id string) bool {
	if !r.MarkGone(id) {
		return false
	}
	r.entries[id].failures.end(now, r.vm, id, false)
	return true
}

// StartedMS returns when a replica started, in milliseconds of Unix time; 0 if it is not
// registered.
func (r *Registry) StartedMS(id string) int64 {
	if e := r.entries[id]; e != nil {
		return e.StartedMS
	}
	return 0
}

// Cancel takes back a Begin of a request that is not sent.
func (r *Registry) Cancel(now time.Time, id string) {
	if e := r.entries[id]; e != nil && e.load.own > 0 {
		e.load.change(now, -1)
		e.failures.cancel()
	}
}

// ObserveServiceTime records that a request took the given time at a replica, which is
// ratio times the usual time at that replica's load. The ratio changes its slowness.
func (r *Registry) ObserveServiceTime(now time.Time, id string, took time.Duration, ratio float64) {
	if e := r.entries[id]; e != nil {
		usual, known := r.serviceTimes[e.Endpoint]
		if !known {
			usual = took.Seconds()
		}
		r.serviceTimes[e.Endpoint] = usual + serviceTimeGain*(took.Seconds()-usual)
		ratio = min(max(ratio/e.workTime.usual(), slownessMin), slownessMax)
		e.slowness = e.currentSlowness(now)*(1-slownessGain) + ratio*slownessGain
		e.observed = now
	}
}

// ObserveFirstEvent records the time to the first event of an answer to a prompt of which
// the given number of tokens was not cached. It is ignored if the replica's last report
// says that requests wait there, since the time is then mostly a wait.
func (r *Registry) ObserveFirstEvent(id string, uncachedTokens int64, took time.Duration) {
	e := r.entries[id]
	if e == nil || !e.load.reported || e.load.load.Waiting > 0 {
		return
	}
	m := r.prefill[e.Endpoint]
	if m == nil {
		m = &PrefillModel{}
		r.prefill[e.Endpoint] = m
	}
	m.Observe(uncachedTokens, time.Duration(float64(took)/e.workTime.usual()))
}

// PrefillRate returns the estimated rate in tokens/s at which the replicas of an endpoint
// compute prompts when work takes its usual time.
func (r *Registry) PrefillRate(endpoint string) float64 { return r.prefill[endpoint].Rate() }

// currentSlowness returns the slowness at now. A value above 1 decays to 1 with the
// age of the last observation.
func (e *registeredReplica) currentSlowness(now time.Time) float64 {
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

// MarkMisdirected records that the process at the replica's address answered that it is
// another replica. The replica counts as leaving for leavingHold.
func (r *Registry) MarkMisdirected(now time.Time, id string) {
	if e := r.entries[id]; e != nil {
		e.misdirectedUntil = now.Add(leavingHold)
	}
}

// ForgetFailures forgets the failures of all replicas. They say nothing about the replicas
// if this VM could not reach any.
func (r *Registry) ForgetFailures() {
	for _, e := range r.entries {
		e.failures = failureDetector{}
	}
}

// Takes reports whether a replica is registered at an address and may get requests.
func (r *Registry) Takes(now time.Time, id, address string) bool {
	e := r.entries[id]
	return e != nil && e.Address == address && !e.Leaving && !now.Before(e.misdirectedUntil)
}

// DataCentre returns the data centre of a replica; empty if it is not registered.
func (r *Registry) DataCentre(id string) string {
	if e := r.entries[id]; e != nil {
		return e.DataCentre
	}
	return ""
}

// Listed returns whether a replica is registered.
func (r *Registry) Listed(id string) bool { return r.entries[id] != nil }

// Addresses returns the addresses of the replicas that may get requests.
func (r *Registry) Addresses() []string {
	var out []string
	for _, e := range r.entries {
		if !e.Leaving {
			out = append(out, e.Address)
		}
	}
	return out
}

// Count returns the number of registered replicas.
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
	expectInFlight(now, out, time.Duration(r.serviceTimes[endpoint]/reportHalfLives*float64(time.Second)))
	return out
}

func (e *registeredReplica) candidate(now time.Time) Candidate {
	e.pruneIdle(now)
	c := Candidate{
		Replica: e.ID, Address: e.Address, DataCentre: e.DataCentre, StartedMS: e.StartedMS,
		Leaving: e.Leaving || now.Before(e.misdirectedUntil),
		Failing: e.failures.failing(), RetryAt: e.failures.retryAt, Probing: e.failures.probing,
		OwnInFlight: e.load.own, InFlight: e.load.inFlight(), BatchLimit: e.BatchLimit,
		Slowness: e.currentSlowness(now) * e.workTime.at(now), Connected: len(e.idle) > 0,
		UsualSlowness: e.currentSlowness(now) * e.workTime.usual(), ReportsWorkTime: e.workTime.reports > 0,
	}
	if e.load.reported {
		c.reportedAt, c.LoadAge = e.load.measured, now.Sub(e.load.measured)
	}
	return c
}
