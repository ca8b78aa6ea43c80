package scheduler

import (
	"cmp"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/urgency"
)

// compareReady orders steps by package urgency. Steps between which it makes no difference are
// ordered by the id of the job and the number of the step, so that the order does not change from
// pass to pass.
func compareReady(a, b readyStep, wallMS int64) int {
	return cmp.Or(urgency.Compare(a.urgency, b.urgency, wallMS), cmp.Compare(a.job.ID, b.job.ID), cmp.Compare(a.step, b.step))
}

// work returns the waiting step as the input of package urgency. Tasks without an estimate are
// assumed to take minLiftTime.
func (q readyStep) work(now time.Duration) urgency.Work {
	step := q.job.StepAt(q.step)
	estimateMS := max(int64(step.EstimateMS), minLiftTime.Milliseconds())
	return urgency.Work{
		Priority: q.job.Priority, Guaranteed: q.guaranteed, LongRunning: step.LongRunning, WithinRate: true,
		DeadlineMS: q.job.DeadlineMS(q.step), WorthlessMS: q.job.WorthlessMS(q.step),
		Needed:    float64(len(q.tasks)) * step.Demand.Cores() * float64(estimateMS),
		WaitingMS: (now - q.job.waitingSince[q.step]).Milliseconds(), RemainingMS: max(int64(q.job.RemainingPathMS(q.step)), estimateMS),
	}
}
