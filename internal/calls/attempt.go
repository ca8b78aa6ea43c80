package calls

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/targetlink"
	"github.com/daisyfold/daisyfold/internal/routing"
)

// attemptEnd says what is known after one attempt.
type attemptEnd int

const (
	endAnswered attemptEnd = iota // a whole answer
	endNotRun                     // certain that the target did not run the call
	endRan                        // ran, but the answer was lost
	endUnknown                    // may have run
)

// attempt is the end of one attempt.
type attempt struct {
	end    attemptEnd
	answer targetlink.Answer
	err    error
}

// send makes one attempt on the chosen target and frees its slot.
func (s *Service) send(ctx context.Context, p *plan, c routing.Choice) attempt {
	s.stats.attempts.Add(1)
	start := time.Now()
	answer, err := s.cfg.Targets.Call(ctx, c.Target, targetlink.Call{
		Request:      p.req.ID,
		Attempt:      uuid.NewString(),
		Organisation: p.req.Organisation,
		Body:         p.req.Body,
	})
	a := attempt{answer: answer, err: err, end: classify(err)}
	s.gate.done(c, observation(ctx, a, time.Since(start)))
	return a
}

// sendWithin is send with a shorter time limit.
func (s *Service) sendWithin(ctx context.Context, limit time.Duration, p *plan, c routing.Choice) attempt {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return s.send(ctx, p, c)
}

func classify(err error) attemptEnd {
	var notRun *targetlink.NotRunError
	var ran *targetlink.RanError
	switch {
	case err == nil:
		return endAnswered
	case errors.As(err, &notRun):
		return endNotRun
	case errors.As(err, &ran):
		return endRan
	default:
		return endUnknown
	}
}

// observation is what the router learns from an attempt.
func observation(ctx context.Context, a attempt, took time.Duration) routing.Result {
	r := routing.Result{Latency: took, Leaving: a.answer.Leaving}
	var notRun *targetlink.NotRunError
	switch {
	case a.end == endAnswered && a.answer.Status < http.StatusInternalServerError:
		r.Kind = routing.ResultOK
	case a.end == endAnswered:
		r.Kind = routing.ResultFailed
	case errors.Is(ctx.Err(), context.Canceled):
		r.Kind = routing.ResultAbandoned
	case errors.As(a.err, &notRun):
		r.Kind = routing.ResultRejected
		r.Leaving = notRun.Leaving
	default:
		r.Kind = routing.ResultNoResponse
	}
	return r
}

// repeat carries out a repeatable request with retries within the budget.
func (s *Service) repeat(ctx context.Context, p *plan) result {
	s.gate.called(p.req.Service)
	retry := newRetry()
	last := attempt{end: endNotRun}
	mayHaveRun := false
	for {
		c, refused := s.gate.acquire(ctx, p, retry.tried)
		if refused != nil {
			return conclude(p, last, mayHaveRun, refused)
		}
		last = s.sendWithin(ctx, s.gate.attemptTime(p), p, c)
		mayHaveRun = mayHaveRun || last.end != endNotRun
		if last.end == endAnswered && last.answer.Status < http.StatusInternalServerError {
			return answered(p, last.answer)
		}
		if !s.again(ctx, p, retry, c.Target.ID) {
			return conclude(p, last, mayHaveRun, nil)
		}
	}
}

// retryState is the state of the retries of one request.
type retryState struct {
	tried map[model.TargetID]bool
	delay func() time.Duration
}

func newRetry() *retryState {
	b := routing.NewBackoff(nil)
	return &retryState{tried: map[model.TargetID]bool{}, delay: b.Next}
}

// again decides on a retry on another target and waits for the delay before it.
// This is the only layer that retries.
func (s *Service) again(ctx context.Context, p *plan, r *retryState, tried model.TargetID) bool {
	r.tried[tried] = true
	wait := r.delay()
	if wait < 0 || !time.Now().Add(wait).Before(p.deadline) || !s.gate.mayRetry(p.req.Service) {
		return false
	}
	s.stats.retries.Add(1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func answered(p *plan, a targetlink.Answer) result {
	return result{answer: Answer{RequestID: p.req.ID, Status: a.Status, Body: a.Body}, final: true}
}

// conclude ends a request without a good answer: with the last answer if there is
// one, otherwise with what is certain.
func conclude(p *plan, last attempt, mayHaveRun bool, refused *apierror.Error) result {
	if last.end == endAnswered {
		return answered(p, last.answer)
	}
	if last.end == endRan {
		return result{err: answerNotKept(p.req.ID)}
	}
	if mayHaveRun {
		return result{err: apierror.Unknown(apierror.CodeUnknownOutcome, "request %s may have run: %v", p.req.ID, last.err)}
	}
	if refused != nil {
		return result{err: refused}
	}
	return result{err: apierror.NotRun(apierror.CodeNoTarget, "request %s did not run: %v", p.req.ID, last.err)}
}
