package control

import (
	"context"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/order"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/queue"
	"hornbeamvale.example/hornbeamvale/internal/process/replica"
	"hornbeamvale.example/hornbeamvale/internal/process/retry"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

const (
	// vmListInterval is the time between two reads of the platform's VM list. A
	// replica that is leaving must get no new work after a few seconds.
	vmListInterval = 2 * time.Second
	// loadReportInterval is the time between two rounds of load reports.
	loadReportInterval = time.Second
	// loadsPerRound bounds the load reports that one VM requests in a round, so that
	// their cost does not depend on the number of replicas.
	loadsPerRound = 16
)

// PickRequest describes a call to the placement.
type PickRequest struct {
	ID             string
	Now            time.Time
	VM, DataCentre string
	// ConcurrencyShare is this VM's share of each replica's concurrency bound, in
	// (0, 1].
	ConcurrencyShare float64
	PromptTokens     int64
	// CachedTokens maps replicas to the cached tokens of the call's program run.
	CachedTokens map[string]int64
	// Excluded holds the replicas at which an earlier attempt of the call failed.
	Excluded map[string]bool
}

// Picker chooses a replica for a call. It has no side effects and runs on the control
// thread.
type Picker interface {
	// Room returns the replicas with free capacity. It is called once for each
	// dispatch; r describes no particular call.
	Room(r PickRequest, cs []replica.Candidate) Room
	// Pick returns the address of the replica for a call.
	Pick(r PickRequest, cs []replica.Candidate) (address string, ok bool)
}

// Room describes the replicas that have free capacity now.
type Room interface {
	// Any returns whether any replica has free capacity.
	Any() bool
	// Locate returns the locality of a waiting call, which decides its place in the
	// queue.
	Locate(r PickRequest) queue.Locality
}

// EndpointClient sends requests to replicas. Its methods run on workers.
type EndpointClient interface {
	Load(ctx context.Context, address string) (replica.Load, error)
	CacheEvents(ctx context.Context, address string, since uint64) (CacheEventPage, error)
	Report(ctx context.Context, address string) (order.Report, error)
	// Order sends an order with the epoch of its sender's slot.
	Order(ctx context.Context, o order.Order, epoch uint64) error
}

// replicas is this member's state for routing calls to replicas.
type replicas struct {
	view         *replica.View
	vms          []platform.VM
	queues       map[string]*queue.Queue // of waiting calls, by endpoint
	retryBudgets map[string]*retry.Budget

	// vmsRead is set when the platform's VM list has been read at least once.
	vmsRead         bool
	readingVMs      bool
	nextVMList      time.Time
	nextLoadReports time.Time
	nextLoadReplica int
}

func newReplicas(vm string) *replicas {
	return &replicas{
		view: replica.NewView(vm), queues: map[string]*queue.Queue{}, retryBudgets: map[string]*retry.Budget{},
	}
}

// AcquireReplica requests a replica of an endpoint for a call. The call waits in the
// endpoint's queue until a replica has free capacity. Reply must have buffer space for
// one value.
type AcquireReplica struct {
	// ID is unique for each attempt.
	ID       string
	Endpoint string
	Customer string
	// Run is the opaque id of the program run for cache affinity; empty outside
	// programs.
	Run             string
	Cost            float64 // expected service time at a replica, in milliseconds
	AttainedService float64 // service that the program run has received
	PromptTokens    int64
	Affinity        string // replica that held the run's cache before a takeover of its slot
	Excluded        map[string]bool
	Deadline        time.Time
	Reply           chan<- AcquireResult
}

// AcquireResult is the answer to AcquireReplica.
type AcquireResult struct {
	Replica string
	Refusal *refusal.Refusal
}

// Apply implements Event.
func (e AcquireReplica) Apply(s *State, now time.Time) {
	ep, ok := s.current.Version.Endpoint(e.Endpoint)
	if !ok || ep.Drained {
		e.Reply <- AcquireResult{Refusal: refusal.New(refusal.NoReplica, "endpoint %q takes no new work", e.Endpoint).After(time.Second)}
		return
	}
	if s.replicas.view.Count(e.Endpoint) == 0 {
		e.Reply <- AcquireResult{Refusal: refusal.New(refusal.NoReplica, "endpoint %q has no replica", e.Endpoint).After(time.Second)}
		return
	}
	if len(e.Excluded) > 0 && allExcluded(s.replicas.view.Candidates(e.Endpoint), e.Excluded) {
		e.Reply <- AcquireResult{Refusal: refusal.New(refusal.NoReplica, "every replica of the endpoint has failed the call").After(time.Second)}
		return
	}
	weight := 1.0
	if c, ok := s.current.Version.Customer(e.Customer); ok {
		weight = c.Weight
	}
	q := s.replicas.queues[e.Endpoint]
	if q == nil {
		q = queue.New(queue.MaxCalls)
		s.replicas.queues[e.Endpoint] = q
	}
	dropped := q.Push(now, queue.Item{
		ID: e.ID, Customer: e.Customer, Weight: weight, Cost: e.Cost, AttainedService: e.AttainedService, Deadline: e.Deadline, Value: e,
	})
	refuseCalls(dropped, "the endpoint's queue is full")
	s.dispatch(now, e.Endpoint)
}

// refuseCalls refuses queued calls as overload.
func refuseCalls(items []queue.Item, reason string) {
	for _, item := range items {
		item.Value.(AcquireReplica).Reply <- AcquireResult{Refusal: refusal.New(refusal.Overloaded, "%s", reason).After(time.Second)}
	}
}

// dispatch assigns replicas to waiting calls while replicas have free capacity.
func (s *State) dispatch(now time.Time, endpoint string) {
	q := s.replicas.queues[endpoint]
	if q == nil {
		return
	}
	for q.Len() > 0 {
		candidates := s.replicas.view.Usable(endpoint)
		room := s.config.Picker.Room(s.pickRequest(now, AcquireReplica{}), candidates)
		if !room.Any() {
			return
		}
		item, ok := q.Pop(now, func(item queue.Item) queue.Locality {
			return room.Locate(s.pickRequest(now, item.Value.(AcquireReplica)))
		})
		if !ok {
			return
		}
		e := item.Value.(AcquireReplica)
		address, ok := s.config.Picker.Pick(s.pickRequest(now, e), candidates)
		if !ok {
			refuseCalls([]queue.Item{item}, "no replica may take the call")
			continue
		}
		s.replicas.view.Begin(now, address)
		e.Reply <- AcquireResult{Replica: address}
	}
}

// allExcluded returns whether a call has failed at every candidate.
func allExcluded(candidates []replica.Candidate, excluded map[string]bool) bool {
	for _, c := range candidates {
		if !excluded[c.Replica] {
			return false
		}
	}
	return true
}

// pickRequest returns the placement's view of a call. Without known cached prefixes,
// the replica named by the call's affinity counts as holding its whole prompt.
func (s *State) pickRequest(now time.Time, e AcquireReplica) PickRequest {
	cachedTokens := s.replicas.view.CachedTokens(e.Run)
	if e.Affinity != "" && len(cachedTokens) == 0 {
		cachedTokens = map[string]int64{e.Affinity: e.PromptTokens}
	}
	return PickRequest{
		ID: e.ID, Now: now, VM: s.info.VM, DataCentre: s.info.DataCentre,
		ConcurrencyShare: s.concurrencyShare(),
		PromptTokens:     e.PromptTokens, CachedTokens: cachedTokens, Excluded: e.Excluded,
	}
}

// concurrencyShare returns this VM's share of each replica's concurrency bound.
func (s *State) concurrencyShare() float64 { return 1 / float64(max(1, len(s.slotView.members)-1)) }

// restrictReplicas excludes the replicas at which this VM's share allows no call. The
// share changes with the number of members.
func (s *State) restrictReplicas() {
	share := s.concurrencyShare()
	s.replicas.view.Restrict(func(address string, maxConcurrent int) bool {
		return queue.Allowance(maxConcurrent, share, s.info.VM, address) > 0
	})
}

// CancelAcquire removes a call that waits for a replica. When Done is closed, nothing
// more is sent to the call's reply channel.
type CancelAcquire struct {
	Endpoint, ID string
	Done         chan<- struct{}
}

// Apply implements Event.
func (e CancelAcquire) Apply(s *State, _ time.Time) {
	if q := s.replicas.queues[e.Endpoint]; q != nil {
		q.Remove(e.ID)
	}
	close(e.Done)
}

// ReleaseReplica reports the end of a call at a replica.
type ReleaseReplica struct {
	Endpoint, Replica, Run string
	// OK is false when the replica failed the call.
	OK bool
	// Leaving is set when the replica refused the call because it is leaving.
	Leaving  bool
	Usage    replica.Usage
	Customer string
	// ExtraCost is the service beyond the expected cost, which is charged to the
	// customer.
	ExtraCost float64
}

// Apply implements Event.
func (e ReleaseReplica) Apply(s *State, now time.Time) {
	v := s.replicas.view
	v.End(now, e.Replica, e.OK)
	if e.Leaving {
		v.MarkLeaving(now, e.Replica)
	}
	if e.OK && e.Run != "" && e.Usage.PromptTokens > 0 {
		v.RecordUsage(now, e.Replica, e.Run, e.Usage)
	}
	if q := s.replicas.queues[e.Endpoint]; q != nil && e.ExtraCost != 0 {
		weight := 1.0
		if c, ok := s.current.Version.Customer(e.Customer); ok {
			weight = c.Weight
		}
		q.Charge(e.Customer, weight, e.ExtraCost)
	}
	s.dispatch(now, e.Endpoint)
}

// DecideRetry requests the decision whether a failed attempt may be repeated.
type DecideRetry struct {
	Endpoint   string
	Attempt    int
	RunState   refusal.RunState
	Idempotent bool
	Reply      chan<- retry.Decision
}

// Apply implements Event.
func (e DecideRetry) Apply(s *State, now time.Time) {
	e.Reply <- retry.Decide(now, e.Attempt, e.RunState, e.Idempotent, s.retryBudget(e.Endpoint))
}

// CountRequest counts a first attempt for the endpoint's retry budget.
type CountRequest struct{ Endpoint string }

// Apply implements Event.
func (e CountRequest) Apply(s *State, now time.Time) { s.retryBudget(e.Endpoint).CountRequest(now) }

func (s *State) retryBudget(endpoint string) *retry.Budget {
	b := s.replicas.retryBudgets[endpoint]
	if b == nil {
		b = &retry.Budget{}
		s.replicas.retryBudgets[endpoint] = b
	}
	return b
}

// stepReplicas refuses calls that waited too long, dispatches waiting calls and starts
// the reads of the VM list and of load reports that are due.
func (s *State) stepReplicas(now time.Time) {
	for endpoint, q := range s.replicas.queues {
		refuseCalls(q.Expire(now), "no replica of the endpoint had room in time")
		s.dispatch(now, endpoint)
	}
	s.startVMList(now)
	s.startLoadReports(now)
}

// dueReplicas returns the time of the next load reports or queue deadline, whichever
// is earlier.
func (s *State) dueReplicas(now time.Time) time.Time {
	due := s.replicas.nextLoadReports
	for _, q := range s.replicas.queues {
		if t, ok := q.NextDue(now); ok && t.Before(due) {
			due = t
		}
	}
	return due
}

// startVMList starts a read of the platform's VM list.
func (s *State) startVMList(now time.Time) {
	if s.replicas.readingVMs || now.Before(s.replicas.nextVMList) {
		return
	}
	s.replicas.nextVMList = now.Add(vmListInterval)
	client := s.config.Platform
	s.replicas.readingVMs = s.submitJob(func(ctx context.Context) Event {
		vms, err := client.VMs(ctx)
		return vmsListed{vms: vms, err: err}
	})
}

// vmsListed reports the platform's VM list. The list is a hint: a VM that is missing
// from it gets no calls, but the list says nothing about slot ownership.
type vmsListed struct {
	vms []platform.VM
	err error
}

// Apply implements Event.
func (e vmsListed) Apply(s *State, now time.Time) {
	s.replicas.readingVMs = false
	if e.err != nil {
		return // the previous list stays in use
	}
	s.replicas.vms, s.replicas.vmsRead = e.vms, true
	s.applyReplicas(now)
}

// applyReplicas updates the replica view after a change of the VM list or of the
// configuration, and dispatches waiting calls.
func (s *State) applyReplicas(now time.Time) {
	s.replicas.view.Apply(now, s.replicas.vms, s.current.Version)
	for endpoint := range s.replicas.queues {
		s.dispatch(now, endpoint)
	}
}

// startLoadReports requests load reports from the next replicas in turn.
func (s *State) startLoadReports(now time.Time) {
	if now.Before(s.replicas.nextLoadReports) || s.config.Endpoints == nil {
		return
	}
	s.replicas.nextLoadReports = now.Add(loadReportInterval)
	addresses := s.replicas.view.Addresses()
	if len(addresses) == 0 {
		return
	}
	endpoints := s.config.Endpoints
	for range min(loadsPerRound, len(addresses)) {
		address := addresses[s.replicas.nextLoadReplica%len(addresses)]
		s.replicas.nextLoadReplica++
		s.submitJob(func(ctx context.Context) Event {
			l, err := endpoints.Load(ctx, address)
			if err != nil {
				return nil // failed calls show whether the replica fails
			}
			return loadReported{address: address, load: l}
		})
	}
}

// loadReported reports a replica's load.
type loadReported struct {
	address string
	load    replica.Load
}

// Apply implements Event.
func (e loadReported) Apply(s *State, now time.Time) { s.replicas.view.Report(now, e.address, e.load) }
