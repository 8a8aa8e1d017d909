package ledger

import (
	"context"
	"encoding/base64"
	"errors"
	"strings"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
	"hornbeamvale.example/hornbeamvale/internal/version/routing"
)

const (
	// maxPartEntries bounds the rows in one transaction of a record: the store's limit less
	// the condition and the write of the account and the condition on the preceding row.
	maxPartEntries = platform.MaxTxEntries - 3
	// accountRoom is what the largest row of an account and the conditions may take in a
	// transaction, in bytes after encoding.
	accountRoom  = 120_000
	maxPartBytes = platform.MaxTxBytes - accountRoom
	// writeOverhead is more than the encoding of a write takes besides its names and value, in
	// bytes; keyFactor is the largest ratio of an encoded key to the key.
	writeOverhead = 64
	keyFactor     = 6
	// turnOverhead is more than a stored turn takes besides its texts, in bytes.
	turnOverhead = 64
)

// RecordRequest is a turn whose answer is complete.
type RecordRequest struct {
	Group turntree.Group `msgpack:"g"`
	ID    string         `msgpack:"i"`
	Turn  turntree.Turn  `msgpack:"t"`
	// Used is the number of tokens in the answer.
	Used int64 `msgpack:"u"`
	// History is the history that the turn continues, as returned by Open. Turns that the
	// group has may be left out.
	History History `msgpack:"l"`
	// Retention is how long the turn is kept.
	Retention time.Duration `msgpack:"r"`
	// Allowed are the regions whose VMs may be the home for this change.
	Allowed routing.AllowedRegions `msgpack:"-"`
}

// Record durably stores an ended turn and its settlement in one transaction. The answer
// must not end before Record has returned without an error. Copies of the turns that the
// group lacks are stored with it, so that each group can expire independently. What exceeds
// one transaction goes into earlier ones, in an order in which whatever a failure leaves has
// its whole chain. Record fails with ErrTurnNotFound if the store no longer has the turn that
// this one continues.
func (l *Ledger) Record(ctx context.Context, r RecordRequest) error {
	copies := r.History.missingIn(r.Group, r.Turn.Parent)
	err := l.record(ctx, r, copies)
	if errors.Is(err, ErrTurnNotFound) && r.History.extends(copies) {
		// The group was deleted after its turns were cached, but another group has the chain.
		err = l.record(ctx, r, r.History.Turns)
	}
	if errors.Is(err, ErrTurnNotFound) {
		l.dropTurn(r.Turn.Parent)
	}
	return err
}

// record stores an ended turn with the given copies.
func (l *Ledger) record(ctx context.Context, r RecordRequest, copies []StoredTurn) error {
	earlierBuilds := l.options.EarlierBuilds()
	writer := recordWriter{request: r, copies: copies, secondEntry: earlierBuilds}
	after := l.precedingTurn(r, copies)
	for transactions := 1; ; transactions++ {
		rows, last, err := writer.next()
		if err != nil {
			return &Error{Op: "record", Turn: r.ID, Err: err}
		}
		c := &change{op: "record", turn: r.ID, retention: r.Retention, rows: rows, parent: after, apply: func(*turntree.Account) error { return nil }}
		if last {
			c.moreIndexEntries = earlierBuilds
			c.apply = func(a *turntree.Account) error {
				a.Settle(r.ID, r.Used)
				return nil
			}
		}
		if err := l.change(ctx, r.Group, false, c); err != nil {
			return err
		}
		if !last {
			after = parentTurn{id: strings.TrimPrefix(rows[len(rows)-1].Key.Key, turnKey(r.Group, "")), revision: c.revision}
			continue
		}
		if transactions > 1 {
			l.options.Log.Request("Recorded a turn in several transactions", "id", r.ID, "group", r.Group, "copies", len(copies), "transactions", transactions)
		}
		l.cacheTurns(StoredTurn{ID: r.ID, Group: r.Group, Turn: r.Turn, revision: c.revision})
		return nil
	}
}

// fitsOneTransaction reports whether the rows of a record certainly fit into one transaction.
func (r RecordRequest) fitsOneTransaction() bool {
	entries, size := 2, 2*(writeOverhead+keyFactor*len(r.ID)+len(r.Group)) // index entries
	count := func(id string, t turntree.Turn) {
		raw := len(t.Customer) + len(t.Parent) + len(t.Input) + len(t.Output) + len(t.Replica) + turnOverhead
		rows := raw/rowBytes + 1
		entries += rows
		size += base64.StdEncoding.EncodedLen(raw) + rows*(2*writeOverhead+keyFactor*len(turnKey(r.Group, id)))
	}
	count(r.ID, r.Turn)
	for _, t := range r.History.missingIn(r.Group, r.Turn.Parent) {
		count(t.ID, t.Turn)
	}
	return entries <= maxPartEntries && size <= maxPartBytes
}

// recordWriter splits the rows of a record into transactions. It encodes one turn at a time.
type recordWriter struct {
	request     RecordRequest
	copies      []StoredTurn // not encoded yet, oldest first
	secondEntry bool         // the turn gets a second index entry
	recorded    bool         // the turn itself has been encoded
	units       [][]platform.Write
}

// next returns the rows of the next transaction. The turn itself and its index entries are in
// the last one. A turn counts as stored once its first row is; that row follows all others of
// the turn, and every turn follows its parent.
func (w *recordWriter) next() (rows []platform.Write, last bool, err error) {
	size := 0
	for {
		if len(w.units) == 0 {
			if w.recorded {
				return rows, true, nil
			}
			if err := w.encodeTurn(); err != nil {
				return nil, false, err
			}
		}
		unit := w.units[0]
		if size += encodedBytes(unit); len(rows) > 0 && (len(rows)+len(unit) > maxPartEntries || size > maxPartBytes) {
			return rows, false, nil
		}
		rows, w.units = append(rows, unit...), w.units[1:]
	}
}

// encodeTurn encodes the next turn into units, each of which belongs in one transaction. A turn
// is one unit if a transaction can hold it, since build 7f97bc3 cannot read a group that has a
// part of a turn.
func (w *recordWriter) encodeTurn() error {
	r := w.request
	id, turn := r.ID, r.Turn
	var index []platform.Write
	if w.recorded = len(w.copies) == 0; !w.recorded {
		id, turn = w.copies[0].ID, w.copies[0].Turn
		turn.Copied = true
		w.copies = w.copies[1:]
	} else {
		index = indexWrites(r, w.secondEntry)
	}
	rows, err := splitRows(turnKey(r.Group, id), turn)
	if err != nil {
		return err
	}
	end := append([]platform.Write{rows[0]}, index...)
	rows = rows[1:]
	if len(rows)+len(end) <= maxPartEntries && encodedBytes(rows)+encodedBytes(end) <= maxPartBytes {
		w.units = append(w.units, append(rows, end...))
		return nil
	}
	for _, row := range rows {
		w.units = append(w.units, []platform.Write{row})
	}
	w.units = append(w.units, end)
	return nil
}

// indexWrites returns the writes of a recorded turn's index entries. The second one is deleted
// with the turn's own group only.
func indexWrites(r RecordRequest, secondEntry bool) []platform.Write {
	writes := []platform.Write{{Key: indexKey(r.ID), Value: []byte(r.Group)}}
	if secondEntry {
		writes = append(writes, platform.Write{Key: indexKey(r.ID + secondEntrySuffix), Value: []byte(r.Group)})
	}
	return writes
}

// encodedBytes returns the largest size of writes in a call to the store: values in base64, and
// each byte of a key escaped.
func encodedBytes(writes []platform.Write) int {
	n := 0
	for _, w := range writes {
		n += writeOverhead + len(w.Table) + keyFactor*len(w.Key.Key) + base64.StdEncoding.EncodedLen(len(w.Value))
	}
	return n
}
