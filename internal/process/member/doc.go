// Package member decides on membership: seats, leases, which leases a VM watches,
// and how long the configuration counts as fresh. It defines the rows of the tables
// members, seats and leases; the control loop reads and writes them. The package is
// a pure state machine: time is an argument, always from the monotonic clock of the
// calling process, and times of different VMs are never compared.
package member
