package scheduler

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/health"
	"github.com/daisyfold/daisyfold/internal/engine/plan"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

const (
	// probeDelay is how long a step waits for other workers before its tasks are started on
	// workers that rest.
	probeDelay = 500 * time.Millisecond
	// maxRestWait is how long a pressing step waits because of rests.
	maxRestWait = 2 * time.Second
)

// recordOutcome updates what is known of the worker and of the job from the end of a run.
func (t *term) recordOutcome(r *run, ending workers.Ending) {
	now := t.Now()
	switch {
	case r.job == nil:
	case ending == workers.EndedDone:
		r.worker.health.Done(r.startedAt)
		r.job.health.AddDone(r.worker.key)
	case ending == workers.EndedFailed:
		f := health.Failure{Task: r.name.Task, StartedAt: r.startedAt, At: now}
		if r.startedAt == 0 { // it ended before its start was answered
			f.StartedAt = max(r.startSentAt, 1)
		}
		r.worker.health.AddFailure(f)
		r.job.health.AddFailure(r.worker.key, now-f.StartedAt)
	}
}

// rests returns the workers that rest, by key.
func (t *term) rests(now time.Duration) map[string]*health.Rest {
	var out map[string]*health.Rest
	views := map[string]map[string]bool{}
	count := map[string]int{} // workers by service
	for _, w := range t.workers {
		if w.listed && !w.dead {
			count[w.entry.Service]++
		}
	}
	for key, w := range t.workers {
		if !w.health.HasFailures() || w.dead {
			w.resting = false
			continue
		}
		runs := w.observedRuns()
		w.health.Update(runs, now)
		rest := w.health.Rest(runs, now, func(id string) health.JobView { return t.jobView(id, w, views, count[w.entry.Service], now) })
		if resting := rest != nil; resting != w.resting {
			w.resting = resting
			t.log.Warn("a worker on which runs fail changes its state", zap.String("worker", key), zap.Bool("rests", resting))
		}
		if rest != nil {
			if out == nil {
				out = map[string]*health.Rest{}
			}
			out[key] = rest
		}
	}
	return out
}

// jobView returns what the job says of a worker; working caches where each job works.
func (t *term) jobView(id string, w *worker, working map[string]map[string]bool, count int, now time.Duration) health.JobView {
	j := t.jobs[id]
	if j == nil {
		return health.JobView{}
	}
	if _, known := working[id]; !known {
		working[id] = j.workingOn(now)
	}
	return j.health.View(w.key, working[id], count)
}

// workingOn returns the workers with runs of the job that have worked for longer than its
// failing ones.
func (j *job) workingOn(now time.Duration) map[string]bool {
	on := map[string]bool{}
	for r := range j.runs {
		if r.atWork() && now-r.startedAt >= health.ProofTime(j.health.LongestFailure) {
			on[r.worker.key] = true
		}
	}
	return on
}

// atWork reports whether the run is known to work; a member of a gang waits for the others
// first.
func (r *run) atWork() bool {
	return r.phase == runStarted && (r.percent > 0 || !r.step().Gang)
}

// observedRuns returns the worker's runs as evidence of its health. A run whose start has got
// no answer is none.
func (w *worker) observedRuns() []health.Run {
	var out []health.Run
	for _, r := range w.runs {
		switch {
		case r.job == nil || r.phase == runUncertain:
		case r.atWork():
			out = append(out, health.Run{StartedAt: r.startedAt})
		case r.phase != runStarted:
			out = append(out, health.Run{})
		}
	}
	return out
}

// closedTo returns the workers that rest and may not be probed by the job now.
func (p *planningPass) closedTo(j *job, pressing bool) map[string]bool {
	var closed map[string]bool
	for key, rest := range p.rests {
		if p.probed[key] || !rest.Open(j.health.FailedOn()[key], pressing, p.now) {
			closed = with(closed, key)
		}
	}
	return closed
}

// resting returns the workers that rest.
func (p *planningPass) resting() map[string]bool {
	var out map[string]bool
	for key := range p.rests {
		out = with(out, key)
	}
	return out
}

// lastChoices returns the sets of workers to leave out, in order, when a step fits on no worker
// that works. The step gets workers that may be probed; if it has waited for too long, all. It is
// pressing if the platform expects its start soon, because it is long-running or much is free.
// The last attempt of a task is spent on a probe only after a longer pause.
func (p *planningPass) lastChoices(s *plan.Snapshot, q readyStep, isolated map[string]bool) []map[string]bool {
	waited := p.now - q.job.waitingSince[q.step]
	if len(p.rests) == 0 || waited < probeDelay {
		return nil
	}
	pressing := q.job.StepAt(q.step).LongRunning || (p.isUnderused(s) && !q.onLastAttempt())
	closed := p.closedTo(q.job, pressing)
	var sets []map[string]bool
	if failed := q.job.health.FailedOn(); len(failed) > 0 {
		sets = append(sets, union(union(closed, isolated), failed))
	}
	sets = append(sets, union(closed, isolated))
	if waited >= maxRestWait && pressing {
		sets = append(sets, union(p.probed, isolated))
	}
	return sets
}

// onLastAttempt reports whether a waiting task of the step, or its gang, may fail only once more.
func (q readyStep) onLastAttempt() bool {
	state := &q.job.state.Steps[q.step]
	failures := state.Failures
	for _, i := range q.tasks {
		failures = max(failures, state.Tasks[i].Failures)
	}
	return failures+1 >= q.job.MaxAttempts
}

// noteProbes marks the workers that rest and have got a task, so that they get no other in this
// pass.
func (p *planningPass) noteProbes(nodes []*plan.Node) {
	for _, n := range nodes {
		if p.rests[n.Key] != nil {
			p.probed = with(p.probed, n.Key)
		}
	}
}

// avoidedWorkers returns the workers that get tasks of the job only if no other worker
// can take them.
func (p *planningPass) avoidedWorkers(j *job) map[string]bool {
	avoid := maps.Clone(p.slowWorkers)
	maps.Copy(avoid, j.health.FailedOn())
	for key := range p.rests {
		avoid[key] = true
	}
	return avoid
}
