package fleetrpc

import (
	"context"
	"errors"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/connection/peer"
	"hornbeamvale.example/hornbeamvale/internal/process/fleet"
	"hornbeamvale.example/hornbeamvale/internal/process/historyload"
	"hornbeamvale.example/hornbeamvale/internal/process/ledger"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// The outcomes of a call to a home. The home of a group is the VM that makes all changes
// of the group's turns and account while it answers.
const (
	outcomeOK             = ""
	outcomeBudgetExceeded = "budget"
	outcomeTurnNotFound   = "no_turn"
	outcomeStoreFailed    = "store"
	// outcomeLarge means that the history has to be loaded first. Only callers that state
	// LoadsLarge get it.
	outcomeLarge = "large"
	// outcomeRefused is that of a load that was refused, and outcomeLate that of a load or
	// change that has not ended in time although the store has not failed.
	outcomeRefused = "refused"
	outcomeLate    = "late"
)

// homeReply is the answer to a call to a home.
type homeReply struct {
	History ledger.History `msgpack:"l"`
	Outcome string         `msgpack:"o,omitempty"`
	Reason  string         `msgpack:"e,omitempty"` // error text of outcomeStoreFailed
	// Reserved is true if the turn's reservation may have been made.
	Reserved bool `msgpack:"r,omitempty"`
	// Bytes is the size of the history of outcomeLarge.
	Bytes int64 `msgpack:"b,omitempty"`

	replicaNews `msgpack:",inline"`
}

// HomeClient makes changes of the ledger through another VM. It implements ledger.Home.
type HomeClient struct {
	Manager *peer.Manager
	Member  fleet.Member
	// Loop has the news of replicas that the calls carry.
	Loop *fleet.Loop
	// Memory admits the histories that this VM receives.
	Memory *historyload.Gate
}

// VM implements ledger.Home.
func (h HomeClient) VM() string { return h.Member.VM }

// HeardSince implements ledger.Home.
func (h HomeClient) HeardSince(t time.Duration) bool { return h.Manager.HeardSince(h.Member.VM, t) }

// Open implements ledger.Home.
func (h HomeClient) Open(ctx context.Context, o ledger.OpenRequest) (ledger.History, error) {
	return h.call(ctx, peer.LedgerOpen, openPayload{o, newsOf(h.Loop)})
}

// Record implements ledger.Home.
func (h HomeClient) Record(ctx context.Context, r ledger.RecordRequest) error {
	_, err := h.call(ctx, peer.LedgerRecord, recordPayload{r, newsOf(h.Loop)})
	return err
}

// Settle implements ledger.Home.
func (h HomeClient) Settle(ctx context.Context, s ledger.SettleRequest) error {
	_, err := h.call(ctx, peer.LedgerSettle, settlePayload{s, newsOf(h.Loop)})
	return err
}

// call makes a call to the home and converts its outcome to the ledger's error.
func (h HomeClient) call(ctx context.Context, t peer.Type, request any) (ledger.History, error) {
	var reply homeReply
	if err := callVM(ctx, h.Manager, h.Member, t, request, &reply); err != nil {
		return ledger.History{}, err
	}
	reply.passOn(ctx, h.Loop)
	switch reply.Outcome {
	case outcomeOK:
		return reply.History, nil
	case outcomeBudgetExceeded:
		return ledger.History{}, ledger.ErrBudgetExceeded
	case outcomeTurnNotFound:
		return ledger.History{}, ledger.ErrTurnNotFound
	case outcomeLarge:
		return ledger.History{}, &ledger.LargeHistoryError{Bytes: reply.Bytes}
	}
	return ledger.History{}, &ledger.StoreError{Reason: reply.Reason, Reserved: reply.Reserved, Late: reply.Outcome == outcomeLate}
}

// changeLedger makes a change of a group's turns and account for another VM.
func (s *Server) changeLedger(ctx context.Context, m peer.Message) (peer.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, ledger.ServeTimeout)
	defer cancel()
	var history ledger.History
	var err error
	switch m.Type {
	case peer.LedgerOpen:
		var o openPayload
		if err = peer.Decode(m.Payload, &o); err == nil {
			o.passOn(ctx, s.Loop)
			history, err = s.Ledger.Open(ctx, o.OpenRequest)
		}
	case peer.LedgerRecord:
		var r recordPayload
		if err = peer.Decode(m.Payload, &r); err == nil {
			r.passOn(ctx, s.Loop)
			err = s.Ledger.Record(ctx, r.RecordRequest)
		}
	default:
		var request settlePayload
		if err = peer.Decode(m.Payload, &request); err == nil {
			request.passOn(ctx, s.Loop)
			err = s.Ledger.Settle(ctx, request.SettleRequest)
		}
	}
	reply := homeReply{History: history, replicaNews: newsOf(s.Loop)}
	var ledgerErr *ledger.Error
	var large *ledger.LargeHistoryError
	switch {
	case err == nil:
	case errors.As(err, &large):
		reply.Outcome, reply.Bytes = outcomeLarge, large.Bytes
	case errors.Is(err, ledger.ErrBudgetExceeded):
		reply.Outcome = outcomeBudgetExceeded
	case errors.Is(err, ledger.ErrTurnNotFound):
		reply.Outcome = outcomeTurnNotFound
	case errors.As(err, &ledgerErr):
		reply.Outcome, reply.Reason, reply.Reserved = outcomeStoreFailed, err.Error(), ledgerErr.Reserved
		if !ledger.StoreFailed(err) {
			reply.Outcome = outcomeLate // builds up to 7102817 take it for outcomeStoreFailed
		}
	default:
		return peer.Message{}, refusal.New(refusal.BadRequest, "%v", err)
	}
	payload, err := peer.Encode(reply)
	return peer.Message{Type: peer.LedgerReply, Payload: payload}, err
}
