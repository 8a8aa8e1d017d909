package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/ledger"
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
)

// maxEventBytes is the largest size of one event of a stream.
const maxEventBytes = 1 << 20

var errEventSize = errors.New("an event is too large")

// stream relays a model's events as they arrive and records the turn before the
// answer ends. It reports whether the replica failed and returns the mean time between
// two events with data, 0 if not known.
func (x *exchange) stream(a *attempt) (failed bool, perEvent time.Duration) {
	endpoint, _ := x.table.Endpoint(x.endpoint)
	if err := x.answer.Begin(a.reply.Status, a.reply.Headers, a.reply.Length); err != nil {
		x.outcome = "caller lost"
		return false, 0
	}
	events := newEventReader(a.reply.Body)
	var output bytes.Buffer
	var first, latest time.Time
	var heldBack []byte // the latest event of an answer with a stated length, sent after the turn is recorded
	tokenEvents := 0
	for {
		event, err := events.next()
		if err == io.EOF {
			break
		}
		if err != nil {
			x.outcome = "stream broken off by the replica"
			if x.ctx.Err() != nil {
				x.outcome = "stream ended by its time limit"
			}
			x.answer.Abort()
			x.Log.Request("Stream from replica broke off", "id", x.request.ID, "endpoint", x.endpoint, "replica", x.replica, "tokenEvents", tokenEvents, "err", err)
			return x.ctx.Err() == nil, 0
		}
		if latest = time.Now(); first.IsZero() {
			first = latest
		}
		if len(event.data) > 0 {
			output.Write(event.data)
			output.WriteByte('\n')
		}
		if a.reply.Length >= 0 {
			event.raw, heldBack = heldBack, event.raw
		}
		if event.hasData {
			tokenEvents++
			x.tokens += int64(endpoint.EventTokens)
		}
		if len(event.raw) == 0 {
			continue
		}
		if err := x.answer.Write(event.raw); err != nil {
			x.outcome = "caller lost"
			return false, 0
		}
	}
	if !x.recordTurn(a, output.Bytes()) {
		x.outcome = "turn not recorded"
		x.answer.Abort()
		return false, 0
	}
	x.outcome = "answered"
	if len(heldBack) > 0 {
		if err := x.answer.Write(heldBack); err != nil {
			x.outcome = "caller lost"
		}
	}
	if tokenEvents > 1 {
		perEvent = latest.Sub(first) / time.Duration(tokenEvents-1)
	}
	return false, perEvent
}

// recordTurn makes the turn durable. It reports whether the answer may end.
func (x *exchange) recordTurn(a *attempt, output []byte) bool {
	if !x.route.KeepsHistory || x.group == "" {
		return true
	}
	defer measure(&x.steps.record, time.Now())
	err := x.Ledger.Record(x.ctx, ledger.RecordRequest{
		Group: x.group, ID: x.request.ID, Used: x.tokens, History: x.history, Retention: x.route.Retention,
		Turn: turntree.Turn{
			Customer: x.customer.Name, Parent: x.request.Program.Parent,
			Input: x.request.Body, Output: output, Replica: a.replica.Replica,
		},
	})
	if err != nil {
		x.Log.Request("Turn could not be recorded", "id", x.request.ID, "customer", x.customer.Name, "program", x.request.Program.ID, "tokens", x.tokens, "err", err)
		return false
	}
	x.reserved = false
	return true
}

// event is one server-sent event.
type event struct {
	raw  []byte // all bytes, with the empty line that ends the event
	data []byte // the values of the data lines, joined by line feeds
	// hasData is true if the event has a data line. Such an event counts as tokens.
	hasData bool
}

// eventReader splits a stream into server-sent events.
type eventReader struct{ r *bufio.Reader }

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, 4096)}
}

// next returns the next event, io.EOF at the end of the stream, or
// io.ErrUnexpectedEOF if the stream ends within an event.
func (e *eventReader) next() (event, error) {
	var ev event
	for {
		line, err := e.r.ReadBytes('\n')
		if err == io.EOF && len(line)+len(ev.raw) > 0 {
			return event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return event{}, err
		}
		ev.raw = append(ev.raw, line...)
		if len(ev.raw) > maxEventBytes {
			return event{}, errEventSize
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return ev, nil
		}
		data, ok := bytes.CutPrefix(text, []byte("data:"))
		if !ok {
			continue
		}
		if ev.hasData {
			ev.data = append(ev.data, '\n')
		}
		ev.hasData = true
		ev.data = append(ev.data, bytes.TrimPrefix(data, []byte(" "))...)
	}
}
