package ledger

import (
	"container/list"

	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
)

// entryBytes is the memory of a cached turn besides its bodies.
const entryBytes = 400

// cached is a turn with the group from which it was taken.
type cached struct {
	id    string
	turn  turntree.Turn
	group turntree.Group
}

func (c cached) size() int { return len(c.turn.Input) + len(c.turn.Output) + entryBytes }

// turnCache keeps the turns that were used last, up to a number of bytes. Turns
// never change, so an entry cannot be stale.
type turnCache struct {
	limit, size int
	order       *list.List // of cached, most recently used first
	byID        map[string]*list.Element
}

func newTurnCache(limit int) *turnCache {
	return &turnCache{limit: limit, order: list.New(), byID: map[string]*list.Element{}}
}

func (c *turnCache) get(id string) (cached, bool) {
	e, ok := c.byID[id]
	if !ok {
		return cached{}, false
	}
	c.order.MoveToFront(e)
	return e.Value.(cached), true
}

func (c *turnCache) add(id string, t turntree.Turn, g turntree.Group) {
	if _, ok := c.byID[id]; ok {
		return
	}
	entry := cached{id: id, turn: t, group: g}
	c.byID[id] = c.order.PushFront(entry)
	c.size += entry.size()
	for c.size > c.limit && c.order.Len() > 1 {
		last := c.order.Back()
		gone := c.order.Remove(last).(cached)
		delete(c.byID, gone.id)
		c.size -= gone.size()
	}
}
