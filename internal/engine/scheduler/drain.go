package scheduler

import (
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/plan"
)

const (
	// drainStopSlack is added to StopTimeout for stopping a run before its worker leaves.
	drainStopSlack = 300 * time.Millisecond
	// longRunningRemaining is the assumed remaining time of a task that runs until its
	// job is cancelled.
	longRunningRemaining = 24 * time.Hour
)

const (
	// measuredSpeedMargin and estimatedTimeMargin are the factors by which the remaining
	// time of a run must exceed that of its worker before the run is stopped. Estimates
	// can be off by half.
	measuredSpeedMargin = 1.2
	estimatedTimeMargin = 2.0
)

// setDrainDeadline records how long a draining worker stays at least.
func (w *worker) setDrainDeadline(remainingMS int64, now time.Duration) {
	w.leavesAt = max(w.leavesAt, now+time.Duration(remainingMS)*time.Millisecond)
}

// stopRunsBeforeLeaving stops the runs of a draining worker that cannot end before it
// leaves, so that they continue elsewhere. Runs that save their progress are stopped as
// late as possible, others immediately, because they lose all the work that they do until
// they are stopped.
func (t *term) stopRunsBeforeLeaving(w *worker, now time.Duration) {
	if !w.entry.Draining || w.leavesAt <= now {
		return
	}
	untilLeaving := w.leavesAt - now
	for _, r := range w.sortedRuns() {
		if r.currentTask() == nil || r.stopping || r.phase != runStarted {
			continue
		}
		remaining, margin := t.remainingTime(r, now)
		if remaining < time.Duration(margin*float64(untilLeaving)) {
			continue
		}
		if r.step().SavesProgress && untilLeaving > t.bounds.StopTimeout+drainStopSlack {
			continue
		}
		t.log.Info("a run is stopped because its worker leaves", zap.Stringer("run", r.name), zap.String("worker", w.key),
			zap.Duration("stays", untilLeaving), zap.Duration("needs", remaining))
		t.requestStop(r)
		if r.step().Gang {
			t.stopGang(r)
		}
	}
}

// remainingTime returns the remaining time of a run, or of the slowest member of its
// gang, and the factor that accounts for the uncertainty of that time.
func (t *term) remainingTime(r *run, now time.Duration) (remaining time.Duration, margin float64) {
	runs := []*run{r}
	if r.step().Gang {
		runs = t.gangRuns(r)
	}
	margin = measuredSpeedMargin
	for _, member := range runs {
		if member.speed.last <= 0 {
			margin = estimatedTimeMargin
		}
		remaining = max(remaining, member.remainingTime(now))
	}
	return remaining, margin
}

// releases returns when the resources of the worker's runs are expected to be free. A run of
// unknown speed is expected to last for half as long again as it has, whatever its estimate.
func (w *worker) releases(now time.Duration) []plan.Release {
	out := make([]plan.Release, 0, len(w.runs))
	for _, r := range w.runs {
		out = append(out, r.release(now))
	}
	return out
}

// release returns when the resources of the run are expected to be free.
func (r *run) release(now time.Duration) plan.Release {
	release := plan.Release{Resources: r.demand}
	switch {
	case r.stopping || r.job == nil:
	case r.startedAt == 0 && !r.step().LongRunning:
		release.In = time.Duration(r.step().EstimateMS) * time.Millisecond
	case r.speed.last <= 0:
		release.In = max(r.remainingTime(now), (now-r.startedAt)/2)
	default:
		release.In = r.remainingTime(now)
	}
	return release
}

// remainingTime returns the remaining time of a run by its speed, or by the estimate of
// its step while no speed is known.
func (r *run) remainingTime(now time.Duration) time.Duration {
	if r.step().LongRunning {
		return longRunningRemaining
	}
	if r.speed.last <= 0 {
		return max(time.Duration(r.step().EstimateMS)*time.Millisecond-(now-r.startedAt), 0)
	}
	remainingPercent := completePercent - r.speed.windowPercent - r.speed.last*(now-r.speed.windowStart).Seconds()
	return time.Duration(max(remainingPercent, 0) / r.speed.last * float64(time.Second))
}
