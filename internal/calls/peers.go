package calls

import (
	"context"
	"sync"
	"time"

	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/model"
)

// PeerOutcome is what a host knows about a request.
type PeerOutcome string

// Outcomes between hosts. They travel as strings in twirp CallOutcomeAnswer.
const (
	PeerRan        PeerOutcome = "ran"
	PeerNotRun     PeerOutcome = "not_run"
	PeerUnknown    PeerOutcome = "unknown"
	PeerInProgress PeerOutcome = "in_progress"
	// PeerNone says that the host has not sent the request and never will, but
	// does not know whether another host did. An asking host that hears it from
	// all others may answer not_run.
	PeerNone PeerOutcome = "none"
)

// PeerAnswer is a host's knowledge of a request. Status is 0 and Body empty when a
// request ran but its answer was not kept.
type PeerAnswer struct {
	Outcome PeerOutcome
	Status  int
	Body    []byte
}

func (a PeerAnswer) result(id string) result {
	switch {
	case a.Outcome == PeerNotRun:
		return result{final: true, err: refusedBefore(id)}
	case a.Status == 0:
		return result{final: true, err: answerNotKept(id)}
	default:
		return result{final: true, answer: Answer{RequestID: id, Status: a.Status, Body: a.Body}}
	}
}

// peerAnswer is what the log says about a request, for another host.
func (c callState) peerAnswer() PeerAnswer {
	switch c.outcome {
	case model.OutcomeRan:
		if c.omitted {
			return PeerAnswer{Outcome: PeerRan}
		}
		return PeerAnswer{Outcome: PeerRan, Status: c.status, Body: c.body}
	case model.OutcomeNotRun:
		return PeerAnswer{Outcome: PeerNotRun}
	default:
		return PeerAnswer{Outcome: PeerUnknown}
	}
}

// result is what the log says about a request, for its caller.
func (c callState) result(id string) result {
	a := c.peerAnswer()
	if a.Outcome == PeerUnknown {
		return unknownOutcome(id, c.host)
	}
	return a.result(id)
}

// Outcome answers another host's question about a request. When this host knows
// nothing of it, it promises not to send it, so that the other host's refusal holds.
func (s *Service) Outcome(org model.Organisation, request string) PeerAnswer {
	key := callKey{org: org, id: request}
	view := s.entries.promise(time.Now(), key)
	known, logged := s.cfg.Table.get(key)
	switch {
	case logged && known.outcome != "":
		return known.peerAnswer()
	case logged && known.uniqueID != view.intent:
		// Another host's intent, or one of an earlier incarnation of this host.
		return PeerAnswer{Outcome: PeerUnknown}
	case logged && view.withdrawn:
		return PeerAnswer{Outcome: PeerNotRun}
	case view.answer.Outcome == PeerNone && !s.cfg.Journal.Replayed(journal.StreamCalls):
		// An earlier incarnation of this host may have sent it.
		return PeerAnswer{Outcome: PeerUnknown}
	default:
		return view.answer
	}
}

// refuse ends a request that this host does not carry out. An earlier submission of
// a non-repeatable request may have run at another host, so not_run is said only
// when the others confirm it.
func (s *Service) refuse(ctx context.Context, p *plan, e *entry, refusal *apierror.Error) result {
	if p.service == nil || p.service.repeatable {
		return result{err: refusal}
	}
	return s.settle(ctx, p, e, refusal)
}

// settle finds out whether a request that this host will not send has run or may
// still run at another host. e is the request's entry at this host, if any.
func (s *Service) settle(ctx context.Context, p *plan, e *entry, refusal *apierror.Error) result {
	if p.assigned {
		return result{err: refusal}
	}
	s.entries.withdraw(e)
	if known, ok := s.cfg.Table.get(p.key); ok {
		return s.settleLogged(ctx, p, e, known, refusal)
	}
	s.stats.settled.Add(1)
	answers := s.askAll(ctx, p)
	if known, ok := s.cfg.Table.get(p.key); ok {
		return s.settleLogged(ctx, p, e, known, refusal)
	}
	clear := s.cfg.Journal.Replayed(journal.StreamCalls)
	for _, a := range answers {
		switch a.Outcome {
		case PeerRan, PeerNotRun:
			return a.result(p.req.ID)
		case PeerNone:
		default:
			clear = false
		}
	}
	if clear {
		// Not final: a host that restarts forgets its promise, so the next
		// submission asks again.
		return result{err: refusal}
	}
	return result{err: apierror.Unknown(refusal.Code, "%s; another host may have run it", refusal.Message)}
}

// settleLogged ends a withdrawn run whose request has an intent in the log. If that
// is the run's own intent, no host sends the request.
func (s *Service) settleLogged(ctx context.Context, p *plan, e *entry, known callState, refusal *apierror.Error) result {
	if e != nil && known.uniqueID == s.entries.intentOf(e) {
		return result{err: refusal, final: true}
	}
	return s.follow(ctx, p, known)
}

// askTries is how often a host that is alive is asked. A second question covers one
// lost message without holding up a refusal for long.
const askTries = 2

// askAll asks every other member. A member that cannot be asked counts as unknown.
func (s *Service) askAll(ctx context.Context, p *plan) []PeerAnswer {
	members := s.cfg.Board.Members.List()
	answers := make([]PeerAnswer, len(members))
	var asking sync.WaitGroup
	for i, m := range members {
		switch {
		case m.Host == s.cfg.Host:
			answers[i] = PeerAnswer{Outcome: PeerNone}
		case !m.Alive:
			answers[i] = PeerAnswer{Outcome: PeerUnknown}
		default:
			asking.Go(func() { answers[i] = s.askTwice(ctx, p, m.Host) })
		}
	}
	asking.Wait()
	return answers
}

func (s *Service) askTwice(ctx context.Context, p *plan, host model.HostID) PeerAnswer {
	for range askTries {
		if a, err := s.ask(ctx, p, host); err == nil {
			return a
		}
	}
	return PeerAnswer{Outcome: PeerUnknown}
}
