// Package bodies reads the bodies of journal records from the object store and caches
// them in memory. It does not write them; package journal does. A body never changes
// after it was written, so the cache needs no invalidation.
package bodies

import (
	"container/list"
	"context"
	"fmt"
	"sync"

	"hornbeamvale.example/hornbeamvale/internal/process/journal"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
)

// Cache is an LRU cache of bodies in front of the object store. It is safe for
// concurrent use.
type Cache struct {
	client platform.Client
	limit  int64 // upper bound of size

	mu    sync.Mutex
	size  int64      // bytes of all cached bodies
	order *list.List // of entry, most recently used first
	byRef map[journal.BodyRef]*list.Element
}

type entry struct {
	ref  journal.BodyRef
	body []byte
}

// Error is returned if a body could not be read.
type Error struct {
	Ref journal.BodyRef
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("read body from object %s at offset %d: %v", e.Ref.Object, e.Ref.Offset, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// New returns a cache that keeps up to limit bytes of bodies.
func New(c platform.Client, limit int64) *Cache {
	return &Cache{client: c, limit: limit, order: list.New(), byRef: map[journal.BodyRef]*list.Element{}}
}

// Get returns a body from the cache or from the object store. The caller must not change
// it.
func (c *Cache) Get(ctx context.Context, ref journal.BodyRef) ([]byte, error) {
	if body, ok := c.cached(ref); ok {
		return body, nil
	}
	body, err := c.client.GetObjectRange(ctx, ref.Object, ref.Offset, ref.Length)
	if err != nil {
		return nil, &Error{Ref: ref, Err: err}
	}
	c.add(ref, body)
	return body, nil
}

// Put caches a body that was just written to the object store.
func (c *Cache) Put(ref journal.BodyRef, body []byte) { c.add(ref, body) }

func (c *Cache) cached(ref journal.BodyRef) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.byRef[ref]
	if !ok {
		return nil, false
	}
	c.order.MoveToFront(e)
	return e.Value.(entry).body, true
}

// add caches a body and evicts the least recently used ones until the rest fits the
// limit. A body that is larger than the limit is not cached.
func (c *Cache) add(ref journal.BodyRef, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.byRef[ref]; ok || int64(len(body)) > c.limit {
		return
	}
	c.byRef[ref] = c.order.PushFront(entry{ref: ref, body: body})
	c.size += int64(len(body))
	for c.size > c.limit {
		last := c.order.Back()
		old := c.order.Remove(last).(entry)
		delete(c.byRef, old.ref)
		c.size -= int64(len(old.body))
	}
}
