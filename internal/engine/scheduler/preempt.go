package scheduler

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/plan"
	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// preemptRetrySlack is added to StopTimeout to get the time after which more runs may be
// preempted for the same step.
const preemptRetrySlack = 600 * time.Millisecond

// preemptionUnit identifies runs that can only be stopped together: a single run, or the
// runs of a gang.
type preemptionUnit struct {
	job  *job
	step int
	// index is the index of a single run's task; it is -1 for gangs.
	index int
}

// victimClass identifies the requests that may stop the same runs.
type victimClass struct {
	service    string
	priority   int
	guaranteed bool
	// usesComing reports whether the requests may wait for room that is coming.
	usesComing bool
	// organisation is set if its own runs must give way first, those of other services included.
	organisation string
}

// victimPool holds the runs that requests of one class may stop.
type victimPool struct {
	set   *plan.Victims
	units []preemptionUnit // indexed by the ID of the victim
	runs  map[preemptionUnit][]*run
}

// victimPool returns the runs that may be stopped for the step. The pool is computed once
// per planning pass and class, because it contains most runs of the service.
func (t *term) victimPool(s *plan.Snapshot, q readyStep, ownFirst, usesComing bool, p *planningPass) *victimPool {
	class := victimClass{service: q.job.Service, priority: q.job.Priority, guaranteed: q.guaranteed, usesComing: usesComing}
	if ownFirst {
		class.organisation = q.job.Organisation
	}
	pool := p.victimPools[class]
	if pool == nil {
		pool = &victimPool{runs: t.preemptibleRuns(q, p.overGuarantee, ownFirst)}
		var victims []plan.Victim
		var coming []plan.Freed
		if usesComing {
			coming = t.comingRoom(s, q, p.now)
			t.dropEnding(pool.runs, q, p.now)
		}
		victims, pool.units = t.victims(s, pool.runs, class.organisation, p.now)
		pool.set = plan.NewVictims(victims, coming)
		p.victimPools[class] = pool
	}
	return pool
}

// preempt stops runs so that the request fits, of which the organisation's cap has room for inCap
// tasks. It reports whether resources are being freed for the request.
func (t *term) preempt(s *plan.Snapshot, q readyStep, request *plan.Request, inCap int, p *planningPass) bool {
	now := p.now
	if claims := q.job.activeClaims(q.step, now); claims != nil && s.HasWorkers(claims) {
		s.Claim(request, claims)
		t.quota.Promise(q.job.Organisation, q.claimedResources(now))
		return true
	}
	// Room that was coming and that has not come in time is not counted on again.
	_, overdue := q.job.claims[q.step]
	overdue = overdue && q.job.activeClaims(q.step, now) == nil
	delete(q.job.claims, q.step)
	preemption, pool := t.findVictims(s, q, request, inCap, !overdue, p)
	if preemption == nil || !t.stopsFor(q, preemption.Cost) {
		return false
	}
	keep := t.bounds.StopTimeout + preemptRetrySlack
	if t.needsAdvice(q.job) {
		keep += t.renewalTime(q, len(preemption.Claims), now)
	}
	q.job.claims[q.step] = claim{expiresAt: now + keep, tasks: preemption.Claims}
	s.Claim(request, preemption.Claims)
	t.quota.Promise(q.job.Organisation, q.claimedResources(now))
	pool.set.Take(preemption)
	p.keepOnlyPool(pool)
	if len(preemption.Victims) == 0 {
		t.metrics.comingRoom.Inc(1)
		t.log.Info("a job waits for room that is coming", zap.String("job", q.job.ID), zap.Int("step", q.step), zap.Int("tasks", request.Tasks))
	}
	for _, v := range preemption.Victims {
		u := pool.units[v.ID]
		t.metrics.preemptions.Inc(1)
		t.log.Info("work is stopped for an urgent job", zap.String("job", q.job.ID), zap.String("victim", u.job.ID),
			zap.Int("step", u.step), zap.Int("runs", len(pool.runs[u])), zap.Float64("loss_core_ms", v.Cost))
		u.job.displaced[pool.runs[u][0].moveKey()]++
		for _, r := range pool.runs[u] {
			t.requestStop(r)
		}
	}
	return true
}

// findVictims returns runs that make room for the request, and the pool that they are from. Tasks
// that need not start together get room for as many as preemption allows. Where the cap is what
// the request lacks, runs of its own organisation must give way first: it could not use the room
// of others.
func (t *term) findVictims(s *plan.Snapshot, q readyStep, request *plan.Request, inCap int, usesComing bool, p *planningPass) (*plan.Preemption, *victimPool) {
	if !t.capIsConfirmed(q.job.Organisation) {
		return nil, nil
	}
	part := *request
	part.Owner = q.job.Organisation
	for {
		part.Shortfall = t.quota.Shortfall(part.Owner, part.Step.Demand, part.Tasks)
		pool := t.victimPool(s, q, part.Shortfall != (work.Resources{}), usesComing, p)
		s.Exclude(p.resting())
		preemption := s.Preempt(&part, pool.set)
		s.RestoreExcluded()
		if preemption != nil || part.Step.Gang || part.Tasks <= 1 {
			return preemption, pool
		}
		if fewer := part.Tasks / 2; inCap > fewer && inCap < part.Tasks {
			part.Tasks = inCap
		} else {
			part.Tasks = fewer
		}
	}
}

// keepOnlyPool drops the other pools, which may contain runs that were stopped meanwhile.
func (p *planningPass) keepOnlyPool(pool *victimPool) {
	for class, other := range p.victimPools {
		if other != pool {
			delete(p.victimPools, class)
		}
	}
}

// organisationsOverGuarantee returns the organisations whose urgent jobs need more
// accelerators than they are guaranteed.
func (t *term) organisationsOverGuarantee() map[string]bool {
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

// preemptibleRuns returns the runs of the same service that may be stopped for the step,
// by unit. These are runs of lower priority and, for guaranteed steps, also urgent runs
// of organisations that need more than they are guaranteed. With ownFirst, runs of the step's own
// organisation in other services are included: they count towards its cap.
func (t *term) preemptibleRuns(q readyStep, over map[string]bool, ownFirst bool) map[preemptionUnit][]*run {
	out := map[preemptionUnit][]*run{}
	allowance := map[jobStep]int{}
	for _, j := range t.jobs {
		preemptible := j.Priority > q.job.Priority || (q.guaranteed && j.Priority == 0 && over[j.Organisation])
		ofService := j.Service == q.job.Service || (ownFirst && j.Organisation == q.job.Organisation)
		if !ofService || !preemptible {
			continue
		}
		for r := range j.runs {
			if r.stopping || (r.step().MaxUnavailable > 0 && !t.mayMakeUnavailable(r, allowance)) {
				continue
			}
			u := r.unit()
			out[u] = append(out[u], r)
		}
	}
	return out
}

// jobStep identifies a long-running step when counting how many more of its tasks may
// become unavailable.
type jobStep struct {
	job  *job
	step int
}

// mayMakeUnavailable reports whether one more task of a long-running step may become
// unavailable, and deducts it from the step's allowance. It returns false at the start of
// a term: a task that a former owner has ordered to stop appears to be running until the
// stop is complete.
func (t *term) mayMakeUnavailable(r *run, allowance map[jobStep]int) bool {
	if t.Now()-t.began < t.bounds.StopTimeout+lapseSlack {
		return false
	}
	key := jobStep{r.job, r.job.StepNumber(r.name.Task)}
	if _, counted := allowance[key]; !counted {
		allowance[key] = r.step().MaxUnavailable - r.job.unavailableTasks(key.step)
	}
	allowance[key]--
	return allowance[key] >= 0
}

// inService reports whether a long-running run is known to be at work and may stay so. A run on
// a worker that does not answer may have ended, and one on a draining worker is about to.
func (r *run) inService() bool {
	return r.phase == runStarted && r.percent >= completePercent && r.worker.missedPolls == 0 && !r.worker.entry.Draining
}

// unavailableTasks counts the tasks of a long-running step that are not known to be in
// service, or will not be once all decided stops are carried out.
func (j *job) unavailableTasks(step int) int {
	unavailable := len(j.state.Steps[step].Tasks)
	for r := range j.runs {
		if j.StepNumber(r.name.Task) == step && r.inService() && !r.stopping {
			unavailable--
		}
	}
	return unavailable
}

// unavailableBeside counts the other tasks of a long-running run's step that are not known to
// be in service, or have been ordered to stop. A stop that is withheld does not count: stops
// that wait for each other would never be sent.
func (j *job) unavailableBeside(r *run) int {
	step := j.StepNumber(r.name.Task)
	unavailable := len(j.state.Steps[step].Tasks) - 1
	for other := range j.runs {
		if other != r && j.StepNumber(other.name.Task) == step && other.inService() && other.stopSentAt == 0 {
			unavailable--
		}
	}
	return unavailable
}

// stopBestEffortRuns stops the best-effort runs on as many workers as a latency-sensitive
// step needs. The two kinds share a worker only while best-effort runs are paused, so that these
// cannot push response times above their target. Long-running ones that fit nowhere else are
// left for that.
func (t *term) stopBestEffortRuns(s *plan.Snapshot, request *plan.Request) {
	remaining := request.Tasks
	for _, n := range s.Nodes {
		if remaining <= 0 {
			return
		}
		if n.BestEffortTasks == 0 || !request.Step.Demand.Fits(n.Free) {
			continue
		}
		remaining--
		for _, r := range t.workers[n.Key].sortedRuns() {
			if r.job != nil && r.step().BestEffort && !r.stopping && (!r.step().Pausable() || r.fitsElsewhere(s)) {
				t.log.Info("a filler is stopped for a task that serves", zap.Stringer("run", r.name), zap.String("job", request.Key.Job))
				t.requestStop(r)
			}
		}
	}
}

// victims returns a victim for each unit, and the units indexed by the ID of the victim. Units that
// free nothing in the snapshot are left out unless they are of the given organisation.
func (t *term) victims(s *plan.Snapshot, runs map[preemptionUnit][]*run, organisation string, now time.Duration) ([]plan.Victim, []preemptionUnit) {
	nodes := make(map[string]*plan.Node, len(s.Nodes))
	for _, n := range s.Nodes {
		nodes[n.Key] = n
	}
	victims := make([]plan.Victim, 0, len(runs))
	units := make([]preemptionUnit, 0, len(runs))
	for u, members := range runs {
		v := plan.Victim{ID: len(units), Owner: u.job.Organisation}
		slices.SortFunc(members, func(a, b *run) int { return cmp.Compare(a.worker.key, b.worker.key) })
		for _, r := range members {
			v.Cost += t.stopCost(r, now)
			v.Refund = v.Refund.Plus(r.demand)
			n := nodes[r.worker.key]
			if n == nil {
				continue
			}
			if last := len(v.Freed) - 1; last >= 0 && v.Freed[last].Node == n {
				v.Freed[last].Resources = v.Freed[last].Resources.Plus(r.demand)
				continue
			}
			v.Freed = append(v.Freed, plan.Freed{Node: n, Resources: r.demand})
		}
		if len(v.Freed) == 0 && (organisation == "" || v.Owner != organisation) {
			continue
		}
		victims = append(victims, v)
		units = append(units, u)
	}
	return victims, units
}
