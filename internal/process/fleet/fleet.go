// Package fleet is the control state of a VM whose configuration and replicas stand
// in the platform's store and whose programs have no owner: the configuration in
// force, the replicas and their load, the VM's part of each customer's rate, and
// the other VMs. One thread owns it; traffic reads snapshots and posts events.
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
	"hornbeamvale.example/hornbeamvale/internal/process/replica"
	"hornbeamvale.example/hornbeamvale/internal/version/routing"
)

// Sources name the rows of the platform's store that others write, and read them.
type Sources struct {
	// Configuration is the row of the configuration in force.
	Configuration platform.Key
	// ReplicaTable holds one row for each replica, under its id.
	ReplicaTable string
	// DecodeTable and DecodeListing read the values of these rows.
	DecodeTable   func(value []byte) (*routing.Table, error)
	DecodeListing func(id string, value []byte) (replica.Registration, error)
}

// Picker chooses a replica. It runs on the control thread and must not block.
type Picker interface {
	Pick(r PickRequest, cs []replica.Candidate) (replica.Candidate, bool)
}

// Peers reach the other VMs. The calls run on goroutines of their own.
type Peers interface {
	// Borrow asks a VM for tokens of a customer and returns how many it lends.
	Borrow(ctx context.Context, to Seat, customer string, r LoanRequest) (float64, error)
}

// Config sets up the control state.
type Config struct {
	// Self is this VM's seat.
	Self    Seat
	Store   platform.PartedStore
	Sources Sources
	Picker  Picker
	Peers   Peers
	// StoreDown says that no VM reaches the store, as far as this one knows.
	StoreDown func() bool
	Log       *decisionlog.Log
}

// Event changes the control state.
type Event = eventloop.Event[*State]

// Loop runs the control state and the goroutines that follow the store.
type Loop struct {
	*eventloop.Loop[*State]
	config   Config
	snapshot atomic.Pointer[Snapshot]
	failedAt atomic.Pointer[time.Time] // when a call of the store failed last; nil if none did
	ctx      context.Context
	jobs     sync.WaitGroup
}

// Snapshot is what traffic may read of the control state. It is immutable.
type Snapshot struct {
	// Table is the configuration in force; nil until one was read.
	Table *routing.Table
	// ConfirmedAt is when the store last said that the table is the newest.
	ConfirmedAt time.Time
	// Draining says that a graceful shutdown has begun.
	Draining bool
	// Seats are the VMs of the fleet, this one included.
	Seats []Seat
	// Seated says that this VM may spend its part of the customers' rates.
	Seated bool
	// Replicas is the number of listed replicas.
	Replicas int
}

// These errors say why a VM takes no traffic.
var (
	errNoTable  = errors.New("no configuration was read yet")
	errDraining = errors.New("the VM is stopping")
	errNoSeat   = errors.New("the VM has no part of the customers' rates yet")
)

// Ready returns why the VM takes no new connections, or nil.
func (s *Snapshot) Ready() error {
	switch {
	case s.Draining:
		return errDraining
	case s.Table == nil:
		return errNoTable
	case !s.Seated:
		return errNoSeat
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

// Snapshot returns the published state.
func (l *Loop) Snapshot() *Snapshot { return l.snapshot.Load() }

// Run runs the loop and follows the store until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	l.ctx = ctx
	var wait sync.WaitGroup
	wait.Go(func() { l.watchConfiguration(ctx) })
	wait.Go(func() { l.watchReplicas(ctx) })
	wait.Go(func() { l.keepSeat(ctx) })
	l.Loop.Run(ctx)
	wait.Wait()
	l.jobs.Wait()
}

// start runs a job of the control state outside of its thread.
func (l *Loop) start(job func(ctx context.Context)) {
	l.jobs.Go(func() { job(l.ctx) })
}

// post hands an event to the loop; it is lost only when the process ends.
func (l *Loop) post(ctx context.Context, e Event) { _ = l.Post(ctx, e) }

// State is the control state. Only the control thread touches it.
type State struct {
	config    Config
	loop      *Loop
	table     *routing.Table
	confirmed time.Time
	draining  bool
	replicas  *replica.Registry
	usual     map[string]usual // by kind of request
	rates     map[string]*allowance
	seats     seatView
	dirty     bool
}

func newState(c Config, l *Loop) *State {
	return &State{
		config: c, loop: l, replicas: replica.NewRegistry(c.Self.VM),
		usual: map[string]usual{}, rates: map[string]*allowance{},
		seats: newSeatView(c.Self), dirty: true,
	}
}

// Step implements eventloop.Stepper.
func (s *State) Step(now time.Time) time.Time {
	next := now.Add(eventloop.MaxSleep)
	for _, due := range []time.Time{s.replicas.Expire(now), s.stepRates(now), s.stepSeats(now)} {
		if !due.IsZero() && due.Before(next) {
			next = due
		}
	}
	if s.dirty {
		s.publish()
	}
	return next
}

func (s *State) publish() {
	s.dirty = false
	s.loop.snapshot.Store(&Snapshot{
		Table: s.table, ConfirmedAt: s.confirmed, Draining: s.draining,
		Seats: s.seats.all(), Seated: s.seats.usable, Replicas: s.replicas.Count(),
	})
}

// Drain begins a graceful shutdown: the VM is no longer ready.
type Drain struct{ Done chan<- struct{} }

// Apply implements Event.
func (e Drain) Apply(s *State, _ time.Time) {
	s.draining = true
	s.publish()
	close(e.Done)
}
