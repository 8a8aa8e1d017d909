// Package replicapath tells whether this VM reaches the replicas. A network fault can cut
// a VM off from all replicas while callers, the store and the other VMs still reach it;
// its requests then go through another VM. A replica that is down is no such fault: the
// path counts as lost only if other replicas cannot be reached either.
package replicapath

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
)

const (
	// dialTimeout bounds one test connection. A handshake with a replica that is up takes
	// some milliseconds.
	dialTimeout = 250 * time.Millisecond
	// furtherReplicas is the number of replicas that have to be out of reach, beside the
	// first one that was tested, before the path counts as lost.
	furtherReplicas = 3
	// reachedValidity is how long a successful test is not repeated.
	reachedValidity = 500 * time.Millisecond
	// probeInterval is the time between two tests while the path is lost.
	probeInterval = 500 * time.Millisecond
)

// State is whether this VM reaches the replicas.
type State int32

// The states of a path.
const (
	Direct State = iota
	// Lost means that requests have to go through another VM.
	Lost
)

// String implements fmt.Stringer.
func (s State) String() string { return [...]string{"direct", "lost"}[s] }

// Config configures a Path.
type Config struct {
	// Sample returns the addresses of up to n listed replicas, chosen at random.
	Sample func(ctx context.Context, n int) []string
	// Dial connects to an address and closes the connection.
	Dial func(ctx context.Context, address string) error
	// Changed is told each new state. It must not block.
	Changed func(s State)
}

// Path is the state of the network path from this VM to the replicas. It is safe for
// concurrent use.
type Path struct {
	config    Config
	state     atomic.Int32
	reachedAt atomic.Int64  // last successful test, as clock.Monotonic in nanoseconds; 0 if there was none
	lost      chan struct{} // tells Run that the path is lost

	mu      sync.Mutex
	running *test // nil if none is under way
}

// test is a test that several requests may wait for.
type test struct {
	done    chan struct{} // closed after reached is set
	reached bool
}

// New returns a path that counts as direct.
func New(c Config) *Path { return &Path{config: c, lost: make(chan struct{}, 1)} }

// State returns the present state.
func (p *Path) State() State { return State(p.state.Load()) }

// Run tests a lost path until ctx ends.
func (p *Path) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.lost:
		}
		for p.State() == Lost && clock.Sleep(ctx, probeInterval) {
			p.Test(ctx)
		}
	}
}

// Test finds out whether this VM reaches any replica, and returns the state. Requests that
// ask at the same time share one test. An earlier success is used for reachedValidity.
func (p *Path) Test(ctx context.Context) State {
	if at := p.reachedAt.Load(); at != 0 && clock.Monotonic()-time.Duration(at) < reachedValidity {
		return p.State()
	}
	p.mu.Lock()
	t := p.running
	if t == nil {
		t = &test{done: make(chan struct{})}
		p.running = t
		go p.run(context.WithoutCancel(ctx), t)
	}
	p.mu.Unlock()
	select {
	case <-t.done:
	case <-ctx.Done():
	}
	return p.State()
}

// run performs a test and sets the state.
func (p *Path) run(ctx context.Context, t *test) {
	addresses := p.config.Sample(ctx, 1+furtherReplicas)
	switch {
	case len(addresses) == 0:
		t.reached = true // without a replica there is nothing to go around
	case p.reaches(ctx, addresses[:1]):
		t.reached = true
	default:
		t.reached = len(addresses) > 1 && p.reaches(ctx, addresses[1:])
	}
	if t.reached {
		p.reachedAt.Store(clock.Monotonic().Nanoseconds())
		p.set(Direct)
	} else {
		p.set(Lost)
	}
	p.mu.Lock()
	p.running = nil
	p.mu.Unlock()
	close(t.done)
}

// reaches reports whether one of the addresses accepts a connection.
func (p *Path) reaches(ctx context.Context, addresses []string) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	results := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() { results <- p.config.Dial(ctx, address) == nil }()
	}
	for range addresses {
		if <-results {
			return true
		}
	}
	return false
}

func (p *Path) set(s State) {
	if State(p.state.Swap(int32(s))) == s {
		return
	}
	p.config.Changed(s)
	if s == Lost {
		select {
		case p.lost <- struct{}{}:
		default:
		}
	}
}
