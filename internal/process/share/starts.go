package share

import "time"

const (
	// pressureMemory is how long a customer counts as being at its rate after one of
	// its running programs was refused.
	pressureMemory = 1 * time.Second
	// usualRequests is the number of requests of a program that is assumed until
	// programs were seen. Programs take 3 to 11 turns and one to two calls a turn.
	usualRequests = 6.0
	// minRequests is the least number of requests of a program.
	minRequests = 2.0
	// requestsGain is the weight of a new program in the smoothed number of requests.
	requestsGain = 0.02
)

// Starts bounds the programs that one VM begins for a customer that is at its rate.
// Without it each request of a running program competes with those that begin one,
// and with two thirds of the requests admitted almost no program of ten requests
// ends.
type Starts struct {
	requests float64 // of a program, smoothed
	level    float64 // programs that may begin
	updated  time.Time
	pressed  time.Time // when a request of a running program was refused last
}

// NewStarts returns the bound of a customer that is not at its rate.
func NewStarts(now time.Time) *Starts {
	return &Starts{requests: usualRequests, level: 1, updated: now}
}

// Admitted counts an admitted request. The number of requests of a program is that
// of all requests over those that begin one.
func (s *Starts) Admitted(starts bool) {
	if starts {
		s.requests = max(minRequests, s.requests*(1-requestsGain)+requestsGain)
		return
	}
	s.requests += requestsGain
}

// Press says that a request of a running program was refused for the rate.
func (s *Starts) Press(now time.Time) { s.pressed = now }

// Take says whether a program may begin, given the VM's rate in requests/s.
func (s *Starts) Take(now time.Time, rate float64) bool {
	s.level = min(1, s.level+rate/s.requests*now.Sub(s.updated).Seconds())
	s.updated = now
	if s.pressed.IsZero() || now.Sub(s.pressed) > pressureMemory {
		return true
	}
	if s.level < 1-epsilon {
		return false
	}
	s.level = 0
	return true
}
