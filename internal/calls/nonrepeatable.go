package calls

import (
	"context"
	"encoding/hex"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/routing"
)

const (
	// maxRecordedBodyBytes limits the response bodies that are recorded in the journal.
	maxRecordedBodyBytes = 64 << 10
	// outcomeAppendTimeout limits the append of an outcome or a cancellation, which waits
	// for the end of a log outage. It equals the retention of outcomes, after which no
	// host needs them.
	outcomeAppendTimeout = outcomeRetention
	// peerQueryTimeShare is the share of a request's remaining time, from 0 to 1, that is
	// reserved for queries to the other hosts if the append of the intent does not end.
	peerQueryTimeShare = 0.25
)

// runNonRepeatable runs a non-repeatable request. It sends nothing to a target before an
// intent of this run is in the log and is the first intent of the request.
func (s *Service) runNonRepeatable(ctx context.Context, p *preparedRequest, e *requestEntry) result {
	if known, ok := s.cfg.Table.get(p.key); ok {
		return s.waitForOutcome(ctx, p, known)
	}
	if refused := s.checkBeforeIntent(p); refused != nil {
		return s.refuse(ctx, p, e, refused)
	}
	intent := journal.CallIntent{
		Organisation: p.req.Organisation,
		Request:      p.req.ID,
		Service:      p.req.Service,
		BodyDigest:   hex.EncodeToString(p.digest[:]),
		UniqueID:     uuid.NewString(),
	}
	s.requests.setIntentID(e, intent.UniqueID)
	if err := s.appendIntent(ctx, p, intent); err != nil {
		if !errors.Is(err, journal.ErrNotRecorded) {
			s.appendInBackground(journal.KindCallCancelled, cancellation(intent))
		}
		return s.confirmRefusal(ctx, p, e, apierror.NotRun(apierror.CodeLogUnavailable, "the intent of request %s was not recorded: %v", p.req.ID, err))
	}
	known, ok := s.cfg.Table.get(p.key)
	switch {
	case !ok:
		s.appendInBackground(journal.KindCallCancelled, cancellation(intent))
		return s.confirmRefusal(ctx, p, e, apierror.NotRun(apierror.CodeInternal, "the intent of request %s was not found in the log", p.req.ID))
	case known.uniqueID != intent.UniqueID || known.outcome != "":
		return s.waitForOutcome(ctx, p, known)
	default:
		return s.sendNonRepeatable(ctx, p, intent)
	}
}

// checkBeforeIntent returns why the request cannot run now, or nil. No intent is appended
// for a request that cannot run.
func (s *Service) checkBeforeIntent(p *preparedRequest) *apierror.Error {
	if !s.cfg.Journal.State().Reachable {
		return apierror.NotRun(apierror.CodeLogUnavailable, "request %s is non-repeatable and the log is unreachable", p.req.ID)
	}
	if s.cfg.Table.full() {
		return apierror.NotRun(apierror.CodeOverloaded, "this host already stores %d non-repeatable requests, the maximum", maxTableCalls)
	}
	return s.dispatcher.precheck(p)
}

// appendIntent appends the intent to the calls stream, within the part of the remaining
// time that is not reserved for peer queries.
func (s *Service) appendIntent(ctx context.Context, p *preparedRequest, intent journal.CallIntent) error {
	left := time.Until(p.deadline)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(float64(left)*(1-peerQueryTimeShare)))
	defer cancel()
	r, err := journal.NewRecord(journal.KindCallIntent, s.cfg.Host, intent.UniqueID, time.Now(), intent)
	if err != nil {
		return err
	}
	s.stats.intents.Add(1)
	_, err = s.cfg.Journal.Append(ctx, journal.StreamCalls, r)
	return err
}

// sendNonRepeatable sends the request, whose first intent is this run's. It retries on
// another target only if the last one certainly did not run the request.
func (s *Service) sendNonRepeatable(ctx context.Context, p *preparedRequest, intent journal.CallIntent) result {
	s.dispatcher.recordCall(p.req.Service)
	retry := newRetryState()
	last := attemptResult{outcome: attemptNotRun}
	for {
		c, refused := s.dispatcher.acquire(ctx, p, retry.tried)
		if refused != nil {
			return s.recordOutcome(p, intent, failureResult(p, last, false, refused))
		}
		last = s.send(ctx, p, c)
		if last.outcome != attemptNotRun || !s.waitForRetry(ctx, p, retry, c.Target.ID) {
			return s.recordOutcome(p, intent, failureResult(p, last, last.outcome != attemptNotRun, nil))
		}
	}
}

// recordOutcome makes the result final and appends the outcome of the request, or its
// cancellation if it did not run, in the background, so that the caller does not wait
// for the append.
func (s *Service) recordOutcome(p *preparedRequest, intent journal.CallIntent, res result) result {
	res.final = true
	if res.err != nil && res.err.Outcome == model.OutcomeNotRun {
		s.appendInBackground(journal.KindCallCancelled, cancellation(intent))
		return res
	}
	outcome := journal.CallOutcome{Organisation: p.req.Organisation, Request: p.req.ID, Outcome: model.OutcomeRan}
	switch {
	case res.err != nil:
		outcome.Outcome = res.err.Outcome
		outcome.BodyOmitted = res.err.Outcome == model.OutcomeRan
	case len(res.response.Body) > maxRecordedBodyBytes:
		outcome.Status = res.response.Status
		outcome.BodyOmitted = true
	default:
		outcome.Status = res.response.Status
		outcome.Body = res.response.Body
	}
	s.appendInBackground(journal.KindCallOutcome, outcome)
	return res
}

// cancellation returns the record that cancels the intent.
func cancellation(intent journal.CallIntent) journal.CallCancelled {
	return journal.CallCancelled{Organisation: intent.Organisation, Request: intent.Request, UniqueID: intent.UniqueID}
}

// appendInBackground appends a record to the calls stream. Only Drain waits for the
// append.
func (s *Service) appendInBackground(kind journal.Kind, body any) {
	r, err := journal.NewRecord(kind, s.cfg.Host, uuid.NewString(), time.Now(), body)
	if err != nil {
		s.stats.lostRecords.Add(1)
		return
	}
	s.beginWork()
	go func() {
		defer s.endWork()
		ctx, cancel := context.WithTimeout(context.Background(), outcomeAppendTimeout)
		defer cancel()
		if _, err := s.cfg.Journal.Append(ctx, journal.StreamCalls, r); err != nil {
			s.stats.lostRecords.Add(1)
		}
	}()
}

const (
	// pollInitialDelay and pollMaxDelay are the limits of the delay between two queries
	// to the host that appended the intent. It doubles after each query.
	pollInitialDelay = 20 * time.Millisecond
	pollMaxDelay     = 500 * time.Millisecond
	// peerQueryTimeout limits one query to another host.
	peerQueryTimeout = time.Second
)

// waitForOutcome waits for the outcome of a request whose intent belongs to another run.
// It never sends the request.
func (s *Service) waitForOutcome(ctx context.Context, p *preparedRequest, known callState) result {
	if known.digest != p.digest || known.service != p.req.Service {
		return result{err: idReusedError(p.req.ID)}
	}
	s.stats.duplicates.Add(1)
	for delay := pollInitialDelay; ; delay = min(2*delay, pollMaxDelay) {
		changed := s.cfg.Table.Changed()
		if current, ok := s.cfg.Table.get(p.key); ok {
			known = current
		}
		if known.outcome != "" {
			return known.resultFor(p.req.ID)
		}
		if known.host == s.cfg.Host || !s.isAlive(known.host) {
			return unknownOutcomeResult(p.req.ID, known.host)
		}
		if res, ended := s.queryIntentHost(ctx, p, known.host); ended {
			return res
		}
		if !waitForChange(ctx, routing.Jitter(delay), changed) {
			return result{err: apierror.Unknown(apierror.CodeInProgress, "request %s is in progress at host %s", p.req.ID, known.host)}
		}
	}
}

// unknownOutcomeResult returns the result of a request that host sent and whose outcome is
// unknown.
func unknownOutcomeResult(id string, host model.HostID) result {
	return result{err: apierror.Unknown(apierror.CodeUnknownOutcome, "request %s was sent by host %s and its outcome is unknown", id, host)}
}

// queryIntentHost queries the host that appended the intent. ended is false if the query
// should be repeated.
func (s *Service) queryIntentHost(ctx context.Context, p *preparedRequest, host model.HostID) (res result, ended bool) {
	response, err := s.queryPeer(ctx, p, host)
	if err != nil {
		return result{}, false
	}
	switch response.Outcome {
	case PeerRan, PeerNotRun:
		return response.resultFor(p.req.ID), true
	case PeerUnknown:
		// The host restarted after it appended the intent, or does not know the outcome.
		return unknownOutcomeResult(p.req.ID, host), true
	default: // in progress, or the host has not read its own intent from the log yet
		return result{}, false
	}
}

// queryPeer queries one host once, within peerQueryTimeout.
func (s *Service) queryPeer(ctx context.Context, p *preparedRequest, host model.HostID) (PeerResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	s.stats.peerQueries.Add(1)
	return s.cfg.Peers.QueryOutcome(ctx, host, p.req.Organisation, p.req.ID)
}

// isAlive reports whether the member list has the host as alive.
func (s *Service) isAlive(host model.HostID) bool {
	for _, m := range s.cfg.Board.Members.List() {
		if m.Host == host {
			return m.Alive
		}
	}
	return false
}

// waitForChange waits until d has passed or changed is closed. It returns false if ctx
// ends first.
func waitForChange(ctx context.Context, d time.Duration, changed <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return ctx.Err() == nil
}
