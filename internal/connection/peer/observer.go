package peer

import "time"

// SilentConnection describes a connection on which a call got no answer and nothing was
// received since the call was sent.
type SilentConnection struct {
	VM string
	// Silence is the time since the last frame was received.
	Silence time.Duration
	// Streams and Calls are open on the connection, in both directions and without the call
	// that found the silence.
	Streams, Calls int
}

// Observer is told what happens to the connections of a Manager. Its methods must not wait.
type Observer interface {
	// ConnectionSilent is called when a connection is taken out of use for its silence.
	ConnectionSilent(c SilentConnection)
}

type noObserver struct{}

// ConnectionSilent implements Observer.
func (noObserver) ConnectionSilent(SilentConnection) {}

// SetObserver sets the observer. It must be called before the manager is used.
func (m *Manager) SetObserver(o Observer) { m.observer = o }
