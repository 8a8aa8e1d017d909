package ledger

import (
	"context"
	"sync"

	"golang.org/x/time/rate"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
)

const (
	// maxEntries and maxBytes bound a transaction over several accounts, below the 100
	// entries and 1 MB after encoding that the platform's store takes. The accounts are
	// of one part: a transaction over several waits for all of them, and in a herd of
	// returning callers such transactions held each other up for seconds.
	maxEntries = 90
	maxBytes   = 400 << 10
	// accountBytes is the size of an account's row with some reservations.
	accountBytes = 400
	// maxCommits bounds the transactions under way. At 4 to 8 ms each, a VM then makes
	// some hundred a second; more changes share a transaction.
	maxCommits = 3
	// commitBurst is how many transactions may be made at once within the rate.
	commitBurst = 6
	// commitPart is the VM's part of its share of the store's rate: the rest is for
	// seats and for changes without a home.
	commitPart = 0.85
	// When the store refuses a transaction for its rate, the VM goes down to slowCut of
	// its pace, to slowLeast at least; each success raises it by slowRise.
	slowCut   = 0.7
	slowRise  = 0.02
	slowLeast = 0.1
)

// committer decides when a transaction is made. Changes that wait for a place or for
// the rate share one.
type committer struct {
	ready   []*account // with changes, in order
	running bool
	places  chan struct{}
	limiter *rate.Limiter
	pace    float64 // of the share, lower after refusals
}

func newCommitter() committer {
	return committer{places: make(chan struct{}, maxCommits), limiter: rate.NewLimiter(rate.Inf, commitBurst), pace: 1}
}

// work is the changes of one account in a transaction.
type work struct {
	account *account
	changes []*change
	// verified says that the account was read for this transaction.
	verified bool
	value    turntree.Account // with the changes
	tx       platform.Tx
}

// enqueue lets an account wait for a transaction. The caller holds the lock.
func (l *Ledger) enqueue(a *account) {
	a.busy = true
	l.commits.ready = append(l.commits.ready, a)
	if !l.commits.running {
		l.commits.running = true
		l.wait.Go(l.commitReady)
	}
}

// commitReady makes transactions until no account waits.
func (l *Ledger) commitReady() {
	for {
		l.mu.Lock()
		if len(l.commits.ready) == 0 {
			l.commits.running = false
			l.mu.Unlock()
			return
		}
		l.commits.limiter.SetLimit(l.commitRate())
		l.mu.Unlock()
		// After the end of ctx the transactions fail, which tells the callers.
		_ = l.commits.limiter.Wait(l.ctx)
		l.commits.places <- struct{}{}
		l.mu.Lock()
		batch := l.takeBatch()
		l.mu.Unlock()
		l.wait.Go(func() {
			defer func() { <-l.commits.places }()
			l.commit(batch)
		})
	}
}

// commitRate returns how many transactions a second this VM may make. The caller
// holds the lock.
func (l *Ledger) commitRate() rate.Limit {
	share := l.options.Rate()
	if share <= 0 {
		return rate.Inf
	}
	return rate.Limit(share * commitPart * l.commits.pace)
}

// takeBatch takes the accounts of the next transaction with their changes. Changes
// whose callers are gone are left out. The caller holds the lock.
func (l *Ledger) takeBatch() []work {
	var batch []work
	part, entries, bytes, full := 0, 0, 0, false
	rest := l.commits.ready[:0]
	for _, a := range l.commits.ready {
		a.queue = waiting(a.queue)
		switch {
		case len(a.queue) == 0:
			a.busy = false
			continue
		case full, len(batch) > 0 && a.group.PartNumber() != part:
			rest = append(rest, a)
			continue
		}
		entries += 2 // the account's condition and row
		w := work{account: a}
		for _, c := range a.queue {
			first := len(batch)+len(w.changes) == 0
			if full = !first && (entries+len(c.rows) > maxEntries || bytes+c.bytes() > maxBytes); full {
				break
			}
			entries += len(c.rows)
			bytes += c.bytes()
			w.changes = append(w.changes, c)
		}
		if len(w.changes) == 0 {
			rest = append(rest, a)
			continue
		}
		a.queue = append([]*change(nil), a.queue[len(w.changes):]...)
		part = a.group.PartNumber()
		batch = append(batch, w)
	}
	clear(l.commits.ready[len(rest):])
	l.commits.ready = rest
	return batch
}

// waiting returns the changes whose callers still wait.
func waiting(changes []*change) []*change {
	kept := changes[:0]
	for _, c := range changes {
		if c.ctx.Err() == nil {
			kept = append(kept, c)
		}
	}
	return kept
}

// commit makes one transaction of the batch. Accounts whose changes could not be
// decided wait for another one.
func (l *Ledger) commit(batch []work) {
	batch = l.prepare(l.learn(batch))
	if len(batch) == 0 {
		return
	}
	tx := platform.PartedTx{Part: batch[0].account.group.Part()}
	for _, w := range batch {
		tx.Conditions = append(tx.Conditions, w.tx.Conditions...)
		tx.Writes = append(tx.Writes, w.tx.Writes...)
	}
	ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
	result, err := l.store.Transact(ctx, tx)
	cancel()
	l.noteCommit(err, !result.Committed)
	for _, w := range batch {
		switch {
		case err != nil:
			if !platform.KindOf(err).DidNothing() {
				// The transaction may have been applied or may still be. Reading the row
				// shows the former; the next write makes its condition fail.
				w.account.known = false
			}
			l.retry(w, err)
		case !result.Committed:
			l.retry(w, l.adopt(w.account, result.Current))
		default:
			w.account.value, w.account.revision = w.value, result.Revision
			for _, c := range w.changes {
				w.account.expires = clock.Later(w.account.expires, l.now().Add(c.retention))
			}
			l.release(w, nil)
		}
	}
}

// encode returns the account's part of a transaction.
func (w work) encode() (platform.Tx, error) {
	data, err := turntree.Encode(w.value)
	if err != nil {
		return platform.Tx{}, err
	}
	key := accountKey(w.account.group)
	tx := platform.Tx{
		Conditions: []platform.Condition{{Key: key, Revision: w.account.revision}},
		Writes:     []platform.Write{{Key: key, Value: data}},
	}
	for _, c := range w.changes {
		tx.Writes = append(tx.Writes, c.rows...)
	}
	return tx, nil
}

// learn reads the accounts that are not known and returns the work whose account is.
func (l *Ledger) learn(batch []work) []work {
	failed := make([]error, len(batch))
	var wait sync.WaitGroup
	for i, w := range batch {
		if !w.account.known {
			batch[i].verified = true
			wait.Go(func() { failed[i] = l.read(w.account) })
		}
	}
	wait.Wait()
	known := batch[:0]
	for i, w := range batch {
		if failed[i] != nil {
			l.retry(w, failed[i])
			continue
		}
		known = append(known, w)
	}
	return known
}

// prepare applies the changes to the accounts. A change that an account does not
// take is only rejected after a read: another VM may have settled turns since.
func (l *Ledger) prepare(batch []work) []work {
	ready := batch[:0]
	for _, w := range batch {
		value, applied, rejected := applyAll(w.account.value, w.changes)
		if len(rejected) > 0 && !w.verified {
			w.account.known = false
			l.retry(w, nil)
			continue
		}
		for c, err := range rejected {
			c.done <- err
		}
		w.value, w.changes = value, applied
		if len(applied) == 0 {
			l.release(w, nil)
			continue
		}
		var err error
		if w.tx, err = w.encode(); err != nil {
			l.release(w, err)
			continue
		}
		ready = append(ready, w)
	}
	return ready
}

// retry lets the changes wait for another transaction, after a pause if err is not
// nil. After the end of ctx it fails them.
func (l *Ledger) retry(w work, err error) {
	if l.ctx.Err() != nil {
		l.release(w, l.ctx.Err())
		return
	}
	l.wait.Go(func() {
		if err != nil {
			clock.Sleep(l.ctx, clock.Jitter(w.account.pause))
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if err != nil {
			w.account.pause = min(2*w.account.pause, maxRetryPause)
		}
		w.account.queue = append(w.changes, w.account.queue...)
		l.enqueue(w.account)
	})
}

// release ends the changes. Changes that came meanwhile wait for a transaction.
func (l *Ledger) release(w work, err error) {
	for _, c := range w.changes {
		c.done <- err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	w.account.pause, w.account.busy = retryPause, false
	if len(w.account.queue) > 0 {
		l.enqueue(w.account)
	}
}

// noteCommit counts a transaction and adapts the pace to the store's refusals.
func (l *Ledger) noteCommit(err error, conflict bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters.Transactions++
	switch {
	case platform.KindOf(err) == platform.Overloaded:
		l.counters.Retries++
		l.commits.pace = max(slowLeast, slowCut*l.commits.pace)
	case err != nil:
		l.counters.Retries++
	case conflict:
		l.counters.Conflicts++
	default:
		l.commits.pace = min(1, l.commits.pace+slowRise)
	}
}
