package shard

import (
	"context"
	"fmt"
	"time"

	"github.com/daisyfold/daisyfold/internal/jobs"
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/model"
)

// withdrawal says why and how an attempt ends before the job is finished.
type withdrawal struct {
	cause      cause
	reason     string
	checkpoint bool
	taskFailed bool
	// neverStarted is set when no member was told to start.
	neverStarted bool
}

// withdraw ends an attempt: it stops every member, waits until none can run any
// more, and records the end. Only then may the next attempt be placed.
func (s *Shard) withdraw(ctx context.Context, e *jobs.Entry, w withdrawal) {
	p := e.Job.Placement
	k := attemptKey{job: p.Job, attempt: p.Attempt}
	result := s.stopMembers(ctx, k, placementWorkers(p), w.checkpoint)
	for len(result.failed) > 0 && !w.neverStarted {
		left := s.stillPossible(result.failed, p)
		if len(left) == 0 {
			break
		}
		sleep(ctx, retryMax)
		if ctx.Err() != nil {
			return
		}
		more := s.stopMembers(ctx, k, left, false)
		result.failed = more.failed
		result.finished += more.finished
	}
	if result.finished == len(p.Members) {
		return // the whole gang finished before the stops reached it
	}
	s.recordWithdrawn(ctx, e, w, result.servedMS)
}

// stillPossible returns the workers on which a member may still run: those whose
// leases have not certainly ended.
func (s *Shard) stillPossible(failed map[model.WorkerID]error, p *model.Placement) []model.WorkerID {
	now := s.Now()
	var left []model.WorkerID
	for id := range failed {
		if now.Before(s.leaseEnd(id, p)) {
			left = append(left, id)
		}
	}
	return left
}

// leaseEnd returns when the leases that this host or its predecessor may have
// extended on a worker have certainly ended.
func (s *Shard) leaseEnd(id model.WorkerID, _ *model.Placement) time.Time {
	last := s.began
	if l := s.link(id); l != nil {
		if v := l.view(); v.renewEnd.After(last) {
			last = v.renewEnd
		}
	}
	return last.Add(leaseTTL + clockMargin)
}

func (s *Shard) recordWithdrawn(ctx context.Context, e *jobs.Entry, w withdrawal, served int64) {
	p := e.Job.Placement
	body := journal.JobWithdrawn{
		Job: p.Job, Attempt: p.Attempt, Reason: w.reason,
		SavedRunMS: served, TaskFailed: w.taskFailed,
	}
	switch {
	case e.Job.Spec.NonRepeatable && !w.neverStarted:
		body.Final = true
		body.Reason = "the job may have run and must not run again: " + w.reason
	case w.taskFailed && e.FailedAttempts+1 >= maxTaskFailures:
		body.Final = true
		body.Reason = fmt.Sprintf("%d attempts failed: %s", e.FailedAttempts+1, w.reason)
	}
	id := fmt.Sprintf("withdraw/%s/%d", p.Job, p.Attempt)
	for ctx.Err() == nil {
		if s.write(ctx, journal.KindJobWithdrawn, id, body) == nil {
			break
		}
		if cur := s.Jobs.Get(p.Job); cur == nil || !current(cur, p.Attempt) {
			break
		}
		sleep(ctx, retryMax)
	}
	for _, id := range placementWorkers(p) {
		if l := s.link(id); l != nil {
			l.forget(p.Job, p.Attempt)
		}
	}
	s.Metrics.withdrew(w.cause)
	s.event(fmt.Sprintf("attempt %d of job %s was withdrawn: %s", p.Attempt, p.Job, body.Reason))
}
