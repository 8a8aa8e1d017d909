package turn

import (
	"context"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/connection/call"
	"hornbeamvale.example/hornbeamvale/internal/connection/peer"
	"hornbeamvale.example/hornbeamvale/internal/process/control"
	"hornbeamvale.example/hornbeamvale/internal/process/eventlog"
	"hornbeamvale.example/hornbeamvale/internal/process/program"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// maxEventPage is the largest number of events in one answer to another VM.
const maxEventPage = 2000

// Server answers the calls of other VMs. It implements peer.Handler.
type Server struct {
	Loop  *control.Loop
	Owner *Owner
	Log   *eventlog.Log
}

// Stream implements peer.Handler. It runs a turn that an entry VM has forwarded.
func (s *Server) Stream(ctx context.Context, _ string, stream *peer.Stream) {
	if why := s.serve(ctx, stream); why != nil {
		if m, err := message(peer.TurnRefusal, why); err == nil {
			_ = stream.Send(ctx, m) // the entry VM may have disconnected
		}
	}
}

// serve receives a turn from the stream and runs it. A refusal is for the entry VM.
func (s *Server) serve(ctx context.Context, stream *peer.Stream) *refusal.Refusal {
	first, err := stream.Recv(ctx)
	if err != nil {
		return nil
	}
	var header streamHeader
	if err := peer.Decode(first.Payload, &header); err != nil {
		return refusal.New(refusal.BadRequest, "the stream's first message is not readable")
	}
	if why := s.checkMember(header.Member); why != nil {
		return why
	}
	body, err := peer.RecvLarge(ctx, stream, maxTurnBytes, nil)
	if err != nil {
		return refusal.New(refusal.BadRequest, "the turn is not readable")
	}
	var t Turn
	if err := peer.Decode(body.Payload, &t); err != nil {
		return refusal.New(refusal.BadRequest, "the turn is not readable")
	}
	return s.Owner.Run(ctx, t, &streamResponder{ctx: ctx, stream: stream})
}

// checkMember refuses requests that are meant for an earlier process of this VM, which
// had another member id.
func (s *Server) checkMember(member string) *refusal.Refusal {
	if member == s.Loop.Snapshot().Self {
		return nil
	}
	return refusal.New(refusal.OwnerUnavailable, "member %s has ended", member).After(time.Second)
}

// streamResponder sends an answer over a stream.
type streamResponder struct {
	ctx    context.Context
	stream *peer.Stream
}

// Chunk implements call.Responder.
func (r *streamResponder) Chunk(c call.Chunk) error {
	m, err := message(peer.TurnChunk, c)
	if err != nil {
		return err
	}
	return r.stream.Send(r.ctx, m)
}

// End implements call.Responder. The answer follows an empty TurnEnd message and may
// take several frames.
func (r *streamResponder) End(a call.Answer) error {
	if err := r.stream.Send(r.ctx, peer.Message{Type: peer.TurnEnd}); err != nil {
		return err
	}
	m, err := message(peer.TurnEnd, a)
	if err != nil {
		return err
	}
	return peer.SendLarge(r.ctx, r.stream, m)
}

// Call implements peer.Handler.
func (s *Server) Call(ctx context.Context, _ string, m peer.Message) (peer.Message, error) {
	switch m.Type {
	case peer.LimitAsk:
		return s.grantLimits(ctx, m)
	case peer.LimitRecall:
		var q limitRecall
		if err := peer.Decode(m.Payload, &q); err != nil {
			return peer.Message{}, unreadableMessage()
		}
		if why := s.checkMember(q.Member); why != nil {
			return peer.Message{}, why
		}
		return peer.Message{Type: m.Type}, s.Loop.Post(ctx, control.LimitRecall{Customers: q.Customers})
	case peer.LimitAccount:
		return s.limitAccounts(ctx, m)
	case peer.SlotNotice:
		return peer.Message{Type: m.Type}, s.Loop.Post(ctx, control.SlotsChanged{})
	case peer.ConfigNotice:
		var n versionNotice
		if err := peer.Decode(m.Payload, &n); err != nil {
			return peer.Message{}, unreadableMessage()
		}
		return peer.Message{Type: m.Type}, s.Loop.Post(ctx, control.VersionAnnounced{Number: n.Number})
	case peer.ConfigConfirm:
		reply := make(chan control.Confirmation, 1)
		c, err := PostAndWait(ctx, s.Loop, control.QueryConfirmation{Reply: reply}, reply)
		if err != nil {
			return peer.Message{}, err
		}
		return message(peer.ConfigConfirm, c)
	case peer.RunEnd:
		var q runEnd
		if err := peer.Decode(m.Payload, &q); err != nil {
			return peer.Message{}, unreadableMessage()
		}
		return s.command(m.Type, q.Member, func() *refusal.Refusal {
			return s.Owner.EndRun(ctx, program.Key{Customer: q.Customer, Run: q.Run})
		})
	case peer.RunSettle:
		var q runSettle
		if err := peer.Decode(m.Payload, &q); err != nil {
			return peer.Message{}, unreadableMessage()
		}
		return s.command(m.Type, q.Member, func() *refusal.Refusal {
			return s.Owner.Settle(ctx, program.Key{Customer: q.Customer, Run: q.Run}, q.RequestID, q.Outcome)
		})
	case peer.EventQuery:
		return s.events(m)
	case peer.StatusQuery:
		status, err := LocalStatus(ctx, s.Loop)
		if err != nil {
			return peer.Message{}, err
		}
		return message(peer.StatusPage, status)
	default:
		return peer.Message{}, refusal.New(refusal.BadRequest, "message type %d is not known", m.Type)
	}
}

// unreadableMessage returns the refusal of a message that cannot be decoded.
func unreadableMessage() *refusal.Refusal {
	return refusal.New(refusal.BadRequest, "the message is not readable")
}

// command carries out a request that is meant for member and has no reply contents.
func (s *Server) command(t peer.Type, member string, do func() *refusal.Refusal) (peer.Message, error) {
	if why := s.checkMember(member); why != nil {
		return peer.Message{}, why
	}
	if why := do(); why != nil {
		return peer.Message{}, why
	}
	return peer.Message{Type: t}, nil
}

// grantLimits answers the asks of another VM for shares of customers' limits.
func (s *Server) grantLimits(ctx context.Context, m peer.Message) (peer.Message, error) {
	asks, err := decodeAsks(m.Payload)
	if err != nil {
		return peer.Message{}, unreadableMessage()
	}
	reply := make(chan []control.CustomerGrant, 1)
	grants, err := PostAndWait(ctx, s.Loop, control.LimitAsks{Asks: asks, Reply: reply}, reply)
	if err != nil {
		return peer.Message{}, err
	}
	payload, err := encodeGrants(asks, grants)
	return peer.Message{Type: peer.LimitGrant, Payload: payload}, err
}

// limitAccounts answers the new owner of limits with this VM's accounts of them.
func (s *Server) limitAccounts(ctx context.Context, m peer.Message) (peer.Message, error) {
	var q accountQuery
	if err := peer.Decode(m.Payload, &q); err != nil {
		return peer.Message{}, unreadableMessage()
	}
	if why := s.checkMember(q.Member); why != nil {
		return peer.Message{}, why
	}
	reply := make(chan []control.CustomerAccount, 1)
	found, err := PostAndWait(ctx, s.Loop, control.FetchAccounts{Queries: q.Queries, Reply: reply}, reply)
	if err != nil {
		return peer.Message{}, err
	}
	payload, err := encodeCompact(&accountPage{Accounts: found})
	return peer.Message{Type: m.Type, Payload: payload}, err
}

// LocalStatus returns the status of this VM.
func LocalStatus(ctx context.Context, l *control.Loop) (control.Status, error) {
	reply := make(chan control.Status, 1)
	return PostAndWait(ctx, l, control.QueryStatus{Reply: reply}, reply)
}

// PostAndWait posts an event to the control loop and waits for its reply.
func PostAndWait[T any](ctx context.Context, l *control.Loop, e control.Event, reply <-chan T) (T, error) {
	var none T
	if err := l.Post(ctx, e); err != nil {
		return none, err
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// events answers a query for time-line events with the latest maxEventPage of them.
func (s *Server) events(m peer.Message) (peer.Message, error) {
	var q eventQuery
	if err := peer.Decode(m.Payload, &q); err != nil {
		return peer.Message{}, unreadableMessage()
	}
	found := s.Log.Query(q.Customer, q.Run)
	if len(found) > maxEventPage {
		found = found[len(found)-maxEventPage:]
	}
	return message(peer.EventPage, eventPage{Events: found})
}
