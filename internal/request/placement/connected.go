package placement

import "hornbeamvale.example/hornbeamvale/internal/process/replica"

// connectSeconds is what a new connection costs: the handshake of 1 ms and a round
// trip of up to 3 ms, and a place that it may hold at the replica for a while.
const connectSeconds = 0.01

// Connected prefers replicas to which an idle connection is open.
type Connected struct{}

// Name implements Score.
func (Connected) Name() string { return "connected" }

// Score implements Score.
func (Connected) Score(_ Request, c replica.Candidate) float64 {
	if c.Connected {
		return 0
	}
	return -connectSeconds
}
