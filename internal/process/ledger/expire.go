package ledger

import (
	"cmp"
	"context"
	"slices"

	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
)

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
	page, err := l.readGroup(ctx, g)
	if err != nil {
		l.options.Log.Request("Failed to read an expired program", "group", g, "err", err)
		return
	}
	if len(page.Rows) == 0 {
		return
	}
	deleted, indexEntries := true, 0
	for _, writes := range deletions(g, page.Rows) {
		if deleted, err = l.removeRows(ctx, g, revision, writes); !deleted {
			break
		}
		for _, w := range writes {
			if w.Table == indexTable {
				indexEntries++
			}
		}
	}
	l.options.Log.Request("Deleted the rows of an expired program", "group", g, "rows", len(page.Rows), "indexEntries", indexEntries,
		"revision", revision, "deleted", deleted, "err", err)
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

// deletions returns the writes that delete a group, in transactions of limited size. Each
// turn is deleted before its parent and the account last, so that whatever remains after a
// failure has its whole chain.
func deletions(g turntree.Group, rows []platform.Row) [][]platform.Write {
	turns := map[string][]platform.Write{}
	encoded := map[string][]byte{}
	var account []platform.Write
	for _, r := range rows {
		id, ok := turnID(g, r.Key.Key)
		if !ok {
			account = append(account, platform.Write{Key: r.Key, Delete: true})
			continue
		}
		if turns[id] == nil {
			turns[id] = []platform.Write{{Key: platform.Key{Table: indexTable, Key: id}, Delete: true}}
		}
		turns[id] = append(turns[id], platform.Write{Key: r.Key, Delete: true})
		encoded[id] = append(encoded[id], r.Value...)
	}
	var out [][]platform.Write
	var next []platform.Write
	for _, id := range childrenFirst(encoded) {
		if len(next) > 0 && len(next)+len(turns[id]) > maxWrites {
			out, next = append(out, next), nil
		}
		next = append(next, turns[id]...)
	}
	if len(next)+len(account) > maxWrites {
		out, next = append(out, next), nil
	}
	return append(out, append(next, account...))
}

// childrenFirst returns the ids of the encoded turns in an order in which each turn precedes
// its parent. A turn that cannot be decoded counts as the first of its history.
func childrenFirst(encoded map[string][]byte) []string {
	parents := map[string]string{}
	var ids []string
	for id, data := range encoded {
		ids = append(ids, id)
		if t, err := turntree.DecodeTurn(data); err == nil {
			parents[id] = t.Parent
		}
	}
	depths := map[string]int{}
	for _, id := range ids {
		var path []string
		for at := id; at != "" && depths[at] == 0 && len(path) <= len(ids); at = parents[at] {
			path = append(path, at)
		}
		for _, at := range slices.Backward(path) {
			depths[at] = depths[parents[at]] + 1
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(depths[b], depths[a]) })
	return ids
}
