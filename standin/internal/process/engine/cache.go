package engine

import "time"

// cache holds the prefix blocks of programs, limited to a number of blocks.
type cache struct {
	capacity, used int // in blocks
	entries        map[string]*entry
	events         []Event
	sequence       uint64
	dropEvents     bool
}

type entry struct {
	hashes   []uint64
	expires  time.Time // zero if the entry does not expire
	lastUsed time.Time
	pins     int // number of running requests that use the entry
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, entries: map[string]*entry{}}
}

// pin protects the program's entry from eviction while a request runs; the caller
// decrements pins when the request ends. It returns the entry, or nil if there is none,
// and the number of leading blocks that the request can use.
func (c *cache) pin(program string, hashes []uint64) (*entry, int) {
	e := c.entries[program]
	if e == nil {
		return nil, 0
	}
	e.pins++
	return e, commonPrefix(e.hashes, hashes)
}

// commonPrefix returns the number of equal leading hashes.
func commonPrefix(a, b []uint64) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// store replaces the program's blocks. It evicts the least recently used programs if
// memory is short, and stores fewer blocks if that is not enough. A TTL of 0 or less
// removes the program.
func (c *cache) store(now time.Time, program string, hashes []uint64, ttl *time.Duration) {
	if program == "" || len(hashes) == 0 {
		return
	}
	if ttl != nil && *ttl <= 0 {
		c.remove(program)
		return
	}
	e := c.entries[program]
	if e == nil {
		e = &entry{}
		c.entries[program] = e
	}
	e.lastUsed, e.expires = now, time.Time{}
	if ttl != nil {
		e.expires = now.Add(*ttl)
	}
	if commonPrefix(e.hashes, hashes) == len(hashes) {
		return // the cached blocks already include these, from a concurrent request
	}
	c.used -= len(e.hashes)
	e.hashes = nil
	for c.used+len(hashes) > c.capacity && c.evict(program) {
	}
	room := c.capacity - c.used
	if room == 0 {
		c.remove(program)
		return
	}
	e.hashes = hashes[:min(len(hashes), room)]
	c.used += len(e.hashes)
	c.recordEvent(EventStored, program, len(e.hashes))
}

// evict removes the least recently used program that no running request uses, except
// keep. It returns false if there is none.
func (c *cache) evict(keep string) bool {
	oldest := ""
	for program, e := range c.entries {
		if program != keep && e.pins == 0 && (oldest == "" || e.lastUsed.Before(c.entries[oldest].lastUsed)) {
			oldest = program
		}
	}
	return oldest != "" && c.remove(oldest)
}

func (c *cache) remove(program string) bool {
	e := c.entries[program]
	if e == nil {
		return false
	}
	c.used -= len(e.hashes)
	delete(c.entries, program)
	c.recordEvent(EventRemoved, program, 0)
	return true
}

// expire removes the programs whose TTL has passed.
func (c *cache) expire(now time.Time) {
	for program, e := range c.entries {
		if e.pins == 0 && !e.expires.IsZero() && !e.expires.After(now) {
			c.remove(program)
		}
	}
}

// nextExpiry returns the earliest expiry, or zero if there is none.
func (c *cache) nextExpiry() time.Time {
	var next time.Time
	for _, e := range c.entries {
		if e.pins == 0 && !e.expires.IsZero() && (next.IsZero() || e.expires.Before(next)) {
			next = e.expires
		}
	}
	return next
}

// recordEvent appends an event. A dropped event still takes a sequence number, so that a
// reader can detect the gap.
func (c *cache) recordEvent(kind EventKind, program string, blocks int) {
	c.sequence++
	if c.dropEvents {
		return
	}
	c.events = append(c.events, Event{c.sequence, kind, program, blocks})
	if len(c.events) > eventLimit {
		c.events = c.events[len(c.events)-eventLimit:]
	}
}
