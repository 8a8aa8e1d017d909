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

// TestChangesApplyAfterMostConnectionsWereSevered guards against a configuration or a
// leaving replica that some VM does not follow in time after most of its open connections,
// to the store and to replicas, have fallen silent for good.
func TestChangesApplyAfterMostConnectionsWereSevered(t *testing.T) {
	const drainTime = 2 * time.Second // drain_ms in the settings of the platform
	fleet := newTestFleet(t, 3)
	fleet.fillStorePools()
	for _, vm := range fleet.vms {
		vm.storeLink.Silence(linkSource)
		vm.replicaNetwork.silence()
	}
	severed := time.Now()
	var wait sync.WaitGroup
	defer wait.Wait()
	for time.Since(severed) < contactTime {
		for vm := range fleet.vms {
			wait.Go(func() { fleet.send(vm, "GET", "/read/1", nil) }) // some meet a silent connection
		}
		time.Sleep(100 * time.Millisecond)
	}
	fleet.configure(2, `"key-p"`, 9_000)
	fleet.store.Put("servers", "t0", fleet.tools[0].Registration("tools", "draining"))
	changed := time.Now()
	require.Eventually(t, func() bool { return fleet.allAtVersion(2) }, applyTime, 20*time.Millisecond)
	time.Sleep(drainTime - time.Since(changed))
	before := len(fleet.tools[0].Runs())
	for range 10 {
		for vm := range fleet.vms {
			require.Equal(t, 200, fleet.send(vm, "GET", "/read/1", nil).status)
		}
	}
	require.Len(t, fleet.tools[0].Runs(), before, "requests to the replica that leaves")
}
