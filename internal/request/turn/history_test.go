package turn

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"hornbeamvale.example/hornbeamvale/internal/connection/call"
	"hornbeamvale.example/hornbeamvale/internal/process/bodies"
	"hornbeamvale.example/hornbeamvale/internal/process/journal"
	"hornbeamvale.example/hornbeamvale/internal/process/platform/platformtest"
	"hornbeamvale.example/hornbeamvale/internal/process/program"
)

// historyTest stores bodies in the platform as the journal does: within larger objects.
type historyTest struct {
	t        *testing.T
	platform *platformtest.Fake
	history  *HistoryReader
	n        int
}

func newHistoryTest(t *testing.T) *historyTest {
	fake := platformtest.New()
	return &historyTest{t: t, platform: fake, history: &HistoryReader{Bodies: bodies.New(fake, 1<<20)}}
}

func (h *historyTest) store(kind program.Kind, level uint8, body []byte) program.Segment {
	h.n++
	object := fmt.Sprintf("journal/a/%d", h.n)
	require.NoError(h.t, h.platform.PutObject(context.Background(), object, append([]byte("other"), body...)))
	return program.Segment{Kind: kind, Level: level, Body: &journal.BodyRef{Object: object, Offset: 5, Length: int64(len(body))}}
}

func (h *historyTest) recordTurn(kind program.Kind, n int) program.Segment {
	x := RecordedTurn{
		Messages: []call.Message{{Role: "user", Content: fmt.Sprintf("question %d", n)}, {Role: "tool", Content: "result"}},
		Answer:   call.Answer{Text: fmt.Sprintf("answer %d", n)},
	}
	body, err := msgpack.Marshal(&x)
	require.NoError(h.t, err)
	return h.store(kind, 0, body)
}

// TestMergedHistoryHasTheSameMessages guards against a prompt that changes when turns
// are merged, over two levels and with service calls between the turns.
func TestMergedHistoryHasTheSameMessages(t *testing.T) {
	h, ctx := newHistoryTest(t), context.Background()
	var all, model, merged []program.Segment
	for n := range 32 {
		kind := program.ModelTurn
		if n%3 == 2 {
			kind = program.NonIdempotentCall
		}
		s := h.recordTurn(kind, n)
		all = append(all, s)
		if kind == program.ModelTurn {
			model = append(model, s)
		}
	}
	want, err := h.history.Messages(ctx, model)
	require.NoError(t, err)
	for _, part := range [][]program.Segment{all[:16], all[16:]} {
		merged = append(merged, h.store(program.ModelTurn, 1, h.history.Merge(ctx, part)))
	}
	got, err := h.history.Messages(ctx, merged)
	require.NoError(t, err)
	require.Equal(t, want, got)
	again := h.store(program.ModelTurn, 2, h.history.Merge(ctx, merged))
	got, err = h.history.Messages(ctx, []program.Segment{again})
	require.NoError(t, err)
	require.Equal(t, want, got)
}

// TestTruncatedBodyIsAnError guards against a history that silently ends early: a body that
// is truncated at any byte is an error.
func TestTruncatedBodyIsAnError(t *testing.T) {
	h, ctx := newHistoryTest(t), context.Background()
	whole := h.history.Merge(ctx, []program.Segment{h.recordTurn(program.ModelTurn, 1), h.recordTurn(program.ModelTurn, 2)})
	for n := 1; n < len(whole); n++ {
		if n == len(whole)/2 {
			continue // the end of the first turn
		}
		_, err := h.history.Messages(ctx, []program.Segment{h.store(program.ModelTurn, 1, whole[:n])})
		require.Error(t, err, "%d of %d bytes", n, len(whole))
	}
}

// TestMergeWithoutBodies guards against merged service calls that make a history
// unreadable, and against a merge that leaves out a body that cannot be read.
func TestMergeWithoutBodies(t *testing.T) {
	h, ctx := newHistoryTest(t), context.Background()
	require.Nil(t, h.history.Merge(ctx, nil))
	calls := []program.Segment{h.recordTurn(program.NonIdempotentCall, 1)}
	merged := h.history.Merge(ctx, calls)
	require.NotNil(t, merged)
	require.Empty(t, merged)
	messages, err := h.history.Messages(ctx, []program.Segment{{Kind: program.ModelTurn, Level: 1, Body: &journal.BodyRef{Object: "journal/a/99"}}})
	require.NoError(t, err)
	require.Empty(t, messages)
	s := h.recordTurn(program.ModelTurn, 2)
	h.platform.SetOutage(true)
	require.Nil(t, h.history.Merge(ctx, []program.Segment{s}))
}
