package turn

import (
	"bytes"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hornbeamvale.example/hornbeamvale/internal/process/control"
	"hornbeamvale.example/hornbeamvale/internal/process/limit"
)

// Asks and grants, the messages between the limiters and the owners of customers' limits,
// are most of the control traffic between VMs: one request of a customer with a small
// share may need one of each. They are therefore encoded as arrays with compact numbers.
// An ask does not name the owner that it is for: a VM answers for the slots that it owns,
// and the epoch distinguishes the owners of a slot.

// wireAsks is the encoded form of the asks of one VM.
type wireAsks struct {
	VM   string
	Asks []wireAsk
}

// wireAsk is the encoded form of a control.CustomerAsk.
type wireAsk struct {
	Customer                     string
	Incarnation, Sequence, Epoch uint64
	Held, Returned, Want         float64
	Flags                        uint8
}

// The flags of a wireAsk.
const (
	askSettled = 1 << iota
	askBrief
)

// wireGrant is the encoded form of a control.CustomerGrant. Ask is the position of the
// ask that it answers; the grant takes its customer and sequence number from that ask.
type wireGrant struct {
	Ask      int
	Epoch    uint64
	Tokens   float64
	Lifetime int64 // in lifetimeUnit, rounded down
	Flags    uint8
}

// lifetimeUnit is the unit of lifetimes in grants, in which each lifetime is encoded in
// one byte.
const lifetimeUnit = 100 * time.Millisecond

// The flags of a wireGrant.
const (
	grantRegistered = 1 << iota
	grantKeep
)

// limitRecall asks a member to register with the owners of customers' limits.
type limitRecall struct {
	Member    string   `msgpack:"m"`
	Customers []string `msgpack:"c"`
}

// accountQuery asks the former owner of limits for its accounts.
type accountQuery struct {
	Member  string                 `msgpack:"m"`
	Queries []control.AccountQuery `msgpack:"q"`
}

// accountPage is the answer to an accountQuery. It is sent in the compact encoding.
type accountPage struct {
	Accounts []control.CustomerAccount
}

// encodeCompact encodes structs as arrays and numbers in as few bytes as possible.
func encodeCompact(v any) ([]byte, error) {
	var buf bytes.Buffer
	e := msgpack.NewEncoder(&buf)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	e.UseCompactFloats(true)
	if err := e.Encode(v); err != nil {
		return nil, fmt.Errorf("encode limit message: %w", err)
	}
	return buf.Bytes(), nil
}

// encodeAsks returns the payload of asks, which are all from the same VM.
func encodeAsks(asks []control.CustomerAsk) ([]byte, error) {
	var w wireAsks
	for _, a := range asks {
		w.VM = a.Ask.VM
		w.Asks = append(w.Asks, wireAsk{
			Customer: a.Customer, Incarnation: a.Ask.Incarnation, Sequence: a.Ask.Sequence, Epoch: a.Ask.Epoch,
			Held: a.Ask.Held, Returned: a.Ask.Returned, Want: a.Ask.Want,
			Flags: flag(a.Ask.Settled, askSettled) | flag(a.Ask.Brief, askBrief),
		})
	}
	return encodeCompact(&w)
}

func decodeAsks(payload []byte) ([]control.CustomerAsk, error) {
	var w wireAsks
	if err := msgpack.Unmarshal(payload, &w); err != nil {
		return nil, fmt.Errorf("decode asks: %w", err)
	}
	asks := make([]control.CustomerAsk, 0, len(w.Asks))
	for _, a := range w.Asks {
		asks = append(asks, control.CustomerAsk{Customer: a.Customer, Ask: limit.Ask{
			VM: w.VM, Incarnation: a.Incarnation, Sequence: a.Sequence, Epoch: a.Epoch,
			Held: a.Held, Returned: a.Returned, Want: a.Want,
			Settled: a.Flags&askSettled != 0, Brief: a.Flags&askBrief != 0,
		}})
	}
	return asks, nil
}

// encodeGrants returns the payload of the grants that answer asks. An ask may have no
// grant.
func encodeGrants(asks []control.CustomerAsk, grants []control.CustomerGrant) ([]byte, error) {
	position := make(map[string]int, len(asks))
	for i, a := range asks {
		position[a.Customer] = i
	}
	w := make([]wireGrant, 0, len(grants))
	for _, g := range grants {
		w = append(w, wireGrant{
			Ask: position[g.Customer], Epoch: g.Grant.Epoch,
			Tokens: g.Grant.Tokens, Lifetime: int64(g.Grant.Lifetime / lifetimeUnit),
			Flags: flag(g.Grant.Registered, grantRegistered) | flag(g.Grant.Keep, grantKeep),
		})
	}
	return encodeCompact(w)
}

func decodeGrants(payload []byte, asks []control.CustomerAsk) ([]control.CustomerGrant, error) {
	var w []wireGrant
	if err := msgpack.Unmarshal(payload, &w); err != nil {
		return nil, fmt.Errorf("decode grants: %w", err)
	}
	grants := make([]control.CustomerGrant, 0, len(w))
	for _, g := range w {
		if g.Ask < 0 || g.Ask >= len(asks) {
			return nil, fmt.Errorf("decode grants: no ask %d", g.Ask)
		}
		a := asks[g.Ask]
		grants = append(grants, control.CustomerGrant{Customer: a.Customer, Grant: limit.Grant{
			Sequence: a.Ask.Sequence, Epoch: g.Epoch, Tokens: g.Tokens,
			Lifetime:   time.Duration(g.Lifetime) * lifetimeUnit,
			Registered: g.Flags&grantRegistered != 0, Keep: g.Flags&grantKeep != 0,
		}})
	}
	return grants, nil
}

// flag returns bit if on is true, and otherwise 0.
func flag(on bool, bit uint8) uint8 {
	if on {
		return bit
	}
	return 0
}
