package overload

import (
	"math"
	"time"
)

const (
	// recentTime and usualTime are the times over which the programs that a customer begins
	// are counted. A VM of 80 sees less than one program a second.
	recentTime = 8 * time.Second
	usualTime  = 2 * time.Minute
	// partTolerance is how many times its part of the programs a customer may begin, and
	// startTolerance the programs beyond that, before the excess is refused first. One
	// program says nothing about a customer's part.
	partTolerance  = 1.2
	startTolerance = 1.0
	// forgottenCount is the count of usual programs below which a customer is forgotten,
	// after about five times usualTime without one.
	forgottenCount = 0.01
)

// customerStarts counts the programs of one customer that have asked to begin.
type customerStarts struct {
	recent, usual float64 // decayed counts
	weight        float64
	at            time.Time
}

func (a *customerStarts) decay(now time.Time) {
	if passed := now.Sub(a.at).Seconds(); passed > 0 {
		a.recent *= math.Exp(-passed / recentTime.Seconds())
		a.usual *= math.Exp(-passed / usualTime.Seconds())
		a.at = now
	}
}

// customerShares are the customers' programs by priority and customer.
type customerShares map[int]map[string]*customerStarts

// asked counts a program that asks to begin.
func (s customerShares) asked(now time.Time, r Request) {
	starts := s[r.Priority]
	if starts == nil {
		starts = map[string]*customerStarts{}
		s[r.Priority] = starts
	}
	own := starts[r.Customer]
	if own == nil {
		own = &customerStarts{at: now}
		starts[r.Customer] = own
	}
	for name, a := range starts {
		if a.decay(now); a.usual < forgottenCount && a != own {
			delete(starts, name)
		}
	}
	own.recent++
	own.usual++
	own.weight = r.Weight
}

// refusal returns the fraction of the programs of a request's customer that is refused if
// the given fraction of all programs of the priority has to be. Programs beyond their
// customers' parts are refused before others. The request has been counted.
func (s customerShares) refusal(r Request, fraction float64) float64 {
	if fraction <= 0 {
		return 0
	}
	starts := s[r.Priority]
	var recent, usual, weight float64
	for _, a := range starts {
		recent += a.recent
		usual += a.usual
		weight += a.weight
	}
	// A customer's part is what it usually begins or what its weight gives it, whichever is
	// less: its usual part follows a long excess and is not known after a start of the VM.
	excess := func(a *customerStarts) float64 {
		part := a.usual / usual
		if a.weight > 0 {
			part = min(part, a.weight/weight)
		}
		return max(0, a.recent-startTolerance-partTolerance*recent*part)
	}
	var sum float64
	for _, a := range starts {
		sum += excess(a)
	}
	if sum <= 0 {
		return fraction
	}
	own := starts[r.Customer]
	all, ofOwn := sum/recent, excess(own)/own.recent
	return ofOwn*min(1, fraction/all) + (1-ofOwn)*max(0, (fraction-all)/(1-all))
}
