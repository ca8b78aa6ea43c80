package scheduler

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/blame"
	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// lossRetention is how long losses of workers are kept to compare their times with those of
// crashes, which are known once the worker has restarted.
const lossRetention = time.Minute

// recordLoss records that a worker with runs does not answer any more. Workers that have not
// answered in this term were lost at an unknown time.
func (t *term) recordLoss(w *worker, at time.Duration) {
	w.lostAt, w.lostInUpkeep = at, w.inUpkeep
	if w.reached && len(w.runs) > 0 {
		t.losses = append(t.losses, t.loss(w))
	}
}

// forgetLoss removes the loss of a worker that has answered again, and those that are too old.
func (t *term) forgetLoss(w *worker) {
	now := t.Now()
	t.losses = slices.DeleteFunc(t.losses, func(l blame.Loss) bool { return l.Worker == w.key || now-l.At > lossRetention })
}

func (t *term) loss(w *worker) blame.Loss {
	l := blame.Loss{Worker: w.key, At: w.crashTime()}
	for _, r := range w.runs {
		l.Fresh = l.Fresh || w.evidence(r).Fresh()
	}
	return l
}

// crashTime returns the estimated time of the worker's crash: the first failed poll, because
// the connection of a pending poll breaks with the worker. A worker that has missed no poll
// crashed after the last answered one was sent.
func (w *worker) crashTime() time.Duration {
	if w.missedPolls > 0 {
		return w.lostAt
	}
	return w.answeredAt
}

// evidence returns what is known of a run on a worker that has crashed. Without a missed poll
// the crash was later than crashTime, and an inherited run had started before this term saw
// it: both only give a lower bound of the age.
func (w *worker) evidence(r *run) blame.Run {
	e := blame.Run{Age: w.crashTime() - r.startedAt}
	e.AgeKnown = r.startedAt != 0 && (e.Age >= blame.FreshAge || (w.missedPolls > 0 && !r.inherited))
	e.Unanswered = w.leftUnanswered(r)
	if r.job != nil {
		e.Job, e.LongRunning = r.job.ID, r.step().LongRunning
	}
	if task := r.currentTask(); task != nil {
		e.Crashes, e.FreshCrashes = task.Crashes, task.FreshCrashes
	}
	return e
}

// leftUnanswered reports whether the worker has answered neither the run's start nor any poll
// that was sent after it.
func (w *worker) leftUnanswered(r *run) bool {
	return r.startSentAt != 0 && r.startedAt == 0 && !r.reported && w.answeredAt <= r.startSentAt
}

// handleCrash counts the crash of a worker for the tasks that may have caused it, and fails
// jobs whose tasks crash the workers that start them. A crash is known once the worker's next
// incarnation, or another worker at its address, responds: a worker that is only silent is
// not counted.
func (t *term) handleCrash(w *worker) {
	if w.crashHandled || (!w.reached && len(w.runs) == 0) {
		return // it may never have existed
	}
	w.crashHandled = true
	runs := slices.DeleteFunc(w.sortedRuns(), func(r *run) bool { return r.phase == runPlanned })
	shared := w.reached && blame.SharedLoss(t.loss(w), t.losses)
	t.metrics.workerCrashes.Inc(1)
	t.log.Warn("worker has crashed", zap.String("worker", w.key), zap.Int("runs", len(runs)), zap.Bool("others_lost", shared))
	evidence := make([]blame.Run, len(runs))
	for i, r := range runs {
		evidence[i] = w.evidence(r)
	}
	verdicts := blame.Judge(evidence, shared)
	for i, r := range runs {
		t.log.Warn("a run was on a worker that crashed", zap.Stringer("run", r.name), zap.String("worker", w.key),
			zap.Duration("age", evidence[i].Age), zap.Bool("age_known", evidence[i].AgeKnown), zap.Int("crashes", evidence[i].Crashes),
			zap.Bool("counted", verdicts[i].Counted))
		if verdicts[i].Counted {
			t.countCrash(r, evidence[i].CountsAsFresh(), verdicts[i].GiveUp)
		}
	}
}

// countCrash counts a crash for the run's task.
func (t *term) countCrash(r *run, fresh, giveUp bool) {
	task := r.currentTask()
	if task == nil {
		return
	}
	task.Crashes++
	if fresh {
		task.FreshCrashes++
	}
	task.Suspect = true
	t.suspects[r.job] = true
	t.markDirty(r.job)
	if giveUp {
		t.metrics.crashFailures.Inc(1)
		t.finish(r.job, work.Failed, "workers crash when they start one of its tasks")
	}
}

// clearSuspicion notes that the run has worked on its worker for long enough to show that its
// task does not crash workers.
func (t *term) clearSuspicion(r *run, now time.Duration) {
	if task := r.currentTask(); task != nil && r.proven(now) {
		task.Suspect, task.FreshCrashes = false, 0
	}
}

// proven reports whether the run has worked for longer than a run that crashes its worker.
func (r *run) proven(now time.Duration) bool {
	return r.phase == runStarted && now-r.startedAt >= blame.FreshAge
}

// hasSuspects reports whether one of the step's tasks is a suspect.
func (j *job) hasSuspects(step int) bool {
	return slices.ContainsFunc(j.state.Steps[step].Tasks, func(task work.TaskState) bool { return task.Suspect })
}
