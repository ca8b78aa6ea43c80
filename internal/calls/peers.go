package calls

import (
	"context"
	"sync"
	"time"

	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/model"
)

// PeerOutcome is what one host knows about a request, as it tells another host.
type PeerOutcome string

// Values of PeerOutcome, sent as strings in the RPC message CallOutcomeAnswer.
const (
	PeerRan        PeerOutcome = "ran"
	PeerNotRun     PeerOutcome = "not_run"
	PeerUnknown    PeerOutcome = "unknown"
	PeerInProgress PeerOutcome = "in_progress"
	// PeerNotSent means that the host has not sent the request and promises never to
	// send it, but does not know whether another host did. A host that gets it from
	// all others may report the request as not_run.
	PeerNotSent PeerOutcome = "none"
)

// PeerResponse is what one host reports about a request to another. Status is 0 and
// Body empty when the request ran but its response was not kept.
type PeerResponse struct {
	Outcome PeerOutcome
	Status  int
	Body    []byte
}

// resultFor returns the result of the request id, whose outcome must be PeerRan or
// PeerNotRun.
func (r PeerResponse) resultFor(id string) result {
	switch {
	case r.Outcome == PeerNotRun:
		return result{final: true, err: alreadyRefusedError(id)}
	case r.Status == 0:
		return result{final: true, err: responseNotKeptError(id)}
	default:
		return result{final: true, response: Response{RequestID: id, Status: r.Status, Body: r.Body}}
	}
}

// peerResponse returns the state of the request in the log, for another host.
func (c callState) peerResponse() PeerResponse {
	switch c.outcome {
	case model.OutcomeRan:
		if c.bodyOmitted {
			return PeerResponse{Outcome: PeerRan}
		}
		return PeerResponse{Outcome: PeerRan, Status: c.status, Body: c.body}
	case model.OutcomeNotRun:
		return PeerResponse{Outcome: PeerNotRun}
	default:
		return PeerResponse{Outcome: PeerUnknown}
	}
}

// resultFor returns the state of the request id in the log as a result for its caller.
func (c callState) resultFor(id string) result {
	response := c.peerResponse()
	if response.Outcome == PeerUnknown {
		return unknownOutcomeResult(id, c.host)
	}
	return response.resultFor(id)
}

// Outcome returns what this host knows about a request, for another host. If it knows
// nothing, it will not send the request from now on, so that the other host can safely
// refuse it.
func (s *Service) Outcome(org model.Organisation, request string) PeerResponse {
	key := requestKey{org: org, id: request}
	status := s.requests.promiseNotToSend(time.Now(), key)
	known, logged := s.cfg.Table.get(key)
	switch {
	case logged && known.outcome != "":
		return known.peerResponse()
	case logged && known.uniqueID != status.intentID:
		// The intent of another host, or of this host before its restart.
		return PeerResponse{Outcome: PeerUnknown}
	case logged && status.willNotSend:
		return PeerResponse{Outcome: PeerNotRun}
	case status.response.Outcome == PeerNotSent && !s.cfg.Journal.Replayed(journal.StreamCalls):
		// This host may have sent it before its restart.
		return PeerResponse{Outcome: PeerUnknown}
	default:
		return status.response
	}
}

// refuse returns the result of a request that this host does not run. An earlier
// submission of a non-repeatable request may have run at another host, so it is reported
// as not_run only if the other hosts confirm that they have not sent it.
func (s *Service) refuse(ctx context.Context, p *preparedRequest, e *requestEntry, refusal *apierror.Error) result {
	if p.service == nil || p.service.repeatable {
		return result{err: refusal}
	}
	return s.confirmRefusal(ctx, p, e, refusal)
}

// confirmRefusal returns the result of a request that this host will not send, after
// finding out whether it has run or may still run at another host. e is the request's
// entry at this host, or nil.
func (s *Service) confirmRefusal(ctx context.Context, p *preparedRequest, e *requestEntry, refusal *apierror.Error) result {
	if p.idGenerated {
		return result{err: refusal}
	}
	s.requests.setWillNotSend(e)
	if known, ok := s.cfg.Table.get(p.key); ok {
		return s.resolveLogged(ctx, p, e, known, refusal)
	}
	s.stats.peerChecks.Add(1)
	responses := s.queryAllPeers(ctx, p)
	if known, ok := s.cfg.Table.get(p.key); ok {
		return s.resolveLogged(ctx, p, e, known, refusal)
	}
	confirmed := s.cfg.Journal.Replayed(journal.StreamCalls)
	for _, response := range responses {
		switch response.Outcome {
		case PeerRan, PeerNotRun:
			return response.resultFor(p.req.ID)
		case PeerNotSent:
		default:
			confirmed = false
		}
	}
	if confirmed {
		// Not final: a host that restarts forgets its promise not to send, so the
		// next submission queries the hosts again.
		return result{err: refusal}
	}
	return result{err: apierror.Unknown(refusal.Code, "%s; another host may have run it", refusal.Message)}
}

// resolveLogged returns the result of a run that will not send its request, which has an
// intent in the log. If that is the run's own intent, no host sends the request.
func (s *Service) resolveLogged(ctx context.Context, p *preparedRequest, e *requestEntry, known callState, refusal *apierror.Error) result {
	if e != nil && known.uniqueID == s.requests.intentID(e) {
		return result{err: refusal, final: true}
	}
	return s.waitForOutcome(ctx, p, known)
}

// maxPeerQueryAttempts is the number of queries to one live host. The second query covers
// the loss of one message without delaying a refusal for long.
const maxPeerQueryAttempts = 2

// queryAllPeers queries every other member in parallel. The response of a member that
// cannot be reached is PeerUnknown.
func (s *Service) queryAllPeers(ctx context.Context, p *preparedRequest) []PeerResponse {
	members := s.cfg.Board.Members.List()
	responses := make([]PeerResponse, len(members))
	var queries sync.WaitGroup
	for i, m := range members {
		switch {
		case m.Host == s.cfg.Host:
			responses[i] = PeerResponse{Outcome: PeerNotSent}
		case !m.Alive:
			responses[i] = PeerResponse{Outcome: PeerUnknown}
		default:
			queries.Go(func() { responses[i] = s.queryPeerWithRetry(ctx, p, m.Host) })
		}
	}
	queries.Wait()
	return responses
}

// queryPeerWithRetry returns the host's response, or PeerUnknown if all attempts fail.
func (s *Service) queryPeerWithRetry(ctx context.Context, p *preparedRequest, host model.HostID) PeerResponse {
	for range maxPeerQueryAttempts {
		if response, err := s.queryPeer(ctx, p, host); err == nil {
			return response
		}
	}
	return PeerResponse{Outcome: PeerUnknown}
}
