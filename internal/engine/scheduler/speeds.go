package scheduler

import (
	"slices"
	"time"
)

// speedEstimate is what is known of a worker's speed relative to other workers.
type speedEstimate struct {
	factor  float64 // 1 is the usual speed; 0 if no sample is known
	samples int
}

const (
	// speedSampleWeight is the weight of a new sample in the moving average.
	speedSampleWeight = 0.3
	// minSpeedFactor and maxSpeedFactor bound a sample. Larger deviations come from
	// temporary disturbances, which checkProgress handles.
	minSpeedFactor = 0.6
	maxSpeedFactor = 1.6
	// slowerFactor is the speed below which a worker counts as a slower model.
	slowerFactor = 0.88
	// minSpeedSamples is the number of samples from which an estimate is used.
	minSpeedSamples = 2
)

// add adds a sample.
func (e *speedEstimate) add(sample float64) {
	sample = min(max(sample, minSpeedFactor), maxSpeedFactor)
	if e.samples == 0 {
		e.factor = sample
	}
	e.factor += speedSampleWeight * (sample - e.factor)
	e.samples++
}

// value returns the factor, or 1 while it is not known.
func (e *speedEstimate) value() float64 {
	if e.samples < minSpeedSamples {
		return 1
	}
	return e.factor
}

// isSlower reports whether the worker is known to be slower than usual.
func (e *speedEstimate) isSlower() bool { return e.value() < slowerFactor }

// learnSpeed updates the estimate for a run's worker by comparing the run with the other
// members of its gang, which do the same work. A gang ends with its slowest member, so
// urgent gangs keep off slower workers.
func (t *term) learnSpeed(r *run, now time.Duration) {
	if !r.step().Gang || r.speed.last <= 0 || now < r.worker.slowUntil {
		return
	}
	var usual []float64
	for _, member := range t.gangRuns(r) {
		if member.worker != r.worker && member.speed.last > 0 && now-member.speed.measuredAt < maxSpeedAge {
			usual = append(usual, member.speed.last/member.worker.speed.value())
		}
	}
	if len(usual) < minGangSpeeds {
		return
	}
	slices.Sort(usual)
	r.worker.speed.add(r.speed.last / usual[len(usual)/2])
}
