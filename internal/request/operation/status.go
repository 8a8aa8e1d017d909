package operation

import (
	"context"
	"sync"

	"hornbeamvale.example/hornbeamvale/internal/connection/operatorhttp"
	"hornbeamvale.example/hornbeamvale/internal/process/control"
	"hornbeamvale.example/hornbeamvale/internal/process/eventlog"
	"hornbeamvale.example/hornbeamvale/internal/request/turn"
)

// Status implements operatorhttp.Backend.
func (b *Backend) Status(ctx context.Context) (operatorhttp.Status, error) {
	own, err := turn.LocalStatus(ctx, b.Loop)
	if err != nil {
		return operatorhttp.Status{}, err
	}
	s := operatorhttp.Status{VM: own.VM, Version: own.Version}
	for _, e := range own.Endpoints {
		status := operatorhttp.EndpointStatus{Name: e.Name, Drained: e.Drained}
		for _, r := range e.Replicas {
			status.Replicas = append(status.Replicas, operatorhttp.ReplicaStatus{
				Address: r.Address, Live: !r.Failing, Leaving: r.Leaving, InFlight: r.InFlight, Waiting: r.Waiting,
			})
		}
		s.Endpoints = append(s.Endpoints, status)
	}
	snapshot := b.Loop.Snapshot()
	s.VMs = fanOut(snapshot, func(p control.Peer) operatorhttp.VMStatus {
		status := own
		if p.ID != snapshot.Self {
			if status, err = b.Remote.Status(ctx, p); err != nil {
				return operatorhttp.VMStatus{VM: p.VM, DataCentre: p.DataCentre, Fault: err.Error()}
			}
		}
		return vmStatus(p, status)
	})
	return s, nil
}

// vmStatus converts a VM's status for operators.
func vmStatus(p control.Peer, s control.Status) operatorhttp.VMStatus {
	return operatorhttp.VMStatus{
		VM: p.VM, DataCentre: p.DataCentre, Version: s.Version, Slots: s.Slots, Programs: s.Programs,
		LeaseValid: s.LeaseValid, Stale: s.Stale, Drained: s.Drained,
	}
}

// Events implements operatorhttp.Backend. The run is given as "<customer>/<run>"; an
// empty name selects the events of all runs.
func (b *Backend) Events(ctx context.Context, name string) (operatorhttp.EventPage, error) {
	var customer, run string
	if name != "" {
		var err error
		if customer, run, err = splitRun(name); err != nil {
			return operatorhttp.EventPage{}, err
		}
	}
	type answer struct {
		vm     string
		events []eventlog.Event
		err    error
	}
	snapshot := b.Loop.Snapshot()
	answers := fanOut(snapshot, func(p control.Peer) answer {
		if p.ID == snapshot.Self {
			return answer{vm: p.VM, events: b.Log.Query(customer, run)}
		}
		events, err := b.Remote.Events(ctx, p, customer, run)
		return answer{vm: p.VM, events: events, err: err}
	})
	var page operatorhttp.EventPage
	var logs [][]eventlog.Event
	for _, a := range answers {
		if a.err != nil {
			page.MissingVMs = append(page.MissingVMs, a.vm)
			continue
		}
		logs = append(logs, a.events)
	}
	page.Events = eventlog.Merge(logs...)
	return page, nil
}

// fanOut calls ask for each member concurrently and returns the answers in the order of
// the members.
func fanOut[T any](s *control.Snapshot, ask func(p control.Peer) T) []T {
	peers := s.Peers()
	answers := make([]T, len(peers))
	var wg sync.WaitGroup
	for i, p := range peers {
		wg.Go(func() { answers[i] = ask(p) })
	}
	wg.Wait()
	return answers
}
