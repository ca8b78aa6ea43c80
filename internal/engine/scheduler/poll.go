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

// checkWorkers sends the orders that are due and ends lapsed runs, for all workers.
func (t *term) checkWorkers(now time.Duration) {
	for key, w := range t.workers {
		if w.dead || (!w.listed && len(w.runs) == 0) {
			if len(w.runs) == 0 && !w.pollInFlight && t.latestKeys[work.WorkerID(key)] != key {
				t.dropWorker(key)
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
	t.sendDuePaces(w, now)
	switch {
	case !t.pollDue(w, now):
	case w.reached:
		t.poll(w, now)
	default:
		t.queueFirstPoll(w)
	}
}

// pollDue reports whether it is time to poll a worker.
func (t *term) pollDue(w *worker, now time.Duration) bool {
	return !w.pollInFlight && now >= w.nextPollAt && w.entry.Address != "" && (w.listed || len(w.runs) > 0)
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
	case now < w.lateStartsUntil, now < t.latePolls[work.WorkerID(w.key)].renewalsUntil, (!w.reached || w.leaseUntilMS == 0) && now < t.formerLeasesEnd:
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
	if request.AckedThrough > 0 {
		w.ackSentAt = now
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
	delete(t.firstPolls.inFlight, w)
	t.mark(w)
	switch {
	case errors.Is(err, workers.ErrFenced):
		t.endFenced(w.key)
		return
	case w.dead:
		return
	case errors.Is(err, workers.ErrOtherIncarnation):
		t.handleOtherWorker(w, now)
		return
	case err == nil && report.StartMS != w.entry.StartMS:
		t.handleOtherIncarnation(w, report, now)
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
	first := !w.reached
	if first || recovered {
		t.needsPlanning = true
	}
	w.missedPolls, w.reached, w.answeredAt, w.ackSentAt = 0, true, sent, 0
	w.endsAcked = max(w.endsAcked, request.AckedThrough)
	t.confirmIncarnation(w)
	w.updateClock(report.ClockMS, now)
	t.applyReport(w, sent, report)
	w.nextPollAt = now
	switch {
	case w.endsRecorded > w.endsAcked:
		// Ends were recorded since: their acknowledgement makes room for the next ones.
	case len(w.runs) == 0:
		w.nextPollAt = now + idlePollInterval
	case w.hasUnsettledRuns() && !recovered && !first: // the first poll has renewed no lease
		w.nextPollAt = now + unsettledPollInterval
	}
}

func (t *term) handleMissedPoll(w *worker, now time.Duration, err error) {
	w.noteUnansweredAck()
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
		!t.zonesOut[w.entry.Zone] && now >= w.backoffUntil && now >= t.latePolls[w.entry.ID].acksUntil && now-w.answeredAt < maxAnswerAge
}
