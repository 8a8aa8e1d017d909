package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/connection/call"
	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/fleet"
	"hornbeamvale.example/hornbeamvale/internal/process/replica"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
	"hornbeamvale.example/hornbeamvale/internal/version/routing"
)

const (
	// minLeft is the least time in which a replica can do anything; a request with
	// less left is not sent.
	minLeft = 10 * time.Millisecond
	// pickPause is the wait before the next look for a replica when none can take
	// the request, and pickTries bounds the looks.
	pickPause = 40 * time.Millisecond
	pickTries = 5
	// attemptPart is the part of the remaining time that a replica gets for a request
	// that can be repeated at another one.
	attemptPart = 0.45
	// maxReplyBytes bounds an answer that is read whole.
	maxReplyBytes = 8 << 20
)

var (
	errForeign    = errors.New("the answer belongs to another request")
	errUnsigned   = errors.New("a success without the replica's signature")
	errIncomplete = errors.New("the answer is not complete")
	errPromise    = errors.New("a status that promises that the request has not run, without the promise")
)

// attempt is one try at one replica.
type attempt struct {
	replica replica.Candidate
	began   time.Time
	reply   *call.Reply
}

// dispatch tries replicas until one answers. It returns why none did, or nil if
// the answer was relayed or broken off.
func (x *exchange) dispatch() *refusal.Refusal {
	excluded := map[string]bool{}
	prompt := x.line.Prompt(x.request.Body)
	var last *refusal.Refusal
	limit := max(1, x.route.MaxAttempts)
	run := refusal.NotRun // what is certain of all attempts together
	for x.attempts < limit {
		picked, why := x.pick(excluded)
		if why != nil {
			if last == nil {
				last = why
			}
			break
		}
		x.attempts++
		x.replica = picked.Replica
		answered, why := x.try(picked, prompt, x.attempts == limit)
		if answered {
			return nil
		}
		if why.Run != refusal.NotRun {
			run = why.Run
		}
		if x.ctx.Err() != nil {
			return x.late(run)
		}
		last = why
		if run != refusal.NotRun && !x.route.Repeatable() {
			break
		}
		excluded[picked.Replica] = true
	}
	return last.WithRun(run)
}

// pick chooses a replica. While there is none it looks again a few times.
func (x *exchange) pick(excluded map[string]bool) (replica.Candidate, *refusal.Refusal) {
	request := fleet.PickRequest{
		ID: x.request.ID, Endpoint: x.endpoint, PromptTokens: x.request.PromptTokens,
		Excluded: excluded, Cached: x.cached(),
	}
	for try := 0; ; try++ {
		if time.Until(x.deadline) < minLeft {
			return replica.Candidate{}, x.late(refusal.NotRun)
		}
		reply := make(chan fleet.Picked, 1)
		if x.Loop.Post(x.ctx, fleet.Pick{Request: request, Kind: x.route.Name, Reply: reply}) != nil {
			return replica.Candidate{}, x.late(refusal.NotRun)
		}
		picked := <-reply
		if picked.OK {
			return picked.Replica, nil
		}
		if try == pickTries {
			return replica.Candidate{}, refusal.New(refusal.NoReplica, "none of %d replicas of %q takes the request", picked.Of, x.endpoint).After(retrySoon)
		}
		if !clock.Sleep(x.ctx, pickPause) {
			return replica.Candidate{}, x.late(refusal.NotRun)
		}
	}
}

// cached returns where the history of the request is probably cached.
func (x *exchange) cached() map[string]int64 {
	if r := x.line.Replica(); r != "" {
		return map[string]int64{r: x.request.PromptTokens}
	}
	return nil
}

// try sends the request to one replica. It reports whether the caller has its
// answer, or an answer that was broken off, and otherwise why not.
func (x *exchange) try(to replica.Candidate, prompt []byte, last bool) (answered bool, why *refusal.Refusal) {
	left := time.Until(x.deadline)
	if x.route.Repeatable() && !last {
		left = time.Duration(attemptPart * float64(left))
	}
	ctx, cancel := context.WithTimeout(x.ctx, left)
	defer cancel() // ends the connection unless the answer was read whole
	a := &attempt{replica: to, began: time.Now()}
	end := fleet.End{Replica: to.Replica, Kind: x.route.Name}
	defer func() { _ = x.Loop.Post(context.WithoutCancel(x.ctx), end) }()

	d := call.Dispatch{
		Forward: x.request, Prompt: prompt, Replica: to.Replica, Address: to.Address,
		Left: left, Urgency: x.urgency(),
	}
	if x.customer != nil {
		d.Customer = x.customer.Name
	}
	reply, err := x.Replicas.Send(ctx, d)
	if err != nil {
		end.Failed = x.ctx.Err() == nil
		return false, x.failed(err)
	}
	defer func() { _ = reply.Body.Close() }()
	a.reply = reply
	end.Load, end.NotHere = reply.Load, reply.NotHere
	switch {
	case !reply.Own:
		return false, x.failed(&call.ReplicaError{Replica: to.Replica, Run: refusal.Unknown, Err: errForeign})
	case reply.NotRun || reply.NotHere:
		return false, refusal.New(refusal.Overloaded, "replica %s does not take the request", to.Replica).After(retrySoon)
	case promises(reply.Status):
		// The caller would take the status for a promise that the replica has not made.
		return false, x.failed(&call.ReplicaError{Replica: to.Replica, Run: refusal.Unknown, Err: errPromise})
	case reply.Status < 300 && !reply.Signed:
		end.Failed = true
		return false, x.failed(&call.ReplicaError{Replica: to.Replica, Run: refusal.Unknown, Err: errUnsigned})
	case reply.Status < 300 && x.route.Kind == routing.Stream:
		end.Failed, end.Unit = x.stream(a)
		end.Kept = end.Unit > 0
		end.Whole = time.Since(a.began)
		return true, nil
	}
	body, err := readWhole(reply)
	if err != nil {
		end.Failed = x.ctx.Err() == nil
		return false, x.failed(&call.ReplicaError{Replica: to.Replica, Run: refusal.Unknown, Err: err})
	}
	end.Kept = true
	if reply.Status < 300 {
		end.Whole = time.Since(a.began)
		end.Unit = end.Whole
	}
	x.whole(reply, body)
	return true, nil
}

// promises says whether callers take a status for the promise that the request has
// not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// failed converts an error of a replica into the caller's refusal.
func (x *exchange) failed(err error) *refusal.Refusal {
	run := refusal.Unknown
	var re *call.ReplicaError
	if errors.As(err, &re) {
		run = re.Run
	}
	x.Log.Request("Attempt failed", "id", x.request.ID, "replica", x.replica, "attempt", x.attempts, "run", run, "err", err)
	return refusal.New(refusal.EndpointFailed, "%v", err).WithRun(run).After(retrySoon)
}

func readWhole(reply *call.Reply) ([]byte, error) {
	var body bytes.Buffer
	if reply.Length > 0 {
		body.Grow(int(min(reply.Length, maxReplyBytes)))
	}
	if _, err := io.Copy(&body, io.LimitReader(reply.Body, maxReplyBytes+1)); err != nil {
		return nil, err
	}
	if body.Len() > maxReplyBytes || reply.Length >= 0 && int64(body.Len()) != reply.Length {
		return nil, errIncomplete
	}
	return body.Bytes(), nil
}

// whole relays an answer that was read whole.
func (x *exchange) whole(reply *call.Reply, body []byte) {
	x.outcome = "answered"
	if reply.Status >= 300 {
		x.outcome = "answered with a failure"
	}
	if err := x.answer.Begin(reply.Status, reply.Headers, int64(len(body))); err != nil {
		x.outcome = "caller lost"
		return
	}
	if err := x.answer.Write(body); err != nil {
		x.outcome = "caller lost"
		x.answer.Abort()
	}
}

// urgency is the rank of a turn at a model replica; plain services have none.
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
