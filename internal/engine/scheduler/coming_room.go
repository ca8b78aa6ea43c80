package scheduler

import (
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/plan"
	"github.com/daisyfold/daisyfold/internal/engine/urgency"
)

// stopsFor reports whether runs are stopped for the step, given the cost of the stops. Guarantees
// and long-running tasks have precedence whatever the cost.
func (t *term) stopsFor(q readyStep, cost float64) bool {
	if q.guaranteed || q.urgency.LongRunning {
		return true
	}
	return q.mayPreempt() && urgency.Gain(q.urgency, t.bounds.StopTimeout.Milliseconds(), t.WallClock().UnixMilli()) > cost
}

// comingRoom returns what will be free on the workers of the snapshot by the time at which the room
// of a preemption would be: the resources of runs that are being stopped, for whatever reason, and
// of runs that end soon. What others have claimed of it is missing in the free resources of the
// snapshot. The cost is linear in the number of runs.
func (t *term) comingRoom(s *plan.Snapshot, q readyStep, now time.Duration) []plan.Freed {
	var out []plan.Freed
	ending := map[preemptionUnit]bool{}
	for _, n := range s.Nodes {
		for _, r := range t.workers[n.Key].runs {
			if t.isStoppingSoon(r, now) || (!r.stopping && r.job != nil && t.isEnding(r, q, ending, now)) {
				out = append(out, plan.Freed{Node: n, Resources: r.demand})
			}
		}
	}
	return out
}

// isStoppingSoon reports whether a run is being stopped and should be gone within the time that a
// stop takes. A stop that is withheld may take longer.
func (t *term) isStoppingSoon(r *run, now time.Duration) bool {
	if !r.stopping {
		return false
	}
	if r.stopSentAt == 0 {
		return r.job == nil || !r.exceedsMaxUnavailable()
	}
	return now-r.stopSentAt < t.bounds.StopTimeout
}

// isEnding reports whether a run, with its gang, is expected to end within the time that a stop may
// take. Guaranteed steps do not count on that: their time to the start is limited.
func (t *term) isEnding(r *run, q readyStep, known map[preemptionUnit]bool, now time.Duration) bool {
	if q.guaranteed || r.step().LongRunning {
		return false
	}
	u := r.unit()
	ending, ok := known[u]
	if !ok {
		remaining, margin := t.remainingTime(r, now)
		ending = r.phase == runStarted && margin == measuredSpeedMargin && remaining <= t.bounds.StopTimeout
		known[u] = ending
	}
	return ending
}

// unit returns the runs that the run is stopped with.
func (r *run) unit() preemptionUnit {
	u := preemptionUnit{job: r.job, step: r.job.StepNumber(r.name.Task), index: r.name.Task.Index}
	if r.step().Gang {
		u.index = -1
	}
	return u
}

// dropEnding removes the units that end soon.
func (t *term) dropEnding(runs map[preemptionUnit][]*run, q readyStep, now time.Duration) {
	known := map[preemptionUnit]bool{}
	for u, members := range runs {
		if t.isEnding(members[0], q, known, now) {
			delete(runs, u)
		}
	}
}
