package scheduler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/plan"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

// Long-running best-effort tasks share a worker with latency-sensitive ones only if either fits
// nowhere else, and are paused for that time. Others are stopped, and start again elsewhere.

const (
	// sharingDelay is how long a task waits for a worker of its own kind before it shares one.
	sharingDelay = 1500 * time.Millisecond
	// maxPauseWait is how long the start of a latency-sensitive task waits until the best-effort
	// tasks on its worker are paused.
	maxPauseWait = 2 * time.Second
	// paceRetryInterval is the time after which an unanswered pace is sent again.
	paceRetryInterval = 300 * time.Millisecond
	// paceRepeatInterval is the time between repetitions of a confirmed pace while an earlier
	// order, which got no answer, may still be carried out.
	paceRepeatInterval = time.Second
)

// Paces in percent of a run's speed.
const (
	fullPace   = 100
	pausedPace = 0
)

// paceState is what is known about the pace of a best-effort run. Its zero value is that of a
// run that this term has started.
type paceState struct {
	percent int // last confirmed pace; it counts only if known is set
	known   bool
	// inherited is set for a run of a former owner, or that was moved to another incarnation,
	// whose pace is not known.
	inherited bool
	inFlight  bool
	sentAt    time.Duration
	// repeatUntil is the time until which an unanswered order may be carried out; 0 if there is
	// none.
	repeatUntil time.Duration
}

// due reports whether an order for the pace is to be sent.
func (p *paceState) due(percent int, now time.Duration) bool {
	switch {
	case p.inFlight:
		return false
	case !p.confirmed(percent):
		return p.sentAt == 0 || now-p.sentAt >= paceRetryInterval
	}
	return p.sentAt < p.repeatUntil && now-p.sentAt >= paceRepeatInterval
}

// confirmed reports whether the run is known to have the pace.
func (p *paceState) confirmed(percent int) bool {
	if !p.known {
		return percent == fullPace && !p.inherited
	}
	return p.percent == percent
}

// wantedPace returns the pace of the best-effort runs on the worker.
func (w *worker) wantedPace() int {
	for r := range w.latencySensitive {
		if !r.stopping || r.phase != runPlanned {
			return pausedPace
		}
	}
	return fullPace
}

// sendDuePaces sends the orders that give the best-effort runs of a worker the pace they should
// have, and starts the latency-sensitive runs that wait for them.
func (t *term) sendDuePaces(w *worker, now time.Duration) {
	if len(w.bestEffort) == 0 && len(w.awaitingPause) == 0 {
		return
	}
	wanted, confirmed := w.wantedPace(), true
	for r := range w.bestEffort {
		if r.phase == runPlanned || !r.step().Pausable() {
			continue
		}
		confirmed = confirmed && r.pace.confirmed(wanted)
		if r.phase == runStarted && w.missedPolls <= 1 && r.pace.due(wanted, now) {
			t.sendPace(r, wanted, now)
		}
	}
	t.startAwaiting(w, confirmed, now)
}

// startAwaiting starts the runs that wait until the best-effort runs on their worker are paused,
// or gives them up.
func (t *term) startAwaiting(w *worker, paused bool, now time.Duration) {
	for r, since := range w.awaitingPause {
		switch {
		case paused || r.stopping:
			delete(w.awaitingPause, r)
			t.start(r)
		case now-since > maxPauseWait:
			delete(w.awaitingPause, r)
			t.log.Warn("best-effort runs were not paused in time", zap.Stringer("run", r.name), zap.String("worker", w.key))
			t.backOff(w, "its best-effort runs are not paused")
			t.endRun(r, workers.EndedStopped, "")
		}
	}
}

// awaitsPause reports whether the start of a run has to wait until the best-effort runs on its
// worker are paused.
func (t *term) awaitsPause(r *run, now time.Duration) bool {
	w := r.worker
	if !r.step().LatencySensitive || r.stopping {
		return false
	}
	for other := range w.bestEffort {
		if other.step().Pausable() && !other.pace.confirmed(pausedPace) {
			if _, known := w.awaitingPause[r]; !known {
				w.awaitingPause[r] = now
			}
			t.mark(w)
			return true
		}
	}
	return false
}

func (t *term) sendPace(r *run, percent int, now time.Duration) {
	if !t.mayOrder() || r.worker.entry.Address == "" {
		return
	}
	r.pace.inFlight, r.pace.sentAt = true, now
	ref := r.worker.ref()
	t.metrics.paces.Inc(1)
	t.spawn(func() {
		ctx, cancel := context.WithTimeout(t.ctx, orderTimeout)
		defer cancel()
		answer, err := t.Workers.Pace(ctx, ref, r.name, percent, t.epoch)
		t.post(func(t *term) { t.handlePaceAnswer(r, percent, answer, err) })
	})
}

func (t *term) handlePaceAnswer(r *run, percent int, answer workers.Answer, err error) {
	r.pace.inFlight = false
	now, w := t.Now(), r.worker
	t.mark(w)
	if err != nil {
		r.pace.repeatUntil = now + maxOrderDelay
		t.log.Warn("a pace got no answer", zap.Stringer("run", r.name), zap.String("worker", w.key), zap.Error(err))
		return
	}
	t.log.Info("pace answered", zap.Stringer("run", r.name), zap.String("worker", w.key), zap.Int("percent", percent), zap.Stringer("outcome", answer.Outcome))
	w.updateClock(answer.ClockMS, now)
	switch answer.Outcome {
	case workers.Fenced:
		t.endFenced(w.key)
	case workers.OtherIncarnation:
		t.handleOtherWorker(w, now)
	case workers.Accepted:
		r.pace.known, r.pace.percent = true, percent
	}
}

// placeSharing places tasks that fit on no worker of their own kind beside tasks of the other
// kind.
func (t *term) placeSharing(s *plan.Snapshot, q readyStep, placed int, request *plan.Request, waited time.Duration, exclusions []map[string]bool) []*plan.Node {
	step := request.Step
	mayShare := !step.Gang && (step.LatencySensitive || step.Pausable())
	if !mayShare || placed == request.Tasks || waited < sharingDelay {
		return nil
	}
	shared := *request
	shared.Tasks, shared.SharesWorkers, shared.AnyRack = request.Tasks-placed, true, true
	return placeExcluding(s, q, &shared, exclusions)
}

// fitsElsewhere reports whether a best-effort run fits on another worker than its own without
// latency-sensitive tasks.
func (r *run) fitsElsewhere(s *plan.Snapshot) bool {
	request := &plan.Request{
		Key: plan.StepKey{Job: r.job.ID, Step: r.job.StepNumber(r.name.Task)}, Step: r.step(), Tasks: 1, AnyRack: true,
	}
	return s.FitsBeside(request, r.worker.key)
}

// isPaused reports whether the run should be or is known to be paused, so that it makes no
// progress.
func (r *run) isPaused() bool {
	return r.step().Pausable() && (r.worker.wantedPace() == pausedPace || r.pace.confirmed(pausedPace))
}

// kindOf returns the set of the worker's runs that holds those of the step, or nil.
func (w *worker) kindOf(step *work.Step) map[*run]bool {
	switch {
	case step.BestEffort:
		return w.bestEffort
	case step.LatencySensitive:
		return w.latencySensitive
	}
	return nil
}
