package scheduler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

const (
	// orderTry is how long the answer to one try of an order is waited for. A worker
	// answers within a few milliseconds; a packet lost on the way costs about 200 ms.
	orderTry = 250 * time.Millisecond
	// startTries is how often a start is sent before its run counts as open. Together
	// they stay well below the time that members of a gang wait for each other.
	startTries = 3
	// stopRepeat is the time after which a stop without an answer is sent again.
	stopRepeat = 300 * time.Millisecond
)

// rest keeps new work from a worker, longer with each failure.
func (t *term) rest(w *worker, why string) {
	d := min(time.Duration(restTime)<<min(max(w.failures-restAfter, 0), maxDoubling), time.Duration(restMost))
	w.rests = t.Now() + d
	t.log.Warn("worker rests", zap.String("worker", w.key), zap.String("why", why), zap.Int("failures", w.failures), zap.Duration("for", d))
}

// start sends the order for a planned run whose record is in the store.
func (t *term) start(r *run) {
	if r.worker.runs[r.name] != r || r.phase != runPlanned {
		return
	}
	now := t.Now()
	if r.stopping || !t.mayOrder() || !t.usable(r.worker, now) {
		t.log.Info("a planned run is not started", zap.Stringer("run", r.name), zap.String("worker", r.worker.key), zap.Bool("stopping", r.stopping))
		t.over(r, workers.EndedStopped, "")
		return
	}
	var pass string
	if r.job.Advised {
		var ok bool
		if pass, ok = t.ticketFor(r, now); !ok {
			t.log.Info("a planned run is not started: its ticket is over", zap.Stringer("run", r.name), zap.String("worker", r.worker.key))
			t.over(r, workers.EndedStopped, "")
			return
		}
	}
	r.phase = runSent
	order := workers.StartOrder{
		Run: r.name, Spec: r.job.Spec, Checkpoint: t.startingPoint(r),
		LeaseUntilMS: t.lease(r.worker, now), Fence: t.epoch, Ticket: pass,
	}
	ref := r.worker.ref()
	t.metrics.starts.Inc(1)
	ctx, cancel := context.WithCancel(t.ctx)
	r.giveUp = cancel
	go func() {
		defer cancel()
		answer, open, err := t.startUntilAnswered(ctx, ref, order)
		t.post(func(t *term) { t.started(r, now, answer, open, err) })
	}()
}

// startUntilAnswered sends a start again while it gets no answer. A worker has each run
// once, so repetitions are harmless. open tells that a try without an answer may still
// be carried out.
func (t *term) startUntilAnswered(within context.Context, ref workers.Ref, order workers.StartOrder) (answer workers.Answer, open bool, err error) {
	for range startTries {
		ctx, cancel := context.WithTimeout(within, orderTry)
		answer, err = t.Workers.Start(ctx, ref, order)
		cancel()
		if err == nil || within.Err() != nil {
			return answer, open, err
		}
		open = true
	}
	return answer, open, err
}

// settles tells whether the answer to a start says what became of the run. A refusal
// does not while an earlier try is open.
func settles(answer workers.Answer, open bool) bool {
	switch answer.Outcome {
	case workers.Accepted, workers.Fenced, workers.OtherLife:
		return true
	}
	return !open
}

// startingPoint is the checkpoint from which a run resumes.
func (t *term) startingPoint(r *run) string {
	if r.step().Gang {
		return r.stepState().Checkpoint
	}
	if task := r.task(); task != nil {
		return task.Checkpoint
	}
	return ""
}

// started takes the answer to a start; open tells that an earlier try got none.
func (t *term) started(r *run, sent time.Duration, answer workers.Answer, open bool, err error) {
	now := t.Now()
	r.settled = now
	w := r.worker
	t.mark(w)
	if w.runs[r.name] != r {
		return
	}
	if open {
		r.open = true
		t.metrics.unanswered.Inc(1)
	}
	if err != nil || !settles(answer, open) {
		t.log.Warn("a start got no answer", zap.Stringer("run", r.name), zap.String("worker", w.key),
			zap.Stringer("last", answer.Outcome), zap.Error(err))
		r.phase = runOpen
		w.lookAt = now
		if r.step().Gang {
			t.stopGang(r)
		}
		return
	}
	t.metrics.answers[answer.Outcome].Inc(1)
	w.sawClock(answer.ClockMS, now)
	if answer.Outcome == workers.Accepted {
		t.metrics.startTime.Update(now - sent)
		t.log.Info("run started", zap.Stringer("run", r.name), zap.String("worker", w.key), zap.Duration("took", now-sent), zap.Bool("repeated", open))
		r.phase, r.startedAt = runStarted, now
		w.lookAt = now
		return
	}
	t.refused(r, answer.Outcome)
}

// refused takes a start that was certainly not carried out.
func (t *term) refused(r *run, why workers.Outcome) {
	w := r.worker
	t.log.Warn("a start was refused", zap.Stringer("run", r.name), zap.String("worker", w.key), zap.Stringer("why", why))
	switch why {
	case workers.Fenced:
		t.fenced(w.key)
		return
	case workers.OtherLife:
		t.bury(w)
		return
	case workers.NoTicket:
		delete(r.job.advise(r.job.StepOf(r.name.Task)).tickets, w.entry.ID)
		delete(r.job.advise(r.job.StepOf(r.name.Task)).asked, w.entry.ID)
	case workers.Unhealthy, workers.NotSent, workers.NoRoom:
		w.failures++
		t.rest(w, why.String())
	}
	w.lookAt = t.Now()
	t.over(r, workers.EndedStopped, "")
}

// askStop has a run stopped.
func (t *term) askStop(r *run) {
	if r.stopping {
		return
	}
	r.stopping = true
	if r.worker.runs[r.name] == r {
		r.worker.stops++
	}
	t.mark(r.worker)
}

// sweepStops sends the stops that are due.
func (t *term) sweepStops(w *worker, now time.Duration) {
	if w.stops == 0 || w.misses > 1 {
		return // to a silent worker they go out when it answers again
	}
	for _, r := range w.sortedRuns() {
		if !r.stopping || r.stopOpen || r.stopDone != 0 {
			continue
		}
		switch r.phase {
		case runPlanned:
			continue // its start finds out
		case runSent:
			continue // its answer is awaited first
		}
		if r.stopSent != 0 && now-r.stopSent < stopRepeat {
			continue
		}
		t.stop(r, now)
	}
}

func (t *term) stop(r *run, now time.Duration) {
	if !t.mayOrder() || r.worker.entry.Address == "" {
		return
	}
	r.stopSent, r.stopOpen = now, true
	ref := r.worker.ref()
	t.metrics.stops.Inc(1)
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, orderTry)
		defer cancel()
		answer, err := t.Workers.Stop(ctx, ref, r.name, t.epoch)
		t.post(func(t *term) { t.stopped(r, answer, err) })
	}()
}

// stopped takes the answer to a stop. The run's end is listed by the worker, or the run
// is missing from a later report.
func (t *term) stopped(r *run, answer workers.Answer, err error) {
	r.stopOpen = false
	now := t.Now()
	w := r.worker
	t.mark(w)
	if err != nil {
		t.log.Warn("a stop got no answer", zap.Stringer("run", r.name), zap.String("worker", w.key), zap.Error(err))
		return
	}
	t.log.Info("stop answered", zap.Stringer("run", r.name), zap.String("worker", w.key), zap.Stringer("outcome", answer.Outcome))
	w.sawClock(answer.ClockMS, now)
	switch answer.Outcome {
	case workers.Fenced:
		t.fenced(w.key)
	case workers.OtherLife:
		t.bury(w)
	case workers.Accepted, workers.RunTooOld:
		r.stopDone = now
		w.lookAt = now
	}
}
