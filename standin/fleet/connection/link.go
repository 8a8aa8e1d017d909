// Package connection provides a TCP forwarder that can cut or stall its connections, to
// simulate network faults between processes on loopback.
package connection

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"syscall"
)

// State determines how a link treats the traffic of one source.
type State string

// The states of a link.
const (
	Healthy State = "healthy"
	// Cut closes the connections and every new one.
	Cut State = "cut"
	// Stalled keeps connections open and forwards nothing, like a network that drops
	// every packet.
	Stalled State = "stalled"
	// Held keeps back what the source sends, and delivers it later: also after the source
	// has closed the connection, but not after it has reset it. The sender's kernel treats
	// bytes that are not acknowledged in this way.
	Held State = "held"
)

// identifyBytes limits the first read of a connection, in which the source's name is
// searched.
const identifyBytes = 512

var errLinkCut = errors.New("link is cut")

// Link forwards connections to one target. Its methods may be called by any
// goroutine.
type Link struct {
	listener net.Listener
	target   string
	sources  []string

	mu      sync.Mutex
	states  map[string]State
	changed chan struct{}       // closed and replaced at each change
	open    map[net.Conn]string // source of each open connection
	silent  map[net.Conn]bool   // open connections whose bytes are dropped
}

// NewLink listens on a free loopback port and forwards to target. The source of a
// connection is the name in sources that its first bytes contain, because VMs send their
// name in a hello frame at the start of a connection. With a single source, the bytes are
// not inspected.
func NewLink(target string, sources ...string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{
		listener: listener, target: target, sources: sources, states: map[string]State{},
		changed: make(chan struct{}), open: map[net.Conn]string{}, silent: map[net.Conn]bool{},
	}
	go l.serve()
	return l, nil
}

// Address returns the address on which the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetState changes the state of a source.
func (l *Link) SetState(source string, state State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.states[source] = state
	close(l.changed)
	l.changed = make(chan struct{})
	if state == Cut {
		for c, from := range l.open {
			if from == source {
				_ = c.Close()
			}
		}
	}
}

// Silence drops all further bytes of the connections of a source that are open now, in
// both directions and without a reset. New connections work.
func (l *Link) Silence(source string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, from := range l.open {
		if from == source {
			l.silent[c] = true
		}
	}
}

func (l *Link) isSilent(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent[c]
}

// Open returns the number of open connections of a source.
func (l *Link) Open(source string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, from := range l.open {
		if from == source {
			n++
		}
	}
	return n / 2 // a connection has an end at each side
}

// Close closes the listener and all connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	for _, source := range l.sources {
		l.SetState(source, Cut)
	}
}

func (l *Link) serve() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(c)
	}
}

// forward forwards one connection in both directions until one side closes it.
func (l *Link) forward(from net.Conn) {
	defer func() { _ = from.Close() }()
	source, first := l.identify(from)
	if source == "" || l.waitWhileStalled(source) != nil {
		return
	}
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	l.track(source, from, to)
	defer l.untrack(from, to)
	if _, err := to.Write(first); err != nil {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { l.copyFromSource(source, to, from) })
	wg.Go(func() { l.copy(source, from, to) })
	wg.Wait()
}

// identify returns the source of a connection, or "" if it is not known, and the bytes
// that it read to find out.
func (l *Link) identify(c net.Conn) (source string, first []byte) {
	if len(l.sources) == 1 {
		return l.sources[0], nil
	}
	first = make([]byte, identifyBytes)
	n, err := c.Read(first)
	if err != nil {
		return "", nil
	}
	first = first[:n]
	for _, s := range l.sources {
		if bytes.Contains(first, []byte(s)) {
			return s, first
		}
	}
	return "", nil
}

// track registers open connections of a source. It closes them if the source was cut in
// the meantime.
func (l *Link) track(source string, conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		l.open[c] = source
		if l.states[source] == Cut {
			_ = c.Close()
		}
	}
}

func (l *Link) untrack(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		delete(l.open, c)
		delete(l.silent, c)
	}
}

// copy forwards one direction and closes both connections when it ends.
func (l *Link) copy(source string, to, from net.Conn) {
	defer func() { _ = to.Close() }()
	defer func() { _ = from.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !l.isSilent(from) {
			if l.waitWhileStalled(source) != nil {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return // end of the stream or a network error
		}
	}
}

// copyFromSource forwards what the source sends, as copy does. It keeps reading while the
// source is held or stalled, to notice a reset.
func (l *Link) copyFromSource(source string, to, from net.Conn) {
	read := make(chan []byte)
	ended := make(chan error, 1)
	go func() {
		for {
			buffer := make([]byte, 32<<10)
			n, err := from.Read(buffer)
			if n > 0 && !l.isSilent(from) {
				read <- buffer[:n]
			}
			if err != nil {
				ended <- err
				close(read)
				return
			}
		}
	}()
	defer func() {
		_ = to.Close()
		_ = from.Close()
		for range read { // ends the reader
			continue
		}
	}()
	var held []byte
	closed := false // in order, so that what is held is still delivered
	for input := read; ; {
		l.mu.Lock()
		state, changed := l.states[source], l.changed
		l.mu.Unlock()
		if state == Cut {
			return
		}
		if state != Held && state != Stalled && len(held) > 0 {
			if _, err := to.Write(held); err != nil {
				return
			}
			held = nil
		}
		if closed && len(held) == 0 {
			return
		}
		select {
		case data, ok := <-input:
			held = append(held, data...)
			if !ok {
				if errors.Is(<-ended, syscall.ECONNRESET) {
					return
				}
				input, closed = nil, true
			}
		case <-changed:
		}
	}
}

// waitWhileStalled blocks while the source is stalled. It returns an error if the source
// is cut.
func (l *Link) waitWhileStalled(source string) error {
	for {
		l.mu.Lock()
		state, changed := l.states[source], l.changed
		l.mu.Unlock()
		switch state {
		case Cut:
			return errLinkCut
		case Stalled:
			<-changed
		default:
			return nil
		}
	}
}
