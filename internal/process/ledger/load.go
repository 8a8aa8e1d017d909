package ledger

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/historyload"
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
	"hornbeamvale.example/hornbeamvale/internal/version/routing"
)

const (
	// smallHistory is the largest history, in bytes, that is read and sent between VMs without
	// an admission: it delays other messages of a connection by a few milliseconds at most.
	smallHistory = 128 << 10
	// unknownHistory is what a large history of unknown size counts for.
	unknownHistory = 512 << 10
	// loadRetryAfter is when a caller should return whose history was not loaded in time although
	// nothing was loaded before it.
	loadRetryAfter = 250 * time.Millisecond
)

// LargeHistoryError means that Open has changed nothing, since the history is not in memory or
// is large, and has to be loaded before.
type LargeHistoryError struct{ Bytes int64 }

// Error implements error.
func (e *LargeHistoryError) Error() string {
	return fmt.Sprintf("a history of about %d bytes has to be loaded first", e.Bytes)
}

// LoadRequest asks for a large history.
type LoadRequest struct {
	Group    turntree.Group `msgpack:"g"`
	Customer string         `msgpack:"c"`
	// Turn is the request's id; Parent is the id of the turn that it continues.
	Turn   string `msgpack:"t"`
	Parent string `msgpack:"p"`
	// Expected is the size of the history in bytes that the caller's request lets expect; 0 if
	// it is unknown.
	Expected int64 `msgpack:"e,omitempty"`
	// TimeLeft is how long the request waits for the history. Ledger.Load waits until its
	// context ends.
	TimeLeft time.Duration `msgpack:"d"`
	// Allowed are the regions whose VMs may be the home for the load.
	Allowed routing.AllowedRegions `msgpack:"-"`
}

// LoadedHistory is a history with the memory that was taken for it.
type LoadedHistory struct {
	History
	ticket *historyload.Ticket
}

// NewLoadedHistory returns a history for which the ticket has taken memory.
func NewLoadedHistory(h History, t *historyload.Ticket) *LoadedHistory {
	return &LoadedHistory{History: h, ticket: t}
}

// Keep tells how many bytes the request needs from now on. It may be called on nil.
func (h *LoadedHistory) Keep(bytes int) {
	if h != nil && h.ticket != nil {
		h.ticket.Keep(int64(bytes))
	}
}

// KeepLoaded tells that the history is there, with one copy of it: its prompt or a message.
func (h *LoadedHistory) KeepLoaded() { h.Keep(historyload.HoldBytes(h.Size())) }

// Release returns the memory. It may be called repeatedly and on nil.
func (h *LoadedHistory) Release() {
	if h != nil {
		h.ticket.Release()
	}
}

// DropTexts drops the texts of the turns, once the prompt has been made of them, if they are
// not needed to record the turn.
func (h *History) DropTexts() {
	if !h.InGroup {
		return
	}
	turns := make([]StoredTurn, len(h.Turns))
	for i, t := range h.Turns {
		t.Turn.Input, t.Turn.Output = nil, nil
		turns[i] = t
	}
	h.Turns = turns
}

// Memory admits the requests of this VM that keep a large history.
func (l *Ledger) Memory() *historyload.Gate { return l.options.Loads }

// readSmallHistory returns the history that a new turn continues. It returns a *LargeHistoryError if
// the history is large, before more than the first page of a group has been read for it.
func (l *Ledger) readSmallHistory(ctx context.Context, o OpenRequest) (History, error) {
	history, cached := l.cachedHistory(o.Customer, o.Parent)
	switch {
	case cached && history.Size() <= smallHistory:
		return history, nil
	case cached:
		return History{}, &LargeHistoryError{Bytes: int64(history.Size())}
	case o.Expected > smallHistory:
		return History{}, &LargeHistoryError{Bytes: o.Expected}
	case o.Expected == 0 && l.knownLarge(o.Group):
		return History{}, &LargeHistoryError{Bytes: unknownHistory}
	}
	select {
	case l.smallReads <- struct{}{}:
		defer func() { <-l.smallReads }()
	case <-ctx.Done():
		return History{}, &Error{Op: "read", Turn: o.Parent, Err: context.Cause(ctx)}
	}
	size := 0
	reader := l.newHistoryReader(o.Expected)
	reader.ticket = l.options.Loads.Account() // a page may have far more than a small history
	defer reader.ticket.Release()
	history, err := collectHistory(o.Group, o.Customer, o.Parent, func(g turntree.Group, id string) (StoredTurn, error) {
		t, err := reader.find(ctx, g, id)
		if size += t.Size(); err == nil && size > smallHistory {
			err = &LargeHistoryError{Bytes: int64(size)}
		}
		return t, err
	})
	var large *LargeHistoryError
	if err != nil && !errors.As(err, &large) {
		err = &Error{Op: "read", Turn: o.Parent, Err: err}
	}
	return history, err
}

// Load returns a large history once this VM has the time and the memory for it, in the order of
// package historyload. It fails with a *historyload.RefusedError or *historyload.TimeoutError in
// an *Error if the history cannot be loaded before ctx ends although the store answers.
func (l *Ledger) Load(ctx context.Context, q LoadRequest) (*LoadedHistory, error) {
	if loaded, err := l.loadCached(ctx, q); loaded != nil || err != nil {
		return loaded, err
	}
	history, loading, err := l.load(ctx, q)
	if err != nil {
		return nil, err
	}
	defer loading.Release()
	hold, err := l.hold(ctx, q, history.Size())
	if err != nil {
		return nil, err
	}
	return NewLoadedHistory(history, hold), nil
}

// loadCached returns a history that is in memory; nil if it is not.
func (l *Ledger) loadCached(ctx context.Context, q LoadRequest) (*LoadedHistory, error) {
	history, cached := l.cachedHistory(q.Customer, q.Parent)
	if !cached {
		return nil, nil
	}
	size := history.Size()
	history = History{} // it stays in the cache only while the request waits for memory
	hold, err := l.hold(ctx, q, size)
	if err != nil {
		return nil, err
	}
	if history, cached = l.cachedHistory(q.Customer, q.Parent); !cached {
		hold.Release()
		return nil, nil
	}
	return NewLoadedHistory(history, hold), nil
}

// hold takes the memory for a history that a request keeps.
func (l *Ledger) hold(ctx context.Context, q LoadRequest, size int) (*historyload.Ticket, error) {
	ticket, err := l.options.Loads.Enter(ctx, historyload.Job{Class: historyload.Hold, Bytes: int64(size), Deadline: deadlineOf(ctx)})
	if err != nil {
		return nil, asError(q.Parent, err)
	}
	return ticket, nil
}

// LoadFor loads a history for another VM. The memory is that of a load until Release.
func (l *Ledger) LoadFor(ctx context.Context, q LoadRequest) (*LoadedHistory, error) {
	history, loading, err := l.load(ctx, q)
	if err != nil {
		return nil, err
	}
	return NewLoadedHistory(history, loading), nil
}

// load reads a history and returns it with the admission of the load.
func (l *Ledger) load(ctx context.Context, q LoadRequest) (History, *historyload.Ticket, error) {
	begun := clock.Now()
	job := historyload.Job{Class: historyload.Load, Key: q.Parent, Bytes: max(q.Expected, unknownHistory), Deadline: deadlineOf(ctx)}
	if cached, ok := l.cachedHistory(q.Customer, q.Parent); ok {
		job.Cached, job.Bytes = true, int64(cached.Size())
	}
	ticket, err := l.options.Loads.Enter(ctx, job)
	wait := clock.Since(begun)
	var history History
	reader := l.newHistoryReader(max(q.Expected, smallHistory+1))
	reader.ticket = ticket
	if err == nil {
		history, err = reader.read(ctx, q.Group, q.Customer, q.Parent)
		err = loadError(ctx, err, reader.stats)
	}
	outcome := "loaded"
	if err != nil {
		outcome = err.Error()
		ticket.Release()
	} else {
		ticket.Loaded(int64(history.Size()), reader.stats.Bytes)
	}
	s := reader.stats
	l.options.Log.Request("History load ended", "id", q.Turn, "group", q.Group, "parent", q.Parent, "outcome", outcome, "cached", job.Cached,
		"turns", history.Len(), "bytes", history.Size(), "expected", q.Expected, "wait", wait, "duration", clock.Since(begun),
		"storeReads", s.Calls, "storeBytes", s.Bytes, "storeTime", s.Call, "decodeTime", s.Decode, "sharedReads", s.Shared)
	if err != nil {
		return History{}, nil, asError(q.Parent, err)
	}
	return history, ticket, nil
}

// loadError returns a *historyload.TimeoutError in place of the error of an ended wait, if the
// store has not failed.
func loadError(ctx context.Context, err error, s readStats) error {
	if err == nil || ctx.Err() == nil || StoreFailed(err) {
		return err
	}
	return &historyload.TimeoutError{
		Step:       fmt.Sprintf("it was being read: %d reads and %d bytes had ended", s.Calls+s.Shared, s.Bytes),
		RetryAfter: loadRetryAfter,
	}
}

// asError returns err as an *Error.
func asError(turn string, err error) error {
	var e *Error
	if errors.As(err, &e) {
		return err
	}
	return &Error{Op: "load", Turn: turn, Err: err}
}

// deadlineOf returns the end of a context as clock.Monotonic.
func deadlineOf(ctx context.Context) time.Duration {
	at, ok := ctx.Deadline()
	if !ok {
		return clock.Monotonic() + time.Hour
	}
	return clock.Monotonic() + clock.Until(at)
}
