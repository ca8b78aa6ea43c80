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

// startGang carries out one start: hold every member, record the decision, check
// the evidence, start every member, confirm.
func (s *Shard) startGang(ctx context.Context, p model.Placement) {
	if e := s.Jobs.Get(p.Job); e != nil {
		ctx = tracing.WithTraceparent(ctx, e.TraceParent)
	}
	ctx, span := tracing.StartChild(ctx, tracing.HopPlanner, attribute.Stringer("job", p.Job),
		attribute.Int("attempt", p.Attempt), attribute.Int("members", len(p.Members)))
	defer span.End()
	s.Metrics.begun.Inc(1)
	held := s.Now()
	if failed := s.hold(ctx, &p); len(failed) > 0 {
		s.dropHolds(ctx, &p)
		s.log("hold refused", &p, first(failed))
		return
	}
	if !s.place(ctx, &p) {
		s.dropHolds(ctx, &p)
		return
	}
	e := s.Jobs.Get(p.Job)
	if why, ok := s.startMayGoOn(ctx, &p, held); !ok {
		s.withdraw(ctx, e, withdrawal{cause: causeNotStarted, reason: why, neverStarted: true})
		return
	}
	failed := s.startMembers(ctx, &p, &e.Job.Spec, e.Job.SavedRunMS)
	s.noteStartFailures(failed)
	if len(failed) > 0 {
		s.withdraw(ctx, e, withdrawal{
			cause: causeMemberNotStarted, reason: "a member did not start: " + first(failed).Error(),
		})
		return
	}
	if err := s.confirm(ctx, &p); err != nil {
		s.withdraw(ctx, e, withdrawal{cause: causeNotConfirmed, reason: "the start could not be confirmed"})
		return
	}
	s.Metrics.done.Inc(1)
	s.recordRunning(ctx, &p)
}

// place records the decision and reports whether it is the one that counts.
func (s *Shard) place(ctx context.Context, p *model.Placement) bool {
	id := s.NewID()
	if err := s.write(ctx, journal.KindJobPlaced, id, journal.JobPlaced{Placement: *p}); err != nil {
		s.log("placement not recorded", p, err)
		s.refuse(p.Job)
		return false
	}
	e := s.Jobs.Get(p.Job)
	return e != nil && current(e, p.Attempt) && e.PlacedRecordID == id
}

// startMayGoOn checks everything that may have changed since the plan was made.
// Holds that are no longer fresh are renewed before the evidence is read, so that
// the evidence is never older than the holds allow.
func (s *Shard) startMayGoOn(ctx context.Context, p *model.Placement, held time.Time) (string, bool) {
	if s.Now().Sub(held) > rehold {
		if failed := s.hold(ctx, p); len(failed) > 0 {
			return "a hold lapsed", false
		}
	}
	if e := s.Jobs.Get(p.Job); e == nil || !current(e, p.Attempt) {
		return "the job ended before its start", false
	}
	if ok, why := s.mayStart(); !ok {
		return why, false
	}
	return "", true
}

// mayStart reports whether tasks may start in this zone now.
func (s *Shard) mayStart() (bool, string) {
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

func (s *Shard) recordRunning(ctx context.Context, p *model.Placement) {
	id := fmt.Sprintf("running/%s/%d", p.Job, p.Attempt)
	body := journal.JobRunning{Job: p.Job, Attempt: p.Attempt}
	if err := s.write(ctx, journal.KindJobRunning, id, body); err != nil {
		s.log("running state not recorded", p, err)
	}
}

// dropHolds releases the holds of a start that will not happen.
func (s *Shard) dropHolds(ctx context.Context, p *model.Placement) {
	k := attemptKey{job: p.Job, attempt: p.Attempt}
	s.stopMembers(ctx, k, placementWorkers(p), false)
}

// noteStartFailures counts refused starts against the workers that refused them.
func (s *Shard) noteStartFailures(failed map[model.WorkerID]error) {
	for id, err := range failed {
		var we *workerlink.Error
		if errors.As(err, &we) && we.Body.Code == workerlink.CodeStartFailed {
			s.noteStart(id, false)
		}
	}
}

func first(failed map[model.WorkerID]error) error {
	for _, err := range failed {
		return err
	}
	return nil
}

func (s *Shard) log(msg string, p *model.Placement, err error) {
	s.Logger.Info(msg, zap.Stringer("job", p.Job), zap.Int("attempt", p.Attempt), zap.Error(err))
}
