package program_test

import (
	"flag"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/process/journal"
	"hornbeamvale.example/hornbeamvale/internal/process/platform"
	"hornbeamvale.example/hornbeamvale/internal/process/program"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
	"hornbeamvale.example/hornbeamvale/operator"
)

// The seed is fixed so that a run can be repeated; -rapid.seed overrides it. With
// these numbers of checks and steps the test fails if any rule of the table is
// removed.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "1500")
	_ = flag.Set("rapid.steps", "60")
}

const (
	customer = "windward"
	// idleBound is the idle bound of every run in these tests.
	idleBound = 15 * time.Minute
)

var start = time.Unix(1_000_000, 0)

func key(run string) program.Key { return program.Key{Customer: customer, Run: run} }

// store holds the rows and bodies that were committed to the platform.
type store struct {
	rows   map[program.Key]program.Record
	bodies map[journal.BodyRef]string
	batch  int
}

func newStore() *store {
	return &store{rows: map[program.Key]program.Record{}, bodies: map[journal.BodyRef]string{}}
}

// commit writes entries as one batch, reports them to the table as durable and
// returns the keys of the rows.
func (s *store) commit(t require.TestingT, runs *program.Runs, entries ...*program.JournalEntry) []program.Key {
	s.batch++
	var object string
	var written []program.Key
	refs := make([]journal.BodyRef, len(entries))
	for i, e := range entries {
		refs[i] = journal.BodyRef{Object: "journal/a/" + strconv.Itoa(s.batch), Offset: int64(len(object)), Length: int64(len(e.Body))}
		object += string(e.Body)
	}
	for i, e := range entries {
		for _, w := range e.Writes(refs[i]) {
			k, slot, ok := program.ParseRowKey(w.Key.Key)
			require.True(t, ok)
			require.Equal(t, e.Slot, slot)
			written = append(written, k)
			if w.Delete {
				delete(s.rows, k)
				continue
			}
			record, err := program.DecodeRecord(platform.Row{Key: w.Key, Value: w.Value})
			require.NoError(t, err)
			s.rows[k] = record
			for _, segment := range record.Segments {
				b := *segment.Body
				if b.Object == refs[i].Object {
					s.bodies[b] = object[b.Offset : b.Offset+b.Length]
				}
			}
		}
	}
	for _, e := range entries {
		runs.MarkDurable(e)
	}
	return written
}

// table is a table of runs with its store. waiter is the last waiter in use.
type table struct {
	*program.Runs
	t      require.TestingT
	store  *store
	budget operator.Budget
	now    time.Time
	waiter uint64
}

func newTable(t require.TestingT, budget operator.Budget) *table {
	tb := &table{t: t, store: newStore(), budget: budget, now: start}
	tb.takeover()
	return tb
}

// takeover replaces the table by one that is loaded from the store.
func (tb *table) takeover() {
	tb.Runs = program.NewRuns()
	for _, run := range []string{"p:1", "p:2"} {
		tb.reload(run)
	}
}

// reload loads the slot of a run from the store.
func (tb *table) reload(run string) {
	slot := key(run).Slot()
	rows := map[program.Key]program.Record{}
	for k, r := range tb.store.rows {
		if k.Slot() == slot {
			rows[k] = r
		}
	}
	tb.Load(slot, rows, func(string) operator.Budget { return tb.budget })
}

// modelTurn returns a request for a model turn with the given number.
func (tb *table) modelTurn(run string, turn uint64) program.TurnRequest {
	tb.waiter++
	return program.TurnRequest{
		Key: key(run), Kind: program.ModelTurn, Turn: turn, RequestID: fmt.Sprintf("~%d", tb.waiter), Digest: program.Digest{byte(turn)},
		Endpoint: "e", Reserve: program.Amount{Turns: 1, Tokens: 10}, Budget: tb.budget, Deadline: tb.now.Add(2 * time.Second), Waiter: tb.waiter,
	}
}

// nonIdempotent returns a request for a non-idempotent call.
func (tb *table) nonIdempotent(run string, turn uint64, id string) program.TurnRequest {
	req := tb.modelTurn(run, turn)
	req.Kind, req.RequestID = program.NonIdempotentCall, id
	return req
}

// begin starts a turn and commits the entry that it needs.
func (tb *table) begin(req program.TurnRequest) program.Decision {
	d := tb.Begin(tb.now, req)
	if d.Verdict == program.DispatchAfterCommit {
		tb.store.commit(tb.t, tb.Runs, d.Entry)
	}
	return d
}

// runTurn runs a turn until its result is durable.
func (tb *table) runTurn(req program.TurnRequest) program.Decision {
	d := tb.begin(req)
	require.Contains(tb.t, []program.Verdict{program.Dispatch, program.DispatchAfterCommit}, d.Verdict, "%v", d.Refusal)
	tb.finish(d, program.Result{Body: []byte(body(req.Key, d.Turn)), Spent: req.Reserve, Holder: program.Holder{Endpoint: "e", Replica: "r1"}})
	return d
}

func (tb *table) finish(d program.Decision, res program.Result) {
	e := tb.Finish(tb.now, d.Key, d.Waiter, res)
	require.NotNil(tb.t, e)
	tb.store.commit(tb.t, tb.Runs, e)
	tb.Committed(tb.now, d.Key, d.Waiter)
}

func body(k program.Key, turn uint64) string { return fmt.Sprintf("<%s %d>", k.Run, turn) }

// TestEndIsDurableInAnyOrderOfEntries guards against the loss of a program's end at a
// takeover. The entries of sub-agents also carry the root's row, which must not be
// older than that in the root's entry.
func TestEndIsDurableInAnyOrderOfEntries(t *testing.T) {
	for range 20 { // the order of the entries follows a map
		tb := newTable(t, operator.Budget{})
		tb.runTurn(tb.modelTurn("p:1", 1))
		for _, child := range []string{"p:1/a", "p:1/b", "p:1/c"} {
			tb.runTurn(tb.modelTurn(child, 1))
		}
		entries, why := tb.End(tb.now, key("p:1"))
		require.Nil(t, why)
		require.Len(t, entries, 4)
		tb.store.commit(t, tb.Runs, append(entries[1:], entries[0])...)
		for k, r := range tb.store.rows {
			require.Equal(t, program.Ended, r.Status, "run %s", k.Run)
		}
	}
}

// TestEntryOfWaitingRequestIsNotStale guards against a row that is journaled after a
// newer one of the same run. The entry of a request that waited is formed when Ready
// returns the decision, not earlier.
func TestEntryOfWaitingRequestIsNotStale(t *testing.T) {
	tb := newTable(t, operator.Budget{Turns: 100})
	first := tb.begin(tb.modelTurn("p:1", 1))
	require.Equal(t, program.Wait, tb.Begin(tb.now, tb.nonIdempotent("p:1", 2, "pay")).Verdict)
	e := tb.Finish(tb.now, first.Key, first.Waiter, program.Result{Body: []byte("x")})
	tb.store.commit(t, tb.Runs, e)
	tb.Committed(tb.now, first.Key, first.Waiter) // grants the non-idempotent call
	ended, why := tb.End(tb.now, key("p:1"))
	require.Nil(t, why)
	ready := tb.Ready()
	require.Len(t, ready, 1)
	tb.store.commit(t, tb.Runs, append(ended, ready[0].Entry)...)
	require.Equal(t, program.Ended, tb.store.rows[key("p:1")].Status)
	require.NotNil(t, tb.store.rows[key("p:1")].Intent)
}

// TestDurableCeilingDoesNotShrink guards against spending that is lost at a takeover:
// a later row must not lower a ceiling that may already be spent.
func TestDurableCeilingDoesNotShrink(t *testing.T) {
	tb := newTable(t, operator.Budget{Tokens: 1000})
	tb.runTurn(tb.modelTurn("p:1", 1))
	child := tb.modelTurn("p:1/a", 1)
	child.Reserve.Tokens = 100
	d := tb.Begin(tb.now, child)
	require.Equal(t, program.DispatchAfterCommit, d.Verdict)
	aborted := tb.Abort(tb.now, d.Key, d.Waiter, refusal.NotRun)
	require.Nil(t, aborted)
	ended, why := tb.End(tb.now, key("p:1/a"))
	require.Nil(t, why)
	tb.store.commit(t, tb.Runs, append([]*program.JournalEntry{d.Entry}, ended...)...)
	big := tb.modelTurn("p:1", 2)
	big.Reserve.Tokens = 290
	d = tb.Begin(tb.now, big)
	if d.Verdict == program.Dispatch {
		require.GreaterOrEqual(t, tb.store.rows[key("p:1")].Ceiling.Tokens, int64(300), "dispatched without a durable reservation")
	}
}

// TestUnknownOutcomeSurvivesEndOfProgram guards against a false "not run": a call with
// an unknown outcome stays unknown after its program has ended.
func TestUnknownOutcomeSurvivesEndOfProgram(t *testing.T) {
	tb := newTable(t, operator.Budget{})
	d := tb.begin(tb.nonIdempotent("p:1", 1, "pay"))
	tb.store.commit(t, tb.Runs, tb.Abort(tb.now, d.Key, d.Waiter, refusal.Unknown))
	ended, why := tb.End(tb.now, key("p:1"))
	require.Nil(t, why)
	tb.store.commit(t, tb.Runs, ended...)
	requireRefused(t, tb.begin(tb.nonIdempotent("p:1", 1, "pay")), refusal.OutcomeUnknown, refusal.Unknown)
	requireRefused(t, tb.begin(tb.nonIdempotent("p:1", 2, "pay2")), refusal.ProgramEnded, refusal.NotRun)
	e, why := tb.Settle(tb.now, key("p:1"), "pay", refusal.Ran)
	require.Nil(t, why)
	tb.store.commit(t, tb.Runs, e)
	requireRefused(t, tb.begin(tb.nonIdempotent("p:1", 1, "pay")), refusal.OutcomeUnknown, refusal.Ran)
}

func requireRefused(t require.TestingT, d program.Decision, code refusal.Code, run refusal.RunState) {
	require.Equal(t, program.Refuse, d.Verdict)
	require.Equal(t, code, d.Refusal.Code, "%v", d.Refusal)
	require.Equal(t, run, d.Refusal.Run, "%v", d.Refusal)
}

// TestSettleByTurnNumber guards against a call that cannot be settled: a caller that
// gave no request id identifies the call by its turn number.
func TestSettleByTurnNumber(t *testing.T) {
	tb := newTable(t, operator.Budget{})
	d := tb.begin(tb.nonIdempotent("p:1", 1, "~made-up"))
	tb.store.commit(t, tb.Runs, tb.Abort(tb.now, d.Key, d.Waiter, refusal.Unknown))
	_, why := tb.Settle(tb.now, key("p:1"), "2", refusal.Ran)
	require.NotNil(t, why)
	_, why = tb.Settle(tb.now, key("p:1"), "1", refusal.Ran)
	require.Nil(t, why)
}

// TestBusySubAgentKeepsRootActive guards against a program that is ended as idle while
// a sub-agent works, and against a root without a turn of its own that counts as idle
// since 1970.
func TestBusySubAgentKeepsRootActive(t *testing.T) {
	tb := newTable(t, operator.Budget{})
	d := tb.begin(tb.modelTurn("p:1/a", 1))
	tb.now = tb.now.Add(2 * idleBound)
	tb.expire()
	tb.finish(d, program.Result{Body: []byte("x")})
	tb.expire()
	require.Equal(t, program.Wait, tb.Begin(tb.now, tb.modelTurn("p:1", 2)).Verdict, "the root was ended while its sub-agent ran")
	tb.now = tb.now.Add(idleBound + 2*time.Second)
	tb.ExpireWaiters(tb.now)
	tb.expire()
	requireRefused(t, tb.begin(tb.modelTurn("p:1/a", 2)), refusal.ProgramEnded, refusal.NotRun)
	requireRefused(t, tb.begin(tb.modelTurn("p:1", 1)), refusal.ProgramEnded, refusal.NotRun)
}

// TestUnknownOutcomeOfSubAgentKeepsRootActive guards against a program that is ended
// as idle although a call of a sub-agent has an unknown outcome: the program stays
// active until the call is settled.
func TestUnknownOutcomeOfSubAgentKeepsRootActive(t *testing.T) {
	tb := newTable(t, operator.Budget{})
	tb.runTurn(tb.modelTurn("p:1", 1))
	d := tb.begin(tb.nonIdempotent("p:1/a", 1, "pay"))
	tb.store.commit(t, tb.Runs, tb.Abort(tb.now, d.Key, d.Waiter, refusal.Unknown))
	tb.now = tb.now.Add(2 * idleBound)
	tb.expire()
	require.Equal(t, program.Active, tb.store.rows[key("p:1")].Status)
}

// TestRefusedRequestLeavesNoRun guards against runs that refused requests leave in the
// table and that later count as ended programs.
func TestRefusedRequestLeavesNoRun(t *testing.T) {
	tb := newTable(t, operator.Budget{Tokens: 5})
	requireRefused(t, tb.begin(tb.modelTurn("p:1/a", 1)), refusal.BudgetExhausted, refusal.NotRun)
	require.Equal(t, program.Wait, tb.Begin(tb.now, tb.modelTurn("p:2", 3)).Verdict)
	tb.now = tb.now.Add(3 * time.Second)
	tb.ExpireWaiters(tb.now)
	tb.expire()
	tb.expire() // each check removes one level of a tree, from the leaves up
	require.Zero(t, tb.Count())
	require.Empty(t, tb.store.rows)
}

// TestTurnOfEarlierOwnershipIsIgnored guards against an answer that is recorded for
// another request: a turn that was granted before the slot was lost must not end the
// turn that was granted after the slot was regained.
func TestTurnOfEarlierOwnershipIsIgnored(t *testing.T) {
	tb := newTable(t, operator.Budget{})
	old := tb.begin(tb.modelTurn("p:1", 1))
	tb.Drop(key("p:1").Slot())
	tb.reload("p:1")
	again := tb.begin(tb.modelTurn("p:1", 1))
	require.Contains(t, []program.Verdict{program.Dispatch, program.DispatchAfterCommit}, again.Verdict)
	require.Nil(t, tb.Finish(tb.now, old.Key, old.Waiter, program.Result{Body: []byte("old")}))
	require.Nil(t, tb.Abort(tb.now, old.Key, old.Waiter, refusal.Unknown))
	tb.finish(again, program.Result{Body: []byte("new")})
}

// TestAffinityIsTheLastHolder guards against a program that is routed to a replica
// that served an earlier turn instead of the one that served the last turn.
func TestAffinityIsTheLastHolder(t *testing.T) {
	tb := newTable(t, operator.Budget{})
	for turn, replica := range []string{"r1", "r2", "r1"} {
		d := tb.begin(tb.modelTurn("p:1", uint64(turn+1)))
		tb.finish(d, program.Result{Body: []byte("x"), Holder: program.Holder{Endpoint: "e", Replica: replica}})
	}
	require.Equal(t, "r1", tb.begin(tb.modelTurn("p:1", 4)).Affinity.Replica)
}

// TestReleasesSurviveTakeovers guards against engine memory that is never freed, and
// against a record that is deleted while a replica still holds cache, also after a
// takeover.
func TestReleasesSurviveTakeovers(t *testing.T) {
	tb := newTable(t, operator.Budget{})
	tb.runTurn(tb.modelTurn("p:1", 1))
	d := tb.begin(tb.modelTurn("p:1", 2))
	require.Empty(t, tb.DueReleases(), "the program is in progress")
	ended, _ := tb.End(tb.now, key("p:1"))
	tb.store.commit(t, tb.Runs, ended...)
	require.Empty(t, tb.DueReleases(), "a turn is in flight and may fill a cache")
	tb.finish(d, program.Result{Body: []byte("x"), Holder: program.Holder{Endpoint: "e", Replica: "r2"}})
	require.Len(t, tb.DueReleases(), 2)
	tb.takeover()
	due := tb.DueReleases()
	require.Len(t, due, 2)
	tb.store.commit(t, tb.Runs, tb.ConfirmRelease(due[0]))
	require.Nil(t, tb.ConfirmRelease(due[0]), "a repeated confirmation changes nothing")
	tb.now = tb.now.Add(100 * time.Hour)
	tb.expire()
	require.Len(t, tb.DueReleases(), 1, "the record must stay until every replica has confirmed")
	tb.store.commit(t, tb.Runs, tb.ConfirmRelease(due[1]))
	tb.expire()
	require.Empty(t, tb.store.rows)
	require.Zero(t, tb.Count())
}

// expire runs the periodic check and commits the entries that it returns.
func (tb *table) expire() {
	tb.store.commit(tb.t, tb.Runs, tb.Expire(tb.now, func(string) time.Duration { return idleBound })...)
}

// TestRepeatOfRunningCallIsNeverNotRun guards against refusing a repeat with "not run"
// while its call is running: when its wait ends, when the owner begins a handover during
// the wait, and when the repeat arrives during the handover.
func TestRepeatOfRunningCallIsNeverNotRun(t *testing.T) {
	tb := newTable(t, operator.Budget{})
	call := tb.nonIdempotent("p:1", 1, "transfer-1")
	tb.begin(call)
	repeat := tb.nonIdempotent("p:1", 1, "transfer-1")
	repeat.RepeatDeadline = tb.now.Add(time.Minute)

	d := tb.begin(repeat)
	require.Equal(t, program.Wait, d.Verdict)
	require.True(t, d.Repeat)
	tb.now = tb.now.Add(30 * time.Second)
	tb.ExpireWaiters(tb.now)
	require.Empty(t, tb.Ready(), "a repeat waits as long as its call may take")
	tb.now = tb.now.Add(31 * time.Second)
	tb.ExpireWaiters(tb.now)
	requireRefused(t, tb.Ready()[0], refusal.TurnEarly, refusal.Unknown)

	repeat.RepeatDeadline = tb.now.Add(time.Minute)
	tb.begin(repeat)
	tb.Drain(key("p:1").Slot())
	requireRefused(t, tb.Ready()[0], refusal.OwnerUnavailable, refusal.Unknown)
	requireRefused(t, tb.begin(repeat), refusal.OwnerUnavailable, refusal.Unknown)
	requireRefused(t, tb.begin(tb.nonIdempotent("p:1", 2, "other")), refusal.OwnerUnavailable, refusal.NotRun)
}
