package standin

import (
	"fmt"
	"strconv"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

func (w *Worker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// failsAfter is how long a run lasts on a worker that fails everything.
const failsAfter = 200 * time.Millisecond

// step of the run's job.
func (r *liveRun) step() *work.Step { return &r.job.Steps[r.name.Task.Step] }

// begin puts a run on the worker. The lock is held.
func (w *Worker) begin(o workers.StartOrder, job knownJob) {
	f := w.fleet
	r := &liveRun{
		worker: w, name: o.Run, job: job, key: gangKey{o.Run.Task.Job, o.Run.Task.Occurrence, o.Run.Task.Step, o.Run.Number},
		base: progressOf(o.Checkpoint), speed: 1, began: time.Now(),
	}
	if w.slowness > 0 {
		r.speed /= w.slowness
	}
	b := job.behave(o.Run.Task.Step, o.Run.Task.Index)
	r.total = b.Work
	w.runs[o.Run.Task] = r
	f.ledger.start(w, r, o)
	if !r.step().Gang {
		r.work(b)
		return
	}
	g := f.gangs[r.key]
	if g == nil {
		g = &gang{members: map[int]*liveRun{}}
		f.gangs[r.key] = g
	}
	g.members[o.Run.Task.Index] = r
	r.waiting = true
	if g.over {
		w.end(r, workers.EndedBroken)
		return
	}
	if len(g.members) < r.step().Tasks {
		r.timer = time.AfterFunc(f.GangTimeout, func() { f.expire(r) })
		return
	}
	f.startGang(g, b)
}

// startGang lets a complete gang work.
func (f *Fleet) startGang(g *gang, b Behaviour) {
	g.started = true
	racks := map[string]bool{}
	for _, m := range g.members {
		racks[m.worker.entry.Rack] = true
	}
	for _, m := range g.members {
		if m.step().SameRack && len(racks) > 1 {
			m.speed /= f.FarFactor
		}
		if m.timer != nil {
			m.timer.Stop()
		}
		m.waiting, m.began = false, time.Now()
		m.work(b)
	}
}

// expire ends a member that waited too long for the others.
func (f *Fleet) expire(r *liveRun) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.waiting && r.worker.runs[r.name.Task] == r {
		r.worker.end(r, workers.EndedAlone)
	}
}

// work schedules the end of the run's work.
func (r *liveRun) work(b Behaviour) {
	f := r.worker.fleet
	left := max(r.total-r.base, 0)
	took := time.Duration(float64(left) / r.speed)
	failing := f.failed[r.counted()] < b.Fails
	r.stalled = b.Hangs || r.worker.stalled
	if r.stalled || (r.step().LongRunning && !failing && !r.worker.failing) {
		return
	}
	if r.worker.failing {
		failing, took = true, failsAfter
	}
	if failing {
		took /= 2
	}
	r.timer = time.AfterFunc(took, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if r.worker.runs[r.name.Task] != r {
			return
		}
		if failing {
			f.failed[r.counted()]++
			r.worker.end(r, workers.EndedFailed)
			return
		}
		r.finish()
	})
}

// finish ends a run that has done its work; a gang ends once all members have.
func (r *liveRun) finish() {
	if r.step().Gang {
		g := r.worker.fleet.gangs[r.key]
		if g.finished++; g.finished < len(g.members) {
			return
		}
	}
	r.worker.end(r, workers.EndedDone)
}

// counted is the task that failures are counted for: of a gang its first.
func (r *liveRun) counted() work.TaskName {
	n := r.name.Task
	if r.step().Gang {
		n.Index = 0
	}
	return n
}

// progress of the run's task now.
func (r *liveRun) progress() time.Duration {
	if r.waiting || r.stalled {
		return r.base
	}
	return min(r.base+time.Duration(float64(time.Since(r.began))*r.speed), r.total)
}

// checkpoint is the last saved point of the run, or its newest when it is stopped.
func (r *liveRun) checkpoint(now bool) string {
	if !r.step().SavesProgress {
		return ""
	}
	p := r.progress()
	if !now {
		p = max(p.Truncate(r.worker.fleet.SaveEvery), r.base)
	}
	if p == 0 {
		return ""
	}
	return fmt.Sprintf("%08x", p.Milliseconds()) + r.name.Task.Job[:8]
}

func progressOf(checkpoint string) time.Duration {
	if len(checkpoint) < 8 {
		return 0
	}
	ms, err := strconv.ParseInt(checkpoint[:8], 16, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// end lists the end of a run. The lock is held.
func (w *Worker) end(r *liveRun, how workers.Ending) {
	checkpoint := r.checkpoint(how == workers.EndedStopped)
	w.drop(r, how.String())
	w.nextEnd++
	w.ends = append(w.ends, workers.Ended{Number: w.nextEnd, Run: r.name, How: how, Checkpoint: checkpoint})
	w.fleet.ledger.listed(r, w.nextEnd)
	w.notify()
}

// drop takes a run off the worker and breaks its gang. The lock is held.
func (w *Worker) drop(r *liveRun, how string) {
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(w.runs, r.name.Task)
	w.floor[r.name.Task] = max(w.floor[r.name.Task], r.name.Number)
	w.fleet.ledger.end(r, how)
	if !r.step().Gang {
		return
	}
	g := w.fleet.gangs[r.key]
	delete(g.members, r.name.Task.Index)
	if g.over {
		return
	}
	if !g.started && how == workers.EndedAlone.String() {
		return
	}
	g.over = true
	others := workers.EndedBroken
	if how == workers.EndedDone.String() {
		others = workers.EndedDone
	}
	for _, m := range g.members {
		m.worker.end(m, others)
	}
}

// extend renews the lease until a time on the worker's clock.
func (w *Worker) extend(untilMS int64) {
	if untilMS == 0 {
		return
	}
	left := min(time.Duration(untilMS-w.clock())*time.Millisecond, w.fleet.LeaseMax)
	end := time.Now().Add(left)
	if !end.After(w.leaseEnd) {
		return
	}
	w.leaseEnd = end
	if w.lease != nil {
		w.lease.Stop()
	}
	born := w.born
	w.lease = time.AfterFunc(left, func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		if !w.up || !w.born.Equal(born) || time.Now().Before(w.leaseEnd) {
			return
		}
		for _, r := range w.runs {
			w.end(r, workers.EndedLapsed)
		}
		w.fleet.ledger.lapsed(w)
	})
}
