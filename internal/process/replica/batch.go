package replica

const (
	// batchModelDecay is the weight that earlier observations keep with each new one. A
	// VM that sees 20 answers a second remembers about 10 s.
	batchModelDecay = 0.995
	// batchPriorSlope is the assumed slope, relative to the mean time, for a full batch,
	// until the observations show another one.
	batchPriorSlope = 0.3
	// batchPriorWeight is the weight of the assumed slope, in observations.
	batchPriorWeight = 3.0
)

// BatchModel estimates how the time of one unit of work, such as an event of a stream,
// grows with the number of requests that a replica processes in one batch. It fits a
// line to the observed times. The zero value is ready to use.
type BatchModel struct {
	weight, n, time, nn, nt float64 // decayed sums of 1, n, t, n² and n·t
}

// Observe adds the time of a unit, in seconds, at a replica with n requests in its batch.
func (m *BatchModel) Observe(n int, seconds float64) {
	x := float64(n)
	for _, sum := range []*float64{&m.weight, &m.n, &m.time, &m.nn, &m.nt} {
		*sum *= batchModelDecay
	}
	m.weight++
	m.n += x
	m.time += seconds
	m.nn += x * x
	m.nt += x * seconds
}

// Relative returns the expected time of a unit with n requests in the batch, relative to
// the mean of the observed times. limit is the size of a full batch. It returns 1 without
// observations.
func (m *BatchModel) Relative(n float64, limit int) float64 {
	if m.weight < 1 || m.time <= 0 {
		return 1
	}
	meanN, meanTime := m.n/m.weight, m.time/m.weight
	variance := max(0, m.nn-m.n*meanN)
	covariance := m.nt - m.n*meanTime
	// The assumed slope counts like batchPriorWeight observations spread over the batch.
	spread := batchPriorWeight * float64(limit*limit) / 12
	assumed := batchPriorSlope * meanTime / float64(max(1, limit))
	slope := max(0, (covariance+spread*assumed)/(variance+spread))
	return max(minRelativeTime, (meanTime+slope*(n-meanN))/meanTime)
}

// minRelativeTime bounds the extrapolation to replicas that are much less loaded than
// any that was observed.
const minRelativeTime = 0.1
