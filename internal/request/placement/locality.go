package placement

import (
	"hornbeamvale.example/hornbeamvale/internal/process/queue"
	"hornbeamvale.example/hornbeamvale/internal/process/replica"
)

// Room tells which replicas can take a call now and which could but for their capacity.
type Room struct{ free, full map[string]bool }

// Any reports whether any replica can take a call now.
func (m Room) Any() bool { return len(m.free) > 0 }

// Room classifies the replicas as free or full. Replicas that a filter other than
// Capacity excludes are neither: waiting for capacity there does not help.
func (p *Profile) Room(r Request, cs []replica.Candidate) Room {
	m := Room{free: map[string]bool{}, full: map[string]bool{}}
	for _, c := range cs {
		usable, room := true, true
		for _, f := range p.Filters {
			if f.Keep(r, c) {
				continue
			}
			if _, ok := f.(Capacity); ok {
				room = false
			} else {
				usable = false
			}
		}
		switch {
		case usable && room:
			m.free[c.Replica] = true
		case usable:
			m.full[c.Replica] = true
		}
	}
	return m
}

// Locate returns the locality of a call: the prompt time that its cached prefixes save at
// a free replica, the further time that they would save at a full one, and whether all
// free replicas are excluded for the call.
func (m Room) Locate(r Request) queue.Locality {
	blocked := len(r.Excluded) > 0
	for name := range m.free {
		blocked = blocked && r.Excluded[name]
	}
	var cachedFree, cachedFull int64
	for name, tokens := range r.CachedTokens {
		if r.Excluded[name] {
			continue
		}
		tokens = min(tokens, r.PromptTokens)
		if m.free[name] {
			cachedFree = max(cachedFree, tokens)
		} else if m.full[name] {
			cachedFull = max(cachedFull, tokens)
		}
	}
	const perToken = 1000 / prefillRate // ms to compute a prompt token
	return queue.Locality{
		Saved: perToken * float64(cachedFree), Wasted: perToken * float64(max(0, cachedFull-cachedFree)), Blocked: blocked,
	}
}
