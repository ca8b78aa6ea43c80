package scheduler

import (
	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

// endRun removes a run from its worker and updates the state of its task. It must be
// called only when it is certain that the run no longer executes.
func (t *term) endRun(r *run, ending workers.Ending, checkpoint string) {
	t.needsPlanning = true
	r.worker.removeRun(r)
	if r.cancelStart != nil {
		r.cancelStart()
	}
	t.metrics.runEndings[ending].Inc(1)
	t.log.Info("run over", zap.Stringer("run", r.name), zap.String("worker", r.worker.key), zap.Stringer("how", ending),
		zap.Duration("after", t.Now()-r.startedAt), zap.Float64("percent", r.percent), zap.Float64("speed", r.speed.last))
	if checkpoint == "" {
		checkpoint = r.checkpoint
	}
	t.recordOutcome(r, ending)
	task := r.currentTask()
	if task == nil {
		return
	}
	if checkpoint != "" && r.step().SavesProgress {
		task.Checkpoint = checkpoint
	}
	if ending == workers.EndedDone || ending == workers.EndedFailed {
		task.Suspect, task.FreshCrashes = false, 0 // the worker has survived the run
	}
	t.markDirty(r.job)
	switch {
	case r.step().LongRunning:
		task.Phase = work.Waiting // restarted however it ended
	case ending == workers.EndedDone && r.step().Gang:
		t.completeGang(r)
	case ending == workers.EndedDone:
		task.Phase = work.Done
	case r.step().Gang:
		t.abortGang(r, task, ending)
	default:
		task.Phase = work.Waiting
		if ending == workers.EndedFailed {
			task.Failures++
			t.failIfExhausted(r.job, task.Failures)
		}
	}
	if !r.job.state.Status.Ended() && r.job.state.AllDone() {
		t.finish(r.job, work.Completed, "all tasks are done")
	}
}

// completeGang marks all tasks of a gang as done. The gang ends together, so one member
// that is done suffices.
func (t *term) completeGang(r *run) {
	tasks := r.stepState().Tasks
	for i := range tasks {
		tasks[i].Phase = work.Done
	}
}

// abortGang resets the task of a member that has ended early and stops the other members.
// The gang starts again once all its runs have ended.
func (t *term) abortGang(r *run, task *work.TaskState, ending workers.Ending) {
	step := r.stepState()
	task.Phase = work.Waiting
	if r.checkpoint != "" && r.step().SavesProgress {
		step.Checkpoint = task.Checkpoint
	}
	if ending == workers.EndedFailed && r.name.Number > step.FailedRun { // several members may fail in a run
		step.Failures, step.FailedRun = step.Failures+1, r.name.Number
	}
	t.stopGang(r)
	if ending == workers.EndedFailed {
		t.failIfExhausted(r.job, step.Failures)
	}
}

// stopGang stops all members of the run's gang.
func (t *term) stopGang(r *run) {
	for other := range r.job.runs {
		if other.sameGang(r) {
			t.requestStop(other)
		}
	}
}

// failIfExhausted ends a job when one of its tasks or gangs has failed MaxAttempts times.
func (t *term) failIfExhausted(j *job, failures int) {
	if failures >= j.MaxAttempts && !j.state.Status.Ended() {
		t.finish(j, work.Failed, "a task has failed as often as it may")
	}
}
