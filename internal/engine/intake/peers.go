package intake

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/recovery"
	"github.com/daisyfold/daisyfold/internal/engine/work"
)

// Operation is what a call asks for.
type Operation string

// Operations of callers.
const (
	Submission   Operation = "submission"
	Cancellation Operation = "cancellation"
	StatusQuery  Operation = "status"
	WaitingCount Operation = "count"
)

// Writes reports whether the operation appends to the store.
func (o Operation) Writes() bool { return o == Submission || o == Cancellation }

// Request is a call as it is passed to a peer.
type Request struct {
	Operation Operation
	Call      Call
	ID        string    // of the job; empty for WaitingCount
	Job       *work.Job // for a submission, as the caller sent it
}

// Relayed is what became of a call that was passed to peers.
type Relayed struct {
	Answered bool   // a peer knows the answer
	Answer   Answer // the answer, if there is one
	// MayHaveRun reports whether a peer may have executed the call without an answer.
	MayHaveRun bool
	// Manifest is the version of the manifest at the peer that answered.
	Manifest int64
}

// Peers passes calls to other hosts.
type Peers interface {
	// Relay passes a call on. A call is relayed once: peers do not pass it on again.
	Relay(ctx context.Context, r Request) Relayed
	// StoreFails reports whether the last calls of this host to the store failed that the
	// operation needs.
	StoreFails(o Operation) bool
}

// hedgeDelay is how long an operation waits for the store before a peer is asked as well: the
// first attempt of an append has had no answer by then, and a caller whose objective is a second
// can still be served in time.
const hedgeDelay = 250 * time.Millisecond

// localCall executes a call at this host. settled is false if a peer may know a better answer.
type localCall func(ctx context.Context) (a Answer, settled bool)

// serve executes a call at this host, at a peer, or at both. It asks the peer first while the
// store fails this host, and otherwise once the host has refused the call or waits for the
// store. Submissions and cancellations may be executed twice: a job's first record is the valid
// one.
func (s *Service) serve(ctx context.Context, r Request, local localCall) Answer {
	if s.Peers == nil || r.Call.Relayed {
		a, _ := local(ctx)
		return a
	}
	r.Call.MinManifest = s.minManifest(r.Call)
	if s.Peers.StoreFails(r.Operation) && !s.isDone(r) {
		relayed := s.relay(ctx, r)
		if relayed.Answered {
			return combine(r.Operation, Answer{Outcome: TryLater}, relayed)
		}
		a, _ := local(ctx)
		return combine(r.Operation, a, relayed)
	}
	localCtx, cancelLocal := context.WithCancel(ctx)
	defer cancelLocal()
	relayCtx, cancelRelay := context.WithCancel(ctx)
	defer cancelRelay()
	h := startHedge(func() Relayed { return s.relay(relayCtx, r) }, cancelLocal)
	a, settled := local(localCtx)
	if settled && (h.cancel() || !refuses(a.Outcome)) {
		return a
	}
	return combine(r.Operation, a, h.finish())
}

// isDone reports whether the copy shows that nothing is left to do for a call but to answer it.
func (s *Service) isDone(r Request) bool {
	e, known := s.Jobs.Get(r.ID)
	switch {
	case !known || e.Job == nil:
		return false
	case r.Operation == Submission:
		return true
	case r.Operation == Cancellation && e.Cancelled:
		return true
	}
	return e.Status.Ended()
}

// peerMayAdmit reports whether a peer may admit a submission that this host refuses.
func (s *Service) peerMayAdmit(refused Answer) bool {
	switch {
	case s.Peers == nil:
		return false
	case refused.Outcome == TryLater:
		return true
	}
	return refused.Outcome == NoQueue && s.Peers.StoreFails(Submission) // the queue may be new
}

// organisationByKey returns the organisation that holds a key according to the manifest of this
// host, whatever its age, or "".
func (s *Service) organisationByKey(key string) string {
	if m := s.Operator.View().Manifest; m != nil {
		if o := m.OrganisationByKey(key); o != nil {
			return o.Name
		}
	}
	return ""
}

// relay passes a call to a peer and remembers the newest manifest that callers of this host
// have seen at work. A job that is invalid whatever the manifest is not passed on.
func (s *Service) relay(ctx context.Context, r Request) Relayed {
	if r.Job != nil && r.Job.Validate() != nil {
		return Relayed{}
	}
	var relayed Relayed
	if err := recovery.Call(func() error { relayed = s.Peers.Relay(ctx, r); return nil }); err != nil {
		s.Logger.Error("relaying a call failed unexpectedly", zap.Error(err))
		return Relayed{MayHaveRun: true}
	}
	if relayed.Answered {
		s.shownManifest.raise(relayed.Manifest)
	}
	return relayed
}

// minManifest returns the least version of the manifest with which a call may be answered, so
// that callers of this host see no version after a later one.
func (s *Service) minManifest(c Call) int64 {
	least := max(c.MinManifest, s.shownManifest.Load())
	if m := s.Operator.View().Manifest; m != nil {
		least = max(least, m.Version)
	}
	return least
}

// version is the highest of the versions that it was raised to.
type version struct{ atomic.Int64 }

func (v *version) raise(to int64) {
	for {
		current := v.Load()
		if to <= current || v.CompareAndSwap(current, to) {
			return
		}
	}
}

// refuses reports whether an outcome promises that the call was not executed.
func refuses(o Outcome) bool { return o != OK && o != NoJob && o != Unknown }

// combine returns the answer to a call from the answer of this host and what became of the call
// at peers. A refusal is returned only if neither may have executed the call.
func combine(o Operation, local Answer, relayed Relayed) Answer {
	a := local
	if relayed.Answered && (local.Outcome != OK || !refuses(relayed.Answer.Outcome)) {
		a = relayed.Answer
	}
	mayHaveRun := o.Writes() && (local.Outcome == Unknown || relayed.MayHaveRun)
	if mayHaveRun && refuses(a.Outcome) {
		return Answer{Outcome: Unknown, Reason: "another attempt had no answer, and then: " + a.Reason, RetryAfter: retryAfter}
	}
	return a
}

// hedge is a relay that starts after hedgeDelay.
type hedge struct {
	timer  *time.Timer
	run    func()
	done   chan struct{} // closed when the relay has ended
	result Relayed       // readable after done
}

// startHedge returns a hedge that calls answered if a peer knows the answer.
func startHedge(relay func() Relayed, answered func()) *hedge {
	h := &hedge{done: make(chan struct{})}
	h.run = func() {
		defer close(h.done)
		if h.result = relay(); h.result.Answered {
			answered()
		}
	}
	h.timer = time.AfterFunc(hedgeDelay, h.run)
	return h
}

// cancel keeps the relay from starting and reports whether it had not started.
func (h *hedge) cancel() bool { return h.timer.Stop() }

// finish starts the relay unless it has started, and returns its result.
func (h *hedge) finish() Relayed {
	if h.timer.Stop() {
		h.run()
	}
	<-h.done
	return h.result
}
