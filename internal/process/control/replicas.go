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
	// listInterval is the time between two reads of the platform's VM list. A
	// leaving replica has to get no new work after a few seconds.
	listInterval = 2 * time.Second
	// loadInterval is the time between two rounds of load reports.
	loadInterval = time.Second
	// loadsPerRound bounds the load reports that one VM asks for in a round. It
	// keeps their cost the same however many replicas there are.
	loadsPerRound = 16
)

// PickRequest is what placement gets to know of a call.
type PickRequest struct {
	ID             string
	Now            time.Time
	VM, DataCentre string
	// Part is this VM's part of each replica's concurrency bound, in (0, 1].
	Part         float64
	PromptTokens int64
	// Prefixes holds the cached tokens of the call's run by replica.
	Prefixes map[string]int64
	// Excluded holds the replicas at which an earlier attempt failed.
	Excluded map[string]bool
}

// Picker chooses a replica. It is pure and runs on the control thread.
type Picker interface {
	// Room is asked once for each dispatch; r names no call.
	Room(r PickRequest, cs []replica.Candidate) Room
	Pick(r PickRequest, cs []replica.Candidate) (address string, ok bool)
}

// Room is what placement knows of the replicas that have room now.
type Room interface {
	Any() bool
	// Locate returns the locality of a waiting call, for its place in the queue.
	Locate(r PickRequest) queue.Locality
}

// EndpointPort asks replicas for reports. Its methods run on workers.
type EndpointPort interface {
	Load(ctx context.Context, address string) (replica.Load, error)
	CacheEvents(ctx context.Context, address string, since uint64) (CachePage, error)
	Report(ctx context.Context, address string) (order.Report, error)
	Order(ctx context.Context, o order.Order, epoch uint64) error
}

// replicas is the state of routing at this member.
type replicas struct {
	view    *replica.View
	vms     []platform.VM
	queues  map[string]*queue.Queue // by endpoint
	budgets map[string]*retry.Budget

	// listed says that the platform's list was read at least once.
	listed   bool
	listing  bool
	nextList time.Time
	nextLoad time.Time
	loadFrom int
}

func newReplicas(vm string) *replicas {
	return &replicas{
		view: replica.NewView(vm), queues: map[string]*queue.Queue{}, budgets: map[string]*retry.Budget{},
	}
}

// AcquireReplica asks for a replica of an endpoint. The call waits in the
// endpoint's queue until one has room. Reply must have room for one answer.
type AcquireReplica struct {
	// ID is unique for each attempt.
	ID       string
	Endpoint string
	Customer string
	// Run identifies the program run for cache affinity; empty outside programs.
	Run          string
	Cost         float64 // expected service, in milliseconds at a replica
	Attained     float64
	PromptTokens int64
	Affinity     string // replica that held the run's cache before a takeover
	Excluded     map[string]bool
	Deadline     time.Time
	Reply        chan<- Acquired
}

// Acquired is the answer to AcquireReplica.
type Acquired struct {
	Replica string
	Refusal *refusal.Refusal
}

// Apply implements Event.
func (e AcquireReplica) Apply(s *State, now time.Time) {
	ep, ok := s.current.Version.Endpoint(e.Endpoint)
	if !ok || ep.Drained {
		e.Reply <- Acquired{Refusal: refusal.New(refusal.NoReplica, "endpoint %q takes no new work", e.Endpoint).After(time.Second)}
		return
	}
	if s.replicas.view.Count(e.Endpoint) == 0 {
		e.Reply <- Acquired{Refusal: refusal.New(refusal.NoReplica, "endpoint %q has no replica", e.Endpoint).After(time.Second)}
		return
	}
	if len(e.Excluded) > 0 && allExcluded(s.replicas.view.Candidates(e.Endpoint), e.Excluded) {
		e.Reply <- Acquired{Refusal: refusal.New(refusal.NoReplica, "every replica of the endpoint has failed the call").After(time.Second)}
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
		ID: e.ID, Customer: e.Customer, Weight: weight, Cost: e.Cost, Attained: e.Attained, Deadline: e.Deadline, Value: e,
	})
	refuseItems(dropped, "the endpoint's queue is full")
	s.dispatch(now, e.Endpoint)
}

func refuseItems(items []queue.Item, why string) {
	for _, it := range items {
		it.Value.(AcquireReplica).Reply <- Acquired{Refusal: refusal.New(refusal.Overloaded, "%s", why).After(time.Second)}
	}
}

// dispatch gives replicas to waiting calls while there is room.
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
		it, ok := q.Pop(now, func(it queue.Item) queue.Locality {
			return room.Locate(s.pickRequest(now, it.Value.(AcquireReplica)))
		})
		if !ok {
			return
		}
		e := it.Value.(AcquireReplica)
		address, ok := s.config.Picker.Pick(s.pickRequest(now, e), candidates)
		if !ok {
			refuseItems([]queue.Item{it}, "no replica may take the call")
			continue
		}
		s.replicas.view.Begin(now, address)
		e.Reply <- Acquired{Replica: address}
	}
}

// allExcluded says whether a call has failed at every replica.
func allExcluded(candidates []replica.Candidate, excluded map[string]bool) bool {
	for _, c := range candidates {
		if !excluded[c.Replica] {
			return false
		}
	}
	return true
}

func (s *State) pickRequest(now time.Time, e AcquireReplica) PickRequest {
	prefixes := s.replicas.view.Prefixes(e.Run)
	if e.Affinity != "" && len(prefixes) == 0 {
		prefixes = map[string]int64{e.Affinity: e.PromptTokens}
	}
	return PickRequest{
		ID: e.ID, Now: now, VM: s.info.VM, DataCentre: s.info.DataCentre,
		Part:         s.part(),
		PromptTokens: e.PromptTokens, Prefixes: prefixes, Excluded: e.Excluded,
	}
}

// part is this VM's part of each replica's concurrency bound.
func (s *State) part() float64 { return 1 / float64(max(1, len(s.view.members)-1)) }

// restrictReplicas keeps the replicas at which this VM's part is no call at all out
// of the choice; part changes with the members.
func (s *State) restrictReplicas() {
	part := s.part()
	s.replicas.view.Restrict(func(address string, maxConcurrent int) bool {
		return queue.Allowance(maxConcurrent, part, s.info.VM, address) > 0
	})
}

// CancelAcquire drops a call that waits for a replica. Done is closed when the
// reply channel will get nothing more.
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

// ReleaseReplica ends a call at a replica.
type ReleaseReplica struct {
	Endpoint, Replica, Run string
	// OK is false when the replica failed the call.
	OK bool
	// Leaving says that the replica refused because it is leaving.
	Leaving bool
	Usage   replica.Usage
	// Extra is the service beyond the expected cost, charged to the customer.
	Customer string
	Extra    float64
}

// Apply implements Event.
func (e ReleaseReplica) Apply(s *State, now time.Time) {
	v := s.replicas.view
	v.End(now, e.Replica, e.OK)
	if e.Leaving {
		v.MarkLeaving(now, e.Replica)
	}
	if e.OK && e.Run != "" && e.Usage.Prompt > 0 {
		v.RecordUsage(now, e.Replica, e.Run, e.Usage)
	}
	if q := s.replicas.queues[e.Endpoint]; q != nil && e.Extra != 0 {
		weight := 1.0
		if c, ok := s.current.Version.Customer(e.Customer); ok {
			weight = c.Weight
		}
		q.Charge(e.Customer, weight, e.Extra)
	}
	s.dispatch(now, e.Endpoint)
}

// DecideRetry asks whether a failed attempt may be repeated.
type DecideRetry struct {
	Endpoint   string
	Attempt    int
	Run        refusal.RunState
	Idempotent bool
	Reply      chan<- retry.Decision
}

// Apply implements Event.
func (e DecideRetry) Apply(s *State, now time.Time) {
	e.Reply <- retry.Decide(now, e.Attempt, e.Run, e.Idempotent, s.retryBudget(e.Endpoint))
}

// CountRequest counts a first attempt for the endpoint's retry budget.
type CountRequest struct{ Endpoint string }

// Apply implements Event.
func (e CountRequest) Apply(s *State, now time.Time) { s.retryBudget(e.Endpoint).CountRequest(now) }

func (s *State) retryBudget(endpoint string) *retry.Budget {
	b := s.replicas.budgets[endpoint]
	if b == nil {
		b = &retry.Budget{}
		s.replicas.budgets[endpoint] = b
	}
	return b
}

// stepReplicas expires waiting calls and starts the reports that are due.
func (s *State) stepReplicas(now time.Time) {
	for endpoint, q := range s.replicas.queues {
		refuseItems(q.Expire(now), "no replica of the endpoint had room in time")
		s.dispatch(now, endpoint)
	}
	s.startList(now)
	s.startLoadReports(now)
}

func (s *State) dueReplicas(now time.Time) time.Time {
	due := s.replicas.nextLoad
	for _, q := range s.replicas.queues {
		if t, ok := q.NextDue(now); ok && t.Before(due) {
			due = t
		}
	}
	return due
}

// startList reads the platform's VM list.
func (s *State) startList(now time.Time) {
	if s.replicas.listing || now.Before(s.replicas.nextList) {
		return
	}
	s.replicas.nextList = now.Add(listInterval)
	client := s.config.Platform
	s.replicas.listing = s.run(func(ctx context.Context) Event {
		vms, err := client.VMs(ctx)
		return listed{vms: vms, err: err}
	})
}

// listed reports the platform's VM list. It is a hint: a VM that is missing from
// it is not used, but nothing is concluded from it about ownership.
type listed struct {
	vms []platform.VM
	err error
}

// Apply implements Event.
func (e listed) Apply(s *State, now time.Time) {
	s.replicas.listing = false
	if e.err != nil {
		return // the former list stays in use
	}
	s.replicas.vms, s.replicas.listed = e.vms, true
	s.applyReplicas(now)
}

// applyReplicas updates the view after a change of the list or the configuration.
func (s *State) applyReplicas(now time.Time) {
	s.replicas.view.Apply(now, s.replicas.vms, s.current.Version)
	for endpoint := range s.replicas.queues {
		s.dispatch(now, endpoint)
	}
}

// startLoadReports asks the next replicas for their load.
func (s *State) startLoadReports(now time.Time) {
	if now.Before(s.replicas.nextLoad) || s.config.Endpoints == nil {
		return
	}
	s.replicas.nextLoad = now.Add(loadInterval)
	addresses := s.replicas.view.Addresses()
	if len(addresses) == 0 {
		return
	}
	port := s.config.Endpoints
	for range min(loadsPerRound, len(addresses)) {
		address := addresses[s.replicas.loadFrom%len(addresses)]
		s.replicas.loadFrom++
		s.run(func(ctx context.Context) Event {
			l, err := port.Load(ctx, address)
			if err != nil {
				return nil // calls tell whether the replica fails
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
