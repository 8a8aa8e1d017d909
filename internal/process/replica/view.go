// Package replica holds one VM's view of the replicas: which replicas exist, their
// load, whether they fail, which programs' prefixes they have cached and which
// caches must be released. It sends nothing to replicas and does not choose among them.
// It is used by the control loop only.
package replica

import (
	"slices"
	"strings"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/version"
)

const (
	// absentRetention is how long a replica must be absent from both the configuration
	// and the VM list before its state is dropped. The list lags, so a shorter absence
	// does not prove that the replica is gone.
	absentRetention = 30 * time.Second
	// leavingHold is how long a replica that answered that it is leaving gets no new
	// work while the VM list does not say so yet. It also applies to a replica whose
	// address answered for another replica.
	leavingHold = 30 * time.Second
)

// Candidate is the state of a replica on which placement decides.
type Candidate struct {
	Replica    string // identifies the replica: its address, or its id in a Registry
	Address    string // the address that it listens on, from a Registry only
	DataCentre string // empty for an address of the configuration
	// StartedMS is when the replica started, in milliseconds of Unix time; 0 if not
	// stated. A restart may keep the replica's id.
	StartedMS int64
	// Leaving says that the replica is leaving or drained.
	Leaving bool
	// Failing says that the replica gets no calls until RetryAt. After that, one call
	// at a time may probe it; Probing says that a probe is in flight.
	Failing bool
	RetryAt time.Time
	Probing bool
	// OwnInFlight is the number of this VM's calls in flight, InFlight the estimated
	// number of those of the whole fleet.
	OwnInFlight, InFlight int
	// Expected is InFlight corrected for the age of the load report, from a Registry only.
	Expected float64
	// BatchLimit is the reported batch size; 0 if unknown.
	BatchLimit int
	// MaxConcurrent is the configured bound of concurrent calls for the whole fleet.
	MaxConcurrent int
	// Slowness is the replica's service time relative to the others of its endpoint;
	// 1 is usual, 0 is unknown.
	Slowness float64
	// UsualSlowness is Slowness without the momentary part of the reported work time, and
	// ReportsWorkTime says that the replica reports it; from a Registry only.
	UsualSlowness   float64
	ReportsWorkTime bool
	// Connected says that an idle connection to the replica is probably open.
	Connected bool

	// LoadAge is the age of the load report; 0 without one, from a Registry only.
	LoadAge    time.Duration
	reportedAt time.Time // when the load was measured; zero without a report
}

type viewedReplica struct {
	address, vm, dataCentre, endpoint string

	maxConcurrent int
	leaving       bool      // by the VM list or the configuration
	leavingUntil  time.Time // set when the replica answered that it is leaving
	listed        bool
	lastListed    time.Time
	callState
}

// View is one VM's view of the replicas in the VM list and the configuration. Its
// methods are called by one goroutine.
type View struct {
	vm       string
	replicas map[string]*viewedReplica // by address
	cache    cacheIndex
	releases releaseList
	// byEndpoint is an index of the listed replicas; nil after a change of the list.
	byEndpoint map[string]*endpointReplicas
	// allowed is the restriction of Usable; nil allows all replicas.
	allowed func(replica string, maxConcurrent int) bool
	usable  []Candidate // reused by Usable
}

// endpointReplicas holds the listed replicas of one endpoint, ordered by address.
type endpointReplicas struct{ all, usable []*viewedReplica }

// NewView returns an empty view for the named VM.
func NewView(vm string) *View {
	return &View{vm: vm, replicas: map[string]*viewedReplica{}, cache: newCacheIndex(), releases: newReleaseList()}
}

// Apply updates the view by the platform's VM list and the configuration. It returns
// the addresses of the replicas whose state was dropped, in ascending order.
func (v *View) Apply(now time.Time, vms []platform.VM, ver *version.Version) []string {
	v.byEndpoint = nil
	for _, e := range v.replicas {
		e.listed = false
		e.load.prune(now)
	}
	for _, ep := range ver.Endpoints() {
		for _, address := range ep.Replicas {
			v.list(now, platform.VM{Address: address, State: platform.VMLive}, ep, ver)
		}
	}
	for _, vm := range vms {
		if ep, ok := ver.Endpoint(vm.Endpoint); ok && vm.Endpoint != "" {
			v.list(now, vm, ep, ver)
		}
	}
	return v.dropAbsent(now)
}

// list adds or updates a replica that the VM list or the configuration names.
func (v *View) list(now time.Time, vm platform.VM, ep *version.Endpoint, ver *version.Version) {
	e := v.replicas[vm.Address]
	if e != nil && e.listed && e.endpoint != ep.Name {
		return // one address serves one endpoint; the configuration comes first
	}
	if e != nil && e.endpoint == "" {
		e.endpoint = ep.Name // so far known from a restored release only
	}
	if e == nil || e.endpoint != ep.Name || e.vm != "" && vm.ID != "" && e.vm != vm.ID {
		if e != nil {
			v.drop(vm.Address) // another replica took over the address
		}
		e = &viewedReplica{address: vm.Address, endpoint: ep.Name}
		v.replicas[vm.Address] = e
	}
	if !e.listed {
		e.leaving = false
	}
	if vm.ID != "" {
		e.vm, e.dataCentre = vm.ID, vm.DataCentre
	}
	e.leaving = e.leaving || vm.State == platform.VMLeaving || ep.Drained ||
		ver.VMDrained(vm.Address) || vm.ID != "" && ver.VMDrained(vm.ID)
	e.maxConcurrent = ep.MaxConcurrent
	e.listed, e.lastListed = true, now
	if !now.Before(e.leavingUntil) {
		e.leavingUntil = time.Time{}
	}
}

// dropAbsent drops the replicas that are not listed, have no calls of this VM in
// flight and were last listed absentRetention ago or earlier.
func (v *View) dropAbsent(now time.Time) []string {
	var dropped []string
	for address, e := range v.replicas {
		if !e.listed && e.load.own == 0 && now.Sub(e.lastListed) >= absentRetention {
			dropped = append(dropped, address)
		}
	}
	slices.Sort(dropped)
	for _, address := range dropped {
		v.drop(address)
	}
	return dropped
}

func (v *View) drop(address string) {
	delete(v.replicas, address)
	v.cache.dropReplica(address)
	v.releases.dropReplica(address)
}

// Report records a load report of a replica.
func (v *View) Report(now time.Time, replica string, l Load) {
	if e := v.replicas[replica]; e != nil {
		e.load.report(now, l)
	}
}

// Begin counts a call that is about to be sent.
func (v *View) Begin(now time.Time, replica string) {
	if e := v.replicas[replica]; e != nil {
		e.begin(now)
	}
}

// End counts the end of a call; ok is false if the replica failed it. A call to a
// replica whose state was dropped during the call is ignored.
func (v *View) End(now time.Time, replica string, ok bool) {
	if e := v.replicas[replica]; e != nil {
		e.end(now, v.vm, replica, ok)
	}
}

// MarkLeaving records that a replica refused a call because it is leaving, and
// drops its cached prefixes, so that runs lose their affinity to it.
func (v *View) MarkLeaving(now time.Time, replica string) {
	if e := v.replicas[replica]; e != nil {
		e.leavingUntil = now.Add(leavingHold)
		v.cache.dropReplica(replica)
	}
}

// Candidates returns the listed replicas of an endpoint, ordered by address.
func (v *View) Candidates(endpoint string) []Candidate {
	return appendCandidates(nil, v.replicasOf(endpoint).all)
}

// Count returns the number of listed replicas of an endpoint.
func (v *View) Count(endpoint string) int { return len(v.replicasOf(endpoint).all) }

// Restrict sets which replicas Usable returns. At 410 VMs a VM's share of a replica's
// concurrency bound is below one call, so the VM never uses most replicas, and
// placement need not examine them for each call.
func (v *View) Restrict(allowed func(replica string, maxConcurrent int) bool) {
	v.allowed, v.byEndpoint = allowed, nil
}

// Usable returns the replicas of an endpoint that Restrict allows, ordered by address.
// The slice is valid until the next call of Usable.
func (v *View) Usable(endpoint string) []Candidate {
	v.usable = appendCandidates(v.usable[:0], v.replicasOf(endpoint).usable)
	return v.usable
}

func appendCandidates(out []Candidate, entries []*viewedReplica) []Candidate {
	out = slices.Grow(out, len(entries))
	for _, e := range entries {
		out = append(out, e.candidate())
	}
	return out
}

// replicasOf returns the listed replicas of an endpoint from the index. It builds the
// index if the list has changed.
func (v *View) replicasOf(endpoint string) *endpointReplicas {
	if v.byEndpoint == nil {
		v.index()
	}
	if group := v.byEndpoint[endpoint]; group != nil {
		return group
	}
	return &endpointReplicas{}
}

func (v *View) index() {
	v.byEndpoint = map[string]*endpointReplicas{}
	for _, e := range v.replicas {
		if !e.listed {
			continue
		}
		group := v.byEndpoint[e.endpoint]
		if group == nil {
			group = &endpointReplicas{}
			v.byEndpoint[e.endpoint] = group
		}
		group.all = append(group.all, e)
	}
	for _, group := range v.byEndpoint {
		slices.SortFunc(group.all, func(a, b *viewedReplica) int { return strings.Compare(a.address, b.address) })
		for _, e := range group.all {
			if v.allowed == nil || v.allowed(e.address, e.maxConcurrent) {
				group.usable = append(group.usable, e)
			}
		}
	}
}

func (e *viewedReplica) candidate() Candidate {
	return Candidate{
		Replica: e.address, DataCentre: e.dataCentre,
		Leaving: e.leaving || !e.leavingUntil.IsZero(),
		Failing: e.failures.failing(), RetryAt: e.failures.retryAt, Probing: e.failures.probing,
		OwnInFlight: e.load.own, InFlight: e.load.inFlight(), BatchLimit: e.load.load.BatchLimit,
		MaxConcurrent: e.maxConcurrent,
	}
}
