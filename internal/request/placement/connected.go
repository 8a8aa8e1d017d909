package placement

import "hornbeamvale.example/hornbeamvale/internal/process/replica"

// connectSeconds is the cost of a new connection: a handshake of 1 ms, a round trip of
// up to 3 ms, and a connection slot that it may occupy at the replica for a while.
const connectSeconds = 0.01

// Connected prefers replicas to which this VM has an idle open connection.
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
