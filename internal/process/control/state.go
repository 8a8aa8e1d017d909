package control

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"hornbeamvale.example/hornbeamvale/internal/process/configuration"
	"hornbeamvale.example/hornbeamvale/internal/process/eventlog"
	"hornbeamvale.example/hornbeamvale/internal/process/eventloop"
	"hornbeamvale.example/hornbeamvale/internal/process/journal"
	"hornbeamvale.example/hornbeamvale/internal/process/member"
	"hornbeamvale.example/hornbeamvale/internal/process/ownership"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/program"
	"hornbeamvale.example/hornbeamvale/internal/version"
)

// Config sets up the control loop.
type Config struct {
	// Info is this VM's member row without the seat.
	Info member.Info
	// NewMemberID returns an id that was never used before.
	NewMemberID     func() string
	Platform        platform.Client
	Log             *eventlog.Log
	LeaseTTL        time.Duration
	SeatTTL         time.Duration
	PollInterval    time.Duration
	FreshnessBound  time.Duration
	WritesPerSecond float64 // of the platform, for all VMs together
	Release         ReleaseFunc
	// DropCache asks a replica to drop the cache of a program by its opaque id. It
	// runs on a worker.
	DropCache func(ctx context.Context, replica, id string) error
	Peers     PeerPort
	Endpoints EndpointPort
	Picker    Picker
}

// ReleaseFunc asks a replica to drop the KV cache of a run. It runs on a worker.
type ReleaseFunc func(ctx context.Context, r program.CacheRelease) error

// State is the control state. Only the control thread touches it.
type State struct {
	config   Config
	loop     *Loop
	self     string
	info     member.Info
	joined   bool
	stopping bool
	// draining is set from the first step of a graceful shutdown on.
	draining  bool
	leaving   bool
	nextLeave time.Time

	registry *member.Registry
	observer *member.Observer
	lease    *member.Lease
	// seat is valid for longer than the lease: see member.SeatRow.
	seat  *member.Lease
	seats *member.Seats
	// memberRevision is the revision of the own member row.
	memberRevision uint64
	freshness      *member.Freshness
	slots          *ownership.Map
	runs           *program.Runs
	batcher        *journal.Batcher
	limits         *limits
	replicas       *replicas
	orders         *orders
	caches         *caches
	current        configuration.Loaded
	// platformConfirmedAt is when the version was last read from the platform.
	platformConfirmedAt     time.Time
	pollFailing, confirming bool
	nextConfirm             time.Time

	cursors  cursors
	polling  bool
	nextPoll time.Time
	nextJoin time.Time
	joining  bool
	claiming bool
	// taken and lost count slots for the time line.
	taken, lost int
	evicting    map[string]bool
	loading     map[ownership.Slot]bool
	handovers   map[ownership.Slot]string
	handing     bool
	// marked says that the own member row tells the others of the shutdown.
	marked, marking bool
	nextMark        time.Time

	nextWaiter uint64
	turnWaits  map[uint64]chan<- program.Decision
	releasing  map[program.CacheRelease]bool
	nextExpire time.Time
	leaveDone  chan<- struct{}

	dirty     bool
	viewDirty bool
	view      *slotView
}

func newState(c Config, l *Loop) *State {
	s := &State{config: c, loop: l}
	s.current = configuration.Loaded{Version: version.Empty()}
	s.freshness = member.NewFreshness(c.FreshnessBound)
	s.replicas = newReplicas(c.Info.VM)
	s.reset()
	return s
}

// reset forgets everything that belongs to a membership. The configuration and
// its freshness stay.
func (s *State) reset() {
	s.self = s.config.NewMemberID()
	s.info = s.config.Info
	s.joined, s.joining = false, false
	s.registry = member.NewRegistry(s.self)
	s.observer = member.NewObserver(s.config.LeaseTTL)
	s.lease = member.NewLease(s.config.LeaseTTL)
	s.seat = member.NewLease(s.config.SeatTTL)
	s.seats = member.NewSeats(s.config.SeatTTL)
	s.slots = &ownership.Map{}
	s.runs = program.NewRuns()
	s.batcher = nil
	s.limits = newLimits()
	s.orders = newOrders()
	s.caches = newCaches()
	s.cursors = cursors{}
	s.evicting = map[string]bool{}
	s.loading = map[ownership.Slot]bool{}
	s.handovers = map[ownership.Slot]string{}
	s.claiming, s.handing = false, false
	s.marked, s.marking, s.nextMark = false, false, time.Time{}
	s.turnWaits = map[uint64]chan<- program.Decision{}
	s.releasing = map[program.CacheRelease]bool{}
	s.dirty, s.viewDirty = true, true
}

// Step starts the effects that are due and returns when it has to run next.
func (s *State) Step(now time.Time) time.Time {
	if !s.joined {
		s.startJoin(now)
	} else {
		s.startPoll(now)
		s.startMark(now)
		s.startHandovers(now)
		s.startJournal(now)
		s.stepLimits(now)
		s.startConfirm(now)
		s.stepOrders(now)
		s.stepCaches(now)
		s.expire(now)
		s.finishStop(now)
	}
	s.stepReplicas(now)
	s.recordSlots(now)
	s.deliver(now)
	if s.dirty {
		s.publish()
	}
	return s.next(now)
}

func (s *State) next(now time.Time) time.Time {
	next := now.Add(eventloop.IdleStep)
	for _, t := range []time.Time{s.dueJournal(), s.duePoll(), s.dueJoin(), s.dueLimits(), s.dueConfirm(), s.dueReplicas(now), s.runs.NextDeadline(), s.nextExpire} {
		if !t.IsZero() && t.Before(next) {
			next = t
		}
	}
	return next
}

// publish replaces the snapshot that traffic reads.
func (s *State) publish() {
	if s.viewDirty {
		members := 0
		if s.view != nil {
			members = len(s.view.members)
		}
		s.view = newSlotView(s.slots, s.registry)
		s.viewDirty = false
		if len(s.view.members) != members {
			s.restrictReplicas()
		}
	}
	s.dirty = false
	s.loop.snapshot.Store(&Snapshot{
		Self: s.self, Info: s.info, Version: s.current.Version,
		Joined: s.joined, Draining: s.draining, Stopping: s.stopping,
		leaseUntil: s.lease.ValidUntil(), seatUntil: s.seat.ValidUntil(), freshUntil: s.freshness.FreshUntil(),
		slots: s.view,
	})
}

// renewed records a renewal of the lease that was sent at sentAt.
func (s *State) renewed(sentAt time.Time) {
	s.lease.Renewed(sentAt)
	s.seat.Renewed(sentAt)
	s.dirty = true
}

// run hands a job to the short-call workers.
func (s *State) run(j job) bool { return s.loop.submit(s.loop.jobs, j) }

// commit makes one attempt at a transaction on a worker. report gets its revision,
// which is 0 unless it is known to be committed, and the error of the attempt.
func (s *State) commit(tx platform.Tx, report func(revision uint64, err error) Event) bool {
	client := s.config.Platform
	return s.run(func(ctx context.Context) Event {
		result, err := client.Commit(ctx, tx)
		if err != nil || !result.Committed {
			return report(0, err)
		}
		return report(result.Revision, nil)
	})
}

// record adds an event to the time line.
func (s *State) record(now time.Time, e eventlog.Event) {
	if s.config.Log == nil {
		return
	}
	e.Time = now
	log := s.config.Log
	s.loop.log(func() { log.Add(e) })
}

// logChange logs a change of state.
func (s *State) logChange(msg string, kv ...any) {
	kv = append([]any{"vm", s.info.VM, "member", s.self}, kv...)
	s.loop.log(func() { klog.InfoS(msg, kv...) })
}

// logError logs a fault in what was read.
func (s *State) logError(err error, msg string, kv ...any) {
	s.loop.log(func() { klog.ErrorS(err, msg, kv...) })
}
