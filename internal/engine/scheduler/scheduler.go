// Package scheduler is the part of the engine that one host runs at a time: it owns the
// workers, places tasks, records what it decided and takes over from a former owner.
//
// A term is one period of ownership. All of its state belongs to one goroutine, which
// takes events, changes the state, and writes every changed job to the store before it
// gives the orders that follow from the change.
package scheduler

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine/boottime"
	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/tenure"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
)

// Bounds are the platform's, from the settings.
type Bounds struct {
	LeaseMax    time.Duration // longest lease that a worker grants
	StopTimeout time.Duration // longest time until a stopped run has ended
	StatusKeep  time.Duration // how long an ended job's state stays readable
	// WorkerHeartbeat is the interval in which workers renew their entries.
	WorkerHeartbeat time.Duration
	// HolderLease is how long a former holder of machines may still be ordering.
	HolderLease time.Duration
	Upkeep      time.Duration // how long a machine is down for its upkeep
}

// DecodeWorker reads a worker's entry in the platform's list.
type DecodeWorker func(store.Record) (*workers.Entry, error)

// Options of a scheduler.
type Options struct {
	Store   store.Store
	Workers workers.Client
	// Advisor is nil where the platform has no advice service.
	Advisor workers.Advisor
	// Machines is nil where the platform has no interface to its machines.
	Machines workers.Machines
	// StatusTopic and WaveStatus are the platform's, for what the operator reads.
	StatusTopic string
	WaveStatus  func(wave replica.Wave, completed bool) store.Record
	WorkerTopic string
	Decode      DecodeWorker
	Tenure      *tenure.Tenure
	Jobs        *replica.Jobs
	Submissions *replica.Follower
	Statuses    *replica.Follower
	Operator    *replica.Operator
	Bounds      Bounds
	Now         boottime.Clock
	// Wall reads the time of day.
	Wall    func() time.Time
	Metrics gometrics.Registry
	Logger  *zap.Logger
}

// Scheduler runs a term whenever this host is the owner.
type Scheduler struct {
	Options
	metrics metrics
	bounds  atomic.Pointer[Bounds]
}

// New returns a scheduler.
func New(o Options) *Scheduler {
	s := &Scheduler{Options: o, metrics: newMetrics(o.Metrics)}
	s.SetBounds(o.Bounds)
	return s
}

// SetBounds changes the bounds; a term keeps those that it began with.
func (s *Scheduler) SetBounds(b Bounds) { s.bounds.Store(&b) }

// retryTerm is the wait after a term that ended before it began, for want of the store.
const retryTerm = 200 * time.Millisecond

// Run waits for ownership and uses it, until the context ends.
func (s *Scheduler) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		epoch := s.Tenure.Epoch()
		if epoch == 0 {
			select {
			case <-ctx.Done():
			case <-s.Tenure.Changed():
			}
			continue
		}
		err := s.runTerm(ctx, epoch)
		s.Logger.Info("term over", zap.Int64("epoch", epoch), zap.Error(err))
		if errors.Is(err, store.ErrFenced) || errors.Is(err, workers.ErrFenced) {
			s.Tenure.Reject(epoch)
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryTerm):
		}
	}
	return ctx.Err()
}

// metrics are the scheduler's counters and histograms.
type metrics struct {
	starts, stops, preemptions, takeovers gometrics.Counter
	appendTime, startTime, waitTime       gometrics.Timer
	planTime                              gometrics.Timer
	answers                               map[workers.Outcome]gometrics.Counter
	endings                               map[workers.Ending]gometrics.Counter
	unanswered                            gometrics.Counter
}

func newMetrics(r gometrics.Registry) metrics {
	counter := func(name string) gometrics.Counter {
		return gometrics.GetOrRegisterCounter("scheduler."+name, r)
	}
	timer := func(name string) gometrics.Timer { return gometrics.GetOrRegisterTimer("scheduler."+name, r) }
	m := metrics{
		starts: counter("starts"), stops: counter("stops"), preemptions: counter("preemptions"),
		takeovers: counter("takeovers"), unanswered: counter("starts_unanswered"),
		appendTime: timer("append"), startTime: timer("start"), waitTime: timer("wait"), planTime: timer("plan"),
		answers: map[workers.Outcome]gometrics.Counter{}, endings: map[workers.Ending]gometrics.Counter{},
	}
	for o := workers.Accepted; o <= workers.NotSent; o++ {
		m.answers[o] = counter("start_answers." + o.String())
	}
	for e := workers.EndedDone; e <= workers.EndedAlone; e++ {
		m.endings[e] = counter("ends." + e.String())
	}
	return m
}
