package fleet

import (
	"context"
	"time"
)

// imbalanceTimeout bounds how long a reader of the metrics waits for the control thread.
const imbalanceTimeout = 100 * time.Millisecond

// readImbalance is the event that asks for the load imbalance of the endpoints.
type readImbalance struct{ reply chan<- map[string]float64 }

// Apply implements Event.
func (e readImbalance) Apply(s *State, now time.Time) { e.reply <- s.replicas.Imbalance(now) }

// Imbalance returns, by endpoint, the expected requests a slot of the busiest replica in
// relation to the mean; see replica.Registry. It returns nil if the control thread does not
// answer within imbalanceTimeout. It is computed only when it is read.
func (l *Loop) Imbalance(ctx context.Context) map[string]float64 {
	ctx, cancel := context.WithTimeout(ctx, imbalanceTimeout)
	defer cancel()
	reply := make(chan map[string]float64, 1)
	if l.Post(ctx, readImbalance{reply}) != nil {
		return nil
	}
	select {
	case imbalance := <-reply:
		return imbalance
	case <-ctx.Done():
		return nil
	}
}
