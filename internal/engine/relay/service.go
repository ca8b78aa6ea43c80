package relay

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/boottime"
	"github.com/daisyfold/daisyfold/internal/engine/intake"
	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/work"
)

const (
	// maxAttempts is the number of peers that a call is sent to, one after the other.
	maxAttempts = 3
	// attemptTimeout is how long a peer may take. It covers two attempts of an append at a
	// store that is not slow.
	attemptTimeout = 600 * time.Millisecond
	// transferMargin is the part of attemptTimeout that is left for the transfer.
	transferMargin = 100 * time.Millisecond
	// maxShare is the share of the caller's remaining time that relaying may take. The rest is
	// left for an attempt at this host's own store.
	maxShare = 0.6
	// minTimeout is the shortest time in which an attempt can succeed.
	minTimeout = transferMargin + 50*time.Millisecond
	// maxOutgoing and maxIncoming bound the relayed calls in progress. They cover some 30 calls
	// a second that each wait for the longest time.
	maxOutgoing = 64
	maxIncoming = 32
)

// Intake executes calls.
type Intake interface {
	Submit(ctx context.Context, c intake.Call, job work.Job) intake.Answer
	Cancel(ctx context.Context, c intake.Call, id string) intake.Answer
	Status(ctx context.Context, c intake.Call, id string) intake.Answer
	CountWaiting(ctx context.Context, c intake.Call) intake.Answer
}

// Options configure a service.
type Options struct {
	Host, Zone string
	Store      *store.Watched
	Transport  Transport
	// Operator returns the manifest in force.
	Operator  *replica.Operator
	Now       boottime.Clock
	WallClock func() time.Time
	Metrics   gometrics.Registry
	Logger    *zap.Logger
}

// Service relays the calls of one host and executes those of its peers. It implements
// intake.Peers.
type Service struct {
	Options
	Directory *Directory
	intake    Intake
	outgoing  chan struct{} // semaphore for calls to peers
	incoming  chan struct{} // semaphore for calls of peers
	stopping  atomic.Bool

	mu   sync.Mutex
	seen map[string]history // by host
	// pausedUntil is until when no call is relayed, by the boot-time clock.
	pausedUntil time.Duration
}

// New returns a service. SetIntake must be called before Execute.
func New(o Options) *Service {
	return &Service{
		Options: o, Directory: NewDirectory(o.Host), seen: map[string]history{},
		outgoing: make(chan struct{}, maxOutgoing), incoming: make(chan struct{}, maxIncoming),
	}
}

// SetIntake sets what executes the calls of peers.
func (s *Service) SetIntake(in Intake) { s.intake = in }

// Stop makes the service refuse the calls of peers from now on.
func (s *Service) Stop() { s.stopping.Store(true) }

// StoreFails implements intake.Peers.
func (s *Service) StoreFails(o intake.Operation) bool {
	if o.Writes() {
		return s.Store.WritesFail()
	}
	return s.Store.ReadsFail()
}

// Relay implements intake.Peers. It asks one peer after the other until one knows the answer.
func (s *Service) Relay(ctx context.Context, r intake.Request) intake.Relayed {
	select {
	case s.outgoing <- struct{}{}:
		defer func() { <-s.outgoing }()
	default:
		s.count("relay.sent.too_many")
		return intake.Relayed{}
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(attemptTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(maxShare*float64(time.Until(deadline))))
	defer cancel()
	start := time.Now()
	var relayed intake.Relayed
	peers, refusals := s.peers(), 0
	for _, p := range peers {
		timeout := s.attemptTimeout(ctx)
		if timeout < minTimeout {
			break
		}
		if s.ask(ctx, p, r, timeout, &relayed) {
			refusals++
		}
		if relayed.Answered {
			break
		}
	}
	if refusals == maxAttempts {
		s.pause()
	}
	s.report(r, len(peers), relayed, time.Since(start))
	return relayed
}

// attemptTimeout returns the time for the next attempt.
func (s *Service) attemptTimeout(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline() // Relay sets one
	if ctx.Err() != nil {
		return 0
	}
	return min(attemptTimeout, time.Until(deadline))
}

// ask sends a call to a peer, adds what became of it to relayed, and reports whether the peer
// refused it.
func (s *Service) ask(ctx context.Context, p Peer, r intake.Request, timeout time.Duration, relayed *intake.Relayed) (refused bool) {
	attemptCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := s.Transport.Send(attemptCtx, p.Address, newRequest(p, r, timeout-transferMargin))
	if err == nil && !reply.isValid(r.Operation) {
		err = errInvalidReply
	}
	switch {
	case errors.Is(err, ErrTooLarge):
	case errors.Is(err, ErrNotExecuted):
		s.learn(p, (*history).refused)
		return true
	case err != nil:
		relayed.MayHaveRun = relayed.MayHaveRun || !errors.Is(err, ErrUnreachable)
		if ctx.Err() == nil { // otherwise the answer is no longer needed
			s.learn(p, (*history).silent)
		}
	case reply.Outcome == intake.TryLater:
		s.learn(p, (*history).refused)
		return true
	case reply.Outcome == intake.Unknown:
		relayed.MayHaveRun = true
		s.learn(p, (*history).refused)
	default:
		relayed.Answered, relayed.Answer, relayed.Manifest = true, reply.answer(), reply.Manifest
		s.learn(p, (*history).answered)
	}
	return false
}

// pause keeps calls from being relayed for refusalBackoff. If all peers that were asked refuse, the
// store is probably down for all: without a pause, a host would ask each of hundreds of peers in
// turn, and as many would ask it.
func (s *Service) pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pausedUntil = s.Now() + refusalBackoff
}

// peers returns the peers to ask, in this order.
func (s *Service) peers() []Peer {
	others := s.Directory.Others(s.WallClock().UnixMilli())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Now() < s.pausedUntil {
		return nil
	}
	if len(s.seen) > 2*maxPeers {
		clear(s.seen) // hosts that came and went
	}
	return pick(rank(others, s.Zone, s.seen, s.Now()), s.Zone, maxAttempts)
}

// learn updates the history of a peer.
func (s *Service) learn(p Peer, update func(*history, time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.seen[p.Host]
	if h.address != p.Address {
		h = history{address: p.Address}
	}
	update(&h, s.Now())
	s.seen[p.Host] = h
}

// report counts and logs a call that was relayed.
func (s *Service) report(r intake.Request, peers int, relayed intake.Relayed, took time.Duration) {
	result := "refused"
	switch {
	case relayed.Answered:
		result = relayed.Answer.Outcome.String()
	case relayed.MayHaveRun:
		result = "unknown"
	case peers == 0:
		result = "no_peer"
	}
	s.count("relay.sent." + result)
	gometrics.GetOrRegisterTimer("relay.duration", s.Metrics).Update(took)
	s.Logger.Info("call relayed", zap.String("operation", string(r.Operation)), zap.String("job", r.ID), zap.String("result", result),
		zap.Int64("manifest", relayed.Manifest), zap.Duration("took", took))
}

func (s *Service) count(name string) { gometrics.GetOrRegisterCounter(name, s.Metrics).Inc(1) }

// begin takes a place among the calls of peers, unless there is none. release returns it.
func (s *Service) begin() (release func(), ok bool) {
	select {
	case s.incoming <- struct{}{}:
		return func() { <-s.incoming }, true
	default:
		s.count("relay.received.refused")
		return nil, false
	}
}

// Execute executes a peer's call. Its error wraps ErrNotExecuted if this host cannot serve the
// call.
func (s *Service) Execute(ctx context.Context, r Request) (Reply, error) {
	if reason := s.refusal(r); reason != "" {
		s.count("relay.received.refused")
		return Reply{}, notExecuted(reason)
	}
	a, ok := s.execute(ctx, r)
	if !ok {
		return Reply{}, notExecuted("unknown operation")
	}
	s.count("relay.received." + a.Outcome.String())
	var manifest int64
	if m := s.Operator.View().Manifest; m != nil {
		manifest = m.Version
	}
	return newReply(a, manifest), nil
}

// refusal returns why this host does not execute a peer's call, or "" if it does.
func (s *Service) refusal(r Request) string {
	switch {
	case r.To != s.Host:
		return "the call is for another host"
	case s.stopping.Load():
		return "the host is stopping"
	case s.StoreFails(r.Operation):
		return "the store fails this host, too"
	case r.TimeoutMS <= 0 || r.TimeoutMS > attemptTimeout.Milliseconds():
		return "the time limit is invalid"
	}
	return ""
}

func (s *Service) execute(ctx context.Context, r Request) (a intake.Answer, ok bool) {
	switch {
	case r.Operation == intake.Submission && r.Job != nil && r.Job.ID == r.ID:
		return s.intake.Submit(ctx, r.call(), *r.Job), true
	case r.Operation == intake.Cancellation:
		return s.intake.Cancel(ctx, r.call(), r.ID), true
	case r.Operation == intake.StatusQuery:
		return s.intake.Status(ctx, r.call(), r.ID), true
	case r.Operation == intake.WaitingCount:
		return s.intake.CountWaiting(ctx, r.call()), true
	}
	return intake.Answer{}, false
}
