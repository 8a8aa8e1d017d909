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

// cachesPerRound bounds the replicas whose cache events are read in one round of
// load reports.
const cachesPerRound = 16

const (
	// pruneInterval is the time between two removals of old prefixes.
	pruneInterval = time.Minute
	// prefixMaxAge is how long a prefix is remembered without a fact about it. It is
	// above the default idle bound, after which the run has ended.
	prefixMaxAge = 30 * time.Minute
)

// CachePage is a page of a replica's cache events. Runs are named by their opaque
// ids, see program.Key.OpaqueID.
type CachePage struct {
	Events []replica.CacheEvent
	// Latest is where the next page begins.
	Latest uint64
}

// caches is the state of reading cache events. They show what engines evicted, and
// cache that no program's record names: that of a turn that was cut together with
// its owner.
type caches struct {
	cursors   map[string]uint64 // by replica address
	restarts  map[string]int    // of the engine, by replica address
	from      int
	next      time.Time
	nextPrune time.Time
}

func newCaches() *caches {
	return &caches{cursors: map[string]uint64{}, restarts: map[string]int{}}
}

// rescan reads the events of all replicas again, after slots were acquired: their
// former owner may have died before it recorded where its turns ran.
func (c *caches) rescan() { c.cursors = map[string]uint64{} }

// stepCaches reads the cache events of the next model replicas.
func (s *State) stepCaches(now time.Time) {
	if now.Before(s.caches.next) || s.config.Endpoints == nil {
		return
	}
	s.caches.next = now.Add(loadInterval)
	if !now.Before(s.caches.nextPrune) {
		s.caches.nextPrune = now.Add(pruneInterval)
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
	port, self := s.config.Endpoints, s.self
	for range min(cachesPerRound, len(replicas)) {
		h := replicas[s.caches.from%len(replicas)]
		s.caches.from++
		since := s.caches.cursors[h.Replica]
		s.run(func(ctx context.Context) Event {
			page, err := port.CacheEvents(ctx, h.Replica, since)
			if err != nil {
				return nil // the next round asks again
			}
			return cacheSeen{self: self, holder: h, since: since, page: page}
		})
	}
}

// cacheSeen brings a page of a replica's cache events.
type cacheSeen struct {
	self   string
	holder program.Holder
	since  uint64
	page   CachePage
}

// Apply implements Event.
func (e cacheSeen) Apply(s *State, now time.Time) {
	if e.self != s.self || !s.joined || !s.lease.Valid(now) || s.caches.cursors[e.holder.Replica] != e.since {
		return
	}
	s.caches.cursors[e.holder.Replica] = e.page.Latest
	if e.page.Latest < e.since { // the engine has started again
		s.caches.cursors[e.holder.Replica] = 0
		s.caches.restarts[e.holder.Replica]++
	}
	s.replicas.view.ApplyCacheEvents(now, e.holder.Replica, replica.CacheEventPage{
		Instance: strconv.Itoa(s.caches.restarts[e.holder.Replica]), Events: e.page.Events,
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
			s.dropCache(now, id, e.holder)
		}
	}
}

// dropCache asks a replica to drop the cache of a program that does not exist.
func (s *State) dropCache(now time.Time, id string, h program.Holder) {
	if s.config.DropCache == nil {
		return
	}
	drop := s.config.DropCache
	s.record(now, eventlog.Event{Kind: eventlog.CacheReleased, Detail: h.Replica + " " + id})
	s.run(func(ctx context.Context) Event {
		if drop(ctx, h.Replica, id) != nil {
			return cacheKept{holder: h}
		}
		return nil
	})
}

// cacheKept reports a release that failed: the replica's events are read again.
type cacheKept struct{ holder program.Holder }

// Apply implements Event.
func (e cacheKept) Apply(s *State, _ time.Time) { delete(s.caches.cursors, e.holder.Replica) }
