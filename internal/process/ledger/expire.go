package ledger

import (
	"context"
	"errors"
	"slices"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
)

// indexReadInterval is the time between two reads of index entries for a removal. It keeps the
// reads, which no caller waits for, far below the store's rate.
const indexReadInterval = 20 * time.Millisecond

// expire drops idle accounts from memory and deletes the stored rows of groups whose
// retention has ended.
func (l *Ledger) expire(ctx context.Context) {
	now := l.now()
	expired := map[turntree.Group]*account{}
	l.mu.Lock()
	for g, a := range l.accounts {
		switch {
		case a.busy || now.Sub(a.lastUsed) < accountIdleTimeout:
		case a.expires.IsZero():
			delete(l.accounts, g)
		case now.After(a.expires.Add(accountIdleTimeout)):
			delete(l.accounts, g)
			expired[g] = a
		}
	}
	l.mu.Unlock()
	for g, a := range expired {
		l.remove(ctx, g, a.revision)
	}
}

// remove deletes the rows of a group unless another VM has written the group since;
// that VM then deletes them. Rows that remain after a failure only take up space.
func (l *Ledger) remove(ctx context.Context, g turntree.Group, revision uint64) {
	rows, read, err := l.scanGroup(ctx, g, revision)
	if err != nil {
		l.options.Log.Request("Failed to read an expired program", "group", g, "err", err)
		return
	}
	if read == 0 {
		return
	}
	index, err := l.ownIndexEntries(ctx, g, rows)
	if err != nil {
		l.options.Log.Request("Failed to read the index entries of an expired program", "group", g, "err", err)
		return
	}
	deleted := true
	for _, writes := range deletions(rows, index) {
		if deleted, err = l.removeRows(ctx, g, revision, writes); !deleted {
			break
		}
	}
	l.options.Log.Request("Deleted the rows of an expired program", "group", g, "rows", read, "turns", len(rows.turns),
		"indexEntries", len(index), "indexKnown", rows.indexKnown(), "revision", revision, "deleted", deleted, "err", err)
}

// scanGroup reads a group page by page and keeps what a removal needs of it, without the texts of
// turns, which may exceed the VM's memory. It returns the number of rows, 0 if the account no
// longer has the given revision: the VM that changed it deletes the rows.
func (l *Ledger) scanGroup(ctx context.Context, g turntree.Group, revision uint64) (groupRows, int, error) {
	scanned := groupRows{turns: map[string]turnRows{}}
	pending := map[string][]platform.Row{} // rows of turns that may lack some, by id
	query := groupQuery(g)
	query.FirstPage, query.ReplyWithin = true, callTimeout
	for read := 0; ; clock.Sleep(ctx, indexReadInterval) {
		pageCtx, cancel := context.WithTimeout(ctx, pageTimeout)
		page, err := l.readRows(pageCtx, query)
		cancel()
		if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil && query.Limit != 1 {
			query.Limit = reducedPage(query.Limit)
			continue
		}
		if err != nil {
			return groupRows{}, 0, err
		}
		if read == 0 && !slices.ContainsFunc(page.Rows, func(r platform.Row) bool { return r.Key == accountKey(g) && r.Revision == revision }) {
			return groupRows{}, 0, nil
		}
		read += len(page.Rows)
		for _, r := range page.Rows {
			if id, ok := turnID(g, r.Key.Key); ok {
				pending[id] = append(pending[id], r)
			} else {
				scanned.account = append(scanned.account, r)
			}
		}
		for id, rows := range pending {
			if page.More && page.Rows[len(page.Rows)-1].Key.Key < turnKey(g, id)+afterChunks {
				continue
			}
			delete(pending, id)
			scanned.turns[id] = parseGroup(g, rows).turns[id].withoutTexts()
		}
		if !page.More || len(page.Rows) == 0 {
			return scanned, read, nil
		}
		query.From = page.Rows[len(page.Rows)-1].Key.Key + "\x00"
	}
}

// removeRows makes one transaction of a removal. It reports whether it was committed.
func (l *Ledger) removeRows(ctx context.Context, g turntree.Group, revision uint64, writes []platform.Write) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := l.store.Transact(ctx, platform.PartitionTx{Part: g.Partition(), Tx: platform.Tx{
		Conditions: []platform.Condition{{Key: accountKey(g), Revision: revision}}, Writes: writes,
	}})
	return err == nil && result.Committed, err
}

// ownIndexEntries returns the index entries of the group's own turns, by turn. The entries of a
// copied turn belong to the group that recorded the turn, which may be in the same partition.
func (l *Ledger) ownIndexEntries(ctx context.Context, g turntree.Group, rows groupRows) (map[string][]platform.Key, error) {
	own := map[string][]platform.Key{}
	indexKnown := rows.indexKnown()
	for id, t := range rows.turns {
		if !t.stored {
			continue // its index entry would have been stored with its first row
		}
		if indexKnown && t.err == nil {
			if !t.turn.Copied {
				own[id] = []platform.Key{indexKey(id)}
			}
			continue
		}
		readCtx, cancel := context.WithTimeout(ctx, callTimeout)
		entries, err := l.readIndex(readCtx, g.Partition(), id)
		cancel()
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			if turntree.Group(e.Value) == g {
				own[id] = append(own[id], e.Key)
			}
		}
		clock.Sleep(ctx, indexReadInterval)
	}
	return own, nil
}

// deletions returns the writes that delete a group with the index entries of its own turns, in
// transactions of limited size. Each turn is deleted before its parent and the account last, so
// that whatever remains after a failure has its whole chain.
func deletions(rows groupRows, index map[string][]platform.Key) [][]platform.Write {
	var out [][]platform.Write
	var next []platform.Write
	add := func(writes []platform.Write) {
		if len(next) > 0 && len(next)+len(writes) > maxWrites {
			out, next = append(out, next), nil
		}
		next = append(next, writes...)
	}
	for _, id := range rows.childrenFirst() {
		var writes []platform.Write
		for _, key := range index[id] {
			writes = append(writes, platform.Write{Key: key, Delete: true})
		}
		// The rows are deleted in the reverse order of a record: the first one, without which
		// the turn counts as not stored, and then the others from the last.
		turn := rows.turns[id]
		if turn.stored {
			writes = append(writes, platform.Write{Key: turn.rows[0].Key, Delete: true})
			turn.rows = turn.rows[1:]
		}
		slices.Reverse(turn.rows)
		writes = append(writes, deleteRows(turn.rows)...)
		for len(writes) > maxWrites {
			add(writes[:maxWrites])
			writes = writes[maxWrites:]
		}
		add(writes)
	}
	add(deleteRows(rows.account))
	return append(out, next)
}

func deleteRows(rows []platform.Row) []platform.Write {
	var writes []platform.Write
	for _, r := range rows {
		writes = append(writes, platform.Write{Key: r.Key, Delete: true})
	}
	return writes
}
