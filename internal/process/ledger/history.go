package ledger

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"hornbeamvale.example/hornbeamvale/internal/process/historyload"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
)

const (
	// rowBytes is the maximum part of a record in one row. It is half of the largest
	// row that the platform's store accepts, so that a value still fits after its
	// encoding.
	rowBytes = 32 << 10
	// maxWrites is the maximum number of writes in one transaction of a removal: the store's
	// limit of entries less the condition.
	maxWrites = platform.MaxTxEntries - 1
	// chunkSeparator separates a turn's id from the number of a continuation row.
	chunkSeparator = "#"
	// afterChunks ends the range of a turn's rows: the character after chunkSeparator.
	afterChunks = "$"
)

// History is the history that a turn continues: all turns from the first one of the
// conversation to the turn's parent, oldest first.
type History struct {
	Turns []StoredTurn `msgpack:"t,omitempty"`
	// InGroup is set if the group of the new turn has all these turns, whatever group they
	// were read from.
	InGroup bool `msgpack:"s,omitempty"`
	// Omitted is set by a home that does not send the turns, since they are too large.
	Omitted bool `msgpack:"o,omitempty"`
}

func (h History) Len() int { return len(h.Turns) }

// Size returns the approximate memory of the history in bytes.
func (h History) Size() int {
	n := 0
	for _, t := range h.Turns {
		n += t.Size()
	}
	return n
}

// LastReplica returns the replica that answered the last turn, or "" if it is unknown.
func (h History) LastReplica() string {
	if len(h.Turns) == 0 {
		return ""
	}
	return h.Turns[len(h.Turns)-1].Turn.Replica
}

// Prompt returns the input that a replica reads for the next turn: the inputs and
// outputs of all turns in order, followed by input.
func (h History) Prompt(input []byte) []byte {
	if len(h.Turns) == 0 {
		return input
	}
	size := len(input)
	for _, t := range h.Turns {
		size += len(t.Turn.Input) + len(t.Turn.Output)
	}
	prompt := make([]byte, 0, size)
	for _, t := range h.Turns {
		prompt = append(append(prompt, t.Turn.Input...), t.Turn.Output...)
	}
	return append(prompt, input...)
}

// missingIn returns the turns that the group g may lack if it is to have the turn parent: those
// after the last one that it has, since a stored turn has its whole chain in its group. Callers
// of builds up to 7f97bc3 leave out each turn that the group has.
func (h History) missingIn(g turntree.Group, parent string) []StoredTurn {
	if h.InGroup {
		return nil
	}
	first := len(h.Turns)
	for first > 0 && h.Turns[first-1].ID == parent && h.Turns[first-1].Group != g {
		first--
		parent = h.Turns[first].Turn.Parent
	}
	return h.Turns[first:]
}

// setInGroup notes whether the group g has the history. Where it has not, although the last turn
// was read from it, the rows of the group were deleted since, and it lacks all turns.
func (h *History) setInGroup(g turntree.Group, inGroup bool) {
	h.InGroup = inGroup
	if inGroup || len(h.Turns) == 0 || h.Turns[len(h.Turns)-1].Group != g {
		return
	}
	for i := range h.Turns {
		h.Turns[i].Group = ""
	}
}

// extends reports whether the history goes back to its first turn and has turns before the
// given last ones.
func (h History) extends(last []StoredTurn) bool {
	return len(last) > 0 && len(last) < len(h.Turns) && h.Turns[0].Turn.Parent == ""
}

// cachedHistory returns the customer's history that ends with the turn parent. It
// returns false unless all of its turns are in the cache.
func (l *Ledger) cachedHistory(customer, parent string) (History, bool) {
	history, err := collectHistory("", customer, parent, func(_ turntree.Group, id string) (StoredTurn, error) {
		t, ok := l.cachedTurn(id)
		if !ok {
			return StoredTurn{}, ErrTurnNotFound
		}
		return t, nil
	})
	return history, err == nil
}

// History returns the customer's history that ends with the turn parent. g is the group
// of the program that continues it.
func (l *Ledger) History(ctx context.Context, g turntree.Group, customer, parent string) (History, error) {
	reader := l.newHistoryReader(0)
	reader.ticket = l.options.Loads.Account()
	defer reader.ticket.Release()
	return reader.read(ctx, g, customer, parent)
}

// read reads a history, see Ledger.History.
func (r *historyReader) read(ctx context.Context, g turntree.Group, customer, parent string) (History, error) {
	history, err := collectHistory(g, customer, parent, func(g turntree.Group, id string) (StoredTurn, error) {
		return r.find(ctx, g, id)
	})
	if err != nil {
		return History{}, &Error{Op: "read", Turn: parent, Err: err}
	}
	return history, nil
}

// collectHistory follows the parents of the customer's turn last up to the first turn.
// find returns a turn by its probable group and its id.
func collectHistory(g turntree.Group, customer, last string, find func(g turntree.Group, id string) (StoredTurn, error)) (History, error) {
	var history History
	for id := last; id != ""; {
		t, err := find(g, id)
		if err != nil {
			return History{}, err
		}
		if t.Turn.Customer != customer {
			return History{}, ErrTurnNotFound
		}
		history.Turns = append(history.Turns, t)
		id, g = t.Turn.Parent, t.Group
	}
	slices.Reverse(history.Turns)
	return history, nil
}

// cachedTurn returns a turn from the cache.
func (l *Ledger) cachedTurn(id string) (StoredTurn, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.turns.get(id)
}

// historyReader reads one history. It keeps what it has read from the store, which may be
// more than the cache holds.
type historyReader struct {
	*Ledger
	turns  map[string]StoredTurn // by id
	groups map[turntree.Group]groupRead
	// expected is the size of the history that the caller's request lets expect; 0 if unknown.
	expected int64
	// singleReads and singleBytes are the turns that were read without their group.
	singleReads int
	singleBytes int64
	bytes       int64 // of all turns that were read
	stats       readStats
	// ticket accounts for the memory of what was read; nil for none.
	ticket *historyload.Ticket
}

// groupRead is how much of a group was read.
type groupRead int

const (
	groupUnread groupRead = iota
	groupFirstPage
	groupWhole // as far as maxGroupPages allows
)

const (
	// maxSingleReads is the largest number of small turns of a history that are read one by one
	// from a group with more rows than a page, before the group is read page by page: one call
	// reads a turn, or the many turns of a page.
	maxSingleReads = 8
	// smallTurn is the mean size of turns, in bytes, up to which a page has many of them.
	smallTurn = 16 << 10
	// maxGroupPages bounds the pages of a group that are read for the turns of one history.
	maxGroupPages = 16
)

func (l *Ledger) newHistoryReader(expected int64) *historyReader {
	return &historyReader{Ledger: l, turns: map[string]StoredTurn{}, groups: map[turntree.Group]groupRead{}, expected: expected}
}

// find returns a turn from the cache, from its probable group in the store, or by means
// of the index.
func (r *historyReader) find(ctx context.Context, g turntree.Group, id string) (StoredTurn, error) {
	if t, ok := r.turns[id]; ok {
		return t, nil
	}
	if t, ok := r.cachedTurn(id); ok {
		return t, nil
	}
	if t, ok, err := r.readTurn(ctx, g, id); ok || err != nil {
		return t, err
	}
	groups, err := r.findGroups(ctx, id)
	if err != nil {
		return StoredTurn{}, err
	}
	for _, group := range groups {
		if t, ok, err := r.readTurn(ctx, group, id); ok || err != nil {
			return t, err
		}
	}
	r.options.Log.Request("Turn not found", "id", id, "searchedGroup", g, "indexedGroups", groups)
	return StoredTurn{}, ErrTurnNotFound
}

// readTurn returns a turn from the rows of a group. It reads the first page of the group, which
// usually has all its rows. It reads the turn alone where the page would mostly have turns of
// other histories: in a group with more rows than a page, and for a history that is expected to
// be large and whose turns are not small.
func (r *historyReader) readTurn(ctx context.Context, g turntree.Group, id string) (StoredTurn, bool, error) {
	if r.groups[g] == groupUnread && !r.readsSingly(g) {
		if err := r.readGroupPages(ctx, g, 1); err != nil {
			return StoredTurn{}, false, err
		}
		if t, ok := r.turns[id]; ok || r.groups[g] == groupWhole {
			return t, ok, nil
		}
	}
	if r.groups[g] == groupFirstPage && r.singleReads >= maxSingleReads && r.hasSmallTurns() {
		if err := r.readGroupPages(ctx, g, maxGroupPages); err != nil {
			return StoredTurn{}, false, err
		}
		if t, ok := r.turns[id]; ok {
			return t, true, nil
		}
	}
	for {
		read, joined, err := r.readShared(ctx, turnRange(g, id), &r.stats)
		if err != nil {
			return StoredTurn{}, false, err
		}
		t, ok := read.turns[id]
		if !ok && joined {
			continue // the turn may have been stored after the read began
		}
		if ok {
			r.keep(t)
			r.singleReads++
			r.singleBytes += int64(t.Size())
		}
		return t, ok, nil
	}
}

// keep keeps a turn that was read.
func (r *historyReader) keep(t StoredTurn) {
	r.turns[t.ID] = t
	r.bytes += int64(t.Size())
	r.ticket.Grow(r.bytes)
}

// readsSingly reports whether the turns of a group of which nothing was read are read one by one.
func (r *historyReader) readsSingly(g turntree.Group) bool {
	if r.knownLarge(g) {
		return r.singleReads < maxSingleReads || !r.hasSmallTurns()
	}
	return r.expected > smallHistory && (r.singleReads == 0 || !r.hasSmallTurns())
}

// hasSmallTurns reports whether the turns that were read one by one are small.
func (r *historyReader) hasSmallTurns() bool {
	return r.singleReads > 0 && r.singleBytes/int64(r.singleReads) <= smallTurn
}

// readGroupPages reads a group up to the given number of pages.
func (r *historyReader) readGroupPages(ctx context.Context, g turntree.Group, pages int) error {
	read, _, err := r.readShared(ctx, groupRange(g, pages), &r.stats)
	if err != nil {
		return err
	}
	for _, t := range read.turns {
		r.keep(t)
	}
	r.groups[g] = groupWhole
	if read.more {
		r.noteLarge(g)
		if pages == 1 {
			r.groups[g] = groupFirstPage
		}
	}
	return nil
}

// findGroups returns the groups that the index names for a turn, usually one; none if the
// index certainly has no such turn. Requests that ask for the same turn at the same time share
// the reads.
func (l *Ledger) findGroups(ctx context.Context, id string) ([]turntree.Group, error) {
	for {
		begun := false
		found := l.indexReads.DoChan(id, func() (any, error) {
			begun = true
			readCtx, cancel := context.WithTimeout(l.ctx, callTimeout)
			defer cancel()
			return l.searchIndex(readCtx, id)
		})
		select {
		case result := <-found:
			groups, _ := result.Val.([]turntree.Group)
			if len(groups) == 0 && result.Err == nil && !begun {
				continue // the turn may have been stored after the search began
			}
			return groups, result.Err
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// searchIndex reads the index entries of a turn. A program may continue a turn of another
// program, whose partition is unknown, so all partitions are searched.
func (l *Ledger) searchIndex(ctx context.Context, id string) ([]turntree.Group, error) {
	partitions := turntree.Partitions()
	found := make([][]platform.Row, len(partitions))
	errs := make([]error, len(partitions))
	var wait sync.WaitGroup
	for i, partition := range partitions {
		wait.Go(func() {
			found[i], errs[i] = l.readIndex(ctx, partition, id)
		})
	}
	wait.Wait()
	var groups []turntree.Group
	for _, e := range slices.Concat(found...) {
		if g := turntree.Group(e.Value); !slices.Contains(groups, g) {
			groups = append(groups, g)
		}
	}
	if len(groups) > 0 {
		return groups, nil
	}
	return nil, errors.Join(errs...)
}

// readIndex returns the entries of a turn in the index of a partition. Their values are groups.
func (l *Ledger) readIndex(ctx context.Context, partition, id string) ([]platform.Row, error) {
	l.count(func(c *Counters) { c.Reads++ })
	second := id + secondEntrySuffix
	page, err := l.store.Range(ctx, platform.RangeQuery{Table: indexTable, Part: partition, From: id, To: second + "\x00"})
	return slices.DeleteFunc(page.Rows, func(r platform.Row) bool { return r.Key.Key != id && r.Key.Key != second }), err
}

// groupQuery selects all rows of a group. The row of the account is the first.
func groupQuery(g turntree.Group) platform.RangeQuery {
	return platform.RangeQuery{Table: programTable, Part: g.Partition(), From: string(g), To: string(g) + "0"}
}

// readGroup reads all rows of a group.
func (l *Ledger) readGroup(ctx context.Context, g turntree.Group) (platform.Page, error) {
	return l.readRows(ctx, groupQuery(g))
}

func (l *Ledger) readRows(ctx context.Context, q platform.RangeQuery) (platform.Page, error) {
	l.count(func(c *Counters) { c.Reads++ })
	return l.store.Range(ctx, q)
}

// turnID returns the id of the turn that a group's row belongs to; false for the row of
// the account.
func turnID(g turntree.Group, key string) (string, bool) {
	id, ok := strings.CutPrefix(key, string(g)+"/")
	id, _, _ = strings.Cut(id, chunkSeparator)
	return id, ok
}

// splitRows encodes a record and splits it into rows, in the order of their keys.
func splitRows(key string, record any) ([]platform.Write, error) {
	data, err := turntree.Encode(record)
	if err != nil {
		return nil, err
	}
	var writes []platform.Write
	for i := 0; i == 0 || len(data) > 0; i++ {
		k := key
		if i > 0 {
			k = fmt.Sprintf("%s%s%04d", key, chunkSeparator, i)
		}
		n := min(len(data), rowBytes)
		writes = append(writes, platform.Write{Key: platform.Key{Table: programTable, Key: k}, Value: data[:n:n]})
		data = data[n:]
	}
	return writes, nil
}
