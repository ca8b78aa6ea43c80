// Package intake accepts, cancels and reports jobs at any host. A job is accepted once
// its record is in the store.
package intake

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/manifest"
	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// Outcome is the answer to a call.
type Outcome int

// Outcomes.
const (
	// OK means that the call was carried out.
	OK Outcome = iota
	// NoQueue means that the manifest has no such queue.
	NoQueue
	// NoJob means that no such job exists.
	NoJob
	// BadKey means that no organisation holds the key.
	BadKey
	// BadJob means that the job can never be accepted as it is.
	BadJob
	// Later means that nothing was done and that the call may succeed after RetryAfter.
	Later
	// Unknown means that the call may have been carried out; the same call may be
	// repeated.
	Unknown
)

var outcomeNames = [...]string{"ok", "no_queue", "no_job", "bad_key", "bad_job", "later", "unknown"}

// String is for logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Answer to a call.
type Answer struct {
	Outcome Outcome
	// Why says why the call was not carried out.
	Why        string
	RetryAfter time.Duration
	Status     work.Status // of a job
	Waiting    int         // jobs of a queue
}

// Call is what every call carries.
type Call struct {
	Host, Path string
	Key        string
	// Patience is how long the caller waits for the answer.
	Patience time.Duration
}

const (
	// retryAfter is told to callers that are turned away: about the time in which
	// another host takes over or a short outage of the store ends.
	retryAfter = time.Second
	// answerMargin is kept of a caller's patience for the way back.
	answerMargin = 300 * time.Millisecond
	// firstRetry is the wait before an append without an answer is repeated.
	firstRetry = 50 * time.Millisecond
	// keyMargin is kept of the time within which a revoked key must be refused.
	keyMargin = 500 * time.Millisecond
	// freshStatus is the age of the statuses up to which a caller is answered from the
	// copy; refreshTimeout bounds the read of newer ones, which a slow store may miss.
	freshStatus    = 50 * time.Millisecond
	refreshTimeout = 150 * time.Millisecond
	// maxConcurrent bounds the calls that wait for the store at once.
	maxConcurrent = 256
)

// Options of a service.
type Options struct {
	Store       store.Store
	Operator    *replica.Operator
	Jobs        *replica.Jobs
	Submissions *replica.Follower
	Statuses    *replica.Follower
	// RevokeBound is by when a revoked key must be refused.
	RevokeBound time.Duration
	// Advises tells whether there is an advice service.
	Advises bool
	// Now reads the wall clock, for the time of acceptance.
	Now     func() time.Time
	Metrics gometrics.Registry
	Logger  *zap.Logger
}

// Service answers callers.
type Service struct {
	Options
	slots chan struct{}
	// keyProofMax is the age of the manifest's proof up to which keys are accepted, in
	// nanoseconds.
	keyProofMax atomic.Int64
}

// New returns a service.
func New(o Options) *Service {
	s := &Service{Options: o, slots: make(chan struct{}, maxConcurrent)}
	s.SetRevokeBound(o.RevokeBound)
	return s
}

// SetRevokeBound changes by when a revoked key must be refused.
func (s *Service) SetRevokeBound(d time.Duration) { s.keyProofMax.Store(int64(d - keyMargin)) }

// MaxBodyBytes is the manifest's bound of a submission, or 0 if it sets none.
func (s *Service) MaxBodyBytes() int64 {
	if m := s.Operator.View().Manifest; m != nil {
		return m.MaxBodyBytes
	}
	return 0
}

// admit finds the queue of a call and checks its key.
func (s *Service) admit(c Call) (*manifest.Queue, string, *Answer) {
	view := s.Operator.View()
	if view.Manifest == nil {
		return nil, "", &Answer{Outcome: Later, Why: "no manifest yet", RetryAfter: retryAfter}
	}
	queue := view.Manifest.Route(c.Host, c.Path)
	if queue == nil {
		return nil, "", &Answer{Outcome: NoQueue, Why: "no queue has this host and path"}
	}
	if queue.Public {
		return queue, "", nil
	}
	if !view.Proved || view.Age > time.Duration(s.keyProofMax.Load()) {
		return nil, "", &Answer{Outcome: Later, Why: "the manifest cannot be confirmed", RetryAfter: retryAfter}
	}
	holder := view.Manifest.OrganisationByKey(c.Key)
	if holder == nil {
		return nil, "", &Answer{Outcome: BadKey, Why: "no organisation holds this key"}
	}
	return queue, holder.Name, nil
}

// Submit accepts a job with the given id. The job's steps and spec are the caller's;
// the rest is filled in from the manifest.
func (s *Service) Submit(ctx context.Context, c Call, job work.Job) Answer {
	began := time.Now()
	a := s.submit(ctx, c, &job)
	s.count("submission", a, began)
	s.log("submission", c, job.ID, a)
	return a
}

func (s *Service) submit(ctx context.Context, c Call, job *work.Job) Answer {
	queue, organisation, refused := s.admit(c)
	if refused != nil {
		return *refused
	}
	if queue.NeedsAdvice && !s.Advises {
		return Answer{Outcome: BadJob, Why: "the queue needs advice, and the settings name no advice service"}
	}
	if err := job.Validate(); err != nil {
		return Answer{Outcome: BadJob, Why: err.Error()}
	}
	if e, known := s.Jobs.Get(job.ID); known && e.Job != nil {
		return Answer{Outcome: OK, Why: "accepted before"}
	}
	job.Queue, job.Service, job.Organisation = queue.ID(), queue.Service, organisation
	job.Priority, job.MaxAttempts = queue.Priority, queue.MaxAttempts
	job.Stretch, job.ObjectiveMS = queue.Stretch, queue.ObjectiveMS
	job.NeedsAdvice = queue.NeedsAdvice
	job.AcceptedMS = s.Now().UnixMilli()
	return s.write(ctx, c, store.Record{Key: replica.JobKey(job.ID), Value: job.Encode()})
}

// Cancel cancels a job.
func (s *Service) Cancel(ctx context.Context, c Call, id string) Answer {
	began := time.Now()
	a := s.cancel(ctx, c, id)
	s.count("cancellation", a, began)
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
		return Answer{Outcome: OK, Why: "ended before"}
	}
	// A cancellation of an unknown job is recorded too: its submission may still be on
	// the way through another host.
	a := s.write(ctx, c, store.Record{Key: replica.CancelKey(id), Value: replica.CancelValue(s.Now())})
	if a.Outcome == OK && (!known || e.Job == nil) {
		return Answer{Outcome: NoJob, Why: "no such job"}
	}
	return a
}

// Status reports a job.
func (s *Service) Status(ctx context.Context, c Call, id string) Answer {
	if _, _, refused := s.admit(c); refused != nil {
		s.log("status", c, id, *refused)
		return *refused
	}
	e, known, refused := s.lookup(ctx, id)
	if refused != nil {
		s.log("status", c, id, *refused)
		return *refused
	}
	if !known || e.Job == nil {
		a := Answer{Outcome: NoJob, Why: "no such job"}
		s.log("status", c, id, a)
		return a
	}
	if !e.Cancelled && !e.Status.Ended() {
		e = s.refresh(ctx, id, e)
	}
	status := e.Status
	if e.Cancelled && !status.Ended() {
		status = work.Cancelled
	}
	return Answer{Outcome: OK, Status: status}
}

// refresh reads newer statuses for a job that has not ended in the copy.
func (s *Service) refresh(ctx context.Context, id string, e replica.Entry) replica.Entry {
	age, ok := s.Statuses.Proof()
	if ok && age < freshStatus {
		return e
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if err := s.Statuses.SharedSync(ctx); err != nil {
		s.Logger.Debug("statuses could not be refreshed; the copy answers", zap.String("job", id), zap.Duration("age", age), zap.Error(err))
		return e
	}
	if newer, known := s.Jobs.Get(id); known && newer.Job != nil {
		return newer
	}
	return e
}

// lookup finds a job in the copy. An unknown one is looked up at the store: it may have
// been accepted at another host a moment ago.
func (s *Service) lookup(ctx context.Context, id string) (replica.Entry, bool, *Answer) {
	e, known := s.Jobs.Get(id)
	if known && e.Job != nil {
		return e, true, nil
	}
	if err := s.Submissions.SharedSync(ctx); err != nil {
		return e, false, &Answer{Outcome: Later, Why: "the store cannot be read", RetryAfter: retryAfter}
	}
	e, known = s.Jobs.Get(id)
	return e, known, nil
}

// Count reports the waiting jobs of a queue.
func (s *Service) Count(c Call) Answer {
	queue, _, refused := s.admit(c)
	if refused != nil {
		s.log("count", c, "", *refused)
		return *refused
	}
	return Answer{Outcome: OK, Waiting: s.Jobs.Waiting(queue.ID())}
}

// write appends a record within the caller's patience.
func (s *Service) write(ctx context.Context, c Call, r store.Record) Answer {
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		return Answer{Outcome: Later, Why: "too many calls wait for the store", RetryAfter: retryAfter}
	}
	ctx, cancel := context.WithTimeout(ctx, max(c.Patience-answerMargin, answerMargin))
	defer cancel()
	open := false // an earlier attempt may have been executed
	for try, wait := 1, firstRetry; ; try, wait = try+1, wait*2 {
		tryCtx, done := context.WithTimeout(ctx, store.AttemptTimeout(try, 0))
		_, err := s.Store.Append(tryCtx, replica.TopicJobs, []store.Record{r})
		done()
		if err == nil {
			return Answer{Outcome: OK}
		}
		refused := errors.Is(err, store.ErrRefused)
		if refused && !open {
			return Answer{Outcome: Later, Why: "the store refused", RetryAfter: retryAfter}
		}
		open = open || !refused
		select {
		case <-ctx.Done():
			return Answer{Outcome: Unknown, Why: "the store did not answer: " + err.Error(), RetryAfter: retryAfter}
		case <-time.After(wait):
		}
	}
}

// count counts an answer and, if it was accepted, how long that took.
func (s *Service) count(what string, a Answer, began time.Time) {
	gometrics.GetOrRegisterCounter("intake."+what+"."+a.Outcome.String(), s.Metrics).Inc(1)
	gometrics.GetOrRegisterTimer("intake."+what, s.Metrics).UpdateSince(began)
}

func (s *Service) log(what string, c Call, id string, a Answer) {
	view := s.Operator.View()
	var version int64
	if view.Manifest != nil {
		version = view.Manifest.Version
	}
	s.Logger.Info(what, zap.String("job", id), zap.Stringer("outcome", a.Outcome), zap.String("why", a.Why),
		zap.Int64("manifest", version), zap.Duration("proof_age", view.Age), zap.String("path", c.Path))
}
