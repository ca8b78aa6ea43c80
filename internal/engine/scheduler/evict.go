package scheduler

import (
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/plan"
	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// evictAgain is kept on top of the time that a stop may take before more is stopped for
// the same job.
const evictAgain = 600 * time.Millisecond

// unit is what ends together: one run, or a gang's.
type unit struct {
	job  *job
	step int
	// index tells single runs of a step apart; it is -1 for gangs.
	index int
}

// evict stops work of lower priority so that the ask fits. It tells whether room is
// being made for the ask.
func (t *term) evict(s *plan.Snapshot, q ready, ask *plan.Ask, now time.Duration) bool {
	if held := q.job.claimed(q.step, now); held != nil && s.Has(held) {
		s.Claim(ask, held)
		return true
	}
	delete(q.job.claims, q.step)
	runs := t.evictable(q)
	victims, units := t.victims(s, runs, now)
	eviction := s.Preempt(ask, victims)
	// Tasks that need not start together get room for as many as there are victims for.
	for part := *ask; eviction == nil && !part.Step.Gang && part.Tasks > 1; {
		part.Tasks /= 2
		eviction = s.Preempt(&part, victims)
	}
	if eviction == nil {
		return false
	}
	q.job.claims[q.step] = claim{until: now + t.bounds.StopTimeout + evictAgain, tasks: eviction.Claims}
	s.Claim(ask, eviction.Claims)
	for _, v := range eviction.Victims {
		u := units[v.ID]
		t.metrics.preemptions.Inc(1)
		t.log.Info("work is stopped for an urgent job", zap.String("job", q.job.ID), zap.String("victim", u.job.ID),
			zap.Int("step", u.step), zap.Int("runs", len(runs[u])), zap.Float64("loss_core_ms", v.Loss))
		for _, r := range runs[u] {
			t.askStop(r)
		}
	}
	return true
}

// overGuarantee names the organisations whose urgent jobs need more accelerators than
// they are guaranteed.
func (t *term) overGuarantee() map[string]bool {
	need := map[string]int{}
	for _, j := range t.jobs {
		if j.Priority != 0 || !j.active() {
			continue
		}
		for _, s := range j.Steps {
			need[j.Organisation] += s.Tasks * s.Demand.Accelerators
		}
	}
	var guarantees map[string]int
	if m := t.Operator.View().Manifest; m != nil {
		guarantees = m.Guarantees()
	}
	over := map[string]bool{}
	for name, n := range need {
		over[name] = n > guarantees[name]
	}
	return over
}

// evictable are the runs that give way to the asking job in its service, by unit: those
// of lower priority, and for guaranteed work also urgent runs of organisations that use
// more than they are guaranteed.
func (t *term) evictable(q ready) map[unit][]*run {
	out := map[unit][]*run{}
	over := t.overGuarantee()
	spare := map[spareKey]int{}
	for _, j := range t.jobs {
		yields := j.Priority > q.job.Priority || (q.guaranteed && j.Priority == 0 && over[j.Organisation])
		if j.Service != q.job.Service || !yields {
			continue
		}
		for r := range j.runs {
			if r.stopping || (r.step().MayMiss > 0 && !t.maySpare(r, spare)) {
				continue
			}
			u := unit{job: j, step: j.StepOf(r.name.Task), index: r.name.Task.Index}
			if r.step().Gang {
				u.index = -1
			}
			out[u] = append(out[u], r)
		}
	}
	return out
}

// spareKey is a long-running step in a count of how many more of its tasks may be away.
type spareKey struct {
	job  *job
	step int
}

// maySpare tells whether one more task of a long-running step may be away, and counts it
// in spare. A task that a former owner has told to stop still seems to be at work until
// its stop is over.
func (t *term) maySpare(r *run, spare map[spareKey]int) bool {
	if t.Now()-t.began < t.bounds.StopTimeout+lapseSlack {
		return false
	}
	key := spareKey{r.job, r.job.StepOf(r.name.Task)}
	if _, counted := spare[key]; !counted {
		spare[key] = r.step().MayMiss - r.job.away(key.step)
	}
	spare[key]--
	return spare[key] >= 0
}

// away counts the tasks of a long-running step that are not known to be at work: a worker
// that does not answer may have ended them.
func (j *job) away(step int) int {
	away := len(j.state.Steps[step].Tasks)
	for r := range j.runs {
		if j.StepOf(r.name.Task) == step && r.phase == runStarted && !r.stopping &&
			r.percent >= complete && r.worker.misses == 0 {
			away--
		}
	}
	return away
}

// clearFillers stops the fillers on as many workers as a step of serving tasks needs: the
// two are kept apart, so that no filler can push a serving task over its target.
func (t *term) clearFillers(s *plan.Snapshot, ask *plan.Ask) {
	left := ask.Tasks
	for _, n := range s.Nodes {
		if left <= 0 {
			return
		}
		if n.Fillers == 0 || !ask.Step.Demand.Fits(n.Free) {
			continue
		}
		left--
		for _, r := range t.workers[n.Key].sortedRuns() {
			if r.job != nil && r.step().Fills && !r.stopping {
				t.log.Info("a filler is stopped for a task that serves", zap.Stringer("run", r.name), zap.String("job", ask.Key.Job))
				t.askStop(r)
			}
		}
	}
}

// victims puts a price on each unit.
func (t *term) victims(s *plan.Snapshot, runs map[unit][]*run, now time.Duration) ([]plan.Victim, []unit) {
	nodes := make(map[string]*plan.Node, len(s.Nodes))
	for _, n := range s.Nodes {
		nodes[n.Key] = n
	}
	var victims []plan.Victim
	var units []unit
	for u, members := range runs {
		v := plan.Victim{ID: len(units), Runs: map[*plan.Node]work.Demand{}}
		for _, r := range members {
			if n := nodes[r.worker.key]; n != nil {
				v.Runs[n] = v.Runs[n].Plus(r.demand)
			}
			v.Loss += t.loss(r, now)
		}
		if len(v.Runs) == 0 {
			continue
		}
		victims = append(victims, v)
		units = append(units, u)
	}
	return victims, units
}

// priorityLoss weighs lost work by its urgency, so that urgent work of others is the last
// to give way.
func priorityLoss(priority int) float64 {
	switch priority {
	case 0:
		return 100
	case 1:
		return 2
	}
	return 1
}

// servingLoss stands for the work of a long-running task that is stopped: its users miss
// it until it is at work again, so other work gives way first.
const servingLoss = 30 * time.Second

// restartCost is added to the work that a stop loses: stopping and starting again.
const restartCost = 500 * time.Millisecond

// loss is the work that stopping a run throws away, in core milliseconds; an
// accelerator counts as eight cores.
func (t *term) loss(r *run, now time.Duration) float64 {
	const acceleratorCores, milli = 8, 1000
	since := r.startedAt
	if r.step().SavesProgress && r.savedAt > since {
		since = r.savedAt
	}
	lost := restartCost
	if since > 0 && !r.step().SavesProgress {
		lost += now - since
	}
	if r.step().LongRunning {
		lost = servingLoss
	}
	cores := float64(r.demand.CPU)/milli + acceleratorCores*float64(r.demand.Accelerators)
	return cores * float64(lost.Milliseconds()) * priorityLoss(r.job.Priority)
}
