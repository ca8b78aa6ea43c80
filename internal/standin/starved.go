package standin

import (
	"slices"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// longRunningRestartTime is how long after its last run a long-running task may wait.
const longRunningRestartTime = 6 * time.Second

// Starved returns what should run among the given jobs and does not: jobs without a run
// that have a ready step, and long-running tasks, if there is free capacity for them twice
// over, less than half of the capacity is in use, and their organisation uses less than half of its
// cap. Workers in the given zones, and those that drain, fail or stall runs, or cannot be
// reached, are not counted as free.
func (f *Fleet) Starved(jobs []string, zonesOut map[string]bool) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ledger.mu.Lock()
	defer f.ledger.mu.Unlock()
	running, active := map[string]bool{}, map[work.TaskName]bool{}
	for r := range f.ledger.active {
		running[r.name.Task.Job], active[r.name.Task] = true, true
	}
	free, underused := f.freeCapacity(zonesOut)
	if !underused {
		return nil
	}
	var starved []string
	for _, id := range jobs {
		j := f.jobs[id]
		if j.Occurrences > 0 || j.NeedsAdvice || f.ledger.isHeldByCap(j.Organisation) {
			continue // the room that they can use is not known here
		}
		for s := range j.Steps {
			if !f.ledger.stepReady(j.Job, s) || !fitsTwice(&j.Steps[s], free) {
				continue
			}
			if j.Steps[s].LongRunning {
				starved = append(starved, f.ledger.missingTasks(j.Job, s, active)...)
			} else if !running[id] {
				starved = append(starved, id)
				break
			}
		}
	}
	return starved
}

// freeCapacity returns the free capacity of the workers that can take runs, and whether
// less than half of the capacity is in use. The caller holds the locks of the fleet and of
// the ledger.
func (f *Fleet) freeCapacity(zonesOut map[string]bool) (free map[*Worker]work.Resources, underused bool) {
	var total, used work.Resources
	free = map[*Worker]work.Resources{}
	for _, w := range f.workers {
		if !w.up {
			continue
		}
		total, used = total.Plus(w.entry.Capacity), used.Plus(f.ledger.usedCapacity[w])
		reachable := !f.unreachable[[2]string{"", w.entry.ID}]
		if reachable && !w.entry.Draining && !w.failing && !w.stalled && !zonesOut[w.entry.Zone] {
			free[w] = w.entry.Capacity.Minus(f.ledger.usedCapacity[w])
		}
	}
	return free, 2*used.CPU < total.CPU && 2*used.MemoryMB < total.MemoryMB && 2*used.Accelerators < total.Accelerators
}

// stepReady reports whether the step is not done and those that it waits for are. The
// caller holds the lock.
func (l *Ledger) stepReady(j *work.Job, step int) bool {
	for _, earlier := range j.Steps[step].After {
		if !l.stepCompleted(j, 0, earlier) {
			return false
		}
	}
	return j.Steps[step].LongRunning || !l.stepCompleted(j, 0, step)
}

// missingTasks returns the tasks of a long-running step that do not run although their last
// run ended long ago. The caller holds the lock.
func (l *Ledger) missingTasks(j *work.Job, step int, active map[work.TaskName]bool) []string {
	var missing []string
	for i := range j.Steps[step].Tasks {
		n := work.TaskName{Job: j.ID, Step: step, Index: i}
		runs := l.runs[n]
		if !active[n] && (len(runs) == 0 || time.Since(runs[len(runs)-1].End) > longRunningRestartTime) {
			missing = append(missing, n.String())
		}
	}
	return missing
}

// fitsTwice reports whether twice the tasks of a gang, or two tasks of another step, fit into
// the free capacity.
func fitsTwice(s *work.Step, free map[*Worker]work.Resources) bool {
	if s.MaxPerWorker > 0 || s.BestEffort || s.LatencySensitive {
		return false // such tasks cannot use all free capacity
	}
	needed := 2
	if s.Gang {
		needed = 2 * s.Tasks
	}
	for w, room := range free {
		if s.RequiredLabel != "" && !slices.Contains(w.entry.Labels, s.RequiredLabel) {
			continue
		}
		for ; needed > 0 && s.Demand.Fits(room); needed-- {
			room = room.Minus(s.Demand)
		}
	}
	return needed == 0
}

// RunningJobs returns the number of runs of each job.
func (l *Ledger) RunningJobs() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	running := map[string]int{}
	for r := range l.active {
		running[r.name.Task.Job]++
	}
	return running
}

// AllDone reports whether all tasks of the job have completed.
func (l *Ledger) AllDone(j *work.Job) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := range j.Steps {
		if !l.stepCompleted(j, 0, s) {
			return false
		}
	}
	return true
}

// MaxFailures returns the largest number of failed runs of a task or a gang of the job.
func (l *Ledger) MaxFailures(j *work.Job) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for s, step := range j.Steps {
		failedRuns := map[int]bool{}
		for i := range step.Tasks {
			failures := 0
			for _, r := range l.runs[work.TaskName{Job: j.ID, Step: s, Index: i}] {
				if r.Ending == "failed" {
					failures++
					failedRuns[r.Name.Number] = true
				}
			}
			if !step.Gang {
				most = max(most, failures)
			}
		}
		if step.Gang {
			most = max(most, len(failedRuns))
		}
	}
	return most
}
