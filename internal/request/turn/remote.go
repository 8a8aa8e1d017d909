package turn

import (
	"context"
	"errors"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/connection/call"
	"hornbeamvale.example/hornbeamvale/internal/connection/peer"
	"hornbeamvale.example/hornbeamvale/internal/process/control"
	"hornbeamvale.example/hornbeamvale/internal/process/eventlog"
	"hornbeamvale.example/hornbeamvale/internal/process/program"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// maxTurnBytes is the largest size of a turn or an answer that is sent between VMs.
const maxTurnBytes = 8 << 20

// streamHeader is the first message of a turn's stream. It names the member that the sender
// regards as the owner. A VM that restarted has another member id and must not accept a
// call that is meant for its previous process.
type streamHeader struct {
	Member string `msgpack:"m"`
}

// runEnd is the request of EndRun.
type runEnd struct {
	Member   string `msgpack:"m"`
	Customer string `msgpack:"c"`
	Run      string `msgpack:"r"`
}

// runSettle is the request of Settle.
type runSettle struct {
	runEnd    `msgpack:",inline"`
	RequestID string           `msgpack:"i"`
	Outcome   refusal.RunState `msgpack:"o"`
}

// versionNotice is the request of NotifyVersion.
type versionNotice struct {
	Number uint64 `msgpack:"n"`
}

// eventQuery is the request of Events.
type eventQuery struct {
	Customer string `msgpack:"c"`
	Run      string `msgpack:"r"`
}

// eventPage is the answer to an eventQuery.
type eventPage struct {
	Events []eventlog.Event `msgpack:"e"`
}

// Remote makes calls to other VMs. It implements Forwarder and control.PeerClient.
type Remote struct {
	Manager *peer.Manager
	// Timeout bounds calls that have a single reply; a forwarded turn is not bounded by it.
	Timeout time.Duration
}

// Forward implements Forwarder.
func (r *Remote) Forward(ctx context.Context, to control.Peer, t Turn, responder call.Responder) *refusal.Refusal {
	first, err := message(peer.TurnRequest, streamHeader{Member: to.ID})
	if err != nil {
		return refusal.New(refusal.Internal, "%v", err)
	}
	s, err := r.Manager.Open(ctx, to.VM, to.Address, first)
	if err != nil {
		return linkRefusal(err)
	}
	defer s.Close()
	body, err := message(peer.TurnRequest, &t)
	if err != nil {
		s.Cancel()
		return refusal.New(refusal.Internal, "%v", err)
	}
	if err := peer.SendLarge(ctx, s, body); err != nil {
		s.Cancel()
		return linkRefusal(err).WithRun(refusal.Unknown)
	}
	return r.relay(ctx, s, responder)
}

// relay passes the owner's answer to the caller.
func (r *Remote) relay(ctx context.Context, s *peer.Stream, responder call.Responder) *refusal.Refusal {
	for {
		m, err := s.Recv(ctx)
		if err != nil {
			return linkRefusal(err).WithRun(refusal.Unknown)
		}
		switch m.Type {
		case peer.TurnChunk:
			var c call.Chunk
			if err := peer.Decode(m.Payload, &c); err != nil {
				return linkRefusal(err).WithRun(refusal.Unknown)
			}
			if err := responder.Chunk(c); err != nil {
				return refusal.New(refusal.EndpointFailed, "the caller is gone").WithRun(refusal.Unknown)
			}
		case peer.TurnEnd:
			return r.relayEnd(ctx, s, responder)
		case peer.TurnRefusal:
			var why refusal.Refusal
			if err := peer.Decode(m.Payload, &why); err != nil {
				return linkRefusal(err).WithRun(refusal.Unknown)
			}
			return &why
		}
	}
}

// relayEnd receives the complete answer and passes it to the caller.
func (r *Remote) relayEnd(ctx context.Context, s *peer.Stream, responder call.Responder) *refusal.Refusal {
	m, err := peer.RecvLarge(ctx, s, maxTurnBytes, nil)
	if err != nil {
		return linkRefusal(err).WithRun(refusal.Unknown)
	}
	var a call.Answer
	if err := peer.Decode(m.Payload, &a); err != nil {
		return linkRefusal(err).WithRun(refusal.Unknown)
	}
	if err := responder.End(a); err != nil {
		return refusal.New(refusal.EndpointFailed, "the answer could not be passed on: %v", err).WithRun(refusal.Ran)
	}
	return nil
}

// linkRefusal converts a failure of the link to the owner into a refusal after which the
// entry VM looks up the program's owner again.
func linkRefusal(err error) *refusal.Refusal {
	var why *refusal.Refusal
	if errors.As(err, &why) {
		return why
	}
	state := refusal.Unknown
	var pe *peer.Error
	if errors.As(err, &pe) {
		state = pe.Run
	}
	return refusal.New(refusal.OwnerUnavailable, "link to the program's owner: %v", err).WithRun(state).After(time.Second)
}

// EndRun implements Forwarder.
func (r *Remote) EndRun(ctx context.Context, to control.Peer, key program.Key) *refusal.Refusal {
	return r.command(ctx, to, peer.RunEnd, runEnd{Member: to.ID, Customer: key.Customer, Run: key.Run})
}

// Settle implements Forwarder.
func (r *Remote) Settle(ctx context.Context, to control.Peer, key program.Key, requestID string, outcome refusal.RunState) *refusal.Refusal {
	return r.command(ctx, to, peer.RunSettle, runSettle{
		runEnd: runEnd{Member: to.ID, Customer: key.Customer, Run: key.Run}, RequestID: requestID, Outcome: outcome,
	})
}

// command sends a request whose reply has no contents.
func (r *Remote) command(ctx context.Context, to control.Peer, t peer.Type, v any) *refusal.Refusal {
	if _, err := r.call(ctx, to, t, v); err != nil {
		return linkRefusal(err)
	}
	return nil
}

// AskLimits implements control.PeerClient.
func (r *Remote) AskLimits(ctx context.Context, to control.Peer, asks []control.CustomerAsk) ([]control.CustomerGrant, error) {
	payload, err := encodeAsks(asks)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	reply, err := r.Manager.Call(ctx, to.VM, to.Address, peer.Message{Type: peer.LimitAsk, Payload: payload})
	if err != nil {
		return nil, err
	}
	return decodeGrants(reply.Payload, asks)
}

// RecallLimits implements control.PeerClient.
func (r *Remote) RecallLimits(ctx context.Context, to control.Peer, customers []string) error {
	_, err := r.call(ctx, to, peer.LimitRecall, limitRecall{Member: to.ID, Customers: customers})
	return err
}

// FetchAccounts implements control.PeerClient.
func (r *Remote) FetchAccounts(ctx context.Context, to control.Peer, queries []control.AccountQuery) ([]control.CustomerAccount, error) {
	reply, err := r.call(ctx, to, peer.LimitAccount, accountQuery{Member: to.ID, Queries: queries})
	if err != nil {
		return nil, err
	}
	var page accountPage
	err = peer.Decode(reply.Payload, &page)
	return page.Accounts, err
}

// NotifySlots implements control.PeerClient.
func (r *Remote) NotifySlots(ctx context.Context, to control.Peer) error {
	_, err := r.call(ctx, to, peer.SlotNotice, struct{}{})
	return err
}

// NotifyVersion implements control.PeerClient.
func (r *Remote) NotifyVersion(ctx context.Context, to control.Peer, number uint64) error {
	_, err := r.call(ctx, to, peer.ConfigNotice, versionNotice{Number: number})
	return err
}

// ConfirmVersion implements control.PeerClient.
func (r *Remote) ConfirmVersion(ctx context.Context, to control.Peer) (control.Confirmation, error) {
	reply, err := r.call(ctx, to, peer.ConfigConfirm, struct{}{})
	if err != nil {
		return control.Confirmation{}, err
	}
	var c control.Confirmation
	err = peer.Decode(reply.Payload, &c)
	return c, err
}

// Events returns the time-line events that another VM holds of a run.
func (r *Remote) Events(ctx context.Context, to control.Peer, customer, run string) ([]eventlog.Event, error) {
	reply, err := r.call(ctx, to, peer.EventQuery, eventQuery{Customer: customer, Run: run})
	if err != nil {
		return nil, err
	}
	var page eventPage
	if err := peer.Decode(reply.Payload, &page); err != nil {
		return nil, err
	}
	return page.Events, nil
}

// Status returns the status of another VM.
func (r *Remote) Status(ctx context.Context, to control.Peer) (control.Status, error) {
	reply, err := r.call(ctx, to, peer.StatusQuery, struct{}{})
	if err != nil {
		return control.Status{}, err
	}
	var s control.Status
	err = peer.Decode(reply.Payload, &s)
	return s, err
}

// call makes one call of another VM, which takes at most Timeout.
func (r *Remote) call(ctx context.Context, to control.Peer, t peer.Type, v any) (peer.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	m, err := message(t, v)
	if err != nil {
		return peer.Message{}, err
	}
	return r.Manager.Call(ctx, to.VM, to.Address, m)
}

// message returns a message of type t with the encoded value.
func message(t peer.Type, v any) (peer.Message, error) {
	payload, err := peer.Encode(v)
	return peer.Message{Type: t, Payload: payload}, err
}
