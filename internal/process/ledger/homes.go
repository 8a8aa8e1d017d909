package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/decisionlog"
	"hornbeamvale.example/hornbeamvale/internal/process/historyload"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
	"hornbeamvale.example/hornbeamvale/internal/version/routing"
)

const (
	// ServeTimeout bounds the work of a home for another VM. It is shorter than
	// homeTimeout, so that a home that waits for the store answers before the caller
	// counts it as unresponsive.
	ServeTimeout = 300 * time.Millisecond
	homeTimeout  = 400 * time.Millisecond
	// maxHomeAttempts bounds the calls to homes before this VM makes the change itself.
	maxHomeAttempts = 2
	// minHomeBackoff is how long a home that did not answer is skipped. The time
	// doubles with each further failure, up to maxHomeBackoff, until the home answers.
	// A frozen VM then costs one homeTimeout per 2 s, and a VM that is gone costs few
	// homeTimeouts until it is dropped from the fleet after 10 s.
	minHomeBackoff = 2 * time.Second
	maxHomeBackoff = 8 * time.Second
	// maxSlowCalls is the number of calls in a row that a home may leave unanswered while it sends
	// other messages. It is then skipped like one that is gone: its connections work, and its
	// ledger does not.
	maxSlowCalls = 4
	// maxSentHistory is the largest history that a home sends, in bytes. It is below the
	// largest frame between VMs.
	maxSentHistory = 768 << 10
	// loadAnswerMargin is how much less time a home has for a load than the request, so that its
	// answer says why the load was late.
	loadAnswerMargin = 50 * time.Millisecond
	// homeRetryDelay is the wait before a home whose call to the store failed is called
	// again. It is about ten times the usual time of a call.
	homeRetryDelay = 40 * time.Millisecond
)

// Home is the ledger of another VM. The methods Open, Record and Settle run the methods
// of the same names of that VM's Ledger. Their errors are ErrBudgetExceeded,
// ErrTurnNotFound or a *StoreError; any other error counts as a missing answer.
type Home interface {
	// VM returns the VM's name.
	VM() string
	Open(ctx context.Context, o OpenRequest) (History, error)
	Record(ctx context.Context, r RecordRequest) error
	Settle(ctx context.Context, s SettleRequest) error
	// Load loads a large history at the home and returns it once this VM has the memory for it.
	// Its errors are those of Ledger.LoadFor, a *historyload.TimeoutError, a *StoreError, or any
	// other error for a missing answer.
	Load(ctx context.Context, q LoadRequest) (*LoadedHistory, error)
	// HeardSince reports whether the VM has sent anything since then, as clock.Monotonic. A VM
	// that has is slow, not gone.
	HeardSince(t time.Duration) bool
}

// StoreError says that the home answered but its call to the store failed.
type StoreError struct {
	Reason   string
	Reserved bool // the turn may have a reservation
	// Late is set if the call did not end in time although the store has not failed.
	Late bool
}

func (e *StoreError) Error() string {
	if e.Late {
		return "late at the home: " + e.Reason
	}
	return "the store failed at the home: " + e.Reason
}

// StoreFailed reports whether the store has failed or refused a call, here or at a home. An error
// of an ended wait without such a call is none of the store's.
func StoreFailed(err error) bool {
	var here *platform.Error
	var atHome *StoreError
	return errors.As(err, &here) && here.Kind != platform.Interrupted || errors.As(err, &atHome) && !atHome.Late
}

// HomeRouter routes all changes of a group to one VM, the group's home. The home has the
// account and the turns in memory, and no two VMs write the same account. The home is a
// preference, not an owner: the conditions of the store's transactions ensure
// consistency, every change is idempotent, and each VM makes the change itself if the
// home does not answer.
type HomeRouter struct {
	local  *Ledger
	log    *decisionlog.Log
	choose ChooseHome

	mu       sync.Mutex
	backoffs map[string]homeBackoff // unresponsive and slow homes by VM
}

// ChooseHome returns the home of a group among the VMs in allowed regions for which skip
// returns false. It returns false if the home is this VM.
type ChooseHome func(g turntree.Group, allowed routing.AllowedRegions, skip func(vm string) bool) (Home, bool)

// homeBackoff is the backoff of a home that did not answer the last call.
type homeBackoff struct {
	until    time.Time // the home is skipped until then
	duration time.Duration
	// slowCalls counts the calls in a row without an answer while the home sent other messages,
	// and countedAt is when the last one ended, as clock.Monotonic.
	slowCalls int
	countedAt time.Duration
}

// NewHomeRouter returns a router that uses the ledger local for groups whose home is
// this VM or does not answer.
func NewHomeRouter(local *Ledger, log *decisionlog.Log, choose ChooseHome) *HomeRouter {
	return &HomeRouter{local: local, log: log, choose: choose, backoffs: map[string]homeBackoff{}}
}

// Open runs Ledger.Open at the group's home.
func (h *HomeRouter) Open(ctx context.Context, o OpenRequest) (History, error) {
	history, cached := h.local.cachedHistory(o.Customer, o.Parent)
	if o.LoadsLarge && cached && history.Size() > smallHistory {
		return History{}, &LargeHistoryError{Bytes: int64(history.Size())}
	}
	return h.open(ctx, o, history, cached)
}

// OpenLoaded runs Ledger.Open at the group's home for a history that Load has returned.
func (h *HomeRouter) OpenLoaded(ctx context.Context, o OpenRequest, loaded *LoadedHistory) error {
	history, err := h.open(ctx, o, loaded.History, true)
	loaded.History = history
	return err
}

// open runs Ledger.Open at the group's home. known is set if this VM has the history.
func (h *HomeRouter) open(ctx context.Context, o OpenRequest, history History, known bool) (History, error) {
	o.HasHistory = known
	reserved := false
	fromHome := o
	fromHome.MayOmitHistory = true
	err := h.runAtHome(ctx, o.Group, o.Allowed, o.Turn, func(ctx context.Context, home Home) error {
		opened, err := home.Open(ctx, fromHome)
		if err == nil && !known {
			history = opened
			h.local.cacheTurns(history.Turns...)
		}
		history.setInGroup(o.Group, opened.InGroup)
		var storeErr *StoreError
		var large *LargeHistoryError
		if !errors.As(err, &large) && (!errors.As(err, &storeErr) || storeErr.Reserved) {
			reserved = true // the home may have reserved the tokens although its answer was lost
		}
		return err
	}, func() error {
		opened, err := h.local.Open(ctx, o)
		if err == nil && !known {
			history = opened
		}
		history.setInGroup(o.Group, opened.InGroup)
		return err
	})
	if err == nil && history.Omitted {
		inGroup := history.InGroup
		history, err = h.local.History(ctx, o.Group, o.Customer, o.Parent)
		history.setInGroup(o.Group, inGroup)
		reserved = true
	}
	if errors.Is(err, ErrTurnNotFound) {
		h.local.dropTurn(o.Parent)
	}
	var e *Error
	if errors.As(err, &e) && !errors.Is(err, ErrBudgetExceeded) && !errors.Is(err, ErrTurnNotFound) {
		e.Reserved = e.Reserved || reserved
	}
	return history, err
}

// Load returns a large history that the group's home has loaded, so that requests at all VMs
// share the reads, or that this VM has loaded if it is the home or no home answers.
func (h *HomeRouter) Load(ctx context.Context, q LoadRequest) (*LoadedHistory, error) {
	if loaded, err := h.local.loadCached(ctx, q); loaded != nil || err != nil {
		return loaded, err
	}
	tried := map[string]bool{}
	for range maxHomeAttempts {
		home, ok := h.choose(q.Group, q.Allowed, h.untried(tried))
		if !ok {
			break
		}
		h.local.count(func(c *Counters) { c.HomeCalls++ })
		begun := clock.Monotonic()
		q.TimeLeft = deadlineOf(ctx) - begun - loadAnswerMargin
		loaded, err := home.Load(ctx, q)
		switch {
		case err == nil:
			h.clearBackoff(home.VM())
			h.local.cacheTurns(loaded.Turns...)
			return loaded, nil
		case isAnswer(err):
			return nil, asError(q.Turn, err)
		case ctx.Err() != nil:
			return nil, asError(q.Turn, &historyload.TimeoutError{Step: fmt.Sprintf("the home VM %s did not answer for %s", home.VM(), (clock.Monotonic() - begun).Round(time.Millisecond)), RetryAfter: loadRetryAfter})
		}
		tried[home.VM()] = true
		h.noteNoAnswer(q.Turn, q.Group, home, begun, err)
	}
	return h.local.Load(ctx, q)
}

// isAnswer reports whether the error of a load is the home's answer.
func isAnswer(err error) bool {
	var refused *historyload.RefusedError
	var late *historyload.TimeoutError
	var store *StoreError
	return errors.Is(err, ErrTurnNotFound) || errors.As(err, &refused) || errors.As(err, &late) || errors.As(err, &store)
}

// noteNoAnswer logs that a home has not answered a call. Unless it has sent something else
// meanwhile and answers other calls, it is skipped for a while: a home that is slow with one large
// history would otherwise be skipped for all programs.
func (h *HomeRouter) noteNoAnswer(turn string, g turntree.Group, home Home, begun time.Duration, err error) {
	slow := home.HeardSince(begun) && h.isSlow(home.VM(), begun)
	h.log.Request("Home VM did not answer the ledger call", "id", turn, "group", g, "home", home.VM(), "waited", clock.Monotonic()-begun, "slow", slow, "err", err)
	if !slow {
		h.startBackoff(home.VM())
	}
}

// Record runs Ledger.Record at the group's home.
func (h *HomeRouter) Record(ctx context.Context, r RecordRequest) error {
	if !r.fitsOneTransaction() {
		return h.local.Record(ctx, r) // several transactions may take longer than ServeTimeout
	}
	whole := r
	r.History = History{Turns: r.History.missingIn(r.Group, r.Turn.Parent)}
	err := h.runAtHome(ctx, r.Group, r.Allowed, r.ID, func(ctx context.Context, home Home) error {
		err := home.Record(ctx, r)
		if err == nil {
			h.local.cacheTurns(StoredTurn{ID: r.ID, Group: r.Group, Turn: r.Turn})
		}
		return err
	}, func() error { return h.local.Record(ctx, r) })
	if errors.Is(err, ErrTurnNotFound) && whole.History.extends(r.History.Turns) {
		return h.local.Record(ctx, whole)
	}
	return err
}

// Settle runs Ledger.Settle at the group's home. It returns at once and retries in the
// background until the settlement is durable, for at most settleTimeout.
func (h *HomeRouter) Settle(s SettleRequest) {
	h.local.wait.Go(func() {
		ctx, cancel := context.WithTimeout(h.local.ctx, settleTimeout)
		defer cancel()
		err := h.runAtHome(ctx, s.Group, s.Allowed, s.Turn, func(ctx context.Context, home Home) error { return home.Settle(ctx, s) },
			func() error { return h.local.Settle(ctx, s) })
		if err != nil {
			// The reservation stays: the program can use less than its budget, never
			// more.
			h.log.Request("Turn was not settled; its reservation stays", "id", s.Turn, "group", s.Group, "tokens", s.Used, "err", err)
		}
	})
}

// runAtHome makes a change at the home of a group, or at this VM if it is the home or
// no home answers. Where the change may go to some regions only, its home is in one of them,
// so that the VMs in these regions choose the same one.
func (h *HomeRouter) runAtHome(ctx context.Context, g turntree.Group, allowed routing.AllowedRegions, turn string, runRemote func(context.Context, Home) error, runLocal func() error) error {
	tried := map[string]bool{}
	for range maxHomeAttempts {
		home, ok := h.choose(g, allowed, h.untried(tried))
		if !ok {
			return runLocal()
		}
		h.local.count(func(c *Counters) { c.HomeCalls++ })
		begun := clock.Monotonic()
		callCtx, cancel := context.WithTimeout(ctx, homeTimeout)
		err := runRemote(callCtx, home)
		cancel()
		var storeErr *StoreError
		var large *LargeHistoryError
		switch {
		case err == nil, errors.Is(err, ErrBudgetExceeded), errors.Is(err, ErrTurnNotFound), errors.As(err, &large):
			h.clearBackoff(home.VM())
			return wrapError(turn, err)
		case ctx.Err() != nil:
			return wrapError(turn, err)
		case errors.As(err, &storeErr):
			h.clearBackoff(home.VM())
			if !clock.Sleep(ctx, clock.Jitter(homeRetryDelay)) {
				return wrapError(turn, err)
			}
		default:
			tried[home.VM()] = true
			h.noteNoAnswer(turn, g, home, begun, err)
		}
	}
	h.local.count(func(c *Counters) { c.HomeFallbacks++ })
	return runLocal()
}

func wrapError(turn string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Op: "call of the home", Turn: turn, Err: err}
}

// isSlow counts a call without an answer to a home that sends other messages. It returns false if
// there were too many in a row. Calls that wait at the same time count once.
func (h *HomeRouter) isSlow(vm string, begun time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.backoffs[vm]
	if begun >= b.countedAt {
		b.slowCalls, b.countedAt = b.slowCalls+1, clock.Monotonic()
		h.backoffs[vm] = b
	}
	return b.slowCalls < maxSlowCalls
}

// untried returns the homes to skip: those in backoff, and those that this request has called.
func (h *HomeRouter) untried(tried map[string]bool) func(vm string) bool {
	return func(vm string) bool { return tried[vm] || h.inBackoff(vm) }
}

func (h *HomeRouter) inBackoff(vm string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return clock.Now().Before(h.backoffs[vm].until)
}

func (h *HomeRouter) clearBackoff(vm string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.backoffs, vm)
}

// startBackoff records that a home did not answer. Calls that failed at the same time
// count once.
func (h *HomeRouter) startBackoff(vm string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, b := clock.Now(), h.backoffs[vm]
	if now.Before(b.until) {
		return
	}
	b.duration = min(max(minHomeBackoff, 2*b.duration), maxHomeBackoff)
	b.until = now.Add(b.duration)
	h.backoffs[vm] = b
}
