package control

import "context"

// PeerClient sends messages to other members. Its methods run on workers and may block
// until ctx ends.
type PeerClient interface {
	// NotifySlots tells a member that slots have been handed over to it.
	NotifySlots(ctx context.Context, to Peer) error
	// NotifyVersion tells a member the number of a newly accepted version.
	NotifyVersion(ctx context.Context, to Peer, number uint64) error
	// ConfirmVersion asks a member for its version in force and how long ago the platform
	// confirmed it.
	ConfirmVersion(ctx context.Context, to Peer) (Confirmation, error)
	// AskLimits asks the owner of customers' limits for tokens.
	AskLimits(ctx context.Context, to Peer, asks []CustomerAsk) ([]CustomerGrant, error)
	// FetchAccounts asks the previous owner of customers' limits for their accounts.
	FetchAccounts(ctx context.Context, to Peer, queries []AccountQuery) ([]CustomerAccount, error)
	// RecallLimits asks a member to register with the owner of customers' limits.
	RecallLimits(ctx context.Context, to Peer, customers []string) error
}
