package overload

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// shedFrom is the pressure from which on programs are refused. shedBand is the
	// difference of the pressures at which a class begins to be refused and at which none of
	// it is admitted. A narrower band makes the admissions of a fleet swing, since reports
	// and their average lag by a second.
	shedFrom = 0.95
	shedBand = 0.2
	// classGap is the difference of the pressures at which a class is refused altogether and
	// at which the next one begins to be refused. The estimates of VMs differ by about this
	// much.
	classGap = 0.05
	// estimateMargin is by how much the estimates of other VMs are assumed to be below this
	// VM's when it is not known which VM has admitted a program.
	estimateMargin = 0.15
	// classMemory is how long a priority counts as in use after its last request at this VM.
	classMemory = 10 * time.Second
	// historyStep and historyLength are the resolution and the length of the record of
	// admissions.
	historyStep   = 200 * time.Millisecond
	historyLength = 50
)

// class is what is known of the programs of one priority.
type class struct {
	lastSeen time.Time
	refused  int64
	// history holds the highest admission in each historyStep, recordedAt the step of the
	// newest.
	history    [historyLength]float64
	recordedAt int64
}

// classes are the classes of programs by priority.
type classes map[int]*class

func (cs classes) seen(now time.Time, priority int) {
	c := cs[priority]
	if c == nil {
		c = &class{recordedAt: historyIndex(now)}
		for i := range c.history {
			c.history[i] = 1
		}
		cs[priority] = c
	}
	c.lastSeen = now
}

// rank returns how many less urgent priorities are in use.
func (cs classes) rank(now time.Time, priority int) (rank int) {
	for p, c := range cs {
		if p > priority && now.Sub(c.lastSeen) <= classMemory {
			rank++
		}
	}
	return rank
}

// admission returns the fraction of the programs of a priority that may begin. A class is
// refused only when all less urgent ones are.
func (cs classes) admission(now time.Time, priority int, pressure float64) float64 {
	from := shedFrom + float64(cs.rank(now, priority))*(shedBand+classGap)
	return min(max(0, 1-(pressure-from)/shedBand), 1)
}

func historyIndex(t time.Time) int64 { return t.UnixNano() / int64(historyStep) }

// record notes the admissions at a pressure.
func (cs classes) record(now time.Time, pressure float64) {
	index := historyIndex(now)
	for priority, c := range cs {
		a := cs.admission(now, priority, pressure-estimateMargin)
		if c.recordedAt >= index {
			c.history[c.recordedAt%historyLength] = max(a, c.history[c.recordedAt%historyLength])
			continue
		}
		previous := c.history[c.recordedAt%historyLength]
		for i := max(c.recordedAt+1, index-historyLength+1); i < index; i++ {
			c.history[i%historyLength] = max(a, previous)
		}
		c.history[index%historyLength], c.recordedAt = a, index
	}
}

// highestSince returns the highest admission of a priority since a time, 1 if that time is
// not recorded any more.
func (cs classes) highestSince(now time.Time, priority int, since time.Time) float64 {
	c, first := cs[priority], historyIndex(since)
	if c == nil || first <= historyIndex(now)-historyLength {
		return 1
	}
	highest := 0.0
	for i := first; i <= c.recordedAt; i++ {
		highest = math.Max(highest, c.history[i%historyLength])
	}
	return highest
}

func (cs classes) status(now time.Time, pressure float64) []Class {
	out := make([]Class, 0, len(cs))
	for _, p := range slices.SortedFunc(maps.Keys(cs), cmp.Compare) {
		out = append(out, Class{Priority: p, Admission: cs.admission(now, p, pressure), Refused: cs[p].refused})
	}
	return out
}
