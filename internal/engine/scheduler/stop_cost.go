package scheduler

import (
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/urgency"
)

// longRunningStopCost is the work that counts as lost when a long-running task is
// stopped: it is unavailable to its users until it runs again, so other runs are stopped
// first.
const longRunningStopCost = 30 * time.Second

// baseRestartCost is the time that stopping and restarting a run takes without a call for advice.
const baseRestartCost = 500 * time.Millisecond

// restartCost returns the time that stopping and restarting the run takes; it is added to the lost
// work.
func (r *run) restartCost() time.Duration {
	return baseRestartCost + time.Duration(r.job.AdviceMS)*time.Millisecond
}

// stopCost returns the cost of stopping a run, see urgency.StopCost.
func (t *term) stopCost(r *run, now time.Duration) float64 {
	return urgency.StopCost(r.work(now), t.WallClock().UnixMilli())
}

// work returns the run as the input of package urgency.
func (r *run) work(now time.Duration) urgency.Work {
	step, number := r.step(), r.job.StepNumber(r.name.Task)
	cores := step.Demand.Cores()
	w := urgency.Work{
		Priority: r.job.Priority, LongRunning: step.LongRunning, WithinRate: true, Stops: r.job.displaced[r.moveKey()],
		DeadlineMS: r.job.DeadlineMS(number), WorthlessMS: r.job.WorthlessMS(number),
		Needed: cores * float64(step.EstimateMS),
	}
	if step.LongRunning {
		// It has no end that could be late.
		w.Needed, w.Done = 0, cores*float64(longRunningStopCost.Milliseconds())
		return w
	}
	remaining := r.remainingTime(now)
	again, lost := remaining+r.restartCost(), r.restartCost()
	if !step.SavesProgress {
		again = r.restartCost() + time.Duration(step.EstimateMS)*time.Millisecond
		if r.startedAt > 0 {
			lost += now - r.startedAt
		}
	}
	w.RemainingMS, w.RestartedMS, w.Done = remaining.Milliseconds(), again.Milliseconds(), cores*float64(lost.Milliseconds())
	return w
}
