package fleet

import (
	"time"

	"hornbeamvale.example/hornbeamvale/internal/process/replica"
)

const (
	// coldPermissionLifetime is how long a permission to send a request to a cold replica may
	// be used. A process that was paused for longer chooses again.
	coldPermissionLifetime = 100 * time.Millisecond
	// coldSpread is by how much requests that are sent at different times may arrive closer
	// together: by the lifetime of a permission, and by 50 ms on the way.
	coldSpread = coldPermissionLifetime + 50*time.Millisecond
)

// ColdBounds says how many requests a cold replica may get from all VMs together in one
// second: its rate x Overage + Tolerance. An Overage of 0 means that it is not stated and
// counts as 1. If a bound leaves no room for holders, a replica has one.
type ColdBounds struct{ Overage, Tolerance float64 }

// holders returns the largest number of VMs that may have a share of the rate of a cold
// replica. Each may have one whole token at hand beside its share of the rate, so in a
// second and coldSpread they send at most rate x (1 s + coldSpread) + holders.
func (b ColdBounds) holders(rate float64) int {
	return max(1, int(rate*(max(1, b.Overage)-1-coldSpread.Seconds())+b.Tolerance))
}

// coldLimit is the rate of requests from all VMs that a replica tolerates while it is cold.
type coldLimit struct {
	rate  float64 // requests/s
	until time.Time
}

// applies reports whether the replica counts as cold.
func (c coldLimit) applies() bool { return c.rate > 0 }

// coldRow is what a replica's row says about its coldness.
type coldRow struct {
	endpoint string
	revision uint64    // of the row
	until    time.Time // when the replica is cold no more
}

// noteCold applies what rows say about the coldness of their replicas. The time left counts
// from when a row was first read, which is later than when it was written, so a replica
// counts as cold for a little longer than it is. A full read shows rows again that are
// known; only a row with another revision replaces what is known.
func (s *State) noteCold(now time.Time, listed []replica.Registration) {
	for id := range s.cold {
		if !s.replicas.Listed(id) {
			delete(s.cold, id)
			s.applyCold(now, id)
		}
	}
	for _, r := range listed {
		known, ok := s.cold[r.ID]
		switch {
		case ok && known.revision == r.Revision, !ok && r.ColdFor <= 0:
			continue
		case r.ColdFor <= 0:
			delete(s.cold, r.ID)
		default:
			s.cold[r.ID] = coldRow{r.Endpoint, r.Revision, now.Add(r.ColdFor)}
		}
		s.applyCold(now, r.ID)
	}
}

// applyAllCold applies the rows again after a change of the configuration.
func (s *State) applyAllCold(now time.Time) {
	for id := range s.cold {
		s.applyCold(now, id)
	}
}

// applyCold limits the requests of a replica while it is cold, if its endpoint has a rule
// for cold replicas.
func (s *State) applyCold(now time.Time, id string) {
	row, l := s.cold[id], s.limits[id]
	rate := s.coldRate(row.endpoint)
	if rate <= 0 || !now.Before(row.until) {
		if l != nil && l.cold.applies() {
			s.endCold(now, id, l)
		}
		return
	}
	l = s.limitOf(now, id)
	if !l.cold.applies() {
		s.unpublished = true
		s.config.Log.State("Replica is cold", "replica", id, "limit", rate, "for", row.until.Sub(now), "revision", row.revision)
	}
	l.cold = coldLimit{rate, row.until}
	s.applyLimit(now, id, l)
}

// coldRate returns the rate that a cold replica of an endpoint tolerates; 0 if it has no such
// rule or is not known.
func (s *State) coldRate(endpoint string) float64 {
	if s.table == nil {
		return 0
	}
	e, _ := s.table.Endpoint(endpoint)
	return e.ColdRate
}

// endCold ends the limit of a replica that is cold no more.
func (s *State) endCold(now time.Time, id string, l *replicaLimit) {
	s.config.Log.State("Replica is cold no more", "replica", id, "limit", l.cold.rate)
	l.cold = coldLimit{}
	s.dropUnlimited(now, id, l)
}

// mayUseColdShare reports whether this VM may use its share of a cold replica's rate. Unlike
// a limit that a replica names, whose rule leaves room for VMs that see a change of the
// members late, it needs a recent read of the members.
func (s *State) mayUseColdShare(now time.Time, l *replicaLimit) bool {
	return l.bucket.Rate() > 0 && s.members.current(now)
}

// countLimits returns the numbers of replicas that name a limit and that are cold.
func (s *State) countLimits() (named, cold int) {
	for _, l := range s.limits {
		if l.named != nil {
			named++
		}
		if l.cold.applies() {
			cold++
		}
	}
	return named, cold
}
