package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/plan"
	"github.com/daisyfold/daisyfold/internal/engine/work"
)

const (
	// maxReservations bounds the jobs that room is kept free for.
	maxReservations = 3
	// reservePatience is how long work waits behind reservations while less than
	// reserveUse of the room is in use; the platform expects a start within 3 s then.
	reservePatience = 1500 * time.Millisecond
	reserveUse      = 0.5
	// anyRackAfter is how long a step waits for its preferred rack.
	anyRackAfter = 1500 * time.Millisecond
	// replanAfter is when to plan again while something waits.
	replanAfter = 500 * time.Millisecond
)

// ready is a step whose tasks may be started.
type ready struct {
	job   *job
	step  int
	tasks []int // indexes that wait
	// guaranteed work is urgent and within what its organisation is guaranteed.
	guaranteed bool
}

// place plans what waits. While an append is on its way nothing is planned, so that the
// decisions that follow from its events go together.
func (t *term) place(now time.Duration) {
	if t.runs.busy || !t.mayOrder() {
		return
	}
	t.replan = false
	t.wake = now + time.Hour
	queue := t.readySteps(now)
	if len(queue) == 0 {
		return
	}
	t.wake = min(t.wake, now+replanAfter)
	snapshots := t.snapshots(now)
	p := pass{now: now, slow: t.slowWorkers(now), idle: map[*plan.Snapshot]bool{}}
	for _, s := range snapshots {
		p.idle[s] = s.InUse() < reserveUse
	}
	for _, q := range queue {
		if s := snapshots[q.job.Service]; s != nil {
			s.Claim(q.ask(), q.job.claimed(q.step, now))
		}
	}
	for _, q := range queue {
		s := snapshots[q.job.Service]
		if s == nil {
			continue
		}
		t.placeStep(s, q, &p)
	}
	t.metrics.planTime.Update(t.Now() - now)
}

// snapshots are the usable workers of each service.
func (t *term) snapshots(now time.Duration) map[string]*plan.Snapshot {
	keys := make([]string, 0, len(t.workers))
	for key, w := range t.workers {
		if t.usable(w, now) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	out := map[string]*plan.Snapshot{}
	for _, key := range keys {
		w := t.workers[key]
		s := out[w.entry.Service]
		if s == nil {
			s = &plan.Snapshot{}
			out[w.entry.Service] = s
		}
		s.Nodes = append(s.Nodes, w.node())
	}
	return out
}

// readySteps are the steps that may be placed, first come first.
func (t *term) readySteps(now time.Duration) []ready {
	var queue []ready
	wall := t.Wall().UnixMilli()
	over := t.overGuarantee()
	for _, j := range t.jobs {
		if !j.active() {
			continue
		}
		for s := range j.state.Steps {
			if due := j.Due(s); due > wall {
				t.wake = min(t.wake, now+time.Duration(due-wall)*time.Millisecond)
				continue
			}
			if !j.state.StepReady(j.Job, s) {
				continue
			}
			if tasks := waitingTasks(j, s); len(tasks) > 0 {
				queue = append(queue, ready{job: j, step: s, tasks: tasks, guaranteed: j.Priority == 0 && !over[j.Organisation]})
				if _, known := j.waiting[s]; !known {
					j.waiting[s] = now
				}
			}
		}
	}
	slices.SortFunc(queue, func(a, b ready) int { return compareReady(a, b, wall) })
	return queue
}

// compareReady orders by priority, then guaranteed work, then tasks that serve as long as
// they run, then jobs that are not late yet, then deadline.
func compareReady(a, b ready, wall int64) int {
	late := func(r ready) int { return rank(r.job.Deadline(r.step) < wall) }
	lasts := func(r ready) bool { return r.job.StepAt(r.step).LongRunning }
	return cmp.Or(
		cmp.Compare(a.job.Priority, b.job.Priority),
		cmp.Compare(rank(!a.guaranteed), rank(!b.guaranteed)),
		cmp.Compare(rank(!lasts(a)), rank(!lasts(b))),
		cmp.Compare(late(a), late(b)),
		cmp.Compare(a.job.Deadline(a.step), b.job.Deadline(b.step)),
		cmp.Compare(a.job.ID, b.job.ID),
		cmp.Compare(a.step, b.step),
	)
}

// rank puts false before true.
func rank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// waitingTasks are the tasks of a step that may be placed; for a gang all or none.
func waitingTasks(j *job, step int) []int {
	var tasks []int
	states := j.state.Steps[step].Tasks
	for i := range states {
		if states[i].Phase == work.Waiting {
			tasks = append(tasks, i)
		}
	}
	if j.StepAt(step).Gang && len(tasks) < len(states) {
		return nil
	}
	return tasks
}

// ask is the step as the planner sees it.
func (q ready) ask() *plan.Ask {
	return &plan.Ask{Key: plan.StepKey{Job: q.job.ID, Step: q.step}, Step: q.job.StepAt(q.step), Tasks: len(q.tasks)}
}

// pass is what holds for one planning of the whole queue.
type pass struct {
	now time.Duration
	// slow workers get tasks only if no others can take them.
	slow map[string]bool
	// idle services have most of their room unused.
	idle map[*plan.Snapshot]bool
	// reservations counts the steps that room is kept free for.
	reservations int
}

// slowWorkers are those on which runs have lagged behind lately.
func (t *term) slowWorkers(now time.Duration) map[string]bool {
	slow := map[string]bool{}
	for key, w := range t.workers {
		if now < w.slowUntil {
			slow[key] = true
		}
	}
	return slow
}

func (t *term) placeStep(s *plan.Snapshot, q ready, p *pass) {
	now := p.now
	step, ask := q.job.StepAt(q.step), q.ask()
	s.Unclaim(ask, q.job.claimed(q.step, now))
	if q.job.Advised {
		ask.Allowed = t.adviceMayAllow(s, q)
	}
	if !s.CouldEver(ask) || (step.Rack != "" && now-q.job.waiting[q.step] > anyRackAfter) {
		ask.AnyRack = true
	}
	if q.job.Advised {
		ask.Allowed = t.ticketed(q.job, q.step, now)
	}
	if p.idle[s] && now-q.job.waiting[q.step] > reservePatience {
		s.DropReservations()
	}
	avoid := q.job.avoided(p.slow)
	s.Avoid(avoid)
	nodes := s.Place(ask)
	s.Release()
	if len(nodes) == 0 && len(avoid) > 0 {
		nodes = s.Place(ask)
	}
	if len(nodes) > 0 {
		t.assign(q, nodes, now)
		q.job.useClaims(q.step, nodes)
	}
	if len(nodes) == len(q.tasks) {
		delete(q.job.waiting, q.step)
		delete(q.job.claims, q.step)
		return
	}
	if q.job.Advised {
		t.askAdvice(s, q, now)
	}
	rest := *ask
	rest.Tasks = len(q.tasks) - len(nodes)
	if step.Serves {
		t.clearFillers(s, &rest)
	}
	if (q.job.Priority == 0 || step.LongRunning) && t.evict(s, q, &rest, now) {
		return
	}
	if step.Gang && p.reservations < maxReservations {
		p.reservations++
		s.Reserve(&rest)
	}
}

// avoided are the workers that get tasks of the job only if no others can take them.
func (j *job) avoided(slow map[string]bool) map[string]bool {
	switch {
	case len(j.avoid) == 0:
		return slow
	case len(slow) == 0:
		return j.avoid
	}
	avoid := maps.Clone(j.avoid)
	maps.Copy(avoid, slow)
	return avoid
}

// assign gives the waiting tasks workers, in order, and starts them once that is
// recorded.
func (t *term) assign(q ready, nodes []*plan.Node, now time.Duration) {
	j, state := q.job, q.job.state
	tasks := q.tasks[:len(nodes)]
	gangRun, step := state.NextRun(q.step, q.tasks), j.StepAt(q.step)
	var runs []*run
	for k, i := range tasks {
		number := gangRun
		if !step.Gang {
			number = state.NextRun(q.step, []int{i})
		}
		w := t.workers[nodes[k].Key]
		task := &state.Steps[q.step].Tasks[i]
		task.Phase, task.Run, task.Worker = work.Placed, number, w.key
		r := &run{
			name: work.RunName{Task: j.Name(q.step, i), Run: number},
			job:  j, worker: w, demand: step.Demand,
		}
		w.addRun(r)
		runs = append(runs, r)
	}
	if !state.Started {
		t.metrics.waitTime.Update(time.Duration(t.Wall().UnixMilli()-j.AcceptedMS) * time.Millisecond)
	}
	state.Started, state.Status = true, work.Running
	t.log.Info("placed", zap.String("job", j.ID), zap.Int("step", q.step), zap.Int("tasks", len(tasks)),
		zap.Int("cpu", step.Demand.CPU), zap.Int("accelerators", step.Demand.Accelerators),
		zap.Bool("gang", step.Gang), zap.Bool("saves", step.SavesProgress),
		zap.Int("waiting", len(q.tasks)-len(tasks)), zap.Duration("waited", now-j.waiting[q.step]), zap.Int("run", gangRun))
	t.touch(j)
	t.then(func() { t.startAll(runs) })
}

// startAll starts runs that were placed together. A gang whose members cannot all be
// started is not started at all.
func (t *term) startAll(runs []*run) {
	now := t.Now()
	gang := runs[0].step().Gang
	if gang && slices.ContainsFunc(runs, func(r *run) bool { return r.stopping || !t.usable(r.worker, now) }) {
		for _, r := range runs {
			t.askStop(r)
		}
	}
	for _, r := range runs {
		t.start(r)
	}
}
