// Package ownership decides which member owns which slot. It holds the last read
// slot rows of the platform and plans claims and handovers. It is a pure state
// machine: the control loop reads and writes the rows.
package ownership
