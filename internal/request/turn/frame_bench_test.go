package turn

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/connection/call"
	"hornbeamvale.example/hornbeamvale/internal/connection/peer"
	"hornbeamvale.example/hornbeamvale/internal/process/control"
	"hornbeamvale.example/hornbeamvale/internal/process/limit"
	"hornbeamvale.example/hornbeamvale/internal/process/member"
)

// granter is a peer.Handler that answers limit asks with one grant for each customer
// and other calls with an empty message.
type granter struct{}

func (granter) Stream(context.Context, string, *peer.Stream) {}

func (granter) Call(_ context.Context, _ string, m peer.Message) (peer.Message, error) {
	if m.Type != peer.LimitAsk {
		return peer.Message{Type: m.Type}, nil
	}
	asks, err := decodeAsks(m.Payload)
	if err != nil {
		return peer.Message{}, err
	}
	var grants []control.CustomerGrant
	for _, a := range asks {
		grants = append(grants, control.CustomerGrant{Customer: a.Customer, Grant: limit.Grant{
			Sequence: a.Ask.Sequence, Tokens: 1.5, Lifetime: limit.GrantLifetime, Registered: true,
		}})
	}
	payload, err := encodeGrants(asks, grants)
	return peer.Message{Type: peer.LimitGrant, Payload: payload}, err
}

// benchRemote returns a Remote, its manager and the peer that answers it.
func benchRemote(b *testing.B) (*Remote, *peer.Manager, control.Peer) {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	client, server := peer.NewManager("entry-0001", nil, granter{}), peer.NewManager("entry-0002", nil, granter{})
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, l) }()
	b.Cleanup(func() {
		cancel()
		client.Close()
		server.Close()
		<-served
	})
	to := control.Peer{ID: "entry-0002.ABCDEFGHIJKL", Info: member.Info{VM: "entry-0002", Address: l.Addr().String()}}
	return &Remote{Manager: client, Timeout: 2 * time.Second}, client, to
}

// BenchmarkLimitFrame measures one call that asks another VM for shares of limits, by
// the number of customers in the frame.
func BenchmarkLimitFrame(b *testing.B) {
	for _, customers := range []int{1, 2, 8, 64} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			r, m, to := benchRemote(b)
			asks := make([]control.CustomerAsk, customers)
			for i := range asks {
				asks[i] = control.CustomerAsk{Customer: fmt.Sprintf("customer-%04d", i), Ask: limit.Ask{
					VM: control.ShortMemberID("entry-0001.ABCDEFGHIJKL"), Incarnation: 1, Sequence: 1000, Want: 1.5,
				}}
			}
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				if grants, err := r.AskLimits(context.Background(), to, asks); err != nil || len(grants) != customers {
					b.Fatal(err)
				}
				n++
			}
			out, _ := m.FrameBytes(peer.LimitAsk)
			_, in := m.FrameBytes(peer.LimitGrant)
			b.ReportMetric(float64(out)/float64(n), "ask-bytes/op")
			b.ReportMetric(float64(in)/float64(n), "grant-bytes/op")
		})
	}
}

// BenchmarkVersionNotice measures the notice of a new version to one VM.
func BenchmarkVersionNotice(b *testing.B) {
	r, m, to := benchRemote(b)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		if err := r.NotifyVersion(context.Background(), to, 49_000); err != nil {
			b.Fatal(err)
		}
		n++
	}
	out, in := m.FrameBytes(peer.ConfigNotice)
	b.ReportMetric(float64(out+in)/float64(n), "wire-bytes/op")
}

// BenchmarkChunkEncoding measures the encoding and decoding of one chunk of text
// between VMs.
func BenchmarkChunkEncoding(b *testing.B) {
	for _, size := range []int{4, 64, 1024} {
		b.Run(fmt.Sprintf("text=%d", size), func(b *testing.B) {
			c := call.Chunk{Text: string(make([]byte, size))}
			b.ReportAllocs()
			bytes := 0
			for b.Loop() {
				m, err := message(peer.TurnChunk, c)
				if err != nil {
					b.Fatal(err)
				}
				var got call.Chunk
				if err := peer.Decode(m.Payload, &got); err != nil {
					b.Fatal(err)
				}
				bytes = len(m.Payload)
			}
			b.ReportMetric(float64(bytes), "payload-bytes")
		})
	}
}
