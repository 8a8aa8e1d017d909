package limit

import (
	"fmt"
	"time"
)

// checkSpendable compares the tokens that the VMs and the owner hold with those of
// the naive bucket after the same admissions. If they hold more, some demand would
// exceed the bound, even if the demand of this run does not.
func (s *sim) checkSpendable() {
	current := s.owners[len(s.owners)-1]
	current.owner.advance(current.clock(s.now))
	spendable := current.owner.level
	for _, v := range s.vms {
		if v.inactive(s.now) {
			continue
		}
		if v.setPolicy != nil && v.setAt <= s.now {
			continue // paused: it applies the newer policy before it admits again
		}
		v.limiter.advance(v.clock(s.now))
		spendable += v.limiter.fallback + v.limiter.held + v.limiter.earlier
	}
	s.check.refill(s.now)
	if spendable > s.check.level+1e-6 && s.res.spendable == "" {
		s.res.spendable = fmt.Sprintf("%.3f tokens can be spent at %v, but the naive bucket holds %.3f", spendable, s.now, s.check.level)
	}
}

// checkWindows compares every window between two admissions with the bound of
// a constant policy: max over i <= j of (j-i+1) - rate*(t_j-t_i) <= burst.
func (s *sim) checkWindows() {
	if s.cfg.policies || s.res.violation != "" {
		return
	}
	best := -1e18
	for j, t := range s.admitted {
		line := float64(j) - s.check.rate*t.Seconds()
		best = max(best, -line)
		if over := line + 1 + best - s.check.burst; over > 1e-6 {
			s.res.violation = fmt.Sprintf("window ending at %v exceeds the bound by %.3f", t, over)
			return
		}
	}
}

// chance reports whether an event with the given rate happens in this step.
func (s *sim) chance(perSecond float64) bool {
	return s.rng.Float64() < perSecond*simStep.Seconds()
}

// faults applies this step's changes of policy, owner and seats, and its faults.
func (s *sim) faults() {
	if s.cfg.policies {
		s.changePolicy()
	}
	if s.cfg.planned > 0 {
		if s.now > 0 && s.now%s.cfg.planned == 0 {
			s.changeOwner()
		}
		for i, v := range s.vms {
			// The VMs learn of the new owner from their polls, within one second.
			if s.now%s.cfg.planned == time.Duration(i)*time.Second/simVMs {
				v.view = len(s.owners) - 1
			}
		}
	}
	if s.cfg.vacancies {
		for i := range s.vms {
			s.changeHolder(i)
			if s.cfg.cuts && s.chance(0.03) {
				s.vms[i].cutUntil = s.now + s.random(0, 20*time.Second)
			}
		}
	}
	if !s.cfg.faults {
		return
	}
	for i, v := range s.vms {
		switch {
		case v.inactive(s.now):
		case s.chance(0.02):
			v.pausedUntil = s.now + s.random(0, 12*time.Second)
		case s.chance(0.02):
			v.pausedUntil = s.now
			s.restart(i)
		case s.chance(0.02):
			v.cutUntil = s.now + s.random(0, 12*time.Second)
		}
		if v.view < len(s.owners)-1 && s.chance(2) {
			v.view = len(s.owners) - 1
		} else if v.view > 0 && s.chance(0.02) {
			v.view--
		}
	}
	current := s.owners[len(s.owners)-1]
	if s.chance(0.03) {
		current.pausedUntil = s.now + s.random(0, 5*time.Second)
	}
	if s.now >= s.changeAt {
		s.changeOwner()
		s.changeAt = s.now + s.random(4*time.Second, 30*time.Second)
	}
}

// changeHolder makes a VM stop and free its seat from time to time. Another VM takes
// the seat later and learns with a delay that it holds it.
func (s *sim) changeHolder(i int) {
	v := s.vms[i]
	switch {
	case s.now < v.vacantFrom:
		if s.chance(0.04) {
			v.vacantFrom = s.now
			v.joinsAt = s.now + s.random(0, 20*time.Second)
			v.appliesAt = v.joinsAt + s.random(0, time.Second)
			v.arrivals = nil
		}
	case s.now >= v.appliesAt:
		v.vacantFrom = 1 << 60
		v.pausedUntil = s.now
		if v.setPolicy != nil {
			v.policy, v.setPolicy = *v.setPolicy, nil // a VM that joins reads the newest version
		}
		s.restart(i)
	}
}

// changePolicy accepts a new policy from time to time. The owners apply it at
// once, each VM at a random time within PropagationDelay. The check uses the
// largest rate and burst of the policies that may still be in force.
func (s *sim) changePolicy() {
	if s.now >= s.policyAt && s.now < s.cfg.duration-12*time.Second {
		s.policyAt = s.now + s.random(2*time.Second, 25*time.Second)
		last := &s.recent[len(s.recent)-1]
		last.last = s.now + PropagationDelay + 2*(GrantLifetime+ClockMargin)
		p := Policy{Rate: 5 + s.rng.Float64()*400, Burst: 1 + 400*s.rng.Float64()*s.rng.Float64(), // the burst is often less than one per seat
			Seats: len(s.vms) + s.rng.Intn(10)}
		s.recent = append(s.recent, timedPolicy{p, s.now, s.cfg.duration * 2})
		for _, v := range s.vms {
			at := s.now + s.random(0, PropagationDelay)
			if v.setPolicy == nil || at < v.setAt {
				v.setAt = at // a pending older version bounds the time
			}
			v.setPolicy = &p
		}
		for _, o := range s.owners {
			o.owner.SetPolicy(o.clock(s.now), p)
		}
	}
	var rate, burst float64
	for _, r := range s.recent {
		if r.last >= s.now {
			rate, burst = max(rate, r.p.Rate), max(burst, r.p.Burst)
		}
	}
	s.check.refill(s.now)
	s.check.rate, s.check.burst = rate*(1+simDrift), burst
	s.check.level = min(s.check.level, burst)
}
