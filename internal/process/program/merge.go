package program

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// mergeWidth is the number of segments of one level that are merged into one
	// segment of the next level. A run of 430 turns then has at most 48 references,
	// and no byte is rewritten more than twice.
	mergeWidth = 16
	// replayWindow is the number of most recent turns that are not merged, so that a
	// caller whose answer was lost can repeat the turn and get the recorded answer.
	replayWindow = 16
)

// nextMerge returns the index of the first of the next mergeWidth segments to merge;
// false if none are due. Segments are ordered by turn, so their levels never increase.
func nextMerge(segments []Segment) (from int, ok bool) {
	for from < len(segments) {
		level := segments[from].Level
		n := 0
		for from+n < len(segments) && segments[from+n].Level == level {
			n++
		}
		if level > 0 && n >= mergeWidth || level == 0 && n >= mergeWidth+replayWindow {
			return from, true
		}
		from += n
	}
	return 0, false
}

// merge replaces mergeWidth segments from the given index by one that refers to the
// bodies of their model turns. The bodies of turns of other kinds are dropped. Of each
// turn whose request id was given by the caller, the hash of the id is kept, so that a
// repeat is refused and does not run again.
func (r *Record) merge(from int, merged Segment) {
	old := r.Segments[from : from+mergeWidth]
	for _, s := range old {
		if s.Level == 0 && isCallerID(s.RequestID) {
			r.MergedIDs = append(r.MergedIDs, xxhash.Sum64String(s.RequestID))
		}
	}
	last := old[mergeWidth-1]
	merged.Turn, merged.Kind, merged.Level = last.Turn, ModelTurn, last.Level+1
	r.Segments = slices.Replace(r.Segments, from, from+mergeWidth, merged)
}

// hasMergedID says whether the request id is that of a merged turn, whose answer is
// not kept.
func (r *Record) hasMergedID(requestID string) bool {
	return isCallerID(requestID) && slices.Contains(r.MergedIDs, xxhash.Sum64String(requestID))
}

// isCallerID says whether a request id was given by the caller.
func isCallerID(id string) bool { return id != "" && !strings.HasPrefix(id, GeneratedIDPrefix) }
