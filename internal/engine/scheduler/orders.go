package scheduler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

const (
	// orderTimeout is the time limit for the answer to one attempt of an order. A worker
	// answers within a few milliseconds; a lost packet adds about 200 ms.
	orderTimeout = 250 * time.Millisecond
	// stopRetryInterval is the time after which an unanswered stop is sent again.
	stopRetryInterval = 300 * time.Millisecond
)

// maxStartAttempts is the number of attempts to send a start before its run counts as
// uncertain. Together they stay well below the time that members of a gang wait for each
// other.
const maxStartAttempts = 3

// refusalBackoff is the time for which a worker gets no new runs after it has refused a start.
const refusalBackoff = 2 * time.Second

// backOff keeps new runs from a worker for a while.
func (t *term) backOff(w *worker, why string) {
	w.backoffUntil = t.Now() + refusalBackoff
	t.log.Warn("worker gets no new runs for a while", zap.String("worker", w.key), zap.String("why", why))
}

// start sends the start order of a planned run whose record is in the store.
func (t *term) start(r *run) {
	if r.worker.runs[r.name] != r || r.phase != runPlanned {
		return
	}
	now := t.Now()
	if r.stopping || !t.mayOrder() || !t.usable(r.worker, now) || t.exceedsCap(r) {
		t.log.Info("a planned run is not started", zap.Stringer("run", r.name), zap.String("worker", r.worker.key), zap.Bool("stopping", r.stopping))
		t.endRun(r, workers.EndedStopped, "")
		return
	}
	if t.awaitsPause(r, now) {
		return
	}
	var ticket string
	if t.needsAdvice(r.job) {
		var ok bool
		if ticket, ok = t.ticketFor(r, now); !ok {
			t.log.Info("a planned run is not started: its ticket has expired", zap.Stringer("run", r.name), zap.String("worker", r.worker.key))
			t.endRun(r, workers.EndedStopped, "")
			return
		}
	}
	r.phase, r.startSentAt = runStartSent, now
	t.startQueue.inFlight[r] = now
	order := workers.StartOrder{
		Run: r.name, Spec: r.job.Spec, Checkpoint: t.startCheckpoint(r),
		LeaseUntilMS: t.extendLease(r.worker, now), Fence: t.epoch, Ticket: ticket,
	}
	ref := r.worker.ref()
	t.metrics.starts.Inc(1)
	ctx, cancel := context.WithCancel(t.ctx)
	r.cancelStart = cancel
	t.spawn(func() {
		defer cancel()
		answer, unanswered, err := t.startUntilAnswered(ctx, ref, order)
		t.post(func(t *term) { t.handleStartAnswer(r, now, answer, unanswered, err) })
	})
}

// startUntilAnswered sends a start order until it is answered or maxStartAttempts is
// reached. A worker accepts each run only once, so repetitions are harmless. The result
// unanswered reports whether an attempt got no answer and may still be carried out.
func (t *term) startUntilAnswered(parent context.Context, ref workers.Ref, order workers.StartOrder) (answer workers.Answer, unanswered bool, err error) {
	for range maxStartAttempts {
		ctx, cancel := context.WithTimeout(parent, orderTimeout)
		answer, err = t.Workers.Start(ctx, ref, order)
		cancel()
		if err == nil || parent.Err() != nil {
			return answer, unanswered, err
		}
		unanswered = true
	}
	return answer, unanswered, err
}

// isConclusive reports whether the answer to a start tells what happened to the run. A
// refusal does not if an earlier attempt got no answer.
func isConclusive(answer workers.Answer, unanswered bool) bool {
	switch answer.Outcome {
	case workers.Accepted, workers.Fenced, workers.OtherIncarnation:
		return true
	}
	return !unanswered
}

// startCheckpoint returns the checkpoint from which a run resumes, or an empty string.
func (t *term) startCheckpoint(r *run) string {
	if r.step().Gang {
		return r.stepState().Checkpoint
	}
	if task := r.currentTask(); task != nil {
		return task.Checkpoint
	}
	return ""
}

// handleStartAnswer processes the answer to a start that was sent at the given time;
// unanswered reports whether an earlier attempt got no answer.
func (t *term) handleStartAnswer(r *run, sent time.Duration, answer workers.Answer, unanswered bool, err error) {
	now := t.Now()
	delete(t.startQueue.inFlight, r)
	r.startResolvedAt = now
	w := r.worker
	t.mark(w)
	if w.runs[r.name] != r {
		return
	}
	if unanswered {
		r.startUnanswered = true
		t.metrics.unansweredStarts.Inc(1)
	}
	if err != nil || !isConclusive(answer, unanswered) {
		t.log.Warn("a start got no answer", zap.Stringer("run", r.name), zap.String("worker", w.key),
			zap.Stringer("last", answer.Outcome), zap.Error(err))
		r.phase = runUncertain
		w.nextPollAt = now
		if r.step().Gang {
			t.stopGang(r)
		}
		return
	}
	t.metrics.startAnswers[answer.Outcome].Inc(1)
	w.updateClock(answer.ClockMS, now)
	if answer.Outcome == workers.Accepted {
		t.metrics.startTime.Update(now - sent)
		t.log.Info("run started", zap.Stringer("run", r.name), zap.String("worker", w.key), zap.Duration("took", now-sent), zap.Bool("repeated", unanswered))
		r.phase, r.startedAt = runStarted, now
		delete(r.job.starts, r.job.StepNumber(r.name.Task))
		w.nextPollAt = now
		return
	}
	t.handleRefusal(r, answer.Outcome)
}

// handleRefusal processes the refusal of a start that has certainly not been executed.
func (t *term) handleRefusal(r *run, why workers.Outcome) {
	w := r.worker
	t.log.Warn("a start was refused", zap.Stringer("run", r.name), zap.String("worker", w.key), zap.Stringer("why", why))
	switch why {
	case workers.Fenced:
		t.endFenced(w.key)
		return
	case workers.OtherIncarnation:
		t.markDead(w)
		return
	case workers.NoTicket:
		t.handleNoTicket(r)
	case workers.Malformed:
		r.job.startRejected(r.job.StepNumber(r.name.Task), t.Now())
	case workers.Unhealthy, workers.NotSent, workers.NoRoom:
		t.backOff(w, why.String())
	}
	w.nextPollAt = t.Now()
	t.endRun(r, workers.EndedStopped, "")
}

// requestStop marks a run for stopping. The stop order is sent when it is due.
func (t *term) requestStop(r *run) {
	if r.stopping {
		return
	}
	r.stopping = true
	if r.worker.runs[r.name] == r {
		r.worker.noteStopping(r)
	}
	t.mark(r.worker)
}

// sendDueStops sends the stop orders that are due.
func (t *term) sendDueStops(w *worker, now time.Duration) {
	if w.stoppingRuns == 0 || w.missedPolls > 1 {
		return // sent when the worker answers again
	}
	for _, r := range w.sortedRuns() {
		if t.stopsInFlight.isFull(now) {
			return // sent when others are answered, or at the next tick
		}
		if !r.stopping || r.stopInFlight || r.stopAnsweredAt != 0 {
			continue
		}
		switch r.phase {
		case runPlanned:
			continue // start checks whether the run is stopping
		case runStartSent:
			continue // wait for the answer to the start first
		}
		if r.stopSentAt != 0 && now-r.stopSentAt < stopRetryInterval {
			continue
		}
		if r.exceedsMaxUnavailable() {
			continue // sent once enough other tasks of the step are in service
		}
		t.sendStop(r, now)
	}
}

// exceedsMaxUnavailable reports whether the stop of a long-running task would leave too few
// tasks of its step in service. That can change between the decision to stop the task and
// the sending or repeating of the stop. A draining worker ends its runs in any case, and the
// stop of a run that is not on its worker takes nothing out of service.
func (r *run) exceedsMaxUnavailable() bool {
	if r.currentTask() == nil || r.step().MaxUnavailable == 0 || r.worker.entry.Draining || r.absent {
		return false
	}
	return r.job.unavailableBeside(r) >= r.step().MaxUnavailable
}

func (t *term) sendStop(r *run, now time.Duration) {
	if !t.mayOrder() || r.worker.entry.Address == "" {
		return
	}
	r.stopSentAt, r.stopInFlight = now, true
	t.stopsInFlight[r] = now
	ref := r.worker.ref()
	t.metrics.stops.Inc(1)
	t.spawn(func() {
		ctx, cancel := context.WithTimeout(t.ctx, orderTimeout)
		defer cancel()
		answer, err := t.Workers.Stop(ctx, ref, r.name, t.epoch)
		t.post(func(t *term) { t.handleStopAnswer(r, answer, err) })
	})
}

// handleStopAnswer processes the answer to a stop. The end of the run follows from a
// later report: the worker lists the end, or the run is missing.
func (t *term) handleStopAnswer(r *run, answer workers.Answer, err error) {
	r.stopInFlight = false
	delete(t.stopsInFlight, r)
	now := t.Now()
	w := r.worker
	t.mark(w)
	if err != nil {
		t.log.Warn("a stop got no answer", zap.Stringer("run", r.name), zap.String("worker", w.key), zap.Error(err))
		return
	}
	t.log.Info("stop answered", zap.Stringer("run", r.name), zap.String("worker", w.key), zap.Stringer("outcome", answer.Outcome))
	w.updateClock(answer.ClockMS, now)
	switch answer.Outcome {
	case workers.Fenced:
		t.endFenced(w.key)
	case workers.OtherIncarnation:
		t.handleOtherWorker(w, now)
	case workers.Accepted, workers.RunTooOld:
		r.stopAnsweredAt = now
		w.nextPollAt = now
	}
}
