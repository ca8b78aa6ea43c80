package shard

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/controller"
	"github.com/daisyfold/daisyfold/internal/jobs"
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/partition"
	"github.com/daisyfold/daisyfold/internal/planner"
	"github.com/daisyfold/daisyfold/internal/platform/workerlink"
	"github.com/daisyfold/daisyfold/internal/queue"
)

// Evidence decides whether tasks may start in a zone.
type Evidence interface {
	// Check reports whether a task may start in the zone now, and the reason.
	Check(zone model.Zone) (ok bool, reason string)
}

// Options configures the shards of one host. All fields but Metrics are required.
type Options struct {
	Host     model.HostID
	Zone     model.Zone
	Board    *blackboard.Board
	Jobs     *jobs.Table
	Journal  journal.Journal
	Copier   jobs.Copier
	Appender jobs.AsyncAppender
	Relay    jobs.Relay
	Dialer   workerlink.Dialer
	Evidence Evidence
	// Owner returns the host that plans a shard according to membership.
	Owner func(model.ShardID) (model.HostID, bool)
	// Guarantees returns the guarantees assigned to a shard.
	Guarantees func(*blackboard.Configuration, model.ShardID) []model.Guarantee
	// UnavailableDependencies returns the services that wait for an unavailable
	// dependency, with that dependency.
	UnavailableDependencies func() map[model.Service]model.Service
	History                 *queue.History
	Pool                    *controller.Pool
	// Metrics may be nil if the metrics are not served.
	Metrics *Metrics
	Logger  *zap.Logger
	Now     func() time.Time
	NewID   func() string
}

// opKind is the kind of a running operation on a job.
type opKind int

const (
	opStart    opKind = iota // start a gang
	opWithdraw               // end an attempt before the job is finished
	opFinish                 // record the end of a finished job
	opConfirm                // confirm a start that another planner left unconfirmed
	opMove                   // move a job of another shard to this one
	opStop                   // stop tasks of an attempt that should not run
)

// Shard plans the workers of one shard while this host owns it.
type Shard struct {
	Options
	id               model.ShardID
	ctx              context.Context
	cancel           context.CancelFunc
	wg               sync.WaitGroup
	startedAt        time.Time
	controllerHandle *controller.Handle
	acquireSlots     chan struct{}
	// observedTasks are the tasks of the last observation, and observedTaskChanges is the
	// number of links and task changes that they include. Only reconcileAndPlan uses them.
	observedTasks       map[attemptKey]map[int]workerlink.Task
	observedTaskChanges uint64

	mu                sync.Mutex
	links             map[model.WorkerID]*link
	ops               map[model.JobKey]opKind
	orphansSince      map[attemptKey]time.Time // when tasks of unknown jobs were first seen
	lastRefusalReason string
	// linksVersion is the number of changes of links, and capacityLimits are the limits of
	// the workers at version limitsVersion.
	capacityLimits              *planner.CapacityLimits
	limitsVersion, linksVersion int
	// rejectedUntil holds the jobs whose placement was not recorded, with the time until
	// which they are not planned.
	rejectedUntil map[model.JobKey]time.Time
	// logLastDownAt is when the log was last seen not to answer.
	logLastDownAt  time.Time
	triggerPending bool
	// draining is set when no new operation may start.
	draining      bool
	opsInProgress sync.WaitGroup
}

// attemptKey identifies an attempt of a job.
type attemptKey struct {
	job     model.JobKey
	attempt int
}

// startShard returns a running Shard. It runs until its stop method is called or ctx is done.
func startShard(ctx context.Context, o Options, p partition.Shard) *Shard {
	s := &Shard{
		Options: o, id: p.ID, startedAt: o.Now(),
		acquireSlots:  make(chan struct{}, maxConcurrentAcquisitions),
		links:         map[model.WorkerID]*link{},
		ops:           map[model.JobKey]opKind{},
		orphansSince:  map[attemptKey]time.Time{},
		rejectedUntil: map[model.JobKey]time.Time{},
	}
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.controllerHandle = o.Pool.Register("shard "+p.ID.String(), maxPlanInterval, s.reconcileAndPlan)
	s.setWorkers(p.Workers)
	s.addEvent("started to plan shard " + p.ID.String())
	return s
}

// setWorkers adds links for the new workers of the host list. It removes the link of a worker
// that is no longer in the list once the link is idle.
func (s *Shard) setWorkers(workers []model.Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := map[model.WorkerID]bool{}
	for _, w := range workers {
		listed[w.ID] = true
		l := s.links[w.ID]
		if l == nil {
			l = s.addLink(w)
		}
		l.setLeaving(w.Health == model.WorkerLeaving)
	}
	for id, l := range s.links {
		if !listed[id] && l.idle() {
			l.cancel()
			delete(s.links, id)
			s.linksVersion++
		}
	}
}

// addLink adds and runs a link. The caller must hold s.mu.
func (s *Shard) addLink(w model.Worker) *link {
	l := newLink(w, s.Dialer.Worker(w), s.Host, s.Now, s.acquireSlots, s.trigger)
	ctx, cancel := context.WithCancel(s.ctx)
	l.cancel = cancel
	s.links[w.ID] = l
	s.linksVersion++
	s.runInBackground(func(context.Context) { l.run(ctx) })
	return l
}

// runInBackground runs f in a goroutine that stop waits for.
func (s *Shard) runInBackground(f func(context.Context)) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		f(s.ctx)
	}()
}

// trigger requests a plan after planCoalesceDelay. Requests within that time share a plan.
func (s *Shard) trigger() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.triggerPending {
		return
	}
	s.triggerPending = true
	time.AfterFunc(planCoalesceDelay, func() {
		s.mu.Lock()
		s.triggerPending = false
		s.mu.Unlock()
		s.controllerHandle.Trigger()
	})
}

// stop hands the shard over. It waits up to handoverTimeout for running operations, so that
// no gang is left partially started, and then releases the workers' leases.
func (s *Shard) stop(ctx context.Context) {
	s.controllerHandle.Remove()
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for _, l := range s.allLinks() {
		l.handOver()
	}
	s.waitForOps(ctx)
	s.cancel()
	s.wg.Wait()
	var wg sync.WaitGroup
	for _, l := range s.allLinks() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.release(ctx)
		}()
	}
	wg.Wait()
	s.addEvent("stopped planning shard " + s.id.String())
}

// waitForOps waits until the running operations have ended, handoverTimeout has passed or ctx
// is done.
func (s *Shard) waitForOps(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.opsInProgress.Wait()
		close(done)
	}()
	t := time.NewTimer(handoverTimeout)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	case <-ctx.Done():
	}
}

func (s *Shard) allLinks() []*link {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*link, 0, len(s.links))
	for _, l := range s.links {
		out = append(out, l)
	}
	return out
}

func (s *Shard) link(id model.WorkerID) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.links[id]
}

// beginOp reserves a job for one operation. It reports false if another operation on the job
// is running or the shard is draining.
func (s *Shard) beginOp(job model.JobKey, kind opKind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, busy := s.ops[job]; busy || s.draining {
		return false
	}
	s.ops[job] = kind
	s.opsInProgress.Add(1)
	return true
}

func (s *Shard) endOp(job model.JobKey) {
	s.mu.Lock()
	delete(s.ops, job)
	s.mu.Unlock()
	s.opsInProgress.Done()
	s.trigger()
}

// launchOp runs f in the background as the only operation on a job. It does nothing if the
// operation cannot begin.
func (s *Shard) launchOp(job model.JobKey, kind opKind, f func(context.Context)) {
	if !s.beginOp(job, kind) {
		return
	}
	s.runInBackground(func(ctx context.Context) {
		defer s.endOp(job)
		f(ctx)
	})
}

// runningOps returns a copy of the running operations.
func (s *Shard) runningOps() map[model.JobKey]opKind {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[model.JobKey]opKind, len(s.ops))
	for k, v := range s.ops {
		out[k] = v
	}
	return out
}

// addEvent adds an event to the board and logs it.
func (s *Shard) addEvent(msg string) {
	s.Board.Events.Add(blackboard.Event{Time: s.Now(), Part: "shard", Message: msg})
	s.Logger.Info(msg)
}

// reconcileAndPlan is one run of the shard's controller.
func (s *Shard) reconcileAndPlan(context.Context) {
	if s.ctx.Err() != nil || !s.Journal.Replayed(journal.StreamJobs) {
		return
	}
	o := s.observe()
	s.reconcile(o)
	s.plan(o)
}
