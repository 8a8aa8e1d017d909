package connection

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// rawReceiveBuffer is the size of a raw server's receive buffers, in bytes. It is small, so
// that a request whose body is not read stays in progress at its sender.
const rawReceiveBuffer = 4 << 10

// Step is one action of a raw server after it has read the head of a request.
type Step func(c *net.TCPConn, r *http.Request) error

// errEnded ends the connection of a raw server.
var errEnded = errors.New("the connection has ended")

// Send sends bytes as they are, but for ${NAME}, which stands for the request's header NAME.
func Send(text string) Step {
	return func(c *net.TCPConn, r *http.Request) error {
		_, err := io.WriteString(c, os.Expand(text, r.Header.Get))
		return err
	}
}

// ReadBody reads the request's body.
func ReadBody(_ *net.TCPConn, r *http.Request) error {
	_, err := io.Copy(io.Discard, r.Body)
	return err
}

// Pause waits.
func Pause(d time.Duration) Step {
	return func(*net.TCPConn, *http.Request) error {
		time.Sleep(d)
		return nil
	}
}

// End closes the connection. What is unread makes the kernel reset it.
func End(*net.TCPConn, *http.Request) error { return errEnded }

// EndOutput closes the connection for output only.
func EndOutput(c *net.TCPConn, _ *http.Request) error { return c.CloseWrite() }

// Reset resets the connection.
func Reset(c *net.TCPConn, _ *http.Request) error { return errors.Join(c.SetLinger(0), errEnded) }

// RawServer answers HTTP requests with arbitrary bytes and ends its connections at will. It
// is reached without a Link, which would turn a reset into the end of a connection.
type RawServer struct {
	listener net.Listener

	mu       sync.Mutex
	accepted int // connections
	answer   []Step
	requests []http.Header
	open     map[*net.TCPConn]bool
}

// NewRawServer listens on a free loopback port.
func NewRawServer() (*RawServer, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error // connections inherit the buffer of their listener
		err := raw.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, rawReceiveBuffer)
		})
		return errors.Join(err, optionErr)
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &RawServer{listener: listener, open: map[*net.TCPConn]bool{}}
	go s.serve()
	return s, nil
}

// Address returns the address on which the server listens.
func (s *RawServer) Address() string { return s.listener.Addr().String() }

// SetAnswer sets the answer to requests that arrive from now on.
func (s *RawServer) SetAnswer(steps ...Step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = steps
}

// Requests returns the headers of the requests that have arrived.
func (s *RawServer) Requests() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requests)
}

// Accepted returns the number of connections that have been made.
func (s *RawServer) Accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// Close closes the listener and all connections.
func (s *RawServer) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		_ = c.Close()
	}
}

func (s *RawServer) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		tcp := c.(*net.TCPConn)
		s.mu.Lock()
		s.open[tcp] = true
		s.accepted++
		s.mu.Unlock()
		go s.serveConnection(tcp)
	}
}

// serveConnection answers the requests of a connection until a step ends it.
func (s *RawServer) serveConnection(c *net.TCPConn) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.open, c)
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.requests = append(s.requests, r.Header)
		answer := s.answer
		s.mu.Unlock()
		for _, step := range append(slices.Clone(answer), ReadBody) {
			if step(c, r) != nil {
				return
			}
		}
	}
}
