package turn

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"hornbeamvale.example/hornbeamvale/internal/connection/call"
	"hornbeamvale.example/hornbeamvale/internal/connection/endpointhttp"
	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/control"
	"hornbeamvale.example/hornbeamvale/internal/process/eventlog"
	"hornbeamvale.example/hornbeamvale/internal/process/program"
	"hornbeamvale.example/hornbeamvale/internal/process/queue"
	"hornbeamvale.example/hornbeamvale/internal/process/replica"
	"hornbeamvale.example/hornbeamvale/internal/process/retry"
	"hornbeamvale.example/hornbeamvale/internal/version"
	"hornbeamvale.example/hornbeamvale/internal/version/refusal"
)

// Dispatcher sends calls to replicas.
type Dispatcher struct {
	Loop     *control.Loop
	Client   *endpointhttp.Client
	Limits   WaitLimits
	Log      *eventlog.Log
	Counters *Counters
}

// DispatchRequest is a turn to be dispatched, with its history and the owner's decision
// that granted it. A call outside programs has neither.
type DispatchRequest struct {
	Turn     Turn
	Number   uint64 // of the turn in its run; 0 outside programs
	History  []call.Message
	Decision program.Decision
}

// DispatchResult is a complete answer with its cost.
type DispatchResult struct {
	call.Answer
	Spent         program.Amount
	ContextTokens int64
	Holder        program.Holder
	// ServiceTime is the time from the dispatch of the call to the end of its answer.
	ServiceTime time.Duration
}

// Run dispatches a turn to replicas until one answers or the turn may not be repeated.
func (d *Dispatcher) Run(ctx context.Context, req DispatchRequest, r call.Responder) (DispatchResult, *refusal.Refusal) {
	ep, ok := d.Loop.Snapshot().Version.Endpoint(req.Turn.Call.Endpoint)
	if !ok {
		return DispatchResult{}, refusal.New(refusal.EndpointUnknown, "endpoint %q is not declared", req.Turn.Call.Endpoint)
	}
	ctx, cancel := context.WithTimeout(ctx, ep.Timeout)
	defer cancel()
	_ = d.Loop.Post(ctx, control.CountRequest{Endpoint: ep.Name})
	relay := &resumer{next: r}
	excluded := map[string]bool{}
	earlierRun := refusal.NotRun
	var last *failure
	for n := 1; ; n++ {
		result, failed := d.attemptOnce(ctx, ep, req, n, excluded, relay)
		if failed == nil {
			return result, nil
		}
		if failed.replica == "" && last != nil {
			failed.Refusal = last.Refusal // the replica's failure is more specific than that none is left
		}
		last = failed
		if failed.Run != refusal.NotRun {
			earlierRun = refusal.Unknown
		}
		if relay.err != nil && errors.Is(relay.err, errAnswerDiffers) {
			return DispatchResult{}, refusal.New(refusal.EndpointFailed, "the answer was cut and could not be continued").WithRun(earlierRun)
		}
		if failed.replica == "" || ctx.Err() != nil || !d.mayRetry(ctx, ep.Name, n, earlierRun, req.Turn.Idempotent) {
			return DispatchResult{}, withEarlierRun(failed.Refusal, earlierRun)
		}
		excluded[failed.replica] = true
		relay.restart()
		d.Log.Add(eventlog.Event{Kind: eventlog.TurnRetried, Customer: req.Turn.Customer, Run: req.Turn.Call.Run, Turn: int64(req.Number), Detail: failed.Message})
	}
}

// failure is a refusal with the address of the replica that caused it.
type failure struct {
	*refusal.Refusal
	replica string // empty if no replica was involved
}

// attemptOnce makes one attempt at one replica.
func (d *Dispatcher) attemptOnce(ctx context.Context, ep *version.Endpoint, req DispatchRequest, n int, excluded map[string]bool, relay *resumer) (DispatchResult, *failure) {
	address, why := d.acquire(ctx, ep, req, n, excluded)
	if why != nil {
		return DispatchResult{}, &failure{Refusal: why}
	}
	release := control.ReleaseReplica{
		Endpoint: ep.Name, Replica: address, Run: replicaRunID(req.Turn.Key()), Customer: req.Turn.Customer, OK: true,
		ExtraCost: -expectedCost(req), // refunds the expected cost unless the call is sent
	}
	defer func() { _ = d.Loop.Post(context.WithoutCancel(ctx), release) }()
	if why := d.mayDispatch(req); why != nil {
		return DispatchResult{}, &failure{Refusal: why}
	}
	d.Log.Add(eventlog.Event{Kind: eventlog.TurnDispatched, Customer: req.Turn.Customer, Run: req.Turn.Call.Run, Turn: int64(req.Number), Detail: address})
	var result DispatchResult
	var err error
	started := clock.Now()
	if req.Turn.Call.Chat != nil {
		result, err = d.chat(ctx, ep, req, address, relay)
		release.Usage = replica.Usage{
			PromptTokens: result.Usage.PromptTokens, CachedTokens: result.Usage.CachedTokens, CompletionTokens: result.Usage.CompletionTokens,
		}
	} else {
		result, err = d.service(ctx, ep, req, address)
	}
	result.ServiceTime = clock.Since(started)
	release.ExtraCost = float64(result.ServiceTime.Milliseconds()) - expectedCost(req)
	if err != nil {
		f := failureOf(err, address)
		var ee *endpointhttp.Error
		release.OK = false
		release.Leaving = errors.As(err, &ee) && ee.Code == endpointhttp.CodeLeaving
		return DispatchResult{}, f
	}
	return result, nil
}

// mayDispatch checks the lease and the owner again just before the call is sent: the
// process may have been paused since the turn was granted, and another member may own
// the program now. A process that lost its lease joins again under another member id,
// whose lease does not cover turns that were granted before.
func (d *Dispatcher) mayDispatch(req DispatchRequest) *refusal.Refusal {
	if req.Turn.Call.Run == "" || d.Loop.Snapshot().MayDispatch(clock.Now(), req.Turn.Key().Slot(), req.Decision.Owner) {
		return nil
	}
	return refusal.New(refusal.OwnerUnavailable, "the lease of the program's owner has expired").After(time.Second)
}

// acquire waits in the endpoint's queue for a replica with free capacity and returns
// its address.
func (d *Dispatcher) acquire(ctx context.Context, ep *version.Endpoint, req DispatchRequest, n int, excluded map[string]bool) (string, *refusal.Refusal) {
	reply := make(chan control.AcquireResult, 1)
	prompt := promptEstimate(req)
	e := control.AcquireReplica{
		ID: req.Turn.Call.RequestID + "/" + req.Turn.Call.Run + "/" + strconv.Itoa(n), Endpoint: ep.Name, Customer: req.Turn.Customer,
		Run: replicaRunID(req.Turn.Key()), Cost: expectedCost(req), AttainedService: float64(req.Decision.AttainedService), PromptTokens: prompt,
		Excluded: cloneSet(excluded), Deadline: clock.Now().Add(d.Limits.QueueWait), Reply: reply,
	}
	if req.Decision.Affinity.Endpoint == ep.Name {
		e.Affinity = req.Decision.Affinity.Replica
	}
	if d.Loop.Post(ctx, e) != nil {
		return "", refusal.New(refusal.Overloaded, "the control queue is full").After(time.Second)
	}
	select {
	case got := <-reply:
		return got.Replica, got.Refusal
	case <-ctx.Done():
	}
	done := make(chan struct{})
	if d.Loop.Post(context.WithoutCancel(ctx), control.CancelAcquire{Endpoint: ep.Name, ID: e.ID, Done: done}) == nil {
		<-done
	}
	select {
	case got := <-reply:
		if got.Replica != "" {
			_ = d.Loop.Post(context.WithoutCancel(ctx), control.ReleaseReplica{
				Endpoint: ep.Name, Replica: got.Replica, OK: true, Customer: req.Turn.Customer, ExtraCost: -expectedCost(req),
			})
		}
	default:
	}
	return "", refusal.New(refusal.EndpointFailed, "the caller is gone or the call timed out in the queue")
}

// mayRetry asks the control loop whether the attempt may be repeated. A repeat counts
// against the endpoint's retry budget.
func (d *Dispatcher) mayRetry(ctx context.Context, endpoint string, attempt int, run refusal.RunState, idempotent bool) bool {
	reply := make(chan retry.Decision, 1)
	if d.Loop.Post(ctx, control.DecideRetry{Endpoint: endpoint, Attempt: attempt, RunState: run, Idempotent: idempotent, Reply: reply}) != nil {
		return false
	}
	select {
	case decision := <-reply:
		d.Counters.retried(decision.Retry)
		return decision.Retry
	case <-ctx.Done():
		return false
	}
}

// chat makes one model call and relays its stream.
func (d *Dispatcher) chat(ctx context.Context, ep *version.Endpoint, req DispatchRequest, address string, relay *resumer) (DispatchResult, error) {
	c := req.Turn.Call.Chat
	request := endpointhttp.ChatRequest{
		Model: ep.Name, Messages: append(append([]call.Message(nil), req.History...), c.Messages...),
		MaxTokens: maxTokens(c), Options: c.Options, Program: replicaRunID(req.Turn.Key()), RequestID: replicaRequestID(req),
		Priority: priority(req), CacheTTL: cacheTTL(d.Loop.Snapshot().Version, req.Turn.Call.Run),
	}
	var text strings.Builder
	var result DispatchResult
	resumed := false
	for {
		err := d.stream(ctx, address, request, &text, &result, relay)
		if err == nil {
			break
		}
		var ee *endpointhttp.Error
		// A stream that broke off is resumed once at the same replica, which still has
		// the state of the request. After that another replica generates the answer again.
		if resumed || !errors.As(err, &ee) || ee.Chunks == 0 || ctx.Err() != nil || relay.err != nil {
			return result, err
		}
		resumed = true
		request.ResumeFrom = ee.Chunks
		d.Log.Add(eventlog.Event{Kind: eventlog.TurnResumed, Customer: req.Turn.Customer, Run: req.Turn.Call.Run, Turn: int64(req.Number), Detail: address})
	}
	result.Text = text.String()
	u := result.Usage
	total := u.PromptTokens + u.CompletionTokens
	result.Spent = program.Amount{Turns: 1, Tokens: total, MicroCost: price(ep, total)}
	result.ContextTokens = total
	result.Holder = program.Holder{Endpoint: ep.Name, Replica: address}
	return result, nil
}

// stream reads one stream of a chat to its end and relays its text.
func (d *Dispatcher) stream(ctx context.Context, address string, request endpointhttp.ChatRequest, text *strings.Builder, result *DispatchResult, relay *resumer) error {
	s, err := d.Client.Chat(ctx, address, request)
	if err != nil {
		return err
	}
	defer s.Close()
	for {
		chunk, err := s.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if chunk.FinishReason != "" {
			result.FinishReason = chunk.FinishReason
		}
		if chunk.Usage != nil {
			result.Usage = *chunk.Usage
		}
		if chunk.Text == "" {
			continue
		}
		text.WriteString(chunk.Text)
		// A caller that has disconnected does not end the turn: a repeat of the call gets
		// the recorded answer.
		if err := relay.Chunk(call.Chunk{Text: chunk.Text}); errors.Is(err, errAnswerDiffers) {
			return err
		}
	}
}

// service makes one plain service call.
func (d *Dispatcher) service(ctx context.Context, ep *version.Endpoint, req DispatchRequest, address string) (DispatchResult, error) {
	response, err := d.Client.CallService(ctx, address, endpointhttp.ServiceRequest{
		Service: *req.Turn.Call.Service, RequestID: replicaRequestID(req),
	})
	if err != nil {
		return DispatchResult{}, err
	}
	return DispatchResult{
		Answer: call.Answer{Status: response.Status, Headers: response.Headers, Body: response.Body},
		Spent:  program.Amount{Turns: 1, MicroCost: price(ep, 0)},
	}, nil
}

// failureOf converts an error of a call to a replica into a failure.
func failureOf(err error, address string) *failure {
	why := refusal.New(refusal.EndpointFailed, "replica %s: %v", address, err).WithRun(refusal.Unknown)
	var ee *endpointhttp.Error
	if errors.As(err, &ee) {
		why = why.WithRun(ee.Run)
	}
	return &failure{Refusal: why, replica: address}
}

// replicaRunID returns the opaque id of a run for replicas, which do not learn the names
// of the customer and the run. It is empty for a call outside programs.
func replicaRunID(key program.Key) string {
	if key.Run == "" || program.IsRequestRun(key.Run) {
		return ""
	}
	return key.OpaqueID()
}

// replicaRequestID returns the id of a turn for replicas, which is the same in each of its
// attempts.
func replicaRequestID(req DispatchRequest) string {
	sum := sha256.Sum256([]byte(req.Turn.Customer + "\x00" + req.Turn.Call.Run + "\x00" + strconv.FormatUint(req.Number, 10) + "\x00" + req.Turn.Call.RequestID))
	return hex.EncodeToString(sum[:16])
}

// priority returns the priority of a turn at the engine, which runs lower values first.
// It grows by one with each 10 s of service that the run has received, so that short
// programs do not wait for long ones.
func priority(req DispatchRequest) int {
	const stepMS = 10_000
	return int(req.Decision.AttainedService / stepMS)
}

// cacheTTL returns how long replicas should keep the cache of a run: the idle time
// of its program, 0 if the run belongs to none.
func cacheTTL(v *version.Version, run string) time.Duration {
	if p, ok := v.Program(run); ok {
		return p.IdleTimeout
	}
	return 0
}

// promptEstimate estimates the tokens of the prompt from its bytes.
func promptEstimate(req DispatchRequest) int64 {
	const bytesPerToken = 4
	var n int64
	for _, m := range req.History {
		n += int64(len(m.Content))
	}
	if c := req.Turn.Call.Chat; c != nil {
		for _, m := range c.Messages {
			n += int64(len(m.Content))
		}
	}
	return n / bytesPerToken
}

// expectedCost returns the expected service time of a call at a replica, in
// milliseconds. The customer is charged or refunded the difference to the real service
// time at the end of the call.
func expectedCost(req DispatchRequest) float64 {
	if req.Turn.Call.Chat != nil {
		return queue.ModelCost
	}
	return queue.ServiceCost
}

func cloneSet(m map[string]bool) map[string]bool {
	c := make(map[string]bool, len(m))
	for k := range m {
		c[k] = true
	}
	return c
}

// RunOutsideProgram runs an idempotent call outside programs. The call is cancelled when its
// caller disconnects.
func (o *Owner) RunOutsideProgram(ctx context.Context, t Turn, r call.Responder) *refusal.Refusal {
	result, why := o.Dispatcher.Run(ctx, DispatchRequest{Turn: t}, r)
	if why != nil {
		return why
	}
	return ignoreCallerGone(r.End(result.Answer))
}
