package standin

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

// notifyChanged wakes the calls of Poll that are waiting. The caller holds the lock.
func (w *Worker) notifyChanged() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// failingWorkerRunTime is the run time on a worker that fails all runs. Like every run
// that fails, such a run ends after half of it.
const failingWorkerRunTime = 200 * time.Millisecond

// step returns the step that the run's task belongs to.
func (r *activeRun) step() *work.Step { return &r.job.Steps[r.name.Task.Step] }

// startRun starts a run on the worker. The caller holds the lock.
func (w *Worker) startRun(o workers.StartOrder, job registeredJob) {
	f := w.fleet
	r := &activeRun{
		worker: w, name: o.Run, job: job, gangKey: gangKey{o.Run.Task.Job, o.Run.Task.Occurrence, o.Run.Task.Step, o.Run.Number},
		initialProgress: decodeCheckpoint(o.Checkpoint), speed: 1, startedAt: time.Now(),
	}
	if w.slowdown > 0 {
		r.speed /= w.slowdown
	}
	b := job.behaviour(o.Run.Task.Step, o.Run.Task.Index)
	r.totalWork = b.Work
	w.runs[o.Run.Task] = r
	f.ledger.recordStart(w, r, o)
	if b.CrashesBeforeAnswer {
		w.crashNow(r)
		return
	}
	if b.CrashesWorker {
		w.crashByTask(r)
	}
	if !r.step().Gang {
		r.scheduleEnd(b)
		return
	}
	g := f.gangs[r.gangKey]
	if g == nil {
		g = &gang{members: map[int]*activeRun{}}
		f.gangs[r.gangKey] = g
	}
	g.members[o.Run.Task.Index] = r
	r.awaitingGang = true
	if g.ended {
		w.endRun(r, workers.EndedGangBroken)
		return
	}
	if len(g.members) < r.step().Tasks {
		r.timer = time.AfterFunc(f.GangTimeout, func() { f.expireGangMember(r) })
		return
	}
	f.startGang(g, b)
}

// startGang starts the work of a gang once all its members are present. The caller holds
// the lock.
func (f *Fleet) startGang(g *gang, b Behaviour) {
	g.started = true
	racks := map[string]bool{}
	for _, m := range g.members {
		racks[m.worker.entry.Rack] = true
	}
	for _, m := range g.members {
		if m.step().SameRack && len(racks) > 1 {
			m.speed /= f.CrossRackSlowdown
		}
		if m.timer != nil {
			m.timer.Stop()
		}
		m.awaitingGang, m.startedAt = false, time.Now()
		m.scheduleEnd(b)
	}
}

// expireGangMember ends a run that still waits for the other members of its gang.
func (f *Fleet) expireGangMember(r *activeRun) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.awaitingGang && r.worker.runs[r.name.Task] == r {
		r.worker.endRun(r, workers.EndedGangIncomplete)
	}
}

// scheduleEnd sets the timer that ends the run. Runs that hang, and long-running tasks
// that do not fail, get no timer. The caller holds the lock.
func (r *activeRun) scheduleEnd(b Behaviour) {
	f := r.worker.fleet
	remaining := max(r.totalWork-r.initialProgress, 0)
	duration := time.Duration(float64(remaining) / r.speed)
	failing := f.failures[r.failureKey()] < b.Failures
	r.stalled = b.Hangs || r.worker.stalled
	if r.stalled || (r.step().LongRunning && !failing && !r.worker.failing) {
		return
	}
	if r.worker.failing {
		failing, duration = true, failingWorkerRunTime
	}
	if failing {
		duration /= 2
	}
	r.timer = time.AfterFunc(duration, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if r.worker.runs[r.name.Task] != r {
			return
		}
		if failing {
			f.failures[r.failureKey()]++
			r.worker.endRun(r, workers.EndedFailed)
			return
		}
		r.complete()
	})
}

// complete ends a run that has completed its work. A gang ends once all of its members
// have completed theirs.
func (r *activeRun) complete() {
	if r.step().Gang {
		g := r.worker.fleet.gangs[r.gangKey]
		if g.finishedMembers++; g.finishedMembers < len(g.members) {
			return
		}
	}
	r.worker.endRun(r, workers.EndedDone)
}

// failureKey returns the task for which failures of the run are counted: in a gang, its
// first task.
func (r *activeRun) failureKey() work.TaskName {
	n := r.name.Task
	if r.step().Gang {
		n.Index = 0
	}
	return n
}

// progress returns how much of the task's work is done.
func (r *activeRun) progress() time.Duration {
	if r.awaitingGang || r.stalled {
		return r.initialProgress
	}
	return min(r.initialProgress+time.Duration(float64(time.Since(r.startedAt))*r.speed), r.totalWork)
}

// checkpoint returns the run's checkpoint: the current progress if latest is set, and
// otherwise the last saved one. It is empty if there is no saved progress.
func (r *activeRun) checkpoint(latest bool) string {
	if !r.step().SavesProgress {
		return ""
	}
	p := r.progress()
	if !latest {
		p = max(p.Truncate(r.worker.fleet.SaveInterval), r.initialProgress)
	}
	if p == 0 {
		return ""
	}
	padding := r.job.behaviour(r.name.Task.Step, r.name.Task.Index).CheckpointPadding
	return fmt.Sprintf("%08x", p.Milliseconds()) + r.name.Task.Job[:8] + strings.Repeat("x", padding)
}

// decodeCheckpoint returns the progress in a checkpoint, or 0 if it is malformed.
func decodeCheckpoint(checkpoint string) time.Duration {
	if len(checkpoint) < 8 {
		return 0
	}
	ms, err := strconv.ParseInt(checkpoint[:8], 16, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// endRun removes a run from the worker and adds its end to the worker's reports. The
// caller holds the lock.
func (w *Worker) endRun(r *activeRun, ending workers.Ending) {
	checkpoint := r.checkpoint(ending == workers.EndedStopped)
	w.removeRun(r, ending.String())
	w.lastEndNumber++
	w.ends = append(w.ends, workers.EndedRun{Number: w.lastEndNumber, Run: r.name, Ending: ending, Checkpoint: checkpoint})
	w.fleet.ledger.recordEndNumber(r, w.lastEndNumber)
	w.notifyChanged()
}

// removeRun removes a run from the worker and ends the other members of its gang, unless
// the gang has not started and the run only gave up waiting for it. The caller holds the
// lock.
func (w *Worker) removeRun(r *activeRun, ending string) {
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(w.runs, r.name.Task)
	w.highestEndedRun[r.name.Task] = max(w.highestEndedRun[r.name.Task], r.name.Number)
	w.fleet.ledger.recordEnd(r, ending)
	if !r.step().Gang {
		return
	}
	g := w.fleet.gangs[r.gangKey]
	delete(g.members, r.name.Task.Index)
	if g.ended {
		return
	}
	if !g.started && ending == workers.EndedGangIncomplete.String() {
		return
	}
	g.ended = true
	memberEnding := workers.EndedGangBroken
	if ending == workers.EndedDone.String() {
		memberEnding = workers.EndedDone
	}
	if f := w.fleet; f.GangBreakTime > 0 && ending == workers.EndedFailed.String() {
		time.AfterFunc(f.GangBreakTime, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			g.endMembers(memberEnding)
		})
		return
	}
	g.endMembers(memberEnding)
}

// endMembers ends the members that still run. The caller holds the lock.
func (g *gang) endMembers(ending workers.Ending) {
	for _, m := range g.members {
		m.worker.endRun(m, ending)
	}
}

// extendLease extends the lease to untilMS on the worker's clock, in milliseconds, or by
// MaxLease if that is earlier. It never shortens the lease, and does nothing if untilMS
// is 0. When the lease lapses, all runs end. The caller holds the lock.
func (w *Worker) extendLease(untilMS int64) {
	if untilMS == 0 {
		return
	}
	remaining := min(time.Duration(untilMS-w.clockMS())*time.Millisecond, w.fleet.MaxLease)
	end := time.Now().Add(remaining)
	if !end.After(w.leaseEnd) {
		return
	}
	w.leaseEnd = end
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	startedAt := w.startedAt
	w.leaseTimer = time.AfterFunc(remaining, func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		if !w.up || !w.startedAt.Equal(startedAt) || time.Now().Before(w.leaseEnd) {
			return
		}
		for _, r := range w.runs {
			w.endRun(r, workers.EndedLapsed)
		}
		w.fleet.ledger.recordLapse(w)
	})
}
