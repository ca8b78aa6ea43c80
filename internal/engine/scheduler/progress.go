package scheduler

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/work"
)

const (
	// firstSample is the time after which an urgent run is looked at for the first time:
	// its objective leaves room for another start only if a slow worker is found early.
	firstSample = 700 * time.Millisecond
	// sampleWindow is the least time, and samplePoints the least progress that is expected
	// in it, between two percentages that give a speed. Percentages are whole.
	sampleWindow = 500 * time.Millisecond
	samplePoints = 5.0
	// stalledAfter is for how long a run may report the same progress. The slowest sound
	// runs rise by a point in that time.
	stalledAfter = 2500 * time.Millisecond
	// stuckAfter is for how long a run may make no progress at all before it is started
	// again however often it was moved: twice as long as workers are known to stand still.
	stuckAfter = 10 * time.Second
	// speedKeep is how long a speed is compared with those of the gang's other members.
	speedKeep = 4 * time.Second
	// lagging is the part of its own earlier speed, or of the median of its gang, below
	// which a run is slow. Members of a gang differ by a third; slow workers take four
	// times as long or more.
	lagging = 0.4
	// membersNeeded is how many other members of the gang must have a speed.
	membersNeeded = 2
	// slowRest is how long others are preferred to a slow worker.
	slowRest = 4 * time.Second
	// slowLasts is how long a worker is assumed to stay slow.
	slowLasts = 5 * time.Second
	// moveGain is by what factor starting again must be faster than going on.
	moveGain = 1.25
	// movesMost bounds how often a task is moved: where it is slow everywhere, the task
	// is to blame.
	movesMost = 2
)

// complete is the percentage of a run that has done its work.
const complete = 100.0

// pace is how fast a run progresses, in points of its percentage a second.
type pace struct {
	percent float64       // at the start of the window
	at      time.Duration // start of the window
	// best is the highest speed so far, last the newest, measured when it was taken.
	best, last float64
	measured   time.Duration
	rose       time.Duration // when the percentage last rose
}

// sample takes a percentage and tells whether the newest speed has changed. expected is
// the speed of similar runs, or 0.
func (p *pace) sample(percent, expected float64, now time.Duration) bool {
	window, points := now-p.at, percent-p.percent
	expected = max(expected, p.best) * window.Seconds()
	if window < sampleWindow || (max(points, expected) < samplePoints && window < stalledAfter) {
		return false
	}
	p.last, p.measured = points/window.Seconds(), now
	p.best = max(p.best, p.last)
	if points > 0 {
		p.rose = now
	}
	p.percent, p.at = percent, now
	return true
}

// checkProgress measures a run's speed. One that lags behind shows that its worker is
// slow or stands still; it is started again elsewhere where that is faster.
func (t *term) checkProgress(r *run, now time.Duration) {
	if r.task() == nil || r.stopping || r.percent >= complete || r.phase != runStarted {
		return
	}
	began, whole := t.workingSince(r)
	if !whole {
		return
	}
	if r.pace.at < began {
		r.pace.percent, r.pace.at = 0, began
		if t.startingPoint(r) != "" || r.inherited {
			r.pace.percent, r.pace.at = r.percent, now
		}
	}
	median := t.gangSpeed(r, now)
	if !r.pace.sample(r.percent, median, now) {
		return
	}
	usual, slow := r.lags(median)
	if !slow {
		return
	}
	w := r.worker
	if now >= w.slowUntil {
		t.log.Warn("worker is slow", zap.String("worker", w.key), zap.Stringer("run", r.name),
			zap.Float64("speed", r.pace.last), zap.Float64("usual", usual), zap.Float64("percent", r.percent))
	}
	w.slowUntil = now + slowRest
	stuck := now-max(r.pace.rose, began) > stuckAfter
	if !stuck && (r.job.moves[r.counted()] >= movesMost || !t.fasterElsewhere(r, usual)) {
		return
	}
	r.job.moves[r.counted()]++
	t.log.Warn("a run on a slow worker is started again elsewhere", zap.Stringer("run", r.name), zap.String("worker", w.key))
	t.askStop(r)
	if r.step().Gang {
		t.stopGang(r)
	}
}

// counted is the task that moves are counted for: of a gang its first.
func (r *run) counted() work.TaskName {
	n := r.name.Task
	if r.step().Gang {
		n.Index = 0
	}
	return n
}

// workingSince is when the run began to work; a gang works once all members are there.
func (t *term) workingSince(r *run) (began time.Duration, whole bool) {
	if !r.step().Gang {
		return r.startedAt, true
	}
	for _, m := range t.members(r) {
		if m.phase != runStarted {
			return 0, false
		}
		began = max(began, m.startedAt)
	}
	return began, true
}

// members are the runs of the run's gang.
func (t *term) members(r *run) []*run {
	var out []*run
	for other := range r.job.runs {
		if other.together(r) {
			out = append(out, other)
		}
	}
	return out
}

// gangSpeed is the median speed of the other members of the run's gang, or 0 if too few
// have one.
func (t *term) gangSpeed(r *run, now time.Duration) float64 {
	if !r.step().Gang {
		return 0
	}
	var speeds []float64
	for _, m := range t.members(r) {
		if m != r && m.pace.measured != 0 && now-m.pace.measured < speedKeep {
			speeds = append(speeds, m.pace.last)
		}
	}
	if len(speeds) < membersNeeded {
		return 0
	}
	slices.Sort(speeds)
	return speeds[len(speeds)/2]
}

// lags tells whether the run is slow beside its own best or the median of its gang; usual
// is the speed that it is compared with. Estimates are too far off to compare with.
func (r *run) lags(median float64) (usual float64, slow bool) {
	switch {
	case r.pace.last < lagging*r.pace.best:
		return r.pace.best, true
	case r.pace.last < lagging*median:
		return median, true
	case r.pace.last == 0:
		const leastEstimate = 1000
		return complete * 1000 / float64(max(r.step().EstimateMS, leastEstimate)), true
	}
	return r.pace.best, false
}

// fasterElsewhere compares going on, on a worker that recovers after a while, with another
// start from the last checkpoint. usual is the run's speed on a sound worker.
func (t *term) fasterElsewhere(r *run, usual float64) bool {
	if usual <= 0 {
		return false
	}
	left := complete - r.percent
	slowed := slowLasts.Seconds()
	goOn := slowed + max(left-slowed*r.pace.last, 0)/usual
	if r.pace.last > 0 {
		goOn = min(goOn, left/r.pace.last)
	}
	again := restartCost.Seconds() + complete/usual
	if r.step().SavesProgress {
		again = restartCost.Seconds() + left/usual
	}
	return goOn > moveGain*again
}

// hasFreshUrgent tells whether an urgent run has just begun on the worker.
func (w *worker) hasFreshUrgent(now time.Duration) bool {
	for _, r := range w.runs {
		if r.job != nil && r.job.Priority == 0 && r.pace.measured == 0 && now-r.startedAt < 2*firstSample {
			return true
		}
	}
	return false
}
