// Package peer transports messages between VMs as msgpack frames. Streams and
// calls to a VM are multiplexed over one TCP connection, with credit-based flow
// control for each stream. Messages are passed to a Handler; this package takes
// no decision on them.
package peer

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Type is the type of a message. The numbers are part of the protocol.
type Type uint8

// The message types.
const (
	Hello         Type = 1  // first frame of each side; names the sender
	GoAway        Type = 2  // the sender opens no more streams on this connection
	StreamEnd     Type = 3  // the sender has closed the stream
	CallRefusal   Type = 4  // reply to a call that failed
	TurnRequest   Type = 10 // opens a stream for one turn and carries the request
	TurnChunk     Type = 11 // part of a turn's streamed answer
	TurnEnd       Type = 12 // the whole answer of a turn
	TurnRefusal   Type = 13 // the turn was refused
	TurnCancel    Type = 14 // the sender has cancelled the stream
	TurnCredit    Type = 15 // allows the receiver to send more messages on the stream
	RunEnd        Type = 16 // ends a program run
	RunSettle     Type = 17 // records the outcome of a call whose outcome was unknown
	LimitAsk      Type = 20 // asks the owner of customers' limits for tokens
	LimitGrant    Type = 21 // reply to LimitAsk
	LimitRecall   Type = 22 // asks a VM to register with the owners of limits
	LimitAccount  Type = 23 // reads the accounts that the receiver kept as the previous owner of limits
	ConfigNotice  Type = 30 // a new configuration version exists
	ConfigConfirm Type = 31 // asks a VM for its configuration version
	SlotNotice    Type = 40 // the sender has handed over slots to the receiver
	EventQuery    Type = 50 // reads the time line of a run
	EventPage     Type = 51 // reply to EventQuery
	StatusQuery   Type = 52 // reads the status of a VM
	StatusPage    Type = 53 // reply to StatusQuery
	ShareAsk      Type = 60 // asks another VM for a loan of tokens of a customer's rate
	ShareGrant    Type = 61 // reply to ShareAsk
	StoreAsk      Type = 62 // asks another VM to make a call of the store
	StoreReply    Type = 63 // reply to StoreAsk
	LedgerOpen    Type = 64 // opens a turn at the home VM of its group
	LedgerRecord  Type = 65 // records the end of a turn at the home VM
	LedgerSettle  Type = 66 // replaces a turn's reservation of tokens by its use, at the home VM
	LedgerReply   Type = 67 // reply to the other ledger messages
	ReplicaNotice Type = 68 // tells another VM about the limits of replicas
	ReplicaNoted  Type = 69 // reply to ReplicaNotice
	CrashNotice   Type = 70 // tells another VM about requests that crash replicas
	CrashNoted    Type = 71 // reply to CrashNotice
	ForwardAsk    Type = 72 // opens a stream and asks another VM to send a request to a replica
	ForwardHead   Type = 73 // head of the replica's answer, or why there is none
	ForwardBody   Type = 74 // part of the request's body or of the answer's
	ForwardEnd    Type = 75 // end of the answer
	HistoryAsk    Type = 76 // opens a stream and asks the home VM of a group to load a history
	HistoryState  Type = 77 // how far the load has come
	HistoryAccept Type = 78 // asks for the loaded history
	HistoryPart   Type = 79 // some turns of the history
	typeLimit          = 80 // one more than the largest type
)

// role is what a message does when its stream id is new to the receiver.
type role uint8

const (
	roleNone   role = iota // opens nothing: it belongs to an open stream
	roleStream             // opens a stream
	roleCall               // is a request with one reply
)

func (t Type) role() role {
	switch t {
	case TurnRequest, ForwardAsk, HistoryAsk:
		return roleStream
	case RunEnd, RunSettle, LimitAsk, LimitRecall, LimitAccount, ConfigNotice, ConfigConfirm, SlotNotice, EventQuery, StatusQuery, ShareAsk, StoreAsk,
		LedgerOpen, LedgerRecord, LedgerSettle, ReplicaNotice, CrashNotice:
		return roleCall
	}
	return roleNone
}

// internal reports whether only this package, and not its users, may send the type.
func (t Type) internal() bool {
	return t <= CallRefusal || t == TurnCancel || t == TurnCredit || t >= typeLimit
}

// Message is one message of a stream or a call, without its stream id.
type Message struct {
	Type    Type
	Payload []byte
}

// Encode returns the msgpack encoding of the payload v.
func Encode(v any) ([]byte, error) {
	data, err := msgpack.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode payload: %w", err)
	}
	return data, nil
}

// Decode decodes a msgpack payload into v.
func Decode(data []byte, v any) error {
	if err := msgpack.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode payload: %w", err)
	}
	return nil
}
