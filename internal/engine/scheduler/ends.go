package scheduler

import (
	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

// over takes a run off its worker and moves its task on. It must be called once it is
// certain that the run does not work any more.
func (t *term) over(r *run, how workers.Ending, checkpoint string) {
	t.replan = true
	r.worker.removeRun(r)
	if r.giveUp != nil {
		r.giveUp()
	}
	t.metrics.endings[how].Inc(1)
	t.log.Info("run over", zap.Stringer("run", r.name), zap.String("worker", r.worker.key), zap.Stringer("how", how),
		zap.Duration("after", t.Now()-r.startedAt), zap.Float64("percent", r.percent), zap.Float64("speed", r.pace.last))
	if checkpoint == "" {
		checkpoint = r.checkpoint
	}
	t.judge(r.worker, how)
	if how == workers.EndedFailed && r.job != nil {
		r.job.avoid[r.worker.key] = true
	}
	task := r.task()
	if task == nil {
		return
	}
	if checkpoint != "" && r.step().SavesProgress {
		task.Checkpoint = checkpoint
	}
	t.touch(r.job)
	switch {
	case r.step().LongRunning:
		task.Phase = work.Waiting // it is started again however it ended
	case how == workers.EndedDone && r.step().Gang:
		t.gangDone(r)
	case how == workers.EndedDone:
		task.Phase = work.Done
	case r.step().Gang:
		t.gangBroken(r, task, how)
	default:
		task.Phase = work.Waiting
		if how == workers.EndedFailed {
			task.Failures++
			t.failed(r.job, task.Failures)
		}
	}
	if !r.job.state.Status.Ended() && r.job.state.AllDone() {
		t.finish(r.job, work.Completed, "all tasks are done")
	}
}

// gangDone ends a gang: one member that is done stands for all.
func (t *term) gangDone(r *run) {
	tasks := r.stepState().Tasks
	for i := range tasks {
		tasks[i].Phase = work.Done
	}
}

// gangBroken puts a member back and stops the others. The gang starts again once all
// members are known to be over.
func (t *term) gangBroken(r *run, task *work.Task, how workers.Ending) {
	step := r.stepState()
	task.Phase = work.Waiting
	if r.checkpoint != "" && r.step().SavesProgress {
		step.Checkpoint = task.Checkpoint
	}
	if how == workers.EndedFailed {
		step.Failures++
	}
	t.stopGang(r)
	if how == workers.EndedFailed {
		t.failed(r.job, step.Failures)
	}
}

// stopGang stops the members of the run's gang.
func (t *term) stopGang(r *run) {
	for other := range r.job.runs {
		if other.together(r) {
			t.askStop(other)
		}
	}
}

// failed ends a job whose task or gang has failed too often.
func (t *term) failed(j *job, failures int) {
	if failures >= j.MaxAttempts && !j.state.Status.Ended() {
		t.finish(j, work.Failed, "a task has failed as often as it may")
	}
}

const (
	// restAfter is how many failures in a row send a worker to rest.
	restAfter = 2
	// restTime is its first rest; it doubles with each further failure.
	restTime    = 2e9 // 2 s, in nanoseconds
	restMost    = 30e9
	maxDoubling = 4
)

// judge counts failures of a worker: one that fails everything that it starts gets
// nothing new for a while.
func (t *term) judge(w *worker, how workers.Ending) {
	switch how {
	case workers.EndedDone:
		w.failures = 0
	case workers.EndedFailed:
		w.failures++
		if w.failures >= restAfter {
			t.rest(w, "its runs fail")
		}
	}
}
