// Package control owns the control state of the process: members, slots, program
// runs, limits, replicas, journal batches and the configuration in force. One
// goroutine, locked to one OS thread, accesses this state. Traffic goroutines send
// it typed events and read immutable snapshots. The control thread does no I/O;
// worker goroutines do it and report the result as an event.
package control
