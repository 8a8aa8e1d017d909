package ledger

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
)

const (
	// rowBytes is how much of a record one row holds: half of the largest row of the
	// platform's store, so that a value still fits after its encoding.
	rowBytes = 32 << 10
	// maxWrites is the largest number of entries of one transaction, less its
	// conditions.
	maxWrites = 99
	// chunkMark separates a turn's id from the number of a further row.
	chunkMark = "#"
)

// Line is the turns from the start of a line to the one that is continued, oldest
// first.
type Line struct {
	Turns []KeptTurn `msgpack:"t,omitempty"`
}

// Len returns the number of turns.
func (l Line) Len() int { return len(l.Turns) }

// Replica returns the replica that answered the last turn; empty if not known.
func (l Line) Replica() string {
	if len(l.Turns) == 0 {
		return ""
	}
	return l.Turns[len(l.Turns)-1].Turn.Replica
}

// Prompt returns what a replica has to read for a further input: the inputs and
// outputs of all turns in order, then the input.
func (l Line) Prompt(input []byte) []byte {
	size := len(input)
	for _, t := range l.Turns {
		size += len(t.Turn.Input) + len(t.Turn.Output)
	}
	prompt := make([]byte, 0, size)
	for _, t := range l.Turns {
		prompt = append(append(prompt, t.Turn.Input...), t.Turn.Output...)
	}
	return append(prompt, input...)
}

// outside returns the turns that are not of the group.
func (l Line) outside(g turntree.Group) Line {
	var out Line
	for _, t := range l.Turns {
		if t.Group != g {
			out.Turns = append(out.Turns, t)
		}
	}
	return out
}

// inMemory returns the line that ends with the turn parent of the customer if this VM
// has all of it in memory.
func (l *Ledger) inMemory(customer, parent string) (Line, bool) {
	line, err := walk("", customer, parent, func(_ turntree.Group, id string) (KeptTurn, error) {
		t, ok := l.remembered(id)
		if !ok {
			return KeptTurn{}, ErrNoTurn
		}
		return t, nil
	})
	return line, err == nil
}

// Line returns the line that ends with the turn parent of the customer. The group
// is that of the program that continues it.
func (l *Ledger) Line(ctx context.Context, g turntree.Group, customer, parent string) (Line, error) {
	line, err := walk(g, customer, parent, func(g turntree.Group, id string) (KeptTurn, error) {
		return l.find(ctx, g, id)
	})
	if err != nil {
		return Line{}, &Error{Op: "read", Turn: parent, Err: err}
	}
	return line, nil
}

// walk follows a line of the customer from its last turn to its start. find returns a
// turn by its probable group and its id.
func walk(g turntree.Group, customer, last string, find func(g turntree.Group, id string) (KeptTurn, error)) (Line, error) {
	var line Line
	for id := last; id != ""; {
		t, err := find(g, id)
		if err != nil {
			return Line{}, err
		}
		if t.Turn.Customer != customer {
			return Line{}, ErrNoTurn
		}
		line.Turns = append(line.Turns, t)
		id, g = t.Turn.Parent, t.Group
	}
	slices.Reverse(line.Turns)
	return line, nil
}

// remembered returns a turn from memory.
func (l *Ledger) remembered(id string) (KeptTurn, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.turns.get(id)
}

// find returns a turn from memory, from its probable group or by the index.
func (l *Ledger) find(ctx context.Context, g turntree.Group, id string) (KeptTurn, error) {
	if t, ok := l.remembered(id); ok {
		return t, nil
	}
	if err := l.load(ctx, g); err != nil {
		return KeptTurn{}, err
	}
	if t, ok := l.remembered(id); ok {
		return t, nil
	}
	found, err := l.lookUp(ctx, id)
	if err != nil {
		return KeptTurn{}, err
	}
	if found == "" {
		return KeptTurn{}, ErrNoTurn
	}
	if err := l.load(ctx, found); err != nil {
		return KeptTurn{}, err
	}
	if t, ok := l.remembered(id); ok {
		return t, nil
	}
	return KeptTurn{}, ErrNoTurn
}

// lookUp returns the group of a turn; empty if there is certainly none. A program
// may continue a turn of another one, whose part is not known.
func (l *Ledger) lookUp(ctx context.Context, id string) (turntree.Group, error) {
	parts := turntree.Parts()
	found := make([]turntree.Group, len(parts))
	failed := make([]error, len(parts))
	var wait sync.WaitGroup
	for i, part := range parts {
		wait.Go(func() {
			l.count(func(c *Counters) { c.Reads++ })
			page, err := l.store.Range(ctx, platform.RangeQuery{Table: indexTable, Part: part, From: id, To: id + "\x00"})
			if err == nil && len(page.Rows) == 1 {
				found[i] = turntree.Group(page.Rows[0].Value)
			}
			failed[i] = err
		})
	}
	wait.Wait()
	for _, g := range found {
		if g != "" {
			return g, nil
		}
	}
	return "", errors.Join(failed...)
}

// group reads all rows of a group.
func (l *Ledger) group(ctx context.Context, g turntree.Group) (platform.Page, error) {
	l.count(func(c *Counters) { c.Reads++ })
	return l.store.Range(ctx, platform.RangeQuery{Table: programTable, Part: g.Part(), From: string(g), To: string(g) + "0"})
}

// load takes a group's turns into memory, and its account if nothing is known of it.
func (l *Ledger) load(ctx context.Context, g turntree.Group) error {
	page, err := l.group(ctx, g)
	if err != nil {
		return err
	}
	records := map[string][]byte{}
	for _, r := range page.Rows {
		if id, ok := turnID(g, r.Key.Key); ok {
			records[id] = append(records[id], r.Value...)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, data := range records {
		t, err := turntree.DecodeTurn(data)
		if err != nil {
			return fmt.Errorf("turn %s: %w", id, err)
		}
		l.turns.add(KeptTurn{ID: id, Group: g, Turn: t})
	}
	if a := l.account(g); !a.busy && !a.known {
		return l.adopt(a, page.Rows)
	}
	return nil
}

// turnID returns the turn of a row of a group; false for the account.
func turnID(g turntree.Group, key string) (string, bool) {
	id, ok := strings.CutPrefix(key, string(g)+"/")
	id, _, _ = strings.Cut(id, chunkMark)
	return id, ok
}

// chunked returns the rows of a record, in the order of their keys.
func chunked(key string, record any) ([]platform.Write, error) {
	data, err := turntree.Encode(record)
	if err != nil {
		return nil, err
	}
	var writes []platform.Write
	for i := 0; i == 0 || len(data) > 0; i++ {
		k := key
		if i > 0 {
			k = fmt.Sprintf("%s%s%04d", key, chunkMark, i)
		}
		n := min(len(data), rowBytes)
		writes = append(writes, platform.Write{Key: platform.Key{Table: programTable, Key: k}, Value: bytes.Clone(data[:n])})
		data = data[n:]
	}
	return writes, nil
}
