// Package calls forwards requests to the targets of services, from admission to the
// complete response. It enforces limits, chooses targets, retries, and runs each
// non-repeatable request at most once (docs/decisions/0005-at-most-once.md).
package calls

import (
	"context"
	"crypto/sha256"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/targetlink"
	"github.com/daisyfold/daisyfold/internal/routing"
)

// Request is a request to a service.
type Request struct {
	// ID is chosen by the caller; if it is empty, Call generates one.
	ID           string
	Organisation model.Organisation
	Service      model.Service
	Body         []byte
	// Timeout limits the request. If it is 0 or longer than the service's deadline, that
	// deadline applies.
	Timeout time.Duration
	// NonRepeatable forbids a second run even if the service is repeatable.
	NonRepeatable bool
}

// Response is the complete response of a target.
type Response struct {
	RequestID string
	Status    int // HTTP status
	Body      []byte
}

// Peers queries other entry hosts about requests.
type Peers interface {
	// QueryOutcome returns the result of Service.Outcome at the host. It returns an
	// error if the host cannot be reached.
	QueryOutcome(ctx context.Context, host model.HostID, org model.Organisation, requestID string) (PeerResponse, error)
}

// Config holds the dependencies of a Service. All fields but Seed are required.
type Config struct {
	Host    model.HostID
	Zone    model.Zone
	Board   *blackboard.Board
	Journal journal.Journal
	// Table is updated by Service.Apply with the records of the calls stream.
	Table   *Table
	Targets targetlink.Caller
	Peers   Peers
	// Seed seeds the random choices of targets.
	Seed uint64
}

// Service handles the requests to one entry host.
type Service struct {
	cfg        Config
	dispatcher *dispatcher
	requests   *requestTable
	stats      counters

	mu       sync.Mutex
	draining bool
	active   int           // number of runs and background appends
	idle     chan struct{} // closed when active becomes 0; nil unless Drain waits
}

// New returns a Service without requests.
func New(cfg Config) *Service {
	s := &Service{
		cfg:        cfg,
		dispatcher: newDispatcher(cfg.Board, routing.Options{Zone: cfg.Zone, Seed: cfg.Seed}),
		requests:   newRequestTable(),
	}
	if setter, ok := cfg.Targets.(targetSetter); ok {
		s.dispatcher.onTargets = setter.SetTargets
	}
	return s
}

// targetSetter is implemented by a targetlink.Caller that keeps connections open. It
// closes those to targets that are no longer listed.
type targetSetter interface {
	SetTargets(targets []model.Target)
}

// Apply implements journal.Applier for the calls stream.
func (s *Service) Apply(offset int64, r journal.Record) { s.cfg.Table.Apply(offset, r) }

// Call runs the request and returns the complete response of a target. Every error is an
// *apierror.Error; its outcome says whether the request ran.
func (s *Service) Call(ctx context.Context, req Request) (Response, error) {
	s.stats.requests.Add(1)
	res := s.call(ctx, req)
	s.stats.count(res)
	if res.err != nil {
		return Response{}, res.err
	}
	return res.response, nil
}

// preparedRequest is a request with its key and the settings that apply to it.
type preparedRequest struct {
	req         Request
	key         requestKey
	digest      digest
	idGenerated bool // the id was generated here, so no other host can know it
	service     *serviceSettings
	deadline    time.Time
}

func newPreparedRequest(req Request) *preparedRequest {
	p := &preparedRequest{req: req}
	if req.ID == "" {
		p.req.ID = uuid.NewString()
		p.idGenerated = true
	}
	p.digest = sha256.Sum256(req.Body)
	p.key = requestKey{org: req.Organisation, id: p.req.ID}
	return p
}

func (s *Service) call(ctx context.Context, req Request) result {
	p := newPreparedRequest(req)
	refusal := s.prepare(p)
	if p.service == nil {
		return result{err: refusal}
	}
	e, mustRun, err := s.requests.join(time.Now(), p)
	if err != nil {
		return result{err: err}
	}
	if mustRun {
		s.startRun(ctx, p, e, refusal)
	}
	return s.waitForResult(ctx, e)
}

// startRun runs the request in a goroutine whose context is not cancelled with the
// caller's, because callers with the same id share the run and one of them may go away.
func (s *Service) startRun(ctx context.Context, p *preparedRequest, e *requestEntry, refusal *apierror.Error) {
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), p.deadline)
	s.requests.setCancel(e, cancel)
	if s.beginWork() {
		refusal = apierror.NotRun(apierror.CodeLeaving, "this host is leaving")
	}
	go func() {
		defer s.endWork()
		defer cancel()
		var res result
		if s.requests.willNotSend(e) {
			refusal = alreadyRefusedError(p.req.ID)
		}
		switch {
		case refusal != nil:
			res = s.refuse(runCtx, p, e, refusal)
		case p.service.repeatable:
			res = s.runRepeatable(runCtx, p)
		default:
			res = s.runNonRepeatable(runCtx, p, e)
		}
		s.requests.finish(time.Now(), e, res)
	}()
}

// waitForResult waits for the result of the run and returns it. If ctx ends first, it
// returns an error that the request is in progress.
func (s *Service) waitForResult(ctx context.Context, e *requestEntry) result {
	select {
	case <-e.done:
		return s.requests.result(e)
	case <-ctx.Done():
		s.requests.removeCaller(e)
		return result{err: apierror.Unknown(apierror.CodeInProgress, "request %s is in progress", e.key.id)}
	}
}

// beginWork adds a run or a background append to the active work and reports whether the
// host is draining.
func (s *Service) beginWork() (draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
	return s.draining
}

// endWork ends the work that beginWork added.
func (s *Service) endWork() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	if s.active == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// Drain makes the service refuse new requests and waits until those in progress have
// ended and their outcomes are appended. It returns ctx.Err() if ctx ends first.
func (s *Service) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	if s.active == 0 {
		s.mu.Unlock()
		return nil
	}
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	idle := s.idle
	s.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
