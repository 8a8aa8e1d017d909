package ledger

import (
	"context"
	"errors"
	"slices"

	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
)

// parentTurn is the turn that another turn of the same group continues. A stored turn has
// its whole chain in its group, so the chain of a new turn is durable if the transaction
// that stores it has the condition that its parent's row exists. A cached parent does not
// prove that: its rows are deleted when the program's retention has ended.
type parentTurn struct {
	id       string // empty if there is no such turn
	revision uint64 // of its first row; 0 if it is unknown
	missing  bool   // the store has no such turn
}

// condition returns the condition that the parent's row exists in the group g.
func (p parentTurn) condition(g turntree.Group) platform.Condition {
	return platform.Condition{Key: parentKey(g, p.id), Revision: p.revision}
}

func parentKey(g turntree.Group, id string) platform.Key {
	return platform.Key{Table: programTable, Key: turnKey(g, id)}
}

// setFromRows sets the state of the parent from the existing rows among those that were
// asked for.
func (p *parentTurn) setFromRows(g turntree.Group, rows []platform.Row) {
	if p.id == "" {
		return
	}
	i := slices.IndexFunc(rows, func(r platform.Row) bool { return r.Key == parentKey(g, p.id) })
	if p.missing = i < 0; !p.missing {
		p.revision = rows[i].Revision
	}
}

// readParents reads the revisions of the update's parents that are unknown.
func (l *Ledger) readParents(u accountUpdate) error {
	for _, c := range u.changes {
		if c.parent.id == "" || c.parent.revision != 0 || c.parent.missing {
			continue
		}
		ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
		err := l.readParent(ctx, u.account.group, &c.parent)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

// readParent reads the row of a parent in the group g.
func (l *Ledger) readParent(ctx context.Context, g turntree.Group, p *parentTurn) error {
	l.count(func(c *Counters) { c.Reads++ })
	key := turnKey(g, p.id)
	page, err := l.store.Range(ctx, platform.RangeQuery{Table: programTable, Part: g.Partition(), From: key, To: key + "\x00"})
	if err != nil {
		return err
	}
	p.setFromRows(g, page.Rows)
	return nil
}

// findParent returns the parent of a new turn of the group g. The result is empty if the
// parent is stored in another group only, from which Record copies it. It fails with
// ErrTurnNotFound if no group has the turn.
func (l *Ledger) findParent(ctx context.Context, g turntree.Group, id string) (parentTurn, error) {
	if id == "" {
		return parentTurn{}, nil
	}
	cached, isCached := l.cachedTurn(id)
	if isCached && cached.Group == g {
		return parentTurn{id: id, revision: cached.revision}, nil
	}
	groups := []turntree.Group{g}
	if isCached {
		groups = append(groups, cached.Group)
	}
	parent, err := l.readParentIn(ctx, g, groups, id)
	if !errors.Is(err, ErrTurnNotFound) {
		return parent, err
	}
	indexed, err := l.findGroups(ctx, id)
	if err != nil {
		return parentTurn{}, err
	}
	parent, err = l.readParentIn(ctx, g, indexed, id)
	if errors.Is(err, ErrTurnNotFound) {
		l.dropTurn(id)
	}
	return parent, err
}

// readParentIn returns the parent of a new turn of the group g as findParent does, if one of
// the given groups has it.
func (l *Ledger) readParentIn(ctx context.Context, g turntree.Group, groups []turntree.Group, id string) (parentTurn, error) {
	for _, group := range groups {
		parent := parentTurn{id: id}
		switch err := l.readParent(ctx, group, &parent); {
		case err != nil:
			return parentTurn{}, err
		case parent.missing:
		case group == g:
			return parent, nil
		default:
			return parentTurn{}, nil
		}
	}
	return parentTurn{}, ErrTurnNotFound
}

// precedingTurn returns the turn of the group that must be stored when a turn is recorded with
// copies: the parent of the first copy, or that of the turn. It is empty if there is none.
func (l *Ledger) precedingTurn(r RecordRequest, copies []StoredTurn) parentTurn {
	id := r.Turn.Parent
	if len(copies) > 0 {
		id = copies[0].Turn.Parent
	}
	if id == "" {
		return parentTurn{}
	}
	p := parentTurn{id: id}
	if cached, ok := l.cachedTurn(id); ok && cached.Group == r.Group {
		p.revision = cached.revision
	}
	return p
}
