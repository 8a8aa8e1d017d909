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

// Config configures the control loop.
type Config struct {
	// Info is the content of this VM's member row, without the seat.
	Info member.Info
	// NewMemberID returns a member id that has never been used.
	NewMemberID     func() string
	Platform        platform.Client
	EventLog        *eventlog.Log
	LeaseTTL        time.Duration
	SeatTTL         time.Duration
	PollInterval    time.Duration
	FreshnessBound  time.Duration
	WritesPerSecond float64 // write budget of the platform, shared by all VMs
	ReleaseCache    ReleaseCacheFunc
	// ReleaseOrphanedCache asks a replica to drop the KV cache of the program run with
	// the given opaque id, of which no record exists. It runs on a worker.
	ReleaseOrphanedCache func(ctx context.Context, replica, id string) error
	Peers                PeerClient
	Endpoints            EndpointClient
	Picker               Picker
}

// ReleaseCacheFunc asks a replica to drop the KV cache of a program run. It runs on a
// worker.
type ReleaseCacheFunc func(ctx context.Context, r program.CacheRelease) error

// State is the control state. Only the control thread accesses it.
type State struct {
	config   Config
	loop     *Loop
	self     string      // id of this member
	info     member.Info // member row, with the seat after the join
	joined   bool
	stopping bool // see Snapshot.Stopping
	// draining is set when a graceful shutdown begins and stays set, see
	// Snapshot.Draining.
	draining bool
	// leaving is set while the transaction that ends the membership is in progress, and
	// after it.
	leaving   bool
	nextLeave time.Time

	registry *member.Registry
	observer *member.Observer
	lease    *member.Lease
	// seat stays valid longer than the lease, see member.SeatRow.
	seat  *member.Lease
	seats *member.Seats
	// memberRevision is the revision of this VM's member row.
	memberRevision uint64
	freshness      *member.Freshness
	slots          *ownership.Map
	runs           *program.Runs
	batcher        *journal.Batcher
	limits         *limits
	replicas       *replicas
	orders         *orders
	cacheEvents    *cacheEventState
	current        configuration.LoadedVersion
	// platformConfirmedAt is when the platform last confirmed that the version in
	// force is the newest.
	platformConfirmedAt time.Time
	// pollFailing is set while polls fail, confirming while the other members are asked
	// for confirmations.
	pollFailing, confirming bool
	nextConfirm             time.Time

	cursors  cursors
	polling  bool // a poll is in progress
	nextPoll time.Time
	nextJoin time.Time
	joining  bool // an attempt to join is in progress
	claiming bool // a claim of orphaned slots is in progress
	// slotsGained and slotsLost count ownership changes since the last step, for the
	// event log.
	slotsGained, slotsLost int
	evicting               map[string]bool // members whose eviction is in progress
	// loading holds the owned slots whose program runs are not loaded yet. The value is
	// true while no read of them is in progress.
	loading map[ownership.Slot]bool
	// handovers maps the slots that are being drained to the members that get them.
	// handoverPending is set while a write of new owners is in progress.
	handovers       map[ownership.Slot]string
	handoverPending bool
	// leavingRecorded is set when this VM's member row shows the other members that it
	// is leaving. recordingLeaving is set while that write is in progress.
	leavingRecorded, recordingLeaving bool
	nextRecordLeaving                 time.Time

	lastWaiter  uint64                             // last id given to a waiting turn request
	turnReplies map[uint64]chan<- program.Decision // by waiter
	releasing   map[program.CacheRelease]bool      // releases whose request is in progress
	nextExpire  time.Time                          // of the next check for idle runs
	stopDone    chan<- struct{}                    // see Stop; nil unless a shutdown is in progress

	snapshotDirty bool // the published snapshot is out of date
	slotViewDirty bool // slotView is out of date
	slotView      *slotView
}

func newState(c Config, l *Loop) *State {
	s := &State{config: c, loop: l}
	s.current = configuration.LoadedVersion{Version: version.Empty()}
	s.freshness = member.NewFreshness(c.FreshnessBound)
	s.replicas = newReplicas(c.Info.VM)
	s.reset()
	return s
}

// reset discards the state of a membership. The configuration and its freshness are
// kept.
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
	s.cacheEvents = newCacheEventState()
	s.cursors = cursors{}
	s.evicting = map[string]bool{}
	s.loading = map[ownership.Slot]bool{}
	s.handovers = map[ownership.Slot]string{}
	s.claiming, s.handoverPending = false, false
	s.leavingRecorded, s.recordingLeaving, s.nextRecordLeaving = false, false, time.Time{}
	s.turnReplies = map[uint64]chan<- program.Decision{}
	s.releasing = map[program.CacheRelease]bool{}
	s.snapshotDirty, s.slotViewDirty = true, true
}

// Step starts the work that is due and returns the time of the next step.
func (s *State) Step(now time.Time) time.Time {
	if !s.joined {
		s.startJoin(now)
	} else {
		s.startPoll(now)
		s.startRecordLeaving(now)
		s.startHandovers(now)
		s.startJournal(now)
		s.stepLimits(now)
		s.startConfirm(now)
		s.stepOrders(now)
		s.stepCacheEvents(now)
		s.expireRuns(now)
		s.finishStop(now)
	}
	s.stepReplicas(now)
	s.recordSlotChanges(now)
	s.answerReadyTurns(now)
	if s.snapshotDirty {
		s.publish()
	}
	return s.nextStep(now)
}

// nextStep returns the earliest time at which work is due.
func (s *State) nextStep(now time.Time) time.Time {
	next := now.Add(eventloop.MaxSleep)
	for _, t := range []time.Time{s.dueJournal(), s.duePoll(), s.dueJoin(), s.dueLimits(), s.dueConfirm(), s.dueReplicas(now), s.runs.NextDeadline(), s.nextExpire} {
		if !t.IsZero() && t.Before(next) {
			next = t
		}
	}
	return next
}

// publish replaces the snapshot that traffic goroutines read.
func (s *State) publish() {
	if s.slotViewDirty {
		members := 0
		if s.slotView != nil {
			members = len(s.slotView.members)
		}
		s.slotView = newSlotView(s.slots, s.registry)
		s.slotViewDirty = false
		if len(s.slotView.members) != members {
			s.restrictReplicas()
		}
	}
	s.snapshotDirty = false
	s.loop.snapshot.Store(&Snapshot{
		Self: s.self, Info: s.info, Version: s.current.Version,
		Joined: s.joined, Draining: s.draining, Stopping: s.stopping,
		leaseUntil: s.lease.ValidUntil(), seatUntil: s.seat.ValidUntil(), freshUntil: s.freshness.FreshUntil(),
		slots: s.slotView,
	})
}

// leaseRenewed extends the lease and the seat after a renewal whose transaction was
// sent at sentAt.
func (s *State) leaseRenewed(sentAt time.Time) {
	s.lease.Renewed(sentAt)
	s.seat.Renewed(sentAt)
	s.snapshotDirty = true
}

// submitJob queues a job for the workers. It returns false if the queue is full.
func (s *State) submitJob(j job) bool { return s.loop.submit(s.loop.jobs, j) }

// commit attempts a transaction once, on a worker. report gets the error of the
// attempt and the transaction's revision, which is 0 unless the transaction is known
// to be committed. commit returns false if the queue of the workers is full.
func (s *State) commit(tx platform.Tx, report func(revision uint64, err error) Event) bool {
	client := s.config.Platform
	return s.submitJob(func(ctx context.Context) Event {
		result, err := client.Commit(ctx, tx)
		if err != nil || !result.Committed {
			return report(0, err)
		}
		return report(result.Revision, nil)
	})
}

// recordEvent adds an event to the event log.
func (s *State) recordEvent(now time.Time, e eventlog.Event) {
	if s.config.EventLog == nil {
		return
	}
	e.Time = now
	log := s.config.EventLog
	s.loop.queueLog(func() { log.Add(e) })
}

// logChange logs a change of this member's state.
func (s *State) logChange(msg string, kv ...any) {
	kv = append([]any{"vm", s.info.VM, "member", s.self}, kv...)
	s.loop.queueLog(func() { klog.InfoS(msg, kv...) })
}

// logError logs an error in data that was read from the platform.
func (s *State) logError(err error, msg string, kv ...any) {
	s.loop.queueLog(func() { klog.ErrorS(err, msg, kv...) })
}
