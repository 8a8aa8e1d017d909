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
	// changeWait is how long a read of changes waits at the store for a change. Without
	// other calls, a connection that has stopped transferring data is detected only when
	// this wait and changeOverhead have passed. The limits on the time until a change
	// takes effect hold again 3 s after such a fault.
	changeWait = time.Second
	// changeOverhead is the time that a read of changes may take in addition to its
	// wait.
	changeOverhead = 500 * time.Millisecond
	// readTimeout bounds the read of a whole table.
	readTimeout = time.Second
	// storeRetryDelay is the wait after a failed read.
	storeRetryDelay = 200 * time.Millisecond
	// replicaBatchDelay is the wait after a change of the replicas, so that one read
	// returns all changes in that time: 80 replicas make four changes a second. It is
	// small compared to the 2 s after which a leaving replica must not get requests any
	// more.
	replicaBatchDelay = 400 * time.Millisecond
	// failureWindow is how long after a failed call the disappearance of a replica's
	// row may be an effect of the outage.
	failureWindow = 4 * time.Second
	// registrationGrace is how long a replica is still used after its row may have
	// expired in an outage. If the replica lives, it is listed again within about 2 s.
	// A leaving replica must not get requests 2 s after its row has gone.
	registrationGrace = 1800 * time.Millisecond
)

// noteStoreError records the time of a failed call and logs it, unless another call
// failed within failureWindow. It ignores a nil error and a discarded history, which the
// store answers while it works: replicas whose rows are missing then are gone.
func (l *Loop) noteStoreError(call string, err error) {
	if err == nil || platform.KindOf(err) == platform.HistoryGone {
		return
	}
	if !l.recentlyFailed() {
		l.config.Log.State("Failed to call the store", "call", call, "err", err)
	}
	now := clock.Now()
	l.failedAt.Store(&now)
}

// recentlyFailed returns whether a call to the store failed within failureWindow.
func (l *Loop) recentlyFailed() bool {
	failed := l.failedAt.Load()
	return failed != nil && clock.Since(*failed) < failureWindow
}

// watcher follows one table: it reads the whole table, then its changes.
type watcher struct {
	name  string
	store platform.PartitionedStore
	table string
	// onFullRead and onChanges receive the rows. onFullRead is called again after the
	// store has discarded the history of changes.
	onFullRead, onChanges func(ctx context.Context, p platform.Page)
	noteError             func(call string, err error)
	// batchDelay is the wait after a change. There is no wait if a call to the store
	// failed recently, since it would add to registrationGrace.
	batchDelay     time.Duration
	recentlyFailed func() bool
}

// run follows the table until ctx ends.
func (w watcher) run(ctx context.Context) {
	var after uint64
	initialized := false
	fullReads := 0 // since the last read of changes that succeeded
	for ctx.Err() == nil {
		page, err := w.read(ctx, after, initialized)
		w.noteError(w.name, err)
		switch {
		case platform.KindOf(err) == platform.HistoryGone:
			initialized = false
			if fullReads > 1 {
				clock.Sleep(ctx, storeRetryDelay)
			}
		case err != nil:
			clock.Sleep(ctx, storeRetryDelay)
		case !initialized:
			w.onFullRead(ctx, page)
			after, initialized = page.Revision, true
			fullReads++
		default:
			w.onChanges(ctx, page)
			after = page.Revision
			fullReads = 0
			if len(page.Rows) > 0 && !w.recentlyFailed() {
				clock.Sleep(ctx, w.batchDelay)
			}
		}
	}
}

func (w watcher) read(ctx context.Context, after uint64, initialized bool) (platform.Page, error) {
	if !initialized {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		return w.store.Range(ctx, platform.RangeQuery{Table: w.table})
	}
	ctx, cancel := context.WithTimeout(ctx, changeWait+changeOverhead)
	defer cancel()
	return w.store.Changes(ctx, w.table, after, changeWait)
}

func (l *Loop) watchConfiguration(ctx context.Context) {
	apply := func(ctx context.Context, p platform.Page, full bool) {
		e := configurationRead{at: clock.Now(), evacuations: l.decodeEvacuations(p, full)}
		for _, row := range p.Rows {
			if row.Key.Key != l.config.Sources.Configuration.Key || row.Deleted {
				continue
			}
			table, err := l.config.Sources.DecodeConfiguration(row.Value)
			if err != nil {
				l.config.Log.State("Failed to decode configuration row", "revision", row.Revision, "err", err)
				continue
			}
			e.table = table
		}
		l.post(ctx, e)
	}
	watcher{
		name: "configuration", store: l.config.Store, table: l.config.Sources.Configuration.Table,
		onFullRead: func(ctx context.Context, p platform.Page) {
			l.logFullRead("configuration", p)
			apply(ctx, p, true)
		},
		onChanges: func(ctx context.Context, p platform.Page) { apply(ctx, p, false) }, noteError: l.noteStoreError, recentlyFailed: l.recentlyFailed,
	}.run(ctx)
}

// logFullRead logs a read of a whole table.
func (l *Loop) logFullRead(name string, p platform.Page) {
	newest := uint64(0)
	for _, row := range p.Rows {
		newest = max(newest, row.Revision)
	}
	l.config.Log.State("Read whole table", "call", name, "rows", len(p.Rows), "revision", p.Revision, "newestRow", newest)
}

// configurationRead is the event that the configuration was read. table is the newest
// version; nil if it has not changed.
type configurationRead struct {
	table       *routing.Table
	evacuations evacuationChange
	at          time.Time
}

// Apply implements Event. It ignores a version that is not newer than the one in force,
// so a late answer to an earlier read has no effect.
func (e configurationRead) Apply(s *State, now time.Time) {
	s.confirmed, s.unpublished = e.at, true
	s.applyEvacuations(now, e.at, e.evacuations)
	if e.table == nil || s.table != nil && e.table.Number <= s.table.Number {
		return
	}
	s.config.Log.State("Applied configuration version", "configurationVersion", e.table.Number)
	s.table = e.table
	s.applyRates(now)
	s.applyAllCold(now)
}

func (l *Loop) watchReplicas(ctx context.Context) {
	watcher{
		name: "replicas", store: l.config.Store, table: l.config.Sources.ReplicaTable, noteError: l.noteStoreError,
		batchDelay: replicaBatchDelay, recentlyFailed: l.recentlyFailed,
		onFullRead: func(ctx context.Context, p platform.Page) {
			l.logFullRead("replicas", p)
			l.post(ctx, l.decodeRegistrations(p, true))
		},
		onChanges: func(ctx context.Context, p platform.Page) { l.post(ctx, l.decodeRegistrations(p, false)) },
	}.run(ctx)
}

// decodeRegistrations decodes the rows of replicas. A replica whose row cannot be
// decoded counts as removed.
func (l *Loop) decodeRegistrations(p platform.Page, full bool) replicasRead {
	e := replicasRead{full: full, revision: p.Revision}
	if l.recentlyFailed() {
		e.absentAt = clock.Now().Add(registrationGrace)
	}
	for _, row := range p.Rows {
		if row.Deleted {
			e.removed = append(e.removed, row.Key.Key)
			continue
		}
		registration, err := l.config.Sources.DecodeRegistration(row.Key.Key, row.Value)
		if err != nil {
			l.config.Log.State("Failed to decode replica row", "replica", row.Key.Key, "revision", row.Revision, "err", err)
			e.removed = append(e.removed, row.Key.Key)
			continue
		}
		registration.Revision = row.Revision
		e.listed = append(e.listed, registration)
	}
	return e
}

// replicasRead is the event that the table of replicas or its changes were read.
type replicasRead struct {
	full     bool   // listed is the whole table
	revision uint64 // of the store at the read
	listed   []replica.Registration
	removed  []string  // replica ids
	absentAt time.Time // when removed replicas are dropped; zero means at once
}

// Apply implements Event.
func (e replicasRead) Apply(s *State, now time.Time) {
	if e.full {
		s.replicas.ReplaceAll(e.listed, e.absentAt)
	}
	for _, l := range e.listed {
		s.replicas.Register(l)
	}
	for _, id := range e.removed {
		s.replicas.Remove(id, e.absentAt)
	}
	if len(e.listed)+len(e.removed) > 0 {
		s.config.Log.State("Replica list changed", "listed", len(e.listed), "removed", len(e.removed), "fullRead", e.full, "replicas", s.replicas.Count())
	}
	s.noteCold(now, e.listed)
	s.replicasReadAt = max(s.replicasReadAt, e.revision)
	s.unpublished = true
}
