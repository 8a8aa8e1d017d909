package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSameSeedSameResult guards against results that are not reproducible, and against
// programs that are lost between queue and replica.
func TestSameSeedSameResult(t *testing.T) {
	for _, d := range deployments() {
		for _, p := range policies() {
			var results []result
			for range 2 {
				sim, err := newSimulation(d, p, 7, 20*time.Second, options{})
				require.NoError(t, err)
				sim.run()
				require.Equal(t, sim.started, sim.finished)
				results = append(results, sim.result())
			}
			require.Equal(t, results[0], results[1], "%s, %s", d.name, p.name)
		}
	}
}

// TestFaultsLoseNoProgram guards against calls that are lost or repeated forever when
// a replica fails or leaves.
func TestFaultsLoseNoProgram(t *testing.T) {
	for _, f := range []fault{faultFail, faultLeave, faultLeaveExported} {
		for _, p := range policies() {
			sim, err := newSimulation(deployments()[1], p, 7, 20*time.Second, options{fault: f, faultAt: 10 * time.Second})
			require.NoError(t, err)
			sim.run()
			require.Equal(t, sim.started, sim.finished, "%s, %s", f, p.name)
			require.Positive(t, sim.retries, "%s, %s", f, p.name)
		}
	}
}

// TestConformsUpToRateAndBurst guards against refusals that are counted as within the
// rate although the customer exceeds it.
func TestConformsUpToRateAndBurst(t *testing.T) {
	sim, err := newSimulation(deployments()[1], policies()[0], 7, time.Minute, options{})
	require.NoError(t, err)
	const rate = 12 // calls/s: 8 replicas with 24 slots, 2 s per call, shared by 8 customers
	admitted := 0
	for range 1000 {
		if sim.conforms("a") {
			admitted++
		}
	}
	require.Equal(t, rate*burstSeconds, admitted)
	sim.loop.now = sim.loop.now.Add(time.Second)
	for range rate {
		require.True(t, sim.conforms("a"))
	}
	require.False(t, sim.conforms("a"))
}
