package shard

import (
	"context"
	"fmt"
	"time"

	"github.com/daisyfold/daisyfold/internal/jobs"
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/model"
)

// withdrawal describes why and how an attempt ends before the job is finished.
type withdrawal struct {
	cause      withdrawalCause
	reason     string
	checkpoint bool // whether the members save a checkpoint before they stop
	taskFailed bool // whether the attempt counts as failed
	// neverStarted is set if no start call was sent to any member.
	neverStarted bool
}

// withdraw ends an attempt: it stops every member, waits until none of them can still run,
// and records the end. The next attempt may be placed only after that.
func (s *Shard) withdraw(ctx context.Context, e *jobs.Entry, w withdrawal) {
	p := e.Job.Placement
	k := attemptKey{job: p.Job, attempt: p.Attempt}
	result := s.stopMembers(ctx, k, workersOfPlacement(p), w.checkpoint)
	for len(result.failed) > 0 && !w.neverStarted {
		remaining := s.possiblyRunning(result.failed, p)
		if len(remaining) == 0 {
			break
		}
		sleep(ctx, maxRetryDelay)
		if ctx.Err() != nil {
			return
		}
		retried := s.stopMembers(ctx, k, remaining, false)
		result.failed = retried.failed
		result.finished += retried.finished
	}
	if result.finished == len(p.Members) {
		return // the whole gang finished before the stops reached it
	}
	s.recordWithdrawn(ctx, e, w, result.savedRunMS)
}

// possiblyRunning returns the failed workers on which a member may still run, because its
// lease may not have ended.
func (s *Shard) possiblyRunning(failed map[model.WorkerID]error, p *model.Placement) []model.WorkerID {
	now := s.Now()
	var workers []model.WorkerID
	for id := range failed {
		if now.Before(s.leaseEnd(id, p)) {
			workers = append(workers, id)
		}
	}
	return workers
}

// leaseEnd returns the time after which no lease on a worker that this host or its
// predecessor extended can still be valid.
func (s *Shard) leaseEnd(id model.WorkerID, _ *model.Placement) time.Time {
	lastRenewal := s.startedAt
	if l := s.link(id); l != nil {
		if v := l.view(); v.lastRenewalEnd.After(lastRenewal) {
			lastRenewal = v.lastRenewalEnd
		}
	}
	return lastRenewal.Add(leaseTTL + leaseEndMargin)
}

// recordWithdrawn records the end of an attempt and retries until the record is written or
// the attempt is no longer the current one. savedRunMS is the checkpointed run time in
// milliseconds.
func (s *Shard) recordWithdrawn(ctx context.Context, e *jobs.Entry, w withdrawal, savedRunMS int64) {
	p := e.Job.Placement
	body := journal.JobWithdrawn{
		Job: p.Job, Attempt: p.Attempt, Reason: w.reason,
		SavedRunMS: savedRunMS, TaskFailed: w.taskFailed,
	}
	switch {
	case e.Job.Spec.NonRepeatable && !w.neverStarted:
		body.Final = true
		body.Reason = "the job may have run and must not run again: " + w.reason
	case w.taskFailed && e.FailedAttempts+1 >= maxFailedAttempts:
		body.Final = true
		body.Reason = fmt.Sprintf("%d attempts failed: %s", e.FailedAttempts+1, w.reason)
	}
	id := fmt.Sprintf("withdraw/%s/%d", p.Job, p.Attempt)
	for ctx.Err() == nil {
		if s.writeRecord(ctx, journal.KindJobWithdrawn, id, body) == nil {
			break
		}
		if entry := s.Jobs.Get(p.Job); entry == nil || !isCurrentAttempt(entry, p.Attempt) {
			break
		}
		sleep(ctx, maxRetryDelay)
	}
	for _, id := range workersOfPlacement(p) {
		if l := s.link(id); l != nil {
			l.forgetAttempt(p.Job, p.Attempt)
		}
	}
	s.Metrics.countWithdrawal(w.cause)
	s.addEvent(fmt.Sprintf("attempt %d of job %s was withdrawn: %s", p.Attempt, p.Job, body.Reason))
}
