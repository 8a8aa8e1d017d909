package main

import "hornbeamvale.example/hornbeamvale/internal/connection/peer"

// peerLog logs what happens to the connections to other VMs. It implements peer.Observer.
type peerLog struct {
	log func(message string, keysAndValues ...any)
}

// ConnectionSilent implements peer.Observer.
func (l peerLog) ConnectionSilent(c peer.SilentConnection) {
	l.log("Connection to another VM is silent", "vm", c.VM, "silence", c.Silence, "streams", c.Streams, "calls", c.Calls)
}
