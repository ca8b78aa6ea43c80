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
	// A worker with runs may hold a look back for a part of the longest lease, one in
	// busyShare, between busyLeast and busyMost. Its lease is renewed that often at least,
	// which leaves most of it to live through a cut; each look has its price.
	busyShare = 5
	busyLeast = time.Second
	busyMost  = 2 * time.Second // the platform's bound
	// idleLook is the time between two looks at a worker without runs.
	idleLook = 3 * time.Second
	// openLook is the time between looks at a worker with runs whose fate is open, or
	// with ends that are not recorded yet.
	openLook = 250 * time.Millisecond
	// missLook is the time between looks at a worker that does not answer.
	missLook = 300 * time.Millisecond
	// lateMost is how long after its sending an order without an answer may be carried
	// out; the platform says 2 to 12 s.
	lateMost = 12 * time.Second
	// silent is the age of the last answer from which a worker gets nothing new.
	silent = 4 * time.Second
)

// takeWorkers takes the platform's list of workers.
func (t *term) takeWorkers(list []*workers.Entry) {
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.Key()] = true
		t.takeEntry(*e)
	}
	for key, w := range t.workers {
		if w.listed && !listed[key] {
			w.listed = false
			t.log.Info("worker left the list", zap.String("worker", key), zap.Int("runs", len(w.runs)))
		}
	}
	t.replan = true
}

func (t *term) takeEntry(e workers.Entry) {
	key := e.Key()
	if t.olderLife(e) {
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
		t.log.Info("worker drains", zap.String("worker", key), zap.Int64("remaining_ms", e.RemainingMS))
		w.drains(e.RemainingMS, t.Now())
	}
	w.entry, w.listed = e, !w.dead
	if w.clockAt == 0 {
		w.clockMS, w.clockAt = e.ClockMS, t.Now()
	}
	if older := t.current[e.ID]; older != "" && older != key {
		t.replaced(older, w)
	}
	t.current[e.ID] = key
}

// olderLife tells whether the entry is of a life that a later one has replaced: the list
// may lag behind what the worker says itself.
func (t *term) olderLife(e workers.Entry) bool {
	current := t.workers[t.current[e.ID]]
	return current != nil && current.reached && e.BornMS < current.entry.BornMS
}

// replaced ends the runs of an earlier life: a worker that starts again knows nothing of
// before. Starts do not say which life they are for, so one that was not seen in a
// report of the earlier life, or may be sent once more, may reach the later one.
func (t *term) replaced(older string, by *worker) {
	w := t.workers[older]
	if w == nil || w.dead {
		return
	}
	t.log.Info("worker started again", zap.String("worker", older), zap.String("as", by.key), zap.Int("runs", len(w.runs)))
	for _, r := range w.sortedRuns() {
		if r.phase == runPlanned || (r.reported && !r.open && r.phase != runSent) {
			continue
		}
		w.removeRun(r)
		t.moveRun(r, by)
		by.heldUntil = t.Now() + lateMost + t.longestLease()
		if r.phase == runStarted {
			r.phase, r.settled = runOpen, t.Now()
		}
	}
	t.bury(w)
}

// bury ends everything on a worker that is known to run nothing.
func (t *term) bury(w *worker) {
	w.dead, w.listed = true, false
	for _, r := range w.sortedRuns() {
		t.over(r, workers.EndedLapsed, "")
	}
}

// sweepWorkers gives the orders that are due.
func (t *term) sweepWorkers(now time.Duration) {
	for key, w := range t.workers {
		if w.dead || (!w.listed && len(w.runs) == 0) {
			if len(w.runs) == 0 && !w.looking && t.current[w.entry.ID] != key {
				delete(t.workers, key)
			}
			continue
		}
		t.sweepLapse(w, now)
		t.sweepDrain(w, now)
		t.sweep(w, now)
	}
}

// sweepMarked gives the orders that follow from the events of this step.
func (t *term) sweepMarked(now time.Duration) {
	for w := range t.marked {
		if !w.dead {
			t.sweep(w, now)
		}
	}
	clear(t.marked)
}

func (t *term) sweep(w *worker, now time.Duration) {
	t.sweepStops(w, now)
	if !w.looking && now >= w.lookAt && w.entry.Address != "" && (w.listed || len(w.runs) > 0) {
		t.look(w, now)
	}
}

// mark has a worker swept in this step.
func (t *term) mark(w *worker) { t.marked[w] = true }

// sweepLapse ends the runs of a worker whose lease has lapsed by its slowest clock.
func (t *term) sweepLapse(w *worker, now time.Duration) {
	if len(w.runs) == 0 {
		return
	}
	switch {
	case now < w.heldUntil, !w.reached && now < t.inherited:
		return
	case w.reached && (w.misses == 0 || w.surely(now) <= w.leaseUntilMS+lapseSlack.Milliseconds()):
		return
	}
	t.log.Warn("the lease of a worker has lapsed", zap.String("worker", w.key), zap.Int("runs", len(w.runs)),
		zap.Bool("reached", w.reached), zap.Duration("silent_for", now-w.answered))
	for _, r := range w.sortedRuns() {
		t.over(r, workers.EndedLapsed, "")
	}
}

// longestLease is how long after its granting a lease has surely lapsed.
func (t *term) longestLease() time.Duration {
	return time.Duration(float64(t.bounds.LeaseMax)/clockSlowest) + lapseSlack
}

// sortedRuns are the worker's runs in a stable order.
func (w *worker) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(w.runs), func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.name.Task.Job, b.name.Task.Job), cmp.Compare(a.name.Task.Occurrence, b.name.Task.Occurrence),
			cmp.Compare(a.name.Task.Step, b.name.Task.Step),
			cmp.Compare(a.name.Task.Index, b.name.Task.Index), cmp.Compare(a.name.Run, b.name.Run))
	})
}

// look asks a worker what runs there and renews its lease.
func (t *term) look(w *worker, now time.Duration) {
	if !t.mayRenew() {
		return
	}
	w.looking = true
	order := workers.LookOrder{Fence: t.epoch, EndsRecorded: w.endsRecorded}
	// A look without an answer may still have renewed the lease. A worker that does not
	// answer is therefore only asked, so that its lease lapses at a known time.
	if len(w.runs) > 0 && w.clockAt != 0 && w.misses == 0 {
		order.LeaseUntilMS = t.lease(w, now)
		if w.reached && !w.needsAnswer() {
			order.Wait = min(max(t.bounds.LeaseMax/busyShare, busyLeast), busyMost)
			if w.hasFreshUrgent(now) {
				order.Wait = min(order.Wait, firstSample)
			}
		}
	}
	ref := w.ref()
	go func() {
		report, err := t.Workers.Look(t.ctx, ref, order)
		t.post(func(t *term) { t.looked(w, now, report, err) })
	}()
}

// lease returns the end of a lease that starts now, on the worker's clock.
func (t *term) lease(w *worker, now time.Duration) int64 {
	until := w.estimate(now) + t.bounds.LeaseMax.Milliseconds()
	w.leaseUntilMS = max(w.leaseUntilMS, until)
	return until
}

// needsAnswer tells whether something is open that the next report settles.
func (w *worker) needsAnswer() bool {
	if w.endsSeen > w.endsRecorded {
		return true
	}
	for _, r := range w.runs {
		if r.phase == runOpen || r.absent {
			return true
		}
	}
	return false
}

// looked takes the answer to a look that was sent at the given time.
func (t *term) looked(w *worker, sent time.Duration, report workers.Report, err error) {
	now := t.Now()
	w.looking = false
	t.mark(w)
	switch {
	case errors.Is(err, workers.ErrFenced):
		t.fenced(w.key)
		return
	case errors.Is(err, workers.ErrOtherLife):
		t.log.Info("another worker answers at the address", zap.String("worker", w.key), zap.Int("runs", len(w.runs)))
		t.bury(w)
		return
	case err == nil && report.BornMS != w.entry.BornMS:
		later := w.entry
		later.BornMS, later.ClockMS = report.BornMS, report.ClockMS
		t.takeEntry(later)
		return
	case err != nil:
		t.missed(w, now, err)
		return
	}
	if w.misses > 1 {
		t.log.Info("worker regained", zap.String("worker", w.key), zap.Duration("silent_for", now-w.answered))
	}
	renew := w.misses > 0
	if !w.reached || renew {
		t.replan = true
	}
	w.misses, w.reached, w.answered = 0, true, sent
	w.sawClock(report.ClockMS, now)
	t.takeReport(w, sent, report)
	w.lookAt = now
	if len(w.runs) == 0 {
		w.lookAt = now + idleLook
	} else if w.needsAnswer() && !renew {
		w.lookAt = now + openLook
	}
}

func (t *term) missed(w *worker, now time.Duration, err error) {
	w.misses++
	if w.misses == 2 {
		t.log.Warn("worker lost", zap.String("worker", w.key), zap.Int("runs", len(w.runs)), zap.Error(err))
	}
	w.lookAt = now + missLook
	if len(w.runs) == 0 {
		w.lookAt = now + idleLook/3
	}
}

// usable tells whether the worker may get something new.
func (t *term) usable(w *worker, now time.Duration) bool {
	return w.listed && !w.dead && w.reached && w.misses == 0 && !w.entry.Draining && !w.upkeep &&
		!t.zonesOut[w.entry.Zone] && now >= w.rests && now-w.answered < silent
}

// takeReport settles the worker's runs.
func (t *term) takeReport(w *worker, sent time.Duration, report workers.Report) {
	now := t.Now()
	seen := w.endsSeen
	for _, e := range report.Ended {
		if e.Number <= w.endsSeen {
			continue
		}
		seen = max(seen, e.Number)
		if r := t.runOn(w, e.Run); r != nil {
			t.over(r, e.How, e.Checkpoint)
		} else {
			t.log.Info("an unknown run ended", zap.String("worker", w.key), zap.Stringer("run", e.Run), zap.Stringer("how", e.How))
		}
	}
	if seen > w.endsSeen {
		w.endsSeen = seen
		t.then(func() {
			w.endsRecorded = max(w.endsRecorded, seen)
			w.lookAt = min(w.lookAt, t.Now())
			t.mark(w)
		})
	}
	running := make(map[work.RunName]bool, len(report.Running))
	for _, entry := range report.Running {
		running[entry.Run] = true
		t.takeRunning(w, entry, now)
	}
	for _, r := range w.sortedRuns() {
		if !running[r.name] {
			t.missing(r, sent)
		}
	}
	for _, r := range w.sortedRuns() {
		if running[r.name] {
			t.checkProgress(r, now)
		}
	}
	if !w.needsAnswer() {
		w.heldUntil = 0
	}
}

// takeRunning takes the report of one run that is on the worker.
func (t *term) takeRunning(w *worker, entry workers.Running, now time.Duration) {
	r := t.runOn(w, entry.Run)
	if r == nil {
		t.log.Warn("a run is on a worker that no record puts there; it is stopped", zap.String("worker", w.key), zap.Stringer("run", entry.Run))
		r = &run{name: entry.Run, worker: w, demand: t.demandOf(entry.Run.Task), phase: runStarted}
		w.addRun(r)
		t.askStop(r)
	}
	if r.phase == runOpen {
		r.phase = runStarted
		t.log.Info("run found on its worker", zap.String("worker", w.key), zap.Stringer("run", r.name))
	}
	r.absent, r.reported = false, true
	if r.startedAt == 0 {
		r.startedAt, r.inherited = now, true
	}
	if r.stopDone != 0 && now-r.stopDone > t.bounds.StopTimeout+stopRepeat {
		t.log.Warn("a run goes on after its stop; it is stopped again", zap.String("worker", w.key), zap.Stringer("run", r.name))
		r.stopDone, r.stopSent = 0, 0
	}
	r.percent = max(r.percent, entry.Percent)
	if entry.Checkpoint != "" && entry.Checkpoint != r.checkpoint {
		r.checkpoint, r.savedAt = entry.Checkpoint, now
	}
}

// runOn is the run that a worker reports, or nil. A run that is recorded on another life
// of the same worker is moved here: its start reached this life, and a former owner could
// not record that.
func (t *term) runOn(w *worker, name work.RunName) *run {
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
		t.log.Info("a run is on another life of its worker", zap.Stringer("run", name), zap.String("recorded", r.worker.key), zap.String("worker", w.key))
		r.worker.removeRun(r)
		t.moveRun(r, w)
		return r
	}
	return nil
}

// moveRun puts a run that was taken off its worker on another life of that.
func (t *term) moveRun(r *run, to *worker) {
	r.worker = to
	to.addRun(r)
	if task := r.task(); task != nil {
		task.Worker = to.key
		t.touch(r.job)
	}
}

// demandOf is the room that a task takes, if its job is known.
func (t *term) demandOf(n work.TaskName) work.Demand {
	j := t.jobs[n.Job]
	if j == nil || !j.Has(n) {
		return work.Demand{}
	}
	return j.Steps[n.Step].Demand
}

// missing settles a run that a report asked for at the given time does not name. It
// was never carried out, or it may still be: a stop rules the latter out.
func (t *term) missing(r *run, sent time.Duration) {
	switch r.phase {
	case runPlanned, runSent:
		return
	}
	if sent <= r.settled {
		return // the report may be older than the start
	}
	if r.stopDone != 0 && sent > r.stopDone {
		t.over(r, workers.EndedStopped, "")
		return
	}
	if !r.stopping {
		t.log.Info("run is not on its worker; it is stopped before it may come late", zap.String("worker", r.worker.key), zap.Stringer("run", r.name))
	}
	r.absent = true
	t.askStop(r)
}
