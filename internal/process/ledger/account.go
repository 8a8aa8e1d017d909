package ledger

import (
	"context"
	"errors"
	"maps"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
)

// account is this VM's copy of a program's account and the queue of changes to it. At
// most one transaction for an account is in flight; the changes that arrive meanwhile
// are committed together in the next one.
type account struct {
	group    turntree.Group
	value    turntree.Account
	revision uint64
	known    bool // value is the stored account at revision
	queue    []*change
	busy     bool // waits for a transaction or has one in flight
	lastUsed time.Time
	// expires is the time after which the group's turns need no longer be kept; zero if this
	// VM has made no change.
	expires time.Time
	// lastErr is why the last transaction or read failed; nil once one has succeeded.
	lastErr error
	// backoff is the wait before the next transaction after a failed one.
	backoff time.Duration
}

// change is one change to an account.
type change struct {
	op, turn  string
	reserves  bool          // makes a reservation
	retention time.Duration // how long the group must be kept after the change
	// apply changes the account. It may be called more than once and must leave the
	// account as it is when it returns an error. rows are written in the same
	// transaction.
	apply func(a *turntree.Account) error
	rows  []platform.Write
	// moreIndexEntries is set if rows have more than one index entry.
	moreIndexEntries bool
	// alone is set if the store has rejected a transaction of this and other changes, so that
	// only the change at fault fails in the end.
	alone bool
	late  int // transactions with the change that were not answered in time
	// parent is a turn of the group that must be stored when the change is committed.
	parent parentTurn
	ctx    context.Context
	done   chan error
	// revision is that of the rows once the change is committed.
	revision uint64
}

// entries returns how many entries the change adds to the transaction of its account.
func (c *change) entries() int {
	if c.parent.id == "" {
		return len(c.rows)
	}
	return len(c.rows) + 1
}

// bytes returns the approximate size of the rows that the change writes.
func (c *change) bytes() int {
	n := accountBytes
	for _, r := range c.rows {
		n += len(r.Value)
	}
	return n
}

// change commits c to the account of a group. If isNew is set and this VM has no copy
// of the account, the account is assumed to be absent from the store, which saves a
// read for a new program.
func (l *Ledger) change(ctx context.Context, g turntree.Group, isNew bool, c *change) error {
	c.ctx, c.done = ctx, make(chan error, 1)
	l.mu.Lock()
	a := l.account(g)
	if isNew && !a.busy && !a.known { // a busy account's copy belongs to the goroutine that commits it
		a.known = true
	}
	a.queue = append(a.queue, c)
	if !a.busy {
		l.enqueue(a)
	}
	l.mu.Unlock()
	var err error
	select {
	case err = <-c.done:
	case <-ctx.Done():
		l.mu.Lock()
		err = errors.Join(context.Cause(ctx), a.lastErr)
		l.mu.Unlock()
	}
	if err != nil {
		reserved := c.reserves && !errors.Is(err, ErrBudgetExceeded) && !errors.Is(err, ErrTurnNotFound) && platform.KindOf(err) != platform.Rejected
		return &Error{Op: c.op, Turn: c.turn, Reserved: reserved, Err: err}
	}
	return nil
}

// account returns this VM's copy of a group's account and creates it if needed. The
// caller must hold l.mu.
func (l *Ledger) account(g turntree.Group) *account {
	a := l.accounts[g]
	if a == nil {
		a = &account{group: g, backoff: retryDelay}
		l.accounts[g] = a
	}
	a.lastUsed = l.now()
	return a
}

// applyAll applies the changes to a copy of the account. It returns the new account,
// the changes that were applied, and the errors of the rejected ones.
func applyAll(from turntree.Account, changes []*change) (turntree.Account, []*change, map[*change]error) {
	value := from
	value.Reserved = maps.Clone(from.Reserved)
	var applied []*change
	rejected := map[*change]error{}
	for _, c := range changes {
		err := ErrTurnNotFound
		if !c.parent.missing {
			err = c.apply(&value)
		}
		if err != nil {
			rejected[c] = err
			continue
		}
		value.Retention = max(value.Retention, c.retention)
		value.IndexKnown = value.IndexKnown && !c.moreIndexEntries
		applied = append(applied, c)
	}
	return value, applied, rejected
}

func accountKey(g turntree.Group) platform.Key {
	return platform.Key{Table: programTable, Key: string(g)}
}

// read reads the account from the store.
func (l *Ledger) read(a *account) error {
	g := a.group
	ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
	defer cancel()
	l.count(func(c *Counters) { c.Reads++ })
	page, err := l.store.Range(ctx, platform.RangeQuery{
		Table: programTable, Part: g.Partition(), From: string(g), To: string(g) + "\x00",
	})
	if err != nil {
		return err
	}
	return l.setFromRows(a, page.Rows)
}

// setFromRows sets the account from rows that the store returned. If its row is
// missing, the account is that of a new program. A change by another VM since extends the
// time for which this VM keeps the rows: with the revision it gets the right to delete them.
func (l *Ledger) setFromRows(a *account, rows []platform.Row) error {
	known := a.revision
	a.value, a.revision, a.known = turntree.Account{}, 0, true
	for _, r := range rows {
		if r.Key != accountKey(a.group) {
			continue
		}
		value, err := turntree.DecodeAccount(r.Value)
		if err != nil {
			a.known = false
			return err
		}
		a.value, a.revision = value, r.Revision
	}
	if a.revision != known && !a.expires.IsZero() {
		a.expires = clock.Later(a.expires, l.now().Add(max(a.value.Retention, minRetention)))
	}
	return nil
}

func (l *Ledger) count(f func(*Counters)) {
	l.mu.Lock()
	f(&l.counters)
	l.mu.Unlock()
}
