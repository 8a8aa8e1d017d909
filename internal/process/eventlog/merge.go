package eventlog

import (
	"strings"

	"hornbeamvale.example/hornbeamvale/internal/version"
)

// inRun reports whether an event's run is the given run or a sub-agent below it.
func inRun(eventRun, run string) bool {
	return eventRun == run || strings.HasPrefix(eventRun, run+"/")
}

// Merge merges the events of several VMs into one timeline. Each input holds the events
// of one VM in the order in which they were added. This order is always kept, even if
// the VM's clock was set back.
//
// Across VMs, events of the same root run are ordered by the epoch of the run's slot,
// which only increases and does not depend on clocks. All other events are ordered by
// wall clock and then by VM name, so that the result does not depend on the order of the
// inputs. Where the order within a VM contradicts the epochs, wall clocks decide as well.
func Merge(logs ...[]Event) []Event {
	m := newMerger(logs)
	merged := make([]Event, 0, m.total)
	for len(merged) < m.total {
		merged = append(merged, m.next())
	}
	return merged
}

// merger merges the logs one event at a time.
type merger struct {
	logs  [][]Event // the remaining events of each log that has any
	total int
	// epochs counts the remaining events by root run and epoch.
	epochs map[string]map[uint64]int
}

func newMerger(logs [][]Event) *merger {
	m := &merger{epochs: map[string]map[uint64]int{}}
	for _, l := range logs {
		if len(l) == 0 {
			continue
		}
		m.logs = append(m.logs, l)
		m.total += len(l)
		for _, e := range l {
			if !hasEpoch(e) {
				continue
			}
			root := rootOf(e)
			if m.epochs[root] == nil {
				m.epochs[root] = map[uint64]int{}
			}
			m.epochs[root][e.Epoch]++
		}
	}
	return m
}

// hasEpoch reports whether the event is ordered by its epoch.
func hasEpoch(e Event) bool { return e.Run != "" && e.Epoch != 0 }

// next removes and returns the next event of the timeline: among the first events of
// the logs the earliest one that need not wait for another epoch, or the earliest one if
// all have to wait.
func (m *merger) next() Event {
	best, bestMustWait := 0, true
	for i, l := range m.logs {
		mustWait := m.mustWait(l[0])
		if i == 0 || (bestMustWait && !mustWait) || (bestMustWait == mustWait && before(l[0], m.logs[best][0])) {
			best, bestMustWait = i, mustWait
		}
	}
	e := m.logs[best][0]
	if m.logs[best] = m.logs[best][1:]; len(m.logs[best]) == 0 {
		m.logs = append(m.logs[:best], m.logs[best+1:]...)
	}
	if hasEpoch(e) {
		counts := m.epochs[rootOf(e)]
		if counts[e.Epoch]--; counts[e.Epoch] == 0 {
			delete(counts, e.Epoch)
		}
	}
	return e
}

// mustWait reports whether an event of the same root run with an earlier epoch remains.
func (m *merger) mustWait(e Event) bool {
	if !hasEpoch(e) {
		return false
	}
	for epoch := range m.epochs[rootOf(e)] {
		if epoch < e.Epoch {
			return true
		}
	}
	return false
}

// before orders events by wall clock, then by VM name, then by sequence.
func before(a, b Event) bool {
	if !a.Time.Equal(b.Time) {
		return a.Time.Before(b.Time)
	}
	if a.VM != b.VM {
		return a.VM < b.VM
	}
	return a.Sequence < b.Sequence
}

// rootOf returns a key for the root run of an event. It includes the customer, since two
// customers may use the same run name.
func rootOf(e Event) string { return e.Customer + "/" + version.RootRun(e.Run) }
