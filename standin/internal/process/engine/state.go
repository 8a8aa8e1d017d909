package engine

import (
	"slices"
	"time"

	"hornbeamvale.example/hornbeamvale/standin/internal/process/lag"
)

// State is the state of an engine. It is owned by one goroutine, see package loop.
type State struct {
	config   Config
	faults   Faults
	cache    *cache
	waiting  []*Job // ordered by priority, then arrival
	running  []*Job // in order of admission
	nextStep time.Time
	records  map[string]*Job // latest job of each request id
	recorded []string        // ids of records, oldest first
	load     lag.Value[Load]
	models   []string
	role     string
	fence    uint64
}

// Job is a request in the engine. Its fields are used only on the loop's goroutine,
// except Pieces. The buffer of Pieces holds the whole answer, so that the loop never
// blocks on a client.
type Job struct {
	Pieces   <-chan Piece
	pieces   chan Piece
	request  Request
	produced []string // all tokens of the answer, including those of the job that it resumes
	from     int      // offset of the first token to send
	total    int      // length of the answer in tokens
	pinned   *entry   // cache entry in use while the job runs; nil if none
	cached   int      // number of blocks found in the cache
	prefill  int      // prompt tokens still to compute before the next answer token
	sent     int      // number of tokens sent to the client
	released bool     // the program was released, so nothing is stored at the end
	done     bool
}

// NewState returns an idle engine.
func NewState(c Config) *State {
	s := &State{config: c, cache: newCache(c.Blocks), records: map[string]*Job{}, models: []string{}}
	s.publish(time.Now())
	return s
}

// Deadline implements loop.State.
func (s *State) Deadline() time.Time {
	next := s.cache.nextExpiry()
	if s.busy() && (next.IsZero() || s.nextStep.Before(next)) {
		next = s.nextStep
	}
	return next
}

func (s *State) busy() bool { return !s.faults.Stall && len(s.waiting)+len(s.running) > 0 }

// Tick implements loop.State.
func (s *State) Tick(now time.Time) {
	s.cache.expire(now)
	if s.busy() && !now.Before(s.nextStep) {
		s.step(now)
		s.nextStep = now.Add(s.config.StepTime)
	}
	s.publish(now)
}

// Submit queues a request.
func (s *State) Submit(now time.Time, r Request) (*Job, error) {
	switch {
	case s.faults.Refuse:
		return nil, ErrRefused
	case s.faults.Leaving:
		return nil, ErrLeaving
	}
	j := &Job{request: r, total: r.Tokens}
	if r.Tokens == 0 {
		j.total = max(DefaultTokens-r.Prompt.AnswerPrefix, 1)
	}
	if s.config.AnswerTokens > 0 {
		j.total = min(j.total, max(s.config.AnswerTokens-r.Prompt.AnswerPrefix, 1))
	}
	if r.ResumeFrom != nil {
		if err := s.resume(now, j); err != nil {
			return nil, err
		}
	}
	j.pieces = make(chan Piece, j.total-j.from+1)
	j.Pieces = j.pieces
	s.record(j)
	if len(s.waiting)+len(s.running) == 0 {
		s.nextStep = now.Add(s.config.StepTime)
	}
	at, _ := slices.BinarySearchFunc(s.waiting, r.Priority+1, func(w *Job, p int) int { return w.request.Priority - p })
	s.waiting = slices.Insert(s.waiting, at, j)
	s.publish(now)
	return j, nil
}

// resume makes j continue the recorded request of its id and cancels that request if it
// still runs. A request of another program counts as unknown, so that no program gets
// another's answer.
func (s *State) resume(now time.Time, j *Job) error {
	old := s.records[j.request.ID]
	if old == nil || old.request.Program != j.request.Program {
		return ErrUnknownRequest
	}
	from := *j.request.ResumeFrom
	if from < 0 || from > len(old.produced) {
		return ErrOffset
	}
	s.Cancel(now, old)
	j.request.Prompt, j.request.Tokens, j.total = old.request.Prompt, old.request.Tokens, old.total
	j.produced, j.from = slices.Clone(old.produced), from
	return nil
}

// record keeps j for a later resume.
func (s *State) record(j *Job) {
	id := j.request.ID
	if id == "" {
		return
	}
	if s.records[id] == nil {
		s.recorded = append(s.recorded, id)
	}
	s.records[id] = j
	if len(s.recorded) > recordLimit {
		delete(s.records, s.recorded[0])
		s.recorded = s.recorded[1:]
	}
}

// Cancel stops a job. Its computed tokens stay cached, and it can be resumed.
func (s *State) Cancel(now time.Time, j *Job) {
	if j.done {
		return
	}
	j.done = true
	s.waiting = slices.DeleteFunc(s.waiting, func(w *Job) bool { return w == j })
	if slices.Contains(s.running, j) {
		s.running = slices.DeleteFunc(s.running, func(w *Job) bool { return w == j })
		s.finishRunning(now, j)
	}
	close(j.pieces)
	s.publish(now)
}

// step is one step of the batch. It admits waiting requests, and each running request
// either computes prompt tokens within the step's budget or produces one answer token.
func (s *State) step(now time.Time) {
	for len(s.waiting) > 0 && len(s.running) < s.config.BatchLimit {
		s.admit(s.waiting[0])
		s.waiting = s.waiting[1:]
	}
	budget := s.config.PrefillTokens
	for _, j := range s.running {
		if j.prefill > 0 {
			n := min(j.prefill, budget)
			j.prefill, budget = j.prefill-n, budget-n
			continue
		}
		s.advance(j)
	}
	for _, j := range s.running {
		if j.done {
			s.finishRunning(now, j)
			close(j.pieces)
		}
	}
	s.running = slices.DeleteFunc(s.running, func(j *Job) bool { return j.done })
}

func (s *State) admit(j *Job) {
	tokens := j.tokens()
	j.pinned, j.cached = s.cache.pin(j.request.Program, blockHashes(tokens))
	j.prefill = len(tokens) - j.cached*BlockTokens
	s.running = append(s.running, j)
}

// advance sends the tokens that a resumed job has already produced, then produces one
// token.
func (s *State) advance(j *Job) {
	for _, token := range j.produced[min(j.from+j.sent, len(j.produced)):] {
		if s.send(j, token); j.done {
			return
		}
	}
	if len(j.produced) < j.total {
		token := j.request.Prompt.token(j.request.Prompt.AnswerPrefix + len(j.produced))
		j.produced = append(j.produced, token)
		if s.send(j, token); j.done {
			return
		}
	}
	if len(j.produced) == j.total {
		j.done = true
		j.pieces <- Piece{FinishReason: j.finishReason(), Usage: j.usage()}
	}
}

func (s *State) send(j *Job, token string) {
	j.pieces <- Piece{Token: token}
	j.sent++
	if s.faults.CutAfterTokens > 0 && j.sent == s.faults.CutAfterTokens {
		j.done = true
		j.pieces <- Piece{Cut: true}
		if s.faults.CutOnce {
			s.faults.CutAfterTokens = 0
		}
	}
}

// finishRunning stores the blocks of a job that stops running.
func (s *State) finishRunning(now time.Time, j *Job) {
	if j.pinned != nil {
		j.pinned.pins--
	}
	if j.released {
		return
	}
	computed := j.tokens()
	computed = computed[:len(computed)-j.prefill]
	s.cache.store(now, j.request.Program, blockHashes(computed), j.request.CacheTTL)
}

// tokens returns the tokens of the prompt and of the answer so far.
func (j *Job) tokens() []string {
	tokens := slices.Clone(j.request.Prompt.Tokens)
	for _, t := range j.produced {
		if t[0] == ' ' {
			t = t[1:]
		}
		tokens = append(tokens, t)
	}
	return tokens
}

// finishReason returns the reason for which the answer ended, in the terms of the protocol.
func (j *Job) finishReason() string {
	if j.request.Tokens > 0 {
		return "length"
	}
	return "stop"
}

func (j *Job) usage() Usage {
	prompt := len(j.request.Prompt.Tokens)
	return Usage{
		PromptTokens:     prompt,
		CachedTokens:     min(j.cached*BlockTokens, prompt),
		CompletionTokens: len(j.produced),
	}
}
