package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"hornbeamvale.example/hornbeamvale/internal/process/replica"
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
	"hornbeamvale.example/hornbeamvale/internal/version/routing"
)

// TestRequestStaysInItsRegions guards against a request that gets a replica in a region that
// its route or customer does not allow, or in a data centre of unknown region, and against one
// that waits although no replica is in an allowed region.
func TestRequestStaysInItsRegions(t *testing.T) {
	f := newLimitFleet(t, 1, nil)
	s := f.vms[0].State
	s.config.Regions = map[string]string{"a": "north", "b": "south", "c": "east"}
	for _, dataCentre := range []string{"a", "b", "c", "unlisted"} {
		s.replicas.Register(replica.Registration{ID: "in-" + dataCentre, Endpoint: "m", DataCentre: dataCentre, BatchLimit: 8})
	}
	pick := func(allowed routing.AllowedRegions) PickResult {
		reply := make(chan PickResult, 1)
		Pick{Request: PickRequest{Endpoint: "m", Allowed: allowed}, Reply: reply}.Apply(s, f.now)
		return <-reply
	}
	for region, want := range map[string]string{"north": "in-a", "south": "in-b", "east": "in-c"} {
		require.Equal(t, want, pick(routing.AllowOnly(region)).Replica.Replica)
	}
	require.True(t, pick(routing.AllowOnly("west")).OutsideRegions)
	require.True(t, pick(routing.AllowOnly("")).OutsideRegions)
	require.True(t, pick(routing.AllowedRegions{}).OK)
	s.applyEvacuations(f.now, f.now, evacuationChange{begun: []string{"b"}})
	require.True(t, pick(routing.AllowOnly("south")).Evacuated)
}

// TestHomesInAllowedRegions guards against turns that are recorded by a VM in a region that
// is not allowed, and against VMs that choose different homes.
func TestHomesInAllowedRegions(t *testing.T) {
	var members []Member
	for i := range 32 {
		m := member(100 + i)
		m.Region = []string{"north", "south", "east", ""}[i%4]
		members = append(members, m)
	}
	require.Equal(t, members, MembersIn(members, routing.AllowedRegions{}))
	homes := map[string]bool{}
	for _, program := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		home, ok := HomeOf(MembersIn(members, routing.AllowOnly("south")), turntree.GroupOf("parish", program), skipNone)
		require.True(t, ok)
		require.Equal(t, "south", home.Region)
		homes[home.VM] = true
	}
	require.Greater(t, len(homes), 1)
	_, ok := HomeOf(MembersIn(members, routing.AllowOnly("west")), turntree.GroupOf("parish", "a"), skipNone)
	require.False(t, ok)
}

// TestMemberRowsBetweenBuildsWithRegions guards against member rows that build 8468140, which
// knows no regions, or 7f97bc3, which does not know KeepsIndex, or this one misreads.
func TestMemberRowsBetweenBuildsWithRegions(t *testing.T) {
	type earlierMember struct {
		VM      string `msgpack:"vm"`
		Address string `msgpack:"a"`
	}
	m := member(3)
	m.Region, m.KeepsIndex = "north", true
	data, err := msgpack.Marshal(memberRow{Member: m})
	require.NoError(t, err)
	var earlier struct {
		earlierMember `msgpack:",inline"`
	}
	require.NoError(t, msgpack.Unmarshal(data, &earlier))
	require.Equal(t, earlierMember{m.VM, m.Address}, earlier.earlierMember)
	data, err = msgpack.Marshal(earlier)
	require.NoError(t, err)
	var row memberRow
	require.NoError(t, msgpack.Unmarshal(data, &row))
	require.Equal(t, memberRow{Member: member(3)}, row)
}
