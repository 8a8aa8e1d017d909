// Package overload decides which programs may begin at an endpoint whose model replicas
// have more work than they can do in time. The load pattern is a sustained excess of turns:
// without a decision all programs wait a little in each turn, and all end late. Refusing
// some programs before their first turn lets the others end in time.
//
// The package is pure: time, reports and requests are arguments. Each VM decides by its own
// evidence; nothing is exchanged between VMs.
package overload

import (
	"time"

	"hornbeamvale.example/hornbeamvale/internal/version/hashing"
)

const (
	// minRetryAfter and maxRetryAfter are the limits of the time after which a refused
	// program should come back. It is spread over that range, so that the programs refused
	// in a burst don't return as one. The tightest programs state 1.2 times the time that
	// they need, so one that returns after more than retryFraction of its time can't end in
	// it. (Callers come back only within a third of it.)
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = time.Second
	retryFraction = 1.0 / 6
	// minRetrySpread is the width of the range for programs with little time left.
	minRetrySpread = 100 * time.Millisecond
)

// Request is a request of which Begin says whether it may run.
type Request struct {
	ID, Program, Customer string
	// Kind groups the programs whose stated times are compared.
	Kind string
	// Priority is the urgency; 0 is the most urgent.
	Priority int
	// Continues is set if the request names the turn that it continues, ContinuationKnown if
	// all turns of the route but the first of a program do.
	Continues, ContinuationKnown bool
	// TimeLeft is the time until the program should be finished; 0 if not stated.
	TimeLeft time.Duration
	// Late is set if that time has passed.
	Late bool
	// Weight is the customer's part of the endpoint in relation to the weights of the others,
	// for example its rate; 0 if it has none.
	Weight float64
}

// Decision is the answer to a Request.
type Decision struct {
	Admitted bool
	// RetryAfter is when a refused program should come back.
	RetryAfter time.Duration
}

// Controller decides on the programs of one endpoint. It is used by one goroutine.
type Controller struct {
	pressure  pressure
	classes   classes
	customers customerShares
	programs  admittedPrograms
}

// New returns a controller without evidence, which admits everything.
func New() *Controller {
	return &Controller{pressure: newPressure(), classes: classes{}, customers: customerShares{}, programs: newAdmittedPrograms()}
}

// Report records a load report of a replica that was measured at the given time.
func (c *Controller) Report(now, measured time.Time, running, waiting, slots int) {
	c.pressure.report(now, measured, running, waiting, slots)
	c.update(now)
}

// Ended records the times of a request that has ended.
func (c *Controller) Ended(now time.Time, e RequestEnd) {
	c.pressure.ended(now, e)
	c.update(now)
}

// update notes the admissions that follow from the present pressure, and returns it.
func (c *Controller) update(now time.Time) float64 {
	pressure := c.pressure.value(now)
	c.classes.record(now, pressure)
	return pressure
}

// Begin decides whether a request may run. Turns of programs in progress always may.
func (c *Controller) Begin(now time.Time, r Request) Decision {
	c.classes.seen(now, r.Priority)
	c.pressure.began(now, r.Late)
	pressure := c.update(now)
	c.programs.observe(now, r)
	if r.Continues || c.programs.admitted(r) {
		c.programs.admit(now, r)
		return Decision{Admitted: true}
	}
	admission := c.classes.admission(now, r.Priority, pressure)
	draw := hashing.Fraction("begin", r.ID)
	if !r.ContinuationKnown && r.Program != "" {
		// The turn may belong to a program that another VM has admitted. All VMs draw the
		// same number for it.
		draw = hashing.Fraction("begin", r.Customer, r.Program)
		if draw < c.classes.highestSince(now, r.Priority, c.programs.earliestStart(now, r)) {
			c.programs.admit(now, r)
			return Decision{Admitted: true}
		}
	}
	c.customers.asked(now, r)
	refusal := c.customers.refusal(r, 1-admission)
	if draw < 1-refusal {
		c.programs.admit(now, r)
		return Decision{Admitted: true}
	}
	c.classes[r.Priority].refused++
	return Decision{RetryAfter: retryAfter(r)}
}

// retryAfter returns the time after which a refused program should come back.
func retryAfter(r Request) time.Duration {
	longest := maxRetryAfter
	if r.TimeLeft > 0 {
		longest = min(longest, time.Duration(retryFraction*float64(r.TimeLeft)))
	}
	longest = max(longest, minRetryAfter+minRetrySpread)
	return minRetryAfter + time.Duration(hashing.Fraction("retry", r.ID)*float64(longest-minRetryAfter))
}

// Class is the state of the programs of one priority.
type Class struct {
	Priority int
	// Admission is the fraction of the programs that may begin.
	Admission float64
	Refused   int64
}

// Status describes the state of a controller.
type Status struct {
	// Pressure is the estimated load, 1 if all slots are taken. Delay is by how much first
	// events are late, as a fraction of the usual time of requests.
	// Late is the fraction of the turns whose programs' time has passed.
	Pressure, Delay, Late float64
	// Evidence is the time since the newest report was measured; zero without one.
	Evidence time.Duration
	// Classes are ordered by priority.
	Classes []Class
}

// Shedding reports whether programs are refused.
func (s Status) Shedding() bool {
	for _, c := range s.Classes {
		if c.Admission < 1 {
			return true
		}
	}
	return false
}

// Status returns the present state.
func (c *Controller) Status(now time.Time) Status {
	p := c.update(now)
	return Status{Pressure: p, Delay: c.pressure.delay(now), Late: c.pressure.late.mean(now), Evidence: c.pressure.age(now), Classes: c.classes.status(now, p)}
}
