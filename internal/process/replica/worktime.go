package replica

import (
	"math"
	"time"
)

const (
	// workTimeHalfLife is the half-life of the deviation of the last reported work time from
	// the replica's mean. Work times change many times a second: in a simulation with ten
	// changes a second, half-lives from 1 to 300 ms made no difference beyond the scatter.
	workTimeHalfLife = 100 * time.Millisecond
	// workTimeGain is the weight of a new report in the mean once there are several.
	workTimeGain = 0.1
)

// workTimeEstimate estimates how long work takes at a replica by the WorkTime of its load
// reports. The mean over the reports does not lose its value with age, since it depends on
// the replica's machine. The zero value is ready to use.
type workTimeEstimate struct {
	reports    int
	mean, last float64
	measured   time.Time // when last was measured
}

// report adds a reported work time. Zero means that none was reported.
func (e *workTimeEstimate) report(measured time.Time, workTime float64) {
	if workTime <= 0 {
		return
	}
	workTime = min(max(workTime, slownessMin), slownessMax)
	e.reports++
	e.mean += max(workTimeGain, 1/float64(e.reports)) * (workTime - e.mean)
	if !measured.Before(e.measured) {
		e.last, e.measured = workTime, measured
	}
}

// usual returns the replica's mean work time; 1 without reports.
func (e *workTimeEstimate) usual() float64 {
	if e.reports == 0 {
		return 1
	}
	return e.mean
}

// at returns the expected work time at a moment; 1 without reports.
func (e *workTimeEstimate) at(now time.Time) float64 {
	if e.reports == 0 {
		return 1
	}
	age := max(0, now.Sub(e.measured))
	return e.mean + (e.last-e.mean)*math.Exp2(-age.Seconds()/workTimeHalfLife.Seconds())
}
