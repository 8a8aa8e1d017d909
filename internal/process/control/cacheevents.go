package control

import (
	"context"
	"strconv"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/eventlog"
	"hornbeamvale.example/hornbeamvale/internal/process/program"
	"hornbeamvale.example/hornbeamvale/internal/process/replica"
	"hornbeamvale.example/hornbeamvale/operator"
)

// cachesPerRound bounds the replicas whose cache events are read in one round. Rounds
// are loadReportInterval apart.
const cachesPerRound = 16

const (
	// pruneInterval is the time between two removals of outdated prefixes.
	pruneInterval = time.Minute
	// prefixMaxAge is how long a prefix is kept without an event or usage report about
	// it. It is longer than defaultIdleTimeout, after which the run has ended.
	prefixMaxAge = 30 * time.Minute
)

// CacheEventPage is a page of a replica's cache events. They identify runs by their opaque
// ids, see program.Key.OpaqueID.
type CacheEventPage struct {
	Events []replica.CacheEvent
	// Latest is the sequence number of the newest event. The next page begins after it.
	Latest uint64
}

// cacheEventState is the state of reading the replicas' cache events. The events show
// what engines evicted. They also show caches that no program record refers to, which
// remain when a turn is interrupted by the failure of its owner.
type cacheEventState struct {
	cursors        map[string]uint64 // sequence number of the last event read, by replica address
	engineRestarts map[string]int    // restarts seen of the engine, by replica address
	nextReplica    int
	next           time.Time
	nextPrune      time.Time
}

func newCacheEventState() *cacheEventState {
	return &cacheEventState{cursors: map[string]uint64{}, engineRestarts: map[string]int{}}
}

// rescan makes the next rounds read the events of all replicas from the beginning. It
// is called after slots were acquired, since their previous owner may have died before it
// recorded where its turns ran.
func (c *cacheEventState) rescan() { c.cursors = map[string]uint64{} }

// stepCacheEvents starts reading the cache events of the next model replicas in turn
// and removes outdated prefixes.
func (s *State) stepCacheEvents(now time.Time) {
	if now.Before(s.cacheEvents.next) || s.config.Endpoints == nil {
		return
	}
	s.cacheEvents.next = now.Add(loadReportInterval)
	if !now.Before(s.cacheEvents.nextPrune) {
		s.cacheEvents.nextPrune = now.Add(pruneInterval)
		s.replicas.view.PruneCache(now.Add(-prefixMaxAge))
	}
	var replicas []program.Holder
	for _, ep := range s.current.Version.Endpoints() {
		if ep.Kind != operator.KindModel {
			continue
		}
		for _, address := range s.replicas.view.EndpointAddresses(ep.Name) {
			replicas = append(replicas, program.Holder{Endpoint: ep.Name, Replica: address})
		}
	}
	endpoints, self := s.config.Endpoints, s.self
	for range min(cachesPerRound, len(replicas)) {
		h := replicas[s.cacheEvents.nextReplica%len(replicas)]
		s.cacheEvents.nextReplica++
		since := s.cacheEvents.cursors[h.Replica]
		s.submitJob(func(ctx context.Context) Event {
			page, err := endpoints.CacheEvents(ctx, h.Replica, since)
			if err != nil {
				return nil // a later round reads the page again
			}
			return cacheEventsRead{self: self, holder: h, since: since, page: page}
		})
	}
}

// cacheEventsRead reports a page of a replica's cache events.
type cacheEventsRead struct {
	self   string
	holder program.Holder
	since  uint64
	page   CacheEventPage
}

// Apply implements Event.
func (e cacheEventsRead) Apply(s *State, now time.Time) {
	if e.self != s.self || !s.joined || !s.lease.Valid(now) || s.cacheEvents.cursors[e.holder.Replica] != e.since {
		return
	}
	s.cacheEvents.cursors[e.holder.Replica] = e.page.Latest
	if e.page.Latest < e.since { // the engine has restarted
		s.cacheEvents.cursors[e.holder.Replica] = 0
		s.cacheEvents.engineRestarts[e.holder.Replica]++
	}
	s.replicas.view.ApplyCacheEvents(now, e.holder.Replica, replica.CacheEventBatch{
		Instance: strconv.Itoa(s.cacheEvents.engineRestarts[e.holder.Replica]), Events: e.page.Events,
	})
	stored := map[string]bool{}
	for _, event := range e.page.Events {
		stored[event.Run] = event.Kind == replica.CacheStored
	}
	for id, held := range stored {
		slot, ok := program.OpaqueSlot(id)
		if !held || !ok || s.slots.Owner(slot).Member != s.self || !s.runs.Loaded(slot) {
			continue
		}
		if !s.runs.RecordHolder(slot, id, e.holder) {
			s.releaseOrphanedCache(now, id, e.holder)
		}
	}
}

// releaseOrphanedCache asks a replica to drop an orphaned cache, which no program record
// refers to.
func (s *State) releaseOrphanedCache(now time.Time, id string, h program.Holder) {
	if s.config.ReleaseOrphanedCache == nil {
		return
	}
	release := s.config.ReleaseOrphanedCache
	s.recordEvent(now, eventlog.Event{Kind: eventlog.CacheReleased, Detail: h.Replica + " " + id})
	s.submitJob(func(ctx context.Context) Event {
		if release(ctx, h.Replica, id) != nil {
			return orphanedCacheReleaseFailed{holder: h}
		}
		return nil
	})
}

// orphanedCacheReleaseFailed reports that a replica did not drop a cache. The replica's
// events are read again from the beginning, so that the request is repeated.
type orphanedCacheReleaseFailed struct{ holder program.Holder }

// Apply implements Event.
func (e orphanedCacheReleaseFailed) Apply(s *State, _ time.Time) {
	delete(s.cacheEvents.cursors, e.holder.Replica)
}
