package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
)

const (
	// maxBatchEntries and maxBatchBytes bound a transaction over several accounts. They
	// are below the platform store's limits of 100 entries and 1 MB after encoding. All
	// accounts of a transaction are in one partition of the store: a transaction across
	// partitions waits for all of them, and when many callers returned at once such
	// transactions delayed each other by seconds.
	maxBatchEntries = 90
	maxBatchBytes   = 400 << 10
	// accountBytes is the approximate size of an account's row with some reservations.
	accountBytes = 400
	// maxInFlightCommits bounds the transactions in flight. At 4 to 8 ms each, a VM can
	// commit several hundred per second; if there are more changes, they share
	// transactions.
	maxInFlightCommits = 3
	// commitBurst is the number of transactions that may start at once within the rate.
	commitBurst = 6
	// commitRateFraction is the fraction of the VM's share of the store's rate that
	// account transactions may use. The rest is for the renewal of the VM's fleet
	// membership and for changes that the VM makes because no home answered.
	commitRateFraction = 0.85
	// When the store rejects a transaction because of its rate limit, the VM multiplies
	// its rate by rateBackoff, down to minRateFactor of its share. Each success adds
	// rateRecovery.
	rateBackoff   = 0.7
	rateRecovery  = 0.02
	minRateFactor = 0.1
	// maxTimeoutDoublings bounds how often the time for a transaction doubles.
	maxTimeoutDoublings = 4
)

// committer schedules the transactions. Changes that wait for the in-flight limit or
// for the rate limiter share a transaction.
type committer struct {
	ready      []*account    // accounts with queued changes, in order of arrival
	running    bool          // commitReady runs
	inFlight   chan struct{} // semaphore of the transactions in flight
	limiter    *rate.Limiter
	rateFactor float64 // fraction of the VM's rate in use; reduced when the store rejects a transaction for its rate
}

func newCommitter() committer {
	return committer{inFlight: make(chan struct{}, maxInFlightCommits), limiter: rate.NewLimiter(rate.Inf, commitBurst), rateFactor: 1}
}

// accountUpdate contains the changes to one account in a transaction.
type accountUpdate struct {
	account *account
	changes []*change
	// freshlyRead is set if the account was read from the store for this transaction.
	freshlyRead bool
	value       turntree.Account // the account after the changes
	tx          platform.Tx
}

// enqueue queues an account for a transaction and starts the committing goroutine if
// needed. The caller must hold l.mu.
func (l *Ledger) enqueue(a *account) {
	a.busy = true
	l.commits.ready = append(l.commits.ready, a)
	if !l.commits.running {
		l.commits.running = true
		l.wait.Go(l.commitReady)
	}
}

// commitReady starts transactions until no account is queued.
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
		// When l.ctx has ended the transactions fail, which returns errors to the
		// callers.
		_ = l.commits.limiter.Wait(l.ctx)
		l.commits.inFlight <- struct{}{}
		l.mu.Lock()
		batch := l.takeBatch()
		l.mu.Unlock()
		l.wait.Go(func() {
			defer func() { <-l.commits.inFlight }()
			l.commit(batch)
		})
	}
}

// commitRate returns how many transactions per second this VM may start. The caller
// must hold l.mu.
func (l *Ledger) commitRate() rate.Limit {
	vmRate := l.options.Rate()
	if vmRate <= 0 {
		return rate.Inf
	}
	return rate.Limit(vmRate * commitRateFraction * l.commits.rateFactor)
}

// takeBatch dequeues the accounts of the next transaction with their changes. It drops
// changes whose callers no longer wait. The caller must hold l.mu.
func (l *Ledger) takeBatch() []accountUpdate {
	var batch []accountUpdate
	partition, entries, bytes, full, alone := 0, 0, 0, false, false
	rest := l.commits.ready[:0]
	for _, a := range l.commits.ready {
		a.queue = dropCancelled(a.queue)
		switch {
		case len(a.queue) == 0:
			a.busy = false
			continue
		case full, len(batch) > 0 && a.group.PartitionNumber() != partition:
			rest = append(rest, a)
			continue
		}
		entries += 2 // the condition on the account's revision and the account's row
		u := accountUpdate{account: a}
		for _, c := range a.queue {
			first := len(batch)+len(u.changes) == 0
			if full = !first && (alone || c.alone || entries+c.entries() > maxBatchEntries || bytes+c.bytes() > maxBatchBytes); full {
				break
			}
			alone = c.alone
			entries += c.entries()
			bytes += c.bytes()
			u.changes = append(u.changes, c)
		}
		if len(u.changes) == 0 {
			rest = append(rest, a)
			continue
		}
		a.queue = append([]*change(nil), a.queue[len(u.changes):]...)
		partition = a.group.PartitionNumber()
		batch = append(batch, u)
	}
	clear(l.commits.ready[len(rest):])
	l.commits.ready = rest
	return batch
}

// dropCancelled returns the changes whose callers still wait.
func dropCancelled(changes []*change) []*change {
	kept := changes[:0]
	for _, c := range changes {
		if c.ctx.Err() == nil {
			kept = append(kept, c)
		}
	}
	return kept
}

// commit runs one transaction for the batch. Accounts whose changes were neither
// committed nor rejected are queued again.
func (l *Ledger) commit(batch []accountUpdate) {
	batch = l.fitTransaction(l.applyChanges(l.readUnknown(batch)))
	if len(batch) == 0 {
		return
	}
	tx := platform.PartitionTx{Part: batch[0].account.group.Partition()}
	for _, u := range batch {
		tx.Conditions = append(tx.Conditions, u.tx.Conditions...)
		tx.Writes = append(tx.Writes, u.tx.Writes...)
	}
	ctx, cancel := context.WithTimeout(l.ctx, commitTimeout(batch, tx))
	result, err := l.store.Transact(ctx, tx)
	cancel()
	l.recordCommit(err, !result.Committed)
	for _, u := range batch {
		if errors.Is(err, context.DeadlineExceeded) {
			u.noteLate()
		}
		switch {
		case platform.KindOf(err) == platform.Rejected && len(batch) == 1 && len(u.changes) == 1:
			l.finish(u, err)
		case platform.KindOf(err) == platform.Rejected:
			for _, c := range u.changes {
				c.alone = true
			}
			l.retry(u, nil)
		case err != nil:
			if !platform.KindOf(err).HadNoEffect() {
				// The transaction may have been applied, or may still be applied later.
				// In the first case a new read shows it; in the second, the next write
				// changes the revision and the late transaction fails its condition.
				u.account.known = false
			}
			l.retry(u, err)
		case !result.Committed:
			for _, c := range u.changes {
				c.parent.setFromRows(u.account.group, result.Current)
			}
			l.retry(u, l.setFromRows(u.account, result.Current))
		default:
			u.account.value, u.account.revision = u.value, result.Revision
			u.account.expires = clock.Later(u.account.expires, l.now().Add(max(u.value.Retention, minRetention)))
			for _, c := range u.changes {
				c.revision = result.Revision
			}
			l.finish(u, nil)
		}
	}
}

// commitTimeout bounds a transaction. A large one has more time, and one that has been late more
// than once has twice as much each time, so that it ends on a VM of any speed. The first repeats
// of a small one come soon, since the answer may have been lost.
func commitTimeout(batch []accountUpdate, tx platform.PartitionTx) time.Duration {
	late := 0
	for _, u := range batch {
		for _, c := range u.changes {
			late = max(late, c.late)
		}
	}
	return (callTimeout + tx.SendTime()) << min(max(0, late-1), maxTimeoutDoublings)
}

// noteLate counts a transaction that was not answered in time.
func (u accountUpdate) noteLate() {
	for _, c := range u.changes {
		c.late++
	}
}

// fitTransaction returns the updates that one transaction holds, by the encoded size of all rows
// and conditions, and queues the others again. Only with the accounts read is their size known.
func (l *Ledger) fitTransaction(batch []accountUpdate) []accountUpdate {
	var fitting []accountUpdate
	entries, size := 0, 0
	for _, u := range batch {
		entries += len(u.tx.Conditions) + len(u.tx.Writes)
		size += u.encodedBytes()
		switch fits := entries <= platform.MaxTxEntries && size <= platform.MaxTxBytes; {
		case fits, len(fitting) == 0 && len(u.changes) == 1:
			fitting = append(fitting, u)
		case len(fitting) == 0:
			for _, c := range u.changes {
				c.alone = true
			}
			l.retry(u, nil)
			entries, size = 0, 0
		default:
			l.retry(u, nil)
			entries -= len(u.tx.Conditions) + len(u.tx.Writes)
			size -= u.encodedBytes()
		}
	}
	return fitting
}

// encodedBytes returns the largest size of the update in a call to the store.
func (u accountUpdate) encodedBytes() int {
	size := encodedBytes(u.tx.Writes)
	for _, c := range u.tx.Conditions {
		size += writeOverhead + len(c.Table) + keyFactor*len(c.Key.Key)
	}
	return size
}

// encode returns the conditions and writes of the account for a transaction.
func (u accountUpdate) encode() (platform.Tx, error) {
	data, err := turntree.EncodeAccount(u.value)
	if err != nil {
		return platform.Tx{}, err
	}
	key := accountKey(u.account.group)
	tx := platform.Tx{
		Conditions: []platform.Condition{{Key: key, Revision: u.account.revision}},
		Writes:     []platform.Write{{Key: key, Value: data}},
	}
	parents := map[string]bool{}
	for _, c := range u.changes {
		tx.Writes = append(tx.Writes, c.rows...)
		if id := c.parent.id; id != "" && !parents[id] {
			parents[id] = true
			tx.Conditions = append(tx.Conditions, c.parent.condition(u.account.group))
		}
	}
	return tx, nil
}

// readUnknown reads the accounts of which this VM has no valid copy and the revisions of
// parents that it doesn't know. It returns the updates of which all is known and retries
// the others.
func (l *Ledger) readUnknown(batch []accountUpdate) []accountUpdate {
	accountErrs, parentErrs := make([]error, len(batch)), make([]error, len(batch))
	var wait sync.WaitGroup
	for i, u := range batch {
		if !u.account.known {
			batch[i].freshlyRead = true
			wait.Go(func() { accountErrs[i] = l.read(u.account) })
		}
		wait.Go(func() { parentErrs[i] = l.readParents(u) })
	}
	wait.Wait()
	known := batch[:0]
	for i, u := range batch {
		if err := errors.Join(accountErrs[i], parentErrs[i]); err != nil {
			l.retry(u, err)
			continue
		}
		known = append(known, u)
	}
	return known
}

// applyChanges applies the changes to the copies of the accounts and returns the
// updates to commit. A change is rejected only after the account was read from the
// store for this transaction, since another VM may have settled turns in the meantime.
func (l *Ledger) applyChanges(batch []accountUpdate) []accountUpdate {
	ready := batch[:0]
	for _, u := range batch {
		from := u.account.value
		from.IndexKnown = from.IndexKnown || u.account.revision == 0 // the account is new
		value, applied, rejected := applyAll(from, u.changes)
		if len(rejected) > 0 && !u.freshlyRead {
			u.account.known = false
			l.retry(u, nil)
			continue
		}
		if u.account.revision != 0 && u.account.value.Retention == 0 {
			value.Retention = max(value.Retention, l.options.LongestRetention())
		}
		u.value, u.changes = value, applied
		if len(applied) == 0 {
			l.finish(u, nil)
		}
		for c, err := range rejected {
			c.done <- err
		}
		if len(applied) == 0 {
			continue
		}
		var err error
		if u.tx, err = u.encode(); err != nil {
			l.finish(u, err)
			continue
		}
		ready = append(ready, u)
	}
	return ready
}

// retry queues the changes again, after the account's backoff if err is not nil.
// When l.ctx has ended it fails them.
func (l *Ledger) retry(u accountUpdate, err error) {
	if l.ctx.Err() != nil {
		l.finish(u, l.ctx.Err())
		return
	}
	l.wait.Go(func() {
		if err != nil {
			clock.Sleep(l.ctx, clock.Jitter(u.account.backoff))
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if err != nil {
			u.account.backoff = min(2*u.account.backoff, maxRetryDelay)
			u.account.lastErr = err
		}
		u.account.queue = append(u.changes, u.account.queue...)
		l.enqueue(u.account)
	})
}

// finish returns the result to the callers of the changes, after it has released the
// account: a caller that goes on at once finds it idle. It queues the account again if
// more changes arrived meanwhile.
func (l *Ledger) finish(u accountUpdate, err error) {
	l.release(u.account)
	for _, c := range u.changes {
		c.done <- err
	}
}

// release ends the use of an account by a transaction.
func (l *Ledger) release(a *account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.backoff, a.busy, a.lastErr = retryDelay, false, nil
	if len(a.queue) > 0 {
		l.enqueue(a)
	}
}

// recordCommit counts a transaction and adapts the rate factor to rejections for the
// store's rate.
func (l *Ledger) recordCommit(err error, conflict bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters.Transactions++
	switch {
	case platform.KindOf(err) == platform.Overloaded:
		l.counters.Retries++
		l.commits.rateFactor = max(minRateFactor, rateBackoff*l.commits.rateFactor)
	case err != nil:
		l.counters.Retries++
	case conflict:
		l.counters.Conflicts++
	default:
		l.commits.rateFactor = min(1, l.commits.rateFactor+rateRecovery)
	}
}
