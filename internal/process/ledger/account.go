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

// account is this VM's copy of a program's account and the changes that wait for
// it. One transaction for an account is under way at a time; it carries all changes
// that came meanwhile.
type account struct {
	value    turntree.Account
	revision uint64
	known    bool // value is what the store held at revision
	queue    []*change
	busy     bool
	used     time.Time
	// expires is when the group's turns need not be kept any longer.
	expires time.Time
}

// change is one change of an account.
type change struct {
	op, turn  string
	reserves  bool
	retention time.Duration
	// apply changes the account and returns further rows of the transaction. It may
	// be called more than once, and must not change anything if it fails.
	apply func(a *turntree.Account) ([]platform.Write, error)
	ctx   context.Context
	done  chan error
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
	start := !a.busy
	a.busy = true
	l.mu.Unlock()
	if start {
		l.wait.Go(func() { l.flush(g, a) })
	}
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
		a = &account{}
		l.accounts[g] = a
	}
	a.used = l.now()
	return a
}

// flush commits the waiting changes of an account until none is left.
func (l *Ledger) flush(g turntree.Group, a *account) {
	var batch []*change
	wait := retryPause
	for {
		l.mu.Lock()
		batch = waiting(append(batch, a.queue...))
		a.queue = nil
		if len(batch) == 0 {
			a.busy = false
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
		left, err := l.commit(g, a, batch)
		batch = left
		if err == nil {
			wait = retryPause
			continue
		}
		if !clock.Sleep(l.ctx, clock.Jitter(wait)) {
			batch = finish(batch, err)
		}
		wait = min(2*wait, maxRetryPause)
	}
}

// waiting returns the changes whose callers still wait.
func waiting(batch []*change) []*change {
	kept := batch[:0]
	for _, c := range batch {
		if c.ctx.Err() == nil {
			kept = append(kept, c)
		}
	}
	return kept
}

// commit tries one transaction with all changes of the batch and returns those
// that have to be tried again.
func (l *Ledger) commit(g turntree.Group, a *account, batch []*change) ([]*change, error) {
	verified := false
	if !a.known {
		if err := l.read(g, a); err != nil {
			return batch, err
		}
		verified = true
	}
	value, applied, rejected, writes := applyAll(a.value, batch)
	if len(rejected) > 0 && !verified {
		// Another VM may have settled turns since the copy was made.
		a.known = false
		return batch, nil
	}
	for c, err := range rejected {
		c.done <- err
	}
	if len(applied) == 0 {
		return nil, nil
	}
	data, err := turntree.Encode(value)
	if err != nil {
		return finish(applied, err), nil
	}
	key := platform.Key{Table: programTable, Key: string(g)}
	ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
	defer cancel()
	result, err := l.store.Transact(ctx, platform.PartedTx{Part: g.Part(), Tx: platform.Tx{
		Conditions: []platform.Condition{{Key: key, Revision: a.revision}},
		Writes:     append(writes, platform.Write{Key: key, Value: data}),
	}})
	l.count(func(c *Counters) { c.Transactions++ })
	if err != nil {
		l.count(func(c *Counters) { c.Retries++ })
		var pe *platform.Error
		if !errors.As(err, &pe) || !pe.Kind.DidNothing() {
			// The transaction may have been applied or may still be. Reading the row
			// shows the former; the next write makes its condition fail.
			a.known = false
		}
		return applied, err
	}
	if !result.Committed {
		l.count(func(c *Counters) { c.Conflicts++ })
		return applied, l.adopt(g, a, result.Current)
	}
	a.value, a.revision = value, result.Revision
	for _, c := range applied {
		a.expires = clock.Later(a.expires, l.now().Add(c.retention))
	}
	return finish(applied, nil), nil
}

// applyAll applies the changes to a copy of the account. It returns the changes
// that the account takes and the errors of the others.
func applyAll(from turntree.Account, batch []*change) (turntree.Account, []*change, map[*change]error, []platform.Write) {
	value := from
	value.Reserved = maps.Clone(from.Reserved)
	var applied []*change
	var writes []platform.Write
	rejected := map[*change]error{}
	for _, c := range batch {
		more, err := c.apply(&value)
		if err != nil {
			rejected[c] = err
			continue
		}
		applied = append(applied, c)
		writes = append(writes, more...)
	}
	return value, applied, rejected, writes
}

func finish(batch []*change, err error) []*change {
	for _, c := range batch {
		c.done <- err
	}
	return nil
}

// read takes the account from the store.
func (l *Ledger) read(g turntree.Group, a *account) error {
	ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
	defer cancel()
	l.count(func(c *Counters) { c.Reads++ })
	page, err := l.store.Range(ctx, platform.RangeQuery{
		Table: programTable, Part: g.Part(), From: string(g), To: string(g) + "\x00",
	})
	if err != nil {
		return err
	}
	return l.adopt(g, a, page.Rows)
}

// adopt takes the account from rows that the store returned; without its row the
// account is that of a new program.
func (l *Ledger) adopt(g turntree.Group, a *account, rows []platform.Row) error {
	a.value, a.revision, a.known = turntree.Account{}, 0, true
	for _, r := range rows {
		if r.Table != programTable || r.Key.Key != string(g) {
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
	key := platform.Key{Table: programTable, Key: string(g)}
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
