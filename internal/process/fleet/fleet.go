// Package fleet holds the control state of a VM in the mode without program owners, in
// which the configuration and the list of replicas are rows of the platform's store.
// The state is the configuration in force, the replicas and their load, the VM's shares
// of the customers' rates, and the other VMs. One thread owns the state; traffic reads
// snapshots and posts events. The turns and budgets of programs are not part of it; they
// are in package ledger.
package fleet

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/decisionlog"
	"hornbeamvale.example/hornbeamvale/internal/process/eventloop"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/quarantine"
	"hornbeamvale.example/hornbeamvale/internal/process/replica"
	"hornbeamvale.example/hornbeamvale/internal/version/routing"
)

// Sources names the rows that other processes write to the platform's store, and
// decodes them.
type Sources struct {
	// Configuration is the key of the row with the configuration in force.
	Configuration platform.Key
	// EvacuatedDataCentre returns the data centre whose evacuation a key of the
	// configuration's table stands for. Nothing is sent to the replicas of a data centre while
	// its row exists.
	EvacuatedDataCentre func(key string) (dataCentre string, ok bool)
	// ReplicaTable has one row per replica. The row's key is the replica's id.
	ReplicaTable string
	// DecodeConfiguration and DecodeRegistration decode the values of these rows.
	DecodeConfiguration func(value []byte) (*routing.Table, error)
	DecodeRegistration  func(id string, value []byte) (replica.Registration, error)
}

// Picker chooses a replica. It runs on the control thread and must not block.
type Picker interface {
	Pick(r PickRequest, candidates []replica.Candidate) (replica.Candidate, bool)
}

// PeerClient calls other VMs. Its methods are not called on the control thread.
type PeerClient interface {
	// Borrow asks a VM for tokens of a customer's rate.
	Borrow(ctx context.Context, to Member, customer string, r LoanRequest) (Loan, error)
	// Notify tells a VM about the limits of replicas.
	Notify(ctx context.Context, to Member, notices []LimitNotice) error
	// NotifyQuarantine tells a VM about requests that crash replicas.
	NotifyQuarantine(ctx context.Context, to Member, notices []quarantine.Notice) error
}

// Config configures the control loop.
type Config struct {
	// Self is this VM's entry in the list of members.
	Self Member
	// Regions holds the region of each data centre of the deployment.
	Regions map[string]string
	// Cold bounds the requests that cold replicas may get.
	Cold    ColdBounds
	Store   platform.PartitionedStore
	Sources Sources
	Picker  Picker
	Peers   PeerClient
	// StoreDown returns whether, as far as this VM knows, no VM reaches the store. It may be
	// late by storeDownLag to know that one does.
	StoreDown func() bool
	Log       *decisionlog.Log
}

// Event is a change of the control state. The control thread applies it.
type Event = eventloop.Event[*State]

// Loop runs the control thread and the goroutines that read the store.
type Loop struct {
	*eventloop.Loop[*State]
	config   Config
	snapshot atomic.Pointer[Snapshot]
	failedAt atomic.Pointer[time.Time] // time of the last failed call to the store; nil if none failed
	ctx      context.Context           // of Run; jobs end with it
	jobs     sync.WaitGroup            // jobs that Run waits for
	// storeClock is the last reading of the store's clock. Only keepMembership uses it.
	storeClock storeClock
	// memberAt is the RenewedAt of the VM's row. Only keepMembership uses it.
	memberAt time.Duration
}

// Snapshot is the part of the control state that traffic may read. It is immutable.
type Snapshot struct {
	// Table is the configuration in force; nil until one has been read.
	Table *routing.Table
	// ConfirmedAt is when the store last confirmed that Table is the newest version.
	ConfirmedAt time.Time
	// Draining is set when a graceful shutdown has begun. StopAt is when every request has
	// to be answered then; zero before.
	Draining bool
	StopAt   time.Time
	// Members are the members of the fleet, including this VM, ordered by address.
	Members []Member
	// SharesUsable is set if this VM may use its shares of the customers' rates.
	SharesUsable bool
	// ReplicaCount is the number of listed replicas.
	ReplicaCount int
	// LimitedReplicas is the number of replicas that name a limit of their requests.
	LimitedReplicas int
	// ColdReplicas is the number of replicas that get limited requests since they are cold.
	ColdReplicas int
	// Evacuated are the data centres whose replicas get nothing.
	Evacuated Evacuations
	// Quarantine tells which requests must not be sent to replicas.
	Quarantine *quarantine.View
	// EndpointLoads is the state of the decisions on programs, by endpoint in ascending order.
	EndpointLoads []EndpointLoad
	// replicaNews is what other VMs are to be told about replicas.
	replicaNews []ReplicaNews
}

// Reasons why a VM takes no traffic.
var (
	errNoTable      = errors.New("no configuration was read yet")
	errDraining     = errors.New("the VM is stopping")
	errNoRateShares = errors.New("the VM has no part of the customers' rates yet")
)

// Ready returns the reason why the VM takes no new connections, or nil.
func (s *Snapshot) Ready() error {
	switch {
	case s.Draining:
		return errDraining
	case s.Table == nil:
		return errNoTable
	case !s.SharesUsable:
		return errNoRateShares
	}
	return nil
}

// NewLoop returns the control loop of a VM.
func NewLoop(c Config) *Loop {
	l := &Loop{config: c, ctx: context.Background()}
	l.Loop = eventloop.New(newState(c, l))
	l.snapshot.Store(&Snapshot{})
	return l
}

// Snapshot returns the last published snapshot.
func (l *Loop) Snapshot() *Snapshot { return l.snapshot.Load() }

// Run runs the control thread and reads the store until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	l.ctx = ctx
	var wait sync.WaitGroup
	wait.Go(func() { l.watchConfiguration(ctx) })
	wait.Go(func() { l.watchReplicas(ctx) })
	wait.Go(func() { l.keepMembership(ctx) })
	l.Loop.Run(ctx)
	wait.Wait()
	l.jobs.Wait()
}

// start runs a job on a goroutine of its own. Run waits for it.
func (l *Loop) start(job func(ctx context.Context)) {
	l.jobs.Go(func() { job(l.ctx) })
}

// post posts an event to the control thread. The event is lost only if the process
// ends.
func (l *Loop) post(ctx context.Context, e Event) { _ = l.Post(ctx, e) }

// State is the control state. Only the control thread accesses it.
type State struct {
	config    Config
	loop      *Loop
	table     *routing.Table
	confirmed time.Time // when the store last confirmed that table is the newest version
	draining  bool
	stopAt    time.Time // when every request has to be answered, while draining
	evacuated Evacuations
	// ending are the evacuated data centres whose rows were removed, until the replicas have
	// been read since. replicasReadAt is the store's revision at the last read of them.
	ending         map[string]endingEvacuation
	replicasReadAt uint64
	replicas       *replica.Registry
	serviceTimes   map[string]*serviceTime  // by kind of request
	rates          map[string]*rateShare    // by customer
	limits         map[string]*replicaLimit // by replica
	cold           map[string]coldRow       // by replica, of the replicas that were cold when their rows were written
	members        memberView
	quarantine     *quarantine.Quarantine
	// quarantineView is the published view of quarantine; quarantineStale is set if it has
	// changed since. quarantineNews is what the other VMs have not been told yet, and
	// quarantineExpiry the time of the next look for what is too old.
	quarantineView   *quarantine.View
	quarantineStale  bool
	quarantineNews   []quarantine.Notice
	quarantineExpiry time.Time
	// overload decides on programs by endpoint. endpointLoads is its published state, which is
	// next looked at overloadStatusAt.
	overload         map[string]*endpointOverload
	endpointLoads    []EndpointLoad
	overloadStatusAt time.Time
	replicaNews      []ReplicaNews // of the last replicaNewsLifetime, the newest first; never changed in place
	unpublished      bool          // the state has changed since the last snapshot
	stepDue          time.Time     // when Step is called next at the latest; zero before the first call
	// startSearch starts a search for a token at now, which ends with a loanEnded event.
	startSearch func(now time.Time, search func(context.Context) loanEnded)
	// startJob starts a job that posts no event.
	startJob func(job func(context.Context))
}

func newState(c Config, l *Loop) *State {
	return &State{
		config: c, loop: l, replicas: replica.NewRegistry(c.Self.VM),
		serviceTimes: map[string]*serviceTime{}, rates: map[string]*rateShare{}, limits: map[string]*replicaLimit{}, cold: map[string]coldRow{},
		overload: map[string]*endpointOverload{},
		ending:   map[string]endingEvacuation{},
		members:  newMemberView(c.Self), quarantine: quarantine.New(), unpublished: true,
		startSearch: func(_ time.Time, search func(context.Context) loanEnded) {
			l.start(func(ctx context.Context) { l.post(ctx, search(ctx)) })
		},
		startJob: l.start,
	}
}

// reportedPause is the shortest delay of the control thread that is logged. It is below the
// silence after which other VMs and this one take a connection for lost.
const reportedPause = 200 * time.Millisecond

// Step implements eventloop.StateMachine.
func (s *State) Step(now time.Time) time.Time {
	if late := now.Sub(s.stepDue); !s.stepDue.IsZero() && late >= reportedPause {
		s.config.Log.State("Process was paused or got no processor time", "for", late)
	}
	next := now.Add(eventloop.MaxSleep)
	for _, deadline := range []time.Time{s.replicas.Expire(now), s.stepRates(now), s.stepMembers(now), s.stepLimits(now), s.stepEvacuations(now), s.stepQuarantine(now), s.stepOverload(now)} {
		if !deadline.IsZero() && deadline.Before(next) {
			next = deadline
		}
	}
	if s.unpublished {
		s.publish()
	}
	s.stepDue = next
	return next
}

func (s *State) publish() {
	s.unpublished = false
	named, cold := s.countLimits()
	s.loop.snapshot.Store(&Snapshot{
		Table: s.table, ConfirmedAt: s.confirmed, Draining: s.draining, StopAt: s.stopAt,
		Members: s.members.all(), SharesUsable: s.members.usable, ReplicaCount: s.replicas.Count(), LimitedReplicas: named, ColdReplicas: cold,
		Evacuated: s.evacuated, Quarantine: s.currentQuarantine(), EndpointLoads: s.endpointLoads,
		replicaNews: s.replicaNews,
	})
}

// PrepareStop is the event that begins a graceful shutdown: the VM is no longer ready.
type PrepareStop struct {
	// StopAt is when every request has to be answered.
	StopAt time.Time
	Done   chan<- struct{}
}

// Apply implements Event.
func (e PrepareStop) Apply(s *State, _ time.Time) {
	s.draining, s.stopAt = true, e.StopAt
	s.publish()
	close(e.Done)
}
