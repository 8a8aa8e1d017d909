package share

import "time"

const (
	// pressureWindow is how long a customer counts as being at its rate after one of
	// its running programs was refused.
	pressureWindow = 1 * time.Second
	// initialRequests is the assumed number of requests per program until programs have
	// been seen. Programs take 3 to 11 turns, with one to two calls per turn.
	initialRequests = 6.0
	// minRequests is the minimum of the smoothed number of requests per program.
	minRequests = 2.0
	// requestsWeight is the weight of a new sample in the smoothed number of requests
	// per program.
	requestsWeight = 0.02
)

// StartLimiter limits the programs that one VM starts for a customer at its rate.
// Without the limit the requests of running programs compete with requests that start
// one. If two thirds of all requests are admitted, almost no program of ten requests is
// completed.
type StartLimiter struct {
	requestsPerProgram float64 // smoothed
	available          float64 // programs that may start now, at most 1
	updatedAt          time.Time
	lastRefusal        time.Time // when a request of a running program was last refused for the rate
}

// NewStartLimiter returns the limiter of a customer that is not at its rate.
func NewStartLimiter(now time.Time) *StartLimiter {
	return &StartLimiter{requestsPerProgram: initialRequests, available: 1, updatedAt: now}
}

// RecordAdmission counts an admitted request. The number of requests per program is
// estimated as the ratio of all requests to those that start a program.
func (s *StartLimiter) RecordAdmission(starts bool) {
	if starts {
		s.requestsPerProgram = max(minRequests, s.requestsPerProgram*(1-requestsWeight)+requestsWeight)
		return
	}
	s.requestsPerProgram += requestsWeight
}

// RecordRefusal records that a request of a running program was refused for the rate.
func (s *StartLimiter) RecordRefusal(now time.Time) { s.lastRefusal = now }

// Take returns whether a program may start, given the rate of this VM's share in
// requests/s.
func (s *StartLimiter) Take(now time.Time, rate float64) bool {
	s.available = min(1, s.available+rate/s.requestsPerProgram*now.Sub(s.updatedAt).Seconds())
	s.updatedAt = now
	if s.lastRefusal.IsZero() || now.Sub(s.lastRefusal) > pressureWindow {
		return true
	}
	if s.available < 1-epsilon {
		return false
	}
	s.available = 0
	return true
}
