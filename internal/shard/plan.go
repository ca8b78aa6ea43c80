package shard

import (
	"context"
	"fmt"
	"time"

	"github.com/daisyfold/daisyfold/internal/jobs"
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/planner"
	"github.com/daisyfold/daisyfold/internal/platform/workerlink"
)

// plan calls the planner and starts the operations that it decided on.
func (s *Shard) plan(o *observation) {
	ops := s.runningOps()
	waiting, foreign := s.candidates(ops)
	if ok, reason := s.canPlan(o); !ok {
		s.Metrics.plansRefused.Inc(1)
		s.recordRefusal(waiting, reason)
		return
	}
	if len(waiting) == 0 {
		return // the planner starts and preempts gangs only for waiting jobs
	}
	snapshot := s.planSnapshot(o, ops, waiting)
	start := time.Now()
	result := planner.Decide(snapshot)
	s.Metrics.recordPlanTime(time.Since(start))
	s.Jobs.AddReasons(result.Reasons)
	for _, p := range result.Starts {
		s.executeStart(p, foreign)
	}
	for _, preemption := range result.Preemptions {
		s.preempt(preemption)
	}
}

// canPlan reports whether anything may start in this shard, and if not, why.
func (s *Shard) canPlan(o *observation) (bool, string) {
	if ok, reason := s.canDecide(o); !ok {
		return false, reason
	}
	return s.canStart()
}

// recordRefusal records for each waiting job why nothing starts, and adds an event when the
// reason changes.
func (s *Shard) recordRefusal(waiting []*model.Job, reason string) {
	now := s.Now().UnixMilli()
	reasons := make([]model.Reason, 0, len(waiting))
	for _, j := range waiting {
		reasons = append(reasons, model.Reason{
			Job: j.Spec.Key, Code: model.ReasonNoStartEvidence, Detail: reason, UnixMS: now,
		})
	}
	s.Jobs.AddReasons(reasons)
	s.mu.Lock()
	changed := s.lastRefusalReason != reason
	s.lastRefusalReason = reason
	s.mu.Unlock()
	if changed {
		s.addEvent("no job can start: " + reason)
	}
}

// candidates returns the waiting jobs of this shard and those of other shards that may be
// taken over. The latter are also returned by key.
func (s *Shard) candidates(ops map[model.JobKey]opKind) ([]*model.Job, map[model.JobKey]*jobs.Entry) {
	var waiting []*model.Job
	for _, e := range s.Jobs.Waiting(s.id) {
		if _, busy := ops[e.Job.Spec.Key]; !busy && !s.isRejected(e.Job.Spec.Key) {
			waiting = append(waiting, &e.Job)
		}
	}
	foreign := map[model.JobKey]*jobs.Entry{}
	if !s.movesAllowed() || anyStopping(ops) {
		return waiting, foreign
	}
	for _, e := range s.Jobs.WaitingOutside(s.id, maxForeignJobs) {
		if _, busy := ops[e.Job.Spec.Key]; busy || !s.canTakeOver(e) {
			continue
		}
		foreign[e.Job.Spec.Key] = e
		waiting = append(waiting, &e.Job)
	}
	return waiting, foreign
}

// anyStopping reports whether work is being stopped. The capacity that it frees is for the
// shard's own jobs that wait for it.
func anyStopping(ops map[model.JobKey]opKind) bool {
	for _, kind := range ops {
		if kind == opWithdraw || kind == opStop {
			return true
		}
	}
	return false
}

// movesAllowed reports whether the log has answered for moveDelayAfterOutage.
func (s *Shard) movesAllowed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	if !s.Journal.State().Answering {
		s.logLastDownAt = now
	}
	return s.logLastDownAt.IsZero() || now.Sub(s.logLastDownAt) > moveDelayAfterOutage
}

// rejectJob excludes a job from planning for rejectedJobDelay after its placement was not
// recorded.
func (s *Shard) rejectJob(job model.JobKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectedUntil[job] = s.Now().Add(rejectedJobDelay)
}

// isRejected reports whether a job is excluded from planning.
func (s *Shard) isRejected(job model.JobKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.rejectedUntil[job]
	if ok && s.Now().After(until) {
		delete(s.rejectedUntil, job)
		return false
	}
	return ok
}

// canTakeOver reports whether a job of another shard may move to this one: it may run in this
// zone, and its home zone is out of service or it has waited for minForeignJobWait.
func (s *Shard) canTakeOver(e *jobs.Entry) bool {
	spec := &e.Job.Spec
	if spec.Zone != "" && spec.Zone != s.Zone {
		return false
	}
	if z := s.Board.Config.Get().Zone(e.Job.HomeShard.Zone); z == nil || !z.InService {
		return true
	}
	return s.Now().UnixMilli()-e.Job.AcceptedUnixMS > minForeignJobWait.Milliseconds()
}

// planSnapshot returns the planner's input.
func (s *Shard) planSnapshot(o *observation, ops map[model.JobKey]opKind, waiting []*model.Job) *planner.Snapshot {
	cfg := s.Board.Config.Get()
	snapshot := &planner.Snapshot{
		Now: s.Now(), Shard: s.id, ZoneInService: true,
		Waiting: waiting, History: s.History,
		Guarantees:            s.Guarantees(cfg, s.id),
		UnavailableDependency: s.UnavailableDependencies(),
		Stopping:              map[model.JobKey]bool{},
		NonPreemptible:        map[model.JobKey]bool{},
		SavedRunTime:          map[model.JobKey]time.Duration{},
	}
	version := s.currentLinksVersion()
	for _, l := range s.allLinks() {
		w := l.worker
		w.Health = o.views[w.ID].health
		snapshot.Workers = append(snapshot.Workers, w)
	}
	snapshot.Limits = s.capacityLimitsOf(snapshot.Workers, version)
	s.addRunning(snapshot, o)
	for job, kind := range ops {
		if kind == opWithdraw || kind == opStop {
			snapshot.Stopping[job] = true
		}
	}
	elsewhere := s.Jobs.UsageOutside(s.id)
	for _, org := range cfg.Parsed.Organisations {
		snapshot.Organisations = append(snapshot.Organisations, planner.Organisation{
			Name: org.Name, QuotaAccelerators: org.QuotaAccelerators,
			UsedInOtherShards: elsewhere[org.Name], Weight: max(org.Weight, 1),
		})
	}
	return snapshot
}

// currentLinksVersion returns the number of changes of the links.
func (s *Shard) currentLinksVersion() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.linksVersion
}

// capacityLimitsOf returns the capacity limits of the workers at a version of the links. Only
// reconcileAndPlan calls it, which never runs concurrently.
func (s *Shard) capacityLimitsOf(workers []model.Worker, version int) *planner.CapacityLimits {
	if s.capacityLimits == nil || s.limitsVersion != version || s.currentLinksVersion() != version {
		s.capacityLimits = planner.NewCapacityLimits(workers)
		s.limitsVersion = version
	}
	return s.capacityLimits
}

// addRunning adds all attempts that occupy workers: the active attempts and those that should
// not run but whose tasks have not ended yet.
func (s *Shard) addRunning(snapshot *planner.Snapshot, o *observation) {
	active := map[attemptKey]bool{}
	for _, e := range s.Jobs.Active(s.id) {
		p := *e.Job.Placement
		p.Class = e.Job.Spec.Class()
		p.Priority = e.Job.Spec.Priority
		snapshot.Running = append(snapshot.Running, p)
		snapshot.SavedRunTime[p.Job] = time.Duration(e.Job.SavedRunMS) * time.Millisecond
		if e.Job.Spec.NonRepeatable {
			snapshot.NonPreemptible[p.Job] = true
		}
		active[attemptKey{job: p.Job, attempt: p.Attempt}] = true
	}
	for k, tasks := range o.tasks {
		if active[k] {
			continue
		}
		if p := strayPlacement(k, s.id, tasks); len(p.Members) > 0 {
			snapshot.Running = append(snapshot.Running, p)
			snapshot.Stopping[k.job] = true
		}
	}
}

// strayPlacement returns a placement for the running tasks of an attempt that should end.
func strayPlacement(k attemptKey, id model.ShardID, tasks map[int]workerlink.Task) model.Placement {
	p := model.Placement{Job: k.job, Attempt: k.attempt, Shard: id}
	for _, t := range tasks {
		if t.State == workerlink.TaskRunning {
			p.Members = append(p.Members, t.Member)
		}
	}
	return p
}

// executeStart starts a planned gang or, if the job belongs to another shard, moves the job
// to this shard first.
func (s *Shard) executeStart(p model.Placement, foreign map[model.JobKey]*jobs.Entry) {
	if e := foreign[p.Job]; e != nil {
		s.launchOp(p.Job, opMove, func(ctx context.Context) { s.moveHere(ctx, e) })
		return
	}
	s.launchOp(p.Job, opStart, func(ctx context.Context) { s.startGang(ctx, p) })
}

// moveHere moves a waiting job from another shard to this one.
func (s *Shard) moveHere(ctx context.Context, e *jobs.Entry) {
	key := e.Job.Spec.Key
	body := journal.JobMoved{Job: key, From: e.Job.HomeShard, To: s.id, MoveNumber: e.MoveNumber + 1}
	id := fmt.Sprintf("move/%s/%d/%s", key, body.MoveNumber, s.id)
	rec, err := journal.NewRecord(journal.KindJobMoved, s.Host, id, s.Now(), body)
	if err != nil {
		return
	}
	appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := s.Journal.Append(appendCtx, journal.StreamJobs, rec); err != nil {
		s.Logger.Info("cannot record the move of a job to this shard: " + err.Error())
	}
}

// preempt withdraws a running attempt to free its capacity.
func (s *Shard) preempt(preemption planner.Preemption) {
	e := s.Jobs.Get(preemption.Job)
	if e == nil || !isCurrentAttempt(e, preemption.Attempt) {
		return
	}
	w := withdrawal{cause: causePreempted, reason: "preempted", checkpoint: preemption.Checkpoint}
	if preemption.ForJob != (model.JobKey{}) {
		w.reason = "preempted for job " + preemption.ForJob.String()
	}
	s.launchOp(preemption.Job, opWithdraw, func(ctx context.Context) { s.withdraw(ctx, e, w) })
}

// recordRunTime adds the run time of a finished job to the history. runMS is the run time of
// the last attempt in milliseconds.
func (s *Shard) recordRunTime(e *jobs.Entry, runMS int64) {
	total := time.Duration(runMS+e.Job.SavedRunMS) * time.Millisecond
	size := e.Job.Spec.Accelerators()
	if size == 0 {
		size = e.Job.Spec.Tasks
	}
	s.History.Observe(e.Job.Spec.Class(), size, total)
}
