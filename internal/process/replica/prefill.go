package replica

import (
	"math"
	"slices"
	"time"
)

const (
	// priorPrefillRate is the rate in tokens/s at which engines compute prompts, until the
	// answers of the endpoint show another one.
	priorPrefillRate = 236_000.0
	// prefillPriorWeight is the weight of the prior, in observations.
	prefillPriorWeight = 16
	// prefillWindow is the number of observations that are remembered. Their 2,016 pairs are
	// compared once in prefillInterval observations.
	prefillWindow, prefillInterval = 64, 16
	// prefillMinGap is the least difference of two prompts that are compared, in tokens.
	// Smaller ones take 1 to 2 ms, which is less than one event.
	prefillMinGap = 200
	// prefillMaxFactor bounds how far the estimate moves from the prior.
	prefillMaxFactor = 5
)

// PrefillModel estimates the rate at which the replicas of an endpoint compute prompts, by
// the times to the first events of answers. The wait for a slot and the prompts of other
// requests add to many of these times. The estimate is therefore the median of the slopes
// between all pairs of observations (Theil-Sen), which a third of outliers does not move
// far, and a common constant not at all. The zero value is ready to use.
type PrefillModel struct {
	observations []prefillObservation // a ring of prefillWindow
	next         int                  // index of the oldest one, when the ring is full
	sinceFit     int
	perToken     float64 // seconds; 0 before the first fit
}

type prefillObservation struct{ tokens, seconds float64 }

// Observe adds the time to the first event of an answer to a prompt of which the given
// number of tokens was not cached.
func (m *PrefillModel) Observe(uncachedTokens int64, first time.Duration) {
	o := prefillObservation{float64(uncachedTokens), first.Seconds()}
	if len(m.observations) < prefillWindow {
		m.observations = append(m.observations, o)
	} else {
		m.observations[m.next] = o
		m.next = (m.next + 1) % prefillWindow
	}
	if m.sinceFit++; m.sinceFit >= prefillInterval {
		m.sinceFit = 0
		m.fit()
	}
}

// Rate returns the estimated rate in tokens/s.
func (m *PrefillModel) Rate() float64 {
	if m == nil || m.perToken <= 0 {
		return priorPrefillRate
	}
	return 1 / m.perToken
}

// fit sets perToken to the weighted mean of the median slope and the prior.
func (m *PrefillModel) fit() {
	slopes := make([]float64, 0, len(m.observations)*(len(m.observations)-1)/2)
	for i, a := range m.observations {
		for _, b := range m.observations[:i] {
			if gap := a.tokens - b.tokens; math.Abs(gap) >= prefillMinGap {
				slopes = append(slopes, (a.seconds-b.seconds)/gap)
			}
		}
	}
	m.perToken = 1 / priorPrefillRate
	if len(slopes) == 0 {
		return
	}
	slices.Sort(slopes)
	median := slopes[len(slopes)/2]
	// Pairs stand for as many observations as would have that many pairs.
	weight := math.Sqrt(2 * float64(len(slopes)))
	perToken := (weight*median + prefillPriorWeight/priorPrefillRate) / (weight + prefillPriorWeight)
	m.perToken = min(max(perToken, 1/(prefillMaxFactor*priorPrefillRate)), prefillMaxFactor/priorPrefillRate)
}
