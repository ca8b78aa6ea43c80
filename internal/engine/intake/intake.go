// Package intake accepts and cancels jobs and returns their status, on every host. A job
// is accepted once its record is in the store.
package intake

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/manifest"
	"github.com/daisyfold/daisyfold/internal/engine/quota"
	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// Outcome is the result of a call.
type Outcome int

// Outcomes of a call.
const (
	// OK means that the call was executed.
	OK Outcome = iota
	// NoQueue means that the manifest has no queue for the host and path.
	NoQueue
	// NoJob means that the job does not exist.
	NoJob
	// BadKey means that no organisation holds the key.
	BadKey
	// BadJob means that the job is invalid.
	BadJob
	// TryLater means that the call was not executed and may succeed after RetryAfter.
	TryLater
	// Unknown means that the call may have been executed. The same call may be repeated.
	Unknown
)

var outcomeNames = [...]string{"ok", "no_queue", "no_job", "bad_key", "bad_job", "later", "unknown"}

// String returns the outcome's name for logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Answer is the response to a call.
type Answer struct {
	Outcome Outcome
	// Reason describes why the call was not executed.
	Reason     string
	RetryAfter time.Duration // how long to wait before a retry; 0 if a retry cannot help
	Status     work.Status   // status of the job, for Status
	Waiting    int           // number of waiting jobs, for CountWaiting
}

// Call holds the parameters that all calls have.
type Call struct {
	Host, Path string
	Key        string
	// Timeout is how long the caller waits for the response.
	Timeout time.Duration
	// Relayed reports whether a peer has passed the call on. The peer allows for the transfer
	// of the response.
	Relayed bool
	// MinManifest is the least version of the manifest with which the call may be answered; 0
	// means any.
	MinManifest int64
}

// withTimeout returns a context that ends early enough for the response to reach the caller
// in time.
func (c Call) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.Relayed {
		return context.WithTimeout(ctx, c.Timeout)
	}
	return context.WithTimeout(ctx, max(c.Timeout-responseMargin, responseMargin))
}

const (
	// retryAfter is the delay that rejected callers are told to wait: about the time of a
	// takeover or of a short outage of the store.
	retryAfter = time.Second
	// responseMargin is subtracted from a caller's timeout, for the transfer of the
	// response.
	responseMargin = 300 * time.Millisecond
	// initialRetryDelay is the delay before a failed append is repeated. It doubles with
	// each attempt.
	initialRetryDelay = 50 * time.Millisecond
	// revocationMargin is subtracted from the time within which a revoked key must be
	// refused.
	revocationMargin = 500 * time.Millisecond
	// maxStatusStaleness is the staleness of the statuses up to which a call is answered
	// from the copy.
	maxStatusStaleness = 50 * time.Millisecond
	// refreshTimeout is the timeout for reading newer statuses. If the store is slower,
	// the call is answered from the copy.
	refreshTimeout = 150 * time.Millisecond
)

// maxConcurrentAppends bounds the number of calls that wait for the store.
const maxConcurrentAppends = 256

// Options configure a service.
type Options struct {
	Store       store.Store
	Operator    *replica.Operator
	Jobs        *replica.Jobs
	Submissions *replica.Follower
	Statuses    *replica.Follower
	// MaxRevocationDelay is the time within which a revoked key must be refused.
	MaxRevocationDelay time.Duration
	// StoreLimits are the store's limits, which bound the record of a job.
	StoreLimits store.Limits
	// HasAdvisor is set if the platform has an advice service.
	HasAdvisor bool
	// WallClock returns the time of day, for the time of acceptance.
	WallClock func() time.Time
	// Peers is nil if the hosts do not relay calls.
	Peers   Peers
	Metrics gometrics.Registry
	Logger  *zap.Logger
}

// Service executes the calls of callers.
type Service struct {
	Options
	slots chan struct{} // semaphore for appends
	// maxKeyStalenessNS is the staleness of the manifest, in nanoseconds, up to which keys
	// are accepted.
	maxKeyStalenessNS atomic.Int64
	// shownManifest is the newest version with which a peer has answered a caller of this host.
	shownManifest version
}

// New returns a service with the given options.
func New(o Options) *Service {
	s := &Service{Options: o, slots: make(chan struct{}, maxConcurrentAppends)}
	s.SetMaxRevocationDelay(o.MaxRevocationDelay)
	return s
}

// SetMaxRevocationDelay changes the time within which a revoked key must be refused.
func (s *Service) SetMaxRevocationDelay(d time.Duration) {
	s.maxKeyStalenessNS.Store(int64(d - revocationMargin))
}

// MaxBodyBytes returns the manifest's limit for the body of a submission, or 0 if it sets
// none.
func (s *Service) MaxBodyBytes() int64 {
	if m := s.Operator.View().Manifest; m != nil {
		return m.MaxBodyBytes
	}
	return 0
}

// admit returns the queue of a call and the organisation that holds its key, or the answer
// to a call that is refused. The organisation is nil for a public queue.
func (s *Service) admit(c Call) (*manifest.Queue, *manifest.Organisation, *Answer) {
	view := s.Operator.View()
	if view.Manifest == nil {
		return nil, nil, &Answer{Outcome: TryLater, Reason: "no manifest yet", RetryAfter: retryAfter}
	}
	if view.Manifest.Version < max(c.MinManifest, s.shownManifest.Load()) {
		return nil, nil, &Answer{Outcome: TryLater, Reason: "a newer manifest is in force", RetryAfter: retryAfter}
	}
	queue := view.Manifest.Route(c.Host, c.Path)
	if queue == nil {
		return nil, nil, &Answer{Outcome: NoQueue, Reason: "no queue matches the host and path"}
	}
	if queue.Public {
		return queue, nil, nil
	}
	if !view.StalenessKnown || view.Staleness > time.Duration(s.maxKeyStalenessNS.Load()) {
		return nil, nil, &Answer{Outcome: TryLater, Reason: "the manifest cannot be confirmed", RetryAfter: retryAfter}
	}
	organisation := view.Manifest.OrganisationByKey(c.Key)
	if organisation == nil {
		return nil, nil, &Answer{Outcome: BadKey, Reason: "no organisation holds this key"}
	}
	return queue, organisation, nil
}

// Admit checks a submission by its header, before its body is received. It returns the
// organisation that holds the key, which is empty for a public queue, or the answer to a
// submission that is refused. A submission that a peer may accept is not refused yet.
func (s *Service) Admit(c Call) (organisation string, refused *Answer) {
	start := time.Now()
	_, owner, refused := s.admit(c)
	switch {
	case refused != nil && s.peerMayAdmit(*refused):
		return s.organisationByKey(c.Key), nil
	case refused != nil:
		s.updateMetrics("submission", *refused, start)
		s.log("submission", c, "", *refused)
	case owner != nil:
		organisation = owner.Name
	}
	return organisation, refused
}

// Submit accepts a job. The caller sets the job's id, steps, spec and times; the other
// fields are set from the queue. A job that was already accepted is not changed.
func (s *Service) Submit(ctx context.Context, c Call, job work.Job) Answer {
	start := time.Now()
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	sent := job
	a := s.serve(ctx, Request{Operation: Submission, Call: c, ID: job.ID, Job: &sent}, func(ctx context.Context) (Answer, bool) {
		return settle(s.submit(ctx, c, &job))
	})
	s.updateMetrics("submission", a, start)
	s.log("submission", c, job.ID, a)
	return a
}

// settle returns an answer, and whether no peer may know a better one.
func settle(a Answer) (Answer, bool) { return a, a.Outcome != TryLater && a.Outcome != Unknown }

func (s *Service) submit(ctx context.Context, c Call, job *work.Job) Answer {
	queue, organisation, refused := s.admit(c)
	if refused != nil {
		return *refused
	}
	if organisation == nil {
		organisation = &manifest.Organisation{}
	}
	if queue.NeedsAdvice && !s.HasAdvisor {
		return Answer{Outcome: BadJob, Reason: "the queue needs advice, and the settings name no advice service"}
	}
	if err := job.Validate(); err != nil {
		return Answer{Outcome: BadJob, Reason: err.Error()}
	}
	if e, known := s.Jobs.Get(job.ID); known && (e.Job != nil || e.Unreadable) {
		return Answer{Outcome: OK, Reason: "already accepted"}
	}
	if err := quota.CheckJob(organisation, job); err != nil {
		return s.rejectUnlessAccepted(ctx, job.ID, err)
	}
	if err := job.CheckStateSize(s.StoreLimits.RecordBytes, s.StoreLimits.CallBytes); err != nil {
		return Answer{Outcome: BadJob, Reason: err.Error()}
	}
	job.Queue, job.Service, job.Organisation = queue.ID(), queue.Service, organisation.Name
	job.Priority, job.MaxAttempts = queue.Priority, queue.MaxAttempts
	job.Stretch, job.ObjectiveMS = queue.Stretch, queue.ObjectiveMS
	job.NeedsAdvice = queue.NeedsAdvice
	if queue.NeedsAdvice {
		job.AdviceMS = int(queue.Advice.CallDuration(manifest.UsualAdviceWorkers).Milliseconds())
	}
	job.AcceptedMS = s.WallClock().UnixMilli()
	record := store.Record{Key: replica.JobKey(job.ID), Value: job.Encode()}
	if err := s.StoreLimits.Check([]store.Record{record}); err != nil {
		return Answer{Outcome: BadJob, Reason: err.Error()}
	}
	return s.write(ctx, record)
}

// rejectUnlessAccepted rejects a job that its organisation's cap can never hold. An earlier attempt
// may have been accepted by another host when the cap was higher.
func (s *Service) rejectUnlessAccepted(ctx context.Context, id string, reason error) Answer {
	e, known, refused := s.lookup(ctx, id)
	switch {
	case refused != nil:
		return *refused
	case known && (e.Job != nil || e.Unreadable):
		return Answer{Outcome: OK, Reason: "already accepted"}
	}
	return Answer{Outcome: BadJob, Reason: reason.Error()}
}

// Cancel cancels a job. It succeeds if the job has already ended.
func (s *Service) Cancel(ctx context.Context, c Call, id string) Answer {
	start := time.Now()
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	a := s.serve(ctx, Request{Operation: Cancellation, Call: c, ID: id}, func(ctx context.Context) (Answer, bool) {
		return settle(s.cancel(ctx, c, id))
	})
	s.updateMetrics("cancellation", a, start)
	s.log("cancellation", c, id, a)
	return a
}

func (s *Service) cancel(ctx context.Context, c Call, id string) Answer {
	if _, _, refused := s.admit(c); refused != nil {
		return *refused
	}
	e, known, refused := s.lookup(ctx, id)
	if refused != nil {
		return *refused
	}
	if known && (e.Cancelled || e.Status.Ended()) {
		return Answer{Outcome: OK, Reason: "already ended"}
	}
	// The cancellation of an unknown job is also recorded, because another host may be
	// executing its submission.
	a := s.write(ctx, store.Record{Key: replica.CancelKey(id), Value: replica.CancelValue(s.WallClock())})
	if a.Outcome == OK && (!known || e.Job == nil && !e.Unreadable) {
		return Answer{Outcome: NoJob, Reason: "no such job"}
	}
	return a
}

// Status returns the status of a job.
func (s *Service) Status(ctx context.Context, c Call, id string) Answer {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	a := s.serve(ctx, Request{Operation: StatusQuery, Call: c, ID: id}, func(ctx context.Context) (Answer, bool) {
		return s.status(ctx, c, id)
	})
	// The copy of a peer may be the older one.
	e, known := s.Jobs.Get(id)
	switch {
	case known && e.Job != nil && a.Outcome == OK:
		a.Status = later(a.Status, statusOf(e))
	case known && e.Job != nil && a.Outcome == NoJob:
		a = Answer{Outcome: OK, Status: statusOf(e)}
	}
	if a.Outcome != OK {
		s.log("status", c, id, a)
	}
	return a
}

// status returns the status of a job according to this host, and whether no peer may know a
// newer one.
func (s *Service) status(ctx context.Context, c Call, id string) (Answer, bool) {
	if _, _, refused := s.admit(c); refused != nil {
		return settle(*refused)
	}
	e, known, refused := s.lookup(ctx, id)
	if refused != nil {
		return settle(*refused)
	}
	if e.Unreadable {
		return Answer{Outcome: OK, Status: unreadableStatus(e)}, true
	}
	if !known || e.Job == nil {
		return Answer{Outcome: NoJob, Reason: "no such job"}, true
	}
	settled := true
	if !e.Status.Ended() {
		if e, settled, refused = s.refresh(ctx, id, e); refused != nil {
			return settle(*refused)
		}
	}
	return Answer{Outcome: OK, Status: statusOf(e)}, settled
}

// statusOf returns the status of a job whose record was read.
func statusOf(e replica.JobEntry) work.Status {
	if e.Cancelled && !e.Status.Ended() {
		return work.Cancelled
	}
	return e.Status
}

// later returns the one of two statuses of a job that comes after the other.
func later(a, b work.Status) work.Status {
	if a.Ended() || (a == work.Running && !b.Ended()) {
		return a
	}
	return b
}

// unreadableStatus returns the status of a job whose record cannot be decoded, which no
// scheduler runs.
func unreadableStatus(e replica.JobEntry) work.Status {
	switch {
	case e.Status.Ended():
		return e.Status
	case e.Cancelled:
		return work.Cancelled
	}
	return work.Failed
}

// refresh returns a newer entry of a job that has not ended according to the copy, and false if a
// peer may know a newer one, because the store fails this host. It returns e if the copy is fresh
// or newer statuses cannot be read. A call is refused if the host has not read any statuses since
// its start.
func (s *Service) refresh(ctx context.Context, id string, e replica.JobEntry) (newest replica.JobEntry, settled bool, refused *Answer) {
	age, ok := s.Statuses.Staleness()
	if ok && (e.Cancelled || age < maxStatusStaleness) {
		return e, true, nil
	}
	if ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, refreshTimeout)
		defer cancel()
	}
	err := s.Statuses.SharedSync(ctx)
	if err != nil && !ok {
		return e, false, &Answer{Outcome: TryLater, Reason: "no statuses have been read yet", RetryAfter: retryAfter}
	}
	if err != nil {
		s.Logger.Debug("newer statuses cannot be read; answering from the copy", zap.String("job", id), zap.Duration("age", age), zap.Error(err))
		return e, s.Peers == nil || !s.Peers.StoreFails(StatusQuery), nil
	}
	if newer, known := s.Jobs.Get(id); known && newer.Job != nil {
		return newer, true, nil
	}
	return e, true, nil
}

// lookup returns the entry of a job. If the copy has no such job, lookup reads newer
// records first, because another host may have just accepted it.
func (s *Service) lookup(ctx context.Context, id string) (replica.JobEntry, bool, *Answer) {
	e, known := s.Jobs.Get(id)
	if known && e.Job != nil {
		return e, true, nil
	}
	if err := s.Submissions.SharedSync(ctx); err != nil {
		return e, false, &Answer{Outcome: TryLater, Reason: "the store cannot be read", RetryAfter: retryAfter}
	}
	e, known = s.Jobs.Get(id)
	return e, known, nil
}

// CountWaiting returns the number of waiting jobs of a queue.
func (s *Service) CountWaiting(ctx context.Context, c Call) Answer {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	a := s.serve(ctx, Request{Operation: WaitingCount, Call: c}, func(context.Context) (Answer, bool) {
		return settle(s.countWaiting(c))
	})
	if a.Outcome != OK {
		s.log("count", c, "", a)
	}
	return a
}

func (s *Service) countWaiting(c Call) Answer {
	queue, _, refused := s.admit(c)
	if refused != nil {
		return *refused
	}
	return Answer{Outcome: OK, Waiting: s.Jobs.CountWaiting(queue.ID())}
}

// write appends a record to TopicJobs and retries until the context ends.
func (s *Service) write(ctx context.Context, r store.Record) Answer {
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		return Answer{Outcome: TryLater, Reason: "too many calls wait for the store", RetryAfter: retryAfter}
	}
	maybeAppended := false // whether an earlier attempt may have succeeded
	for attempt, delay := 1, initialRetryDelay; ; attempt, delay = attempt+1, delay*2 {
		attemptCtx, cancelAttempt := context.WithTimeout(ctx, store.AttemptTimeout(attempt, 0))
		_, err := s.Store.Append(attemptCtx, replica.TopicJobs, []store.Record{r})
		cancelAttempt()
		if err == nil {
			return Answer{Outcome: OK}
		}
		if errors.Is(err, store.ErrInvalid) {
			return invalidAnswer(err, maybeAppended)
		}
		refused := errors.Is(err, store.ErrRefused)
		if refused && !maybeAppended {
			return Answer{Outcome: TryLater, Reason: "the store refused", RetryAfter: retryAfter}
		}
		maybeAppended = maybeAppended || !refused
		select {
		case <-ctx.Done():
			return Answer{Outcome: Unknown, Reason: "the store did not answer: " + err.Error(), RetryAfter: retryAfter}
		case <-time.After(delay):
		}
	}
}

// invalidAnswer returns the answer to a call whose record the store rejects for good.
func invalidAnswer(err error, maybeAppended bool) Answer {
	if maybeAppended {
		return Answer{Outcome: Unknown, Reason: "the store did not answer at first and then rejected the record: " + err.Error()}
	}
	return Answer{Outcome: BadJob, Reason: "the store does not accept the record: " + err.Error()}
}

// updateMetrics updates the metrics of an operation: the number of answers by outcome, and the
// duration.
func (s *Service) updateMetrics(operation string, a Answer, start time.Time) {
	gometrics.GetOrRegisterCounter("intake."+operation+"."+a.Outcome.String(), s.Metrics).Inc(1)
	gometrics.GetOrRegisterTimer("intake."+operation, s.Metrics).UpdateSince(start)
}

func (s *Service) log(operation string, c Call, id string, a Answer) {
	view := s.Operator.View()
	var version int64
	if view.Manifest != nil {
		version = view.Manifest.Version
	}
	s.Logger.Info(operation, zap.String("job", id), zap.Stringer("outcome", a.Outcome), zap.String("why", a.Reason),
		zap.Int64("manifest", version), zap.Duration("proof_age", view.Staleness), zap.String("path", c.Path))
}
