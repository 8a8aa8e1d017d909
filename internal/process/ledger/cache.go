package ledger

import (
	"container/list"

	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
)

// entryOverhead is the memory of a cached turn in bytes, not counting its input and
// output.
const entryOverhead = 400

// StoredTurn is a turn with the group that it was read from.
type StoredTurn struct {
	ID    string         `msgpack:"i"`
	Group turntree.Group `msgpack:"g"`
	Turn  turntree.Turn  `msgpack:"t"`
	// revision is that of the turn's first row in the store, 0 if it is unknown.
	revision uint64
}

// Size returns the approximate memory of the turn in bytes.
func (t StoredTurn) Size() int { return len(t.Turn.Input) + len(t.Turn.Output) + entryOverhead }

// turnCache is an LRU cache of turns, bounded in bytes. Turns are immutable, but an entry
// may outlive its rows in the store.
type turnCache struct {
	limit, size int
	order       *list.List // of StoredTurn, most recently used first
	byID        map[string]*list.Element
}

func newTurnCache(limit int) *turnCache {
	return &turnCache{limit: limit, order: list.New(), byID: map[string]*list.Element{}}
}

func (c *turnCache) get(id string) (StoredTurn, bool) {
	e, ok := c.byID[id]
	if !ok {
		return StoredTurn{}, false
	}
	c.order.MoveToFront(e)
	return e.Value.(StoredTurn), true
}

// add adds a turn. For one that is cached it only takes over the revision.
func (c *turnCache) add(entry StoredTurn) {
	if e, ok := c.byID[entry.ID]; ok {
		if cached := e.Value.(StoredTurn); cached.Group == entry.Group {
			cached.revision = max(cached.revision, entry.revision)
			e.Value = cached
		}
		return
	}
	c.byID[entry.ID] = c.order.PushFront(entry)
	c.size += entry.Size()
	for c.size > c.limit && c.order.Len() > 1 {
		c.remove(c.order.Back())
	}
}

// drop removes a turn if it is cached.
func (c *turnCache) drop(id string) {
	if e, ok := c.byID[id]; ok {
		c.remove(e)
	}
}

func (c *turnCache) remove(e *list.Element) {
	removed := c.order.Remove(e).(StoredTurn)
	delete(c.byID, removed.ID)
	c.size -= removed.Size()
}
