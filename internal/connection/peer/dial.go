package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"
)

const (
	// handshakeTimeout bounds the dial, the TLS handshake and the exchange of hello
	// frames together.
	handshakeTimeout = 3 * time.Second
	// maxHelloBytes bounds the first frame, which arrives before the other side has said who
	// it is, and maxHandshakes the connections that have not said it. A fleet has up to 410
	// VMs, which may all connect at the same time.
	maxHelloBytes = 4 << 10
	maxHandshakes = 512
	// protocolVersion is raised when frames change in a way that older VMs misread.
	protocolVersion = 1
)

// keepAlive detects within about 11 s that a VM is gone without having closed the
// connection.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// goneTimeout is how long sent bytes may stay unacknowledged on a connection that was silent.
// The keep-alive says nothing about a VM while sent bytes wait. It is as long as the
// keep-alive takes: the kernel of a VM whose process is paused still acknowledges.
const goneTimeout = 11 * time.Second

// helloPayload is the payload of Hello.
type helloPayload struct {
	Name     string `msgpack:"n"`
	Protocol int    `msgpack:"p"`
}

// dial connects to a VM for every request that waits for d.
func (m *Manager) dial(to dialTarget, d *pendingDial) {
	c, err := m.connect(to.vm, to.address)
	if err == nil && !m.start(c) {
		err = errManagerClosed
	}
	m.mu.Lock()
	d.conn, d.err = c, err
	delete(m.dials, to)
	m.mu.Unlock()
	close(d.done)
}

// connect dials address and checks that vm answers there.
func (m *Manager) connect(vm, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(m.ctx, handshakeTimeout)
	defer cancel()
	dialer := &net.Dialer{KeepAliveConfig: keepAlive}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if m.tls != nil {
		nc = tls.Client(nc, m.tls)
	}
	reader := bufio.NewReaderSize(nc, bufferSize)
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	name, err := m.exchangeHello(ctx, nc, reader, true)
	if err == nil && name != vm {
		err = fmt.Errorf("the VM at %s is %q, expected %q", address, name, vm)
	}
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	return newConn(m, vm, address, nc, reader), nil
}

// accept makes the handshake of an incoming connection and starts the connection.
func (m *Manager) accept(nc net.Conn) {
	defer m.handshakes.Add(-1)
	if m.handshakes.Add(1) > maxHandshakes {
		_ = nc.Close()
		return
	}
	ctx, cancel := context.WithTimeout(m.ctx, handshakeTimeout)
	defer cancel()
	reader := bufio.NewReaderSize(nc, bufferSize)
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	name, err := m.exchangeHello(ctx, nc, reader, false)
	if !stop() || err != nil {
		_ = nc.Close()
		return
	}
	m.start(newConn(m, name, "", nc, reader))
}

// exchangeHello exchanges hello frames and returns the other side's name. The
// accepting side answers after its checks: in TLS 1.3 the dialling side's handshake
// ends before its certificate is verified, and no request may be written until then.
func (m *Manager) exchangeHello(ctx context.Context, nc net.Conn, reader *bufio.Reader, dialled bool) (string, error) {
	certified, err := m.certificateName(ctx, nc)
	if err != nil {
		return "", err
	}
	if dialled {
		if err := m.sendHello(nc); err != nil {
			return "", err
		}
	}
	f, size, err := readFrameWithin(reader, maxHelloBytes)
	if err != nil {
		return "", err
	}
	m.received(f.Type, size)
	var hello helloPayload
	if f.Type != Hello || Decode(f.Payload, &hello) != nil || hello.Protocol != protocolVersion || hello.Name == "" {
		return "", errors.New("the first frame is not a valid hello")
	}
	if m.tls != nil && hello.Name != certified {
		return "", fmt.Errorf("hello names %q, the certificate %q", hello.Name, certified)
	}
	if !dialled {
		return hello.Name, m.sendHello(nc)
	}
	return hello.Name, nil
}

// certificateName completes the TLS handshake and returns the common name of the
// other side's certificate. It returns an empty name without TLS.
func (m *Manager) certificateName(ctx context.Context, nc net.Conn) (string, error) {
	if m.tls == nil {
		return "", nil
	}
	secure, ok := nc.(*tls.Conn)
	if !ok {
		return "", errors.New("plaintext connection where TLS is configured")
	}
	if err := secure.HandshakeContext(ctx); err != nil {
		return "", err
	}
	certificates := secure.ConnectionState().PeerCertificates
	if len(certificates) == 0 || certificates[0].Subject.CommonName == "" {
		return "", errors.New("the certificate has no common name")
	}
	return certificates[0].Subject.CommonName, nil
}

func (m *Manager) sendHello(nc net.Conn) error {
	payload, err := Encode(helloPayload{Name: m.self, Protocol: protocolVersion})
	if err != nil {
		return err
	}
	data, err := encodeFrame(&frame{Type: Hello, Payload: payload})
	if err != nil {
		return err
	}
	if _, err := nc.Write(data); err != nil {
		return err
	}
	m.sent(Hello, len(data))
	return nil
}

// start starts the loops of a connection after its handshake. It returns false and
// closes the connection if the manager is closed. New streams to the VM use the newest
// dialled connection, or an accepted one if there is none.
func (m *Manager) start(c *conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		c.cancel()
		_ = c.nc.Close()
		return false
	}
	m.all[c] = struct{}{}
	if c.address != "" || m.conns[c.vm] == nil {
		m.conns[c.vm] = c
	}
	m.wait.Go(c.readLoop)
	m.wait.Go(c.writeLoop)
	return true
}
