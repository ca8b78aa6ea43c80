// Package calls carries requests to services, from admission to the whole answer:
// limits, choice of a target, retries, and at most one run of each non-repeatable
// request (docs/decisions/0005-at-most-once.md).
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
	// ID is chosen by the caller; the service assigns one when it is empty.
	ID           string
	Organisation model.Organisation
	Service      model.Service
	Body         []byte
	// Timeout bounds the request; the service's deadline applies when it is 0 or
	// longer than that.
	Timeout time.Duration
	// NonRepeatable forbids a second run even if the service allows one.
	NonRepeatable bool
}

// Answer is the whole answer of a target.
type Answer struct {
	RequestID string
	Status    int
	Body      []byte
}

// Peers asks another entry host about a request.
type Peers interface {
	// PeerOutcome returns what the host's Outcome returned. An error means that
	// the host could not be asked.
	PeerOutcome(ctx context.Context, host model.HostID, org model.Organisation, requestID string) (PeerAnswer, error)
}

// Config holds what a Service works with. All fields but Seed are required.
type Config struct {
	Host    model.HostID
	Zone    model.Zone
	Board   *blackboard.Board
	Journal journal.Journal
	// Table is the fold of the calls stream that feeds on Journal.
	Table   *Table
	Targets targetlink.Caller
	Peers   Peers
	Seed    uint64
}

// Service carries the requests of one entry host.
type Service struct {
	cfg     Config
	gate    *gate
	entries *entries
	stats   counters

	mu       sync.Mutex
	draining bool
	active   int           // runs and background appends
	idle     chan struct{} // closed when active falls to 0 while somebody waits
}

// New returns a service without requests.
func New(cfg Config) *Service {
	s := &Service{
		cfg:     cfg,
		gate:    newGate(cfg.Board, routing.Options{Zone: cfg.Zone, Seed: cfg.Seed}),
		entries: newEntries(),
	}
	if k, ok := cfg.Targets.(targetKeeper); ok {
		s.gate.listed = k.Keep
	}
	return s
}

// targetKeeper is a caller that holds connections; it closes those to targets that
// are no longer listed.
type targetKeeper interface {
	Keep(targets []model.Target)
}

// Apply implements journal.Applier for the calls stream.
func (s *Service) Apply(offset int64, r journal.Record) { s.cfg.Table.Apply(offset, r) }

// Do carries out the request and returns the whole answer of a target. Every error
// is an *apierror.Error; its outcome says whether the request ran.
func (s *Service) Do(ctx context.Context, req Request) (Answer, error) {
	s.stats.requests.Add(1)
	res := s.do(ctx, req)
	s.stats.count(res)
	if res.err != nil {
		return Answer{}, res.err
	}
	return res.answer, nil
}

// plan is a request with everything that was decided before it starts.
type plan struct {
	req      Request
	key      callKey
	digest   digest
	assigned bool // the id was assigned here, so no other host can know it
	service  *servicePlan
	deadline time.Time
}

func newPlan(req Request) *plan {
	p := &plan{req: req}
	if req.ID == "" {
		p.req.ID = uuid.NewString()
		p.assigned = true
	}
	p.digest = sha256.Sum256(req.Body)
	p.key = callKey{org: req.Organisation, id: p.req.ID}
	return p
}

func (s *Service) do(ctx context.Context, req Request) result {
	p := newPlan(req)
	refusal := s.prepare(p)
	if p.service == nil {
		return result{err: refusal}
	}
	e, leader, err := s.entries.join(time.Now(), p)
	if err != nil {
		return result{err: err}
	}
	if leader {
		s.begin(ctx, p, e, refusal)
	}
	return s.await(ctx, e)
}

// begin runs the request apart from the caller's context, because callers with the
// same id share the run and one of them may go away.
func (s *Service) begin(ctx context.Context, p *plan, e *entry, refusal *apierror.Error) {
	run, cancel := context.WithDeadline(context.WithoutCancel(ctx), p.deadline)
	s.entries.started(e, cancel)
	if s.hold() {
		refusal = apierror.NotRun(apierror.CodeLeaving, "this host is leaving")
	}
	go func() {
		defer s.leave()
		defer cancel()
		var res result
		if s.entries.isWithdrawn(e) {
			refusal = refusedBefore(p.req.ID)
		}
		switch {
		case refusal != nil:
			res = s.refuse(run, p, e, refusal)
		case p.service.repeatable:
			res = s.repeat(run, p)
		default:
			res = s.once(run, p, e)
		}
		s.entries.finish(time.Now(), e, res)
	}()
}

// await returns the result of the run. A caller that goes away first is told that
// the request is in progress.
func (s *Service) await(ctx context.Context, e *entry) result {
	select {
	case <-e.done:
		return s.entries.result(e)
	case <-ctx.Done():
		s.entries.abandon(e)
		return result{err: apierror.Unknown(apierror.CodeInProgress, "request %s is in progress", e.key.id)}
	}
}

// hold counts a run or background work and reports whether the host is draining.
func (s *Service) hold() (draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
	return s.draining
}

func (s *Service) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	if s.active == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// Drain refuses new requests and waits until those in progress ended and their
// outcomes were appended, or until ctx ends.
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
