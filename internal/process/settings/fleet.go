package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// Fleet are the settings of a VM that follows the platform's store. They come from
// the platform, which knows the VM's addresses and limits.
type Fleet struct {
	VM, DataCentre, Region string
	// Callers is where callers connect, Ready where the load balancer asks, Peers
	// where other VMs connect, Metrics where the metrics are served.
	Callers, Ready, Peers, Metrics netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// StoreWrites is the number of writing calls a second that the store takes from all
	// VMs together; 0 means no bound.
	StoreWrites int
	// MemoryBytes is the memory above which the process is killed.
	MemoryBytes int64
	// StopWithin is the time from the stop signal to the kill.
	StopWithin time.Duration
}

// Bounds of settings that come from outside.
const (
	minMemoryBytes = 32 << 20
	minStopWithin  = time.Second
)

// Check reports every fault at once.
func (f Fleet) Check() error {
	var faults []error
	add := func(ok bool, format string, args ...any) {
		if !ok {
			faults = append(faults, fmt.Errorf(format, args...))
		}
	}
	add(f.VM != "", "the VM has no name")
	add(f.DataCentre != "", "the VM has no data centre")
	add(f.MemoryBytes >= minMemoryBytes, "memory of %d bytes is below %d", f.MemoryBytes, minMemoryBytes)
	add(f.StopWithin >= minStopWithin, "stop within %v is below %v", f.StopWithin, minStopWithin)
	add(f.StoreWrites >= 0, "%d writing calls a second is below 0", f.StoreWrites)
	return errors.Join(faults...)
}
