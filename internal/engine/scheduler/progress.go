package scheduler

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/work"
)

const (
	// maxUrgentPollWait is the longest poll wait while an urgent run is new. The objective
	// of an urgent job leaves time for a restart only if a slow worker is detected early.
	maxUrgentPollWait = 700 * time.Millisecond
	// minSampleWindow is the shortest time over which a speed is computed.
	minSampleWindow = 500 * time.Millisecond
	// maxSampleWindow is the time after which a speed is computed whatever the progress.
	// The slowest healthy runs progress by one percentage point in that time.
	maxSampleWindow = 2500 * time.Millisecond
	// stuckTimeout is the time without any progress after which a run is restarted
	// regardless of maxMoves. Workers are known to stall for half as long.
	stuckTimeout = 10 * time.Second
	// maxSpeedAge is the age up to which a speed is compared with those of other members
	// of the gang.
	maxSpeedAge = 4 * time.Second
	// slowWorkerAvoidance is how long other workers are preferred to a slow one.
	slowWorkerAvoidance = 4 * time.Second
	// expectedSlowPeriod is how long a worker is assumed to stay slow.
	expectedSlowPeriod = 5 * time.Second
)

const (
	// slowSpeedRatio is the fraction of its own best speed, or of the median of its gang,
	// below which a run is slow. Members of a gang differ by a third; slow workers take
	// at least four times as long.
	slowSpeedRatio = 0.4
	// minMoveGain is the factor by which a restart elsewhere must be faster than
	// continuing.
	minMoveGain = 1.25
)

const (
	// minGangSpeeds is the number of other members of the gang whose speed must be known
	// to compute a median.
	minGangSpeeds = 2
	// maxMoves limits how often a task is moved: if it is slow on every worker, the task
	// itself is the cause.
	maxMoves = 2
)

const (
	// completePercent is the percentage of a run that has completed its work.
	completePercent = 100.0
	// minSamplePercent is the smallest progress, made or expected, in percentage points,
	// over which a speed is computed before maxSampleWindow has passed. Workers report
	// whole percentages.
	minSamplePercent = 5.0
)

// speedTracker measures the speed of a run in percentage points per second.
type speedTracker struct {
	windowPercent float64       // percentage at the start of the window
	windowStart   time.Duration // start of the current window
	// best is the highest speed so far. last is the latest speed, computed at measuredAt.
	best, last     float64
	measuredAt     time.Duration
	lastProgressAt time.Duration // when the percentage last increased
}

// update adds a percentage and reports whether it yields a new speed. expected is the
// speed of similar runs, or 0 if it is not known.
func (s *speedTracker) update(percent, expected float64, now time.Duration) bool {
	window, progress := now-s.windowStart, percent-s.windowPercent
	expected = max(expected, s.best) * window.Seconds()
	if window < minSampleWindow || (max(progress, expected) < minSamplePercent && window < maxSampleWindow) {
		return false
	}
	s.last, s.measuredAt = progress/window.Seconds(), now
	s.best = max(s.best, s.last)
	if progress > 0 {
		s.lastProgressAt = now
	}
	s.windowPercent, s.windowStart = percent, now
	return true
}

// checkProgress updates the speed of a run. A slow run indicates that its worker is slow
// or stalled; the run is restarted elsewhere if that is expected to be faster.
func (t *term) checkProgress(r *run, now time.Duration) {
	if r.currentTask() == nil || r.stopping || r.percent >= completePercent || r.phase != runStarted || r.isPaused() {
		return
	}
	began, allStarted := t.workingSince(r)
	if !allStarted {
		return
	}
	if r.speed.windowStart < began {
		r.speed.windowPercent, r.speed.windowStart = 0, began
		if t.startCheckpoint(r) != "" || r.inherited {
			r.speed.windowPercent, r.speed.windowStart = r.percent, now
		}
	}
	median := t.medianGangSpeed(r, now)
	if !r.speed.update(r.percent, median, now) {
		return
	}
	t.learnSpeed(r, now)
	usualSpeed, slow := r.isSlow(median)
	if !slow {
		return
	}
	w := r.worker
	if now >= w.slowUntil {
		t.log.Warn("worker is slow", zap.String("worker", w.key), zap.Stringer("run", r.name),
			zap.Float64("speed", r.speed.last), zap.Float64("usual", usualSpeed), zap.Float64("percent", r.percent))
	}
	w.slowUntil = now + slowWorkerAvoidance
	stuck := now-max(r.speed.lastProgressAt, began) > stuckTimeout
	if !stuck && (r.job.moves[r.moveKey()] >= maxMoves || !t.fasterElsewhere(r, usualSpeed)) {
		return
	}
	r.job.moves[r.moveKey()]++
	t.log.Warn("a run on a slow worker is started again elsewhere", zap.Stringer("run", r.name), zap.String("worker", w.key))
	t.requestStop(r)
	if r.step().Gang {
		t.stopGang(r)
	}
}

// moveKey returns the task under which moves are counted: for a gang, its first task.
func (r *run) moveKey() work.TaskName {
	n := r.name.Task
	if r.step().Gang {
		n.Index = 0
	}
	return n
}

// workingSince returns when the run began to work. A gang works once all of its members
// have started; allStarted reports whether they have.
func (t *term) workingSince(r *run) (began time.Duration, allStarted bool) {
	if !r.step().Gang {
		return r.startedAt, true
	}
	for _, member := range t.gangRuns(r) {
		if member.phase != runStarted {
			return 0, false
		}
		began = max(began, member.startedAt)
	}
	return began, true
}

// gangRuns returns the runs of the run's gang.
func (t *term) gangRuns(r *run) []*run {
	var out []*run
	for other := range r.job.runs {
		if other.sameGang(r) {
			out = append(out, other)
		}
	}
	return out
}

// medianGangSpeed returns the median speed of the other members of the run's gang, or 0
// if too few speeds are known.
func (t *term) medianGangSpeed(r *run, now time.Duration) float64 {
	if !r.step().Gang {
		return 0
	}
	var speeds []float64
	for _, member := range t.gangRuns(r) {
		if member != r && member.speed.measuredAt != 0 && now-member.speed.measuredAt < maxSpeedAge {
			speeds = append(speeds, member.speed.last)
		}
	}
	if len(speeds) < minGangSpeeds {
		return 0
	}
	slices.Sort(speeds)
	return speeds[len(speeds)/2]
}

// isSlow reports whether the run is slow compared with its own best speed or the median
// of its gang, and returns the speed that it was compared with. Estimates are too
// inaccurate to compare with; they only give the usual speed of a run without any
// progress.
func (r *run) isSlow(median float64) (usualSpeed float64, slow bool) {
	switch {
	case r.speed.last < slowSpeedRatio*r.speed.best:
		return r.speed.best, true
	case r.speed.last < slowSpeedRatio*median:
		return median, true
	case r.speed.last == 0:
		const minEstimateMS = 1000
		return completePercent * 1000 / float64(max(r.step().EstimateMS, minEstimateMS)), true
	}
	return r.speed.best, false
}

// fasterElsewhere reports whether a restart elsewhere from the last checkpoint is faster
// than continuing on a worker that recovers after expectedSlowPeriod. usualSpeed is the
// run's speed on a healthy worker.
func (t *term) fasterElsewhere(r *run, usualSpeed float64) bool {
	if usualSpeed <= 0 {
		return false
	}
	remaining := completePercent - r.percent
	slowSeconds := expectedSlowPeriod.Seconds()
	continueSeconds := slowSeconds + max(remaining-slowSeconds*r.speed.last, 0)/usualSpeed
	if r.speed.last > 0 {
		continueSeconds = min(continueSeconds, remaining/r.speed.last)
	}
	restartSeconds := r.restartCost().Seconds() + completePercent/usualSpeed
	if r.step().SavesProgress {
		restartSeconds = r.restartCost().Seconds() + remaining/usualSpeed
	}
	return continueSeconds > minMoveGain*restartSeconds
}

// hasNewUrgentRun reports whether the worker has an urgent run that has just started.
func (w *worker) hasNewUrgentRun(now time.Duration) bool {
	for _, r := range w.runs {
		if r.job != nil && r.job.Priority == 0 && r.speed.measuredAt == 0 && now-r.startedAt < 2*maxUrgentPollWait {
			return true
		}
	}
	return false
}
