package scheduler

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/manifest"
	"github.com/daisyfold/daisyfold/internal/engine/plan"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

// maxAdviceWorkers is the number of workers that one call may name at most, by the platform's pages.
const maxAdviceWorkers = 100

const (
	// maxAdviceDuration bounds the duration of a call, which increases with the number of workers
	// that it names and delays the calls for other steps. Calls for a gang that needs more workers
	// may take longer.
	maxAdviceDuration = 2 * time.Second
	// adviceTimeoutSlack and adviceTimeoutFactor are the fixed part of a call's timeout and the
	// factor on its expected duration: the service goes on with a call that is given up and delays
	// the next ones for it.
	adviceTimeoutSlack  = 2 * time.Second
	adviceTimeoutFactor = 2
	// maxAdviceTimeoutDoublings bounds how often the timeout is doubled after calls without an
	// answer.
	maxAdviceTimeoutDoublings = 2
	// adviceRetryDelay is the delay of all calls after one that failed.
	adviceRetryDelay = 300 * time.Millisecond
)

// adviceCall is a call to the advice service about a step.
type adviceCall struct {
	job      *job
	step     int
	ids      []string // the workers that it names
	renews   bool     // it names workers whose tickets have expired
	sentAt   time.Duration
	duration time.Duration // expected, without the calls before it
	timeout  time.Duration
}

// requestAdvice asks about more workers for tasks that were not placed. Only one call is in flight
// at a time, because the service processes the calls of a host one after the other.
func (t *term) requestAdvice(s *plan.Snapshot, q readyStep, unplaced *plan.Request, now time.Duration) {
	known := q.job.adviceFor(q.step)
	if t.advice.inFlight || now < t.advice.nextAt || t.Advisor == nil || now < known.calls.at {
		return
	}
	calls := t.adviceCalls(q.job)
	c := adviceCall{job: q.job, step: q.step, sentAt: now}
	for _, w := range t.adviceCandidates(s, q, unplaced, calls, now) {
		c.ids = append(c.ids, w.entry.ID)
		c.renews = c.renews || known.asked[w.entry.ID]
	}
	if len(c.ids) == 0 || (c.renews && now < known.renewals.at) {
		return
	}
	c.duration = calls.CallDuration(len(c.ids))
	t.sendAdviceCall(c)
}

// sendAdviceCall sends a call. The more calls for the step have failed, the longer it waits: the
// manifest's figures may be older or newer than those of the service.
func (t *term) sendAdviceCall(c adviceCall) {
	t.advice.inFlight = true
	t.advice.busyUntil = max(t.advice.busyUntil, c.sentAt) + c.duration
	doublings := min(c.job.adviceFor(c.step).calls.failures, maxAdviceTimeoutDoublings)
	c.timeout = (adviceTimeoutFactor*(t.advice.busyUntil-c.sentAt) + adviceTimeoutSlack) << doublings
	name := work.StepName(c.job.TaskName(c.step, 0))
	t.spawn(func() {
		ctx, cancel := context.WithTimeout(t.ctx, c.timeout)
		defer cancel()
		answer, err := t.Advisor.Advise(ctx, name, c.ids)
		t.post(func(t *term) { t.handleAdvice(c, answer, err) })
	})
}

// renewalTime returns how long it may take to renew the tickets for workers that are claimed for the
// step, and lets the call be sent at once.
func (t *term) renewalTime(q readyStep, claimed int, now time.Duration) time.Duration {
	q.job.adviceFor(q.step).renewals = retry{}
	return max(t.advice.busyUntil-now, 0) + t.adviceCalls(q.job).CallDuration(claimed)
}

// adviceCandidates returns the workers without a usable ticket that a call should name. If room is
// being freed for the step, they are those where it is. If the tasks fit on workers that the step is
// known to be allowed on, these are enough. Otherwise they are workers with room that are not known
// to be denied, and if there are none, workers that get room later.
func (t *term) adviceCandidates(s *plan.Snapshot, q readyStep, unplaced *plan.Request, calls manifest.Advice, now time.Duration) []*worker {
	known, open, permitted := q.job.adviceFor(q.step), *unplaced, *unplaced
	needsTicket := func(w *worker) bool { return !t.advice.isUsable(known.tickets[w.entry.ID], w, now) }
	if claims := q.job.activeClaims(q.step, now); len(claims) > 0 {
		return t.selectWorkers(func(w *worker) bool { return claims[w.key] > 0 && needsTicket(w) }, maxAdviceWorkers, s.Nodes)
	}
	permitted.Allowed, open.Allowed = t.workersPermitted(s, q), t.workersNotDenied(s, q)
	if chosen, complete := s.Choose(&permitted); complete {
		if list := t.selectWorkers(needsTicket, maxAdviceWorkers, chosen); len(list) > 0 {
			return list
		}
	}
	chosen, _ := s.Choose(&open)
	limit := adviceLimit(calls, len(chosen), open.Step.Gang)
	mayRenew := len(chosen) > 0 || q.mayPreempt()
	isUseful := func(w *worker) bool { return needsTicket(w) && (mayRenew || !known.asked[w.entry.ID]) }
	if list := t.selectWorkers(isUseful, limit, chosen, s.WithRoom(&open)); len(list) > 0 {
		return list
	}
	mayRenew = q.mayPreempt()
	return t.selectWorkers(isUseful, limit, s.WithCapacity(&open))
}

// selectWorkers returns the workers of the lists that meet the condition, without repetition and at
// most limit.
func (t *term) selectWorkers(condition func(*worker) bool, limit int, lists ...[]*plan.Node) []*worker {
	var out []*worker
	seen := map[*worker]bool{}
	for _, list := range lists {
		for _, n := range list {
			w := t.workers[n.Key]
			if len(out) < limit && !seen[w] && condition(w) {
				seen[w] = true
				out = append(out, w)
			}
		}
	}
	return out
}

// adviceLimit returns how many workers a call names, given how many the tasks need if all of them are
// allowed. A gang needs its tickets at the same time. Others get theirs in several short calls, after
// which the tickets are valid for most of their time, whenever that begins.
func adviceLimit(calls manifest.Advice, needed int, gang bool) int {
	limit := min(max(manifest.UsualAdviceWorkers, 2*needed), maxAdviceWorkers)
	longest := maxAdviceDuration
	if calls.Validity > 0 {
		longest = min(longest, calls.Validity/2)
	}
	limit = min(limit, calls.WorkersWithin(longest))
	if gang {
		limit = max(limit, min(needed, maxAdviceWorkers))
	}
	return limit
}

// handleAdvice processes the answer to a call.
func (t *term) handleAdvice(c adviceCall, answer workers.Advice, err error) {
	t.advice.inFlight = false
	now, known := t.Now(), c.job.adviceFor(c.step)
	if err == nil && len(answer.Tickets) > 0 && answer.ValidFor <= 0 {
		err = trace.Errorf("the tickets are valid for %v", answer.ValidFor)
	}
	if err != nil {
		t.handleFailedAdvice(c, err)
		return
	}
	t.advice.busyUntil = min(t.advice.busyUntil, now)
	known.calls = retry{}
	if c.renews {
		known.renewals.fail(now)
	}
	for _, id := range c.ids {
		known.asked[id] = true
	}
	answeredAfter := min(c.sentAt+c.duration, now)
	for id, text := range answer.Tickets {
		known.tickets[id] = ticket{text: text, workerKey: t.latestKeys[id], validFor: answer.ValidFor, sentAt: c.sentAt, answeredAfter: answeredAfter, receivedAt: now}
	}
	t.log.Info("advice", zap.String("job", c.job.ID), zap.Int("step", c.step), zap.Int("asked", len(c.ids)), zap.Bool("renews", c.renews),
		zap.Int("good", len(answer.Tickets)), zap.Duration("valid", answer.ValidFor), zap.Duration("took", now-c.sentAt), zap.Duration("expected", c.duration))
	t.needsPlanning = true
}

// handleFailedAdvice postpones calls after a failed one. A call that timed out may still be in
// progress at the service.
func (t *term) handleFailedAdvice(c adviceCall, err error) {
	now, known := t.Now(), c.job.adviceFor(c.step)
	if !errors.Is(err, context.DeadlineExceeded) {
		t.advice.busyUntil = min(t.advice.busyUntil, now)
	}
	known.calls.fail(now)
	t.advice.nextAt = now + adviceRetryDelay
	t.nextPlanAt = min(t.nextPlanAt, t.advice.nextAt)
	t.log.Warn("no advice for a step", zap.String("job", c.job.ID), zap.Int("step", c.step), zap.Int("asked", len(c.ids)),
		zap.Duration("expected", c.duration), zap.Duration("timeout", c.timeout), zap.Int("failures", known.calls.failures), zap.Error(err))
}
