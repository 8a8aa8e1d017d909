package intake

import (
	"maps"
	"net/netip"
	"time"
)

const (
	// reportInterval is the time between two log lines of the same limit.
	reportInterval = 5 * time.Second
	// maxReportedAddresses bounds the addresses that are counted in one interval.
	maxReportedAddresses = 64
)

// Log writes a line. decisionlog.Log implements it.
type Log interface {
	State(message string, keysAndValues ...any)
}

// report counts by limit what was closed or refused.
type report struct {
	total    map[Reason]int64
	cuts     map[Cut]int64
	recent   map[Reason]map[netip.Addr]int64
	counts   map[Reason]int64
	reported time.Duration
}

// Cut says why this VM ended a connection although it had received a request or a part of one,
// and in which phase.
type Cut struct {
	Reason Reason
	Phase  Phase
}

func newReport() report {
	return report{total: map[Reason]int64{}, cuts: map[Cut]int64{}, recent: map[Reason]map[netip.Addr]int64{}, counts: map[Reason]int64{}}
}

func (r *report) count(why Reason, address netip.Addr) {
	r.total[why]++
	if why == IdleTooLong || why == Stopping {
		return // the usual ends of a connection
	}
	r.counts[why]++
	addresses := r.recent[why]
	if addresses == nil {
		addresses = map[netip.Addr]int64{}
		r.recent[why] = addresses
	}
	if _, ok := addresses[address]; ok || len(addresses) < maxReportedAddresses {
		addresses[address]++
	}
}

func (r *report) totals() map[Reason]int64 { return maps.Clone(r.total) }

// reportLine says how many a limit closed or refused in an interval, and for which address
// most.
type reportLine struct {
	reason       Reason
	count        int64
	address      netip.Addr
	addressCount int64
}

// take returns the lines of the interval that has passed, or nil.
func (r *report) take(now time.Duration) []reportLine {
	if len(r.counts) == 0 || now-r.reported < reportInterval {
		return nil
	}
	r.reported = now
	var lines []reportLine
	for why, n := range r.counts {
		line := reportLine{reason: why, count: n}
		for address, count := range r.recent[why] {
			if count > line.addressCount {
				line.address, line.addressCount = address, count
			}
		}
		lines = append(lines, line)
	}
	clear(r.counts)
	clear(r.recent)
	return lines
}
