package overload

import (
	"math"
	"time"
)

const (
	// smoothing is the time over which evidence is averaged. A VM gets about four reports a
	// second, and the load of single replicas differs widely.
	smoothing = 600 * time.Millisecond
	// fullEvidence is the weight, in fresh reports, below which evidence counts for less.
	// The last reports of a VM without traffic lose their effect in this way.
	fullEvidence = 1.0
	// maxWaiting bounds the waiting requests a slot in one report, so that one replica with a
	// long queue doesn't stand for all.
	maxWaiting = 1.0
	// bearableDelay is the delay of the first event, as a fraction of the usual time of the
	// request, from which on the endpoint counts as overloaded whatever its replicas report.
	// The tightest programs state 1.2 times the time that they take on idle replicas, and a
	// full batch takes a part of that.
	bearableDelay = 0.15
	// lateSmoothing is the time over which the fraction of late turns is averaged. A VM of 80
	// gets about four turns a second.
	lateSmoothing    = 2 * time.Second
	fullLateEvidence = 5.0
	// From a fraction of bearableLate of the turns that belong to programs whose time has
	// passed, the pressure is raised, by up to latePressure at a fraction of fullLate. Single
	// programs are late for reasons of their own, such as a slow tool.
	bearableLate = 0.05
	fullLate     = 0.2
	latePressure = 0.35
	// usualWeight is the weight of a new observation in the usual times of a kind.
	usualWeight = 0.1
	// minUsualSamples is the number of observations after which the usual times count.
	minUsualSamples = 8
	// minUsualTime bounds the usual time of a request, since delays are relative to it.
	minUsualTime = 20 * time.Millisecond
)

// RequestEnd tells the times of a request that has ended.
type RequestEnd struct {
	Kind string
	// FirstEvent is the time from the dispatch to the first event, Total that to the end.
	FirstEvent, Total time.Duration
	// Unloaded is set if nobody waited at the replica.
	Unloaded bool
}

// average is a mean whose samples lose their weight with their age.
type average struct {
	over        time.Duration // in which a sample loses its weight
	evidence    float64       // the weight below which the samples count for less
	weight, sum float64
	at          time.Time
}

func (a *average) decay(now time.Time) {
	if passed := now.Sub(a.at); passed > 0 {
		f := math.Exp(-passed.Seconds() / a.over.Seconds())
		a.weight, a.sum, a.at = a.weight*f, a.sum*f, now
	}
}

func (a *average) add(now, measured time.Time, value float64) {
	a.decay(now)
	f := math.Exp(-max(0, now.Sub(measured)).Seconds() / a.over.Seconds())
	a.weight += f
	a.sum += f * value
}

func (a *average) mean(now time.Time) float64 {
	a.decay(now)
	return a.sum / max(a.weight, a.evidence)
}

// usualTimes are the mean times of the requests of a kind at replicas where nobody waits.
type usualTimes struct {
	firstEvent, total float64 // seconds
	samples           int
}

// pressure estimates how full the replicas are: 1 if all slots are taken and nobody waits,
// more if requests wait. Programs send one turn after the other, so each that is admitted
// adds one request until it ends, and the effect of an admission shows at once.
//
// The time to the first event is a second kind of evidence. It also contains the wait for
// memory and for prompts that are computed first. The larger pressure counts.
//
// How full replicas may be depends on how much longer than on idle replicas the programs may
// take, and on what else delays them. So if programs in progress are late, programs are
// refused at a lower load.
type pressure struct {
	taken, delayed average
	late           average // 1 for a turn of a program whose time has passed, 0 for others
	usual          map[string]*usualTimes
	reported       time.Time // the newest measurement
}

// report records a load report. A replica at which requests wait is full, even if it has
// free slots: it may lack memory.
func (p *pressure) report(now, measured time.Time, running, waiting, slots int) {
	if slots <= 0 {
		return
	}
	taken := min(1, float64(running)/float64(slots))
	if waiting > 0 {
		taken = 1 + min(maxWaiting, float64(waiting)/float64(slots))
	}
	p.taken.add(now, measured, taken)
	if measured.After(p.reported) {
		p.reported = measured
	}
}

func (p *pressure) ended(now time.Time, e RequestEnd) {
	if e.FirstEvent <= 0 || e.Total < e.FirstEvent {
		return
	}
	if p.usual == nil {
		p.usual = map[string]*usualTimes{}
	}
	u := p.usual[e.Kind]
	if u == nil {
		u = &usualTimes{}
		p.usual[e.Kind] = u
	}
	if e.Unloaded {
		u.samples++
		weight := max(usualWeight, 1/float64(u.samples))
		u.firstEvent += weight * (e.FirstEvent.Seconds() - u.firstEvent)
		u.total += weight * (e.Total.Seconds() - u.total)
	}
	if u.samples < minUsualSamples {
		return
	}
	// Times below the usual one balance those above, so that the different lengths of
	// prompts are no delay.
	excess := (e.FirstEvent.Seconds() - u.firstEvent) / max(u.total, minUsualTime.Seconds())
	p.delayed.add(now, now, min(maxWaiting, excess))
}

// began records a turn. late is set if the time of its program has passed.
func (p *pressure) began(now time.Time, late bool) {
	value := 0.0
	if late {
		value = 1
	}
	p.late.add(now, now, value)
}

// value returns the estimate.
func (p *pressure) value(now time.Time) float64 {
	late := (p.late.mean(now) - bearableLate) / (fullLate - bearableLate)
	return max(p.taken.mean(now)+latePressure*min(max(0, late), 1), shedFrom+p.delay(now)-bearableDelay)
}

func newPressure() pressure {
	return pressure{
		taken: average{over: smoothing, evidence: fullEvidence}, delayed: average{over: smoothing, evidence: fullEvidence},
		late: average{over: lateSmoothing, evidence: fullLateEvidence},
	}
}

// delay returns by how much the first events are late, as a fraction of the usual time of
// the requests.
func (p *pressure) delay(now time.Time) float64 { return p.delayed.mean(now) }

// age returns the time since the newest measurement, zero without one.
func (p *pressure) age(now time.Time) time.Duration {
	if p.reported.IsZero() {
		return 0
	}
	return now.Sub(p.reported)
}
