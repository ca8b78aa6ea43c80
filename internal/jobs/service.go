package jobs

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/tracing"
)

// copiesWanted is how many other hosts must hold a job that was accepted while the
// log is down: the job then survives the loss of any two of the three holders.
const copiesWanted = 2

// Durability says what an acceptance rests on.
type Durability string

// Durabilities of an accepted job.
const (
	DurableLog   Durability = "log"
	DurablePeers Durability = "peers"
)

// Copier stores records on other hosts while the log is down. stored is the number
// of hosts that hold all of them.
type Copier interface {
	CopyToPeers(ctx context.Context, records []journal.StreamRecord, want int) (stored int)
	// CopyToHost stores records on one host and reports whether it did.
	CopyToHost(ctx context.Context, host model.HostID, records []journal.StreamRecord) bool
}

// Keeper appends this host's own records in order once the log returns.
type Keeper interface {
	AppendLater(records []journal.StreamRecord) bool
}

// Relay appends records through peers that reach the log although this host does
// not.
type Relay interface {
	HasRelay() bool
	Relay(ctx context.Context, r journal.StreamRecord) (won bool, err error)
}

// Options configure a Service.
type Options struct {
	Host    model.HostID
	Zone    model.Zone
	Board   *blackboard.Board
	Journal journal.Journal
	Table   *Table
	Copier  Copier
	// Owner returns the host that plans a shard.
	Owner  func(model.ShardID) (model.HostID, bool)
	Keeper Keeper
	Relay  Relay
	NewID  func() string
	Now    func() time.Time
	// Retention is how long the log keeps records.
	Retention time.Duration
	Logger    *zap.Logger
}

// Service accepts, cancels and finds jobs.
type Service struct {
	Options
	limits limits
}

// NewService returns a service over a table that the journal feeds.
func NewService(o Options) *Service { return &Service{Options: o} }

// Accepted is the answer to a submission.
type Accepted struct {
	ID         model.JobID
	Durability Durability
	State      model.JobState
}

// Submit accepts a job. A second submission of the same job under the same id
// returns the first one's answer. Errors are *apierror.Error.
func (s *Service) Submit(ctx context.Context, spec model.JobSpec) (Accepted, error) {
	if spec.Key.ID == "" {
		spec.Key.ID = model.JobID(s.NewID())
	}
	if a, known, err := s.known(spec); known {
		return a, err
	}
	if err := s.check(&spec); err != nil {
		return Accepted{}, err
	}
	home, err := s.chooseHome(&spec)
	if err != nil {
		return Accepted{}, err
	}
	now := s.Now()
	body := journal.JobAccepted{Spec: spec, Home: home, UnixMS: now.UnixMilli()}
	// The id follows from the job, so hosts that accept the same job at the same
	// time write one acceptance as far as readers are concerned.
	id := "accept/" + spec.Key.String() + "/" + Digest(spec)
	rec, rerr := journal.NewRecord(journal.KindJobAccepted, s.Host, id, now, body)
	if rerr != nil {
		return Accepted{}, apierror.NotRun(apierror.CodeBadInput, "job cannot be encoded: %v", rerr)
	}
	rec.Trace = tracing.Carry(ctx)
	return s.record(ctx, home, spec, rec)
}

// known looks a submission up among the jobs accepted before.
func (s *Service) known(spec model.JobSpec) (Accepted, bool, error) {
	e := s.Table.Get(spec.Key)
	if e == nil {
		return Accepted{}, false, nil
	}
	if e.Digest != Digest(spec) {
		return Accepted{}, true, apierror.NotRun(apierror.CodeIDReused,
			"job %s was submitted before with other content", spec.Key)
	}
	return Accepted{ID: spec.Key.ID, Durability: DurableLog, State: e.Job.State}, true, nil
}

// check refuses jobs that the configuration or the hardware rules out.
func (s *Service) check(spec *model.JobSpec) error {
	cfg := s.Board.Config.Get()
	list := s.Board.Hosts.Get()
	if cfg == nil || list == nil {
		return apierror.NotRun(apierror.CodeNoConfig, "this host has no configuration yet")
	}
	svc := cfg.Service(spec.Service)
	if svc == nil {
		return apierror.NotRun(apierror.CodeBadInput, "service %q does not exist", spec.Service)
	}
	if svc.MaxTasks > 0 && spec.Tasks > svc.MaxTasks {
		return apierror.NotRun(apierror.CodeImpossible,
			"the job has %d tasks; service %q allows %d", spec.Tasks, spec.Service, svc.MaxTasks)
	}
	if spec.Zone != "" && cfg.Zone(spec.Zone) == nil {
		return apierror.NotRun(apierror.CodeBadInput, "availability zone %q does not exist", spec.Zone)
	}
	if err := s.checkQuota(spec); err != nil {
		return err
	}
	if err := s.limits.check(spec, list); err != nil {
		return apierror.NotRun(apierror.CodeImpossible, "the job can never run: %v", err)
	}
	return nil
}

func (s *Service) checkQuota(spec *model.JobSpec) error {
	for _, o := range s.Board.Config.Get().Parsed.Organisations {
		if o.Name != spec.Key.Organisation {
			continue
		}
		if o.QuotaAccelerators > 0 && spec.Accelerators() > o.QuotaAccelerators {
			return apierror.NotRun(apierror.CodeImpossible,
				"the job needs %d accelerators; the quota of %q is %d",
				spec.Accelerators(), o.Name, o.QuotaAccelerators)
		}
		if o.QuotaWaitingJobs > 0 && s.Table.WaitingOf(o.Name) >= o.QuotaWaitingJobs {
			return apierror.NotRun(apierror.CodeQuota,
				"%q has %d waiting jobs, which is its quota", o.Name, o.QuotaWaitingJobs)
		}
		return nil
	}
	return apierror.NotRun(apierror.CodeBadInput, "organisation %q does not exist", spec.Key.Organisation)
}

// record makes the acceptance durable in the log or, while it is down, on peers.
func (s *Service) record(ctx context.Context, home model.ShardID, spec model.JobSpec, rec journal.Record) (Accepted, error) {
	if s.Journal.State().Answering {
		_, err := s.Journal.Append(ctx, journal.StreamJobs, rec)
		if err == nil {
			return s.acceptedAnswer(spec)
		}
		s.Logger.Warn("append of an acceptance failed", zap.Error(err))
	}
	if s.Relay.HasRelay() {
		return s.acceptByRelay(ctx, spec, rec)
	}
	return s.acceptOnPeers(ctx, home, spec, rec)
}

// acceptByRelay appends the acceptance through a peer.
func (s *Service) acceptByRelay(ctx context.Context, spec model.JobSpec, rec journal.Record) (Accepted, error) {
	won, err := s.Relay.Relay(ctx, journal.StreamRecord{Stream: journal.StreamJobs, Record: rec})
	if err != nil {
		return Accepted{}, apierror.Unknown(apierror.CodeLogUnavailable,
			"the job may be accepted later: %v; repeat with the same id", err)
	}
	if !won {
		return Accepted{}, apierror.NotRun(apierror.CodeIDReused,
			"job %s was submitted before with other content", spec.Key)
	}
	s.Table.ApplyProvisional(rec)
	return Accepted{ID: spec.Key.ID, Durability: DurableLog, State: model.JobWaiting}, nil
}

func (s *Service) acceptedAnswer(spec model.JobSpec) (Accepted, error) {
	a, known, err := s.known(spec)
	if !known {
		return Accepted{}, apierror.Unknown(apierror.CodeInternal, "the recorded job is not in the table")
	}
	return a, err
}

// acceptOnPeers copies the acceptance to other hosts. The record may also be in
// the log already; readers ignore the second by its id.
func (s *Service) acceptOnPeers(ctx context.Context, home model.ShardID, spec model.JobSpec, rec journal.Record) (Accepted, error) {
	records := []journal.StreamRecord{{Stream: journal.StreamJobs, Record: rec}}
	stored := s.Copier.CopyToPeers(ctx, records, copiesWanted)
	if stored < copiesWanted {
		return Accepted{}, apierror.Unknown(apierror.CodeLogUnavailable,
			"the log is unavailable and only %d of %d copies were stored; repeat with the same id",
			stored, copiesWanted)
	}
	s.Keeper.AppendLater(records)
	// The planner of the home needs the job too, or it would wait for the log.
	if owner, ok := s.Owner(home); ok && owner != s.Host {
		s.Copier.CopyToHost(ctx, owner, records)
	}
	s.Table.ApplyProvisional(rec)
	return Accepted{ID: spec.Key.ID, Durability: DurablePeers, State: model.JobWaiting}, nil
}

// Cancel ends a job. A job that is final already is returned as it is.
func (s *Service) Cancel(ctx context.Context, key model.JobKey, by string) (model.Job, error) {
	e := s.Table.Get(key)
	if e == nil {
		return model.Job{}, apierror.NotRun(apierror.CodeNotFound, "job %s does not exist", key)
	}
	if e.Job.State.Final() {
		return e.Job, nil
	}
	body := journal.JobCancelled{Job: key, By: by}
	rec, err := journal.NewRecord(journal.KindJobCancelled, s.Host, "cancel/"+key.String(), s.Now(), body)
	if err != nil {
		return model.Job{}, apierror.NotRun(apierror.CodeInternal, "cancellation cannot be encoded: %v", err)
	}
	if err := s.append(ctx, rec); err != nil {
		return model.Job{}, apierror.Unknown(apierror.CodeLogUnavailable,
			"the cancellation is not recorded yet: %v", err)
	}
	return s.Table.Get(key).Job, nil
}

// append writes a record to the log, through a peer if this host cannot reach it.
func (s *Service) append(ctx context.Context, rec journal.Record) error {
	if s.Journal.State().Answering || !s.Relay.HasRelay() {
		_, err := s.Journal.Append(ctx, journal.StreamJobs, rec)
		return err
	}
	_, err := s.Relay.Relay(ctx, journal.StreamRecord{Stream: journal.StreamJobs, Record: rec})
	if err == nil {
		s.Table.ApplyProvisional(rec)
	}
	return err
}

// RelayFor appends a record for a peer. won tells whether the record is the decision
// that counts for its job.
func (s *Service) RelayFor(ctx context.Context, r journal.StreamRecord) (recorded, won bool) {
	if !s.Journal.State().Answering {
		return false, false
	}
	if _, err := s.Journal.Append(ctx, r.Stream, r.Record); err != nil {
		return false, false
	}
	return true, s.Table.counts(r.Record)
}

// Get returns a job.
func (s *Service) Get(key model.JobKey) (model.Job, bool) {
	e := s.Table.Get(key)
	if e == nil {
		return model.Job{}, false
	}
	return e.Job, true
}

// List returns an organisation's jobs, or all for an empty name.
func (s *Service) List(org model.Organisation, state model.JobState, limit int) []model.Job {
	return s.Table.List(org, state, limit)
}

// Wait returns the job when it is final or the context ends.
func (s *Service) Wait(ctx context.Context, key model.JobKey) (model.Job, error) {
	if s.Table.Get(key) == nil {
		return model.Job{}, apierror.NotRun(apierror.CodeNotFound, "job %s does not exist", key)
	}
	select {
	case <-s.Table.Done(key):
	case <-ctx.Done():
	}
	job, _ := s.Get(key)
	return job, nil
}

// Explain returns why a job is where it is, oldest reason first.
func (s *Service) Explain(key model.JobKey) []model.Reason { return s.Table.Reasons(key) }
