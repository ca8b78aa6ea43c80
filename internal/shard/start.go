package shard

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/workerlink"
	"github.com/daisyfold/daisyfold/internal/tracing"
)

// startGang starts a gang: it holds every member, records the placement, checks the evidence,
// starts every member and confirms the gang.
func (s *Shard) startGang(ctx context.Context, p model.Placement) {
	if e := s.Jobs.Get(p.Job); e != nil {
		ctx = tracing.WithTraceparent(ctx, e.TraceParent)
	}
	ctx, span := tracing.StartChild(ctx, tracing.HopPlanner, attribute.Stringer("job", p.Job),
		attribute.Int("attempt", p.Attempt), attribute.Int("members", len(p.Members)))
	defer span.End()
	s.Metrics.startsBegun.Inc(1)
	heldAt := s.Now()
	if failed := s.holdMembers(ctx, &p); len(failed) > 0 {
		s.releaseHolds(ctx, &p)
		s.logPlacement("cannot hold all members of a gang", &p, anyError(failed))
		return
	}
	if !s.recordPlacement(ctx, &p) {
		s.releaseHolds(ctx, &p)
		return
	}
	e := s.Jobs.Get(p.Job)
	if reason, ok := s.recheckStart(ctx, &p, heldAt); !ok {
		s.withdraw(ctx, e, withdrawal{cause: causeNotStarted, reason: reason, neverStarted: true})
		return
	}
	failed := s.startMembers(ctx, &p, &e.Job.Spec, e.Job.SavedRunMS)
	s.recordStartFailures(failed)
	if len(failed) > 0 {
		s.withdraw(ctx, e, withdrawal{
			cause: causeMemberNotStarted, reason: "a member did not start: " + anyError(failed).Error(),
		})
		return
	}
	if err := s.confirmMembers(ctx, &p); err != nil {
		s.withdraw(ctx, e, withdrawal{cause: causeNotConfirmed, reason: "the start could not be confirmed"})
		return
	}
	s.Metrics.startsConfirmed.Inc(1)
	s.recordRunning(ctx, &p)
}

// recordPlacement records the placement and reports whether it took effect. If it cannot be
// recorded, the job is not planned for rejectedJobDelay.
func (s *Shard) recordPlacement(ctx context.Context, p *model.Placement) bool {
	id := s.NewID()
	if err := s.writeRecord(ctx, journal.KindJobPlaced, id, journal.JobPlaced{Placement: *p}); err != nil {
		s.logPlacement("cannot record the placement of a gang", p, err)
		s.rejectJob(p.Job)
		return false
	}
	e := s.Jobs.Get(p.Job)
	return e != nil && isCurrentAttempt(e, p.Attempt) && e.PlacedRecordID == id
}

// recheckStart checks everything that may have changed since the plan was made, and reports
// whether the start may continue, or why not. Holds older than maxHoldAge are renewed before
// the evidence is checked, so that they limit the age of the evidence at the start.
func (s *Shard) recheckStart(ctx context.Context, p *model.Placement, heldAt time.Time) (string, bool) {
	if s.Now().Sub(heldAt) > maxHoldAge {
		if failed := s.holdMembers(ctx, p); len(failed) > 0 {
			return "a hold could not be renewed", false
		}
	}
	if e := s.Jobs.Get(p.Job); e == nil || !isCurrentAttempt(e, p.Attempt) {
		return "the job ended before its start", false
	}
	if ok, reason := s.canStart(); !ok {
		return reason, false
	}
	return "", true
}

// canStart reports whether tasks may start in this zone now, and the evidence or, if not,
// why.
func (s *Shard) canStart() (bool, string) {
	cfg := s.Board.Config.Get()
	if cfg == nil {
		return false, "no configuration"
	}
	z := cfg.Zone(s.Zone)
	if z == nil || !z.InService {
		return false, "the availability zone is out of service"
	}
	return s.Evidence.Check(s.Zone)
}

// recordRunning records that the gang is running. An error is only logged.
func (s *Shard) recordRunning(ctx context.Context, p *model.Placement) {
	id := fmt.Sprintf("running/%s/%d", p.Job, p.Attempt)
	body := journal.JobRunning{Job: p.Job, Attempt: p.Attempt}
	if err := s.writeRecord(ctx, journal.KindJobRunning, id, body); err != nil {
		s.logPlacement("cannot record that a gang is running", p, err)
	}
}

// releaseHolds releases the holds of a start that was given up.
func (s *Shard) releaseHolds(ctx context.Context, p *model.Placement) {
	k := attemptKey{job: p.Job, attempt: p.Attempt}
	s.stopMembers(ctx, k, workersOfPlacement(p), false)
}

// recordStartFailures records a failed start for each worker that reported one.
func (s *Shard) recordStartFailures(failed map[model.WorkerID]error) {
	for id, err := range failed {
		var we *workerlink.Error
		if errors.As(err, &we) && we.Body.Code == workerlink.CodeStartFailed {
			s.recordStart(id, false)
		}
	}
}

// anyError returns one of the errors, or nil if there are none.
func anyError(failed map[model.WorkerID]error) error {
	for _, err := range failed {
		return err
	}
	return nil
}

func (s *Shard) logPlacement(msg string, p *model.Placement, err error) {
	s.Logger.Info(msg, zap.Stringer("job", p.Job), zap.Int("attempt", p.Attempt), zap.Error(err))
}
