package turn

import (
	"bytes"
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hornbeamvale.example/hornbeamvale/internal/connection/call"
	"hornbeamvale.example/hornbeamvale/internal/process/bodies"
	"hornbeamvale.example/hornbeamvale/internal/process/program"
)

// assistantRole is the chat role of a model's answers in a history.
const assistantRole = "assistant"

// HistoryReader reads the bodies of recorded turns.
type HistoryReader struct{ Bodies *bodies.Cache }

// Messages returns the messages of a program's model turns in their order: those of
// the caller and the answer of each turn.
func (h *HistoryReader) Messages(ctx context.Context, segments []program.Segment) ([]call.Message, error) {
	var messages []call.Message
	for _, s := range segments {
		body, err := h.body(ctx, s)
		if err != nil {
			return nil, err
		}
		turns, err := decodeTurns(body)
		if err != nil {
			return nil, err
		}
		for _, t := range turns {
			messages = append(messages, t.Messages...)
			messages = append(messages, call.Message{Role: assistantRole, Content: t.Answer.Text})
		}
	}
	return messages, nil
}

// decodeTurns decodes a body, which holds one turn or, if it was merged, any
// number of them.
func decodeTurns(body []byte) ([]RecordedTurn, error) {
	var turns []RecordedTurn
	reader := bytes.NewReader(body) // the decoder does not read past the value it decodes
	decoder := msgpack.NewDecoder(reader)
	for reader.Len() > 0 {
		var t RecordedTurn
		if err := decoder.Decode(&t); err != nil {
			return nil, err
		}
		turns = append(turns, t)
	}
	return turns, nil
}

// mergeTimeout bounds the reads of the bodies to merge, since the end of the turn waits
// for the merge.
const mergeTimeout = 2 * time.Second

// Merge returns the merged body of segments, or nil if there are none or a body cannot
// be read now. In the second case a later turn merges them.
func (h *HistoryReader) Merge(ctx context.Context, segments []program.Segment) []byte {
	if len(segments) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, mergeTimeout)
	defer cancel()
	merged := []byte{}
	for _, s := range segments {
		if s.Kind != program.ModelTurn {
			continue // service calls are not part of the messages of a history
		}
		body, err := h.body(ctx, s)
		if err != nil {
			return nil
		}
		merged = append(merged, body...)
	}
	return merged
}

// body returns the body of a segment. The body of merged service calls is empty.
func (h *HistoryReader) body(ctx context.Context, s program.Segment) ([]byte, error) {
	switch {
	case s.Body == nil:
		return nil, errNoBody
	case s.Body.Length == 0:
		return nil, nil
	}
	return h.Bodies.Get(ctx, *s.Body)
}

// RecordedTurn returns the recorded body of one turn.
func (h *HistoryReader) RecordedTurn(ctx context.Context, s program.Segment) (RecordedTurn, error) {
	body, err := h.body(ctx, s)
	if err != nil {
		return RecordedTurn{}, err
	}
	var t RecordedTurn
	if err := msgpack.Unmarshal(body, &t); err != nil {
		return RecordedTurn{}, err
	}
	return t, nil
}
