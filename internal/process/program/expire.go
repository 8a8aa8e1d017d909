package program

import (
	"strings"
	"time"
)

// Expire ends the runs that are idle for longer than their bound and deletes the
// records of runs that ended longer ago than the retention period. It returns the
// entries to journal. A run counts as idle since the last activity in its subtree.
// idle returns the idle bound of a run.
func (t *Runs) Expire(now time.Time, idle func(run string) time.Duration) []*JournalEntry {
	var entries []*JournalEntry
	for _, state := range t.slots {
		trees := state.subtreeActivity()
		for key, r := range state.runs {
			tree := trees[key]
			since := time.Duration(unix(now)-tree.activeUnix) * time.Second
			switch {
			case tree.busy:
			case !r.stored && !tree.hasSubAgents:
				delete(state.runs, key) // every request for it was refused
			case r.record.Status == Ended && len(r.record.Holders) == 0 && since > endedRetention && !tree.hasSubAgents,
				IsRequestRun(key.Run) && r.record.Intent == nil && since > requestRetention:
				entries = append(entries, &JournalEntry{Slot: key.Slot(), rows: []entryRow{{key: key, deleted: true}}})
				delete(state.runs, key)
			case r.record.Status == Active && !IsRequestRun(key.Run) && !tree.hasIntent && since > idle(key.Run):
				ended, _ := t.End(now, key)
				entries = append(entries, ended...)
			}
		}
	}
	return entries
}

// subtreeActivity describes a run together with its sub-agents.
type subtreeActivity struct {
	activeUnix int64 // last activity, in seconds of Unix time
	// busy says that a turn is in flight or a request waits.
	busy bool
	// hasIntent says that a non-idempotent call is in flight or has an unknown outcome.
	hasIntent    bool
	hasSubAgents bool
}

// subtreeActivity returns the activity of each run's subtree.
func (s *slotState) subtreeActivity() map[Key]subtreeActivity {
	trees := make(map[Key]subtreeActivity, len(s.runs))
	for key, r := range s.runs {
		for k := key; ; k.Run = k.Run[:strings.LastIndexByte(k.Run, '/')] {
			tree := trees[k]
			tree.activeUnix = max(tree.activeUnix, r.record.ActiveUnix)
			tree.busy = tree.busy || r.current != nil || len(r.waiting) > 0
			tree.hasIntent = tree.hasIntent || r.record.Intent != nil
			tree.hasSubAgents = tree.hasSubAgents || k != key
			trees[k] = tree
			if !strings.Contains(k.Run, "/") {
				break
			}
		}
	}
	return trees
}
