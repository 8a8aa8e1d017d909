// Package fleetrpc carries the calls between the VMs of a fleet: loans of customers'
// rates, and calls of the store for a VM that does not reach it.
package fleetrpc

import (
	"context"
	"errors"

	"hornbeamvale.example/hornbeamvale/internal/connection/peer"
	"hornbeamvale.example/hornbeamvale/internal/process/fleet"
	"hornbeamvale.example/hornbeamvale/internal/process/ledger"
	"hornbeamvale.example/hornbeamvale/internal/process/storepath"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

type shareAsk struct {
	Customer string  `msgpack:"c"`
	Want     float64 `msgpack:"w"`
	Wait     bool    `msgpack:"q,omitempty"`
}

type shareGrant struct {
	Tokens float64 `msgpack:"t"`
}

// call makes one call of another VM.
func call(ctx context.Context, m *peer.Manager, to fleet.Seat, t peer.Type, question, reply any) error {
	payload, err := peer.Encode(question)
	if err != nil {
		return err
	}
	message, err := m.Call(ctx, to.VM, to.Address, peer.Message{Type: t, Payload: payload})
	if err != nil {
		return &Error{VM: to.VM, Err: err}
	}
	return peer.Decode(message.Payload, reply)
}

// Error is a call that another VM did not answer.
type Error struct {
	VM  string
	Err error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotSent implements storepath.NotSentError.
func (e *Error) NotSent() bool {
	var pe *peer.Error
	return errors.As(e.Err, &pe) && pe.Run == refusal.NotRun
}

// Remote asks other VMs for loans. It implements fleet.Peers.
type Remote struct{ Manager *peer.Manager }

// Borrow implements fleet.Peers.
func (r *Remote) Borrow(ctx context.Context, to fleet.Seat, customer string, q fleet.LoanRequest) (float64, error) {
	var grant shareGrant
	err := call(ctx, r.Manager, to, peer.ShareAsk, shareAsk{Customer: customer, Want: q.Want, Wait: q.Wait}, &grant)
	return max(0, grant.Tokens), err
}

// Helper makes calls of the store at one VM. It implements storepath.Helper.
type Helper struct {
	Manager *peer.Manager
	Seat    fleet.Seat
}

// VM implements storepath.Helper.
func (h Helper) VM() string { return h.Seat.VM }

// Make implements storepath.Helper.
func (h Helper) Make(ctx context.Context, c storepath.Call) (storepath.Reply, error) {
	var reply storepath.Reply
	err := call(ctx, h.Manager, h.Seat, peer.StoreAsk, c, &reply)
	return reply, err
}

// Server answers other VMs. It implements peer.Handler.
type Server struct {
	Loop   *fleet.Loop
	Path   *storepath.Path
	Ledger *ledger.Ledger
}

// Stream implements peer.Handler; VMs of a fleet open none.
func (s *Server) Stream(context.Context, string, *peer.Stream) {}

// Message implements peer.Handler.
func (s *Server) Message(ctx context.Context, _ string, m peer.Message) (peer.Message, error) {
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
	case peer.LedgerOpen, peer.LedgerRecord, peer.LedgerSettle:
		return s.keep(ctx, m)
	}
	return peer.Message{}, refusal.New(refusal.BadRequest, "message type %d is not served", m.Type)
}

func (s *Server) lend(ctx context.Context, payload []byte) (peer.Message, error) {
	var ask shareAsk
	if err := peer.Decode(payload, &ask); err != nil {
		return peer.Message{}, refusal.New(refusal.BadRequest, "%v", err)
	}
	reply := make(chan float64, 1)
	if err := s.Loop.Post(ctx, fleet.Lend{Customer: ask.Customer, LoanRequest: fleet.LoanRequest{Want: ask.Want, Wait: ask.Wait}, Reply: reply}); err != nil {
		return peer.Message{}, err
	}
	select {
	case tokens := <-reply:
		payload, err := peer.Encode(shareGrant{Tokens: tokens})
		return peer.Message{Type: peer.ShareGrant, Payload: payload}, err
	case <-ctx.Done():
		return peer.Message{}, ctx.Err()
	}
}
