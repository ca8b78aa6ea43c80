package shard

import (
	"context"
	"fmt"

	"github.com/daisyfold/daisyfold/internal/jobs"
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/workerlink"
)

// reconcile compares the job table with the workers' tasks and starts the operations that
// remove the differences.
func (s *Shard) reconcile(o *observation) {
	if ok, _ := s.canDecide(o); ok {
		for _, e := range s.Jobs.Active(s.id) {
			s.reconcileActive(o, e)
		}
	}
	for k, tasks := range o.tasks {
		e := s.Jobs.Get(k.job)
		if e != nil && isCurrentAttempt(e, k.attempt) {
			continue
		}
		s.reconcileStray(o, k, e, tasks)
	}
}

// isCurrentAttempt reports whether the job is starting or running with the given attempt.
func isCurrentAttempt(e *jobs.Entry, attempt int) bool {
	started := e.Job.State == model.JobStarting || e.Job.State == model.JobRunning
	return started && e.Job.Attempt == attempt
}

// reconcileActive handles an attempt that should run.
func (s *Shard) reconcileActive(o *observation, e *jobs.Entry) {
	key := e.Job.Spec.Key
	status := s.gangStatusOf(o, e.Job.Placement)
	members := len(e.Job.Placement.Members)
	switch {
	case status.finished == members:
		s.launchOp(key, opFinish, func(ctx context.Context) { s.recordFinished(ctx, e, o) })
	case status.failed > 0:
		w := withdrawal{cause: causeTaskFailed, reason: "a task failed: " + status.failureDetail, taskFailed: true}
		tasks := o.tasks[attemptKey{job: key, attempt: e.Job.Attempt}]
		s.launchOp(key, opWithdraw, func(ctx context.Context) {
			s.recordTaskFailures(tasks)
			s.withdraw(ctx, e, w)
		})
	case status.stopped > 0 || status.absent > 0:
		w := withdrawal{cause: causeMemberStopped, reason: "a member stopped"}
		s.launchOp(key, opWithdraw, func(ctx context.Context) { s.withdraw(ctx, e, w) })
	case status.lost > 0:
		w := withdrawal{cause: causeWorkerLost, reason: "a worker was lost"}
		s.launchOp(key, opWithdraw, func(ctx context.Context) { s.withdraw(ctx, e, w) })
	case status.pending > 0:
		// The tasks of a worker that is being acquired are not known yet.
	case e.Job.State == model.JobStarting:
		s.launchOp(key, opConfirm, func(ctx context.Context) { s.confirmLeftoverStart(ctx, e) })
	}
}

// reconcileStray handles tasks of attempts that should not run.
func (s *Shard) reconcileStray(o *observation, k attemptKey, e *jobs.Entry, tasks map[int]workerlink.Task) {
	if e == nil && !s.orphanDue(k) {
		return
	}
	if e != nil && k.attempt > e.Job.Attempt {
		return // its JobPlaced record has not been read yet
	}
	if !o.anyReachable(tasks) {
		s.forgetAttempt(k, tasks)
		return
	}
	s.launchOp(k.job, opStop, func(ctx context.Context) {
		s.stopMembers(ctx, k, workersOfTasks(tasks), false)
		s.forgetAttempt(k, tasks)
	})
}

// orphanDue reports whether tasks of an unknown job have been reported for minOrphanAge and
// may be stopped. Before that the job's records may not have been read from the log yet.
func (s *Shard) orphanDue(k attemptKey) bool {
	if !s.Journal.State().Answering {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	since, seen := s.orphansSince[k]
	if !seen {
		s.orphansSince[k] = s.Now()
		return false
	}
	return s.Now().Sub(since) > minOrphanAge
}

// anyReachable reports whether a task runs on a worker whose lease this host holds.
func (o *observation) anyReachable(tasks map[int]workerlink.Task) bool {
	for _, t := range tasks {
		if t.State == workerlink.TaskRunning && o.views[t.Member.Worker].held {
			return true
		}
	}
	return false
}

// workersOfTasks returns the workers of the tasks, each once and in no order.
func workersOfTasks(tasks map[int]workerlink.Task) []model.WorkerID {
	seen := map[model.WorkerID]bool{}
	var out []model.WorkerID
	for _, t := range tasks {
		if !seen[t.Member.Worker] {
			seen[t.Member.Worker] = true
			out = append(out, t.Member.Worker)
		}
	}
	return out
}

// forgetAttempt removes an ended attempt from the links, which then acknowledge the ends of
// its tasks to the workers.
func (s *Shard) forgetAttempt(k attemptKey, tasks map[int]workerlink.Task) {
	for _, w := range workersOfTasks(tasks) {
		if l := s.link(w); l != nil {
			l.forgetAttempt(k.job, k.attempt)
		}
	}
	s.mu.Lock()
	delete(s.orphansSince, k)
	s.mu.Unlock()
}

// recordFinished records the end of a job after all members of its gang finished.
func (s *Shard) recordFinished(ctx context.Context, e *jobs.Entry, o *observation) {
	key := e.Job.Spec.Key
	k := attemptKey{job: key, attempt: e.Job.Attempt}
	tasks := o.tasks[k]
	runMS := s.Now().UnixMilli() - e.Job.Placement.StartedUnixMS
	body := journal.JobFinished{Job: key, Attempt: k.attempt, Result: tasks[0].Result, RunMS: runMS}
	id := fmt.Sprintf("finish/%s/%d", key, k.attempt)
	if s.writeRecord(ctx, journal.KindJobFinished, id, body) != nil {
		return
	}
	for i := range tasks {
		s.recordStart(tasks[i].Member.Worker, true)
	}
	s.forgetAttempt(k, tasks)
	s.recordRunTime(e, runMS)
}

// confirmLeftoverStart completes a start that another planner left unconfirmed. All members
// of the gang are running.
func (s *Shard) confirmLeftoverStart(ctx context.Context, e *jobs.Entry) {
	p := e.Job.Placement
	if err := s.confirmMembers(ctx, p); err != nil {
		s.withdraw(ctx, e, withdrawal{cause: causeNotConfirmed, reason: "the start could not be confirmed"})
		return
	}
	s.recordRunning(ctx, p)
}

// recordTaskFailures records failed tasks as failed starts of their workers.
func (s *Shard) recordTaskFailures(tasks map[int]workerlink.Task) {
	for _, t := range tasks {
		if t.State == workerlink.TaskFailed {
			s.recordStart(t.Member.Worker, false)
		}
	}
}

func (s *Shard) recordStart(w model.WorkerID, ok bool) {
	if l := s.link(w); l != nil {
		l.recordStart(ok)
	}
}
