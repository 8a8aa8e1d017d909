// Package peer carries messages between VMs: msgpack frames on one TCP
// connection for each pair, with multiplexed streams and credit. Messages reach
// a Handler; this package takes no decision on them.
package peer

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Type says what a message is. The numbers are part of the protocol.
type Type uint8

// The message types.
const (
	Hello         Type = 1  // first frame of each side, names the sender
	GoAway        Type = 2  // the sender opens no more streams on this connection
	StreamEnd     Type = 3  // the sender has closed the stream
	CallRefusal   Type = 4  // reply to a call that failed
	TurnRequest   Type = 10 // opens a stream
	TurnChunk     Type = 11
	TurnEnd       Type = 12
	TurnRefusal   Type = 13
	TurnCancel    Type = 14
	TurnCredit    Type = 15
	RunEnd        Type = 16
	RunSettle     Type = 17
	LimitAsk      Type = 20
	LimitGrant    Type = 21
	LimitRecall   Type = 22
	LimitAccount  Type = 23
	ConfigNotice  Type = 30
	ConfigConfirm Type = 31
	SlotNotice    Type = 40
	EventQuery    Type = 50
	EventPage     Type = 51
	StatusQuery   Type = 52
	StatusPage    Type = 53
	ShareAsk      Type = 60
	ShareGrant    Type = 61
	StoreAsk      Type = 62
	StoreReply    Type = 63
	LedgerOpen    Type = 64
	LedgerRecord  Type = 65
	LedgerSettle  Type = 66
	LedgerReply   Type = 67
	typeLimit          = 68 // one more than the largest type
)

// role says what a message does when its stream id is new to the receiver.
type role uint8

const (
	roleNone   role = iota // belongs to an open stream
	roleStream             // opens a stream
	roleCall               // is a request with one reply
)

func (t Type) role() role {
	switch t {
	case TurnRequest:
		return roleStream
	case RunEnd, RunSettle, LimitAsk, LimitRecall, LimitAccount, ConfigNotice, ConfigConfirm, SlotNotice, EventQuery, StatusQuery, ShareAsk, StoreAsk,
		LedgerOpen, LedgerRecord, LedgerSettle:
		return roleCall
	}
	return roleNone
}

// internal reports whether only this package may send the type.
func (t Type) internal() bool {
	return t <= CallRefusal || t == TurnCancel || t == TurnCredit || t >= typeLimit
}

// Message is one message of a stream or a call.
type Message struct {
	Type    Type
	Payload []byte
}

// Encode returns the msgpack encoding of a payload.
func Encode(v any) ([]byte, error) {
	data, err := msgpack.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode payload: %w", err)
	}
	return data, nil
}

// Decode reads a payload into v.
func Decode(data []byte, v any) error {
	if err := msgpack.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode payload: %w", err)
	}
	return nil
}
