package fleet

import (
	"context"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/replica"
	"hornbeamvale.example/hornbeamvale/internal/version/routing"
)

const (
	// changeWait is how long a read of changes waits for one. A connection that has
	// fallen silent shows only by the timeout; with it a change is known 2.5 s later.
	// Rules with a bound hold again 3 s after such a fault.
	changeWait = 2 * time.Second
	// changeSlack is what a read of changes may take beyond its wait.
	changeSlack = 500 * time.Millisecond
	// readTimeout bounds the read of a whole table.
	readTimeout = time.Second
	// watchPause is the wait after a failed read.
	watchPause = 200 * time.Millisecond
	// listingPause is the wait after a change of the replicas, so that one read returns
	// the changes of that time: with 80 replicas there are four a second. It is small
	// against the 2 s in which a leaving replica has to get no more requests.
	listingPause = 400 * time.Millisecond
	// outageMemory is how long after a failed call the disappearance of a replica's
	// listing may be due to the outage.
	outageMemory = 4 * time.Second
	// listingGrace is how long a listing that may have lapsed in an outage is still
	// used: the replica is back on the list within about 2 s if it lives. A replica
	// that leaves must not get requests 2 s after its listing has gone.
	listingGrace = 1800 * time.Millisecond
)

// note keeps the time of a failed call and logs a change of state.
func (l *Loop) note(what string, err error) {
	if err == nil {
		return
	}
	if !l.doubtful() {
		l.config.Log.State("Store call failed", "call", what, "err", err)
	}
	now := time.Now()
	l.failedAt.Store(&now)
}

// doubtful says that a call of the store failed a short time ago.
func (l *Loop) doubtful() bool {
	failed := l.failedAt.Load()
	return failed != nil && time.Since(*failed) < outageMemory
}

// watcher follows one table: a whole read, then its changes.
type watcher struct {
	name  string
	store platform.PartedStore
	table string
	// whole and changed take rows; whole is called after the history was lost, too.
	whole, changed func(ctx context.Context, p platform.Page)
	note           func(what string, err error)
	// pause is the wait after a change; there is none while the state of the store is
	// doubtful, since the grace for lapsed listings adds to it.
	pause    time.Duration
	doubtful func() bool
}

// run follows the table until ctx ends.
func (w watcher) run(ctx context.Context) {
	var after uint64
	read := false
	for ctx.Err() == nil {
		page, err := w.read(ctx, after, read)
		w.note(w.name, err)
		switch {
		case platform.KindOf(err) == platform.HistoryGone:
			read = false
		case err != nil:
			clock.Sleep(ctx, watchPause)
		case !read:
			w.whole(ctx, page)
			after, read = page.Revision, true
		default:
			w.changed(ctx, page)
			after = page.Revision
			if len(page.Rows) > 0 && !w.doubtful() {
				clock.Sleep(ctx, w.pause)
			}
		}
	}
}

func (w watcher) read(ctx context.Context, after uint64, read bool) (platform.Page, error) {
	if !read {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		return w.store.Range(ctx, platform.RangeQuery{Table: w.table})
	}
	ctx, cancel := context.WithTimeout(ctx, changeWait+changeSlack)
	defer cancel()
	return w.store.Changes(ctx, w.table, after, changeWait)
}

func (l *Loop) watchConfiguration(ctx context.Context) {
	take := func(ctx context.Context, p platform.Page) {
		e := configurationRead{at: time.Now()}
		for _, row := range p.Rows {
			if row.Key.Key != l.config.Sources.Configuration.Key || row.Deleted {
				continue
			}
			table, err := l.config.Sources.DecodeTable(row.Value)
			if err != nil {
				l.config.Log.State("Configuration not applied", "revision", row.Revision, "err", err)
				continue
			}
			e.table = table
		}
		l.post(ctx, e)
	}
	watcher{
		name: "configuration", store: l.config.Store, table: l.config.Sources.Configuration.Table,
		whole: take, changed: take, note: l.note, doubtful: l.doubtful,
	}.run(ctx)
}

// configurationRead says that the store was read: table is the newest one, nil if
// it has not changed.
type configurationRead struct {
	table *routing.Table
	at    time.Time
}

// Apply implements Event. A version never goes back, so a late answer of an earlier
// read changes nothing.
func (e configurationRead) Apply(s *State, now time.Time) {
	s.confirmed, s.dirty = e.at, true
	if e.table == nil || s.table != nil && e.table.Number <= s.table.Number {
		return
	}
	s.config.Log.State("Configuration in force", "version", e.table.Number)
	s.table = e.table
	s.applyRates(now)
}

func (l *Loop) watchReplicas(ctx context.Context) {
	watcher{
		name: "replicas", store: l.config.Store, table: l.config.Sources.ReplicaTable, note: l.note,
		pause: listingPause, doubtful: l.doubtful,
		whole:   func(ctx context.Context, p platform.Page) { l.post(ctx, l.listings(p, true)) },
		changed: func(ctx context.Context, p platform.Page) { l.post(ctx, l.listings(p, false)) },
	}.run(ctx)
}

// listings decodes replica rows. A row that cannot be read names no replica.
func (l *Loop) listings(p platform.Page, whole bool) replicasRead {
	e := replicasRead{whole: whole}
	if l.doubtful() {
		e.absentAt = time.Now().Add(listingGrace)
	}
	for _, row := range p.Rows {
		if row.Deleted {
			e.removed = append(e.removed, row.Key.Key)
			continue
		}
		listing, err := l.config.Sources.DecodeListing(row.Key.Key, row.Value)
		if err != nil {
			l.config.Log.State("Replica entry not usable", "replica", row.Key.Key, "err", err)
			e.removed = append(e.removed, row.Key.Key)
			continue
		}
		e.listed = append(e.listed, listing)
	}
	return e
}

// replicasRead is a read of the replicas' table or of its changes.
type replicasRead struct {
	whole    bool
	listed   []replica.Registration
	removed  []string
	absentAt time.Time // when removed replicas are dropped; zero means at once
}

// Apply implements Event.
func (e replicasRead) Apply(s *State, _ time.Time) {
	if e.whole {
		s.replicas.ReplaceAll(e.listed, e.absentAt)
	}
	for _, l := range e.listed {
		s.replicas.Register(l)
	}
	for _, id := range e.removed {
		s.replicas.Remove(id, e.absentAt)
	}
	if len(e.listed)+len(e.removed) > 0 {
		s.config.Log.State("Replicas changed", "listed", len(e.listed), "removed", len(e.removed), "whole", e.whole, "all", s.replicas.Count())
	}
	s.dirty = true
}
