package fleet

import (
	"maps"
	"slices"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/replica"
)

// Evacuations are the data centres whose replicas get nothing, each with the time when this
// VM learned of it. The map is never changed: an update replaces it.
type Evacuations map[string]time.Time

// Contains reports whether a data centre is evacuated.
func (e Evacuations) Contains(dataCentre string) bool {
	_, ok := e[dataCentre]
	return ok
}

// remaining returns the candidates that are in no evacuated data centre.
func (e Evacuations) remaining(candidates []replica.Candidate) []replica.Candidate {
	if len(e) == 0 {
		return candidates
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(c replica.Candidate) bool { return e.Contains(c.DataCentre) })
}

// evacuationChange is what a read of the configuration's table says about evacuations.
type evacuationChange struct {
	begun, ended []string // data centres
	revision     uint64   // of the store at the read
	// full is set if the whole table was read: evacuations that are not in begun have ended.
	full bool
}

// decodeEvacuations returns what the rows of a read say about evacuations.
func (l *Loop) decodeEvacuations(p platform.Page, full bool) evacuationChange {
	change := evacuationChange{revision: p.Revision, full: full}
	for _, row := range p.Rows {
		dataCentre, ok := l.config.Sources.EvacuatedDataCentre(row.Key.Key)
		if !ok {
			continue
		}
		if row.Deleted {
			change.ended = append(change.ended, dataCentre)
			continue
		}
		if _, listed := l.config.Regions[dataCentre]; !listed && len(l.config.Regions) > 0 {
			known := slices.Sorted(maps.Keys(l.config.Regions))
			l.config.Log.State("Ignored the evacuation of an unknown data centre", "dataCentre", dataCentre, "known", known, "revision", row.Revision)
			continue
		}
		change.begun = append(change.begun, dataCentre)
	}
	return change
}

// endingEvacuation is an evacuation whose row was removed.
type endingEvacuation struct {
	revision uint64    // of the store when the removal was read
	until    time.Time // when it ends at the latest
}

// maxEvacuationEnd bounds the time for which the end of an evacuation waits for a read of
// the replicas. A read that waits for changes, and the pause after a change, take less.
const maxEvacuationEnd = 2 * time.Second

// applyEvacuations adds what a read says to the set of evacuated data centres. Data centres
// whose rows were removed stay in it until the replicas have been read since: some may have
// become cold before the removal, and the rows of both are read independently. informedAt is
// when the store answered the read.
func (s *State) applyEvacuations(now, informedAt time.Time, c evacuationChange) {
	next := maps.Clone(s.evacuated)
	if next == nil {
		next = Evacuations{}
	}
	for _, dataCentre := range c.begun {
		delete(s.ending, dataCentre)
		if !next.Contains(dataCentre) {
			next[dataCentre] = now
			s.config.Log.State("Data centre evacuated", "dataCentre", dataCentre, "age", now.Sub(informedAt))
		}
	}
	ended := c.ended
	if c.full {
		ended = slices.Collect(maps.Keys(next))
	}
	for _, dataCentre := range ended {
		_, waits := s.ending[dataCentre]
		if next.Contains(dataCentre) && !waits && !slices.Contains(c.begun, dataCentre) {
			s.ending[dataCentre] = endingEvacuation{revision: c.revision, until: now.Add(maxEvacuationEnd)}
			s.config.Log.State("Row of an evacuation removed", "dataCentre", dataCentre, "age", now.Sub(informedAt))
		}
	}
	s.evacuated, s.unpublished = next, true
	s.stepEvacuations(now)
}

// stepEvacuations ends the evacuations that are due. It returns when it has to run next.
func (s *State) stepEvacuations(now time.Time) (next time.Time) {
	for dataCentre, e := range s.ending {
		if s.replicasReadAt < e.revision && now.Before(e.until) {
			next = clock.Earlier(next, e.until)
			continue
		}
		s.config.Log.State("Evacuation of a data centre ended", "dataCentre", dataCentre, "after", now.Sub(s.evacuated[dataCentre]), "replicasRead", s.replicasReadAt >= e.revision)
		delete(s.ending, dataCentre)
		remaining := maps.Clone(s.evacuated)
		delete(remaining, dataCentre)
		s.evacuated, s.unpublished = remaining, true
	}
	return next
}
