package program_test

import (
	"maps"
	"slices"
	"strings"

	"hornbeamvale.example/hornbeamvale/internal/process/program"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// referenceModel implements the rules of the design page for one process that never
// fails: one map of runs and decisions in the order of the requests, without a
// journal.
type referenceModel struct {
	runs  map[program.Key]*referenceRun
	limit program.Amount
	// spent is an upper bound of what each root's tree has spent: a call whose end
	// was not seen counts with its reservation.
	spent map[string]program.Amount
	// inexact marks roots whose reservations may have been lost in a takeover, so
	// that the table may refuse for the budget earlier than this model. early holds
	// the waiters of requests that the table refused for the budget.
	inexact map[string]bool
	early   map[uint64]bool
}

// referenceTurn is a completed turn.
type referenceTurn struct {
	number  uint64
	request program.TurnRequest
	settled bool // settled as run by the caller, without an answer
}

// referenceCall is a turn in flight.
type referenceCall struct {
	number   uint64
	request  program.TurnRequest
	reserved program.Amount
}

type referenceRun struct {
	ended   bool
	turns   []referenceTurn
	unknown *referenceCall
	current *referenceCall
	waiting []program.TurnRequest
}

// answer is the decision on a request.
type answer struct {
	verdict program.Verdict // Dispatch stands for DispatchAfterCommit too
	code    refusal.Code
	run     refusal.RunState
	turn    uint64
}

func refused(code refusal.Code, run refusal.RunState) answer {
	return answer{verdict: program.Refuse, code: code, run: run}
}

func newReferenceModel(limit program.Amount) *referenceModel {
	return &referenceModel{runs: map[program.Key]*referenceRun{}, limit: limit, spent: map[string]program.Amount{}, inexact: map[string]bool{}, early: map[uint64]bool{}}
}

func root(run string) string {
	r, _, _ := strings.Cut(run, "/")
	return r
}

func (m *referenceModel) get(k program.Key) *referenceRun {
	if m.runs[k] == nil {
		m.runs[k] = &referenceRun{}
	}
	return m.runs[k]
}

// sameCall says whether a request repeats a call. It compares the ids if both were
// given by callers or are equal, else the turn numbers.
func sameCall(call program.TurnRequest, number uint64, req program.TurnRequest) bool {
	if call.RequestID == req.RequestID {
		return true
	}
	bothGiven := !strings.HasPrefix(call.RequestID, "~") && !strings.HasPrefix(req.RequestID, "~")
	return !bothGiven && req.Turn == number
}

// repeats says whether a request repeats the turn in flight.
func (r *referenceRun) repeats(req program.TurnRequest) bool {
	return r.current != nil && sameCall(r.current.request, r.current.number, req)
}

// known returns what a refusal may state about the execution of a request: unknown
// for a repeat of the turn in flight, else not run.
func (r *referenceRun) known(req program.TurnRequest) refusal.RunState {
	if r.repeats(req) {
		return refusal.Unknown
	}
	return refusal.NotRun
}

func (r *referenceRun) last() uint64 {
	if len(r.turns) == 0 {
		return 0
	}
	return r.turns[len(r.turns)-1].number
}

// begin decides on a request.
func (m *referenceModel) begin(req program.TurnRequest, deadlineOver bool) answer {
	r := m.get(req.Key)
	wait := answer{verdict: program.Wait}
	if deadlineOver {
		wait = refused(refusal.TurnEarly, r.known(req))
	}
	if r.repeats(req) {
		return m.enqueue(r, req, wait)
	}
	for _, t := range r.turns {
		if t.settled && sameCall(t.request, t.number, req) {
			return refused(refusal.OutcomeUnknown, refusal.Ran)
		}
	}
	for _, t := range r.turns {
		if !t.settled && sameCall(t.request, t.number, req) {
			if t.request.Digest != req.Digest {
				return refused(refusal.TurnConflict, refusal.NotRun)
			}
			return answer{verdict: program.Replay, turn: t.number}
		}
	}
	switch {
	case req.Turn > 0 && req.Turn <= r.last():
		return refused(refusal.TurnConflict, refusal.Ran)
	case r.unknown != nil && sameCall(r.unknown.request, r.unknown.number, req):
		return refused(refusal.OutcomeUnknown, refusal.Unknown)
	case r.ended || m.get(program.Key{Customer: req.Key.Customer, Run: root(req.Key.Run)}).ended:
		return refused(refusal.ProgramEnded, refusal.NotRun)
	case r.unknown != nil:
		return refused(refusal.OutcomeUnknown, refusal.NotRun)
	case r.current != nil || req.Turn > r.last()+1:
		return m.enqueue(r, req, wait)
	}
	early := m.inexact[root(req.Key.Run)] && m.early[req.Waiter]
	if early || !m.spent[root(req.Key.Run)].Plus(m.reserved(req.Key)).Plus(req.Reserve).Within(m.limit) {
		return refused(refusal.BudgetExhausted, refusal.NotRun)
	}
	r.current = &referenceCall{number: r.last() + 1, request: req, reserved: req.Reserve}
	return answer{verdict: program.Dispatch, turn: r.current.number}
}

func (m *referenceModel) enqueue(r *referenceRun, req program.TurnRequest, wait answer) answer {
	if wait.verdict == program.Wait {
		r.waiting = append(r.waiting, req)
	}
	return wait
}

// reserved returns the sum of the reservations in flight in the tree of a run.
func (m *referenceModel) reserved(k program.Key) program.Amount {
	var sum program.Amount
	for other, r := range m.runs {
		if r.current != nil && root(other.Run) == root(k.Run) {
			sum = sum.Plus(r.current.reserved)
		}
	}
	return sum
}

// finish records the end of the turn in flight. The turn stays the current one until
// its entry is committed.
func (m *referenceModel) finish(k program.Key, spent program.Amount) {
	r := m.get(k)
	m.charge(k, spent)
	r.current.reserved = program.Amount{}
	r.turns = append(r.turns, referenceTurn{number: r.current.number, request: r.current.request})
}

func (m *referenceModel) charge(k program.Key, a program.Amount) {
	m.spent[root(k.Run)] = m.spent[root(k.Run)].Plus(a)
}

// abort ends the turn in flight, which got no answer.
func (m *referenceModel) abort(k program.Key, state refusal.RunState) {
	r := m.get(k)
	if state != refusal.NotRun {
		m.charge(k, r.current.reserved)
		if r.current.request.Kind == program.NonIdempotentCall {
			r.unknown = r.current
		}
	}
	r.current = nil
}

func (m *referenceModel) settle(k program.Key, outcome refusal.RunState) {
	r := m.get(k)
	if outcome == refusal.Ran {
		r.turns = append(r.turns, referenceTurn{number: r.unknown.number, request: r.unknown.request, settled: true})
	}
	r.unknown = nil
}

// started says whether a run has had a turn.
func (r *referenceRun) started() bool {
	return len(r.turns) > 0 || r.current != nil || r.unknown != nil
}

// end ends a run and its sub-agents. It returns the requests that are refused and
// the runs that the table must end. Ending a run that had no turn is optional.
func (m *referenceModel) end(k program.Key, optional func(program.Key) bool) (waiting []program.TurnRequest, must []program.Key) {
	for other, r := range m.runs {
		if r.ended || (other.Run != k.Run && !strings.HasPrefix(other.Run, k.Run+"/")) {
			continue
		}
		if r.started() {
			must = append(must, other)
		} else if !optional(other) {
			continue
		}
		r.ended = true
		waiting = append(waiting, r.waiting...)
		r.waiting = nil
	}
	return waiting, must
}

// wake decides again on the requests that wait for a run.
func (m *referenceModel) wake(k program.Key) map[uint64]answer {
	r := m.get(k)
	waiting := r.waiting
	r.waiting = nil
	answers := map[uint64]answer{}
	for _, req := range waiting {
		if a := m.begin(req, false); a.verdict != program.Wait {
			answers[req.Waiter] = a
		}
	}
	return answers
}

// durable returns the state of a run that survives a takeover: no call in flight, no
// waiting request, and a non-idempotent call in flight as one with an unknown outcome.
func (r *referenceRun) durable() referenceRun {
	d := referenceRun{ended: r.ended, turns: slices.Clone(r.turns), unknown: r.unknown}
	if c := r.current; c != nil && c.request.Kind == program.NonIdempotentCall && r.last() != c.number {
		d.unknown = c
	}
	return d
}

// durables returns the durable state of all runs.
func (m *referenceModel) durables() map[program.Key]referenceRun {
	d := map[program.Key]referenceRun{}
	for k, r := range m.runs {
		d[k] = r.durable()
	}
	return d
}

// restore replaces the runs by their durable state. Calls that were in flight count
// as having spent their reservations.
func (m *referenceModel) restore(durable map[program.Key]referenceRun, dispatched func(waiter uint64) bool) {
	for k, r := range m.runs {
		if c := r.current; c != nil && dispatched(c.request.Waiter) {
			m.charge(k, c.reserved)
		}
		m.inexact[root(k.Run)] = true
	}
	m.runs = map[program.Key]*referenceRun{}
	for k, r := range maps.All(durable) {
		m.runs[k] = &r
	}
}
