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

// attemptOutcome is what is known about a call after one attempt.
type attemptOutcome int

const (
	attemptResponded attemptOutcome = iota // a complete response
	attemptNotRun                          // the target certainly did not run the call
	attemptRan                             // the target ran the call, but the response was lost
	attemptUnknown                         // the target may have run the call
)

// attemptResult is the result of one attempt. response is set when outcome is
// attemptResponded, otherwise err is.
type attemptResult struct {
	outcome  attemptOutcome
	response targetlink.Response
	err      error
}

// send makes one attempt on the chosen target and frees its slot.
func (s *Service) send(ctx context.Context, p *preparedRequest, c routing.Choice) attemptResult {
	s.stats.attempts.Add(1)
	start := time.Now()
	response, err := s.cfg.Targets.Call(ctx, c.Target, targetlink.Call{
		RequestID:    p.req.ID,
		AttemptID:    uuid.NewString(),
		Organisation: p.req.Organisation,
		Body:         p.req.Body,
	})
	a := attemptResult{response: response, err: err, outcome: outcomeOf(err)}
	s.dispatcher.release(c, routingResult(ctx, a, time.Since(start)))
	return a
}

// sendWithTimeout is send with a timeout in addition to the context's deadline.
func (s *Service) sendWithTimeout(ctx context.Context, timeout time.Duration, p *preparedRequest, c routing.Choice) attemptResult {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.send(ctx, p, c)
}

// outcomeOf returns the outcome that an error of targetlink.Caller implies.
func outcomeOf(err error) attemptOutcome {
	var notRun *targetlink.NotRunError
	var ran *targetlink.ResponseLostError
	switch {
	case err == nil:
		return attemptResponded
	case errors.As(err, &notRun):
		return attemptNotRun
	case errors.As(err, &ran):
		return attemptRan
	default:
		return attemptUnknown
	}
}

// routingResult returns the result of an attempt for the router.
func routingResult(ctx context.Context, a attemptResult, latency time.Duration) routing.Result {
	r := routing.Result{Latency: latency, Leaving: a.response.Leaving}
	var notRun *targetlink.NotRunError
	switch {
	case a.outcome == attemptResponded && a.response.Status < http.StatusInternalServerError:
		r.Kind = routing.ResultOK
	case a.outcome == attemptResponded:
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

// runRepeatable runs a repeatable request. It retries within the service's retry budget.
func (s *Service) runRepeatable(ctx context.Context, p *preparedRequest) result {
	s.dispatcher.recordCall(p.req.Service)
	retry := newRetryState()
	last := attemptResult{outcome: attemptNotRun}
	mayHaveRun := false
	for {
		c, refused := s.dispatcher.acquire(ctx, p, retry.tried)
		if refused != nil {
			return failureResult(p, last, mayHaveRun, refused)
		}
		last = s.sendWithTimeout(ctx, s.dispatcher.attemptTimeout(p), p, c)
		mayHaveRun = mayHaveRun || last.outcome != attemptNotRun
		if last.outcome == attemptResponded && last.response.Status < http.StatusInternalServerError {
			return responseResult(p, last.response)
		}
		if !s.waitForRetry(ctx, p, retry, c.Target.ID) {
			return failureResult(p, last, mayHaveRun, nil)
		}
	}
}

// retryState is the state of the retries of one request.
type retryState struct {
	tried map[model.TargetID]bool
	delay func() time.Duration
}

func newRetryState() *retryState {
	b := routing.NewBackoff(nil)
	return &retryState{tried: map[model.TargetID]bool{}, delay: b.Next}
}

// waitForRetry waits for the backoff delay before another attempt. It returns false if the
// request must not be retried. tried is the target of the last attempt. No other layer
// retries requests to targets.
func (s *Service) waitForRetry(ctx context.Context, p *preparedRequest, r *retryState, tried model.TargetID) bool {
	r.tried[tried] = true
	wait := r.delay()
	if wait < 0 || !time.Now().Add(wait).Before(p.deadline) || !s.dispatcher.takeRetry(p.req.Service) {
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

// responseResult returns the result of a request that got a complete response.
func responseResult(p *preparedRequest, response targetlink.Response) result {
	return result{response: Response{RequestID: p.req.ID, Status: response.Status, Body: response.Body}, final: true}
}

// failureResult returns the result of a request without a successful response: the last
// response if there is one, otherwise an error whose outcome is what is certain.
func failureResult(p *preparedRequest, last attemptResult, mayHaveRun bool, refused *apierror.Error) result {
	if last.outcome == attemptResponded {
		return responseResult(p, last.response)
	}
	if last.outcome == attemptRan {
		return result{err: responseNotKeptError(p.req.ID)}
	}
	if mayHaveRun {
		return result{err: apierror.Unknown(apierror.CodeUnknownOutcome, "request %s may have run: %v", p.req.ID, last.err)}
	}
	if refused != nil {
		return result{err: refused}
	}
	return result{err: apierror.NotRun(apierror.CodeNoTarget, "request %s did not run: %v", p.req.ID, last.err)}
}
