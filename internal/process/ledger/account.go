package ledger

import (
	"context"
	"errors"
	"maps"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
)

// account is this VM's copy of a program's account and the changes that wait for
// it. One transaction for an account is under way at a time; it carries all changes
// that came meanwhile.
type account struct {
	group    turntree.Group
	value    turntree.Account
	revision uint64
	known    bool // value is what the store held at revision
	queue    []*change
	busy     bool // waits for a transaction or is in one
	used     time.Time
	// expires is when the group's turns need not be kept any longer.
	expires time.Time
	// pause is the wait before the next transaction after a failure.
	pause time.Duration
}

// change is one change of an account.
type change struct {
	op, turn  string
	reserves  bool
	retention time.Duration
	// apply changes the account. It may be called more than once, and must not change
	// anything if it fails. rows are further rows of the transaction.
	apply func(a *turntree.Account) error
	rows  []platform.Write
	ctx   context.Context
	done  chan error
}

// bytes returns the size of the change's rows.
func (c *change) bytes() int {
	n := accountBytes
	for _, r := range c.rows {
		n += len(r.Value)
	}
	return n
}

// change commits c to the account of a group. With fresh, the account is taken as
// absent if nothing is known of it, which saves a read for a new program.
func (l *Ledger) change(ctx context.Context, g turntree.Group, fresh bool, c *change) error {
	c.ctx, c.done = ctx, make(chan error, 1)
	l.mu.Lock()
	a := l.account(g)
	if fresh && !a.busy && !a.known { // while busy, the copy is the goroutine's that commits
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
		err = context.Cause(ctx)
	}
	if err != nil {
		return &Error{Op: c.op, Turn: c.turn, Reserved: c.reserves && !errors.Is(err, ErrBudget), Err: err}
	}
	return nil
}

// account returns the account of a group. The caller holds the lock.
func (l *Ledger) account(g turntree.Group) *account {
	a := l.accounts[g]
	if a == nil {
		a = &account{group: g, pause: retryPause}
		l.accounts[g] = a
	}
	a.used = l.now()
	return a
}

// applyAll applies the changes to a copy of the account. It returns the changes
// that the account takes and the errors of the others.
func applyAll(from turntree.Account, changes []*change) (turntree.Account, []*change, map[*change]error) {
	value := from
	value.Reserved = maps.Clone(from.Reserved)
	var applied []*change
	rejected := map[*change]error{}
	for _, c := range changes {
		if err := c.apply(&value); err != nil {
			rejected[c] = err
			continue
		}
		applied = append(applied, c)
	}
	return value, applied, rejected
}

func accountKey(g turntree.Group) platform.Key {
	return platform.Key{Table: programTable, Key: string(g)}
}

// read takes the account from the store.
func (l *Ledger) read(a *account) error {
	g := a.group
	ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
	defer cancel()
	l.count(func(c *Counters) { c.Reads++ })
	page, err := l.store.Range(ctx, platform.RangeQuery{
		Table: programTable, Part: g.Part(), From: string(g), To: string(g) + "\x00",
	})
	if err != nil {
		return err
	}
	return l.adopt(a, page.Rows)
}

// adopt takes the account from rows that the store returned; without its row the
// account is that of a new program.
func (l *Ledger) adopt(a *account, rows []platform.Row) error {
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
	return nil
}

func (l *Ledger) count(f func(*Counters)) {
	l.mu.Lock()
	f(&l.counters)
	l.mu.Unlock()
}

// expire forgets accounts that were not used for a while and deletes the rows of
// groups whose turns need not be kept any longer.
func (l *Ledger) expire(ctx context.Context) {
	now := l.now()
	due := map[turntree.Group]*account{}
	l.mu.Lock()
	for g, a := range l.accounts {
		switch {
		case a.busy || now.Sub(a.used) < idleAfter:
		case a.expires.IsZero():
			delete(l.accounts, g)
		case now.After(a.expires.Add(idleAfter)):
			delete(l.accounts, g)
			due[g] = a
		}
	}
	l.mu.Unlock()
	for g, a := range due {
		l.remove(ctx, g, a.revision)
	}
}

// remove deletes the rows of a group unless another VM has written it since. That
// VM then deletes it. What is left after a failure costs space only.
func (l *Ledger) remove(ctx context.Context, g turntree.Group, revision uint64) {
	page, err := l.group(ctx, g)
	if err != nil || len(page.Rows) == 0 {
		return
	}
	key := accountKey(g)
	tx := platform.Tx{Conditions: []platform.Condition{{Key: key, Revision: revision}}}
	for _, r := range page.Rows {
		tx.Writes = append(tx.Writes, platform.Write{Key: r.Key, Delete: true})
		if id, ok := turnID(g, r.Key.Key); ok {
			tx.Writes = append(tx.Writes, platform.Write{Key: platform.Key{Table: indexTable, Key: id}, Delete: true})
		}
	}
	tx.Writes = tx.Writes[:min(len(tx.Writes), maxWrites)]
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _ = l.store.Transact(callCtx, platform.PartedTx{Part: g.Part(), Tx: tx})
}
