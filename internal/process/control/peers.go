package control

import "context"

// PeerClient sends messages to other members. Its methods run on workers and may block
// until ctx ends.
type PeerClient interface {
	NotifySlots(ctx context.Context, to Peer) error
	NotifyVersion(ctx context.Context, to Peer, number uint64) error
	ConfirmVersion(ctx context.Context, to Peer) (Confirmation, error)
	AskLimits(ctx context.Context, to Peer, asks []CustomerAsk) ([]CustomerGrant, error)
	FetchAccounts(ctx context.Context, to Peer, queries []AccountQuery) ([]CustomerAccount, error)
	RecallLimits(ctx context.Context, to Peer, customers []string) error
}
