package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/connection/call"
	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/fleet"
	"hornbeamvale.example/hornbeamvale/internal/process/replica"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
	"hornbeamvale.example/hornbeamvale/internal/version/routing"
)

const (
	// attemptTimeFraction is the fraction of the remaining time that one attempt may take
	// if the request can be repeated at another replica.
	attemptTimeFraction = 0.45
	// modelReportDelay is the age of the load report in the answer of a model replica, by its
	// specification.
	modelReportDelay = 200 * time.Millisecond
	// maxReplyBytes bounds an answer that is read as a whole before it is relayed.
	maxReplyBytes = 4 << 20
	// largeWrite is the size of the parts in which an answer is written to its caller.
	largeWrite = 64 << 10
)

var (
	errWrongRequest = errors.New("the answer belongs to another request")
	errUnsigned     = errors.New("a success without the replica's signature")
	errHeadLate     = errors.New("no head of an answer within the time of the attempt")
	errReplySize    = errors.New("the answer is too large")
	errReplyMemory  = errors.New("no memory is left for a large answer")
	errIncomplete   = errors.New("the answer is not complete")
	errNotRunStatus = errors.New("a status that promises that the request has not run, without the promise")
)

// attempt is one dispatch of the request to one replica.
type attempt struct {
	replica   replica.Candidate
	startedAt time.Time
	reply     *call.ReplicaResponse
	end       fleet.EndRequest // posted when the attempt ends
	cancel    context.CancelFunc
	timer     *time.Timer // of the time that the attempt may take
	ended     bool
}

// dispatch sends the request to one replica after another until one answers. It
// returns nil if an answer was relayed, as a whole or in part, and otherwise the
// refusal.
func (x *exchange) dispatch() *refusal.Refusal {
	excluded := map[string]bool{}
	prompt := x.history.Prompt(x.request.Body)
	if x.route.Kind == routing.Stream && x.route.KeepsHistory {
		x.tokenSize.Observe(len(prompt), x.request.PromptTokens)
	}
	if x.loaded != nil {
		x.history.DropTexts()
		x.loaded.History = x.history
		x.loaded.Keep(x.history.Size() + len(prompt))
	}
	var last *refusal.Refusal
	limit := max(1, x.route.MaxAttempts)
	run := refusal.NotRun // the run state after all attempts so far
	for x.attempts < limit {
		if why := x.leaveQuarantine(); why != nil {
			last = why
			break
		}
		picked, why := x.pickReplica(excluded)
		if why != nil {
			if last == nil {
				last = why
			}
			break
		}
		x.attempts++
		x.replica, x.picked = picked.Replica, picked
		answered, why := x.tryReplica(picked, prompt, x.attempts == limit)
		if answered {
			return nil
		}
		if why.Run != refusal.NotRun {
			run = why.Run
		}
		if x.ctx.Err() != nil {
			return x.timeLimitRefusal(run)
		}
		last = why
		if run != refusal.NotRun && !x.route.Repeatable() {
			break
		}
		excluded[picked.Replica] = true
	}
	return last.WithRun(run)
}

// tryReplica sends the request to one replica. It reports whether an answer was
// relayed to the caller, as a whole or in part. If not, it returns the refusal.
func (x *exchange) tryReplica(to replica.Candidate, prompt []byte, last bool) (answered bool, why *refusal.Refusal) {
	a := &attempt{replica: to, startedAt: clock.Now()}
	defer x.endAttempt(a)
	if why := x.open(a, prompt, "", last); why != nil {
		return false, why
	}
	defer func(start time.Time) { x.steps.transfer = clock.Since(start) - x.steps.record }(clock.Now())
	if a.reply.Status < 300 && x.route.Kind == routing.Stream {
		x.stream(a, prompt)
		return true, nil
	}
	memory := streamMemory{pool: x.ReplyMemory}
	defer memory.release()
	body, err := x.readWhole(a.reply, &memory)
	if err != nil {
		a.end.Failed = x.ctx.Err() == nil && !errors.Is(err, errReplyMemory)
		x.noteCrash(a, err, true)
		return false, x.attemptFailed(&call.ReplicaError{Replica: to.Replica, Run: refusal.Unknown, Err: err})
	}
	x.noteSuccess()
	a.end.ConnectionReusable = true
	a.end.Failed = a.reply.Status >= http.StatusInternalServerError
	if a.reply.Status < 300 {
		a.end.TotalTime = clock.Since(a.startedAt)
		a.end.UnitTime = a.end.TotalTime
	}
	x.relayWhole(a.reply, body)
	return true, nil
}

// open sends the request to the replica of an attempt and checks the head of its answer.
// resumeAfter is the id of the last event of a stream that the caller has; empty to begin
// it. If another replica can be tried and the request may be repeated, the replica gets a
// part of the remaining time, for its whole answer or for the head of a stream.
func (x *exchange) open(a *attempt, prompt []byte, resumeAfter string, last bool) *refusal.Refusal {
	left := clock.Until(x.deadline)
	bounded := x.route.Repeatable() && !last && !x.noAlternative
	timeout := left
	if bounded {
		timeout = time.Duration(attemptTimeFraction * float64(left))
	}
	ctx, cancel := context.WithCancel(x.ctx)
	a.cancel = cancel // closes the connection unless the answer was read to its end
	a.timer = time.AfterFunc(timeout, cancel)
	a.end = fleet.EndRequest{Replica: a.replica.Replica, StartedMS: a.replica.StartedMS, Endpoint: x.endpoint, Kind: x.route.Name}
	request := call.ReplicaRequest{
		ForwardedRequest: x.request, Prompt: prompt, Replica: a.replica.Replica, Address: a.replica.Address,
		TimeLeft: timeout, Urgency: x.urgency(), ResumeAfter: resumeAfter, Allowed: x.allowed, SendBy: x.sendBy,
	}
	if x.route.Kind == routing.Stream {
		request.TimeLeft = left
	}
	if x.customer != nil {
		request.Customer = x.customer.Name
	}
	reply, err := x.Replicas.Send(ctx, request)
	x.steps.reply = clock.Since(a.startedAt)
	if err != nil {
		a.end.Failed = x.ctx.Err() == nil && !pathLost(err)
		a.end.Refused = errors.Is(err, syscall.ECONNREFUSED)
		a.end.Gone = a.end.Refused || call.ConnectionBroken(err)
		if runStateOf(err) != refusal.NotRun {
			x.noteCrash(a, err, false)
		}
		return x.attemptFailed(err)
	}
	a.reply = reply
	a.end.Load, a.end.Misdirected = reply.Load, reply.Misdirected
	answered := fleet.ReplicaAnswered{Replica: a.replica.Replica, SentAt: a.startedAt, Limit: reply.Limit, Leaving: reply.Leaving, Load: reply.Load}
	if x.route.Kind == routing.Stream {
		answered.ModelEndpoint = x.endpoint
		if reply.Load != nil && reply.Load.WorkTime > 0 {
			reply.Load.Age = modelReportDelay
		}
	}
	if reply.MatchesRequest && (reply.Leaving || reply.Limit != nil || reply.Load != nil || x.Loop.Snapshot().LimitedReplicas > 0) {
		a.end.LoadReported = reply.Load != nil && reply.Load.WorkTime > 0
		_ = x.Loop.Post(context.WithoutCancel(x.ctx), answered)
	}
	switch {
	case !reply.MatchesRequest:
		err = errWrongRequest
	case reply.NotRun || reply.Misdirected:
		return refusal.New(refusal.Overloaded, "replica %s does not take the request", a.replica.Replica).After(defaultRetryAfter)
	case impliesNotRun(reply.Status):
		// Callers read this status as a promise that the request has not run, but the
		// replica has not made that promise.
		err = errNotRunStatus
	case reply.Status < 300 && !reply.Signed:
		a.end.Failed = true
		err = errUnsigned
	}
	if err != nil {
		return x.attemptFailed(&call.ReplicaError{Replica: a.replica.Replica, Run: refusal.Unknown, Err: err})
	}
	if reply.Status < 300 && x.route.Kind == routing.Stream && !a.timer.Stop() {
		a.end.Failed = x.ctx.Err() == nil
		return x.attemptFailed(&call.ReplicaError{Replica: a.replica.Replica, Run: refusal.Unknown, Err: errHeadLate})
	}
	return nil
}

// endAttempt releases the connection of an attempt and reports its end to the control
// thread. It does nothing if that has been done.
func (x *exchange) endAttempt(a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	if a.reply != nil {
		_ = a.reply.Body.Close()
	}
	a.timer.Stop()
	a.cancel()
	_ = x.Loop.Post(context.WithoutCancel(x.ctx), a.end)
}

// impliesNotRun reports whether callers read a status as the promise that the request
// has not run and will not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// attemptFailed logs a failed attempt and converts its error into the caller's
// refusal.
func (x *exchange) attemptFailed(err error) *refusal.Refusal {
	run := runStateOf(err)
	x.Log.Request("Attempt at replica failed", "id", x.request.ID, "endpoint", x.endpoint, "replica", x.replica, "attempt", x.attempts, "runState", run, "fingerprint", x.requestPrints().Body, "err", err)
	return refusal.New(refusal.EndpointFailed, "%v", err).WithRun(run).After(defaultRetryAfter)
}

// runStateOf returns the run state of a request whose attempt ended with an error.
func runStateOf(err error) refusal.RunState {
	var re *call.ReplicaError
	if errors.As(err, &re) {
		return re.Run
	}
	return refusal.Unknown
}

// pathLost reports whether an attempt failed because this VM does not reach the replicas.
func pathLost(err error) bool {
	var re *call.ReplicaError
	return errors.As(err, &re) && re.PathLost
}

// readWhole reads the body of a reply, up to maxReplyBytes. A body over smallStreamBytes
// needs room in the memory for large replies, so that replies without an end cannot exhaust
// the VM's memory together. The memory is kept until the caller has the reply.
func (x *exchange) readWhole(reply *call.ReplicaResponse, memory *streamMemory) ([]byte, error) {
	if reply.Length > maxReplyBytes {
		return nil, errReplySize
	}
	var body bytes.Buffer
	for {
		_, err := io.CopyN(&body, reply.Body, smallStreamBytes)
		if err == io.EOF {
			break
		}
		switch {
		case err != nil:
			return nil, err
		case body.Len() > maxReplyBytes:
			return nil, errReplySize
		case !memory.hold(min(body.Len()+smallStreamBytes, maxReplyBytes)):
			return nil, errReplyMemory
		}
	}
	switch {
	case body.Len() > maxReplyBytes:
		return nil, errReplySize
	case reply.Length >= 0 && int64(body.Len()) != reply.Length:
		return nil, errIncomplete
	}
	memory.keep(body.Cap())
	return body.Bytes(), nil
}

// relayWhole relays an answer that was read to its end.
func (x *exchange) relayWhole(reply *call.ReplicaResponse, body []byte) {
	x.outcome = "answered"
	if reply.Status >= 300 {
		x.outcome = "answered with a failure"
	}
	if err := x.answer.Begin(reply.Status, reply.Headers, int64(len(body))); err != nil {
		x.outcome = "caller lost"
		return
	}
	if err := x.write(body); err != nil {
		x.outcome = "caller lost"
		x.answer.Abort()
	}
}

// write sends a part of the answer. A large part is abandoned when the request's time is over:
// the caller waits no more, and one that reads slowly would keep memory that others need.
func (x *exchange) write(p []byte) error {
	for len(p) > largeWrite {
		if err := x.answer.Write(p[:largeWrite]); err != nil {
			return err
		}
		p = p[largeWrite:]
		if x.ctx.Err() != nil {
			return errCallerLost
		}
	}
	return x.answer.Write(p)
}

// urgency returns the rank of a turn in the queue of a model replica, from 0 (first)
// to 9; it is negative for a plain service, which has no such queue.
func (x *exchange) urgency() int {
	if x.route.Kind != routing.Stream {
		return -1
	}
	return min(max(x.table.Priority(x.customerName(), x.route), 0), 9)
}

func (x *exchange) customerName() string {
	if x.customer == nil {
		return ""
	}
	return x.customer.Name
}
