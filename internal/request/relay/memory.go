package relay

import (
	"golang.org/x/sync/semaphore"
)

const (
	// smallStreamBytes is what a stream may keep without room in the memory for streams.
	smallStreamBytes = 16 << 10
	// copyFactor is the largest ratio of memory to bytes kept: a buffer doubles, and the old
	// one is kept while it is copied.
	copyFactor = 3
	// streamMemoryStep is the unit in which streams take memory.
	streamMemoryStep = 64 << 10
)

// NewStreamMemory returns the bound, in bytes, of the memory of what streams keep beyond
// smallStreamBytes each. It admits at least one turn with the largest event and output.
func NewStreamMemory(bytes int64) *semaphore.Weighted {
	return semaphore.NewWeighted(max(bytes, copyFactor*(maxEventBytes+maxTurnBytes)+streamMemoryStep))
}

// streamMemory is the part of the memory for streams, or for large replies, that one stream
// or reply has taken.
type streamMemory struct {
	pool  *semaphore.Weighted
	taken int64
}

// hold takes what the stream needs to keep the given number of bytes. It returns false if
// there is no room; the stream must not keep them then.
func (m *streamMemory) hold(bytes int) bool {
	need := copyFactor * max(0, int64(bytes)-smallStreamBytes)
	if need <= m.taken {
		return true
	}
	more := (need - m.taken + streamMemoryStep - 1) / streamMemoryStep * streamMemoryStep
	if !m.pool.TryAcquire(more) {
		return false
	}
	m.taken += more
	return true
}

// keep returns what the stream has taken beyond the given number of bytes, which it keeps
// without a copy.
func (m *streamMemory) keep(bytes int) {
	if spare := m.taken - int64(bytes); spare > 0 {
		m.pool.Release(spare)
		m.taken -= spare
	}
}

// release returns all that the stream has taken.
func (m *streamMemory) release() {
	m.pool.Release(m.taken)
	m.taken = 0
}
