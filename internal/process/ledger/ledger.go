// Package ledger keeps the turns and budgets of programs in the platform's store.
// No VM owns a program: the conditions of the store decide between VMs, so that a
// program goes on through any VM, also after all processes were killed.
//
// A group's rows stand together: the account under the group's name, each turn
// below it. A turn and its settlement are one transaction, which is committed
// before the turn's answer ends.
package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
)

// The tables.
const (
	programTable = "programs"   // accounts and turns, by group
	indexTable   = "turn-index" // the group of each turn
)

const (
	// retryPause is the wait after a failed call of the store, about ten times a
	// call's usual time. It doubles up to maxRetryPause.
	retryPause    = 40 * time.Millisecond
	maxRetryPause = 320 * time.Millisecond
	// callTimeout bounds one call of the store. Answers take 4 ms and up to 60 times
	// as long while the store is slow; a lost answer shows only by the timeout.
	callTimeout = 400 * time.Millisecond
	// settleFor is how long a settlement without a waiting caller is tried. It
	// exceeds the outages of the store; after it the reservation stays, which can
	// only make the budget smaller.
	settleFor = 30 * time.Second
	// idleAfter is how long an unused account stays in memory.
	idleAfter = 30 * time.Second
	// janitorInterval is the time between two looks for what has expired.
	janitorInterval = 5 * time.Second
)

// ErrBudget means that the turn's bound does not fit into the program's budget. It
// was decided on the store's state and the turn has no reservation.
var ErrBudget = errors.New("the program's budget does not hold the turn")

// ErrNoTurn means that the store holds no such turn of the customer.
var ErrNoTurn = errors.New("no such turn")

// Error is this package's error. The cause is ErrBudget, ErrNoTurn, a
// *platform.Error or the error of an ended context.
type Error struct {
	Op   string
	Turn string
	// Reserved says that the turn's reservation may stand.
	Reserved bool
	Err      error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("ledger %s of turn %s: %v", e.Op, e.Turn, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Counters count the ledger's work.
type Counters struct {
	Transactions, Conflicts, Reads, Retries int64
	// Homes counts the calls that went to a group's home, Homeless those that fell
	// back to this VM.
	Homes, Homeless int64
}

// Ledger is one VM's access to the records. It is safe for concurrent use: it is
// used by the goroutines of requests.
type Ledger struct {
	store platform.PartedStore
	now   func() time.Time
	ctx   context.Context

	options Options

	mu       sync.Mutex
	commits  committer
	accounts map[turntree.Group]*account
	turns    *turnCache
	counters Counters
	wait     sync.WaitGroup
}

// Options set up a ledger.
type Options struct {
	// CacheBytes bounds the turns in memory.
	CacheBytes int
	// Rate returns how many transactions a second this VM may make; 0 means no bound.
	Rate func() float64
}

// New returns a ledger that works until ctx ends.
func New(ctx context.Context, store platform.PartedStore, o Options) *Ledger {
	return &Ledger{
		store: store, now: time.Now, ctx: ctx, options: o, commits: newCommitter(),
		accounts: map[turntree.Group]*account{}, turns: newTurnCache(o.CacheBytes),
	}
}

// Counters returns what the ledger has done so far.
func (l *Ledger) Counters() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counters
}

// Opening is a turn that is about to be dispatched.
type Opening struct {
	Group    turntree.Group `msgpack:"g"`
	Customer string         `msgpack:"c"`
	// Turn is the request's id, Parent that of the turn that it continues.
	Turn   string `msgpack:"t"`
	Parent string `msgpack:"p,omitempty"`
	// Most is the largest number of tokens that the turn generates, Budget that of
	// all turns of the program; 0 means no bound.
	Most   int64 `msgpack:"m"`
	Budget int64 `msgpack:"b"`
	// HasLine says that the line need not be returned.
	HasLine bool `msgpack:"h,omitempty"`
}

// Open returns the line that the turn continues and makes the turn's bound durable
// before the turn is dispatched. After an error with Reserved the reservation may
// stand, and the caller has to settle it.
func (l *Ledger) Open(ctx context.Context, o Opening) (Line, error) {
	var line Line
	if !o.HasLine {
		var err error
		if line, err = l.Line(ctx, o.Group, o.Customer, o.Parent); err != nil {
			return Line{}, err
		}
	}
	err := l.change(ctx, o.Group, o.Parent == "", &change{
		op: "reserve", turn: o.Turn, reserves: true,
		apply: func(a *turntree.Account) error {
			if !a.Reserve(o.Turn, o.Most, o.Budget) {
				return ErrBudget
			}
			return nil
		},
	})
	return line, err
}

// Settlement replaces a turn's reservation by the tokens that its caller received.
type Settlement struct {
	Group turntree.Group `msgpack:"g"`
	Turn  string         `msgpack:"t"`
	Used  int64          `msgpack:"u"`
}

// Settle makes a settlement durable.
func (l *Ledger) Settle(ctx context.Context, s Settlement) error {
	return l.change(ctx, s.Group, false, &change{
		op: "settle", turn: s.Turn,
		apply: func(a *turntree.Account) error {
			a.Settle(s.Turn, s.Used)
			return nil
		},
	})
}

// Ended is a turn whose answer is complete.
type Ended struct {
	Group turntree.Group `msgpack:"g"`
	ID    string         `msgpack:"i"`
	Turn  turntree.Turn  `msgpack:"t"`
	// Used is the number of tokens in the answer.
	Used int64 `msgpack:"u"`
	// Line is the line that the turn continues, as returned by Open.
	Line Line `msgpack:"l"`
	// Retention is how long the turn is kept.
	Retention time.Duration `msgpack:"r"`
}

// Record makes an ended turn durable together with its settlement. The answer must
// not end before it has returned without an error.
func (l *Ledger) Record(ctx context.Context, e Ended) error {
	rows, err := turnWrites(e)
	if err != nil {
		return &Error{Op: "record", Turn: e.ID, Err: err}
	}
	err = l.change(ctx, e.Group, false, &change{
		op: "record", turn: e.ID, retention: e.Retention, rows: rows,
		apply: func(a *turntree.Account) error {
			a.Settle(e.ID, e.Used)
			return nil
		},
	})
	if err == nil {
		l.keep(KeptTurn{ID: e.ID, Group: e.Group, Turn: e.Turn})
	}
	return err
}

// keep takes turns that are durable into memory.
func (l *Ledger) keep(turns ...KeptTurn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range turns {
		l.turns.add(t)
	}
}

// turnWrites returns the rows of an ended turn. Turns of other groups that it
// continues are copied, so that each group can expire by itself.
func turnWrites(e Ended) ([]platform.Write, error) {
	writes, err := chunked(turnKey(e.Group, e.ID), e.Turn)
	if err != nil {
		return nil, err
	}
	writes = append(writes, platform.Write{Key: platform.Key{Table: indexTable, Key: e.ID}, Value: []byte(e.Group)})
	for _, t := range e.Line.outside(e.Group).Turns {
		copied, err := chunked(turnKey(e.Group, t.ID), t.Turn)
		if err != nil {
			return nil, err
		}
		writes = append(writes, copied...)
	}
	return writes, nil
}

func turnKey(g turntree.Group, id string) string { return string(g) + "/" + id }

// Run expires what is no longer needed until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	ticker := time.NewTicker(janitorInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.wait.Wait()
			return
		case <-ticker.C:
			l.expire(ctx)
		}
	}
}
