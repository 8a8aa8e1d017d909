// Package lending carries questions between VMs that share customers' rates.
package lending

import (
	"context"

	"hornbeamvale.example/hornbeamvale/internal/connection/peer"
	"hornbeamvale.example/hornbeamvale/internal/process/fleet"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

type shareAsk struct {
	Customer string  `msgpack:"c"`
	Want     float64 `msgpack:"w"`
}

type shareGrant struct {
	Tokens float64 `msgpack:"t"`
}

// Remote asks other VMs. It implements fleet.Peers.
type Remote struct{ Manager *peer.Manager }

// Borrow implements fleet.Peers.
func (r *Remote) Borrow(ctx context.Context, to fleet.Seat, customer string, want float64) (float64, error) {
	payload, err := peer.Encode(shareAsk{Customer: customer, Want: want})
	if err != nil {
		return 0, err
	}
	reply, err := r.Manager.Call(ctx, to.VM, to.Address, peer.Message{Type: peer.ShareAsk, Payload: payload})
	if err != nil {
		return 0, err
	}
	var grant shareGrant
	if err := peer.Decode(reply.Payload, &grant); err != nil {
		return 0, err
	}
	return max(0, grant.Tokens), nil
}

// Server answers other VMs. It implements peer.Handler.
type Server struct{ Loop *fleet.Loop }

// Stream implements peer.Handler; VMs of this fleet open none.
func (s *Server) Stream(context.Context, string, *peer.Stream) {}

// Message implements peer.Handler.
func (s *Server) Message(ctx context.Context, _ string, m peer.Message) (peer.Message, error) {
	if m.Type != peer.ShareAsk {
		return peer.Message{}, refusal.New(refusal.BadRequest, "message type %d is not served", m.Type)
	}
	var ask shareAsk
	if err := peer.Decode(m.Payload, &ask); err != nil {
		return peer.Message{}, refusal.New(refusal.BadRequest, "%v", err)
	}
	reply := make(chan float64, 1)
	if err := s.Loop.Post(ctx, fleet.Lend{Customer: ask.Customer, Want: ask.Want, Reply: reply}); err != nil {
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
