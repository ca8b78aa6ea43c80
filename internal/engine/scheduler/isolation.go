package scheduler

import (
	"maps"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/blame"
	"github.com/daisyfold/daisyfold/internal/engine/plan"
)

// maxIsolationWait is how long a suspect waits for a worker on which all other runs are proven.
const maxIsolationWait = blame.FreshAge + replanInterval

// Isolation of suspects: a task that may have crashed its worker starts again on a worker
// without other runs, if there is one. If that worker crashes as well, no other task comes
// into question, and no other run is lost.

// updateSuspects drops jobs without suspects and marks the workers on which a suspect has
// started and is not proven yet.
func (t *term) updateSuspects(p *planningPass) {
	for j := range t.suspects {
		if !j.active() || !j.anySuspect() {
			delete(t.suspects, j)
			continue
		}
		for r := range j.runs {
			if task := r.currentTask(); task != nil && task.Suspect && !r.proven(p.now) {
				p.isolate(r.worker, j)
			}
		}
	}
}

func (j *job) anySuspect() bool {
	for s := range j.state.Steps {
		if j.hasSuspects(s) {
			return true
		}
	}
	return false
}

// isolate keeps tasks of other jobs from a worker in this pass.
func (p *planningPass) isolate(w *worker, j *job) {
	if p.isolated == nil {
		p.isolated = map[string]*job{}
	}
	if holder, known := p.isolated[w.key]; known && holder != j {
		j = nil // suspects of several jobs share the worker
	}
	p.isolated[w.key] = j
}

// exclusions returns sets of workers to leave out when placing the step, in the order in which
// they are tried.
func (t *term) exclusions(s *plan.Snapshot, q readyStep, p *planningPass) []map[string]bool {
	var isolated map[string]bool
	for key, holder := range p.isolated {
		if holder != q.job {
			isolated = with(isolated, key)
		}
	}
	avoid := union(p.avoidedWorkers(q.job), isolated)
	if q.job.hasSuspects(q.step) {
		sets := []map[string]bool{union(avoid, t.workersInUse(q.job, nil)), union(isolated, t.workersInUse(q.job, &p.now))}
		if p.now-q.job.waitingSince[q.step] > maxIsolationWait {
			sets = append(sets, isolated)
		}
		return sets
	}
	if len(avoid) == len(isolated) {
		return []map[string]bool{isolated}
	}
	sets := []map[string]bool{avoid, union(isolated, p.resting())}
	return append(sets, p.lastChoices(s, q, isolated)...)
}

// workersInUse returns the workers with runs of other jobs; if provenBy is set, only those
// with runs that are not proven at that time.
func (t *term) workersInUse(j *job, provenBy *time.Duration) map[string]bool {
	var out map[string]bool
	for key, w := range t.workers {
		for _, r := range w.runs {
			if r.job != j && (provenBy == nil || !r.proven(*provenBy)) {
				out = with(out, key)
				break
			}
		}
	}
	return out
}

func with(set map[string]bool, key string) map[string]bool {
	if set == nil {
		set = map[string]bool{}
	}
	set[key] = true
	return set
}

// union returns the union of two sets, which it does not change.
func union(a, b map[string]bool) map[string]bool {
	switch {
	case len(a) == 0:
		return b
	case len(b) == 0:
		return a
	}
	out := maps.Clone(a)
	maps.Copy(out, b)
	return out
}
