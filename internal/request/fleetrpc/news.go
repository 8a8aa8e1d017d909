package fleetrpc

import (
	"context"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/fleet"
	"hornbeamvale.example/hornbeamvale/internal/process/ledger"
)

// replicaNews is the part of a payload with news of replicas for the VM that gets it.
// Builds that don't know the field ignore it.
type replicaNews struct {
	News []fleet.ReplicaNews `msgpack:"rn,omitempty"`
}

// openPayload, recordPayload and settlePayload are the payloads of calls to a home.
type (
	openPayload struct {
		ledger.OpenRequest `msgpack:",inline"`
		replicaNews        `msgpack:",inline"`
	}
	recordPayload struct {
		ledger.RecordRequest `msgpack:",inline"`
		replicaNews          `msgpack:",inline"`
	}
	settlePayload struct {
		ledger.SettleRequest `msgpack:",inline"`
		replicaNews          `msgpack:",inline"`
	}
)

// newsOf returns what a VM has to tell about replicas.
func newsOf(l *fleet.Loop) replicaNews {
	return replicaNews{l.Snapshot().ReplicaNews(clock.Now())}
}

// passOn passes the news of a message to the control thread.
func (n replicaNews) passOn(ctx context.Context, l *fleet.Loop) {
	if len(n.News) > 0 {
		_ = l.Post(ctx, fleet.ReplicasNoticed{News: n.News})
	}
}
