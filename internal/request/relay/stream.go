package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/ledger"
	"hornbeamvale.example/hornbeamvale/internal/process/turntree"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
	"hornbeamvale.example/hornbeamvale/internal/version/routing"
)

const (
	// maxEventBytes is the largest size of one event of a stream.
	maxEventBytes = 1 << 20
	// maxTurnBytes is the largest output of a turn that is recorded. It bounds the memory that
	// the output takes until then.
	maxTurnBytes = 1 << 20
	// maxHeldBack is how much of an answer with a stated length waits for its end, so that a
	// refusal is possible until then. The buffer of a connection to a caller has that size.
	maxHeldBack = 4 << 10
	// unreadTime is the shortest wait for a caller to read after which a replica may have cut
	// off its answer. Replicas do it after some seconds.
	unreadTime = time.Second
)

var (
	errStreamMemory = errors.New("no memory is left for a large event or output")
	errEventSize    = errors.New("an event is too large")
	errTurnSize     = errors.New("the output is too large to be recorded")
	errEventMany    = errors.New("more events than the turn's token limit allows")
)

// streamState is what the caller has received of a stream.
type streamState struct {
	output        bytes.Buffer  // the data of the events, as recorded in the turn
	first, latest time.Time     // of the events of the present replica
	lastID        string        // id of the latest event
	events        int           // events with data, from all replicas
	replicaEvents int           // events with data, from the present replica
	memory        streamMemory  // of output, heldBack and the event that is read
	longestWrite  time.Duration // that waited for the caller to read
	// heldBack are the first events, up to maxHeldBack, and later the latest event of an answer
	// with a stated length. They are sent after the turn is recorded.
	heldBack []byte
	begun    bool // the caller was sent the head of the answer
}

// holdBack holds back an event of an answer with a stated length and returns what need not be
// held back any more.
func (s *streamState) holdBack(event []byte) (released []byte) {
	if !s.begun && len(s.heldBack)+len(event) <= maxHeldBack {
		s.heldBack = append(s.heldBack, event...)
		return nil
	}
	released, s.heldBack = s.heldBack, event
	return released
}

// stream relays a model's events as they arrive and records the turn before the answer
// ends. If the replica breaks off a stream that may be resumed, another replica goes on
// with it.
func (x *exchange) stream(a *attempt, prompt []byte) {
	s := streamState{memory: streamMemory{pool: x.StreamMemory}}
	defer s.memory.release()
	if a.reply.Length < 0 && x.begin(a, &s) != nil {
		x.outcome = "caller lost"
		return
	}
	for {
		err := x.relayEvents(a, &s)
		if err == nil {
			break
		}
		if errors.Is(err, errCallerLost) {
			x.outcome = "caller lost"
			return
		}
		// A replica cuts off an answer that it cannot send. That says nothing against it, or
		// against the request, if the caller did not read.
		unread := s.longestWrite >= unreadTime
		ownFault := errors.Is(err, errStreamMemory) || unread
		a.end.Failed = x.ctx.Err() == nil && !ownFault
		x.Log.Request("Stream from replica broke off", "id", x.request.ID, "endpoint", x.endpoint, "replica", x.replica, "replicaStartedMS", a.replica.StartedMS, "tokenEvents", s.events, "fingerprint", x.requestPrints().Body, "err", err)
		if !unread {
			x.noteCrash(a, err, s.replicaEvents > 0)
		}
		x.endAttempt(a)
		var next *attempt
		if !ownFault {
			next = x.resume(a, &s, prompt)
		}
		if next == nil {
			x.outcome = "stream broken off by the replica"
			switch {
			case errors.Is(x.ctx.Err(), context.Canceled):
				x.outcome = "stream abandoned by its caller"
			case x.ctx.Err() != nil:
				x.outcome = "stream ended by its time limit"
			case unread:
				x.outcome = "stream ended since its caller did not read"
			case ownFault:
				x.outcome = "stream ended for lack of memory"
			}
			x.endUnfinished(&s, refusal.New(refusal.EndpointFailed, "the replica broke off its answer: %v", err).WithRun(refusal.Unknown))
			return
		}
		defer x.endAttempt(next)
		a = next
	}
	x.noteSuccess()
	if err := x.recordTurn(a, s.output.Bytes()); err != nil {
		x.outcome = "turn not recorded"
		x.endUnfinished(&s, refusal.New(refusal.StoreUnavailable, "the turn has run and was not recorded: %v", err).WithRun(refusal.Ran))
		return
	}
	x.outcome = "answered"
	if x.begin(a, &s) != nil || len(s.heldBack) > 0 && x.answer.Write(s.heldBack) != nil {
		x.outcome = "caller lost"
	}
	if s.replicaEvents > 1 {
		a.end.UnitTime = s.latest.Sub(s.first) / time.Duration(s.replicaEvents-1)
		a.end.TotalTime = clock.Since(a.startedAt)
		a.end.FirstEventTime = s.first.Sub(a.startedAt)
		a.end.UncachedTokens = x.request.PromptTokens - x.cachedTokens()[a.replica.Replica]
	}
	a.end.ConnectionReusable = true
}

// begin sends the head of the answer unless that was done.
func (x *exchange) begin(a *attempt, s *streamState) error {
	if s.begun {
		return nil
	}
	s.begun = true
	return x.answer.Begin(a.reply.Status, a.reply.Headers, a.reply.Length)
}

// endUnfinished ends an answer that cannot be completed: with a refusal, or incomplete if it has
// begun.
func (x *exchange) endUnfinished(s *streamState, why *refusal.Refusal) {
	if s.begun {
		x.answer.Abort()
		return
	}
	if x.ctx.Err() != nil {
		why = x.timeLimitRefusal(why.Run)
	}
	outcome := x.outcome
	x.refuse(why)
	x.outcome = outcome
}

var errCallerLost = errors.New("the caller has disconnected")

// relayEvents relays the events of one replica until its stream ends. It returns
// errCallerLost or the reason why the stream broke off.
func (x *exchange) relayEvents(a *attempt, s *streamState) error {
	endpoint, _ := x.table.Endpoint(x.endpoint)
	lastRead := clock.Now()
	events := newEventReader(a.reply.Body, func(bytes int) bool { return s.memory.hold(s.output.Len() + len(s.heldBack) + bytes) })
	for {
		event, err := events.next()
		silence := clock.Since(lastRead)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			x.steps.silence = silence
			return err
		}
		x.steps.pause = max(x.steps.pause, silence)
		if s.latest = clock.Now(); s.first.IsZero() {
			s.first = s.latest
		}
		if len(event.data) > 0 && x.route.KeepsHistory {
			if s.output.Len()+len(event.data) > maxTurnBytes {
				return errTurnSize
			}
			if !s.memory.hold(s.output.Len() + len(s.heldBack) + len(event.raw) + len(event.data)) {
				return errStreamMemory
			}
			s.output.Write(event.data)
			s.output.WriteByte('\n')
		}
		if event.hasData && s.events >= x.maxEvents(endpoint) {
			return errEventMany
		}
		if a.reply.Length >= 0 {
			event.raw = s.holdBack(event.raw)
		}
		if event.hasData {
			s.events++
			s.replicaEvents++
			x.tokens += int64(endpoint.EventTokens)
		}
		if event.id != "" {
			s.lastID = event.id
		}
		if len(event.raw) == 0 {
			lastRead = s.latest
			continue
		}
		begun := clock.Now()
		if x.begin(a, s) != nil || x.write(event.raw) != nil {
			return errCallerLost
		}
		s.longestWrite = max(s.longestWrite, clock.Since(begun))
		lastRead = clock.Now()
	}
}

// maxEvents returns how many events with data the turn may have.
func (x *exchange) maxEvents(e routing.Endpoint) int {
	if x.request.MaxTokens <= 0 || e.EventTokens <= 0 {
		return math.MaxInt
	}
	perEvent := int64(e.EventTokens)
	return int((x.request.MaxTokens+perEvent-1)/perEvent) + 1
}

// resume continues a stream that broke off at another replica, after the last event that
// the caller has. It returns nil if the stream must not or cannot be resumed.
func (x *exchange) resume(from *attempt, s *streamState, prompt []byte) *attempt {
	if !x.route.Resumable || from.reply.Length >= 0 || s.events > 0 && s.lastID == "" {
		return nil
	}
	excluded := map[string]bool{from.replica.Replica: true}
	for x.attempts < x.route.MaxAttempts && x.ctx.Err() == nil {
		if x.leaveQuarantine() != nil {
			return nil
		}
		picked, why := x.pickReplica(excluded)
		if why != nil {
			return nil
		}
		excluded[picked.Replica] = true
		x.attempts++
		x.replica, x.picked = picked.Replica, picked
		a := &attempt{replica: picked, startedAt: clock.Now()}
		if why := x.open(a, prompt, s.lastID, true); why != nil || a.reply.Status >= 300 || a.reply.Length >= 0 {
			x.endAttempt(a)
			continue
		}
		s.first, s.replicaEvents = time.Time{}, 0
		x.Log.Request("Stream resumed at another replica", "id", x.request.ID, "endpoint", x.endpoint, "replica", x.replica, "after", s.lastID)
		return a
	}
	return nil
}

// recordTurn makes the turn durable. The answer must not end if it returns an error.
func (x *exchange) recordTurn(a *attempt, output []byte) error {
	if !x.route.KeepsHistory || x.group == "" {
		return nil
	}
	defer measure(&x.steps.record, clock.Now())
	err := x.Ledger.Record(x.ctx, ledger.RecordRequest{
		Group: x.group, ID: x.request.ID, Used: x.tokens, History: x.history, Retention: x.route.Retention, Allowed: x.allowed,
		Turn: turntree.Turn{
			Customer: x.owner, Parent: x.request.Program.Parent,
			Input: x.request.Body, Output: output, Replica: a.replica.Replica,
		},
	})
	if err != nil {
		x.Log.Request("Turn could not be recorded", "id", x.request.ID, "customer", x.owner, "program", x.request.Program.ID, "tokens", x.tokens, "err", err)
		return err
	}
	x.reserved = false
	return nil
}

// event is one server-sent event.
type event struct {
	raw  []byte // all bytes, with the empty line that ends the event
	data []byte // the values of the data lines, joined by line feeds
	// hasData is true if the event has a data line. Such an event counts as tokens.
	hasData bool
	id      string // empty if the event has none
}

// eventReader splits a stream into server-sent events.
type eventReader struct {
	r *bufio.Reader
	// hold reports whether there is memory for an event of the given number of bytes.
	hold func(bytes int) bool
}

func newEventReader(r io.Reader, hold func(bytes int) bool) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, 4096), hold: hold}
}

// readLine appends the next line to buffer. It fails with errEventSize as soon as the
// buffer would exceed maxEventBytes, so that a line without an end takes bounded memory,
// and with errStreamMemory if other streams have taken the memory for it.
func (e *eventReader) readLine(buffer []byte) ([]byte, error) {
	for {
		part, err := e.r.ReadSlice('\n')
		if len(buffer)+len(part) > maxEventBytes {
			return buffer, errEventSize
		}
		if !e.hold(len(buffer) + len(part)) {
			return buffer, errStreamMemory
		}
		buffer = append(buffer, part...)
		if err != bufio.ErrBufferFull {
			return buffer, err
		}
	}
}

// next returns the next event, io.EOF at the end of the stream, or
// io.ErrUnexpectedEOF if the stream ends within an event.
func (e *eventReader) next() (event, error) {
	var ev event
	for {
		before := len(ev.raw)
		var err error
		ev.raw, err = e.readLine(ev.raw)
		if err == io.EOF && len(ev.raw) > 0 {
			return event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return event{}, err
		}
		text := bytes.TrimRight(ev.raw[before:], "\r\n")
		if len(text) == 0 {
			return ev, nil
		}
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			ev.id = string(bytes.TrimPrefix(id, []byte(" ")))
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
