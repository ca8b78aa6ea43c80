package scheduler

import (
	"context"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/health"
	"github.com/daisyfold/daisyfold/internal/engine/plan"
	"github.com/daisyfold/daisyfold/internal/engine/quota"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

// job is an accepted job whose records have not been deleted.
type job struct {
	*work.Job
	state     *work.State
	cancelled bool
	dirty     bool
	// recorded holds the state's records at the store, by chunk. publishedHeader is the
	// header of the state that callers see.
	recorded        [][]byte
	publishedHeader string
	// omitsCheckpoints is set once the state has exceeded the store's limits with checkpoints.
	omitsCheckpoints bool
	// runs are the job's runs that are not known to have ended.
	runs map[*run]bool
	// advice is what the advice service has answered, by step.
	advice map[int]*advice
	// claims are the resources that preemption is freeing, by step.
	claims map[int]claim
	// health holds where runs of the job have failed. Further attempts prefer other workers.
	health health.Job
	// moves counts how often a task was moved off a slow worker; a gang counts under its
	// first task.
	moves map[work.TaskName]int
	// displaced counts how often a task was stopped for other work; a gang counts under its first
	// task. A new owner counts from 0.
	displaced map[work.TaskName]int
	// starts postpones the starts of a step that a worker has rejected as malformed, by step.
	starts map[int]*retry
	// waitingSince is when a step became ready, by step, while it has unplaced tasks.
	waitingSince map[int]time.Duration
	// spreadableSince is since when a gang that waits for one rack has fitted on several, by
	// step.
	spreadableSince map[int]time.Duration
}

// claim is a set of resources that is kept for a step while runs are being stopped for
// it.
type claim struct {
	// expiresAt is when the stops should be complete. Until then no more runs are stopped
	// for the step.
	expiresAt time.Duration
	// tasks is the number of tasks for each worker, by worker key.
	tasks map[string]int
}

// activeClaims returns the number of the step's tasks that resources are kept for, by
// worker key, or nil.
func (j *job) activeClaims(step int, now time.Duration) map[string]int {
	c := j.claims[step]
	if now >= c.expiresAt {
		return nil
	}
	return c.tasks
}

// consumeClaims removes the placed tasks from the step's claims.
func (j *job) consumeClaims(step int, nodes []*plan.Node) {
	tasks := j.claims[step].tasks
	for _, n := range nodes {
		if tasks[n.Key] > 1 {
			tasks[n.Key]--
		} else {
			delete(tasks, n.Key)
		}
	}
}

// active reports whether the job may get new runs.
func (j *job) active() bool { return !j.cancelled && !j.state.Status.Ended() }

// runPhase is what the scheduler knows about a run on a worker.
type runPhase int

const (
	// runPlanned means that the run has been decided but its record is not in the store
	// yet.
	runPlanned runPhase = iota
	// runStartSent means that the start was sent and the answer is pending.
	runStartSent
	// runUncertain means that the run may or may not be on the worker: its start was not
	// answered, or it comes from a former owner's record.
	runUncertain
	// runStarted means that the run is on the worker.
	runStarted
)

// run is a run of a task on a worker, from its planning until it is known to have ended.
// It occupies resources for all of that time.
type run struct {
	name   work.RunName
	job    *job
	worker *worker
	demand work.Resources
	// organisation is charged for the run; it is known for most runs without a job as well.
	organisation string
	phase        runPhase
	// startSentAt is when the first attempt of the start was sent in this term; 0 if none was.
	startSentAt time.Duration
	// startResolvedAt is when the start was answered or given up. Reports requested later
	// show whether the run is on the worker.
	startResolvedAt time.Duration
	// stopping is set by term.requestStop when the run has been or will be ordered to
	// stop.
	stopping       bool
	stopSentAt     time.Duration // when the last stop was sent
	stopInFlight   bool          // a stop was sent and its answer is pending
	stopAnsweredAt time.Duration // when a stop was answered; 0 if none was
	// cancelStart ends the repetition of the start; it is nil before the first attempt.
	cancelStart context.CancelFunc
	// startUnanswered reports whether an attempt of the start got no answer: the worker,
	// or its next incarnation, may carry it out late.
	startUnanswered bool
	// absent reports whether the run was missing in the last report; reported, whether
	// any report of its worker's incarnation has contained it.
	absent, reported bool
	// startedAt is when the start was answered, or when the run was first reported. Such
	// an inherited run had started earlier.
	startedAt    time.Duration
	inherited    bool
	percent      float64
	speed        speedTracker
	pace         paceState
	checkpoint   string
	checkpointAt time.Duration
}

func (r *run) step() *work.Step           { return r.job.StepAt(r.name.Task.Step) }
func (r *run) stepState() *work.StepState { return &r.job.state.Steps[r.job.StepNumber(r.name.Task)] }

// sameGang reports whether two runs of the same job belong to the same gang.
func (r *run) sameGang(o *run) bool {
	a, b := r.name.Task, o.name.Task
	return a.Occurrence == b.Occurrence && a.Step == b.Step && r.name.Number == o.name.Number
}

// currentTask returns the state of the run's task if this is the task's current run, or
// nil.
func (r *run) currentTask() *work.TaskState {
	if r.job == nil || r.job.state.Status.Ended() {
		return nil
	}
	t := &r.stepState().Tasks[r.name.Task.Index]
	if t.RunNumber != r.name.Number || t.Phase != work.Placed {
		return nil
	}
	return t
}

// worker is one incarnation of a worker.
type worker struct {
	entry workers.Entry
	key   string
	// entryWrittenAfter is a lower bound of the time when the entry was written; 0 if it is not
	// known, or if the worker itself has not written an entry yet.
	entryWrittenAfter time.Duration
	// listed reports whether the platform's list contains the entry.
	listed bool
	// dead reports whether the worker is known to run nothing, because it has stopped or
	// a later incarnation has replaced it.
	dead bool
	// reached reports whether the worker has answered a poll of this term, and thus knows
	// its fencing token.
	reached bool
	// addressSince is when the list first named the worker's address.
	addressSince time.Duration
	// answeredAt is when the last answered poll was sent.
	answeredAt time.Duration
	// clockMS is the worker's clock at clockAt, in milliseconds, by its own answers.
	clockMS int64
	clockAt time.Duration
	// leaseUntilMS is the latest end of a lease that this term has requested, in
	// milliseconds on the worker's clock.
	leaseUntilMS int64
	// lateStartsUntil is the time until which starts that were sent to an earlier
	// incarnation may run on this one; 0 once a report has settled them.
	lateStartsUntil time.Duration
	runs            map[work.RunName]*run
	used            work.Resources
	// quota is the ledger of the term, which is charged for the runs.
	quota *quota.Ledger
	// endsSeen, endsRecorded and endsAcked are the numbers of the last ends of runs that
	// were processed, that are recorded in the store, and that a poll answered by this
	// incarnation has acknowledged.
	endsSeen, endsRecorded, endsAcked int64
	// ackSentAt is when a poll that is in flight and acknowledges ends was sent, and unansweredAckAt
	// when the last such poll without an answer was; 0 if there is none.
	ackSentAt, unansweredAckAt time.Duration
	// stoppingRuns counts the runs that are to be stopped.
	stoppingRuns int
	// bestEffort and latencySensitive are the runs of the two kinds, which share the worker only
	// while the best-effort ones are paused.
	bestEffort, latencySensitive map[*run]bool
	// awaitingPause holds the latency-sensitive runs that start once the best-effort ones are
	// paused, with the time since when they wait.
	awaitingPause map[*run]time.Duration
	// backoffUntil is the time until which the worker gets no new runs because it refused one.
	backoffUntil time.Duration
	// health holds the failures of runs on the worker. While it rests because of them, other
	// workers are preferred; resting is the state at the last planning pass.
	health  health.Worker
	resting bool
	// inUpkeep reports whether the worker's machine is being drained or is down for its
	// upkeep.
	inUpkeep bool
	// leavesAt is the earliest time at which a draining worker leaves.
	leavesAt time.Duration
	// slowUntil is the time until which other workers are preferred, because runs on this
	// one are slow.
	slowUntil    time.Duration
	speed        speedEstimate
	pollInFlight bool
	// firstPollQueued reports whether the worker waits in term.firstPolls.
	firstPollQueued bool
	nextPollAt      time.Duration // when the next poll is due
	missedPolls     int           // consecutive polls without an answer
	lostAt          time.Duration // when the first of them failed
	lostInUpkeep    bool          // inUpkeep was set at lostAt
	crashHandled    bool          // handleCrash was called
}

func (w *worker) ref() workers.Ref { return workers.Ref{ID: w.entry.ID, Address: w.entry.Address} }

// minClockRate is the lowest rate of a worker's clock relative to this host's clock: the
// platform allows it to be 2 % slow.
const minClockRate = 0.98

// estimatedClockMS returns the worker's clock now, assuming that it runs at the rate of
// this host's clock. A worker shortens a lease whose end was computed too late.
func (w *worker) estimatedClockMS(now time.Duration) int64 {
	return w.clockMS + (now - w.clockAt).Milliseconds()
}

// earliestClockMS returns a lower bound of the worker's clock now.
func (w *worker) earliestClockMS(now time.Duration) int64 {
	return w.clockMS + int64(minClockRate*float64((now-w.clockAt).Milliseconds()))
}

// updateClock applies a reading of the worker's clock that arrived at the given time.
func (w *worker) updateClock(clockMS int64, at time.Duration) {
	if clockMS > 0 && (w.clockAt == 0 || clockMS > w.earliestClockMS(at)) {
		w.clockMS, w.clockAt = clockMS, at
	}
}

// addRun adds a run to the worker.
func (w *worker) addRun(r *run) {
	w.runs[r.name] = r
	w.used = w.used.Plus(r.demand)
	if r.job != nil {
		r.organisation = r.job.Organisation
	}
	w.quota.Charge(r.organisation, r.demand)
	if r.stopping {
		w.noteStopping(r)
	}
	if r.job == nil {
		return
	}
	r.job.runs[r] = true
	if kind := w.kindOf(r.step()); kind != nil {
		kind[r] = true
	}
}

// removeRun removes a run from the worker.
func (w *worker) removeRun(r *run) {
	if w.runs[r.name] != r {
		return
	}
	delete(w.runs, r.name)
	w.used = w.used.Minus(r.demand)
	if r.stopping {
		w.stoppingRuns--
		w.quota.ReleaseStopping(r.organisation, r.demand)
	}
	w.quota.Release(r.organisation, r.demand)
	if r.job == nil {
		return
	}
	delete(r.job.runs, r)
	delete(w.kindOf(r.step()), r)
	delete(w.awaitingPause, r)
}

// noteStopping notes that one of the worker's runs is to be stopped.
func (w *worker) noteStopping(r *run) {
	w.stoppingRuns++
	w.quota.ChargeStopping(r.organisation, r.demand)
}

// node returns the worker as a node of a planning snapshot.
func (w *worker) node() *plan.Node {
	n := &plan.Node{
		Key: w.key, Rack: w.entry.Rack, Labels: w.entry.Labels,
		Capacity: w.entry.Capacity, Free: w.entry.Capacity.Minus(w.used), Slower: w.speed.isSlower(),
		Overcommitted: !w.used.Fits(w.entry.Capacity),
	}
	n.LatencySensitiveTasks, n.BestEffortTasks = len(w.latencySensitive), len(w.bestEffort)
	for r := range w.bestEffort {
		if r.step().Pausable() {
			n.PausableTasks++
		}
	}
	for _, r := range w.runs {
		if r.job != nil && r.step().MaxPerWorker > 0 {
			if n.StepTasks == nil {
				n.StepTasks = map[plan.StepKey]int{}
			}
			n.StepTasks[plan.StepKey{Job: r.job.ID, Step: r.job.StepNumber(r.name.Task)}]++
		}
	}
	return n
}
