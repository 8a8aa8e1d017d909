package replica

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	firstReleaseRetry = time.Second
	maxReleaseRetry   = 30 * time.Second
)

// Release is a request to a replica to drop its cache of an ended run.
type Release struct {
	Run, Replica string
}

type pendingRelease struct {
	due      time.Time
	attempts int
}

// releaseList holds which replicas may hold cache of which run, and the releases that
// are not confirmed. A replica counts as a holder from the dispatch on, since a failed
// call may leave cache as well.
type releaseList struct {
	holders map[string]map[string]bool // run -> replicas
	pending map[Release]pendingRelease
}

func newReleaseList() releaseList {
	return releaseList{holders: map[string]map[string]bool{}, pending: map[Release]pendingRelease{}}
}

func (l *releaseList) held(run string) bool { return len(l.holders[run]) > 0 }

func (l *releaseList) dropReplica(replica string) {
	for run, at := range l.holders {
		if delete(at, replica); len(at) == 0 {
			delete(l.holders, run)
		}
	}
	maps.DeleteFunc(l.pending, func(r Release, _ pendingRelease) bool { return r.Replica == replica })
}

// AddHolder records that a replica may hold cache of a run. It is called before the
// dispatch. A pending release of the run there is cancelled, since it would drop the
// cache of the run's new call.
func (v *View) AddHolder(run, replica string) {
	if run == "" || v.replicas[replica] == nil {
		return
	}
	if v.releases.holders[run] == nil {
		v.releases.holders[run] = map[string]bool{}
	}
	v.releases.holders[run][replica] = true
	delete(v.releases.pending, Release{run, replica})
}

// Holders returns the replicas that may hold cache of a run, for its record, in
// ascending order.
func (v *View) Holders(run string) []string {
	return slices.Sorted(maps.Keys(v.releases.holders[run]))
}

// EndRun makes the releases of a run due now and removes its prefixes.
func (v *View) EndRun(now time.Time, run string) {
	for replica := range v.releases.holders[run] {
		v.releases.pending[Release{run, replica}] = pendingRelease{due: now}
	}
	delete(v.releases.holders, run)
	delete(v.cache.runs, run)
}

// RestoreReleases makes the releases of an ended run due after a takeover, for the
// holders in its record. Replicas that the view does not know yet are added to it,
// since the VM list may lag.
func (v *View) RestoreReleases(now time.Time, run string, replicas []string) {
	for _, replica := range replicas {
		v.releases.pending[Release{run, replica}] = pendingRelease{due: now}
		if v.replicas[replica] == nil {
			v.replicas[replica] = &viewedReplica{address: replica, lastListed: now}
		}
	}
}

// DueReleases returns at most limit releases to send now, the earliest due first.
// Until confirmed, each becomes due again after an exponentially growing delay.
func (v *View) DueReleases(now time.Time, limit int) []Release {
	var due []Release
	for r, p := range v.releases.pending {
		if !now.Before(p.due) {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(a, b Release) int {
		return cmp.Or(v.releases.pending[a].due.Compare(v.releases.pending[b].due),
			cmp.Compare(a.Run, b.Run), cmp.Compare(a.Replica, b.Replica))
	})
	due = due[:min(len(due), max(0, limit))]
	for _, r := range due {
		p := v.releases.pending[r]
		p.due = now.Add(min(maxReleaseRetry, firstReleaseRetry<<min(p.attempts, 5)))
		p.attempts++
		v.releases.pending[r] = p
	}
	return due
}

// ConfirmRelease removes a release that its replica confirmed. It reports whether the
// run has no pending release left, so that its record can be deleted.
func (v *View) ConfirmRelease(r Release) bool {
	delete(v.releases.pending, r)
	return v.ReleasesConfirmed(r.Run)
}

// ReleasesConfirmed says whether a run has no pending release.
func (v *View) ReleasesConfirmed(run string) bool {
	for r := range v.releases.pending {
		if r.Run == run {
			return false
		}
	}
	return true
}

// NextRelease returns when the next release is due; false if none is pending.
func (v *View) NextRelease() (time.Time, bool) {
	var next time.Time
	for _, p := range v.releases.pending {
		if next.IsZero() || p.due.Before(next) {
			next = p.due
		}
	}
	return next, !next.IsZero()
}
