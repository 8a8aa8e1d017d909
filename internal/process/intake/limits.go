package intake

import "time"

const (
	// memoryFraction is the fraction of the VM's memory limit for what callers send. Cache,
	// replies and streams have 0.15 each. The largest request needs 10.5 MB, which the
	// general part of 112 MB, the smallest VM, holds with 3 MB for others.
	memoryFraction = 0.16
	// reservedFraction is the fraction of the budget that only small requests may use. On the
	// smallest VM this is 4.5 MB, for 70 requests of the size smallBytes.
	reservedFraction = 0.25
	// addressFraction bounds what large requests of one address hold, and its connections.
	// All callers behind a load balancer may share an address, so it leaves others a quarter
	// and no more.
	addressFraction = 0.75
	// connectionFraction is the fraction of the memory limit for connections, and
	// connectionBytes what one costs: two buffers of 4 KB, two stacks, and its state.
	connectionFraction = 0.06
	connectionBytes    = 20 << 10
	// descriptorFraction is the fraction of the descriptors for connections of callers. Each
	// may need another one to a replica; the rest is for idle connections to replicas, for
	// the store, for other VMs and for files.
	descriptorFraction = 0.35

	// smallBytes is the largest charge of a small request.
	smallBytes = 64 << 10

	// A head is parsed into maps and slices and copied for the replica. Heads of 16 KB with
	// 2,700 short lines took 160 bytes a line in all.
	headBytes     = 2 << 10 // of a request without headers
	headLineBytes = 320
	headTextBytes = 8 // for each byte: lists in a value are split into entries
	// bodyFactor is what a byte of a body takes: it is received in pieces and then joined, and
	// the history is put in front of a copy.
	bodyFactor = 2
	// largestRequest is the charge of a head of 16,384 bytes in lines of three bytes with a
	// body of 4 MiB, the limits of callers, and a piece of the body that is not filled. It
	// always fits if nothing else is held.
	largestRequest = bodyFactor*(4<<20+128<<10) + headBytes + 16_384/3*headLineBytes + 16_384*headTextBytes
)

// Limits bounds what callers hold together and each address on its own.
type Limits struct {
	// Bytes bounds the memory of requests that are received or run, Reserved is the part of
	// it that only small requests use, and AddressBytes bounds the large requests of an
	// address.
	Bytes, Reserved, AddressBytes int64
	// Connections and AddressConnections bound open connections.
	Connections, AddressConnections int
}

// LimitsOf derives the limits from those of the process. callerBytes replaces the part of
// the memory if it is not 0; descriptors is 0 if not stated.
func LimitsOf(memoryBytes, callerBytes int64, descriptors int) Limits {
	l := Limits{Bytes: callerBytes}
	if l.Bytes == 0 {
		l.Bytes = int64(memoryFraction * float64(memoryBytes))
	}
	l.Reserved = int64(reservedFraction * float64(l.Bytes))
	general := max(l.Bytes-l.Reserved, largestRequest)
	l.Bytes = general + l.Reserved
	l.AddressBytes = max(int64(addressFraction*float64(general)), largestRequest)
	l.Connections = int(connectionFraction * float64(memoryBytes) / connectionBytes)
	if descriptors > 0 {
		l.Connections = min(l.Connections, int(descriptorFraction*float64(descriptors)))
	}
	l.Connections = max(l.Connections, 1)
	l.AddressConnections = max(1, int(addressFraction*float64(l.Connections)))
	return l
}

// ProbeLimits are the limits of a port that only answers short requests without a body, for
// readiness or metrics: up to 16 heads of 16 KB at a time.
func ProbeLimits() Limits {
	return Limits{Bytes: 4 << 20, Reserved: 1 << 20, AddressBytes: 2 << 20, Connections: 32, AddressConnections: 24}
}

// HeadCost returns the charge of a head with the given numbers of lines and bytes.
func HeadCost(lines, bytes int) int64 {
	return headBytes + LineCost(lines) + int64(bytes)*headTextBytes
}

// LineCost returns the charge of lines of a head.
func LineCost(lines int) int64 { return int64(lines) * headLineBytes }

// BodyCost returns the charge of bytes of a body.
func BodyCost(bytes int) int64 { return bodyFactor * int64(bytes) }

// Times bounds how long a connection may be in a phase.
type Times struct {
	// Idle is how long a connection may be idle and how long a body may make no progress.
	// Head is the time to send a head.
	Idle, Head time.Duration
}
