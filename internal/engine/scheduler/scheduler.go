// Package scheduler implements the scheduler, which runs on one host at a time, the
// owner. It polls the workers, places tasks, records its decisions, and takes over from a
// former owner.
//
// A term is one period of ownership. Its state is confined to one goroutine, which
// processes events, updates the state, and writes every changed job to the store before
// it sends the orders that depend on the change.
package scheduler

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/boottime"
	"github.com/daisyfold/daisyfold/internal/engine/recovery"
	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/tenure"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

// Bounds holds the platform's time limits from the settings.
type Bounds struct {
	MaxLease        time.Duration // longest lease that a worker grants
	StopTimeout     time.Duration // longest time until a stopped run has ended
	StatusRetention time.Duration // how long the state of an ended job stays readable
	// WorkerHeartbeatInterval is the interval at which workers renew their entries.
	WorkerHeartbeatInterval time.Duration
	// HolderLease is how long a former owner may still send upkeep orders.
	HolderLease    time.Duration
	UpkeepDuration time.Duration // how long a machine is down for its upkeep
}

// DecodeWorker decodes a worker's entry in the platform's list.
type DecodeWorker func(store.Record) (*workers.Entry, error)

// Options configure a scheduler.
type Options struct {
	Store   store.Store
	Workers workers.Client
	// Advisor is nil if the platform has no advice service.
	Advisor workers.Advisor
	// Machines is nil if the platform has no machine API.
	Machines workers.Machines
	// StatusTopic is the topic for the status of upkeep waves, which the operator reads,
	// and EncodeWaveStatus returns the record for it.
	StatusTopic      string
	EncodeWaveStatus func(wave replica.Wave, completed bool) store.Record
	WorkerTopic      string
	DecodeWorker     DecodeWorker
	// RejectedEntries notes the entries of workers that cannot be decoded.
	RejectedEntries *replica.Rejections
	Elector         *tenure.Elector
	Jobs            *replica.Jobs
	Submissions     *replica.Follower
	Statuses        *replica.Follower
	Operator        *replica.Operator
	Bounds          Bounds
	StoreLimits     store.Limits
	Now             boottime.Clock
	// WallClock returns the time of day.
	WallClock func() time.Time
	Metrics   gometrics.Registry
	Logger    *zap.Logger
}

// Scheduler runs a term whenever this host is the owner.
type Scheduler struct {
	Options
	metrics metrics
	bounds  atomic.Pointer[Bounds]
}

// New returns a scheduler with the given options.
func New(o Options) *Scheduler {
	s := &Scheduler{Options: o, metrics: newMetrics(o.Metrics)}
	s.SetBounds(o.Bounds)
	return s
}

// SetBounds replaces the bounds. A running term keeps those that it started with.
func (s *Scheduler) SetBounds(b Bounds) { s.bounds.Store(&b) }

// Run waits for ownership and runs terms until the context ends. Each term ends its epoch:
// another term would repeat sequence numbers of the epoch, and the store would drop the
// repeated appends.
func (s *Scheduler) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		epoch := s.Elector.Epoch()
		if epoch == 0 {
			select {
			case <-ctx.Done():
			case <-s.Elector.Changed():
			}
			continue
		}
		err := recovery.Call(func() error { return s.runTerm(ctx, epoch) })
		s.Logger.Info("term over", zap.Int64("epoch", epoch), zap.Error(err))
		var panicErr *recovery.PanicError
		if errors.As(err, &panicErr) {
			// The next term starts from the store, on another host if there is one.
			s.Logger.Error("the scheduler failed unexpectedly", zap.Int64("epoch", epoch), zap.String("stack", panicErr.Stack))
			s.metrics.panics.Inc(1)
		}
		if errors.Is(err, errIsolated) {
			s.Elector.StandBack(isolationStandBack)
		}
		if ctx.Err() == nil {
			s.Elector.EndEpoch(epoch)
		}
	}
	return ctx.Err()
}

// metrics holds the scheduler's counters and timers.
type metrics struct {
	starts, stops, paces   gometrics.Counter
	preemptions, takeovers gometrics.Counter
	// comingRoom counts how often a step waited for room that was coming instead of a preemption.
	comingRoom gometrics.Counter
	// headroom is the number of workers that the last planning pass kept for urgent work.
	headroom                        gometrics.Gauge
	appendTime, startTime, waitTime gometrics.Timer
	planTime, roundTime             gometrics.Timer
	startAnswers                    map[workers.Outcome]gometrics.Counter
	runEndings                      map[workers.Ending]gometrics.Counter
	unansweredStarts, panics        gometrics.Counter
	// crashFailures counts jobs that were failed because their tasks crash workers.
	workerCrashes, crashFailures gometrics.Counter
	// rejectedAppends counts appends that the store rejected for good.
	rejectedAppends gometrics.Counter
}

func newMetrics(r gometrics.Registry) metrics {
	counter := func(name string) gometrics.Counter {
		return gometrics.GetOrRegisterCounter("scheduler."+name, r)
	}
	timer := func(name string) gometrics.Timer { return gometrics.GetOrRegisterTimer("scheduler."+name, r) }
	m := metrics{
		starts: counter("starts"), stops: counter("stops"), paces: counter("paces"), preemptions: counter("preemptions"), comingRoom: counter("preemptions_avoided"), headroom: gometrics.GetOrRegisterGauge("scheduler.headroom_workers", r),
		takeovers: counter("takeovers"), unansweredStarts: counter("starts_unanswered"), panics: counter("panics"),
		workerCrashes: counter("worker_crashes"), crashFailures: counter("crash_failures"),
		rejectedAppends: counter("rejected_appends"),
		appendTime:      timer("append"), startTime: timer("start"), waitTime: timer("wait"), planTime: timer("plan"), roundTime: timer("round"),
		startAnswers: map[workers.Outcome]gometrics.Counter{}, runEndings: map[workers.Ending]gometrics.Counter{},
	}
	for o := workers.Accepted; o <= workers.NotSent; o++ {
		m.startAnswers[o] = counter("start_answers." + o.String())
	}
	for e := workers.EndedDone; e <= workers.EndedWorkerLeft; e++ {
		m.runEndings[e] = counter("ends." + e.String())
	}
	return m
}
