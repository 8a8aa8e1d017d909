package fleetrpc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/connection/peer"
	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/historyload"
	"hornbeamvale.example/hornbeamvale/internal/process/ledger"
)

const (
	// historyStateInterval is the time between two states that a home sends while it loads a
	// history. They tell a home that is slow from one that is gone.
	historyStateInterval = 100 * time.Millisecond
	// historySilence is how long a home may send nothing while it loads a history.
	historySilence = 800 * time.Millisecond
	// historyPartBytes is the size of the turns that are encoded as one message, unless a single
	// turn is larger.
	historyPartBytes = 256 << 10
	// maxHistoryPart bounds the message with the turns of a part: the largest turn has an input
	// of 4 MiB and an output of 1 MiB.
	maxHistoryPart = 8 << 20
)

// historyState is the payload of peer.HistoryState.
type historyState struct {
	// Loading is set as long as the history is not loaded.
	Loading bool `msgpack:"l,omitempty"`
	// Bytes and Turns are the size of the loaded history.
	Bytes int64 `msgpack:"b,omitempty"`
	Turns int   `msgpack:"n,omitempty"`
	// Outcome and Reason tell why it was not loaded.
	Outcome    string        `msgpack:"o,omitempty"`
	Reason     string        `msgpack:"e,omitempty"`
	Ahead      int64         `msgpack:"a,omitempty"`
	Rate       int64         `msgpack:"p,omitempty"`
	TimeLeft   time.Duration `msgpack:"t,omitempty"`
	RetryAfter time.Duration `msgpack:"r,omitempty"`
}

// failedState returns the state that tells the error of a load.
func failedState(err error) historyState {
	var refused *historyload.RefusedError
	var late *historyload.TimeoutError
	switch {
	case errors.Is(err, ledger.ErrTurnNotFound):
		return historyState{Outcome: outcomeTurnNotFound}
	case errors.As(err, &refused):
		return historyState{Outcome: outcomeRefused, Bytes: refused.Bytes, Ahead: refused.Ahead, Rate: refused.Rate, TimeLeft: refused.TimeLeft, RetryAfter: refused.RetryAfter}
	case errors.As(err, &late):
		return historyState{Outcome: outcomeLate, Reason: late.Step, RetryAfter: late.RetryAfter}
	}
	return historyState{Outcome: outcomeStoreFailed, Reason: err.Error()}
}

// err returns the error of the load at the home; nil if it has not failed.
func (s historyState) err() error {
	switch s.Outcome {
	case outcomeOK:
		return nil
	case outcomeTurnNotFound:
		return ledger.ErrTurnNotFound
	case outcomeRefused:
		return &historyload.RefusedError{Bytes: s.Bytes, Ahead: s.Ahead, Rate: s.Rate, TimeLeft: s.TimeLeft, RetryAfter: s.RetryAfter}
	case outcomeLate:
		return &historyload.TimeoutError{Step: "at the home VM " + s.Reason, RetryAfter: s.RetryAfter}
	}
	return &ledger.StoreError{Reason: s.Reason}
}

// Load implements ledger.Home. The home sends the turns in parts, between which other messages
// go, and only once this VM has the memory for them.
func (h HomeClient) Load(ctx context.Context, q ledger.LoadRequest) (*ledger.LoadedHistory, error) {
	payload, err := peer.Encode(q)
	if err != nil {
		return nil, err
	}
	stream, err := h.Manager.Open(ctx, h.Member.VM, h.Member.Address, peer.Message{Type: peer.HistoryAsk, Payload: payload})
	if err != nil {
		return nil, &Error{VM: h.Member.VM, Err: err}
	}
	loaded, err := h.receiveHistory(ctx, stream, q)
	if err != nil {
		stream.Cancel()
		return nil, err
	}
	stream.Close()
	return loaded, nil
}

// receiveHistory waits for a load and receives its history.
func (h HomeClient) receiveHistory(ctx context.Context, stream *peer.Stream, q ledger.LoadRequest) (*ledger.LoadedHistory, error) {
	state := historyState{Loading: true}
	for answered := false; state.Loading; answered = true {
		message, err := h.recv(ctx, stream, answered)
		if err != nil {
			return nil, err
		}
		state = historyState{}
		if err := peer.Decode(message.Payload, &state); err != nil {
			return nil, err
		}
	}
	if err := state.err(); err != nil {
		return nil, err
	}
	deadline := clock.Monotonic() + q.TimeLeft
	if at, ok := ctx.Deadline(); ok {
		deadline = clock.Monotonic() + clock.Until(at)
	}
	ticket, err := h.Memory.Enter(ctx, historyload.Job{Class: historyload.Hold, Bytes: state.Bytes, Deadline: deadline, Received: true})
	if err != nil {
		return nil, err
	}
	history, err := h.receiveTurns(ctx, stream, state)
	if err != nil {
		ticket.Release()
		return nil, err
	}
	loaded := ledger.NewLoadedHistory(history, ticket)
	loaded.KeepLoaded()
	return loaded, nil
}

// receiveTurns asks for the turns of a loaded history and receives them.
func (h HomeClient) receiveTurns(ctx context.Context, stream *peer.Stream, state historyState) (ledger.History, error) {
	if err := stream.Send(ctx, peer.Message{Type: peer.HistoryAccept}); err != nil {
		return ledger.History{}, &Error{VM: h.Member.VM, Err: err}
	}
	var history ledger.History
	for len(history.Turns) < state.Turns {
		message, err := peer.RecvLarge(ctx, stream, maxHistoryPart, nil)
		if err != nil {
			return ledger.History{}, &Error{VM: h.Member.VM, Err: err}
		}
		var turns []ledger.StoredTurn
		if err := peer.Decode(message.Payload, &turns); err != nil {
			return ledger.History{}, err
		}
		if len(turns) == 0 {
			return ledger.History{}, &Error{VM: h.Member.VM, Err: io.ErrUnexpectedEOF}
		}
		history.Turns = append(history.Turns, turns...)
	}
	return history, nil
}

// recv receives a message of the home, which may be silent for historySilence. A home that has
// answered the stream before may be silent for longer while it sends other messages; one that has
// not may run a build that does not load histories.
func (h HomeClient) recv(ctx context.Context, stream *peer.Stream, answered bool) (peer.Message, error) {
	for {
		begun := clock.Monotonic()
		waitCtx, cancel := context.WithTimeout(ctx, historySilence)
		message, err := stream.Recv(waitCtx)
		cancel()
		if err == nil {
			return message, nil
		}
		if ctx.Err() != nil || waitCtx.Err() == nil || !answered || !h.HeardSince(begun) {
			return peer.Message{}, &Error{VM: h.Member.VM, Err: err}
		}
	}
}

// sendHistory loads a history for another VM and sends it.
func (s *Server) sendHistory(ctx context.Context, stream *peer.Stream, first peer.Message) {
	var q ledger.LoadRequest
	if err := peer.Decode(first.Payload, &q); err != nil {
		stream.Cancel()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, q.TimeLeft)
	defer cancel()
	loaded, err := s.loadHistory(ctx, stream, q)
	if err != nil {
		return // the other VM has been told, or is gone
	}
	defer loaded.Release()
	if s.sendTurns(ctx, stream, loaded) != nil {
		stream.Cancel()
	}
}

// loadHistory loads a history and sends the state of the load meanwhile, and its end.
func (s *Server) loadHistory(ctx context.Context, stream *peer.Stream, q ledger.LoadRequest) (*ledger.LoadedHistory, error) {
	type result struct {
		loaded *ledger.LoadedHistory
		err    error
	}
	done := make(chan result, 1)
	go func() {
		loaded, err := s.Ledger.LoadFor(ctx, q)
		done <- result{loaded, err}
	}()
	ticker := time.NewTicker(historyStateInterval)
	defer ticker.Stop()
	for {
		select {
		case r := <-done:
			err := r.err
			if err == nil {
				err = sendHistoryMessage(ctx, stream, peer.HistoryState, historyState{Bytes: int64(r.loaded.Size()), Turns: r.loaded.Len()})
			}
			if err == nil {
				return r.loaded, nil
			}
			r.loaded.Release()
			if r.err == nil {
				err = &historyload.TimeoutError{Step: fmt.Sprintf("it was loaded after more than the %s that the request could wait", q.TimeLeft.Round(time.Millisecond))}
			}
			// The other VM waits a little longer than ctx lasts, so that it learns the reason.
			_ = sendHistoryMessage(context.WithoutCancel(ctx), stream, peer.HistoryState, failedState(err))
			return nil, err
		case <-ticker.C:
			// If it cannot be sent, ctx has ended, and LoadFor ends with it.
			_ = sendHistoryMessage(ctx, stream, peer.HistoryState, historyState{Loading: true})
		}
	}
}

// sendTurns sends the turns of a history when the other VM asks for them.
func (s *Server) sendTurns(ctx context.Context, stream *peer.Stream, loaded *ledger.LoadedHistory) error {
	if _, err := stream.Recv(ctx); err != nil {
		return err
	}
	loaded.KeepLoaded() // with the message that is sent
	for rest := loaded.Turns; len(rest) > 0; {
		n, size := 1, rest[0].Size()
		for n < len(rest) && size+rest[n].Size() <= historyPartBytes {
			size += rest[n].Size()
			n++
		}
		payload, err := peer.Encode(rest[:n])
		if err != nil {
			return err
		}
		if err := peer.SendLarge(ctx, stream, peer.Message{Type: peer.HistoryPart, Payload: payload}); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}

func sendHistoryMessage(ctx context.Context, stream *peer.Stream, t peer.Type, payload any) error {
	data, err := peer.Encode(payload)
	if err != nil {
		return err
	}
	return stream.Send(ctx, peer.Message{Type: t, Payload: data})
}
