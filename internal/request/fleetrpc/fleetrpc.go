// Package fleetrpc makes and answers the calls between the VMs of a fleet: loans of
// customers' rates, notices of replicas' limits and of requests that crash replicas, calls
// to the store and requests to replicas for a VM that cannot reach them, changes of
// programs' turns and budgets at their home VM, and loads of histories there. It only encodes and decodes the calls; the decisions are in the packages
// fleet, storepath and ledger, and the connections in package peer.
package fleetrpc

import (
	"context"
	"errors"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/connection/peer"
	"hornbeamvale.example/hornbeamvale/internal/process/decisionlog"
	"hornbeamvale.example/hornbeamvale/internal/process/fleet"
	"hornbeamvale.example/hornbeamvale/internal/process/intake"
	"hornbeamvale.example/hornbeamvale/internal/process/ledger"
	"hornbeamvale.example/hornbeamvale/internal/process/quarantine"
	"hornbeamvale.example/hornbeamvale/internal/process/replicapath"
	"hornbeamvale.example/hornbeamvale/internal/process/storepath"
	"hornbeamvale.example/hornbeamvale/internal/request/detour"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// loanRequest is the payload of a peer.ShareAsk message.
type loanRequest struct {
	Customer string        `msgpack:"c"`
	MaxWait  time.Duration `msgpack:"m"`
	Prefetch float64       `msgpack:"p,omitempty"`
}

// loanReply is the payload of a peer.ShareGrant message.
type loanReply struct {
	Granted    bool          `msgpack:"g"`
	Wait       time.Duration `msgpack:"w,omitempty"`
	Prefetched float64       `msgpack:"p,omitempty"`
	NoShare    bool          `msgpack:"n,omitempty"`
}

// earlierNoShareWait is the wait that builds without the field NoShare state if they have
// no share.
const earlierNoShareWait = time.Hour

// loan decodes the reply of a VM of this build or an earlier one.
func (r loanReply) loan() fleet.Loan {
	noShare := r.NoShare || !r.Granted && r.Wait >= earlierNoShareWait
	return fleet.Loan{Granted: r.Granted, Wait: max(0, r.Wait), Prefetched: max(0, r.Prefetched), NoShare: noShare}
}

// callVM makes one call to another VM. It encodes the request and decodes the answer into
// reply.
func callVM(ctx context.Context, m *peer.Manager, to fleet.Member, t peer.Type, request, reply any) error {
	payload, err := peer.Encode(request)
	if err != nil {
		return err
	}
	message, err := m.Call(ctx, to.VM, to.Address, peer.Message{Type: t, Payload: payload})
	if err != nil {
		return &Error{VM: to.VM, Err: err}
	}
	return peer.Decode(message.Payload, reply)
}

// Error is the failure of a call to another VM.
type Error struct {
	VM  string
	Err error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotSent implements storepath.NotSentError. It reports whether the other VM certainly
// did not get the call.
func (e *Error) NotSent() bool {
	var pe *peer.Error
	return errors.As(e.Err, &pe) && pe.Run == refusal.NotRun
}

// PeerClient makes the calls of the control thread to other VMs. It implements
// fleet.PeerClient.
type PeerClient struct{ Manager *peer.Manager }

// Borrow implements fleet.PeerClient.
func (l *PeerClient) Borrow(ctx context.Context, to fleet.Member, customer string, r fleet.LoanRequest) (fleet.Loan, error) {
	var reply loanReply
	if err := callVM(ctx, l.Manager, to, peer.ShareAsk, loanRequest{Customer: customer, MaxWait: r.MaxWait, Prefetch: r.Prefetch}, &reply); err != nil {
		return fleet.Loan{}, err
	}
	return reply.loan(), nil
}

// Notify implements fleet.PeerClient.
func (l *PeerClient) Notify(ctx context.Context, to fleet.Member, notices []fleet.LimitNotice) error {
	var noted struct{}
	return callVM(ctx, l.Manager, to, peer.ReplicaNotice, notices, &noted)
}

// NotifyQuarantine implements fleet.PeerClient.
func (l *PeerClient) NotifyQuarantine(ctx context.Context, to fleet.Member, notices []quarantine.Notice) error {
	var noted struct{}
	return callVM(ctx, l.Manager, to, peer.CrashNotice, notices, &noted)
}

// StoreProxy makes calls to the store through one other VM. It implements
// storepath.Proxy.
type StoreProxy struct {
	Manager *peer.Manager
	Member  fleet.Member
}

// VM implements storepath.Proxy.
func (p StoreProxy) VM() string { return p.Member.VM }

// Make implements storepath.Proxy.
func (p StoreProxy) Make(ctx context.Context, c storepath.Call) (storepath.Reply, error) {
	var reply storepath.Reply
	err := callVM(ctx, p.Manager, p.Member, peer.StoreAsk, c, &reply)
	return reply, err
}

// Server answers the calls of other VMs. It implements peer.Handler.
type Server struct {
	Loop   *fleet.Loop
	Path   *storepath.Path
	Ledger *ledger.Ledger
	// Replicas sends the requests of other VMs to replicas, ReplicaPath tells whether this
	// VM reaches them.
	Replicas    detour.Sender
	ReplicaPath *replicapath.Path
	// MayForward reports whether this VM may send a request of another VM to the replica at
	// the address.
	MayForward func(ctx context.Context, replica, address string) bool
	// Intake bounds the bodies of forwarded requests together with those of this VM's
	// callers; nil for no bound.
	Intake *intake.Intake
	// Log gets a line for each forwarded request that ends early; nil for none.
	Log *decisionlog.Log

	forwarded forwardedRequests
}

// Stream implements peer.Handler. VMs of a fleet open streams to have requests forwarded and
// histories loaded.
func (s *Server) Stream(ctx context.Context, from string, stream *peer.Stream) {
	first, err := stream.Recv(ctx)
	if err != nil {
		stream.Cancel()
		return
	}
	if first.Type == peer.HistoryAsk {
		s.sendHistory(ctx, stream, first)
		return
	}
	if id, err := s.forward(ctx, stream, first); err != nil && s.Log != nil {
		s.Log.Request("Forwarded request ended early", "id", id, "vm", from, "err", err)
	}
}

// Call implements peer.Handler.
func (s *Server) Call(ctx context.Context, _ string, m peer.Message) (peer.Message, error) {
	switch m.Type {
	case peer.ShareAsk:
		return s.lend(ctx, m.Payload)
	case peer.StoreAsk:
		var c storepath.Call
		if err := peer.Decode(m.Payload, &c); err != nil {
			return peer.Message{}, refusal.New(refusal.BadRequest, "%v", err)
		}
		payload, err := peer.Encode(s.Path.Serve(ctx, c))
		return peer.Message{Type: peer.StoreReply, Payload: payload}, err
	case peer.ReplicaNotice:
		return s.noteLimits(ctx, m.Payload)
	case peer.CrashNotice:
		return s.noteQuarantine(ctx, m.Payload)
	case peer.LedgerOpen, peer.LedgerRecord, peer.LedgerSettle:
		return s.changeLedger(ctx, m)
	}
	return peer.Message{}, refusal.New(refusal.BadRequest, "message type %d is not served", m.Type)
}

// noteLimits passes the notices of another VM to the control thread.
func (s *Server) noteLimits(ctx context.Context, payload []byte) (peer.Message, error) {
	var noticed fleet.LimitsNoticed
	if err := peer.Decode(payload, &noticed.Notices); err != nil {
		return peer.Message{}, refusal.New(refusal.BadRequest, "%v", err)
	}
	return s.postNotices(ctx, noticed, peer.ReplicaNoted)
}

// noteQuarantine passes the notices of another VM to the control thread.
func (s *Server) noteQuarantine(ctx context.Context, payload []byte) (peer.Message, error) {
	var noticed fleet.QuarantineNoticed
	if err := peer.Decode(payload, &noticed.Notices); err != nil {
		return peer.Message{}, refusal.New(refusal.BadRequest, "%v", err)
	}
	return s.postNotices(ctx, noticed, peer.CrashNoted)
}

// postNotices posts notices to the control thread and returns the reply to them.
func (s *Server) postNotices(ctx context.Context, noticed fleet.Event, reply peer.Type) (peer.Message, error) {
	if err := s.Loop.Post(ctx, noticed); err != nil {
		return peer.Message{}, err
	}
	payload, err := peer.Encode(struct{}{})
	return peer.Message{Type: reply, Payload: payload}, err
}

// lend answers another VM's request for a loan.
func (s *Server) lend(ctx context.Context, payload []byte) (peer.Message, error) {
	var request loanRequest
	if err := peer.Decode(payload, &request); err != nil {
		return peer.Message{}, refusal.New(refusal.BadRequest, "%v", err)
	}
	reply := make(chan fleet.Loan, 1)
	lend := fleet.Lend{
		Customer: request.Customer, Reply: reply,
		LoanRequest: fleet.LoanRequest{MaxWait: request.MaxWait, Prefetch: request.Prefetch},
	}
	if err := s.Loop.Post(ctx, lend); err != nil {
		return peer.Message{}, err
	}
	select {
	case loan := <-reply:
		payload, err := peer.Encode(loanReply{Granted: loan.Granted, Wait: loan.Wait, Prefetched: loan.Prefetched, NoShare: loan.NoShare})
		return peer.Message{Type: peer.ShareGrant, Payload: payload}, err
	case <-ctx.Done():
		return peer.Message{}, ctx.Err()
	}
}
