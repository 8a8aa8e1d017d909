package fleet

import (
	"context"
	"math/rand/v2"
	"time"
)

// PathChanged is the event that this VM has lost its path to the replicas, or has it
// again.
type PathChanged struct{}

// Apply implements Event. Requests that failed on the lost path were counted against their
// replicas.
func (PathChanged) Apply(s *State, _ time.Time) { s.replicas.ForgetFailures() }

// SampleReplicas returns the addresses of up to n replicas that may get requests, chosen
// at random.
func (l *Loop) SampleReplicas(ctx context.Context, n int) []string {
	reply := make(chan []string, 1)
	if l.Post(ctx, listAddresses{reply}) != nil {
		return nil
	}
	select {
	case all := <-reply:
		rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		return all[:min(n, len(all))]
	case <-ctx.Done():
		return nil
	}
}

type listAddresses struct{ reply chan<- []string }

// Apply implements Event.
func (e listAddresses) Apply(s *State, _ time.Time) { e.reply <- s.replicas.Addresses() }

// MayForward reports whether this VM may pass a request of another VM on to a replica.
func (l *Loop) MayForward(ctx context.Context, replica, address string) bool {
	reply := make(chan bool, 1)
	if l.Post(ctx, mayForward{replica, address, reply}) != nil {
		return false
	}
	select {
	case may := <-reply:
		return may
	case <-ctx.Done():
		return false
	}
}

type mayForward struct {
	replica, address string
	reply            chan<- bool
}

// Apply implements Event.
func (e mayForward) Apply(s *State, now time.Time) {
	e.reply <- !s.draining && s.replicas.Takes(now, e.replica, e.address) && !s.evacuated.Contains(s.replicas.DataCentre(e.replica))
}
