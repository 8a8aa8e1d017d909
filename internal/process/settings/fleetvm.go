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
	// CallerMemoryBytes is the memory for what callers send; 0 for the usual part of
	// MemoryBytes.
	CallerMemoryBytes int64
	// DrainTime is how long after a replica began to leave it must get no more requests.
	DrainTime time.Duration
	// MaxDescriptors is the number of open descriptors that the process may have; 0 if not
	// stated.
	MaxDescriptors int
	// Regions holds the region of each data centre.
	Regions map[string]string
	// ColdOverage and ColdTolerance say how many requests a cold replica may get in one
	// second from all VMs together: its rate x ColdOverage + ColdTolerance. Both are 0 if not
	// stated.
	ColdOverage, ColdTolerance float64
	// StopTimeout is the time from the stop signal until the platform kills the process.
	StopTimeout time.Duration
}

// Minimum values that Check accepts.
const (
	minMemoryBytes = 32 << 20
	// minCallerMemoryBytes is about what the largest request takes.
	minCallerMemoryBytes = 10 << 20
	minStopTimeout       = time.Second
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
	add(f.CallerMemoryBytes == 0 || f.CallerMemoryBytes >= minCallerMemoryBytes && f.CallerMemoryBytes <= f.MemoryBytes/2,
		"memory for callers (caller_memory_mb) of %d bytes is not between %d bytes and %d bytes, half of the memory limit", f.CallerMemoryBytes, minCallerMemoryBytes, f.MemoryBytes/2)
	add(f.StopTimeout >= minStopTimeout, "stop timeout of %v is below the minimum of %v", f.StopTimeout, minStopTimeout)
	add(f.StoreWritesPerSecond >= 0, "store limit of %d write calls per second is negative", f.StoreWritesPerSecond)
	add(f.MaxDescriptors >= 0, "limit of %d descriptors is negative", f.MaxDescriptors)
	add(f.ColdOverage == 0 || f.ColdOverage >= 1, "overage of cold replicas is %v, want 1 or more", f.ColdOverage)
	add(f.ColdTolerance >= 0, "tolerance of cold replicas is %v, want 0 or more", f.ColdTolerance)
	return errors.Join(faults...)
}
