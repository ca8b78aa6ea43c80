package standin

import (
	"fmt"
	"sync"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

// LedgerRun is one run as the workers saw it.
type LedgerRun struct {
	Name   work.RunName
	Worker string
	Zone   string
	Begin  time.Time
	End    time.Time // zero while it runs
	How    string
	demand work.Resources
	number int64 // of its end
	noted  bool
	// stopping is set once the run was told to stop.
	stopping bool
	lapsed   bool // the worker's lease lapsed before the end was noted
}

// Ledger records every run and every broken promise that the workers can see.
type Ledger struct {
	mu     sync.Mutex
	runs   map[work.TaskName][]*LedgerRun
	open   map[*liveRun]*LedgerRun
	used   map[*Worker]work.Resources
	faults []string
	// cancelled jobs may have their tasks stopped.
	cancelled map[string]bool
}

func newLedger() *Ledger {
	return &Ledger{runs: map[work.TaskName][]*LedgerRun{}, open: map[*liveRun]*LedgerRun{}, used: map[*Worker]work.Resources{},
		cancelled: map[string]bool{}}
}

// Faults are the broken promises.
func (l *Ledger) Faults() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.faults...)
}

// Runs of a task in the order of their starts.
func (l *Ledger) Runs(task work.TaskName) []LedgerRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []LedgerRun
	for _, r := range l.runs[task] {
		out = append(out, *r)
	}
	return out
}

// Count returns how many runs ended in the given way.
func (l *Ledger) Count(how string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, runs := range l.runs {
		for _, r := range runs {
			if r.How == how {
				n++
			}
		}
	}
	return n
}

func (l *Ledger) fault(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(format, args...)
}

func (l *Ledger) add(format string, args ...any) {
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

func (l *Ledger) start(w *Worker, r *liveRun, o workers.StartOrder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	task := r.name.Task
	entry := &LedgerRun{Name: r.name, Worker: w.entry.ID, Zone: w.entry.Zone, Begin: time.Now(), demand: r.step().Demand}
	failures := 0
	for _, earlier := range l.runs[task] {
		switch {
		case earlier.End.IsZero():
			l.add("TWICE: %s starts on %s while run %d is on %s", task, w.entry.ID, earlier.Name.Number, earlier.Worker)
		case earlier.How == workers.EndedDone.String() && earlier.noted && !earlier.lapsed:
			l.add("TWICE: %s starts after run %d ended done", task, earlier.Name.Number)
		case earlier.How == workers.EndedFailed.String() && earlier.noted && !earlier.lapsed:
			failures++
		}
	}
	if failures >= r.job.MaxAttempts && !r.step().LongRunning {
		l.add("BUDGET: %s starts after %d failures", task, failures)
	}
	for _, a := range r.step().After {
		if !l.stepDone(r.job.Job, task.Occurrence, a) {
			l.add("ORDER: %s starts before step %d is done", task, a)
		}
	}
	if due := r.job.DueMS(r.job.StepNumber(task)); time.Now().UnixMilli() < due {
		l.add("ORDER: %s starts before it is due", task)
	}
	if o.Spec != r.job.Spec {
		l.add("UNASKED: %s starts with another spec", task)
	}
	l.used[w] = l.used[w].Plus(entry.demand)
	if !l.used[w].Fits(w.entry.Capacity) {
		l.add("LIMIT: %s does not fit on %s", task, w.entry.ID)
	}
	for o := range l.open {
		if o.worker == w && !l.cancelled[o.name.Task.Job] && ((r.step().BestEffort && o.step().LatencySensitive) || (r.step().LatencySensitive && o.step().BestEffort)) {
			l.add("HARM: %s is beside %s on %s", task, o.name, w.entry.ID)
		}
	}
	if limit := r.step().MaxPerWorker; limit > 0 && l.onWorker(w, task) >= limit {
		l.add("ROUTE: %s is one too many on %s", task, w.entry.ID)
	}
	l.runs[task] = append(l.runs[task], entry)
	l.open[r] = entry
}

// onWorker counts the tasks of the same step on the worker.
func (l *Ledger) onWorker(w *Worker, task work.TaskName) int {
	n := 0
	for r := range l.open {
		if r.worker == w && r.name.Task.Job == task.Job && r.name.Task.Occurrence == task.Occurrence && r.name.Task.Step == task.Step {
			n++
		}
	}
	return n
}

// stepDone tells whether all tasks of a step have ended done; of a gang, whether one has.
func (l *Ledger) stepDone(j *work.Job, occurrence, step int) bool {
	for i := range j.Steps[step].Tasks {
		done := false
		for _, r := range l.runs[work.TaskName{Job: j.ID, Occurrence: occurrence, Step: step, Index: i}] {
			done = done || r.How == workers.EndedDone.String()
		}
		if done && j.Steps[step].Gang {
			return true
		}
		if !done {
			return false
		}
	}
	return true
}

// noticed is how long a task may be away before the system has to know it.
const noticed = 4500 * time.Millisecond

// Cancelled notes that a job's cancelling was sent: its tasks may be stopped.
func (l *Ledger) Cancelled(job string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancelled[job] = true
}

// stopped judges the stop of a long-running task that is at work. The fleet's lock is held.
func (l *Ledger) stopped(r *liveRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[r].stopping = true
	most := r.step().MaxUnavailable
	if most == 0 || r.worker.entry.Draining || l.cancelled[r.name.Task.Job] || r.stalled {
		return
	}
	away := 0
	for i := range r.step().Tasks {
		n := r.name.Task
		n.Index = i
		if i != r.name.Task.Index && l.away(n) {
			away++
		}
	}
	if away >= most {
		l.add("AVAIL: %s is stopped while %d tasks are away", r.name, away)
	}
}

// away tells whether a task was taken away by a stop, or has not been at work for so long
// that the system must know it. The lock is held.
func (l *Ledger) away(n work.TaskName) bool {
	runs := l.runs[n]
	if len(runs) == 0 {
		return false
	}
	last := runs[len(runs)-1]
	if last.End.IsZero() {
		return last.stopping
	}
	return last.How == workers.EndedStopped.String() || time.Since(last.End) > noticed
}

func (l *Ledger) end(r *liveRun, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.open[r]
	delete(l.open, r)
	entry.End, entry.How = time.Now(), how
	l.used[r.worker] = l.used[r.worker].Minus(entry.demand)
}

// listed notes the number of a run's end.
func (l *Ledger) listed(r *liveRun, number int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, entry := range l.runs[r.name.Task] {
		if entry.Name == r.name && entry.Worker == r.worker.entry.ID {
			entry.number = number
		}
	}
}

// noted takes that an end was acknowledged.
func (l *Ledger) noted(w *Worker, e workers.Ended) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, entry := range l.runs[e.Run.Task] {
		if entry.Name != e.Run || entry.Worker != w.entry.ID || entry.number != e.Number {
			continue
		}
		entry.noted = true
		if e.How != workers.EndedDone || entry.lapsed {
			continue
		}
		for _, later := range l.runs[e.Run.Task] {
			if later.Begin.After(entry.End) {
				l.add("TWICE: %s was started after its run %d had ended done", e.Run.Task, e.Run.Number)
			}
		}
	}
}

// lapsed notes that the worker's lease lapsed: ends that are not noted yet do not count.
func (l *Ledger) lapsed(w *Worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, runs := range l.runs {
		for _, r := range runs {
			if r.Worker == w.entry.ID && !r.End.IsZero() && !r.noted {
				r.lapsed = true
			}
		}
	}
}
