// Package health decides which workers are avoided because runs fail there. It performs no
// I/O.
//
// It answers the load of a few workers that fail everything they start, beside jobs that
// fail on any worker. A failure says something of the worker only if the job does not fail
// everywhere, and one job alone says it only if the job works on another worker.
package health

import (
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/work"
)

const (
	// minEvidence is the number of jobs that have failed on a worker, or of tasks of a job
	// that works elsewhere, from which the worker rests.
	minEvidence = 2
	// minWorkersOfFailingJob is the number of workers on which a job that works nowhere has
	// failed, from which its failures say nothing of them. Fewer suffice if there are no more.
	minWorkersOfFailingJob = 3
	// maxFailureAge is the age from which a failure says nothing of the worker as it is now.
	maxFailureAge = 30 * time.Second
	// maxFailures is the number of failures that are kept for a worker.
	maxFailures = 32
)

const (
	// minPause is the time without probes after the first failure of a worker that rests. Each
	// further failure doubles it.
	minPause = 500 * time.Millisecond
	// maxPause is the longest pause for work that is pressing. Together with secondChanceDelay
	// and a planning interval it stays below the 3 s in which the platform expects a start.
	maxPause = 1500 * time.Millisecond
	// patience is how many times as long the pause is for work that is not pressing, and
	// maxPatientPause its longest.
	patience        = 4
	maxPatientPause = 8 * time.Second
	// secondChanceDelay is how much longer jobs wait that have failed on the worker, so that
	// they do not take all of its probes.
	secondChanceDelay = 600 * time.Millisecond
	// maxProbeTime is how long a probe keeps other work from the worker.
	maxProbeTime = time.Second
)

// proofMargin is how much longer than failing runs a run must have worked to show that it does
// not fail like them.
const proofMargin = 200 * time.Millisecond

// ProofTime returns the time for which a run must have worked to show that it does not fail
// like runs that failed at the given age.
func ProofTime(failedAge time.Duration) time.Duration { return failedAge + failedAge/2 + proofMargin }

// Job is what is known of the runs of a job.
type Job struct {
	failedOn map[string]bool // workers on which runs have failed
	doneOn   map[string]bool // workers on which runs have ended done
	// LongestFailure is the longest time for which a run worked before it failed.
	LongestFailure time.Duration
}

// AddFailure records that a run has failed on the worker after it worked for the given time.
func (j *Job) AddFailure(worker string, age time.Duration) {
	if j.failedOn == nil {
		j.failedOn = map[string]bool{}
	}
	j.failedOn[worker] = true
	j.LongestFailure = max(j.LongestFailure, age)
}

// AddDone records that a run has ended done on the worker.
func (j *Job) AddDone(worker string) {
	if j.doneOn == nil {
		j.doneOn = map[string]bool{}
	}
	j.doneOn[worker] = true
}

// FailedOn returns the workers on which runs of the job have failed. The caller must not
// change the result.
func (j *Job) FailedOn() map[string]bool { return j.failedOn }

// View returns what the job says of a worker; working holds the workers on which the job has
// a run that has worked for longer than the failing ones, and count is the number of workers.
func (j *Job) View(worker string, working map[string]bool, count int) JobView {
	elsewhere := func(set map[string]bool) bool { return len(set) > 1 || (len(set) == 1 && !set[worker]) }
	return JobView{
		FailsEverywhere: len(j.failedOn) >= min(minWorkersOfFailingJob, count) && len(j.doneOn) == 0 && len(working) == 0,
		WorksElsewhere:  elsewhere(j.doneOn) || elsewhere(working),
	}
}

// JobView is what a job says of a worker on which it has failed.
type JobView struct {
	FailsEverywhere bool // failures of the job say nothing of the worker
	WorksElsewhere  bool // the job works on another worker
}

// Failure is a run that has failed on a worker.
type Failure struct {
	Task work.TaskName
	// StartedAt is when the run started, and At when it was known to have failed.
	StartedAt, At time.Duration
}

// Worker holds the failures of a worker since the last evidence that it works.
type Worker struct {
	failures []Failure
}

// AddFailure records a failure.
func (w *Worker) AddFailure(f Failure) {
	if len(w.failures) == maxFailures {
		w.failures = append(w.failures[:0], w.failures[1:]...)
	}
	w.failures = append(w.failures, f)
}

// HasFailures reports whether there are failures.
func (w *Worker) HasFailures() bool { return len(w.failures) > 0 }

// lastStart returns the start of the failed run that started last, and the longest time for
// which a failed run worked.
func (w *Worker) lastStart() (last, longest time.Duration) {
	for _, f := range w.failures {
		last, longest = max(last, f.StartedAt), max(longest, f.At-f.StartedAt)
	}
	return last, longest
}

// Done records that a run has ended done. It is evidence that the worker works only if it
// started after the runs that failed.
func (w *Worker) Done(startedAt time.Duration) {
	if last, _ := w.lastStart(); startedAt >= last {
		w.failures = nil
	}
}

// Run is a run on a worker.
type Run struct {
	// StartedAt is when the run began to work; 0 means that it has not yet.
	StartedAt time.Duration
}

// Update drops failures that are too old, and all of them if a run has worked for longer than
// the failed ones, which started before it.
func (w *Worker) Update(runs []Run, now time.Duration) {
	kept := w.failures[:0]
	for _, f := range w.failures {
		if now-f.At < maxFailureAge {
			kept = append(kept, f)
		}
	}
	w.failures = kept
	last, longest := w.lastStart()
	for _, r := range runs {
		if r.StartedAt != 0 && r.StartedAt >= last && now-r.StartedAt >= ProofTime(longest) {
			w.failures = nil
		}
	}
}

// Rest is the state of a worker that rests.
type Rest struct {
	// Probing reports whether a run is trying whether the worker works.
	Probing bool
	lastAt  time.Duration // when the last failure was known
	// pause is the time after lastAt without probes by pressing work, patientPause by other.
	pause, patientPause time.Duration
}

// Open reports whether a task may be started on the worker as a probe; failedHere reports
// whether its job has failed there, pressing whether it must not wait.
func (r *Rest) Open(failedHere, pressing bool, now time.Duration) bool {
	opensAt := r.lastAt + r.patientPause
	if pressing {
		opensAt = r.lastAt + r.pause
	}
	if failedHere {
		opensAt += secondChanceDelay
	}
	return !r.Probing && now >= opensAt
}

// Rest returns how the worker rests, or nil if it does not. view returns what the job with the
// given id says of it.
func (w *Worker) Rest(runs []Run, now time.Duration, view func(job string) JobView) *Rest {
	jobs, failures := map[string]map[work.TaskName]bool{}, 0
	var lastAt time.Duration
	enough := false
	for _, f := range w.failures {
		v := view(f.Task.Job)
		if v.FailsEverywhere {
			continue
		}
		if jobs[f.Task.Job] == nil {
			jobs[f.Task.Job] = map[work.TaskName]bool{}
		}
		jobs[f.Task.Job][f.Task] = true
		enough = enough || (v.WorksElsewhere && len(jobs[f.Task.Job]) >= minEvidence)
		failures, lastAt = failures+1, max(lastAt, f.At)
	}
	if !enough && len(jobs) < minEvidence {
		return nil
	}
	pause := minPause
	for range failures - minEvidence {
		pause = min(2*pause, maxPatientPause)
	}
	return &Rest{Probing: w.probing(runs, now), lastAt: lastAt, pause: min(pause, maxPause), patientPause: min(patience*pause, maxPatientPause)}
}

// probing reports whether one of the runs has started after the failed ones and has not
// worked for as long as them yet.
func (w *Worker) probing(runs []Run, now time.Duration) bool {
	last, longest := w.lastStart()
	for _, r := range runs {
		if r.StartedAt == 0 || (r.StartedAt >= last && now-r.StartedAt < min(ProofTime(longest), maxProbeTime)) {
			return true
		}
	}
	return false
}
