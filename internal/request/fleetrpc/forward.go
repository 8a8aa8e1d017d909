package fleetrpc

import (
	"cmp"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/connection/call"
	"hornbeamvale.example/hornbeamvale/internal/connection/peer"
	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/fleet"
	"hornbeamvale.example/hornbeamvale/internal/process/httphead"
	"hornbeamvale.example/hornbeamvale/internal/process/intake"
	"hornbeamvale.example/hornbeamvale/internal/process/replica"
	"hornbeamvale.example/hornbeamvale/internal/process/replicapath"
	"hornbeamvale.example/hornbeamvale/internal/request/detour"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

const (
	// forwardOpenTimeout bounds the time until another VM has been sent a request that it
	// is to forward.
	forwardOpenTimeout = 200 * time.Millisecond
	// maxForwardedBody bounds the body of a forwarded request, in bytes.
	maxForwardedBody = 4 << 20
	// maxForwarded bounds the requests of other VMs that a VM forwards at the same time.
	maxForwarded = 128
	// forwardChunk is the largest part of an answer in one message, in bytes.
	forwardChunk = 16 << 10
)

// forwardRequest is the payload of peer.ForwardAsk: a call.ReplicaRequest without its
// body, which follows.
type forwardRequest struct {
	ID          string        `msgpack:"i"`
	Method      string        `msgpack:"m"`
	Host        string        `msgpack:"h"`
	Path        string        `msgpack:"p"`
	Query       string        `msgpack:"q,omitempty"`
	Headers     []call.Header `msgpack:"hs,omitempty"`
	Customer    string        `msgpack:"c,omitempty"`
	Replica     string        `msgpack:"r"`
	Address     string        `msgpack:"a"`
	TimeLeft    time.Duration `msgpack:"t"`
	Urgency     int           `msgpack:"u"`
	ResumeAfter string        `msgpack:"l,omitempty"`
}

// forwardHead is the payload of peer.ForwardHead.
type forwardHead struct {
	// Refused is set if the request was not sent because this VM cannot help. Failed is the
	// error of a request without an answer, Run its run state, and Broken is set if the
	// replica ended the connection.
	Refused bool             `msgpack:"x,omitempty"`
	Failed  string           `msgpack:"e,omitempty"`
	Run     refusal.RunState `msgpack:"r,omitempty"`
	Broken  bool             `msgpack:"b,omitempty"`

	Status                                        int           `msgpack:"s"`
	Headers                                       []call.Header `msgpack:"h,omitempty"`
	Length                                        int64         `msgpack:"n"`
	Matches, Signed, NotRun, Misdirected, Leaving bool
	Load                                          *replica.Load `msgpack:"l,omitempty"`
	Limit                                         *float64      `msgpack:"q,omitempty"`
}

// check returns an error if the head of the answer is not valid. A VM of an earlier build passes
// such heads on.
func (h forwardHead) check() error {
	if err := httphead.CheckStatus(h.Status); err != nil {
		return err
	}
	for _, field := range h.Headers {
		if err := httphead.CheckName(field.Name); err != nil {
			return err
		}
	}
	return nil
}

// forwardEnd is the payload of peer.ForwardEnd. Failed is empty for an answer that was
// read to its end.
type forwardEnd struct {
	Failed string `msgpack:"e,omitempty"`
	Broken bool   `msgpack:"b,omitempty"`
}

// forwardError is an error that another VM met while it forwarded a request.
type forwardError struct {
	text   string
	broken bool
}

// Error implements error.
func (e *forwardError) Error() string { return "at the forwarding VM: " + e.text }

// Unwrap returns the error that a broken connection to the replica has here.
func (e *forwardError) Unwrap() error {
	if e.broken {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// ReplicaProxy sends requests to replicas through another VM. It implements detour.Proxy.
type ReplicaProxy struct {
	Manager *peer.Manager
	Member  fleet.Member
}

// VM implements detour.Proxy.
func (p ReplicaProxy) VM() string { return p.Member.VM }

// Region implements detour.Proxy.
func (p ReplicaProxy) Region() string { return p.Member.Region }

// Send implements detour.Sender.
func (p ReplicaProxy) Send(ctx context.Context, r call.ReplicaRequest) (*call.ReplicaResponse, error) {
	first, err := peer.Encode(forwardRequest{
		ID: r.ID, Method: r.Method, Host: r.Host, Path: r.Path, Query: r.Query, Headers: r.Headers, Customer: r.Customer,
		Replica: r.Replica, Address: r.Address, TimeLeft: r.TimeLeft, Urgency: r.Urgency, ResumeAfter: r.ResumeAfter,
	})
	if err != nil {
		return nil, &call.ReplicaError{Replica: r.Replica, Run: refusal.NotRun, Err: err}
	}
	openCtx, cancel := context.WithTimeout(ctx, forwardOpenTimeout)
	defer cancel()
	stream, err := p.Manager.Open(openCtx, p.Member.VM, p.Member.Address, peer.Message{Type: peer.ForwardAsk, Payload: first})
	if err != nil {
		if (&Error{VM: p.Member.VM, Err: err}).NotSent() {
			return nil, detour.ErrCannotHelp
		}
		return nil, lostOnTheWay(r, err)
	}
	reply, err := p.receiveHead(ctx, stream, r)
	if err != nil {
		stream.Cancel()
	}
	return reply, err
}

// lostOnTheWay is the error of a request that may have been forwarded.
func lostOnTheWay(r call.ReplicaRequest, err error) error {
	return &call.ReplicaError{Replica: r.Replica, Run: refusal.Unknown, PathLost: true, Err: err}
}

// receiveHead sends the body and returns the answer of the replica, whose body is still to
// be read.
func (p ReplicaProxy) receiveHead(ctx context.Context, stream *peer.Stream, r call.ReplicaRequest) (*call.ReplicaResponse, error) {
	sendErr := peer.SendLarge(ctx, stream, peer.Message{Type: peer.ForwardBody, Payload: r.Prompt})
	// A VM that cannot help says so, and closes the stream, before it reads the body.
	message, err := stream.Recv(ctx)
	if err != nil {
		return nil, lostOnTheWay(r, cmp.Or(sendErr, err))
	}
	var head forwardHead
	if err := peer.Decode(message.Payload, &head); err != nil {
		return nil, lostOnTheWay(r, err)
	}
	switch {
	case head.Refused:
		return nil, detour.ErrCannotHelp
	case head.Failed != "":
		run := refusal.Unknown
		if head.Run == refusal.NotRun {
			run = refusal.NotRun
		}
		return nil, &call.ReplicaError{Replica: r.Replica, Run: run, Err: &forwardError{head.Failed, head.Broken}}
	}
	if err := head.check(); err != nil {
		return nil, &call.ReplicaError{Replica: r.Replica, Run: refusal.Unknown, Err: err}
	}
	return &call.ReplicaResponse{
		Status: head.Status, Headers: head.Headers, Length: head.Length, Body: &forwardedBody{ctx: ctx, stream: stream},
		MatchesRequest: head.Matches, Signed: head.Signed, NotRun: head.NotRun, Misdirected: head.Misdirected,
		Load: head.Load, Leaving: head.Leaving, Limit: head.Limit,
	}, nil
}

// forwardedBody is the body of an answer that another VM passes on.
type forwardedBody struct {
	ctx    context.Context
	stream *peer.Stream
	rest   []byte
	err    error // io.EOF after the end
}

// Read implements io.Reader.
func (b *forwardedBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 && b.err == nil {
		message, err := b.stream.Recv(b.ctx)
		switch {
		case err == io.EOF:
			b.err = errNoEnd
		case err != nil:
			b.err = err
		case message.Type == peer.ForwardBody:
			b.rest = message.Payload
		default:
			b.err = endOf(message)
		}
	}
	if len(b.rest) == 0 {
		return 0, b.err
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

var errNoEnd = errors.New("the forwarding VM stopped without the end of the answer")

// endOf returns the error with which a body ends, io.EOF if it is complete.
func endOf(message peer.Message) error {
	var end forwardEnd
	if err := peer.Decode(message.Payload, &end); err != nil {
		return err
	}
	if end.Failed != "" {
		return &forwardError{end.Failed, end.Broken}
	}
	return io.EOF
}

// Close implements io.Closer. A body that was not read to its end cancels its request.
func (b *forwardedBody) Close() error {
	if b.err == io.EOF {
		b.stream.Close()
	} else {
		b.stream.Cancel()
	}
	return nil
}

// forwardedRequests counts the requests that this VM forwards for others.
type forwardedRequests struct {
	mu     sync.Mutex
	count  int
	closed bool
	idle   chan struct{} // closed when closed is set and count is 0
}

// begin reports whether one more request may be forwarded. If so, end must follow.
func (f *forwardedRequests) begin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || f.count >= maxForwarded {
		return false
	}
	f.count++
	return true
}

func (f *forwardedRequests) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.count--; f.closed && f.count == 0 {
		close(f.idle)
	}
}

// StopForwarding accepts no more requests of other VMs, and returns when those that are
// under way have ended or ctx ends. It is called once.
func (s *Server) StopForwarding(ctx context.Context) {
	f := &s.forwarded
	f.mu.Lock()
	f.closed, f.idle = true, make(chan struct{})
	if f.count == 0 {
		close(f.idle)
	}
	f.mu.Unlock()
	select {
	case <-f.idle:
	case <-ctx.Done():
	}
}

// forward sends a request of another VM to a replica and passes the answer back. A replica
// that this VM must not use gets nothing from it for another VM either. That is looked at
// before the body is read, and again after it: a large body may take longer than the
// evacuation of a data centre or the leaving of a replica takes to be known.
//
// The error says why the answer, or what takes its place, could not be passed on whole.
func (s *Server) forward(ctx context.Context, stream *peer.Stream, first peer.Message) (id string, err error) {
	received := clock.Now()
	request, err := decodeForward(first)
	if err != nil {
		stream.Cancel()
		return "", err
	}
	id = request.ID
	if s.ReplicaPath.State() != replicapath.Direct || !s.MayForward(ctx, request.Replica, request.Address) || !s.forwarded.begin() {
		return id, sendForward(ctx, stream, peer.ForwardHead, forwardHead{Refused: true})
	}
	defer s.forwarded.end()
	var taken int64
	defer func() { s.Intake.Return(taken) }()
	body, err := peer.RecvLarge(ctx, stream, maxForwardedBody, func(bytes int64) bool {
		cost := intake.BodyCost(int(bytes))
		if !s.Intake.Take(cost) {
			return false
		}
		taken = cost
		return true
	})
	if errors.Is(err, peer.ErrNoRoom) {
		return id, sendForward(ctx, stream, peer.ForwardHead, forwardHead{Refused: true})
	}
	if err != nil {
		stream.Cancel()
		return id, err
	}
	request.Prompt = body.Payload
	if !s.MayForward(ctx, request.Replica, request.Address) {
		return id, sendForward(ctx, stream, peer.ForwardHead, forwardHead{Refused: true})
	}
	ctx, cancel := context.WithTimeout(ctx, request.TimeLeft)
	defer cancel()
	request.TimeLeft -= clock.Since(received)
	sentAt := clock.Now()
	reply, err := s.Replicas.Send(ctx, request)
	if err != nil {
		return id, sendForward(ctx, stream, peer.ForwardHead, failedHead(err))
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.MatchesRequest && (reply.Leaving || reply.Limit != nil) {
		_ = s.Loop.Post(ctx, fleet.ReplicaAnswered{Replica: request.Replica, SentAt: sentAt, Limit: reply.Limit, Leaving: reply.Leaving})
	}
	head := forwardHead{
		Status: reply.Status, Headers: reply.Headers, Length: reply.Length, Matches: reply.MatchesRequest, Signed: reply.Signed,
		NotRun: reply.NotRun, Misdirected: reply.Misdirected, Leaving: reply.Leaving, Load: reply.Load, Limit: reply.Limit,
	}
	if err := sendForward(ctx, stream, peer.ForwardHead, head); err != nil {
		return id, err
	}
	return id, passBody(ctx, stream, reply.Body)
}

// failedHead returns the head that reports the failure of a request to a replica.
func failedHead(err error) forwardHead {
	head := forwardHead{Failed: err.Error(), Run: refusal.Unknown, Broken: call.ConnectionBroken(err)}
	var failed *call.ReplicaError
	if errors.As(err, &failed) {
		head.Run = failed.Run
	}
	return head
}

// passBody sends the body of an answer as it arrives, and its end. The error says why the
// body is not whole or could not be sent.
func passBody(ctx context.Context, stream *peer.Stream, body io.Reader) error {
	buffer := make([]byte, forwardChunk)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if err := stream.Send(ctx, peer.Message{Type: peer.ForwardBody, Payload: buffer[:n]}); err != nil {
				return err
			}
		}
		if err == nil {
			continue
		}
		if err == io.EOF {
			return sendForward(ctx, stream, peer.ForwardEnd, forwardEnd{})
		}
		_ = sendForward(ctx, stream, peer.ForwardEnd, forwardEnd{Failed: err.Error(), Broken: call.ConnectionBroken(err)})
		return err
	}
}

// sendForward encodes and sends one message. An error means that the other VM is gone or
// has cancelled the request.
func sendForward(ctx context.Context, stream *peer.Stream, t peer.Type, payload any) error {
	data, err := peer.Encode(payload)
	if err != nil {
		return err
	}
	return stream.Send(ctx, peer.Message{Type: t, Payload: data})
}

// decodeForward decodes a request that is to be forwarded, without its body.
func decodeForward(first peer.Message) (call.ReplicaRequest, error) {
	var f forwardRequest
	if err := peer.Decode(first.Payload, &f); err != nil {
		return call.ReplicaRequest{}, err
	}
	return call.ReplicaRequest{
		ForwardedRequest: &call.ForwardedRequest{
			ID: f.ID, Method: f.Method, Host: f.Host, Path: f.Path, Query: f.Query, Headers: f.Headers,
		},
		Customer: f.Customer, Replica: f.Replica, Address: f.Address,
		TimeLeft: f.TimeLeft, Urgency: f.Urgency, ResumeAfter: f.ResumeAfter,
	}, nil
}
