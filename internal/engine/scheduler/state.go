package scheduler

import (
	"context"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/plan"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

// job is an accepted job that is not forgotten yet.
type job struct {
	*work.Job
	state     *work.State
	cancelled bool
	dirty     bool
	// recorded is the head of the last state record; shown is the one that callers see.
	recorded []byte
	shown    string
	// runs are those of the job that are not known to be over.
	runs map[*run]bool
	// advice is what the advice service has said, by step.
	advice map[int]*advice
	// claims hold the room that stops are freeing for a step, by step.
	claims map[int]claim
	// avoid are workers on which runs of the job have failed: the next attempt goes to
	// others where there are some.
	avoid map[string]bool
	// moves counts how often a task, or a gang by its first, was taken off a slow worker.
	moves map[work.TaskName]int
	// waiting is since when a step has been ready and not placed, by step.
	waiting map[int]time.Duration
}

// claim is room that is kept for a step while work is being stopped for it.
type claim struct {
	// until is when the stops should be done; they are not ordered twice before.
	until time.Duration
	// tasks go to each worker, by key.
	tasks map[string]int
}

// claimed are the tasks of a step that room is kept for, by worker.
func (j *job) claimed(step int, now time.Duration) map[string]int {
	held := j.claims[step]
	if now >= held.until {
		return nil
	}
	return held.tasks
}

// useClaims takes placed tasks off the step's claims.
func (j *job) useClaims(step int, nodes []*plan.Node) {
	tasks := j.claims[step].tasks
	for _, n := range nodes {
		if tasks[n.Key] > 1 {
			tasks[n.Key]--
		} else {
			delete(tasks, n.Key)
		}
	}
}

// active tells whether the job may get new runs.
func (j *job) active() bool { return !j.cancelled && !j.state.Status.Ended() }

// runPhase is what is known of a run on a worker.
type runPhase int

const (
	// runPlanned has been decided; its record is not in the store yet.
	runPlanned runPhase = iota
	// runSent is a start whose answer is not here yet.
	runSent
	// runOpen may or may not be on the worker: its start got no answer, or it comes
	// from a former owner's record.
	runOpen
	// runStarted is on the worker.
	runStarted
)

// run is one run on a worker, from its planning until it is known to be over. It takes
// room all that time.
type run struct {
	name   work.RunName
	job    *job
	worker *worker
	demand work.Demand
	phase  runPhase
	// settled is when the answer to the start came or was given up: reports asked for
	// later show whether the run is there.
	settled time.Duration
	// stopping runs have been told to stop, or will be. term.askStop sets it.
	stopping bool
	stopSent time.Duration // when the last stop was sent
	stopOpen bool          // a stop is on its way
	stopDone time.Duration // when a stop was answered; 0 if none was
	// giveUp ends the repetition of its start; nil before the first one.
	giveUp context.CancelFunc
	// open tells that a try of its start got no answer: the worker may carry it out
	// late, and so may its next life.
	open bool
	// absent runs were not in the last report; reported ones were in a report of the
	// life of the worker that they are on.
	absent, reported bool
	// startedAt is when the start was answered, or the run was first reported; inherited
	// runs had begun before.
	startedAt  time.Duration
	inherited  bool
	percent    float64
	pace       pace
	checkpoint string
	savedAt    time.Duration
}

func (r *run) step() *work.Step           { return r.job.StepAt(r.name.Task.Step) }
func (r *run) stepState() *work.StepState { return &r.job.state.Steps[r.job.StepOf(r.name.Task)] }

// together tells whether two runs are of one gang.
func (r *run) together(o *run) bool {
	a, b := r.name.Task, o.name.Task
	return a.Occurrence == b.Occurrence && a.Step == b.Step && r.name.Run == o.name.Run
}

// task is the task's state while this run is its current one, or nil.
func (r *run) task() *work.Task {
	if r.job == nil || r.job.state.Status.Ended() {
		return nil
	}
	t := &r.stepState().Tasks[r.name.Task.Index]
	if t.Run != r.name.Run || t.Phase != work.Placed {
		return nil
	}
	return t
}

// worker is one life of a worker.
type worker struct {
	entry workers.Entry
	key   string
	// listed is false once the entry has gone from the platform's list.
	listed bool
	// dead workers are known to run nothing: a new life answers in their place.
	dead bool
	// reached is set once the worker has answered with this term's fencing token.
	reached bool
	// answered is when the last answered look was sent.
	answered time.Duration
	// clockMS is the worker's clock at clockAt.
	clockMS int64
	clockAt time.Duration
	// leaseUntilMS is the latest end of a lease that this term asked for, on the
	// worker's clock.
	leaseUntilMS int64
	// heldUntil is until when starts that were sent to an earlier life may run on this
	// one; 0 once a report has settled them.
	heldUntil time.Duration
	runs      map[work.RunName]*run
	used      work.Demand
	// endsSeen and endsRecorded are numbers of ends: handled, and in the store.
	endsSeen, endsRecorded int64
	// stops counts the runs that are to be stopped.
	stops int
	// rests is until when the worker gets nothing new; failures in a row lengthen it.
	rests    time.Duration
	failures int
	// upkeep is set while the worker's machine is emptied or goes down for its upkeep.
	upkeep bool
	// leaves is when a draining worker may leave at the earliest.
	leaves time.Duration
	// slowUntil is until when others are preferred, because runs here lag behind.
	slowUntil time.Duration
	looking   bool
	lookAt    time.Duration // when the next look is due
	misses    int           // looks in a row without an answer
}

func (w *worker) ref() workers.Ref { return workers.Ref{ID: w.entry.ID, Address: w.entry.Address} }

// clockSlowest is the least speed of a worker's clock; the platform says 2 % slow.
const clockSlowest = 0.98

// estimate is the worker's clock now if it is as fast as ours; a lease end that is
// computed from it and lies too late is shortened by the worker.
func (w *worker) estimate(now time.Duration) int64 {
	return w.clockMS + (now - w.clockAt).Milliseconds()
}

// surely is the worker's clock now at least.
func (w *worker) surely(now time.Duration) int64 {
	return w.clockMS + int64(clockSlowest*float64((now-w.clockAt).Milliseconds()))
}

// sawClock takes a reading that arrived at the given time.
func (w *worker) sawClock(clockMS int64, at time.Duration) {
	if clockMS > 0 && clockMS > w.surely(at) {
		w.clockMS, w.clockAt = clockMS, at
	}
}

// addRun puts a run on the worker.
func (w *worker) addRun(r *run) {
	w.runs[r.name] = r
	w.used = w.used.Plus(r.demand)
	if r.stopping {
		w.stops++
	}
	if r.job != nil {
		r.job.runs[r] = true
	}
}

// removeRun takes a run that is over off the worker.
func (w *worker) removeRun(r *run) {
	if w.runs[r.name] != r {
		return
	}
	delete(w.runs, r.name)
	w.used = w.used.Minus(r.demand)
	if r.stopping {
		w.stops--
	}
	if r.job != nil {
		delete(r.job.runs, r)
	}
}

// node is the worker in a snapshot for planning.
func (w *worker) node() *plan.Node {
	n := &plan.Node{
		Key: w.key, Rack: w.entry.Rack, Labels: w.entry.Labels,
		Total: w.entry.Capacity, Free: w.entry.Capacity.Minus(w.used),
	}
	for _, r := range w.runs {
		if r.job != nil && r.step().Serves {
			n.Serving++
		}
		if r.job != nil && r.step().Fills {
			n.Fillers++
		}
		if r.job != nil && r.step().MaxPerWorker > 0 {
			if n.StepTasks == nil {
				n.StepTasks = map[plan.StepKey]int{}
			}
			n.StepTasks[plan.StepKey{Job: r.job.ID, Step: r.job.StepOf(r.name.Task)}]++
		}
	}
	return n
}
