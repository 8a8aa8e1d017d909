// Package turn handles one call from its admission to the last byte of its answer.
// The entry VM admits the call and forwards it to the VM that owns the call's
// program. The owner starts the turn, dispatches it to a replica, relays the answer
// and records the end of the turn. The control loop holds all state that outlives
// the request.
package turn
