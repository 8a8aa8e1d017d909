package main

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// contactTime is how long after a disturbance of its connections a VM has to keep the
	// limits on time again; contact_ms in the settings of the platform.
	contactTime = 3 * time.Second
	// applyTime is the limit for a new configuration; config_apply_ms.
	applyTime = 2 * time.Second
)

// fillStorePools makes concurrent calls to the store, so that every VM has several idle
// connections to it afterwards.
func (fleet *testFleet) fillStorePools() {
	fleet.store.SetDelay(50 * time.Millisecond)
	var wait sync.WaitGroup
	for i := range 20 * len(fleet.vms) {
		wait.Go(func() { fleet.turn(i%len(fleet.vms), "fill"+string(rune('a'+i)), "", "one ") })
	}
	wait.Wait()
	fleet.store.SetDelay(0)
}

// TestConfigurationIsAppliedAfterConnectionsFallSilent guards against a confirmed
// configuration that is not in force in time after the open connections to the store
// stopped transferring data without a reset, while new connections work.
func TestConfigurationIsAppliedAfterConnectionsFallSilent(t *testing.T) {
	fleet := newTestFleet(t, 3)
	fleet.fillStorePools()
	for _, vm := range fleet.vms {
		require.Greater(t, vm.storeLink.Open(linkSource), 4)
		vm.storeLink.Silence(linkSource)
	}
	silentSince := time.Now()
	fleet.configure(2, `"key-n"`, 10_000)
	require.Eventually(t, func() bool { return fleet.allAtVersion(2) }, max(contactTime, applyTime)-time.Since(silentSince), 20*time.Millisecond)
}
