package standin

import (
	"fmt"
	"sync"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

// LedgerRun describes one run as the workers observed it.
type LedgerRun struct {
	Name      work.RunName
	Worker    string
	Zone      string
	Begin     time.Time
	End       time.Time // zero until the run has ended
	Ending    string
	demand    work.Resources
	endNumber int64 // number of the end in the worker's reports
	// incarnation is when the worker's incarnation started, which end numbers refer to.
	incarnation  time.Time
	acknowledged bool
	// stopping is set once the worker has received a stop for the run.
	stopping bool
	lapsed   bool // the worker's lease lapsed before the end was acknowledged
}

// Ledger records every run and every violation of the scheduler's guarantees that the
// workers can observe. The text of a violation begins with its category:
//
//   - TWICE: a task runs twice at the same time, or again after it was done.
//   - BUDGET: a task is started after its last permitted failure, or for the third time
//     after it has crashed three workers.
//   - ORDER: a task is started before its dependencies are done or before it is due.
//   - UNASKED: a task belongs to no registered job, or its spec is not its job's.
//   - LIMIT: a start exceeds the capacity of a worker, also one that has been reduced for
//     longer than capacityNoticeTime and a heartbeat interval, or the number of machines of a wave
//     that may be down.
//   - HARM: a best-effort task runs on the same worker as a latency-sensitive task; if it is
//     long-running, it may do so while it is paused, and otherwise for maxHarmTime on end.
//   - ROUTE: more tasks of a step run on one worker than the step permits.
//   - AVAIL: a task is stopped although too many tasks of its step are unavailable.
//   - QUOTA: a task is started while the runs of its organisation on all workers, also those
//     being stopped, are above its cap by more than capOveragePercent, in any resource. The highest cap
//     of the manifests that may be in force counts.
type Ledger struct {
	mu           sync.Mutex
	runs         map[work.TaskName][]*LedgerRun
	active       map[*activeRun]*LedgerRun
	usedCapacity map[*Worker]work.Resources
	violations   []string
	// cancelledJobs holds the ids of jobs whose tasks may be stopped at any time.
	cancelledJobs map[string]bool
	// organisationUse is what the active runs of each organisation occupy.
	organisationUse map[string]work.Resources
	// capsVersions are the caps of the versions of the manifest, the newest last.
	capsVersions []capsVersion
}

func newLedger() *Ledger {
	return &Ledger{runs: map[work.TaskName][]*LedgerRun{}, active: map[*activeRun]*LedgerRun{}, usedCapacity: map[*Worker]work.Resources{},
		cancelledJobs: map[string]bool{}, organisationUse: map[string]work.Resources{}}
}

// Violations returns the violations found so far.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}

// Runs returns the runs of a task in the order of their starts.
func (l *Ledger) Runs(task work.TaskName) []LedgerRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []LedgerRun
	for _, r := range l.runs[task] {
		out = append(out, *r)
	}
	return out
}

// Count returns how many runs have the given ending.
func (l *Ledger) Count(ending string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, runs := range l.runs {
		for _, r := range runs {
			if r.Ending == ending {
				n++
			}
		}
	}
	return n
}

func (l *Ledger) addViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolationLocked(format, args...)
}

// addViolationLocked is addViolation for callers that hold the ledger's lock.
func (l *Ledger) addViolationLocked(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// recordStart records the start of a run and checks it.
func (l *Ledger) recordStart(w *Worker, r *activeRun, o workers.StartOrder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	task := r.name.Task
	entry := &LedgerRun{Name: r.name, Worker: w.entry.ID, Zone: w.entry.Zone, Begin: time.Now(), demand: r.step().Demand, incarnation: w.startedAt}
	failures, crashes := 0, 0
	for _, earlier := range l.runs[task] {
		switch {
		case earlier.End.IsZero():
			l.addViolationLocked("TWICE: %s starts on %s while run %d is on %s", task, w.entry.ID, earlier.Name.Number, earlier.Worker)
		case earlier.Ending == workers.EndedDone.String() && earlier.acknowledged && !earlier.lapsed:
			l.addViolationLocked("TWICE: %s starts after run %d completed", task, earlier.Name.Number)
		case earlier.Ending == workers.EndedFailed.String() && earlier.acknowledged && !earlier.lapsed:
			failures++
		case earlier.Ending == endingCrashedWorker:
			crashes++
		}
	}
	if crashes >= maxTaskCrashes+maxStartsAfterCrashes {
		l.addViolationLocked("BUDGET: %s starts after it has crashed %d workers", task, crashes)
	}
	if failures >= r.job.MaxAttempts && !r.step().LongRunning {
		l.addViolationLocked("BUDGET: %s starts after %d failures", task, failures)
	}
	for _, dependency := range r.step().After {
		if !l.stepCompleted(r.job.Job, task.Occurrence, dependency) {
			l.addViolationLocked("ORDER: %s starts before step %d is done", task, dependency)
		}
	}
	if due := r.job.DueMS(r.job.StepNumber(task)); time.Now().UnixMilli() < due {
		l.addViolationLocked("ORDER: %s starts before it is due", task)
	}
	if o.Spec != r.job.Spec {
		l.addViolationLocked("UNASKED: %s starts with a spec other than its job's", task)
	}
	l.checkCap(w, r)
	l.organisationUse[r.job.Organisation] = l.organisationUse[r.job.Organisation].Plus(entry.demand)
	l.usedCapacity[w] = l.usedCapacity[w].Plus(entry.demand)
	if !l.usedCapacity[w].Fits(w.permittedCapacity()) {
		l.addViolationLocked("LIMIT: %s does not fit on %s", task, w.entry.ID)
	}
	for other := range l.active {
		if other.worker == w && !l.cancelledJobs[other.name.Task.Job] {
			l.checkHarm(r, other)
			l.checkHarm(other, r)
		}
	}
	if limit := r.step().MaxPerWorker; limit > 0 && l.stepTasksOnWorker(w, task) >= limit {
		l.addViolationLocked("ROUTE: %s exceeds the limit of its step on %s", task, w.entry.ID)
	}
	l.runs[task] = append(l.runs[task], entry)
	l.active[r] = entry
}

const (
	// maxHarmTime is how long on end a best-effort task that is not paused may run beside a
	// latency-sensitive one.
	maxHarmTime       = 4 * time.Second
	harmCheckInterval = 100 * time.Millisecond
)

// checkHarm checks a best-effort run that has met a latency-sensitive one on its worker. Other
// pairs are ignored. The caller holds the lock.
func (l *Ledger) checkHarm(filler, serving *activeRun) {
	if !filler.step().BestEffort || !serving.step().LatencySensitive {
		return
	}
	if !filler.step().LongRunning {
		l.addViolationLocked("HARM: %s runs beside %s on %s", filler.name, serving.name, filler.worker.entry.ID)
		return
	}
	l.watchHarm(filler, serving, time.Now())
}

// watchHarm checks the pace of a best-effort run until it or the latency-sensitive run beside it
// has ended. They have been together since the given time.
func (l *Ledger) watchHarm(filler, serving *activeRun, since time.Time) {
	time.AfterFunc(harmCheckInterval, func() {
		filler.worker.fleet.mu.Lock()
		if filler.isPaused() {
			since = time.Now()
		}
		filler.worker.fleet.mu.Unlock()
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.active[filler] == nil || l.active[serving] == nil {
			return
		}
		if time.Since(since) > maxHarmTime {
			l.addViolationLocked("HARM: %s has run beside %s on %s for %v without a pause", filler.name, serving.name, filler.worker.entry.ID, maxHarmTime)
			return
		}
		l.watchHarm(filler, serving, since)
	})
}

// stepTasksOnWorker returns the number of tasks on the worker that belong to the same
// step as task. The caller holds the lock.
func (l *Ledger) stepTasksOnWorker(w *Worker, task work.TaskName) int {
	n := 0
	for r := range l.active {
		if r.worker == w && r.name.Task.Job == task.Job && r.name.Task.Occurrence == task.Occurrence && r.name.Task.Step == task.Step {
			n++
		}
	}
	return n
}

// stepCompleted reports whether all tasks of a step are done, or one of them if the step
// is a gang. The caller holds the lock.
func (l *Ledger) stepCompleted(j *work.Job, occurrence, step int) bool {
	for i := range j.Steps[step].Tasks {
		done := false
		for _, r := range l.runs[work.TaskName{Job: j.ID, Occurrence: occurrence, Step: step, Index: i}] {
			done = done || r.Ending == workers.EndedDone.String()
		}
		if done && j.Steps[step].Gang {
			return true
		}
		if !done {
			return false
		}
	}
	return true
}

// endingCrashedWorker is the ending of a run that crashed its worker.
const endingCrashedWorker = "crashed_worker"

// After maxTaskCrashes crashes of workers, a task that causes them may be started
// maxStartsAfterCrashes times more.
const (
	maxTaskCrashes        = 3
	maxStartsAfterCrashes = 2
)

// maxDetectionDelay is the time within which the scheduler must detect that a task is
// unavailable.
const maxDetectionDelay = 4500 * time.Millisecond

// MarkCancelled records that the cancellation of a job was sent, so that its tasks may be
// stopped.
func (l *Ledger) MarkCancelled(job string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancelledJobs[job] = true
}

// recordStop records that a run is being stopped, and checks that no more tasks of its
// step become unavailable than the step permits. Runs that make no progress, and those of
// draining workers and cancelled jobs, are not checked. The caller holds the fleet's lock.
func (l *Ledger) recordStop(r *activeRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active[r].stopping = true
	maxUnavailable := r.step().MaxUnavailable
	if maxUnavailable == 0 || r.worker.entry.Draining || l.cancelledJobs[r.name.Task.Job] || r.stalled {
		return
	}
	unavailable := 0
	for i := range r.step().Tasks {
		n := r.name.Task
		n.Index = i
		if i != r.name.Task.Index && l.isUnavailable(n) {
			unavailable++
		}
	}
	if unavailable >= maxUnavailable {
		l.addViolationLocked("AVAIL: %s is stopped while %d tasks are unavailable", r.name, unavailable)
	}
}

// isUnavailable reports whether the last run of a task is being stopped or was stopped, or
// ended longer than maxDetectionDelay ago. The caller holds the lock.
func (l *Ledger) isUnavailable(n work.TaskName) bool {
	runs := l.runs[n]
	if len(runs) == 0 {
		return false
	}
	last := runs[len(runs)-1]
	if last.End.IsZero() {
		return last.stopping
	}
	return last.Ending == workers.EndedStopped.String() || time.Since(last.End) > maxDetectionDelay
}

// recordEnd records the end of a run.
func (l *Ledger) recordEnd(r *activeRun, ending string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.active[r]
	delete(l.active, r)
	entry.End, entry.Ending = time.Now(), ending
	l.usedCapacity[r.worker] = l.usedCapacity[r.worker].Minus(entry.demand)
	l.organisationUse[r.job.Organisation] = l.organisationUse[r.job.Organisation].Minus(entry.demand)
}

// isOn reports whether the run was on the worker's current incarnation.
func (r *LedgerRun) isOn(w *Worker) bool {
	return r.Worker == w.entry.ID && r.incarnation.Equal(w.startedAt)
}

// recordEndNumber records the number under which the worker reports the end of a run.
func (l *Ledger) recordEndNumber(r *activeRun, number int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, entry := range l.runs[r.name.Task] {
		if entry.Name == r.name && entry.isOn(r.worker) {
			entry.endNumber = number
		}
	}
}

// recordAcknowledgement records that the scheduler has acknowledged the end of a run, and
// checks that a task that is done was not started again.
func (l *Ledger) recordAcknowledgement(w *Worker, e workers.EndedRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, entry := range l.runs[e.Run.Task] {
		if entry.Name != e.Run || !entry.isOn(w) || entry.endNumber != e.Number {
			continue
		}
		entry.acknowledged = true
		if e.Ending != workers.EndedDone || entry.lapsed {
			continue
		}
		for _, later := range l.runs[e.Run.Task] {
			if later.Begin.After(entry.End) {
				l.addViolationLocked("TWICE: %s was started after its run %d had completed", e.Run.Task, e.Run.Number)
			}
		}
	}
}

// recordLapse records that the worker's lease has lapsed: the runs that ended before it
// and are not acknowledged no longer count as done or failed.
func (l *Ledger) recordLapse(w *Worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, runs := range l.runs {
		for _, r := range runs {
			if r.Worker == w.entry.ID && !r.End.IsZero() && !r.acknowledged {
				r.lapsed = true
			}
		}
	}
}
