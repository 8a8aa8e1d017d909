package replica

import "time"

// gapDiscount is the factor applied to the cached prefixes of a replica when events
// were lost, since some of these may have been evictions.
const gapDiscount = 0.5

// CacheEventKind says what happened to a cached prefix.
type CacheEventKind string

// The kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent is one event of a replica's cache.
type CacheEvent struct {
	// Sequence increases by one with each event of an engine instance.
	Sequence uint64
	Kind     CacheEventKind
	Run      string
	// Tokens is the length in tokens of the prefix that is cached after the event.
	Tokens int64
	// Age is the time between the event and its receipt.
	Age time.Duration
}

// CacheEventBatch holds cache events of one engine process at a replica, in order.
type CacheEventBatch struct {
	// Instance identifies the engine process. It changes when the engine restarts,
	// which empties its cache.
	Instance string
	Events   []CacheEvent
}

// Usage is the usage that an engine reported with an answer.
type Usage struct {
	PromptTokens, CachedTokens, CompletionTokens int64
}

type prefix struct {
	tokens int64
	at     time.Time // when the length was observed at the replica, not when it was received
}

// eventPosition is the last event that was received of a replica.
type eventPosition struct {
	instance string
	sequence uint64
}

// cacheIndex holds the estimated cached prefix of each run at each replica.
type cacheIndex struct {
	runs      map[string]map[string]prefix // run -> replica -> prefix
	positions map[string]eventPosition     // by replica
}

func newCacheIndex() cacheIndex {
	return cacheIndex{runs: map[string]map[string]prefix{}, positions: map[string]eventPosition{}}
}

// set sets a prefix unless a later observation is known, so that delayed events do
// not overwrite newer usage.
func (c *cacheIndex) set(run, replica string, tokens int64, at time.Time) {
	if old, ok := c.runs[run][replica]; ok && at.Before(old.at) {
		return
	}
	if c.runs[run] == nil {
		c.runs[run] = map[string]prefix{}
	}
	c.runs[run][replica] = prefix{tokens, at}
}

func (c *cacheIndex) dropReplica(replica string) {
	delete(c.positions, replica)
	c.forEachRunAt(replica, func(at map[string]prefix) { delete(at, replica) })
}

// forEachRunAt calls f with the prefixes of each run that has one at the replica.
func (c *cacheIndex) forEachRunAt(replica string, f func(map[string]prefix)) {
	for run, at := range c.runs {
		if _, ok := at[replica]; !ok {
			continue
		}
		if f(at); len(at) == 0 {
			delete(c.runs, run)
		}
	}
}

// discount reduces the prefixes of a replica after a gap in its events.
func (c *cacheIndex) discount(replica string) {
	c.forEachRunAt(replica, func(at map[string]prefix) {
		p := at[replica]
		p.tokens = int64(float64(p.tokens) * gapDiscount)
		at[replica] = p
	})
}

// applyEvents updates the prefixes of a replica by a batch of its events. Events of
// runs that are not known are skipped.
func (c *cacheIndex) applyEvents(now time.Time, replica string, batch CacheEventBatch, known func(run string) bool) {
	position, seen := c.positions[replica]
	if seen && position.instance != batch.Instance {
		c.dropReplica(replica)
		seen, position = false, eventPosition{}
	}
	position.instance = batch.Instance
	for _, e := range batch.Events {
		if seen && e.Sequence <= position.sequence {
			continue
		}
		if seen && e.Sequence > position.sequence+1 {
			c.discount(replica)
		}
		seen, position.sequence = true, e.Sequence
		if !known(e.Run) {
			continue
		}
		c.set(e.Run, replica, max(0, e.Tokens), now.Add(-max(0, e.Age)))
	}
	c.positions[replica] = position
}

// ApplyCacheEvents applies a batch of a replica's events. Only the runs that this VM
// has dispatched are kept, so that the size of the index depends on this VM's programs
// only.
func (v *View) ApplyCacheEvents(now time.Time, replica string, batch CacheEventBatch) {
	if v.replicas[replica] != nil {
		v.cache.applyEvents(now, replica, batch, v.known)
	}
}

// known says whether this VM has dispatched the run.
func (v *View) known(run string) bool {
	return v.releases.held(run) || v.cache.runs[run] != nil
}

// PruneCache removes the prefixes that were last observed before since, so that the
// index does not grow with every run.
func (v *View) PruneCache(since time.Time) {
	for run, at := range v.cache.runs {
		for replica, p := range at {
			if p.at.Before(since) {
				delete(at, replica)
			}
		}
		if len(at) == 0 {
			delete(v.cache.runs, run)
		}
	}
}

// RecordUsage records the usage of a completed call: its prompt and completion are
// cached at the replica now.
func (v *View) RecordUsage(now time.Time, replica, run string, u Usage) {
	if run != "" && v.replicas[replica] != nil {
		v.cache.set(run, replica, u.PromptTokens+u.CompletionTokens, now)
	}
}

// CachedTokens returns the estimated number of cached tokens of a run, by replica.
func (v *View) CachedTokens(run string) map[string]int64 {
	out := make(map[string]int64, len(v.cache.runs[run]))
	for replica, p := range v.cache.runs[run] {
		if p.tokens > 0 {
			out[replica] = p.tokens
		}
	}
	return out
}
