// Package control owns the control state of the process: members, slots, program
// runs, limits, replicas, journal batches and the configuration in force. One
// goroutine, locked to one OS thread, accesses this state. Traffic goroutines send
// it typed events and read immutable snapshots. The control thread does no I/O;
// worker goroutines do it and report the result as an event.
//
// The rules of each part are in pure state machines of other packages, such as
// member, ownership, limit, program and queue. This package calls them and starts
// the reads, writes and messages that follow from their decisions.
package control
