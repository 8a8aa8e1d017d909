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
}

func (t StoredTurn) size() int { return len(t.Turn.Input) + len(t.Turn.Output) + entryOverhead }

// turnCache is an LRU cache of turns, bounded in bytes. Turns are immutable, so no
// entry can be stale.
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

func (c *turnCache) add(entry StoredTurn) {
	if _, ok := c.byID[entry.ID]; ok {
		return
	}
	c.byID[entry.ID] = c.order.PushFront(entry)
	c.size += entry.size()
	for c.size > c.limit && c.order.Len() > 1 {
		last := c.order.Back()
		evicted := c.order.Remove(last).(StoredTurn)
		delete(c.byID, evicted.ID)
		c.size -= evicted.size()
	}
}
