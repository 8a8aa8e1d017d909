package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/process/configuration"
	"hornbeamvale.example/hornbeamvale/internal/process/limit"
	"hornbeamvale.example/hornbeamvale/internal/process/member"
	"hornbeamvale.example/hornbeamvale/internal/process/ownership"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/platform/platformtest"
	"hornbeamvale.example/hornbeamvale/operator"
)

var errUnreachable = errors.New("the VM is unreachable")

const (
	fleetVMs = 10
	// fleetSeats includes seats for VMs that join again while their old seats are
	// locked.
	fleetSeats  = 13
	callTimeout = time.Second
	// stopBound bounds the time of a shutdown without running turns: a poll, the
	// wait for accounts to be fetched and a lost message.
	stopBound = time.Second + accountFetchWait + callTimeout
)

// fleet is a set of control loops on one platform that post events to one another.
type fleet struct {
	t        *testing.T
	platform *platformtest.Fake
	vms      []*fleetVM

	mu   sync.Mutex
	rng  *rand.Rand
	loss float64
	// asks counts the messages with asks.
	asks int
}

type fleetVM struct {
	fleet  *fleet
	name   string
	loop   *Loop
	cancel context.CancelFunc
	done   chan struct{}

	mu        sync.Mutex
	cut, dead bool
}

func (v *fleetVM) reachable() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.cut && !v.dead
}

func (v *fleetVM) set(change func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	change()
}

// partitionableClient is a VM's connection to the platform. It fails while the VM is cut
// off.
type partitionableClient struct {
	platform.Client
	vm *fleetVM
}

func (c partitionableClient) Commit(ctx context.Context, tx platform.Tx) (platform.TxResult, error) {
	if !c.vm.reachable() {
		return platform.TxResult{}, &platform.Error{Kind: platform.NotApplied, Op: "commit", Err: errUnreachable}
	}
	return c.Client.Commit(ctx, tx)
}

func (c partitionableClient) Read(ctx context.Context, r platform.Read) (platform.ReadResult, error) {
	if !c.vm.reachable() {
		return platform.ReadResult{}, &platform.Error{Kind: platform.NotApplied, Op: "read", Err: errUnreachable}
	}
	return c.Client.Read(ctx, r)
}

// call posts an event to another member's loop and waits until it is answered, with a
// delay in each direction. It fails if the message is lost.
func (v *fleetVM) call(ctx context.Context, to Peer, e Event, answered <-chan struct{}) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	target := v.fleet.find(to)
	f := v.fleet
	f.mu.Lock()
	lost := f.rng.Float64() < f.loss
	delay := time.Duration(1+f.rng.Intn(3)) * time.Millisecond
	if f.rng.Float64() < 0.02 {
		delay = time.Duration(f.rng.Intn(int(callTimeout)))
	}
	f.mu.Unlock()
	time.Sleep(delay)
	if target == nil || lost || !v.reachable() || !target.reachable() {
		<-ctx.Done()
		return errUnreachable
	}
	if err := target.loop.Post(ctx, e); err != nil {
		return err
	}
	select {
	case <-answered:
		time.Sleep(delay)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *fleet) find(p Peer) *fleetVM {
	for _, v := range f.vms {
		if v.name == p.VM {
			return v
		}
	}
	return nil
}

// closedChan returns the answered channel of a message without an answer.
var closedChan = func() chan struct{} { c := make(chan struct{}); close(c); return c }

func (v *fleetVM) NotifySlots(ctx context.Context, to Peer) error {
	return v.call(ctx, to, SlotsChanged{}, closedChan())
}

func (v *fleetVM) NotifyVersion(ctx context.Context, to Peer, number uint64) error {
	return v.call(ctx, to, VersionAnnounced{Number: number}, closedChan())
}

func (v *fleetVM) RecallLimits(ctx context.Context, to Peer, customers []string) error {
	return v.call(ctx, to, LimitRecall{Customers: customers}, closedChan())
}

func (v *fleetVM) ConfirmVersion(ctx context.Context, to Peer) (Confirmation, error) {
	return ask(ctx, v, to, func(reply chan Confirmation) Event { return QueryConfirmation{Reply: reply} })
}

func (v *fleetVM) AskLimits(ctx context.Context, to Peer, asks []CustomerAsk) ([]CustomerGrant, error) {
	v.fleet.mu.Lock()
	v.fleet.asks++
	v.fleet.mu.Unlock()
	return ask(ctx, v, to, func(reply chan []CustomerGrant) Event { return LimitAsks{Asks: asks, Reply: reply} })
}

func (v *fleetVM) FetchAccounts(ctx context.Context, to Peer, queries []AccountQuery) ([]CustomerAccount, error) {
	return ask(ctx, v, to, func(reply chan []CustomerAccount) Event { return FetchAccounts{Queries: queries, Reply: reply} })
}

// ask sends an event to another member and returns its answer.
func ask[T any](ctx context.Context, v *fleetVM, to Peer, event func(chan T) Event) (T, error) {
	reply, answered := make(chan T, 1), make(chan struct{})
	var answer T
	bounded, cancel := context.WithTimeout(ctx, 3*callTimeout)
	defer cancel()
	go func() {
		select {
		case answer = <-reply:
			close(answered)
		case <-bounded.Done():
		}
	}()
	if err := v.call(ctx, to, event(reply), answered); err != nil {
		var none T
		return none, err
	}
	return answer, nil
}

func newFleet(t *testing.T, seed int64, customers []operator.Customer) *fleet {
	f := &fleet{t: t, platform: platformtest.New(), rng: rand.New(rand.NewSource(seed)), loss: 0.02}
	doc := &operator.Document{Fleet: operator.Fleet{Seats: fleetSeats}, Customers: customers}
	_, err := configuration.Submit(context.Background(), f.platform, 0, doc, "first")
	require.NoError(t, err)
	for i := range fleetVMs {
		f.start(fmt.Sprintf("vm-%d", i))
	}
	return f
}

func (f *fleet) start(name string) {
	v := &fleetVM{fleet: f, name: name, done: make(chan struct{})}
	runs := 0
	v.loop = NewLoop(Config{
		Info: member.Info{VM: name, Address: name}, NewMemberID: func() string { runs++; return fmt.Sprint(name, ".", runs) },
		Platform: partitionableClient{f.platform, v}, LeaseTTL: 10 * time.Second, SeatTTL: 3 * time.Minute, PollInterval: time.Second,
		FreshnessBound: 3 * time.Second, WritesPerSecond: 300, Peers: v,
	})
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	f.vms = append(f.vms, v)
	go func() {
		defer close(v.done)
		v.loop.Run(ctx)
	}()
}

func (f *fleet) kill(v *fleetVM) {
	v.set(func() { v.dead = true })
	v.cancel()
	<-v.done
}

// stop shuts down a VM gracefully within stopBound.
func (f *fleet) stop(v *fleetVM) {
	done, start := make(chan struct{}), time.Now()
	require.NoError(f.t, v.loop.Post(context.Background(), Stop{Done: done}))
	<-done
	require.Less(f.t, time.Since(start), stopBound, "the graceful shutdown took too long, as if slots came back to the stopping VM")
	f.kill(v)
}

// owner returns the VM that grants a customer's tokens, or nil if there is none.
func (f *fleet) owner(customer string) *fleetVM {
	for _, v := range f.vms {
		s := v.loop.Snapshot()
		if p, ok := s.Owner(ownership.CustomerSlot(customer)); ok && p.ID == s.Self && v.reachable() && s.LeaseValid(time.Now()) {
			return v
		}
	}
	return nil
}

// pauseLoop is an event that blocks the control thread, as a pause of the process does.
type pauseLoop time.Duration

func (e pauseLoop) Apply(*State, time.Time) { time.Sleep(time.Duration(e)) }

// fleetRequest is a customer's request. naive and static say whether the two reference
// limiters admit it, see compare.
type fleetRequest struct {
	at         time.Duration
	vm         int
	admittedAt time.Duration // 0 when refused
	naive      bool
	static     bool
}

// admit makes an entry VM's checks: the state of the VM, then the customer's rate.
func (v *fleetVM) admit(customer string) bool {
	now, s := time.Now(), v.loop.Snapshot()
	if !s.Joined || !s.SeatValid(now) || !s.ConfigurationFresh(now) || s.Stopping {
		return false
	}
	deadline := now.Add(limit.MaxWait)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	reply := make(chan bool, 1)
	if v.loop.Post(ctx, TakeRateToken{Customer: customer, Deadline: deadline, Reply: reply}) != nil {
		return false
	}
	select {
	case ok := <-reply:
		return ok
	case <-ctx.Done():
	}
	after, cancelAfter := context.WithTimeout(context.Background(), callTimeout)
	defer cancelAfter()
	_ = v.loop.Post(after, CancelRateWait{Reply: reply})
	return false
}

// drive sends a customer's requests for the given duration, with weight 1/i² for VM i.
// Requests for a VM that has ended go to the next one, as with a load balancer.
func (f *fleet) drive(customer string, perSecond float64, seed int64, start time.Time, duration time.Duration) []*fleetRequest {
	rng := rand.New(rand.NewSource(seed))
	var requests []*fleetRequest
	var wg sync.WaitGroup
	total := 0.0
	for i := range fleetVMs {
		total += 1 / float64((i+1)*(i+1))
	}
	for {
		time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		at := time.Since(start)
		if at >= duration {
			break
		}
		i, x := 0, rng.Float64()*total
		for x -= 1; x > 0 && i < fleetVMs-1; x -= 1 / float64((i+1)*(i+1)) {
			i++
		}
		v := f.vms[i]
		for j := 1; v.isDead(); j++ {
			v = f.vms[(i+j)%fleetVMs]
		}
		r := &fleetRequest{at: at, vm: i}
		requests = append(requests, r)
		wg.Go(func() {
			if v.admit(customer) {
				r.admittedAt = time.Since(start)
			}
		})
	}
	wg.Wait()
	return requests
}

func (v *fleetVM) isDead() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.dead
}

// bucket is a simple token bucket, the reference for the distributed limit.
type bucket struct {
	level, rate, burst float64
	at                 time.Duration
}

func (b *bucket) take(at time.Duration) bool {
	b.level = min(b.burst, b.level+b.rate*(at-b.at).Seconds())
	b.at = at
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// compare runs the requests through a single bucket for the fleet (naive) and through a
// bucket with rate/seats at each VM (static).
func compare(rs []*fleetRequest, rate, burst float64) {
	naive := bucket{level: burst, rate: rate, burst: burst}
	static := make([]bucket, fleetVMs)
	for i := range static {
		static[i] = bucket{rate: rate / fleetSeats, burst: burst / fleetSeats}
	}
	for _, r := range rs {
		r.naive, r.static = naive.take(r.at), static[r.vm].take(r.at)
	}
}

// requireBound requires for every window that admitted <= burst + rate*window.
func requireBound(t *testing.T, rs []*fleetRequest, rate, burst float64) {
	var admitted []time.Duration
	for _, r := range rs {
		if r.admittedAt > 0 {
			admitted = append(admitted, r.admittedAt)
		}
	}
	slices.Sort(admitted)
	best := 0.0
	for j, at := range admitted {
		line := float64(j) - rate*at.Seconds()
		if j == 0 || -line > best {
			best = -line
		}
		require.LessOrEqual(t, line+1+best, burst+1e-6, "window that ends at %v", at)
	}
}

// TestFleetKeepsRatesUnderFaults guards against more admitted requests in any window than
// burst + rate*window when the owner of a customer's rate is stopped, killed, paused or
// cut off, and when the platform is down for longer than the lease TTL. One customer
// sends 4 times its rate, the other 0.8 times. The test logs the refused parts.
func TestFleetKeepsRatesUnderFaults(t *testing.T) {
	const rate, burst = 50.0, 100.0
	key := func(id string) []operator.Key {
		return []operator.Key{{ID: id, SHA256: fmt.Sprintf("%064x", []byte(id))}}
	}
	customers := []operator.Customer{
		{Name: "over", Keys: key("o"), Rate: rate, Burst: burst, Weight: 1},
		{Name: "under", Keys: key("u"), Rate: rate, Burst: burst, Weight: 1},
	}
	loads := map[string]float64{"over": 4, "under": 0.8}
	phases := []struct {
		name  string
		until time.Duration
	}{
		{"start", 20 * time.Second},
		{"no fault", 50 * time.Second},
		{"owner stopped", 70 * time.Second},
		{"owner killed", 100 * time.Second},
		{"owner paused 15 s", 130 * time.Second},
		{"owner cut off 20 s", 170 * time.Second},
		{"platform down 40 s", 210 * time.Second},
		{"after the outage", 240 * time.Second},
	}
	for _, seed := range []int64{1, 2} {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, seed, customers)
				start := time.Now()
				results := map[string][]*fleetRequest{}
				var mu sync.Mutex
				var wg sync.WaitGroup
				for i, c := range customers {
					wg.Go(func() {
						rs := f.drive(c.Name, rate*loads[c.Name], seed*10+int64(i), start, phases[len(phases)-1].until)
						mu.Lock()
						results[c.Name] = rs
						mu.Unlock()
					})
				}
				// All faults hit the owner of one customer. With faults
				// of two owners the seats would not suffice for the VMs
				// that join again.
				target := customers[seed-1].Name
				faults := []func(string){
					func(c string) { f.stop(f.mustOwner(c)) },
					func(c string) { f.kill(f.mustOwner(c)) },
					func(c string) {
						_ = f.mustOwner(c).loop.Post(context.Background(), pauseLoop(15*time.Second))
					},
					func(c string) {
						v := f.mustOwner(c)
						v.set(func() { v.cut = true })
						time.AfterFunc(20*time.Second, func() { v.set(func() { v.cut = false }) })
					},
				}
				for i, fault := range faults {
					time.Sleep(time.Until(start.Add(phases[i+1].until)))
					fault(target)
				}
				time.Sleep(time.Until(start.Add(phases[5].until)))
				f.platform.SetOutage(true)
				time.Sleep(40 * time.Second)
				f.platform.SetOutage(false)
				wg.Wait()
				for _, v := range f.vms {
					v.cancel()
					<-v.done
				}
				time.Sleep(5 * callTimeout) // until calls in flight have ended
				for _, c := range customers {
					rs := results[c.Name]
					compare(rs, rate, burst)
					from := time.Duration(0)
					for _, p := range phases {
						refused := logPhase(t, c.Name, p.name, rs, from, p.until)
						if c.Name == "under" && p.name == "no fault" {
							require.LessOrEqual(t, refused, 0.01, "more than 1% of the requests within the rate were refused")
						}
						from = p.until
					}
					requireBound(t, rs, rate, burst)
				}
			})
		})
	}
}

// mustOwner waits up to 30 s for a customer to have an owner and returns it.
func (f *fleet) mustOwner(customer string) *fleetVM {
	for range 30 {
		if v := f.owner(customer); v != nil {
			return v
		}
		time.Sleep(time.Second)
	}
	require.FailNow(f.t, "the customer's slot has no owner", customer)
	return nil
}

// logPhase logs the results of a phase and returns the fraction of requests that were
// refused although the naive bucket admits them.
func logPhase(t *testing.T, customer, phase string, rs []*fleetRequest, from, to time.Duration) float64 {
	var n, admitted, naive, static, wrongful, staticWrongful int
	for _, r := range rs {
		if r.at < from || r.at >= to {
			continue
		}
		n++
		ok := r.admittedAt > 0
		admitted += count(ok)
		naive += count(r.naive)
		static += count(r.static)
		wrongful += count(r.naive && !ok)
		staticWrongful += count(r.naive && !r.static)
	}
	part := func(x int) float64 { return float64(x) / float64(max(1, n)) }
	t.Logf("%-6s %-18s arrivals %5d; admitted: naive %.4f fleet %.4f static %.4f; refused though naive admits: fleet %.4f static %.4f",
		customer, phase, n, part(naive), part(admitted), part(static), part(wrongful), part(staticWrongful))
	return part(wrongful)
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// TestQuietTimeEndsWithThePreviousOwnersTokens guards against an owner that grants while
// tokens of the previous owner are in use: with a short lease TTL, and when the slot row
// of an owner in between was missed.
func TestQuietTimeEndsWithThePreviousOwnersTokens(t *testing.T) {
	require.Equal(t, limit.GrantLifetime+limit.ClockMargin-360*time.Millisecond, quietAfterEviction(time.Second))
	require.Zero(t, quietAfterEviction(10*time.Second))
	l := newLimits()
	l.setPreviousOwner(1, ownership.Owner{Member: "a", Epoch: 1}, ownership.Owner{Member: "self", Epoch: 2})
	require.Equal(t, "a", l.previousOwner[1])
	l.setPreviousOwner(1, ownership.Owner{Member: "a", Epoch: 2}, ownership.Owner{Member: "self", Epoch: 4})
	require.Empty(t, l.previousOwner[1])
}
