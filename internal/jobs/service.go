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

// requiredPeerCopies is the number of other hosts that must store a job that is accepted
// while the log is down. The job then survives the loss of any two of the three hosts
// that store it.
const requiredPeerCopies = 2

// Durability says where the acceptance of a job is stored.
type Durability string

// Durability values.
const (
	DurableLog   Durability = "log"
	DurablePeers Durability = "peers"
)

// Copier stores records on other hosts while the log is down.
type Copier interface {
	// CopyToPeers tries to store records on the required number of hosts and returns the
	// number of hosts that stored all of them.
	CopyToPeers(ctx context.Context, records []journal.StreamRecord, required int) (stored int)
	// CopyToHost stores records on one host and reports whether it succeeded.
	CopyToHost(ctx context.Context, host model.HostID, records []journal.StreamRecord) bool
}

// AsyncAppender queues this host's own records and appends them in order once the log is
// available. AppendAsync reports whether all records were queued.
type AsyncAppender interface {
	AppendAsync(records []journal.StreamRecord) bool
}

// Relay appends records through peers that can reach the log while this host cannot.
type Relay interface {
	// HasRelay reports whether such a peer is known.
	HasRelay() bool
	// Relay appends a record. effective reports whether the record took effect, see
	// Service.AppendForPeer. After an error the record may still appear in the log.
	Relay(ctx context.Context, r journal.StreamRecord) (effective bool, err error)
}

// Options configures a Service.
type Options struct {
	Host    model.HostID
	Zone    model.Zone
	Board   *blackboard.Board
	Journal journal.Journal
	Table   *Table
	Copier  Copier
	// Owner returns the host that plans a shard, and false if it is not known.
	Owner    func(model.ShardID) (model.HostID, bool)
	Appender AsyncAppender
	Relay    Relay
	NewID    func() string
	Now      func() time.Time
	// Retention is how long the log keeps records.
	Retention time.Duration
	Logger    *zap.Logger
}

// Service accepts, cancels and finds jobs.
type Service struct {
	Options
	feasibility feasibility
}

// NewService returns a service. The journal must be set up to apply its records to
// o.Table.
func NewService(o Options) *Service { return &Service{Options: o} }

// Accepted is the result of a successful submission.
type Accepted struct {
	ID         model.JobID
	Durability Durability
	State      model.JobState
}

// Submit accepts a job. Another submission of the same job with the same ID returns the
// result for the existing job. Errors are of type *apierror.Error.
func (s *Service) Submit(ctx context.Context, spec model.JobSpec) (Accepted, error) {
	if spec.Key.ID == "" {
		spec.Key.ID = model.JobID(s.NewID())
	}
	if a, found, err := s.findSubmission(spec); found {
		return a, err
	}
	if err := s.validate(&spec); err != nil {
		return Accepted{}, err
	}
	home, err := s.chooseHomeShard(&spec)
	if err != nil {
		return Accepted{}, err
	}
	now := s.Now()
	body := journal.JobAccepted{Spec: spec, HomeShard: home, UnixMS: now.UnixMilli()}
	// The record ID is derived from the job. If several hosts accept the same job at the
	// same time, readers of the log apply only one of the acceptances.
	id := "accept/" + spec.Key.String() + "/" + Digest(spec)
	rec, encodeErr := journal.NewRecord(journal.KindJobAccepted, s.Host, id, now, body)
	if encodeErr != nil {
		return Accepted{}, apierror.NotRun(apierror.CodeBadInput, "job cannot be encoded: %v", encodeErr)
	}
	rec.TraceParent = tracing.Traceparent(ctx)
	return s.persistAcceptance(ctx, home, spec, rec)
}

// findSubmission looks up an earlier submission with the same key and reports whether
// there is one. The error is set if that submission was a different job.
func (s *Service) findSubmission(spec model.JobSpec) (Accepted, bool, error) {
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

// validate returns an *apierror.Error if the configuration or the hardware rules the job
// out.
func (s *Service) validate(spec *model.JobSpec) error {
	cfg := s.Board.Config.Get()
	list := s.Board.Hosts.Get()
	if cfg == nil || list == nil {
		return apierror.NotRun(apierror.CodeNoConfiguration, "this host has no configuration yet")
	}
	svc := cfg.Service(spec.Service)
	if svc == nil {
		return apierror.NotRun(apierror.CodeBadInput, "service %q does not exist", spec.Service)
	}
	if svc.MaxTasks > 0 && spec.Tasks > svc.MaxTasks {
		return apierror.NotRun(apierror.CodeCanNeverRun,
			"the job has %d tasks; service %q allows %d", spec.Tasks, spec.Service, svc.MaxTasks)
	}
	if spec.Zone != "" && cfg.Zone(spec.Zone) == nil {
		return apierror.NotRun(apierror.CodeBadInput, "availability zone %q does not exist", spec.Zone)
	}
	if err := s.checkQuota(spec); err != nil {
		return err
	}
	if err := s.feasibility.check(spec, list); err != nil {
		return apierror.NotRun(apierror.CodeCanNeverRun, "the job can never run: %v", err)
	}
	return nil
}

func (s *Service) checkQuota(spec *model.JobSpec) error {
	for _, o := range s.Board.Config.Get().Parsed.Organisations {
		if o.Name != spec.Key.Organisation {
			continue
		}
		if o.QuotaAccelerators > 0 && spec.Accelerators() > o.QuotaAccelerators {
			return apierror.NotRun(apierror.CodeCanNeverRun,
				"the job needs %d accelerators; the quota of %q is %d",
				spec.Accelerators(), o.Name, o.QuotaAccelerators)
		}
		if o.QuotaWaitingJobs > 0 && s.Table.CountWaiting(o.Name) >= o.QuotaWaitingJobs {
			return apierror.NotRun(apierror.CodeQuotaReached,
				"%q has %d waiting jobs, which is its quota", o.Name, o.QuotaWaitingJobs)
		}
		return nil
	}
	return apierror.NotRun(apierror.CodeBadInput, "organisation %q does not exist", spec.Key.Organisation)
}

// persistAcceptance makes the acceptance durable: in the log, through a peer that reaches
// the log or, while the log is down, on peers.
func (s *Service) persistAcceptance(ctx context.Context, home model.ShardID, spec model.JobSpec, rec journal.Record) (Accepted, error) {
	if s.Journal.State().Answering {
		_, err := s.Journal.Append(ctx, journal.StreamJobs, rec)
		if err == nil {
			return s.acceptedFromTable(spec)
		}
		s.Logger.Warn("job acceptance was not appended to the log", zap.Error(err))
	}
	if s.Relay.HasRelay() {
		return s.acceptByRelay(ctx, spec, rec)
	}
	return s.acceptOnPeers(ctx, home, spec, rec)
}

// acceptByRelay appends the acceptance to the log through a peer.
func (s *Service) acceptByRelay(ctx context.Context, spec model.JobSpec, rec journal.Record) (Accepted, error) {
	effective, err := s.Relay.Relay(ctx, journal.StreamRecord{Stream: journal.StreamJobs, Record: rec})
	if err != nil {
		return Accepted{}, apierror.Unknown(apierror.CodeLogUnavailable,
			"the job may be accepted later: %v; repeat with the same id", err)
	}
	if !effective {
		return Accepted{}, apierror.NotRun(apierror.CodeIDReused,
			"job %s was submitted before with other content", spec.Key)
	}
	s.Table.ApplyProvisional(rec)
	return Accepted{ID: spec.Key.ID, Durability: DurableLog, State: model.JobWaiting}, nil
}

// acceptedFromTable returns the result for a job whose acceptance was appended to the log.
// The error is set if another job with the same key was accepted first.
func (s *Service) acceptedFromTable(spec model.JobSpec) (Accepted, error) {
	a, found, err := s.findSubmission(spec)
	if !found {
		return Accepted{}, apierror.Unknown(apierror.CodeInternal, "the recorded job is not in the table")
	}
	return a, err
}

// acceptOnPeers copies the acceptance to other hosts. If the record is in the log
// already, readers ignore the second one because it has the same ID.
func (s *Service) acceptOnPeers(ctx context.Context, home model.ShardID, spec model.JobSpec, rec journal.Record) (Accepted, error) {
	records := []journal.StreamRecord{{Stream: journal.StreamJobs, Record: rec}}
	stored := s.Copier.CopyToPeers(ctx, records, requiredPeerCopies)
	if stored < requiredPeerCopies {
		return Accepted{}, apierror.Unknown(apierror.CodeLogUnavailable,
			"the log is unavailable and only %d of %d copies were stored; repeat with the same id",
			stored, requiredPeerCopies)
	}
	s.Appender.AppendAsync(records)
	// The planner of the home shard needs the job too; otherwise it would see the job
	// only when the log is available again.
	if owner, ok := s.Owner(home); ok && owner != s.Host {
		s.Copier.CopyToHost(ctx, owner, records)
	}
	s.Table.ApplyProvisional(rec)
	return Accepted{ID: spec.Key.ID, Durability: DurablePeers, State: model.JobWaiting}, nil
}

// Cancel cancels a job and returns it. If the job is final already, Cancel returns it
// unchanged. Errors are of type *apierror.Error.
func (s *Service) Cancel(ctx context.Context, key model.JobKey, by string) (model.Job, error) {
	e := s.Table.Get(key)
	if e == nil {
		return model.Job{}, apierror.NotRun(apierror.CodeNotFound, "job %s does not exist", key)
	}
	if e.Job.State.Final() {
		return e.Job, nil
	}
	body := journal.JobCancelled{Job: key, CancelledBy: by}
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

// append appends a record to the log, through a peer if this host cannot reach the log.
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

// AppendForPeer appends a record for a peer. recorded reports whether the record is in the
// log, and effective whether it took effect among conflicting ones, such as two placements
// of one attempt.
func (s *Service) AppendForPeer(ctx context.Context, r journal.StreamRecord) (recorded, effective bool) {
	if !s.Journal.State().Answering {
		return false, false
	}
	if _, err := s.Journal.Append(ctx, r.Stream, r.Record); err != nil {
		return false, false
	}
	return true, s.Table.isEffective(r.Record)
}

// Get returns a job, and false if it does not exist.
func (s *Service) Get(key model.JobKey) (model.Job, bool) {
	e := s.Table.Get(key)
	if e == nil {
		return model.Job{}, false
	}
	return e.Job, true
}

// List returns at most limit jobs, newest first. An empty organisation or state matches
// all.
func (s *Service) List(org model.Organisation, state model.JobState, limit int) []model.Job {
	return s.Table.List(org, state, limit)
}

// Wait waits until the job is final or ctx ends, and returns the job as it is then. The
// error is an *apierror.Error if the job does not exist.
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

// Explain returns the recorded reasons for decisions about a job, oldest first.
func (s *Service) Explain(key model.JobKey) []model.Reason { return s.Table.Reasons(key) }
