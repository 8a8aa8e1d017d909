package scenarios

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"hornbeamvale.example/hornbeamvale/standin/fleet/connection"
	"hornbeamvale.example/hornbeamvale/standin/fleet/process"
	"hornbeamvale.example/hornbeamvale/standin/fleet/request"
)

// linkCommand sets the state of a VM's link to the platform, or of the links in both
// directions between the VM and another VM or all other VMs.
//
//	link cut|stalled|healthy VM platform|peers|VM
func linkCommand(f *fleet, _ *testscript.TestScript, args []string) error {
	if len(args) != 3 {
		return errors.New("usage: link cut|stalled|healthy VM platform|peers|VM")
	}
	state := connection.State(args[0])
	if state != connection.Cut && state != connection.Stalled && state != connection.Healthy {
		return fmt.Errorf("%q is not a link state", state)
	}
	_, n, err := f.vm(args[1])
	if err != nil {
		return err
	}
	switch args[2] {
	case "platform":
		f.platformLinks[n-1].SetState(vmName(n), state)
		return nil
	case "peers":
		for m := range f.vms {
			f.setPeerLinks(n, m+1, state)
		}
		return nil
	}
	_, m, err := f.vm(args[2])
	if err == nil {
		f.setPeerLinks(n, m, state)
	}
	return err
}

// setPeerLinks sets the state of both links between two VMs.
func (f *fleet) setPeerLinks(n, m int, state connection.State) {
	f.peerLinks[n-1].SetState(vmName(m), state)
	f.peerLinks[m-1].SetState(vmName(n), state)
}

// faultsCommand replaces the faults that a stand-in injects. A number after the kind
// selects one stand-in; without a number all stand-ins of the kind are changed.
//
//	faults platform|engine|service|engineN|serviceN JSON
func faultsCommand(f *fleet, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errors.New("usage: faults TARGET JSON")
	}
	targets, err := f.standIns(args[0])
	if err != nil {
		return err
	}
	for _, s := range targets {
		ctx, cancel := requestContext()
		err := request.SetFaults(ctx, s.Address, args[1])
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

// standIns returns the stand-in with a name such as "engine1", or all of a kind.
func (f *fleet) standIns(name string) ([]*process.StandIn, error) {
	kind := strings.TrimRight(name, "0123456789")
	all := map[string][]*process.StandIn{"platform": {f.platform}, "engine": f.engines, "service": f.services}[kind]
	if all == nil {
		return nil, fmt.Errorf("%q is not a stand-in", name)
	}
	if kind == name {
		return all, nil
	}
	n, err := strconv.Atoi(name[len(kind):])
	if err != nil || n < 1 || n > len(all) {
		return nil, fmt.Errorf("there is no %s", name)
	}
	return all[n-1 : n], nil
}

// vmsCommand replaces the platform's list of VMs by replicas.
//
//	vms STANDIN:ENDPOINT:STATE...
func vmsCommand(f *fleet, _ *testscript.TestScript, args []string) error {
	var entries []string
	for _, a := range args {
		parts := strings.Split(a, ":")
		if len(parts) != 3 {
			return fmt.Errorf("%q is not STANDIN:ENDPOINT:STATE", a)
		}
		targets, err := f.standIns(parts[0])
		if err != nil {
			return err
		}
		entries = append(entries, fmt.Sprintf(`{"id":%q,"address":%q,"data_centre":"annotto-bay","endpoint":%q,"state":%q}`,
			parts[0], targets[0].Address, parts[1], parts[2]))
	}
	ctx, cancel := requestContext()
	defer cancel()
	return request.SetVMs(ctx, f.platform.Address, "["+strings.Join(entries, ",")+"]")
}
