package main

import (
	"time"

	"hornbeamvale.example/hornbeamvale/internal/connection/conntrack"
	"hornbeamvale.example/hornbeamvale/internal/process/decisionlog"
	"hornbeamvale.example/hornbeamvale/internal/process/storepath"
)

// logSilentClose returns a function that logs connections that were closed as silent.
func logSilentClose(log *decisionlog.Log, peer string) func(conntrack.SilentClose) {
	return func(c conntrack.SilentClose) {
		log.State("Closed silent connections", "peer", peer, "address", c.Address, "closed", c.Closed, "silent", c.Silent, "evidence", c.Evidence)
	}
}

// pathLog logs what happens on the path to the store. It implements storepath.Observer.
type pathLog struct{ log *decisionlog.Log }

// StateChanged implements storepath.Observer.
func (l pathLog) StateChanged(s storepath.State) {
	l.log.State("Store path state changed", "state", s)
}

// ProbeFailed implements storepath.Observer.
func (l pathLog) ProbeFailed(after time.Duration, err error) {
	l.log.State("Probe of the store failed", "after", after, "err", err)
}
