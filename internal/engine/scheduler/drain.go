package scheduler

import (
	"time"

	"go.uber.org/zap"
)

const (
	// drainSlack is kept on top of the longest stop before a worker leaves.
	drainSlack = 300 * time.Millisecond
	// measuredMargin and estimatedMargin are the factors by which a run's remaining time
	// must exceed that of its worker before it is given up: estimates are off by a half.
	measuredMargin  = 1.2
	estimatedMargin = 2.0
	// forever is how long a task works that runs until its job is cancelled.
	forever = 24 * time.Hour
)

// drains notes how long a draining worker stays at least.
func (w *worker) drains(remainingMS int64, now time.Duration) {
	w.leaves = max(w.leaves, now+time.Duration(remainingMS)*time.Millisecond)
}

// sweepDrain stops the runs of a draining worker that cannot end before it leaves, so that
// they go on elsewhere: those that save their progress at the last moment, others at once,
// because the more they work the more is lost.
func (t *term) sweepDrain(w *worker, now time.Duration) {
	if !w.entry.Draining || w.leaves <= now {
		return
	}
	stay := w.leaves - now
	for _, r := range w.sortedRuns() {
		if r.task() == nil || r.stopping || r.phase != runStarted {
			continue
		}
		left, margin := t.remaining(r, now)
		if left < time.Duration(margin*float64(stay)) {
			continue
		}
		if r.step().SavesProgress && stay > t.bounds.StopTimeout+drainSlack {
			continue
		}
		t.log.Info("a run is stopped because its worker leaves", zap.Stringer("run", r.name), zap.String("worker", w.key),
			zap.Duration("stays", stay), zap.Duration("needs", left))
		t.askStop(r)
		if r.step().Gang {
			t.stopGang(r)
		}
	}
}

// remaining is how long a run, or the slowest member of its gang, still works, and the
// factor by which that may be off.
func (t *term) remaining(r *run, now time.Duration) (left time.Duration, margin float64) {
	runs := []*run{r}
	if r.step().Gang {
		runs = t.members(r)
	}
	margin = measuredMargin
	for _, m := range runs {
		if m.pace.last <= 0 {
			margin = estimatedMargin
		}
		left = max(left, m.left(now))
	}
	return left, margin
}

// left is how long a run still works by its speed, or by its estimate before it has one.
func (r *run) left(now time.Duration) time.Duration {
	if r.step().LongRunning {
		return forever
	}
	if r.pace.last <= 0 {
		return max(time.Duration(r.step().EstimateMS)*time.Millisecond-(now-r.startedAt), 0)
	}
	points := complete - r.pace.percent - r.pace.last*(now-r.pace.at).Seconds()
	return time.Duration(max(points, 0) / r.pace.last * float64(time.Second))
}
