package scheduler

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

// updateWorkers applies the platform's list of workers.
func (t *term) updateWorkers(list []*workers.Entry) {
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.Key()] = t.updateWorker(*e)
	}
	for key, w := range t.workers {
		if w.listed && !listed[key] {
			w.listed = false
			t.log.Info("worker left the list", zap.String("worker", key), zap.Int("runs", len(w.runs)))
		}
	}
	t.needsPlanning = true
}

// updateWorker applies an entry of the list and reports whether the worker can be used by it.
// An entry may come from another writer, so it ends no runs: a restart is known once the new
// incarnation answers.
func (t *term) updateWorker(e workers.Entry) bool {
	key := e.Key()
	if t.isOldIncarnation(e) {
		return false
	}
	w := t.workers[key]
	if w == nil {
		w = t.addWorker(key)
	}
	if w.reached && e.Address != w.entry.Address {
		return false // it has answered at the known address, which an incarnation keeps
	}
	if !w.listed && !w.dead && t.tookOver {
		t.log.Info("worker listed", zap.String("worker", key), zap.String("zone", e.Zone), zap.String("rack", e.Rack))
	}
	if e.Draining && !w.entry.Draining {
		t.log.Info("worker is draining", zap.String("worker", key), zap.Int64("remaining_ms", e.RemainingMS))
		w.setDrainDeadline(e.RemainingMS, t.Now())
	}
	if e.Address != w.entry.Address {
		w.addressSince, w.nextPollAt = t.Now(), 0
		t.mark(w)
	}
	w.entry, w.listed = e, !w.dead
	if latest := t.workers[t.latestKeys[e.ID]]; latest == nil || !latest.reached {
		t.latestKeys[e.ID] = key
	}
	return true
}

// addWorker adds an incarnation of a worker.
func (t *term) addWorker(key string) *worker {
	w := &worker{
		key: key, runs: map[work.RunName]*run{}, bestEffort: map[*run]bool{}, latencySensitive: map[*run]bool{}, awaitingPause: map[*run]time.Duration{},
		quota: t.quota,
	}
	t.workers[key] = w
	id := work.WorkerID(key)
	t.incarnations[id] = append(t.incarnations[id], key)
	return w
}

// dropWorker forgets an incarnation of a worker.
func (t *term) dropWorker(key string) {
	delete(t.workers, key)
	id := work.WorkerID(key)
	t.incarnations[id] = slices.DeleteFunc(t.incarnations[id], func(k string) bool { return k == key })
	if len(t.incarnations[id]) == 0 {
		delete(t.incarnations, id)
	}
}

// isOldIncarnation reports whether the entry belongs to an incarnation that a later one
// has replaced: the list may be older than the worker's own answers.
func (t *term) isOldIncarnation(e workers.Entry) bool {
	current := t.workers[t.latestKeys[e.ID]]
	return current != nil && current.reached && e.StartMS < current.entry.StartMS
}

// confirmIncarnation makes a worker that has answered the latest incarnation of its id.
func (t *term) confirmIncarnation(w *worker) {
	if t.latestKeys[w.entry.ID] == w.key && len(t.incarnations[w.entry.ID]) == 1 {
		return
	}
	t.latestKeys[w.entry.ID] = w.key
	for _, key := range slices.Clone(t.incarnations[w.entry.ID]) {
		if work.WorkerStartMS(key) < w.entry.StartMS {
			t.replaceIncarnation(key, w)
		}
	}
}

// handleOtherIncarnation handles a report that an incarnation other than w has sent: w has
// started again, or its entry names a start time that is not the worker's.
func (t *term) handleOtherIncarnation(w *worker, report workers.Report, now time.Duration) {
	key := work.WorkerKey(w.entry.ID, report.StartMS)
	answering := t.workers[key]
	if answering == nil {
		answering = t.addWorker(key)
		answering.listed = w.reached && w.listed
	}
	if answering.dead {
		return
	}
	if answering.entry.Address == "" {
		answering.entry = w.entry
		answering.entry.StartMS, answering.entry.ClockMS = report.StartMS, report.ClockMS
	}
	t.confirmIncarnation(answering)
	if w.reached {
		t.replaceIncarnation(w.key, answering)
	}
	answering.nextPollAt, w.nextPollAt = now, now+idlePollInterval
	t.mark(answering)
}

// entryCorrections is the number of heartbeat intervals in which a worker replaces an entry
// that another writer left under its id.
const entryCorrections = 2

// handleOtherWorker handles the answer of a worker with another id at the address of w. It
// proves the end of w only if w has had that address: it has answered there, or its entry has
// outlasted corrections.
func (t *term) handleOtherWorker(w *worker, now time.Duration) {
	if !w.reached && len(w.runs) == 0 {
		w.nextPollAt = now + idlePollInterval
		return
	}
	if !w.reached && now-w.addressSince < entryCorrections*t.bounds.WorkerHeartbeatInterval {
		w.nextPollAt = now + retryPollInterval
		return
	}
	t.log.Info("another worker answers at the worker's address", zap.String("worker", w.key), zap.Int("runs", len(w.runs)))
	t.markDead(w)
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
	t.expectLatePolls(w)
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
