package replica

import (
	"math"
	"time"
)

// defaultReportHalfLife is the half-life of a load report until the service times of the
// endpoint are known.
const defaultReportHalfLife = 250 * time.Millisecond

// expectInFlight sets Expected for the replicas of one endpoint: the requests of the
// whole fleet that a replica is expected to have now.
//
// This VM's own requests are known. What the other VMs have at a replica is known as of
// the last report, and that knowledge loses its value: their requests end, and all VMs
// that saw the same lightly loaded replica send to it. The estimate therefore moves from
// the reported value to the replica's part of the mean of all, with the given half-life.
func expectInFlight(now time.Time, candidates []Candidate, halfLife time.Duration) {
	if halfLife <= 0 {
		halfLife = defaultReportHalfLife
	}
	others := func(c Candidate) float64 { return float64(c.InFlight - c.OwnInFlight) }
	var sum, weights float64
	for _, c := range candidates {
		w := c.reportWeight(now, halfLife)
		sum += w * others(c)
		weights += w
	}
	mean := 0.0
	if weights > 0 {
		mean = sum / weights
	}
	part := capacityPart(candidates)
	for i, c := range candidates {
		w := c.reportWeight(now, halfLife)
		candidates[i].Expected = float64(c.OwnInFlight) + w*others(c) + (1-w)*mean*part(c)
	}
}

// capacityPart returns how many requests a replica has under an even load, in relation to
// the mean of all. It is 1 for all replicas unless some report their work time: the measured
// slowness alone differs by chance between like replicas.
func capacityPart(candidates []Candidate) func(Candidate) float64 {
	var sum float64
	reported := false
	for _, c := range candidates {
		sum += 1 / c.UsualSlowness
		reported = reported || c.ReportsWorkTime
	}
	if !reported {
		return func(Candidate) float64 { return 1 }
	}
	return func(c Candidate) float64 { return float64(len(candidates)) / (c.UsualSlowness * sum) }
}

// reportWeight returns the weight of the candidate's load report, from 1 for a new one to
// 0 for a replica without one.
func (c Candidate) reportWeight(now time.Time, halfLife time.Duration) float64 {
	if c.reportedAt.IsZero() {
		return 0
	}
	return math.Exp2(-now.Sub(c.reportedAt).Seconds() / halfLife.Seconds())
}
