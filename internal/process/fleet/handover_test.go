package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/version/routing"
	"hornbeamvale.example/hornbeamvale/operator"
)

// joiningFleet is a fleet in virtual time whose VMs read the members at moments of their
// own.
type joiningFleet struct {
	*rateFleet
	random    *rand.Rand
	customers []string
	written   []time.Time // when each VM wrote its first row
	nextRead  []time.Time
}

const readDelay = 4 * time.Millisecond

// newJoiningFleet returns a fleet in which later VMs join to the given number at the time
// joinAt, all within half a second.
func newJoiningFleet(t *testing.T, seed uint64, before, after int, rate float64, joinAt time.Time) *joiningFleet {
	f := &joiningFleet{rateFleet: &rateFleet{now: start, lost: map[string]bool{}}, random: rand.New(rand.NewPCG(seed, 1))}
	var customers []operator.Customer
	for i := range 12 {
		name := fmt.Sprint("customer", seed, "-", i)
		f.customers = append(f.customers, name)
		customers = append(customers, operator.Customer{Name: name, Rate: rate, Burst: rate, Endpoints: []string{"*"}, Programs: []string{"*"}})
	}
	table, err := routing.Compile(routing.Document{Number: 1, Customers: customers})
	require.NoError(t, err)
	for i := range after {
		vm := newFixture(t)
		vm.config.Self, vm.config.Peers = member(i), f
		vm.members = newMemberView(member(i))
		configurationRead{table: table, at: start}.Apply(vm.State, start)
		f.vms = append(f.vms, vm)
		if i < before {
			f.written = append(f.written, start.Add(-time.Second))
			f.nextRead = append(f.nextRead, start)
			continue
		}
		written := joinAt.Add(time.Duration(f.random.Int64N(int64(500 * time.Millisecond))))
		f.written = append(f.written, written)
		f.nextRead = append(f.nextRead, written.Add(readDelay))
	}
	for i := range before {
		f.read(i, true)
		f.nextRead[i] = start.Add(time.Duration(f.random.Int64N(int64(memberPollInterval))))
	}
	return f
}

// read makes a VM read the members.
func (f *joiningFleet) read(vm int, wasMember bool) {
	e := membersRead{wasMember: wasMember, renewed: f.now.Add(-2 * readDelay), sent: f.now.Add(-readDelay)}
	for i, written := range f.written {
		if !written.After(e.sent) {
			e.members = append(e.members, memberState{Member: member(i), revision: uint64(f.now.UnixNano())})
		}
	}
	e.Apply(f.vms[vm].State, f.now)
	f.vms[vm].Step(f.now)
	f.nextRead[vm] = f.now.Add(memberPollInterval + time.Duration(f.random.Int64N(int64(10*time.Millisecond))))
}

// advance lets time pass and the VMs that are due read the members.
func (f *joiningFleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	for i, vm := range f.vms {
		if !f.now.Before(f.nextRead[i]) {
			f.read(i, false)
		}
		vm.Step(f.now)
	}
}

// running returns the VMs that have read the members, in random order.
func (f *joiningFleet) running() []*fixture {
	var out []*fixture
	for _, vm := range f.vms {
		if !vm.members.lastRead.IsZero() {
			out = append(out, vm)
		}
	}
	f.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// TestJoiningMembersLeaveTheRateUsable guards against customers that are refused after VMs
// were added: both holders of a small rate were new, could not use their shares yet and said
// that they would have no token for an hour, which each borrower remembered. Bounds: no
// customer is without a token for longer than members differ, no refusal names more than
// the time until new members use their shares, and the shares in use never exceed the rate.
func TestJoiningMembersLeaveTheRateUsable(t *testing.T) {
	const rate, step = 16.0, 25 * time.Millisecond
	for _, c := range []struct {
		before, after int
		seeds         uint64
	}{{1, 3, 4}, {4, 10, 4}, {10, 12, 2}, {20, 60, 1}} {
		for seed := range c.seeds {
			t.Run(fmt.Sprintf("%d to %d VMs, seed %d", c.before, c.after, seed), func(t *testing.T) {
				joinAt := start.Add(6 * time.Second)
				f := newJoiningFleet(t, seed, c.before, c.after, rate, joinAt)
				served := map[string]time.Time{}
				for f.now.Before(joinAt.Add(12 * time.Second)) {
					f.advance(step)
					running := f.running()
					for _, customer := range f.customers {
						f.requireSharesWithin(t, customer, rate)
						vm := running[f.random.IntN(len(running))]
						reply := make(chan TakeRateTokenResult, 1)
						TakeRateToken{Customer: customer, Reply: reply, Deadline: f.now.Add(step)}.Apply(vm.State, f.now)
						got := TakeRateTokenResult{OK: true} // it waits for a token
						if len(reply) > 0 {
							got = <-reply
						}
						require.LessOrEqual(t, got.RetryAfter, joinDelay, "at %s", f.now.Sub(start))
						if got.OK {
							served[customer] = f.now
						}
						if f.now.After(start.Add(time.Second)) {
							require.Less(t, f.now.Sub(served[customer]), memberPollInterval+250*time.Millisecond, "%s gets no token at %s", customer, f.now.Sub(start))
						}
					}
				}
				for _, customer := range f.customers {
					require.InDelta(t, rate, f.usedRate(customer), 1e-6, "a part of the rate is not used")
				}
			})
		}
	}
}

// usedRate returns the sum of the shares that the VMs use.
func (f *joiningFleet) usedRate(customer string) float64 {
	sum := 0.0
	for _, vm := range f.vms {
		if r := vm.rates[customer]; r != nil {
			sum += r.bucket.Rate()
		}
	}
	return sum
}

func (f *joiningFleet) requireSharesWithin(t *testing.T, customer string, rate float64) {
	t.Helper()
	if used := f.usedRate(customer); used > rate+1e-6 {
		t.Fatalf("%s: shares of %v requests/s are used of a rate of %v at %s", customer, used, rate, f.now.Sub(start))
	}
}

// TestLostShareEndsDuringAPause guards against a process that was paused while it used a
// share that it had lost to a new member, and uses it once more when it goes on.
func TestLostShareEndsDuringAPause(t *testing.T) {
	f := newJoiningFleet(t, 1, 2, 30, 16, start.Add(3*time.Second))
	for range 400 {
		f.advance(25 * time.Millisecond)
		for _, vm := range f.vms[:2] {
			for _, customer := range f.customers {
				r := vm.rates[customer]
				if r.usableUntil.IsZero() {
					continue
				}
				later := r.usableUntil.Add(time.Second)
				reply := make(chan Loan, 1)
				Lend{Customer: customer, Reply: reply}.Apply(vm.State, later)
				require.True(t, (<-reply).NoShare)
				return
			}
		}
	}
	t.Fatal("no share was lost")
}

// TestExhaustionEndsWithAChange guards against a refusal that is remembered although the
// rate on which it was based has changed.
func TestExhaustionEndsWithAChange(t *testing.T) {
	f := newRateFleet(t, 3, 2)
	f.advance(2 * time.Second)
	i := slices.IndexFunc(f.vms, func(vm *fixture) bool { return !vm.rates["parish"].holds })
	require.GreaterOrEqual(t, i, 0)
	r := f.vms[i].rates["parish"]
	for r.exhaustedUntil.IsZero() {
		f.request(i)
	}
	configurationRead{table: table(t, 2, 100), at: f.now}.Apply(f.vms[i].State, f.now)
	require.Zero(t, f.vms[i].rates["parish"].exhaustedUntil)
}

// TestHoldersAloneAreAskedInSteadyState guards against calls to VMs without a share once all
// holders use theirs.
func TestHoldersAloneAreAskedInSteadyState(t *testing.T) {
	f := newRateFleet(t, 10, 5)
	f.advance(2 * time.Second)
	for i := range 100 {
		f.request(i % 10)
	}
	require.Positive(t, f.asked)
	require.Zero(t, f.askedWithoutShare)
}
