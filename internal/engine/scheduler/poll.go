package scheduler

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

const (
	// minPollWait and maxPollWait bound how long a worker with runs may delay its answer
	// to a poll. maxPollWait is the limit of the platform.
	minPollWait = time.Second
	maxPollWait = 2 * time.Second
	// idlePollInterval is the time between polls of a worker without runs.
	idlePollInterval = 3 * time.Second
	// unsettledPollInterval is the time between polls of a worker with runs in an
	// uncertain state, or with ends that are not recorded yet.
	unsettledPollInterval = 250 * time.Millisecond
	// retryPollInterval is the time between polls of a worker with runs that does not
	// answer.
	retryPollInterval = 300 * time.Millisecond
	// maxOrderDelay is the longest time between sending an unanswered order and the
	// worker carrying it out. The platform specifies 2 to 12 s.
	maxOrderDelay = 12 * time.Second
	// maxAnswerAge is the age of a worker's last answer from which it gets no new runs.
	maxAnswerAge = 4 * time.Second
)

// pollWaitDivisor divides MaxLease to get the poll wait of a worker with runs. Each poll
// has a cost, but also renews the lease, so that most of the lease is left to bridge a
// network outage.
const pollWaitDivisor = 5

// updateWorkers applies the platform's list of workers.
func (t *term) updateWorkers(list []*workers.Entry) {
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.Key()] = true
		t.updateWorker(*e)
	}
	for key, w := range t.workers {
		if w.listed && !listed[key] {
			w.listed = false
			t.log.Info("worker left the list", zap.String("worker", key), zap.Int("runs", len(w.runs)))
		}
	}
	t.needsPlanning = true
}

func (t *term) updateWorker(e workers.Entry) {
	key := e.Key()
	if t.isOldIncarnation(e) {
		return
	}
	w := t.workers[key]
	if w == nil {
		w = &worker{key: key, runs: map[work.RunName]*run{}}
		t.workers[key] = w
	}
	if !w.listed && !w.dead {
		t.log.Info("worker listed", zap.String("worker", key), zap.String("zone", e.Zone), zap.String("rack", e.Rack))
	}
	if e.Draining && !w.entry.Draining {
		t.log.Info("worker is draining", zap.String("worker", key), zap.Int64("remaining_ms", e.RemainingMS))
		w.setDrainDeadline(e.RemainingMS, t.Now())
	}
	w.entry, w.listed = e, !w.dead
	if w.clockAt == 0 {
		w.clockMS, w.clockAt = e.ClockMS, t.Now()
	}
	if older := t.latestKeys[e.ID]; older != "" && older != key {
		t.replaceIncarnation(older, w)
	}
	t.latestKeys[e.ID] = key
	t.replaceUnlisted(w)
}

// isOldIncarnation reports whether the entry belongs to an incarnation that a later one
// has replaced: the list may be older than the worker's own answers.
func (t *term) isOldIncarnation(e workers.Entry) bool {
	current := t.workers[t.latestKeys[e.ID]]
	return current != nil && current.reached && e.StartMS < current.entry.StartMS
}

// replaceIncarnation ends the runs of an earlier incarnation, because a restarted worker
// has none of them. A start order does not name the incarnation, so it can reach the
// later one. Runs that no report of the earlier incarnation has shown, or whose start may
// still be delivered, are therefore moved to the later one.
func (t *term) replaceIncarnation(olderKey string, successor *worker) {
	w := t.workers[olderKey]
	if w == nil || w.dead {
		return
	}
	if !w.announcedLeave() {
		t.handleCrash(w)
	}
	t.log.Info("worker started again", zap.String("worker", olderKey), zap.String("as", successor.key), zap.Int("runs", len(w.runs)))
	for _, r := range w.sortedRuns() {
		if r.phase == runPlanned || (r.reported && !r.startUnanswered && r.phase != runStartSent) {
			continue
		}
		w.removeRun(r)
		t.moveRun(r, successor)
		successor.lateStartsUntil = t.Now() + maxOrderDelay + t.maxLeaseDuration()
		if r.phase == runStarted {
			r.phase, r.startResolvedAt = runUncertain, t.Now()
		}
	}
	t.markDead(w)
}

// markDead ends all runs of a worker that is known to run nothing.
func (t *term) markDead(w *worker) {
	ending := workers.EndedWorkerLeft
	if !w.announcedLeave() {
		ending = workers.EndedWorkerCrashed
		t.handleCrash(w)
	}
	w.dead, w.listed = true, false
	for _, r := range w.sortedRuns() {
		t.endRun(r, ending, "")
	}
}

// announcedLeave reports whether the worker was expected to end its runs: it is draining, or
// its machine's upkeep began before the worker was lost.
func (w *worker) announcedLeave() bool {
	if w.missedPolls > 0 {
		return w.entry.Draining || w.lostInUpkeep
	}
	return w.entry.Draining || w.inUpkeep
}

// checkWorkers sends the orders that are due and ends lapsed runs, for all workers.
func (t *term) checkWorkers(now time.Duration) {
	for key, w := range t.workers {
		if w.dead || (!w.listed && len(w.runs) == 0) {
			if len(w.runs) == 0 && !w.pollInFlight && t.latestKeys[w.entry.ID] != key {
				delete(t.workers, key)
			}
			continue
		}
		t.endLapsedRuns(w, now)
		t.stopRunsBeforeLeaving(w, now)
		t.checkWorker(w, now)
	}
}

// checkMarkedWorkers sends the orders that are due to the workers that events of this
// round concern.
func (t *term) checkMarkedWorkers(now time.Duration) {
	for w := range t.marked {
		if !w.dead {
			t.checkWorker(w, now)
		}
	}
	clear(t.marked)
}

func (t *term) checkWorker(w *worker, now time.Duration) {
	t.sendDueStops(w, now)
	if !w.pollInFlight && now >= w.nextPollAt && w.entry.Address != "" && (w.listed || len(w.runs) > 0) {
		t.poll(w, now)
	}
}

// mark includes a worker in the next checkMarkedWorkers.
func (t *term) mark(w *worker) { t.marked[w] = true }

// endLapsedRuns ends the runs of a worker whose lease has lapsed even if its clock is as
// slow as permitted.
func (t *term) endLapsedRuns(w *worker, now time.Duration) {
	if len(w.runs) == 0 {
		return
	}
	switch {
	case now < w.lateStartsUntil, !w.reached && now < t.formerLeasesEnd:
		return
	case w.reached && (w.missedPolls == 0 || w.earliestClockMS(now) <= w.leaseUntilMS+lapseSlack.Milliseconds()):
		return
	}
	t.log.Warn("the lease of a worker has lapsed", zap.String("worker", w.key), zap.Int("runs", len(w.runs)),
		zap.Bool("reached", w.reached), zap.Duration("silent_for", now-w.answeredAt))
	for _, r := range w.sortedRuns() {
		t.endRun(r, workers.EndedLapsed, "")
	}
}

// maxLeaseDuration returns the time after which a lease has certainly lapsed, on this
// host's clock.
func (t *term) maxLeaseDuration() time.Duration {
	return time.Duration(float64(t.bounds.MaxLease)/minClockRate) + lapseSlack
}

// sortedRuns returns the worker's runs in a stable order.
func (w *worker) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(w.runs), func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.name.Task.Job, b.name.Task.Job), cmp.Compare(a.name.Task.Occurrence, b.name.Task.Occurrence),
			cmp.Compare(a.name.Task.Step, b.name.Task.Step),
			cmp.Compare(a.name.Task.Index, b.name.Task.Index), cmp.Compare(a.name.Number, b.name.Number))
	})
}

// poll asks a worker for its runs and renews its lease.
func (t *term) poll(w *worker, now time.Duration) {
	if !t.mayRenew() {
		return
	}
	w.pollInFlight = true
	request := workers.PollRequest{Fence: t.epoch, AckedThrough: w.acknowledgement()}
	// An unanswered poll may still have renewed the lease. A worker that does not answer
	// is therefore polled without renewal, so that its lease lapses at a known time.
	if len(w.runs) > 0 && w.clockAt != 0 && w.missedPolls == 0 {
		request.LeaseUntilMS = t.extendLease(w, now)
		if w.reached && !w.hasUnsettledRuns() {
			request.MaxWait = min(max(t.bounds.MaxLease/pollWaitDivisor, minPollWait), maxPollWait)
			if w.hasNewUrgentRun(now) {
				request.MaxWait = min(request.MaxWait, maxUrgentPollWait)
			}
		}
	}
	ref := w.ref()
	t.spawn(func() {
		report, err := t.Workers.Poll(t.ctx, ref, request)
		t.post(func(t *term) { t.handlePollAnswer(w, now, request, report, err) })
	})
}

// acknowledgement returns the number of the last end to acknowledge, or 0 if there is nothing to
// acknowledge. A poll can reach the next incarnation, whose ends count from 1 again: none is
// acknowledged to a worker that may have restarted since its last answer.
func (w *worker) acknowledgement() int64 {
	if w.missedPolls > 0 || w.endsRecorded == w.endsAcked {
		return 0
	}
	return w.endsRecorded
}

// extendLease returns the end of a lease that starts now, in milliseconds on the worker's
// clock.
func (t *term) extendLease(w *worker, now time.Duration) int64 {
	until := w.estimatedClockMS(now) + t.bounds.MaxLease.Milliseconds()
	w.leaseUntilMS = max(w.leaseUntilMS, until)
	return until
}

// hasUnsettledRuns reports whether there are runs in an uncertain state, or ends that are
// not recorded yet, which need another poll.
func (w *worker) hasUnsettledRuns() bool {
	if w.endsSeen > w.endsRecorded {
		return true
	}
	for _, r := range w.runs {
		if r.phase == runUncertain || r.absent {
			return true
		}
	}
	return false
}

// handlePollAnswer processes the answer to a poll that was sent at the given time.
func (t *term) handlePollAnswer(w *worker, sent time.Duration, request workers.PollRequest, report workers.Report, err error) {
	now := t.Now()
	w.pollInFlight = false
	t.mark(w)
	switch {
	case errors.Is(err, workers.ErrFenced):
		t.endFenced(w.key)
		return
	case errors.Is(err, workers.ErrOtherIncarnation):
		t.log.Info("another incarnation of the worker answers at its address", zap.String("worker", w.key), zap.Int("runs", len(w.runs)))
		t.markDead(w)
		return
	case err == nil && report.StartMS != w.entry.StartMS:
		later := w.entry
		later.StartMS, later.ClockMS = report.StartMS, report.ClockMS
		t.updateWorker(later)
		return
	case err != nil:
		t.handleMissedPoll(w, now, err)
		return
	}
	if w.missedPolls > 1 {
		t.log.Info("worker regained", zap.String("worker", w.key), zap.Duration("silent_for", now-w.answeredAt))
	}
	recovered := w.missedPolls > 0
	if recovered {
		t.forgetLoss(w)
	}
	if !w.reached || recovered {
		t.needsPlanning = true
	}
	w.missedPolls, w.reached, w.answeredAt = 0, true, sent
	w.endsAcked = max(w.endsAcked, request.AckedThrough)
	w.updateClock(report.ClockMS, now)
	t.applyReport(w, sent, report)
	w.nextPollAt = now
	switch {
	case w.endsRecorded > w.endsAcked:
		// Ends were recorded since: their acknowledgement makes room for the next ones.
	case len(w.runs) == 0:
		w.nextPollAt = now + idlePollInterval
	case w.hasUnsettledRuns() && !recovered:
		w.nextPollAt = now + unsettledPollInterval
	}
}

func (t *term) handleMissedPoll(w *worker, now time.Duration, err error) {
	w.missedPolls++
	if w.missedPolls == 1 {
		t.recordLoss(w, now)
	}
	if w.missedPolls == 2 {
		t.log.Warn("worker lost", zap.String("worker", w.key), zap.Int("runs", len(w.runs)), zap.Error(err))
	}
	w.nextPollAt = now + retryPollInterval
	if len(w.runs) == 0 {
		w.nextPollAt = now + idlePollInterval/3
	}
}

// usable reports whether the worker may get new runs.
func (t *term) usable(w *worker, now time.Duration) bool {
	return w.listed && !w.dead && w.reached && w.missedPolls == 0 && !w.entry.Draining && !w.inUpkeep && t.hasCurrentEntry(w, now) &&
		!t.zonesOut[w.entry.Zone] && now >= w.backoffUntil && now-w.answeredAt < maxAnswerAge
}
