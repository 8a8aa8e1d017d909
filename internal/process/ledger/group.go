package ledger

import (
	"cmp"
	"math"
	"slices"

	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
)

// groupRows are the rows of a group as read from the store.
type groupRows struct {
	account []platform.Row
	turns   map[string]turnRows // by id
}

// turnRows are the rows of one turn in the order of their keys.
type turnRows struct {
	rows []platform.Row
	turn turntree.Turn
	err  error // of decoding the rows
	// stored is set if the turn's first row is there. A record that did not end leaves others.
	stored bool
}

// withoutTexts returns the turn without the values of its rows and its texts.
func (t turnRows) withoutTexts() turnRows {
	rows := make([]platform.Row, len(t.rows))
	for i, r := range t.rows {
		rows[i] = platform.Row{Key: r.Key, Revision: r.Revision}
	}
	t.rows = rows
	t.turn.Input, t.turn.Output = nil, nil
	return t
}

// parseGroup sorts the rows of a group by turn and decodes the turns.
func parseGroup(g turntree.Group, rows []platform.Row) groupRows {
	parsed := groupRows{turns: map[string]turnRows{}}
	for _, r := range rows {
		id, ok := turnID(g, r.Key.Key)
		if !ok {
			parsed.account = append(parsed.account, r)
			continue
		}
		t := parsed.turns[id]
		t.rows = append(t.rows, r)
		parsed.turns[id] = t
	}
	for id, t := range parsed.turns {
		var data []byte
		for _, r := range t.rows {
			data = append(data, r.Value...)
		}
		t.turn, t.err = turntree.DecodeTurn(data)
		t.stored = t.rows[0].Key.Key == turnKey(g, id)
		parsed.turns[id] = t
	}
	return parsed
}

// indexKnown reports whether the index entries of the group follow from its turns.
func (g groupRows) indexKnown() bool {
	for _, r := range g.account {
		if a, err := turntree.DecodeAccount(r.Value); err == nil && a.IndexKnown {
			return true
		}
	}
	return false
}

// childrenFirst returns the ids of the turns in an order in which each turn precedes its
// parent. Turns that are not stored come first, since they follow all others. A stored turn
// that cannot be decoded counts as the first of its history.
func (g groupRows) childrenFirst() []string {
	var ids []string
	depths := map[string]int{}
	for id := range g.turns {
		ids = append(ids, id)
		var path []string
		for at := id; at != "" && depths[at] == 0 && len(path) <= len(g.turns); at = g.turns[at].turn.Parent {
			path = append(path, at)
		}
		for _, at := range slices.Backward(path) {
			depths[at] = depths[g.turns[at].turn.Parent] + 1
		}
	}
	for id, t := range g.turns {
		if !t.stored {
			depths[id] = math.MaxInt
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(depths[b], depths[a]) })
	return ids
}
