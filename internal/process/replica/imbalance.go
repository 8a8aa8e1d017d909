package replica

import "time"

// Imbalance returns, by endpoint, the expected requests a slot of the busiest replica in
// relation to the mean of all that take requests. Endpoints with fewer than two of them, or
// without any expected request, are left out.
func (r *Registry) Imbalance(now time.Time) map[string]float64 {
	endpoints := map[string]bool{}
	for _, e := range r.entries {
		endpoints[e.Endpoint] = true
	}
	out := map[string]float64{}
	for endpoint := range endpoints {
		var sum, most, n float64
		for _, c := range r.Candidates(now, endpoint) {
			if c.Leaving || c.Failing {
				continue
			}
			load := c.Expected / float64(max(1, c.BatchLimit))
			sum, most, n = sum+load, max(most, load), n+1
		}
		if n > 1 && sum > 0 {
			out[endpoint] = most / (sum / n)
		}
	}
	return out
}
