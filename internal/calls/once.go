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
	// maxRecordedBody is the largest answer that goes into the journal.
	maxRecordedBody = 64 << 10
	// appendTimeout bounds the append of an outcome or a cancellation, which waits
	// for the end of a log outage. Nobody asks for them later than that.
	appendTimeout = keepTime
	// askReserve is the share of a request's time that is left to ask the other
	// hosts when the intent's append does not end.
	askReserve = 0.25
)

// once carries out a non-repeatable request: the intent is in the log, and is the
// first one of the request, before any byte is sent to a target.
func (s *Service) once(ctx context.Context, p *plan, e *entry) result {
	if known, ok := s.cfg.Table.get(p.key); ok {
		return s.follow(ctx, p, known)
	}
	if refused := s.beforeIntent(p); refused != nil {
		return s.refuse(ctx, p, e, refused)
	}
	in := journal.CallIntent{
		Organisation: p.req.Organisation,
		Request:      p.req.ID,
		Service:      p.req.Service,
		BodyDigest:   hex.EncodeToString(p.digest[:]),
		UniqueID:     uuid.NewString(),
	}
	s.entries.setIntent(e, in.UniqueID)
	if err := s.appendIntent(ctx, p, in); err != nil {
		if !errors.Is(err, journal.ErrNotRecorded) {
			s.background(journal.KindCallCancelled, cancellation(in))
		}
		return s.settle(ctx, p, e, apierror.NotRun(apierror.CodeLogUnavailable, "the intent of request %s was not recorded: %v", p.req.ID, err))
	}
	known, ok := s.cfg.Table.get(p.key)
	switch {
	case !ok:
		s.background(journal.KindCallCancelled, cancellation(in))
		return s.settle(ctx, p, e, apierror.NotRun(apierror.CodeInternal, "the intent of request %s was not found in the log", p.req.ID))
	case known.uniqueID != in.UniqueID || known.outcome != "":
		return s.follow(ctx, p, known)
	default:
		return s.sendOnce(ctx, p, in)
	}
}

// beforeIntent refuses what would not run anyway, so that it costs no append.
func (s *Service) beforeIntent(p *plan) *apierror.Error {
	if !s.cfg.Journal.State().Reachable {
		return apierror.NotRun(apierror.CodeLogUnavailable, "request %s is non-repeatable and the log is unreachable", p.req.ID)
	}
	if s.cfg.Table.full() {
		return apierror.NotRun(apierror.CodeOverloaded, "this host remembers %d non-repeatable requests and takes no more", maxTableCalls)
	}
	return s.gate.precheck(p)
}

func (s *Service) appendIntent(ctx context.Context, p *plan, in journal.CallIntent) error {
	left := time.Until(p.deadline)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(float64(left)*(1-askReserve)))
	defer cancel()
	r, err := journal.NewRecord(journal.KindCallIntent, s.cfg.Host, in.UniqueID, time.Now(), in)
	if err != nil {
		return err
	}
	s.stats.intents.Add(1)
	_, err = s.cfg.Journal.Append(ctx, journal.StreamCalls, r)
	return err
}

// sendOnce sends the request whose intent won. It goes to another target only when
// it is certain that the last one did not run it.
func (s *Service) sendOnce(ctx context.Context, p *plan, in journal.CallIntent) result {
	s.gate.called(p.req.Service)
	retry := newRetry()
	last := attempt{end: endNotRun}
	for {
		c, refused := s.gate.acquire(ctx, p, retry.tried)
		if refused != nil {
			return s.record(p, in, conclude(p, last, false, refused))
		}
		last = s.send(ctx, p, c)
		if last.end != endNotRun || !s.again(ctx, p, retry, c.Target.ID) {
			return s.record(p, in, conclude(p, last, last.end != endNotRun, nil))
		}
	}
}

// record appends the outcome of the request in the background, after the caller is
// answered, and makes the result final.
func (s *Service) record(p *plan, in journal.CallIntent, res result) result {
	res.final = true
	if res.err != nil && res.err.Outcome == model.OutcomeNotRun {
		s.background(journal.KindCallCancelled, cancellation(in))
		return res
	}
	out := journal.CallOutcome{Organisation: p.req.Organisation, Request: p.req.ID, Outcome: model.OutcomeRan}
	switch {
	case res.err != nil:
		out.Outcome = res.err.Outcome
		out.BodyOmitted = res.err.Outcome == model.OutcomeRan
	case len(res.answer.Body) > maxRecordedBody:
		out.Status = res.answer.Status
		out.BodyOmitted = true
	default:
		out.Status = res.answer.Status
		out.Body = res.answer.Body
	}
	s.background(journal.KindCallOutcome, out)
	return res
}

func cancellation(in journal.CallIntent) journal.CallCancelled {
	return journal.CallCancelled{Organisation: in.Organisation, Request: in.Request, UniqueID: in.UniqueID}
}

// background appends a record that nobody waits for but Drain.
func (s *Service) background(kind journal.Kind, body any) {
	r, err := journal.NewRecord(kind, s.cfg.Host, uuid.NewString(), time.Now(), body)
	if err != nil {
		s.stats.lostRecords.Add(1)
		return
	}
	s.hold()
	go func() {
		defer s.leave()
		ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
		defer cancel()
		if _, err := s.cfg.Journal.Append(ctx, journal.StreamCalls, r); err != nil {
			s.stats.lostRecords.Add(1)
		}
	}()
}

const (
	// followFirst and followMax bound the pause between two questions to the host
	// that has the intent.
	followFirst = 20 * time.Millisecond
	followMax   = 500 * time.Millisecond
	// askTimeout bounds one question to another host.
	askTimeout = time.Second
)

// follow waits for the outcome of a request whose intent belongs to another run. It
// never sends the request.
func (s *Service) follow(ctx context.Context, p *plan, known callState) result {
	if known.digest != p.digest || known.service != p.req.Service {
		return result{err: idReused(p.req.ID)}
	}
	s.stats.followed.Add(1)
	for pause := followFirst; ; pause = min(2*pause, followMax) {
		changed := s.cfg.Table.Changed()
		if now, ok := s.cfg.Table.get(p.key); ok {
			known = now
		}
		if known.outcome != "" {
			return known.result(p.req.ID)
		}
		if known.host == s.cfg.Host || !s.alive(known.host) {
			return unknownOutcome(p.req.ID, known.host)
		}
		if res, ended := s.askWinner(ctx, p, known.host); ended {
			return res
		}
		if !pauseUntil(ctx, routing.Jitter(pause), changed) {
			return result{err: apierror.Unknown(apierror.CodeInProgress, "request %s is in progress at host %s", p.req.ID, known.host)}
		}
	}
}

func unknownOutcome(id string, host model.HostID) result {
	return result{err: apierror.Unknown(apierror.CodeUnknownOutcome, "request %s was sent by host %s, whose outcome is not known", id, host)}
}

// askWinner asks the host that has the intent. ended is false when it makes sense to
// ask again.
func (s *Service) askWinner(ctx context.Context, p *plan, host model.HostID) (res result, ended bool) {
	a, err := s.ask(ctx, p, host)
	if err != nil {
		return result{}, false
	}
	switch a.Outcome {
	case PeerRan, PeerNotRun:
		return a.result(p.req.ID), true
	case PeerUnknown:
		// The host restarted after its intent, or does not know itself.
		return unknownOutcome(p.req.ID, host), true
	default: // in progress, or the host has not read its own intent back
		return result{}, false
	}
}

func (s *Service) ask(ctx context.Context, p *plan, host model.HostID) (PeerAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	s.stats.asked.Add(1)
	return s.cfg.Peers.PeerOutcome(ctx, host, p.req.Organisation, p.req.ID)
}

// alive reports whether membership lists the host as alive.
func (s *Service) alive(host model.HostID) bool {
	for _, m := range s.cfg.Board.Members.List() {
		if m.Host == host {
			return m.Alive
		}
	}
	return false
}

// pauseUntil waits for d or until changed closes. It returns false when ctx ended.
func pauseUntil(ctx context.Context, d time.Duration, changed <-chan struct{}) bool {
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
