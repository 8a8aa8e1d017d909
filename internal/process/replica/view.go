// Package replica is one VM's view of the replicas: which there are, their load,
// whether they fail, which programs' prefixes they have cached and which caches
// must be released. It is used by the control loop only.
package replica

import (
	"slices"
	"strings"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/version"
)

const (
	// goneAfter is how long a replica must be absent from the configuration and
	// the VM list before its state is dropped. The list lags, so a shorter
	// absence proves nothing.
	goneAfter = 30 * time.Second
	// leavingHold is how long a replica that answered "leaving" gets no new work
	// while the VM list does not say so yet.
	leavingHold = 30 * time.Second
)

// Candidate is a replica as placement sees it.
type Candidate struct {
	Replica    string // identifies the replica: its address, or its id in a Registry
	Address    string // where it listens, from a Registry only
	DataCentre string // empty for an address of the configuration
	// Leaving says that the replica leaves or is drained.
	Leaving bool
	// Failing says that the replica backs off until RetryAt; then one call at a
	// time may probe it, and Probing says that one does.
	Failing bool
	RetryAt time.Time
	Probing bool
	// Own counts the calls of this VM in flight, InFlight estimates those of the
	// whole fleet.
	Own, InFlight int
	// Slots is the reported batch size; 0 if unknown.
	Slots int
	// MaxConcurrent is the configured bound for the whole fleet.
	MaxConcurrent int
	// Slowness is the replica's service time relative to the others of its endpoint;
	// 1 is usual, 0 is unknown.
	Slowness float64
	// Connected says that an idle connection to the replica is probably open.
	Connected bool
}

type entry struct {
	address, vm, dataCentre, endpoint string

	maxConcurrent int
	leaving       bool // by the VM list or the configuration
	leavingUntil  time.Time
	listed        bool
	lastListed    time.Time
	traffic
}

// View is the view of one VM. Its methods are called by one goroutine.
type View struct {
	vm       string
	replicas map[string]*entry
	cache    cacheIndex
	releases releaseList
	// byEndpoint is an index of the listed replicas; nil after a change of the list.
	byEndpoint map[string]*listing
	may        func(replica string, maxConcurrent int) bool
	usable     []Candidate // reused by Usable
}

// listing holds the listed replicas of one endpoint, ordered by address.
type listing struct{ all, usable []*entry }

// NewView returns an empty view of the named VM.
func NewView(vm string) *View {
	return &View{vm: vm, replicas: map[string]*entry{}, cache: newCacheIndex(), releases: newReleaseList()}
}

// Apply takes the platform's list and the configuration. It returns the
// addresses whose state was dropped.
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

func (v *View) list(now time.Time, vm platform.VM, ep *version.Endpoint, ver *version.Version) {
	e := v.replicas[vm.Address]
	if e != nil && e.listed && e.endpoint != ep.Name {
		return // one address serves one endpoint; the configuration comes first
	}
	if e != nil && e.endpoint == "" {
		e.endpoint = ep.Name // known only from a restored release list so far
	}
	if e == nil || e.endpoint != ep.Name || e.vm != "" && vm.ID != "" && e.vm != vm.ID {
		if e != nil {
			v.drop(vm.Address) // another replica took over the address
		}
		e = &entry{address: vm.Address, endpoint: ep.Name}
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

func (v *View) dropAbsent(now time.Time) []string {
	var dropped []string
	for address, e := range v.replicas {
		if !e.listed && e.load.own == 0 && now.Sub(e.lastListed) >= goneAfter {
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

// Report takes a load report.
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

// End counts the end of a call; ok is false if the replica failed it. A call to
// a replica that was dropped meanwhile is ignored.
func (v *View) End(now time.Time, replica string, ok bool) {
	if e := v.replicas[replica]; e != nil {
		e.end(now, v.vm, replica, ok)
	}
}

// RefusedLeaving takes a replica's answer that it is leaving and drops its affinity.
func (v *View) RefusedLeaving(now time.Time, replica string) {
	if e := v.replicas[replica]; e != nil {
		e.leavingUntil = now.Add(leavingHold)
		v.cache.dropReplica(replica)
	}
}

// Candidates returns the listed replicas of an endpoint, ordered by address.
func (v *View) Candidates(endpoint string) []Candidate {
	return appendCandidates(nil, v.listing(endpoint).all)
}

// Count returns the number of listed replicas of an endpoint.
func (v *View) Count(endpoint string) int { return len(v.listing(endpoint).all) }

// Restrict sets which replicas Usable returns. At 410 VMs a VM's part of a replica's
// concurrency bound is below one call, so most replicas are never usable by it, and
// the choice for a call need not look at them.
func (v *View) Restrict(may func(replica string, maxConcurrent int) bool) {
	v.may, v.byEndpoint = may, nil
}

// Usable returns the candidates that Restrict allows, ordered by address. They are
// valid until the next call.
func (v *View) Usable(endpoint string) []Candidate {
	v.usable = appendCandidates(v.usable[:0], v.listing(endpoint).usable)
	return v.usable
}

func appendCandidates(out []Candidate, entries []*entry) []Candidate {
	out = slices.Grow(out, len(entries))
	for _, e := range entries {
		out = append(out, e.candidate())
	}
	return out
}

// listing returns the replicas of an endpoint from the index, which it builds after
// a change.
func (v *View) listing(endpoint string) *listing {
	if v.byEndpoint == nil {
		v.index()
	}
	if l := v.byEndpoint[endpoint]; l != nil {
		return l
	}
	return &listing{}
}

func (v *View) index() {
	v.byEndpoint = map[string]*listing{}
	for _, e := range v.replicas {
		if !e.listed {
			continue
		}
		l := v.byEndpoint[e.endpoint]
		if l == nil {
			l = &listing{}
			v.byEndpoint[e.endpoint] = l
		}
		l.all = append(l.all, e)
	}
	for _, l := range v.byEndpoint {
		slices.SortFunc(l.all, func(a, b *entry) int { return strings.Compare(a.address, b.address) })
		for _, e := range l.all {
			if v.may == nil || v.may(e.address, e.maxConcurrent) {
				l.usable = append(l.usable, e)
			}
		}
	}
}

func (e *entry) candidate() Candidate {
	return Candidate{
		Replica: e.address, DataCentre: e.dataCentre,
		Leaving: e.leaving || !e.leavingUntil.IsZero(),
		Failing: e.failures.failing(), RetryAt: e.failures.retryAt, Probing: e.failures.probing,
		Own: e.load.own, InFlight: e.load.inFlight(), Slots: e.load.load.Slots,
		MaxConcurrent: e.maxConcurrent,
	}
}
