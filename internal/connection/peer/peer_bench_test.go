package peer

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"
)

// benchPair returns a client and the address of a server with handler h, as pair does,
// and the count of the bytes on the server's connections.
func benchPair(b *testing.B, h handler) (a *Manager, address string, bytes *atomic.Int64) {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	bytes = &atomic.Int64{}
	ctx, cancel := context.WithCancel(context.Background())
	a, server := NewManager("a", nil, handler{}), NewManager("b", nil, h)
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, countingListener{l, bytes}) }()
	b.Cleanup(func() {
		cancel()
		a.Close()
		server.Close()
		<-served
	})
	return a, l.Addr().String(), bytes
}

type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.bytes}, nil
}

// countingConn counts the bytes of both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

var benchSizes = []int{8, 128, 1024, 16384}

// BenchmarkCall measures one request with one reply of the same size.
func BenchmarkCall(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("payload=%d", size), func(b *testing.B) {
			a, address, bytes := benchPair(b, handler{call: func(_ context.Context, _ string, m Message) (Message, error) {
				return Message{Type: LimitGrant, Payload: m.Payload}, nil
			}})
			payload := make([]byte, size)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				if _, err := a.Call(context.Background(), "b", address, Message{LimitAsk, payload}); err != nil {
					b.Fatal(err)
				}
				n++
			}
			b.ReportMetric(float64(bytes.Load())/float64(n), "wire-bytes/op")
		})
	}
}

// BenchmarkChunk measures one chunk of a stream from the accepting to the dialling
// side, with the credit that it needs.
func BenchmarkChunk(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("payload=%d", size), func(b *testing.B) {
			payload := make([]byte, size)
			a, address, bytes := benchPair(b, handler{stream: func(ctx context.Context, _ string, s *Stream) {
				for s.Send(ctx, Message{TurnChunk, payload}) == nil {
				}
			}})
			s, err := a.Open(context.Background(), "b", address, Message{Type: TurnRequest})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				if _, err := s.Recv(context.Background()); err != nil {
					b.Fatal(err)
				}
				n++
			}
			b.ReportMetric(float64(bytes.Load())/float64(n), "wire-bytes/op")
			s.Cancel()
		})
	}
}

// BenchmarkConnectionMemory reports the heap and stack memory of one end of an idle
// connection, as half of the sum of both ends. Every VM has a connection to every
// other one.
func BenchmarkConnectionMemory(b *testing.B) {
	for _, n := range []int{10, 50, 200} {
		b.Run(fmt.Sprintf("connections=%d", n), func(b *testing.B) {
			_, address, _ := benchPair(b, handler{call: func(_ context.Context, _ string, m Message) (Message, error) {
				return Message{Type: LimitGrant, Payload: m.Payload}, nil
			}})
			for b.Loop() {
				before := memory()
				dialers := make([]*Manager, n)
				for i := range dialers {
					dialers[i] = NewManager(fmt.Sprint("a", i), nil, handler{})
					if _, err := dialers[i].Call(context.Background(), "b", address, Message{Type: LimitAsk}); err != nil {
						b.Fatal(err)
					}
				}
				time.Sleep(50 * time.Millisecond) // lets the handlers' goroutines end
				b.ReportMetric(float64(memory()-before)/float64(2*n), "bytes/connection-end")
				for _, m := range dialers {
					m.Close()
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
}

// memory returns the heap and stack memory in use after garbage collection, in bytes.
func memory() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
