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

// Evidence tells whether a task may start in a zone now, and why not.
type Evidence interface {
	Check(z model.Zone) (ok bool, why string)
}

// Options configure the shards of one host.
type Options struct {
	Host     model.HostID
	Zone     model.Zone
	Board    *blackboard.Board
	Jobs     *jobs.Table
	Journal  journal.Journal
	Copier   jobs.Copier
	Keeper   jobs.AsyncAppender
	Relay    jobs.Relay
	Dialer   workerlink.Dialer
	Evidence Evidence
	// Owner returns the host that should plan a shard, as membership sees it.
	Owner func(model.ShardID) (model.HostID, bool)
	// Guarantees returns the guarantees assigned to a shard.
	Guarantees func(*blackboard.Configuration, model.ShardID) []model.Guarantee
	// Blocked returns services that wait for an unavailable dependency.
	Blocked func() map[model.Service]model.Service
	History *queue.History
	Pool    *controller.Pool
	// Metrics may be nil: nothing is then served.
	Metrics *Metrics
	Logger  *zap.Logger
	Now     func() time.Time
	NewID   func() string
}

// opKind is what a running operation does with a job.
type opKind int

const (
	opStart opKind = iota
	opWithdraw
	opFinish
	opConfirm
	opMove
	opStop
)

// Shard plans the workers of one shard while this host owns it.
type Shard struct {
	Options
	id      model.ShardID
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	began   time.Time
	handle  *controller.Handle
	acquire chan struct{}
	// observed are the tasks of the last observation and observedAt the changes that
	// they cover. Only the shard's pass uses them.
	observed   map[attemptKey]map[int]workerlink.Task
	observedAt uint64

	mu      sync.Mutex
	links   map[model.WorkerID]*link
	ops     map[model.JobKey]opKind
	orphans map[attemptKey]time.Time // since when tasks of unknown jobs are seen
	lastWhy string
	// limits are those of the workers at linksVersion limitsVersion; linksVersion
	// counts the changes of links.
	limits                      *planner.CapacityLimits
	limitsVersion, linksVersion int
	// refused holds jobs whose placement lost, until when they are left alone.
	refused map[model.JobKey]time.Time
	// outageEnd is when the log was last seen not to answer.
	outageEnd time.Time
	queued    bool
	// draining is set when no new operation may begin.
	draining bool
	opsDone  sync.WaitGroup
}

type attemptKey struct {
	job     model.JobKey
	attempt int
}

// start begins to own a shard.
func start(ctx context.Context, o Options, p partition.Shard) *Shard {
	s := &Shard{
		Options: o, id: p.ID, began: o.Now(),
		acquire: make(chan struct{}, acquireParallel),
		links:   map[model.WorkerID]*link{},
		ops:     map[model.JobKey]opKind{},
		orphans: map[attemptKey]time.Time{},
		refused: map[model.JobKey]time.Time{},
	}
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.handle = o.Pool.Register("shard "+p.ID.String(), planInterval, s.pass)
	s.setWorkers(p.Workers)
	s.event("planning begins for shard " + p.ID.String())
	return s
}

// setWorkers follows the host list: it links new workers and keeps known ones. A
// worker that left the list keeps its link while it has tasks.
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

// addLink starts a link. The caller holds s.mu.
func (s *Shard) addLink(w model.Worker) *link {
	l := newLink(w, s.Dialer.Worker(w), s.Host, s.Now, s.acquire, s.trigger)
	ctx, cancel := context.WithCancel(s.ctx)
	l.cancel = cancel
	s.links[w.ID] = l
	s.linksVersion++
	s.goRun(func(context.Context) { l.run(ctx) })
	return l
}

func (s *Shard) goRun(f func(context.Context)) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		f(s.ctx)
	}()
}

// trigger plans soon; changes that arrive within planDelay share a plan.
func (s *Shard) trigger() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queued {
		return
	}
	s.queued = true
	time.AfterFunc(planDelay, func() {
		s.mu.Lock()
		s.queued = false
		s.mu.Unlock()
		s.handle.Trigger()
	})
}

// stop gives the shard up: running operations end within handoverTimeout, so that
// no gang is left half started, and the worker leases are handed back.
func (s *Shard) stop(ctx context.Context) {
	s.handle.Remove()
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for _, l := range s.allLinks() {
		l.handOver()
	}
	s.awaitOps(ctx)
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
	s.event("planning ends for shard " + s.id.String())
}

func (s *Shard) awaitOps(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.opsDone.Wait()
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

// begin reserves a job for one operation and reports whether it was free.
func (s *Shard) begin(job model.JobKey, k opKind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, busy := s.ops[job]; busy || s.draining {
		return false
	}
	s.ops[job] = k
	s.opsDone.Add(1)
	return true
}

func (s *Shard) end(job model.JobKey) {
	s.mu.Lock()
	delete(s.ops, job)
	s.mu.Unlock()
	s.opsDone.Done()
	s.trigger()
}

// launch runs f as the only operation on a job.
func (s *Shard) launch(job model.JobKey, k opKind, f func(context.Context)) {
	if !s.begin(job, k) {
		return
	}
	s.goRun(func(ctx context.Context) {
		defer s.end(job)
		f(ctx)
	})
}

func (s *Shard) opsCopy() map[model.JobKey]opKind {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[model.JobKey]opKind, len(s.ops))
	for k, v := range s.ops {
		out[k] = v
	}
	return out
}

func (s *Shard) event(msg string) {
	s.Board.Events.Add(blackboard.Event{Time: s.Now(), Part: "shard", Message: msg})
	s.Logger.Info(msg)
}

// pass is one run of the shard's controller: follow the tasks, then plan.
func (s *Shard) pass(context.Context) {
	if s.ctx.Err() != nil || !s.Journal.Replayed(journal.StreamJobs) {
		return
	}
	obs := s.observe()
	s.reconcile(obs)
	s.plan(obs)
}
