package share

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The seed is fixed so that a run can be repeated; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }

var start = time.Unix(1_000_000, 0)

// TestFleetStaysWithinRateAndBurst guards against loans that create tokens: whatever
// the VMs request and lend, and whichever loans are lost, the requests admitted in any
// period stay within the customer's rate and burst.
func TestFleetStaysWithinRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holders := rapid.IntRange(1, 6).Draw(t, "holders")
		rate := float64(rapid.IntRange(1, 200).Draw(t, "rate"))
		burst := float64(rapid.IntRange(holders, 300).Draw(t, "burst"))
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		now := start
		vms := make([]*Bucket, holders)
		for i := range vms {
			vms[i] = NewBucket(now, rate, burst, holders)
		}
		var admitted []time.Time
		for range 600 {
			now = now.Add(time.Duration(random.IntN(40)) * time.Millisecond)
			b := vms[random.IntN(holders)]
			b.RecordDemand(now)
			if b.Take(now) {
				admitted = append(admitted, now)
				continue
			}
			lender := vms[random.IntN(holders)]
			wait, ok := lender.Reserve(now, time.Duration(random.IntN(800))*time.Millisecond)
			if ok && random.IntN(5) > 0 { // otherwise the token is lost
				admitted = append(admitted, now.Add(wait))
			}
			if prefetched := lender.Lend(now, b.Prefetch(now)); random.IntN(5) > 0 {
				b.AddLoan(now, prefetched)
			}
		}
		// Loans and buckets together may exceed the burst by the tokens with which a
		// bucket refills while its tokens are lent.
		slack := rate*LoanLifetime.Seconds() + 1
		slices.SortFunc(admitted, time.Time.Compare)
		for i := range admitted {
			for j := i; j < len(admitted); j++ {
				window := admitted[j].Sub(admitted[i]).Seconds()
				if n := float64(j - i + 1); n > burst+rate*window+slack {
					t.Fatalf("%v requests in %v s with rate %v and burst %v", n, window, rate, burst)
				}
			}
		}
	})
}

// TestUnevenDemandCanUseTheWholeRate guards against refusals below the rate: one VM
// gets all requests of a customer and borrows from nine idle ones.
func TestUnevenDemandCanUseTheWholeRate(t *testing.T) {
	const holders, rate, seconds = 10, 100.0, 20
	vms := make([]*Bucket, holders)
	for i := range vms {
		vms[i] = NewBucket(start, rate, rate, holders)
	}
	now := start.Add(2 * time.Second) // the buckets are full
	admitted, requests := 0, 0
	for end := now.Add(seconds * time.Second); now.Before(end); now = now.Add(time.Second / rate * 10 / 9) {
		requests++
		vms[0].RecordDemand(now)
		admitted += takeAnywhere(now, vms)
	}
	require.Equal(t, requests, admitted)
}

// takeAnywhere takes a token of the first VM or, if it has none, of another one, which
// then also lends the expected demand. It returns the number of tokens taken, 0 or 1.
func takeAnywhere(now time.Time, vms []*Bucket) int {
	if vms[0].Take(now) {
		return 1
	}
	for _, lender := range vms[1:] {
		if lender.Take(now) {
			vms[0].AddLoan(now, lender.Lend(now, vms[0].Prefetch(now)))
			return 1
		}
	}
	return 0
}

// TestReservedTokensKeepTheRate guards against requests that wait for a token and are
// admitted faster than the rate, and against a wait that is longer than allowed.
func TestReservedTokensKeepTheRate(t *testing.T) {
	b := NewBucket(start, 5, 5, 1)
	now := start.Add(time.Minute) // the bucket is full
	for range 5 {
		wait, ok := b.Reserve(now, 0)
		require.True(t, ok)
		require.Zero(t, wait)
	}
	for i := range 3 {
		wait, ok := b.Reserve(now, 600*time.Millisecond)
		require.True(t, ok)
		require.InDelta(t, 0.2*float64(i+1), wait.Seconds(), 1e-6)
	}
	wait, ok := b.Reserve(now, 600*time.Millisecond)
	require.False(t, ok)
	require.InDelta(t, 0.8, wait.Seconds(), 1e-6)
	require.False(t, b.Take(now.Add(700*time.Millisecond)), "a token that is reserved was given away")
	require.True(t, b.Take(now.Add(800*time.Millisecond)))
}

// TestSmallDemandBorrowsNothingInAdvance guards against tokens of a small rate that
// expire at a VM that has no request for them: half of them did when each request at a
// VM without a share borrowed a second token.
func TestSmallDemandBorrowsNothingInAdvance(t *testing.T) {
	b := NewBucket(start, 0, 0, 1)
	b.RecordDemand(start)
	require.Zero(t, b.Prefetch(start))
	for range 20 {
		b.RecordDemand(start)
	}
	require.Positive(t, b.Prefetch(start))
}

// TestLoansExpireByThemselves guards against a later loan that prolongs an earlier one.
func TestLoansExpireByThemselves(t *testing.T) {
	b := NewBucket(start, 0, 0, 1)
	b.AddLoan(start, 5)
	b.AddLoan(start.Add(LoanLifetime-time.Millisecond), 1)
	require.True(t, b.Take(start.Add(LoanLifetime)))
	require.False(t, b.Take(start.Add(LoanLifetime)))
}

// TestNewBucketIsEmpty guards against a restarted process that spends a second burst.
func TestNewBucketIsEmpty(t *testing.T) {
	b := NewBucket(start, 10, 100, 1)
	require.False(t, b.Take(start))
	require.True(t, b.Take(start.Add(100*time.Millisecond)))
	require.False(t, b.Take(start.Add(100*time.Millisecond)))
}

// TestLoansExpire guards against borrowed tokens that are kept while the lender's
// bucket refills.
func TestLoansExpire(t *testing.T) {
	b := NewBucket(start, 0, 0, 1)
	b.AddLoan(start, 5)
	require.True(t, b.Take(start.Add(LoanLifetime/2)))
	require.False(t, b.Take(start.Add(LoanLifetime)))
}

// TestRunningProgramsLimitNewOnes guards against new programs that starve the running
// programs of a customer at its rate.
func TestRunningProgramsLimitNewOnes(t *testing.T) {
	s := NewStartLimiter(start)
	for range 2000 { // programs of ten requests each
		s.RecordAdmission(true)
		for range 9 {
			s.RecordAdmission(false)
		}
	}
	now := start
	for range 100 {
		require.True(t, s.Take(now, 20), "a customer below its rate was limited")
	}
	started := 0
	for range 1000 { // ten seconds
		now = now.Add(10 * time.Millisecond)
		s.RecordRefusal(now)
		if s.Take(now, 20) {
			started++
		}
	}
	require.InDelta(t, 20, started, 4) // at 20 requests/s, two programs of ten requests per second
	now = now.Add(2 * pressureWindow)
	require.True(t, s.Take(now, 0))
	require.True(t, s.Take(now, 0))
}
