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

// plan asks the planner and starts what it decided.
func (s *Shard) plan(o *observation) {
	ops := s.opsCopy()
	waiting, foreign := s.candidates(ops)
	if ok, why := s.planAllowed(o); !ok {
		s.Metrics.refused.Inc(1)
		s.noteWhy(waiting, why)
		return
	}
	if len(waiting) == 0 {
		return // the planner starts and preempts for waiting jobs only
	}
	snap := s.snapshot(o, ops, waiting)
	began := time.Now()
	result := planner.Decide(snap)
	s.Metrics.planned(time.Since(began))
	s.Jobs.AddReasons(result.Reasons)
	for _, p := range result.Starts {
		s.carryOut(p, foreign)
	}
	for _, pre := range result.Preemptions {
		s.preempt(pre)
	}
}

// planAllowed checks what must hold before anything may start.
func (s *Shard) planAllowed(o *observation) (bool, string) {
	if ok, why := s.mayDecide(o); !ok {
		return false, why
	}
	return s.mayStart()
}

// noteWhy records why nothing starts, once for each change of the cause.
func (s *Shard) noteWhy(waiting []*model.Job, why string) {
	now := s.Now().UnixMilli()
	reasons := make([]model.Reason, 0, len(waiting))
	for _, j := range waiting {
		reasons = append(reasons, model.Reason{
			Job: j.Spec.Key, Code: model.ReasonNoStartEvidence, Detail: why, UnixMS: now,
		})
	}
	s.Jobs.AddReasons(reasons)
	s.mu.Lock()
	changed := s.lastWhy != why
	s.lastWhy = why
	s.mu.Unlock()
	if changed {
		s.event("nothing starts: " + why)
	}
}

// candidates returns the waiting jobs of the shard and those of other shards that
// have waited long enough, which it also returns by key.
func (s *Shard) candidates(ops map[model.JobKey]opKind) ([]*model.Job, map[model.JobKey]*jobs.Entry) {
	var waiting []*model.Job
	for _, e := range s.Jobs.Waiting(s.id) {
		if _, busy := ops[e.Job.Spec.Key]; !busy && !s.isRefused(e.Job.Spec.Key) {
			waiting = append(waiting, &e.Job)
		}
	}
	foreign := map[model.JobKey]*jobs.Entry{}
	if !s.movesAllowed() || stopping(ops) {
		return waiting, foreign
	}
	for _, e := range s.Jobs.WaitingOutside(s.id, maxForeign) {
		if _, busy := ops[e.Job.Spec.Key]; busy || !s.mayTake(e) {
			continue
		}
		foreign[e.Job.Spec.Key] = e
		waiting = append(waiting, &e.Job)
	}
	return waiting, foreign
}

// stopping reports whether work is being stopped: the places that it frees belong to
// the shard's own jobs that waited for them.
func stopping(ops map[model.JobKey]opKind) bool {
	for _, kind := range ops {
		if kind == opWithdraw || kind == opStop {
			return true
		}
	}
	return false
}

// movesAllowed reports whether the log has answered for moveGrace.
func (s *Shard) movesAllowed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	if !s.Journal.State().Answering {
		s.outageEnd = now
	}
	return s.outageEnd.IsZero() || now.Sub(s.outageEnd) > moveGrace
}

// refuse leaves a job alone for a while after its placement lost.
func (s *Shard) refuse(job model.JobKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[job] = s.Now().Add(refusedPause)
}

func (s *Shard) isRefused(job model.JobKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.refused[job]
	if ok && s.Now().After(until) {
		delete(s.refused, job)
		return false
	}
	return ok
}

// mayTake reports whether a job of another shard may move here: it is allowed in
// this zone, and its home is out of service or has let it wait.
func (s *Shard) mayTake(e *jobs.Entry) bool {
	spec := &e.Job.Spec
	if spec.Zone != "" && spec.Zone != s.Zone {
		return false
	}
	if z := s.Board.Config.Get().Zone(e.Job.HomeShard.Zone); z == nil || !z.InService {
		return true
	}
	return s.Now().UnixMilli()-e.Job.AcceptedUnixMS > foreignAge.Milliseconds()
}

func (s *Shard) snapshot(o *observation, ops map[model.JobKey]opKind, waiting []*model.Job) *planner.Snapshot {
	cfg := s.Board.Config.Get()
	snap := &planner.Snapshot{
		Now: s.Now(), Shard: s.id, ZoneInService: true,
		Waiting: waiting, History: s.History,
		Guarantees:            s.Guarantees(cfg, s.id),
		UnavailableDependency: s.Blocked(),
		Stopping:              map[model.JobKey]bool{},
		NonPreemptible:        map[model.JobKey]bool{},
		CheckpointedRunTime:   map[model.JobKey]time.Duration{},
	}
	version := s.currentLinks()
	for _, l := range s.allLinks() {
		w := l.worker
		w.Health = o.views[w.ID].health
		snap.Workers = append(snap.Workers, w)
	}
	snap.Limits = s.limitsOf(snap.Workers, version)
	s.addRunning(snap, o)
	for job, kind := range ops {
		if kind == opWithdraw || kind == opStop {
			snap.Stopping[job] = true
		}
	}
	elsewhere := s.Jobs.UsageOutside(s.id)
	for _, org := range cfg.Parsed.Organisations {
		snap.Organisations = append(snap.Organisations, planner.Organisation{
			Name: org.Name, QuotaAccelerators: org.QuotaAccelerators,
			UsedInOtherShards: elsewhere[org.Name], Weight: max(org.Weight, 1),
		})
	}
	return snap
}

func (s *Shard) currentLinks() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.linksVersion
}

// limitsOf returns the limits of the workers as they were linked at version. Only the
// shard's controller calls it, never twice at the same time.
func (s *Shard) limitsOf(workers []model.Worker, version int) *planner.CapacityLimits {
	if s.limits == nil || s.limitsVersion != version || s.currentLinks() != version {
		s.limits = planner.NewCapacityLimits(workers)
		s.limitsVersion = version
	}
	return s.limits
}

// addRunning adds everything that occupies workers: active attempts, and tasks of
// attempts that should not run but have not ended yet.
func (s *Shard) addRunning(snap *planner.Snapshot, o *observation) {
	seen := map[attemptKey]bool{}
	for _, e := range s.Jobs.Active(s.id) {
		p := *e.Job.Placement
		p.Class = e.Job.Spec.Class()
		p.Priority = e.Job.Spec.Priority
		snap.Running = append(snap.Running, p)
		snap.CheckpointedRunTime[p.Job] = time.Duration(e.Job.SavedRunMS) * time.Millisecond
		if e.Job.Spec.NonRepeatable {
			snap.NonPreemptible[p.Job] = true
		}
		seen[attemptKey{job: p.Job, attempt: p.Attempt}] = true
	}
	for k, tasks := range o.tasks {
		if seen[k] {
			continue
		}
		if p := stray(k, s.id, tasks); len(p.Members) > 0 {
			snap.Running = append(snap.Running, p)
			snap.Stopping[k.job] = true
		}
	}
}

// stray returns a placement for the running tasks of an attempt that should end.
func stray(k attemptKey, id model.ShardID, tasks map[int]workerlink.Task) model.Placement {
	p := model.Placement{Job: k.job, Attempt: k.attempt, Shard: id}
	for _, t := range tasks {
		if t.State == workerlink.TaskRunning {
			p.Members = append(p.Members, t.Member)
		}
	}
	return p
}

// carryOut starts a planned gang, or first moves the job here.
func (s *Shard) carryOut(p model.Placement, foreign map[model.JobKey]*jobs.Entry) {
	if e := foreign[p.Job]; e != nil {
		s.launch(p.Job, opMove, func(ctx context.Context) { s.move(ctx, e) })
		return
	}
	s.launch(p.Job, opStart, func(ctx context.Context) { s.startGang(ctx, p) })
}

// move takes a waiting job over from another shard.
func (s *Shard) move(ctx context.Context, e *jobs.Entry) {
	key := e.Job.Spec.Key
	body := journal.JobMoved{Job: key, From: e.Job.HomeShard, To: s.id, MoveNumber: e.MoveNumber + 1}
	id := fmt.Sprintf("move/%s/%d/%s", key, body.MoveNumber, s.id)
	rec, err := journal.NewRecord(journal.KindJobMoved, s.Host, id, s.Now(), body)
	if err != nil {
		return
	}
	cctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := s.Journal.Append(cctx, journal.StreamJobs, rec); err != nil {
		s.Logger.Info("move not recorded: " + err.Error())
	}
}

// preempt stops a running attempt to make room.
func (s *Shard) preempt(pre planner.Preemption) {
	e := s.Jobs.Get(pre.Job)
	if e == nil || !current(e, pre.Attempt) {
		return
	}
	w := withdrawal{cause: causePreempted, reason: "preempted", checkpoint: pre.Checkpoint}
	if pre.ForJob != (model.JobKey{}) {
		w.reason = "preempted for job " + pre.ForJob.String()
	}
	s.launch(pre.Job, opWithdraw, func(ctx context.Context) { s.withdraw(ctx, e, w) })
}

// observeRun teaches the run time of a finished job.
func (s *Shard) observeRun(e *jobs.Entry, runMS int64) {
	total := time.Duration(runMS+e.Job.SavedRunMS) * time.Millisecond
	size := e.Job.Spec.Accelerators()
	if size == 0 {
		size = e.Job.Spec.Tasks
	}
	s.History.Observe(e.Job.Spec.Class(), size, total)
}
