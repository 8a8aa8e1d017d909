package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testPolicy = Policy{Rate: 10, Burst: 20, Seats: 2}

// registeredOwner returns an owner with a full bucket, at which VM "a" is registered,
// and the next ask of "a".
func registeredOwner(now time.Time) (*Owner, Ask) {
	o := NewOwner(testPolicy, now.Add(-time.Hour), now)
	o.SetEpoch(1)
	a := Ask{VM: "a", Incarnation: 1, Sequence: 1, Settled: true}
	for ; o.level < 10; a.Sequence++ {
		o.Ask(now, a)
		a.Epoch = 1
		now = now.Add(time.Second)
	}
	return o, a
}

// TestRepeatedAskIsGrantedOnce guards against tokens that are granted twice for one
// ask or its copies.
func TestRepeatedAskIsGrantedOnce(t *testing.T) {
	o, a := registeredOwner(simStart)
	now := o.updated
	a.Want = 4
	first := o.Ask(now, a)
	again := o.Ask(now.Add(time.Second), a)
	require.InDelta(t, 4, first.Tokens, 0)
	require.InDelta(t, 4, again.Tokens, 0)
	require.Equal(t, first.Lifetime-time.Second, again.Lifetime)
	require.InDelta(t, 4, o.granted, 0)
	require.Zero(t, o.Ask(now.Add(GrantLifetime), a).Tokens)
	a.Sequence--
	require.Zero(t, o.Ask(now, a).Tokens, "an older sequence number")
}

// TestLostGrantCountsUntilItExpires guards against a bucket that refills while
// the tokens of a lost grant may still be spent.
func TestLostGrantCountsUntilItExpires(t *testing.T) {
	o, a := registeredOwner(simStart)
	a.Want = 10
	now := o.updated
	require.InDelta(t, 10, o.Ask(now, a).Tokens, 0)
	o.advance(now.Add(RegistrationTTL - 2*time.Second))
	require.Zero(t, o.level)
	o.advance(now.Add(GrantLifetime + ClockMargin))
	require.Zero(t, o.granted)
}

// TestReportOfExpiredPoolChangesNothing guards against a late report on an expired
// pool that changes the level or newer outstanding tokens.
func TestReportOfExpiredPoolChangesNothing(t *testing.T) {
	o, a := registeredOwner(simStart)
	m := o.members["a"]
	a.Want = 4
	now := o.updated
	o.Ask(now, a)
	o.advance(now.Add(GrantLifetime + ClockMargin))
	require.Zero(t, m.outstanding)
	level := o.level
	o.Ask(o.updated, Ask{VM: "a", Incarnation: 1, Sequence: a.Sequence + 1, Epoch: 1, Held: 2, Returned: 2})
	require.InDelta(t, level, o.level, 0)
}

// TestLateGrantAddsNothing guards against tokens that are spent after the owner has
// stopped counting them as outstanding.
func TestLateGrantAddsNothing(t *testing.T) {
	limiter := NewLimiter(testPolicy, simStart, simStart.Add(FallbackDelay))
	limiter.Take(simStart, 1) // without demand there is no ask
	a, ok := limiter.NextAsk(simStart)
	require.True(t, ok)
	g := Grant{Sequence: a.Sequence, Epoch: 1, Tokens: 5, Lifetime: GrantLifetime}
	limiter.Granted(simStart.Add(GrantLifetime), simStart, g)
	ok, _ = limiter.Take(simStart.Add(GrantLifetime), 1)
	require.False(t, ok)
}

// TestWaitersAreAdmittedInOrder guards against a later request that overtakes an
// earlier one, and against an admission after the deadline.
func TestWaitersAreAdmittedInOrder(t *testing.T) {
	limiter := NewLimiter(testPolicy, simStart, simStart.Add(FallbackDelay))
	expired := limiter.Wait(simStart, 1, simStart.Add(10*time.Millisecond))
	first := limiter.Wait(simStart, 1, simStart.Add(time.Minute))
	cancelled := limiter.Wait(simStart, 1, simStart.Add(time.Minute))
	second := limiter.Wait(simStart, 1, simStart.Add(time.Minute))
	require.True(t, limiter.Cancel(cancelled))
	a, ok := limiter.NextAsk(simStart)
	require.True(t, ok)
	require.Equal(t, simStart.Add(10*time.Millisecond), limiter.NextDeadline())
	now := simStart.Add(50 * time.Millisecond)
	limiter.Granted(now, simStart, Grant{Sequence: a.Sequence, Tokens: 2, Lifetime: GrantLifetime})
	ok, _ = limiter.Take(now, 1)
	require.False(t, ok, "a request passed the waiting ones")
	require.Equal(t, []uint64{first, second}, limiter.Admit(now))
	require.False(t, limiter.Cancel(expired))
	last := limiter.Wait(now, 1, now.Add(time.Minute))
	require.Empty(t, limiter.Admit(now.Add(MaxWait)), "%d waited longer than the longest wait", last)
}

// TestLargerShareWaitsForAllVMs guards against VMs that use a larger share while
// others still apply the old policy.
func TestLargerShareWaitsForAllVMs(t *testing.T) {
	limiter := NewLimiter(testPolicy, simStart, simStart.Add(FallbackDelay))
	now := simStart.Add(time.Minute)
	limiter.SetPolicy(now, Policy{Rate: 100, Burst: 2, Seats: 2})
	require.Equal(t, share{rate: 5, burst: 1}, limiter.policy.now)
	require.InDelta(t, 1, limiter.fallback, 0)
	limiter.SetPolicy(now.Add(time.Second), Policy{Rate: 100, Burst: 2, Seats: 2})
	limiter.advance(now.Add(PropagationDelay))
	require.Equal(t, share{rate: 50, burst: 1}, limiter.policy.now)
}

// TestFirstRequestAfterIdleTimePassesAtOnce guards against a first request that waits
// for the owner although the VM's fallback bucket is full, and against asks of VMs
// without demand.
func TestFirstRequestAfterIdleTimePassesAtOnce(t *testing.T) {
	limiter := NewLimiter(testPolicy, simStart, simStart.Add(FallbackDelay))
	for now := simStart; now.Before(simStart.Add(time.Minute)); now = now.Add(time.Second) {
		_, asks := limiter.NextAsk(now)
		require.False(t, asks, "an idle VM asks at %v", now)
	}
	ok, _ := limiter.Take(simStart.Add(time.Minute), 1)
	require.True(t, ok)
}

// TestRecalledVMRegisters guards against a share that stays at a VM without demand
// while the owner is short of tokens, and against a registration that is renewed
// after the customer's demand has ended.
func TestRecalledVMRegisters(t *testing.T) {
	owner := NewOwner(testPolicy, simStart.Add(-time.Hour), simStart)
	owner.SetEpoch(1)
	idle := NewLimiter(testPolicy, simStart, simStart.Add(FallbackDelay))
	idle.VM, idle.Incarnation = "idle", 1
	now := simStart.Add(time.Minute)
	demand := Ask{VM: "busy", Incarnation: 1, Sequence: 1, Want: 5, Settled: true}
	owner.Ask(now, demand)
	require.True(t, owner.Recall(now))
	require.False(t, owner.Recall(now), "recalled twice within the interval")
	require.False(t, owner.Counts(now, "idle"))
	idle.Recall()
	lastAsk := time.Time{}
	end := now.Add(time.Minute)
	for at := now; at.Before(end); at = at.Add(50 * time.Millisecond) {
		if a, ok := idle.NextAsk(at); ok {
			lastAsk = at
			idle.Granted(at, at, owner.Ask(at, a))
		}
		if at == now.Add(2*time.Second) {
			require.True(t, owner.Counts(at, "idle"))
		}
	}
	require.LessOrEqual(t, lastAsk.Sub(now), keepRegistered+IdleInterval)
	require.Positive(t, idle.fallback, "the fallback bucket did not fill again")
}

// TestVacancyNeedsAnUnbrokenObservation guards against counting a vacant seat whose
// former holder an owner may still count, or that was held between two reads.
func TestVacancyNeedsAnUnbrokenObservation(t *testing.T) {
	var v Vacancies
	now := simStart
	read := func(seats, vacant int) int {
		now = now.Add(time.Second)
		v.Observe(now, seats, vacant)
		n, _ := v.Count()
		return n
	}
	observe := func(seats, vacant, reads int) (last int) {
		for range reads {
			last = read(seats, vacant)
		}
		return last
	}
	require.Zero(t, observe(10, 1, 7))
	require.Equal(t, 1, read(10, 1))
	require.Equal(t, 0, read(10, 0))
	require.Zero(t, observe(10, 1, 6), "the seat was held within the last FallbackDelay")
	require.Equal(t, 1, observe(10, 1, 2))
	require.Zero(t, read(11, 2), "the number of seats has changed")
	require.Equal(t, 2, observe(11, 2, 8))
	now = now.Add(RegistrationTTL)
	require.Zero(t, read(11, 2), "a gap between two reads")
}

// TestPooledCustomerNeedsNoRegistration guards against a customer with a burst of
// less than one request per seat whose tokens stay in fallback buckets that cannot
// admit a request.
func TestPooledCustomerNeedsNoRegistration(t *testing.T) {
	p := Policy{Rate: 50, Burst: 100, Seats: 410}
	owner := NewOwner(p, simStart.Add(-time.Hour), simStart)
	limiter := NewLimiter(p, simStart, simStart)
	now := simStart.Add(time.Minute)
	ok, _ := limiter.Take(now, 1)
	require.False(t, ok)
	id := limiter.Wait(now, 1, now.Add(MaxWait))
	a, ok := limiter.NextAsk(now)
	require.True(t, ok)
	g := owner.Ask(now, a)
	require.False(t, g.Registered)
	require.Equal(t, BriefGrantLifetime, g.Lifetime)
	limiter.Granted(now, now, g)
	require.Equal(t, []uint64{id}, limiter.Admit(now))
	require.Greater(t, limiter.NextDeadline().Sub(now), time.Minute, "a spent token of a brief grant was to be reported")
	require.InDelta(t, 99, owner.level, 0)
	owner.advance(now.Add(2 * BriefGrantLifetime))
	require.Zero(t, owner.granted)
}

func BenchmarkTake(b *testing.B)    { benchmark(b, "take") }
func BenchmarkAsk(b *testing.B)     { benchmark(b, "ask") }
func BenchmarkGranted(b *testing.B) { benchmark(b, "granted") }

func benchmark(b *testing.B, op string) {
	for _, size := range []struct{ customers, vms int }{{8, 10}, {80, 40}, {630, 410}} {
		b.Run(fmt.Sprintf("customers=%d/vms=%d", size.customers, size.vms), func(b *testing.B) {
			p := Policy{Rate: 1e6, Burst: 1e6, Seats: size.vms}
			limiters := make([]*Limiter, size.customers)
			owners := make([]*Owner, size.customers)
			names := make([]string, size.vms)
			for i := range names {
				names[i] = fmt.Sprint("vm", i)
			}
			for i := range limiters {
				limiters[i], owners[i] = NewLimiter(p, simStart, simStart), NewOwner(p, simStart.Add(-time.Hour), simStart)
			}
			now := simStart.Add(time.Minute)
			sequence := uint64(0)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				c := i % size.customers
				if c == 0 {
					sequence++
					now = now.Add(time.Millisecond)
				}
				switch op {
				case "take":
					limiters[c].Take(now, 1)
				case "ask":
					owners[c].Ask(now, Ask{VM: names[sequence%uint64(size.vms)], Incarnation: 1, Sequence: sequence, Want: 1})
				case "granted":
					limiters[c].pending = true
					limiters[c].Granted(now, now, Grant{Sequence: limiters[c].sequence, Tokens: 1, Lifetime: GrantLifetime})
				}
			}
		})
	}
}
