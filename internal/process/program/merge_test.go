package program_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hornbeamvale.example/hornbeamvale/internal/process/journal"
	"hornbeamvale.example/hornbeamvale/internal/process/program"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
	"hornbeamvale.example/hornbeamvale/operator"
)

const (
	// longRunTurns is the largest number of turns of a program at the target load.
	longRunTurns = 430
	// maxReferences and maxRewrites are the bounds of design.md, section 5.
	maxReferences = 48
	maxRewrites   = 3
	// replayWindow is the number of most recent turns that can be replayed.
	replayWindow = 16
)

// longRun runs one program over many turns and merges segments as the goroutine of a
// turn does.
type longRun struct {
	*table
	bodies    []string // bodies of all turns
	history   string   // bodies of the model turns
	rewritten int      // bytes of bodies that merges wrote again
}

// request returns the request for a turn. Each seventh turn is a non-idempotent call
// and each fifth an idempotent one; the others are model turns.
func (l *longRun) request(turn uint64) program.TurnRequest {
	req := l.modelTurn("p:1", turn)
	switch {
	case turn%7 == 0:
		req.Kind, req.RequestID = program.NonIdempotentCall, fmt.Sprintf("pay-%d", turn)
	case turn%5 == 0:
		req.Kind = program.IdempotentCall
	}
	return req
}

func (l *longRun) next(turn uint64, merge bool) {
	req := l.request(turn)
	d := l.begin(req)
	require.Contains(l.t, []program.Verdict{program.Dispatch, program.DispatchAfterCommit}, d.Verdict, "turn %d: %v", turn, d.Refusal)
	if req.Kind == program.ModelTurn {
		require.Equal(l.t, l.history, l.read(d.Segments), "history before turn %d", turn)
	}
	body := fmt.Sprintf("<%d%s>", turn, strings.Repeat(".", int(turn%50)))
	l.bodies = append(l.bodies, body)
	if req.Kind == program.ModelTurn {
		l.history += body
	}
	res := program.Result{Body: []byte(body), Spent: program.Amount{Turns: 1}}
	if merge && len(d.Merge) > 0 {
		res.Merged = []byte(l.readModel(d.Merge))
		l.rewritten += len(res.Merged)
	}
	l.finish(d, res)
	segments := l.store.rows[req.Key].Segments
	require.LessOrEqual(l.t, len(segments), maxReferences, "references after turn %d", turn)
}

func (l *longRun) read(segments []program.Segment) string {
	var text string
	for _, s := range segments {
		text += l.store.bodies[*s.Body]
	}
	return text
}

func (l *longRun) readModel(segments []program.Segment) string {
	var text string
	for _, s := range segments {
		if s.Kind == program.ModelTurn {
			text += l.store.bodies[*s.Body]
		}
	}
	return text
}

// repeat repeats every turn up to last and checks that none runs again.
func (l *longRun) repeat(last uint64) {
	for turn := uint64(1); turn <= last; turn++ {
		d := l.begin(l.request(turn))
		if turn+replayWindow > last {
			require.Equal(l.t, program.Replay, d.Verdict, "the last turns can be replayed, %d of %d: %v", turn, last, d.Refusal)
		}
		if d.Verdict == program.Replay {
			require.Equal(l.t, l.bodies[turn-1], l.read(d.Segments))
			continue
		}
		requireRefused(l.t, d, refusal.TurnConflict, refusal.Ran)
		if req := l.request(turn); req.Kind == program.NonIdempotentCall {
			req.Turn = 0
			requireRefused(l.t, l.begin(req), refusal.TurnConflict, refusal.Ran) // a repeat without a turn number
		}
	}
}

// TestLongRunIsMerged guards against records whose size grows linearly with the turns,
// bytes that are rewritten repeatedly, a history that changes by a merge or a
// takeover, and merged turns that run again.
func TestLongRunIsMerged(t *testing.T) {
	l := &longRun{table: newTable(t, operator.Budget{})}
	total := 0
	for turn := uint64(1); turn <= longRunTurns; turn++ {
		l.next(turn, true)
		total += len(l.bodies[turn-1])
		if turn%37 == 0 {
			l.takeover()
			l.repeat(turn)
		}
	}
	l.repeat(longRunTurns)
	record := l.store.rows[key("p:1")]
	t.Logf("%d turns, %d bytes of bodies, %d bytes rewritten (%.2f per byte), %d references, record of %d bytes",
		longRunTurns, total, l.rewritten, float64(l.rewritten)/float64(total), len(record.Segments), len(record.Encode()))
	require.LessOrEqual(t, l.rewritten, maxRewrites*total)
	require.NotZero(t, l.rewritten)
	require.Equal(t, l.history, l.readModel(record.Segments))
}

// TestMergeCanBeDelayed guards against a run that stops or loses history while bodies
// cannot be read: the run continues without merging and merges the segments later.
func TestMergeCanBeDelayed(t *testing.T) {
	const missed = 10
	l := &longRun{table: newTable(t, operator.Budget{})}
	for turn := uint64(1); turn <= 120; turn++ {
		merge := turn%2 == 0 && (turn < 40 || turn > 40+missed)
		l.next(turn, merge)
	}
	l.repeat(120)
	require.Less(t, len(l.store.rows[key("p:1")].Segments), maxReferences)
}

// TestMergedEntryReferencesAreSetAgain guards against records that refer to the wrong
// bytes after a fenced batch: when the batch is formed again, the references to both
// bodies are set again.
func TestMergedEntryReferencesAreSetAgain(t *testing.T) {
	l := &longRun{table: newTable(t, operator.Budget{})}
	for turn := uint64(1); turn <= 32; turn++ {
		l.next(turn, true)
	}
	d := l.begin(l.request(33))
	require.Len(t, d.Merge, 16)
	e := l.Finish(l.now, d.Key, d.Waiter, program.Result{Body: []byte("turn"), Merged: []byte("merged")})
	l.store.batch += 2
	e.Writes(journal.BodyRef{Object: "journal/a/first", Offset: 100, Length: 10})
	l.store.commit(t, l.Runs, e)
	record := l.store.rows[d.Key]
	require.Equal(t, "merged", l.store.bodies[*record.Segments[0].Body])
	require.Equal(t, "turn", l.store.bodies[*record.Segments[len(record.Segments)-1].Body])
	require.Equal(t, int64(len("merged")), e.MergedBodyRef().Length)
	require.Equal(t, int64(len("turn")), e.BodyRef().Length)
}
