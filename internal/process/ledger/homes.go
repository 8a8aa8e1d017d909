package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/decisionlog"
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
)

const (
	// ServeTimeout bounds what a home does for another VM, so that a home that waits
	// for the store answers before it counts as silent after homeTimeout.
	ServeTimeout = 300 * time.Millisecond
	homeTimeout  = 400 * time.Millisecond
	// homeTries bounds the calls at homes before this VM does the work itself.
	homeTries = 2
	// homeMemory is how long a home that did not answer is passed over, and twice as
	// long after each further time, up to homeMemoryMost, until it answers. A frozen VM
	// costs one wait in 2 s, one that is gone few until its seat is dropped after 10 s.
	homeMemory     = 2 * time.Second
	homeMemoryMost = 8 * time.Second
	// homePause is the wait before a home whose call of the store failed is asked
	// again, about ten times a call's usual time.
	homePause = 40 * time.Millisecond
)

// Home is the ledger of another VM.
type Home interface {
	// VM names it.
	VM() string
	Open(ctx context.Context, o Opening) (Line, error)
	Record(ctx context.Context, e Ended) error
	Settle(ctx context.Context, s Settlement) error
}

// StoreError is an error of a home that answered: the store failed there.
type StoreError struct {
	Reason   string
	Reserved bool
}

// Error implements error.
func (e *StoreError) Error() string { return "the store failed at the home: " + e.Reason }

// Homes lets one VM, the home of a group, make all changes of the group. It then
// has the account and the turns in memory, and no two VMs write the same account.
// A home is a preference and no owner: the conditions of the store decide, every
// change may be made twice, and each VM does the work itself if a home is silent.
type Homes struct {
	local *Ledger
	log   *decisionlog.Log
	// choose returns the home of a group among the VMs that are not passed over;
	// false if it is this VM.
	choose func(g turntree.Group, passedOver func(vm string) bool) (Home, bool)

	mu     sync.Mutex
	silent map[string]silence // by VM
}

// silence is a home that has not answered since its last answer.
type silence struct {
	until  time.Time // when it is asked again
	memory time.Duration
}

// NewHomes returns homes over this VM's ledger.
func NewHomes(local *Ledger, log *decisionlog.Log, choose func(turntree.Group, func(vm string) bool) (Home, bool)) *Homes {
	return &Homes{local: local, log: log, choose: choose, silent: map[string]silence{}}
}

// Open is Ledger.Open at the group's home.
func (h *Homes) Open(ctx context.Context, o Opening) (Line, error) {
	line, held := h.local.inMemory(o.Customer, o.Parent)
	o.HasLine = held
	reserved := false
	err := h.at(ctx, o.Group, o.Turn, func(ctx context.Context, home Home) error {
		opened, err := home.Open(ctx, o)
		if err == nil && !held {
			line = opened
			h.local.keep(line.Turns...)
		}
		var atStore *StoreError
		if !errors.As(err, &atStore) || atStore.Reserved {
			reserved = true // perhaps by a call whose answer was lost
		}
		return err
	}, func() error {
		opened, err := h.local.Open(ctx, o)
		if err == nil && !held {
			line = opened
		}
		return err
	})
	var e *Error
	if errors.As(err, &e) && !errors.Is(err, ErrBudget) && !errors.Is(err, ErrNoTurn) {
		e.Reserved = e.Reserved || reserved
	}
	return line, err
}

// Record is Ledger.Record at the group's home.
func (h *Homes) Record(ctx context.Context, e Ended) error {
	e.Line = e.Line.outside(e.Group)
	return h.at(ctx, e.Group, e.ID, func(ctx context.Context, home Home) error {
		err := home.Record(ctx, e)
		if err == nil {
			h.local.keep(KeptTurn{ID: e.ID, Group: e.Group, Turn: e.Turn})
		}
		return err
	}, func() error { return h.local.Record(ctx, e) })
}

// Settle is Ledger.Settle at the group's home. It returns at once and is tried until
// it is durable, for settleFor.
func (h *Homes) Settle(s Settlement) {
	h.local.wait.Go(func() {
		ctx, cancel := context.WithTimeout(h.local.ctx, settleFor)
		defer cancel()
		err := h.at(ctx, s.Group, s.Turn, func(ctx context.Context, home Home) error { return home.Settle(ctx, s) },
			func() error { return h.local.Settle(ctx, s) })
		if err != nil {
			// The reservation stays, which can only make the budget smaller.
			h.log.Request("Turn not settled", "id", s.Turn, "group", s.Group, "tokens", s.Used, "err", err)
		}
	})
}

// at runs a change at the home of a group, or here.
func (h *Homes) at(ctx context.Context, g turntree.Group, turn string, there func(context.Context, Home) error, here func() error) error {
	for range homeTries {
		home, ok := h.choose(g, h.passedOver)
		if !ok {
			return here()
		}
		h.local.count(func(c *Counters) { c.Homes++ })
		callCtx, cancel := context.WithTimeout(ctx, homeTimeout)
		err := there(callCtx, home)
		cancel()
		var atStore *StoreError
		switch {
		case err == nil, errors.Is(err, ErrBudget), errors.Is(err, ErrNoTurn):
			h.answered(home.VM())
			return wrap(turn, err)
		case ctx.Err() != nil:
			return wrap(turn, err)
		case errors.As(err, &atStore):
			h.answered(home.VM())
			if !clock.Sleep(ctx, clock.Jitter(homePause)) {
				return wrap(turn, err)
			}
		default:
			h.log.Request("Home did not answer", "id", turn, "group", g, "home", home.VM(), "err", err)
			h.notAnswered(home.VM())
		}
	}
	h.local.count(func(c *Counters) { c.Homeless++ })
	return here()
}

func wrap(turn string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Op: "call of the home", Turn: turn, Err: err}
}

func (h *Homes) passedOver(vm string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Now().Before(h.silent[vm].until)
}

func (h *Homes) answered(vm string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.silent, vm)
}

// notAnswered notes a silent home. Calls that were under way together count once.
func (h *Homes) notAnswered(vm string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, s := time.Now(), h.silent[vm]
	if now.Before(s.until) {
		return
	}
	s.memory = min(max(homeMemory, 2*s.memory), homeMemoryMost)
	s.until = now.Add(s.memory)
	h.silent[vm] = s
}
