package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// FleetVM holds the settings of a VM that joins its fleet through the platform's store.
// They come from the platform, which knows the VM's addresses and limits, and not from
// an INI file.
type FleetVM struct {
	VM, DataCentre, Region string
	// The addresses on which the VM listens: for callers, for the readiness checks of the
	// load balancer, for other VMs, and for reading the metrics.
	CallerAddress, ReadyAddress, PeerAddress, MetricsAddress netip.AddrPort
	// StoreAddress is the address of the platform's store.
	StoreAddress netip.AddrPort
	// StoreWritesPerSecond is the number of write calls per second that the store accepts
	// from all VMs together; 0 means no limit.
	StoreWritesPerSecond int
	// MemoryBytes is the memory use above which the platform kills the process.
	MemoryBytes int64
	// DrainTime is how long after a replica began to leave it must get no more requests.
	DrainTime time.Duration
	// StopTimeout is the time from the stop signal until the platform kills the process.
	StopTimeout time.Duration
}

// Minimum values that Check accepts.
const (
	minMemoryBytes = 32 << 20
	minStopTimeout = time.Second
)

// Check returns an error that joins all faults, or nil.
func (f FleetVM) Check() error {
	var faults []error
	add := func(ok bool, format string, args ...any) {
		if !ok {
			faults = append(faults, fmt.Errorf(format, args...))
		}
	}
	add(f.VM != "", "the VM has no name")
	add(f.DataCentre != "", "the VM has no data centre")
	add(f.MemoryBytes >= minMemoryBytes, "memory limit of %d bytes is below the minimum of %d bytes", f.MemoryBytes, minMemoryBytes)
	add(f.StopTimeout >= minStopTimeout, "stop timeout of %v is below the minimum of %v", f.StopTimeout, minStopTimeout)
	add(f.StoreWritesPerSecond >= 0, "store limit of %d write calls per second is negative", f.StoreWritesPerSecond)
	return errors.Join(faults...)
}
