// Package ledger stores the turns and budgets of programs in the platform's store. No
// VM owns a program: conditional transactions of the store resolve concurrent changes
// of several VMs. A program can therefore continue at any VM, also after all processes
// were killed. Package turntree defines the stored records; package fleet chooses the
// home VM of each program.
//
// The rows of a group have a common key prefix: the account is stored under the group's
// name, and each turn under the group's name and the turn's id. A turn and its
// settlement are committed in one transaction, before the turn's answer ends.
package ledger

import (
	"context"
	"errors"
	"fmt"
	"math"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"golang.org/x/sync/singleflight"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/decisionlog"
	"hornbeamvale.example/hornbeamvale/internal/process/historyload"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
	"hornbeamvale.example/hornbeamvale/internal/version/routing"
)

// Tables of the platform's store.
const (
	programTable = "programs"   // accounts and turns, by group
	indexTable   = "turn-index" // the group of each turn
)

const (
	// retryDelay is the first wait after a failed call to the store, about ten times
	// the usual time of a call. It doubles up to maxRetryDelay.
	retryDelay    = 40 * time.Millisecond
	maxRetryDelay = 320 * time.Millisecond
	// callTimeout bounds one call to the store. Answers usually take 4 ms, and up to 60
	// times as long while the store is slow. A lost answer is detected only by this
	// timeout.
	callTimeout = 400 * time.Millisecond
	// settleTimeout is how long a settlement without a waiting caller is retried. It
	// exceeds the outages of the store. If it ends, the reservation stays: the program
	// can then use less than its budget, never more.
	settleTimeout = 30 * time.Second
	// minRetention is the shortest time for which a program's rows are kept after a change,
	// also if no change has stated a retention.
	minRetention = time.Minute
	// accountIdleTimeout is how long an unused account stays in memory.
	accountIdleTimeout = 30 * time.Second
	// maxSmallReads bounds the requests that read a history without an admission: each may get
	// a page of 1 MB, if its program is larger than its history.
	maxSmallReads = 8
	// expiryInterval is the time between two searches for expired accounts and groups.
	expiryInterval = 5 * time.Second
)

// ErrBudgetExceeded means that the turn's token limit does not fit into the program's
// budget. The decision was made on the stored account, and the turn has no reservation.
var ErrBudgetExceeded = errors.New("the program's budget does not hold the turn")

// ErrTurnID means that a turn with the id cannot be stored.
var ErrTurnID = fmt.Errorf("the id of a turn has 1 to %d bytes of UTF-8 and no %q", maxTurnID, chunkSeparator)

// maxTurnID is the largest length of a turn's id in bytes: the store's keys have at most 200,
// and the key of a row has the group and the number of the row as well.
const maxTurnID = 170

// CheckTurnID returns ErrTurnID if no turn with the id can be stored.
func CheckTurnID(id string) error {
	if id == "" || len(id) > maxTurnID || !utf8.ValidString(id) || strings.Contains(id, chunkSeparator) {
		return ErrTurnID
	}
	return nil
}

// ErrTurnNotFound means that the store has no turn of the customer with the given id.
var ErrTurnNotFound = errors.New("no such turn")

// Error is the error type of this package. Err is ErrBudgetExceeded, ErrTurnNotFound, a
// *platform.Error, a *turntree.Error, a *historyload.RefusedError, a *historyload.TimeoutError, the error of a call to a home, or that of an ended
// context.
type Error struct {
	Op   string
	Turn string
	// Reserved is set if the turn may still have a reservation.
	Reserved bool
	Err      error
}

func (e *Error) Error() string { return fmt.Sprintf("ledger %s of turn %s: %v", e.Op, e.Turn, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Counters counts the ledger's operations.
type Counters struct {
	Transactions, Conflicts, Reads, Retries int64
	// HomeCalls counts the calls to homes, HomeFallbacks the changes that this VM made
	// itself because no home answered.
	HomeCalls, HomeFallbacks int64
}

// Ledger is one VM's access to the stored turns and accounts. It is safe for concurrent
// use; the goroutines of requests call it.
type Ledger struct {
	store platform.PartitionedStore
	now   func() time.Time
	ctx   context.Context // when it ends, queued changes fail

	options Options

	mu       sync.Mutex
	commits  committer
	accounts map[turntree.Group]*account
	turns    *turnCache
	reads    map[rowRange]*sharedRead    // under way
	large    map[turntree.Group]struct{} // groups that are known to exceed a page of the store
	counters Counters
	wait     sync.WaitGroup // background goroutines

	indexReads singleflight.Group // by turn
	// smallReads is the semaphore of the requests that read a history without an admission.
	smallReads chan struct{}
}

// Options configures a ledger.
type Options struct {
	// CacheBytes bounds the memory of cached turns.
	CacheBytes int
	// Rate returns how many transactions per second this VM may commit; 0 means no
	// limit.
	Rate func() float64
	// LongestRetention returns the longest retention of the routes in force. Programs of
	// which the store does not tell the retention are kept for it. nil means 0.
	LongestRetention func() time.Duration
	// EarlierBuilds returns whether a VM of the fleet runs a build up to 7f97bc3. When such a
	// VM deletes an expired program it also deletes index entries of turns that the program had
	// copied. nil means no.
	EarlierBuilds func() bool
	// Loads admits the loads of large histories and the requests that keep one; nil means that
	// all are admitted.
	Loads *historyload.Gate
	// Log takes the lines about decisions; nil discards them.
	Log *decisionlog.Log
}

// New returns a ledger that works until ctx ends.
func New(ctx context.Context, store platform.PartitionedStore, o Options) *Ledger {
	if o.LongestRetention == nil {
		o.LongestRetention = func() time.Duration { return 0 }
	}
	if o.EarlierBuilds == nil {
		o.EarlierBuilds = func() bool { return false }
	}
	if o.Loads == nil {
		o.Loads = historyload.NewGate(historyload.Limits{Bytes: math.MaxInt64, Loads: maxSmallReads})
	}
	if o.Log == nil {
		o.Log = decisionlog.New(nil)
	}
	return &Ledger{
		store: store, now: clock.Now, ctx: ctx, options: o, commits: newCommitter(),
		accounts: map[turntree.Group]*account{}, turns: newTurnCache(o.CacheBytes),
		smallReads: make(chan struct{}, maxSmallReads),
		reads:      map[rowRange]*sharedRead{}, large: map[turntree.Group]struct{}{},
	}
}

// Counters returns the counts since the start of the process.
func (l *Ledger) Counters() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counters
}

// OpenRequest describes a turn that is about to be dispatched.
type OpenRequest struct {
	Group    turntree.Group `msgpack:"g"`
	Customer string         `msgpack:"c"`
	// Turn is the request's id; Parent is the id of the turn that it continues.
	Turn   string `msgpack:"t"`
	Parent string `msgpack:"p,omitempty"`
	// MaxTokens is the maximum number of tokens that the turn may generate, Budget the
	// maximum for all turns of the program. A Budget of 0 means no limit.
	MaxTokens int64 `msgpack:"m"`
	Budget    int64 `msgpack:"b"`
	// Retention is how long the program's rows are kept after this change and later ones.
	Retention time.Duration `msgpack:"r,omitempty"`
	// HasHistory is set if the caller already has the history.
	HasHistory bool `msgpack:"h,omitempty"`
	// MayOmitHistory is set if the caller reads a history of more than maxSentHistory itself.
	// Callers of builds up to 7f97bc3 don't.
	MayOmitHistory bool `msgpack:"o,omitempty"`
	// LoadsLarge is set if the caller loads a large history before, and calls Open again with
	// HasHistory then. Homes of builds up to 7102817 ignore it.
	LoadsLarge bool `msgpack:"l,omitempty"`
	// Expected is the size of the history in bytes that the caller's request lets expect; 0 if
	// it is unknown.
	Expected int64 `msgpack:"e,omitempty"`
	// Allowed are the regions whose VMs may be the home for this change.
	Allowed routing.AllowedRegions `msgpack:"-"`
}

// Open returns the history that the turn continues. It durably reserves the turn's
// token limit before the turn is dispatched. If it returns an Error with Reserved set,
// the reservation may exist and the caller has to settle it.
func (l *Ledger) Open(ctx context.Context, o OpenRequest) (History, error) {
	var history History
	if !o.HasHistory {
		var err error
		if o.LoadsLarge {
			history, err = l.readSmallHistory(ctx, o)
		} else {
			history, err = l.History(ctx, o.Group, o.Customer, o.Parent)
		}
		if err != nil {
			return History{}, err
		}
	}
	parent, err := l.reserve(ctx, o)
	if errors.Is(err, ErrTurnNotFound) {
		// The group's rows may have been deleted after the turn was cached from them, while
		// another group has it.
		l.dropTurn(o.Parent)
		parent, err = l.reserve(ctx, o)
	}
	history.setInGroup(o.Group, parent.id != "")
	if o.MayOmitHistory && history.Size() > maxSentHistory {
		history = History{InGroup: history.InGroup, Omitted: true}
	}
	return history, err
}

// reserve reserves the tokens of a turn. It returns the turn's parent as findParent does.
func (l *Ledger) reserve(ctx context.Context, o OpenRequest) (parentTurn, error) {
	parent, err := l.findParent(ctx, o.Group, o.Parent)
	if err != nil {
		return parentTurn{}, &Error{Op: "read", Turn: o.Parent, Err: err}
	}
	return parent, l.change(ctx, o.Group, o.Parent == "", &change{
		op: "reserve", turn: o.Turn, reserves: true, retention: o.Retention, parent: parent,
		apply: func(a *turntree.Account) error {
			if !a.Reserve(o.Turn, o.MaxTokens, o.Budget) {
				return ErrBudgetExceeded
			}
			return nil
		},
	})
}

// SettleRequest is a request to replace a turn's reservation by the number of tokens that
// the caller received.
type SettleRequest struct {
	Group turntree.Group `msgpack:"g"`
	Turn  string         `msgpack:"t"`
	Used  int64          `msgpack:"u"`
	// Retention is how long the program's rows are kept after this change and later ones.
	Retention time.Duration `msgpack:"r,omitempty"`
	// Allowed are the regions whose VMs may be the home for this change.
	Allowed routing.AllowedRegions `msgpack:"-"`
}

// Settle durably replaces a turn's reservation by its use.
func (l *Ledger) Settle(ctx context.Context, s SettleRequest) error {
	return l.change(ctx, s.Group, false, &change{
		op: "settle", turn: s.Turn, retention: s.Retention,
		apply: func(a *turntree.Account) error {
			a.Settle(s.Turn, s.Used)
			return nil
		},
	})
}

// dropTurn removes a turn from the cache that the store no longer has.
func (l *Ledger) dropTurn(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turns.drop(id)
}

// cacheTurns adds durable turns to the cache.
func (l *Ledger) cacheTurns(turns ...StoredTurn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range turns {
		l.turns.add(t)
	}
}

// secondEntrySuffix ends the key of a turn's second index entry, which is written while a VM
// runs a build up to 7f97bc3.
const secondEntrySuffix = "#"

func indexKey(key string) platform.Key { return platform.Key{Table: indexTable, Key: key} }

func turnKey(g turntree.Group, id string) string { return string(g) + "/" + id }

// Run deletes expired data until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
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
