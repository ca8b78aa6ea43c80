package scheduler

import (
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

// applyReport updates the worker's runs from a report that was requested at the given
// time.
func (t *term) applyReport(w *worker, sent time.Duration, report workers.Report) {
	now := t.Now()
	seen := w.endsSeen
	for _, e := range report.Ended {
		if e.Number <= w.endsSeen {
			continue
		}
		seen = max(seen, e.Number)
		if r := t.findRun(w, e.Run); r != nil {
			t.endRun(r, e.Ending, e.Checkpoint)
		} else {
			t.log.Info("an unknown run ended", zap.String("worker", w.key), zap.Stringer("run", e.Run), zap.Stringer("how", e.Ending))
		}
	}
	if seen > w.endsSeen {
		w.endsSeen = seen
		t.afterRecording(func() {
			w.endsRecorded = max(w.endsRecorded, seen)
			w.nextPollAt = min(w.nextPollAt, t.Now())
			t.mark(w)
		})
	}
	running := make(map[work.RunName]bool, len(report.Running))
	for _, entry := range report.Running {
		running[entry.Run] = true
		t.applyRunning(w, entry, now)
	}
	for _, r := range w.sortedRuns() {
		if report.Complete && !running[r.name] {
			t.handleMissingRun(r, sent)
		}
	}
	for _, r := range w.sortedRuns() {
		if running[r.name] {
			t.checkProgress(r, now)
		}
	}
	if report.Complete && !w.hasUnsettledRuns() {
		w.lateStartsUntil = 0
	}
}

// applyRunning applies the report of a run that exists on the worker.
func (t *term) applyRunning(w *worker, entry workers.RunProgress, now time.Duration) {
	r := t.findRun(w, entry.Run)
	if r == nil {
		t.log.Warn("a worker has a run without a record; stopping it", zap.String("worker", w.key), zap.Stringer("run", entry.Run))
		r = &run{name: entry.Run, worker: w, demand: t.taskDemand(entry.Run.Task), organisation: t.organisationOf(entry.Run.Task), phase: runStarted}
		w.addRun(r)
		t.requestStop(r)
	}
	if r.phase == runUncertain {
		r.phase = runStarted
		t.log.Info("run found on its worker", zap.String("worker", w.key), zap.Stringer("run", r.name))
	}
	r.absent, r.reported = false, true
	if r.startedAt == 0 {
		r.startedAt, r.inherited = now, true
	}
	if r.stopAnsweredAt != 0 && now-r.stopAnsweredAt > t.bounds.StopTimeout+stopRetryInterval {
		t.log.Warn("a run continues after its stop; stopping it again", zap.String("worker", w.key), zap.Stringer("run", r.name))
		r.stopAnsweredAt, r.stopSentAt = 0, 0
	}
	t.clearSuspicion(r, now)
	r.percent = max(r.percent, entry.Percent)
	if entry.Checkpoint != "" && entry.Checkpoint != r.checkpoint {
		r.checkpoint, r.checkpointAt = entry.Checkpoint, now
	}
}

// findRun returns the run that a worker reports, or nil. A run that is recorded on
// another incarnation of the worker is moved to this one: its start reached this
// incarnation, and a former owner could not record that.
func (t *term) findRun(w *worker, name work.RunName) *run {
	if r := w.runs[name]; r != nil {
		return r
	}
	j := t.jobs[name.Task.Job]
	if j == nil {
		return nil
	}
	for r := range j.runs {
		if r.name != name || work.WorkerID(r.worker.key) != work.WorkerID(w.key) {
			continue
		}
		t.log.Info("a run is on another incarnation of its worker", zap.Stringer("run", name), zap.String("recorded", r.worker.key), zap.String("worker", w.key))
		r.worker.removeRun(r)
		t.moveRun(r, w)
		return r
	}
	return nil
}

// moveRun adds a run, which was removed from its worker, to another incarnation of the
// worker.
func (t *term) moveRun(r *run, to *worker) {
	r.worker, r.pace = to, paceState{inherited: true}
	to.addRun(r)
	if task := r.currentTask(); task != nil {
		task.Worker = to.key
		t.markDirty(r.job)
	}
}

// taskDemand returns the resources that a task requires, or none if its job is not known.
func (t *term) taskDemand(n work.TaskName) work.Resources {
	j := t.jobs[n.Job]
	if j == nil || !j.HasTask(n) {
		return work.Resources{}
	}
	return j.Steps[n.Step].Demand
}

// handleMissingRun handles a run that is missing in a complete report requested at the given time.
// Its start was not carried out but may still be delivered; an answered stop rules that
// out.
func (t *term) handleMissingRun(r *run, sent time.Duration) {
	switch r.phase {
	case runPlanned, runStartSent:
		return
	}
	if sent <= r.startResolvedAt {
		return // the report may be older than the start
	}
	if r.stopAnsweredAt != 0 && sent > r.stopAnsweredAt {
		t.endRun(r, workers.EndedStopped, "")
		return
	}
	if !r.stopping {
		t.log.Info("run is not on its worker; stopping it in case its start arrives late", zap.String("worker", r.worker.key), zap.Stringer("run", r.name))
	}
	r.absent = true
	t.requestStop(r)
}
