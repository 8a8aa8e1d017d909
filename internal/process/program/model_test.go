package program_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hornbeamvale.example/hornbeamvale/internal/process/program"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
	"hornbeamvale.example/hornbeamvale/operator"
)

// testRuns are the runs of the test: two trees, one with parallel sub-agents.
var testRuns = []string{"p:1", "p:1/a", "p:1/b", "p:1/a/c", "p:2"}

// pendingWrite is an entry that is not journaled yet, with the state that it makes
// durable.
type pendingWrite struct {
	entry   *program.JournalEntry
	durable map[program.Key]referenceRun
	done    func()
}

// machine drives a table and the reference model with the same requests.
type machine struct {
	*table
	reference *referenceModel
	durable   map[program.Key]referenceRun
	pending   []pendingWrite
	// inFlight holds the turns that were dispatched and have not ended, by waiter.
	inFlight map[uint64]program.Decision
	// dispatches counts the dispatches of each non-idempotent turn that may have run.
	dispatches map[string]int
	bodies     map[string]string  // recorded bodies by run and turn
	stale      []program.Decision // turns in flight of tables that a takeover replaced
}

func newMachine(t *rapid.T) *machine {
	limit := program.Amount{
		Turns:  rapid.Int64Range(3, 40).Draw(t, "turns"),
		Tokens: rapid.Int64Range(50, 2000).Draw(t, "tokens"), MicroCost: 1 << 40,
	}
	m := &machine{
		table: newTable(t, operator.Budget{Turns: limit.Turns, Tokens: limit.Tokens}), reference: newReferenceModel(limit),
		durable: map[program.Key]referenceRun{}, inFlight: map[uint64]program.Decision{}, dispatches: map[string]int{}, bodies: map[string]string{},
	}
	return m
}

func turnName(k program.Key, turn uint64) string { return fmt.Sprintf("%s#%d", k.Run, turn) }

func (m *machine) journal(e *program.JournalEntry, done func()) {
	if e != nil {
		m.pending = append(m.pending, pendingWrite{entry: e, durable: m.reference.durables(), done: done})
	}
}

// begin sends a request that may be new, ahead of its turn, or a repeat with the same
// or with other content.
func (m *machine) begin(t *rapid.T) {
	m.waiter++
	k := key(rapid.SampledFrom(testRuns).Draw(t, "run"))
	r := m.reference.get(k)
	number := uint64(0)
	if rapid.Bool().Draw(t, "numbered") {
		number = uint64(max(0, int(r.last())+rapid.IntRange(-1, 2).Draw(t, "turn")))
	}
	req := program.TurnRequest{
		Key: k, Kind: rapid.SampledFrom([]program.Kind{program.ModelTurn, program.IdempotentCall, program.NonIdempotentCall}).Draw(t, "kind"),
		Turn: number, RequestID: fmt.Sprintf("~%d", m.waiter), Digest: program.Digest{byte(rapid.IntRange(1, 2).Draw(t, "digest"))},
		Endpoint: "e", Reserve: program.Amount{Turns: 1, Tokens: rapid.Int64Range(1, 60).Draw(t, "reserve")},
		Budget: m.budget, Deadline: m.now.Add(time.Duration(rapid.IntRange(0, 2).Draw(t, "wait")) * time.Second), Waiter: m.waiter,
	}
	if rapid.Bool().Draw(t, "with id") {
		req.RequestID = fmt.Sprintf("k%d", rapid.IntRange(1, 6).Draw(t, "id"))
	}
	d := m.Begin(m.now, req)
	m.noteBudgetRefusal(d)
	m.check(t, req, m.reference.begin(req, !req.Deadline.After(m.now)), d)
	m.started(t, d)
}

// noteBudgetRefusal tells the reference model of a refusal for the budget. The table
// may refuse earlier than the model where a takeover has lost reservations.
func (m *machine) noteBudgetRefusal(d program.Decision) {
	if d.Verdict == program.Refuse && d.Refusal.Code == refusal.BudgetExhausted {
		m.reference.early[d.Waiter] = true
	}
}

// check compares a decision of the table with that of the reference model.
func (m *machine) check(t *rapid.T, req program.TurnRequest, want answer, d program.Decision) {
	got := answer{verdict: d.Verdict, turn: d.Turn}
	switch d.Verdict {
	case program.DispatchAfterCommit:
		got.verdict = program.Dispatch
	case program.Refuse:
		got.code, got.run = d.Refusal.Code, d.Refusal.Run
	}
	require.Equal(t, want, got, "request %+v: %v", req, d.Refusal)
	if d.Verdict == program.Replay {
		require.Equal(t, m.bodies[turnName(req.Key, d.Turn)], m.store.bodies[*d.Segments[0].Body], "replayed another answer")
	}
}

// started handles a decision to run a turn: it dispatches the turn, at once or when
// its entry is durable.
func (m *machine) started(t *rapid.T, d program.Decision) {
	if d.Verdict == program.Dispatch || d.Verdict == program.DispatchAfterCommit {
		m.checkHistory(t, d)
	}
	switch d.Verdict {
	case program.Dispatch:
		m.dispatch(t, d)
	case program.DispatchAfterCommit:
		require.NotNil(t, d.Entry)
		m.journal(d.Entry, func() { m.dispatch(t, d) })
	}
}

// checkHistory compares the history of a model turn with the recorded bodies.
func (m *machine) checkHistory(t *rapid.T, d program.Decision) {
	r := m.reference.get(d.Key)
	if r.current.request.Kind != program.ModelTurn {
		return
	}
	var want, got string
	for _, turn := range r.turns {
		if turn.request.Kind == program.ModelTurn && !turn.settled {
			want += m.bodies[turnName(d.Key, turn.number)]
		}
	}
	for _, s := range d.Segments {
		got += m.store.bodies[*s.Body]
	}
	require.Equal(t, want, got, "the history is not that of the run's model turns")
}

// dispatch puts a turn in flight. A non-idempotent call must not have been dispatched
// before, unless that dispatch is known not to have run.
func (m *machine) dispatch(t *rapid.T, d program.Decision) {
	c := m.reference.get(d.Key).current
	m.inFlight[d.Waiter] = d
	if c.request.Kind == program.NonIdempotentCall {
		m.dispatches[turnName(d.Key, d.Turn)]++
		require.Equal(t, 1, m.dispatches[turnName(d.Key, d.Turn)], "the call was dispatched twice")
	}
	sum := m.reference.spent[root(d.Key.Run)].Plus(m.reference.reserved(d.Key))
	require.True(t, sum.Within(m.reference.limit), "spending %+v of %+v", sum, m.reference.limit)
}

// pickInFlight removes and returns a turn in flight.
func (m *machine) pickInFlight(t *rapid.T) (program.Decision, bool) {
	if len(m.inFlight) == 0 {
		return program.Decision{}, false
	}
	waiters := slices.Sorted(maps.Keys(m.inFlight))
	d := m.inFlight[rapid.SampledFrom(waiters).Draw(t, "turn in flight")]
	delete(m.inFlight, d.Waiter)
	return d, true
}

func (m *machine) finish(t *rapid.T) {
	d, ok := m.pickInFlight(t)
	if !ok {
		return
	}
	c := m.reference.get(d.Key).current
	spent := program.Amount{Turns: 1, Tokens: rapid.Int64Range(0, c.reserved.Tokens).Draw(t, "spent")}
	text := fmt.Sprintf("<%s by %d>", turnName(d.Key, d.Turn), d.Waiter)
	m.bodies[turnName(d.Key, d.Turn)] = text
	e := m.Finish(m.now, d.Key, d.Waiter, program.Result{Body: []byte(text), Spent: spent})
	require.NotNil(t, e)
	m.reference.finish(d.Key, spent)
	m.journal(e, func() {
		m.Committed(m.now, d.Key, d.Waiter)
		m.reference.get(d.Key).current = nil
		m.checkReady(t, func() map[uint64]answer { return m.reference.wake(d.Key) })
	})
}

func (m *machine) abort(t *rapid.T) {
	d, ok := m.pickInFlight(t)
	if !ok {
		return
	}
	state := rapid.SampledFrom([]refusal.RunState{refusal.NotRun, refusal.Unknown}).Draw(t, "state")
	if state == refusal.NotRun {
		delete(m.dispatches, turnName(d.Key, d.Turn))
	}
	e := m.Abort(m.now, d.Key, d.Waiter, state)
	m.reference.abort(d.Key, state)
	m.journal(e, nil)
	m.checkReady(t, func() map[uint64]answer { return m.reference.wake(d.Key) })
}

// settle settles a call with an unknown outcome, or tries to where there is none.
func (m *machine) settle(t *rapid.T) {
	k := key(rapid.SampledFrom(testRuns).Draw(t, "run"))
	outcome := rapid.SampledFrom([]refusal.RunState{refusal.Ran, refusal.NotRun}).Draw(t, "outcome")
	unknown := m.reference.get(k).unknown
	id := "k9"
	if unknown != nil && rapid.Bool().Draw(t, "right id") {
		id = unknown.request.RequestID
	}
	e, why := m.Settle(m.now, k, id, outcome)
	if unknown == nil || id == "k9" {
		require.NotNil(t, why)
		return
	}
	require.Nil(t, why)
	if outcome == refusal.NotRun {
		delete(m.dispatches, turnName(k, unknown.number))
	}
	m.reference.settle(k, outcome)
	m.journal(e, nil)
	m.checkReady(t, func() map[uint64]answer { return m.reference.wake(k) })
}

func (m *machine) end(t *rapid.T) {
	k := key(rapid.SampledFrom(testRuns).Draw(t, "run"))
	entries, why := m.End(m.now, k)
	require.Nil(t, why)
	ended := map[program.Key]bool{}
	for _, e := range entries {
		ended[e.Keys()[0]] = true
	}
	waiting, must := m.reference.end(k, func(k program.Key) bool { return ended[k] })
	for _, k := range must {
		require.True(t, ended[k], "run %s was not ended", k.Run)
	}
	want := map[uint64]answer{}
	for _, req := range waiting {
		want[req.Waiter] = refused(refusal.ProgramEnded, m.reference.get(req.Key).known(req))
	}
	for _, e := range entries {
		m.journal(e, nil)
	}
	m.checkReady(t, func() map[uint64]answer { return want })
}

// checkReady compares the decisions on requests that had waited with those that
// decide returns.
func (m *machine) checkReady(t *rapid.T, decide func() map[uint64]answer) {
	ready := m.Ready()
	for _, d := range ready {
		m.noteBudgetRefusal(d)
	}
	want := decide()
	for _, d := range ready {
		a, ok := want[d.Waiter]
		require.True(t, ok, "request %d was answered: %v", d.Waiter, d.Refusal)
		delete(want, d.Waiter)
		m.check(t, program.TurnRequest{Key: d.Key, Waiter: d.Waiter}, a, d)
		m.started(t, d)
	}
	require.Empty(t, want, "requests that should have been answered")
}

// commit makes some of the pending entries durable as one batch.
func (m *machine) commit(t *rapid.T) {
	if len(m.pending) == 0 {
		return
	}
	n := rapid.IntRange(1, len(m.pending)).Draw(t, "records")
	batch := m.pending[:n]
	m.pending = slices.Clone(m.pending[n:])
	entries := make([]*program.JournalEntry, n)
	for i, w := range batch {
		entries[i] = w.entry
	}
	written := m.store.commit(t, m.Runs, entries...)
	for _, k := range written {
		for _, w := range slices.Backward(batch) {
			if slices.Contains(w.entry.Keys(), k) {
				m.durable[k] = w.durable[k]
				break
			}
		}
	}
	for _, w := range batch {
		if w.done != nil {
			w.done()
		}
	}
}

// takeover replaces the table by a new one that is loaded from what was journaled.
func (m *machine) takeover(*rapid.T) {
	for _, d := range m.inFlight {
		m.stale = append(m.stale, d)
	}
	m.reference.restore(m.durable, func(waiter uint64) bool { _, ok := m.inFlight[waiter]; return ok })
	m.inFlight, m.pending = map[uint64]program.Decision{}, nil
	m.table.takeover()
}

// finishStale ends turns that were granted by a table that a takeover replaced.
func (m *machine) finishStale(t *rapid.T) {
	for _, d := range m.stale {
		require.Nil(t, m.Finish(m.now, d.Key, d.Waiter, program.Result{Body: []byte("late")}))
		require.Nil(t, m.Abort(m.now, d.Key, d.Waiter, refusal.Unknown))
	}
	m.stale = nil
}

// advance moves the clock by one second and checks which requests stop waiting.
func (m *machine) advance(t *rapid.T) {
	m.now = m.now.Add(time.Second)
	want := map[uint64]answer{}
	for _, r := range m.reference.runs {
		r.waiting = slices.DeleteFunc(r.waiting, func(req program.TurnRequest) bool {
			if req.Deadline.After(m.now) {
				return false
			}
			want[req.Waiter] = refused(refusal.TurnEarly, r.known(req))
			return true
		})
	}
	m.ExpireWaiters(m.now)
	m.checkReady(t, func() map[uint64]answer { return want })
	require.Empty(t, m.Expire(m.now, func(string) time.Duration { return idleBound }), "nothing is idle yet")
}

// TestTableMatchesReferenceModel guards against turns out of order, lost or mixed
// histories, calls that run twice, overspent budgets and false refusals. Every
// decision must be that of a single process without failures, whose state returns at
// a takeover to what was journaled.
func TestTableMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"begin": m.begin, "begin2": m.begin, "begin3": m.begin, "finish": m.finish, "finish2": m.finish, "abort": m.abort,
			"commit": m.commit, "commit2": m.commit, "settle": m.settle, "end": func(t *rapid.T) {
				if rapid.IntRange(0, 5).Draw(t, "seldom") == 0 {
					m.end(t)
				}
			}, "pass": m.advance, "late": m.finishStale, "takeover": func(t *rapid.T) {
				if rapid.IntRange(0, 2).Draw(t, "seldom") == 0 {
					m.takeover(t)
				}
			},
		})
	})
}
