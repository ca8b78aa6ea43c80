package scheduler

import (
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/plan"
	"github.com/daisyfold/daisyfold/internal/engine/urgency"
	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// headroomLogInterval is the least time between two log lines on the headroom.
const headroomLogInterval = 10 * time.Second

// headroom is the number of workers that a planning pass keeps for urgent work that is about to
// arrive, by snapshot.
type headroom map[*plan.Snapshot]int

// headroom computes the headroom from the urgent jobs that were accepted lately, ended ones
// included, and those beyond their organisation's rate left out. They are in the store, so that a new
// owner keeps the same headroom. Services of which little is in use have none.
func (t *term) headroom(snapshots map[string]*plan.Snapshot, p *planningPass) headroom {
	since := t.WallClock().Add(-urgency.ArrivalWindow).UnixMilli()
	arrived := map[string]work.Resources{}
	for _, j := range t.jobs {
		if j.Priority != 0 || j.AcceptedMS < since || j.Occurrences > 0 || j.cancelled || !t.quota.WithinRate(j.ID) {
			continue
		}
		for i := range j.Steps {
			arrived[j.Service] = arrived[j.Service].Plus(j.Steps[i].Demand.Times(j.Steps[i].Tasks))
		}
	}
	out, total := headroom{}, 0
	for service, r := range arrived {
		if s := snapshots[service]; s != nil && !p.isUnderused(s) && !t.isHalfIdle(service) {
			out[s] = urgency.Headroom(s.FilledBy(r), len(s.Nodes), t.bounds.StopTimeout)
			total += out[s]
		}
	}
	t.metrics.headroom.Update(int64(total))
	t.logHeadroom(total)
	return out
}

// isHalfIdle reports whether less than reservationMinUsedFraction of a service's workers is at work, as
// the platform sees it: workers that drain or do not answer are part of the service, and runs that
// have not begun use nothing. Its cost is linear in the number of workers and runs.
func (t *term) isHalfIdle(service string) bool {
	all := &plan.Node{}
	for _, w := range t.workers {
		if w.entry.Service != service || w.dead {
			continue
		}
		all.Capacity, all.Free = all.Capacity.Plus(w.entry.Capacity), all.Free.Plus(w.entry.Capacity)
		for _, r := range w.runs {
			if r.phase == runStarted {
				all.Free = all.Free.Minus(r.demand)
			}
		}
	}
	return (&plan.Snapshot{Nodes: []*plan.Node{all}}).UsedFraction() < reservationMinUsedFraction
}

// logHeadroom logs the headroom of all services if it has not been logged lately.
func (t *term) logHeadroom(workers int) {
	if now := t.Now(); workers > 0 && now-t.headroomLoggedAt >= headroomLogInterval {
		t.headroomLoggedAt = now
		t.log.Info("workers are kept free for urgent work", zap.Int("workers", workers))
	}
}

// apply hides the headroom of the snapshot from a step that must not use it.
func (h headroom) apply(s *plan.Snapshot, q readyStep) {
	if urgency.MayUseHeadroom(q.urgency) {
		s.ReleaseEmpty()
		return
	}
	s.KeepEmpty(h[s])
}
