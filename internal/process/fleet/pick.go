package fleet

import (
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/clock"
	"hornbeamvale.example/hornbeamvale/internal/process/replica"
	"hornbeamvale.example/hornbeamvale/internal/version/routing"
)

// serviceTimeWeight is the weight of a new sample in the smoothed service time of a
// kind of request.
const serviceTimeWeight = 0.05

// stopServiceTimes is how many times the usual service time a request has to have left
// before the VM stops. Requests of a kind differ in length.
const stopServiceTimes = 4

// PickRequest describes the request for which a replica is chosen.
type PickRequest struct {
	ID, Endpoint string
	// Now is set by the control thread.
	Now time.Time
	// PromptTokens is the length of the prompt. CachedTokens is the number of its
	// tokens that each replica probably has in its cache, by replica.
	PromptTokens int64
	CachedTokens map[string]int64
	// Program identifies the program of the request, LineTokens is the number of prompt
	// tokens that belong to it alone.
	Program    string
	LineTokens int64
	// HistoryKnown says that CachedTokens has the replica of the last turn if there was one.
	HistoryKnown bool
	// Object identifies what the request is about, if a replica that has handled it lately is
	// faster; else it is empty.
	Object string
	// ServiceTime is the usual service time of the request.
	ServiceTime time.Duration
	// RunTime is ServiceTime without the wait for the first event; 0 if not known.
	RunTime time.Duration
	// PrefillRate is the rate in tokens/s at which the replicas compute prompts.
	PrefillRate float64
	// MemoryTokens is how many tokens a replica holds in memory; 0 if not known.
	MemoryTokens int64
	// RelativeTime returns the expected service time at a replica with n requests and the
	// given batch limit, relative to ServiceTime.
	RelativeTime func(n float64, batchLimit int) float64
	// Excluded contains the replicas at which an earlier attempt failed.
	Excluded map[string]bool
	// MaxWait is how long the request may wait for a replica that limits its requests.
	MaxWait time.Duration
	// Allowed are the regions whose replicas may get the request.
	Allowed routing.AllowedRegions
	// Limit is the end of the request's own time limit, without regard to a stop.
	Limit time.Time
}

// PickResult is the reply to a Pick.
type PickResult struct {
	Replica replica.Candidate
	OK      bool
	// StartAt is when the request may be sent; zero means at once. The right to send it
	// ends reservationLifetime later, or coldPermissionLifetime if the replica is cold, see
	// SendBy.
	StartAt time.Time
	cold    bool
	// ListedReplicas is the number of listed replicas of the endpoint.
	ListedReplicas int
	// Alternatives is the number of replicas left for another attempt: listed, not excluded,
	// not leaving and not the chosen one.
	Alternatives int
	// RetryIn is set if no replica was chosen because those that would take requests limit
	// them. It is the time until one of them takes another one.
	RetryIn time.Duration
	// TooLate is set if this VM stops before the request would probably have ended.
	TooLate bool
	// OutsideRegions is set if all listed replicas of the endpoint are in regions that are not
	// allowed.
	OutsideRegions bool
	// Evacuated is set if all listed replicas of the endpoint are in evacuated data centres,
	// apart from those in regions that are not allowed.
	Evacuated bool
}

// SendBy returns when the right to send the request ends; zero if it does not.
func (r PickResult) SendBy() time.Time {
	switch {
	case r.StartAt.IsZero():
		return time.Time{}
	case r.cold:
		return r.StartAt.Add(coldPermissionLifetime)
	}
	return r.StartAt.Add(reservationLifetime)
}

// Expired returns whether the request may no longer be sent, because the process was
// paused after its replica was chosen.
func (r PickResult) Expired(now time.Time) bool {
	return !r.StartAt.IsZero() && now.After(r.SendBy())
}

// Pick is the event that chooses a replica and counts the request as sent to it. An
// EndRequest or a CancelPick must follow.
type Pick struct {
	Request PickRequest
	Kind    string // kind of the request; selects the expected service time
	Reply   chan<- PickResult
}

// Apply implements Event.
func (e Pick) Apply(s *State, now time.Time) {
	listed := s.replicas.Candidates(now, e.Request.Endpoint)
	allowed := inRegions(listed, e.Request.Allowed, s.config.Regions)
	if len(allowed) == 0 && len(listed) > 0 {
		e.Reply <- PickResult{OutsideRegions: true, ListedReplicas: len(listed)}
		return
	}
	candidates := s.evacuated.remaining(allowed)
	if len(candidates) == 0 && len(listed) > 0 {
		e.Reply <- PickResult{Evacuated: true, ListedReplicas: len(listed)}
		return
	}
	e.Request.Now, e.Request.PrefillRate = now, s.replicas.PrefillRate(e.Request.Endpoint)
	if s.table != nil {
		endpoint, _ := s.table.Endpoint(e.Request.Endpoint)
		e.Request.MemoryTokens = endpoint.MemoryTokens
	}
	if t := s.serviceTimes[e.Kind]; t != nil {
		e.Request.ServiceTime = time.Duration(t.total * float64(time.Second))
		if t.batched {
			e.Request.RelativeTime = t.batch.Relative
			e.Request.RunTime = time.Duration(t.run * float64(time.Second))
		}
	}
	if s.stopsBefore(now, e.Request) {
		e.Reply <- PickResult{TooLate: true, ListedReplicas: len(candidates)}
		return
	}
	e.Reply <- s.pick(now, e.Request, candidates)
}

// stopsBefore reports whether the VM stops before a request that is sent now would probably
// have ended. Without a usual service time, a request may take its whole time limit.
func (s *State) stopsBefore(now time.Time, r PickRequest) bool {
	if !s.draining {
		return false
	}
	end := r.Limit
	if r.ServiceTime > 0 {
		end = clock.Earlier(end, now.Add(stopServiceTimes*r.ServiceTime))
	}
	return end.After(s.stopAt)
}

// pick chooses a replica without a limit or with a free token of its limit. If there is
// none, it reserves a token that will be free in time.
func (s *State) pick(now time.Time, r PickRequest, candidates []replica.Candidate) PickResult {
	result := PickResult{ListedReplicas: len(candidates)}
	free, limited := s.splitByLimit(now, candidates, r.ServiceTime)
	if result.Replica, result.OK = s.config.Picker.Pick(r, free); result.OK {
		if result.cold = s.takeFromLimit(now, result.Replica.Replica); result.cold {
			result.StartAt = now
		}
	} else if len(limited) > 0 {
		var wait time.Duration
		if result.Replica, wait, result.OK = s.reserveFromLimit(now, r, limited); result.OK {
			result.StartAt, result.cold = now.Add(wait), s.limits[result.Replica.Replica].cold.applies()
		} else {
			result.RetryIn = wait
		}
	} else if len(free) == 0 && len(candidates) > 0 {
		result.RetryIn = retryElsewhere
	}
	if result.OK {
		s.replicas.Begin(now, result.Replica.Replica)
		for _, c := range candidates {
			if !c.Leaving && !r.Excluded[c.Replica] && c.Replica != result.Replica.Replica {
				result.Alternatives++
			}
		}
	}
	return result
}

// EndRequest is the event that a request has ended at a replica.
type EndRequest struct {
	Replica string
	// StartedMS is the start of the replica to which the request was sent.
	StartedMS int64
	// Endpoint is the replica's endpoint.
	Endpoint string
	// Failed is set if the replica failed the request, Misdirected if another replica
	// answered at its address.
	Failed, Misdirected bool
	// Gone is set if the request failed since a connection was refused or broke without an
	// answer, Refused if it was refused. Only the latter is told to other VMs, since a
	// broken connection may be a fault of this VM's network.
	Gone, Refused bool
	// ConnectionReusable is set if the connection can be reused.
	ConnectionReusable bool
	// Load is the load that the replica reported with its answer; nil if it reported
	// none. LoadReported is set if ReplicaAnswered has passed it on.
	Load         *replica.Load
	LoadReported bool
	// Kind groups the requests whose service times are compared. TotalTime is the time
	// of the whole request. UnitTime is the time of a part that is similar in all
	// requests of the kind, such as an event of a stream. Either is zero if unknown.
	Kind                string
	TotalTime, UnitTime time.Duration
	// FirstEventTime is the time from the dispatch of a stream to its first event; zero if
	// unknown. UncachedTokens is the number of prompt tokens that the replica probably did
	// not have in its cache.
	FirstEventTime time.Duration
	UncachedTokens int64
}

// serviceTime describes the service times of a kind of request.
type serviceTime struct {
	total, unit float64 // smoothed, in seconds
	// run is the smoothed total without the time to the first event.
	run float64
	// batched is set if the units are parts of requests, so that their times show how
	// the replicas slow down with the number of requests in a batch. batch is their model.
	batched bool
	batch   replica.BatchModel
}

// Apply implements Event.
func (e EndRequest) Apply(s *State, now time.Time) {
	if e.Load != nil && !e.LoadReported {
		s.replicas.Report(now, e.Replica, *e.Load)
	}
	if e.Failed && e.Gone && s.replicas.StartedMS(e.Replica) == e.StartedMS && s.replicas.MarkGone(e.Replica) {
		s.config.Log.State("Replica is gone", "replica", e.Replica)
		if e.Refused {
			s.noteReplica(now, e.Replica, false)
		}
	}
	s.replicas.End(now, e.Replica, !e.Failed, e.ConnectionReusable)
	if e.Misdirected {
		s.replicas.MarkMisdirected(now, e.Replica)
	}
	s.noteStreamEnd(now, e)
	if e.FirstEventTime > 0 {
		s.replicas.ObserveFirstEvent(e.Replica, e.UncachedTokens, e.FirstEventTime)
	}
	if e.TotalTime <= 0 || e.UnitTime <= 0 {
		return
	}
	run := (e.TotalTime - e.FirstEventTime).Seconds()
	t := s.serviceTimes[e.Kind]
	if t == nil {
		t = &serviceTime{total: e.TotalTime.Seconds(), unit: e.UnitTime.Seconds(), run: run}
		s.serviceTimes[e.Kind] = t
	}
	t.batched = e.UnitTime < e.TotalTime
	expected := t.unit
	if t.batched && e.Load != nil {
		expected *= t.batch.Relative(float64(e.Load.Running), e.Load.BatchLimit)
		t.batch.Observe(e.Load.Running, e.UnitTime.Seconds())
	}
	s.replicas.ObserveServiceTime(now, e.Replica, e.TotalTime, e.UnitTime.Seconds()/expected)
	t.total += serviceTimeWeight * (e.TotalTime.Seconds() - t.total)
	t.unit += serviceTimeWeight * (e.UnitTime.Seconds() - t.unit)
	t.run += serviceTimeWeight * (run - t.run)
}
