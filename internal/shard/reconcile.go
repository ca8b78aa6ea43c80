package shard

import (
	"context"
	"fmt"

	"github.com/daisyfold/daisyfold/internal/jobs"
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/workerlink"
)

// reconcile compares the jobs table with the workers' tasks and starts the
// operations that bring them together.
func (s *Shard) reconcile(o *observation) {
	if ok, _ := s.mayDecide(o); ok {
		for _, e := range s.Jobs.Active(s.id) {
			s.reconcileActive(o, e)
		}
	}
	for k, tasks := range o.tasks {
		e := s.Jobs.Get(k.job)
		if e != nil && current(e, k.attempt) {
			continue
		}
		s.reconcileStray(o, k, e, tasks)
	}
}

// current reports whether attempt is the job's running one.
func current(e *jobs.Entry, attempt int) bool {
	started := e.Job.State == model.JobStarting || e.Job.State == model.JobRunning
	return started && e.Job.Attempt == attempt
}

// reconcileActive handles an attempt that should run.
func (s *Shard) reconcileActive(o *observation, e *jobs.Entry) {
	key := e.Job.Spec.Key
	g := s.summarise(o, e.Job.Placement)
	members := len(e.Job.Placement.Members)
	switch {
	case g.finished == members:
		s.launch(key, opFinish, func(ctx context.Context) { s.finish(ctx, e, o) })
	case g.failed > 0:
		w := withdrawal{cause: causeTaskFailed, reason: "a task failed: " + g.detail, taskFailed: true}
		tasks := o.tasks[attemptKey{job: key, attempt: e.Job.Attempt}]
		s.launch(key, opWithdraw, func(ctx context.Context) {
			s.noteTaskFailures(tasks)
			s.withdraw(ctx, e, w)
		})
	case g.ended > 0 || g.absent > 0:
		w := withdrawal{cause: causeMemberStopped, reason: "a member stopped"}
		s.launch(key, opWithdraw, func(ctx context.Context) { s.withdraw(ctx, e, w) })
	case g.lost > 0:
		w := withdrawal{cause: causeWorkerLost, reason: "a worker was lost"}
		s.launch(key, opWithdraw, func(ctx context.Context) { s.withdraw(ctx, e, w) })
	case g.pending > 0:
		// The tasks of a worker that is being acquired are not known yet.
	case e.Job.State == model.JobStarting:
		s.launch(key, opConfirm, func(ctx context.Context) { s.confirmFound(ctx, e) })
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
		s.forget(k, tasks)
		return
	}
	s.launch(k.job, opStop, func(ctx context.Context) {
		s.stopMembers(ctx, k, workersOf(tasks), false)
		s.forget(k, tasks)
	})
}

// orphanDue reports whether tasks of an unknown job have been seen long enough to
// be stopped. Its records may still be on their way from the log.
func (s *Shard) orphanDue(k attemptKey) bool {
	if !s.Journal.State().Answering {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	since, seen := s.orphans[k]
	if !seen {
		s.orphans[k] = s.Now()
		return false
	}
	return s.Now().Sub(since) > orphanAge
}

// anyReachable reports whether a task runs on a worker that this host holds.
func (o *observation) anyReachable(tasks map[int]workerlink.Task) bool {
	for _, t := range tasks {
		if t.State == workerlink.TaskRunning && o.views[t.Member.Worker].held {
			return true
		}
	}
	return false
}

func workersOf(tasks map[int]workerlink.Task) []model.WorkerID {
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

// forget lets the workers drop the final tasks of an attempt.
func (s *Shard) forget(k attemptKey, tasks map[int]workerlink.Task) {
	for _, w := range workersOf(tasks) {
		if l := s.link(w); l != nil {
			l.forget(k.job, k.attempt)
		}
	}
	s.mu.Lock()
	delete(s.orphans, k)
	s.mu.Unlock()
}

// finish records the end of a job whose every member finished.
func (s *Shard) finish(ctx context.Context, e *jobs.Entry, o *observation) {
	key := e.Job.Spec.Key
	k := attemptKey{job: key, attempt: e.Job.Attempt}
	tasks := o.tasks[k]
	run := s.Now().UnixMilli() - e.Job.Placement.StartedUnixMS
	body := journal.JobFinished{Job: key, Attempt: k.attempt, Result: tasks[0].Result, RunMS: run}
	id := fmt.Sprintf("finish/%s/%d", key, k.attempt)
	if s.write(ctx, journal.KindJobFinished, id, body) != nil {
		return
	}
	for i := range tasks {
		s.noteStart(tasks[i].Member.Worker, true)
	}
	s.forget(k, tasks)
	s.observeRun(e, run)
}

// confirmFound completes a start that another planner left behind: every member
// runs, so the gang is whole.
func (s *Shard) confirmFound(ctx context.Context, e *jobs.Entry) {
	p := e.Job.Placement
	if err := s.confirm(ctx, p); err != nil {
		s.withdraw(ctx, e, withdrawal{cause: causeNotConfirmed, reason: "the start could not be confirmed"})
		return
	}
	s.recordRunning(ctx, p)
}

// noteTaskFailures counts failed tasks against their workers.
func (s *Shard) noteTaskFailures(tasks map[int]workerlink.Task) {
	for _, t := range tasks {
		if t.State == workerlink.TaskFailed {
			s.noteStart(t.Member.Worker, false)
		}
	}
}

func (s *Shard) noteStart(w model.WorkerID, ok bool) {
	if l := s.link(w); l != nil {
		l.noteStart(ok)
	}
}
