package turn

import (
	"context"

	"hornbeamvale.example/hornbeamvale/internal/connection/endpointhttp"
	"hornbeamvale.example/hornbeamvale/internal/process/control"
	"hornbeamvale.example/hornbeamvale/internal/process/order"
	"hornbeamvale.example/hornbeamvale/internal/process/program"
	"hornbeamvale.example/hornbeamvale/internal/process/replica"
)

// blockTokens is the number of tokens in a block of an engine's cache, see
// docs/engine.md.
const blockTokens = 16

// ReplicaAdapter reads the load, cache and model reports of replicas and sends them
// orders. It implements control.EndpointClient.
type ReplicaAdapter struct{ Client *endpointhttp.Client }

// Load implements control.EndpointClient.
func (a ReplicaAdapter) Load(ctx context.Context, address string) (replica.Load, error) {
	l, err := a.Client.Load(ctx, address)
	if err != nil {
		return replica.Load{}, err
	}
	return replica.Load{Running: l.Running, Waiting: l.Waiting, BatchLimit: l.BatchLimit}, nil
}

// CacheEvents implements control.EndpointClient.
func (a ReplicaAdapter) CacheEvents(ctx context.Context, address string, since uint64) (control.CacheEventPage, error) {
	events, err := a.Client.CacheEvents(ctx, address, since)
	if err != nil {
		return control.CacheEventPage{}, err
	}
	page := control.CacheEventPage{Latest: events.Latest}
	for _, e := range events.Events {
		event := replica.CacheEvent{Sequence: e.Sequence, Kind: replica.CacheEvicted, Run: e.Program, Tokens: e.Blocks * blockTokens}
		if e.Blocks > 0 {
			event.Kind = replica.CacheStored
		}
		page.Events = append(page.Events, event)
	}
	return page, nil
}

// Report implements control.EndpointClient.
func (a ReplicaAdapter) Report(ctx context.Context, address string) (order.Report, error) {
	l, err := a.Client.Load(ctx, address)
	return order.Report{Replica: address, Models: l.Models, Role: l.Role, Fence: l.Fence}, err
}

// Order implements control.EndpointClient.
func (a ReplicaAdapter) Order(ctx context.Context, o order.Order, epoch uint64) error {
	return a.Client.SendOrder(ctx, o.Replica, endpointhttp.Order{Kind: string(o.Kind), Model: o.Model, Role: o.Role, Fence: epoch})
}

// ReleaseCache returns a function that asks a replica to drop the cache of a run.
func ReleaseCache(c *endpointhttp.Client) control.ReleaseCacheFunc {
	return func(ctx context.Context, r program.CacheRelease) error {
		return c.ReleaseCache(ctx, r.Holder.Replica, replicaRunID(r.Key))
	}
}
