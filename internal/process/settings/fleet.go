package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// Fleet holds the settings of a VM that joins its fleet through the platform's store.
// They come from the platform, which knows the VM's addresses and limits, and not from
// an INI file.
type Fleet struct {
	VM, DataCentre, Region string
	// The listen addresses: Callers for callers, Ready for the readiness checks of the
	// load balancer, Peers for other VMs, Metrics for metrics.
	Callers, Ready, Peers, Metrics netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// StoreWrites is the number of write calls per second that the store accepts from all
	// VMs together; 0 means no limit.
	StoreWrites int
	// MemoryBytes is the memory use above which the platform kills the process.
	MemoryBytes int64
	// StopWithin is the time from the stop signal until the platform kills the process.
	StopWithin time.Duration
}

// Minimum values that Check accepts.
const (
	minMemoryBytes = 32 << 20
	minStopWithin  = time.Second
)

// Check returns an error that joins all faults, or nil.
func (f Fleet) Check() error {
	var faults []error
	add := func(ok bool, format string, args ...any) {
		if !ok {
			faults = append(faults, fmt.Errorf(format, args...))
		}
	}
	add(f.VM != "", "the VM has no name")
	add(f.DataCentre != "", "the VM has no data centre")
	add(f.MemoryBytes >= minMemoryBytes, "memory limit of %d bytes is below the minimum of %d bytes", f.MemoryBytes, minMemoryBytes)
	add(f.StopWithin >= minStopWithin, "stop time of %v is below the minimum of %v", f.StopWithin, minStopWithin)
	add(f.StoreWrites >= 0, "store limit of %d write calls per second is negative", f.StoreWrites)
	return errors.Join(faults...)
}
