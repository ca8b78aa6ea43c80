// Package engine puts the parts of one host's engine together: the copies of the
// store's topics, intake, tenure and the scheduler. It reaches the outside only through
// the interfaces in Options, so that tests run it in virtual time.
package engine

import (
	"context"
	"errors"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/daisyfold/daisyfold/internal/engine/boottime"
	"github.com/daisyfold/daisyfold/internal/engine/intake"
	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/scheduler"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/tenure"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
	"github.com/daisyfold/daisyfold/internal/logging"
)

const (
	// operatorWait is how long a read of the operator's records waits at the store for a
	// change; it bounds the age of the proof that keys rest on.
	operatorWait = 800 * time.Millisecond
	// jobsWait is the same for submissions and states. It bounds how long a connection
	// that has gone silent keeps the scheduler from new jobs.
	jobsWait = time.Second
	// statusesWait is the same for the scheduler's records. While the scheduler lives it
	// writes more often; when it is silent, reads have to prove that.
	statusesWait = 300 * time.Millisecond
	// followInterval is the least time between two reads of submissions and states at
	// hosts that only report them: both change several times a second, and each read has
	// its price at each host.
	followInterval = 200 * time.Millisecond
	// outrankedInterval is the same at hosts that leave ownership to others with more
	// processor, which are most hosts of a large deployment. A job that such a host does
	// not know yet, or that has not ended as far as it knows, is looked up at the store
	// when a caller asks.
	outrankedInterval = 1600 * time.Millisecond
	// tenureTTL is how long a silent scheduler stays the owner.
	tenureTTL = 1200 * time.Millisecond
)

// Options of an engine.
type Options struct {
	Host string
	// CPUShare is the host's part of a core.
	CPUShare float64
	Store    store.Store
	Workers  workers.Client
	// Advisor is nil where the platform has no advice service.
	Advisor workers.Advisor
	// Machines is nil where the platform has no interface to its machines.
	Machines workers.Machines
	// StatusTopic and WaveStatus are the platform's, for what the operator reads.
	StatusTopic string
	WaveStatus  func(wave replica.Wave, completed bool) store.Record
	// OperatorTopic and WorkerTopic are the platform's.
	OperatorTopic, WorkerTopic string
	DecodeOperator             replica.DecodeOperator
	DecodeWorker               scheduler.DecodeWorker
	Bounds                     scheduler.Bounds
	// RevokeBound is by when a revoked key must be refused.
	RevokeBound time.Duration
	// MemberTTLMin is the shortest time to live of a group's member.
	MemberTTLMin time.Duration
	Now          boottime.Clock
	Wall         func() time.Time
	Metrics      gometrics.Registry
	Logger       *zap.Logger
}

// Engine is the engine of one host.
type Engine struct {
	Intake   *intake.Service
	Operator *replica.Operator
	Jobs     *replica.Jobs
	// followers copy the operator's records, submissions and states.
	followers []*replica.Follower
	tenure    *tenure.Tenure
	scheduler *scheduler.Scheduler
}

// New wires an engine; nothing runs before Run.
func New(o Options) *Engine {
	part := func(name string) *zap.Logger { return logging.WithPart(o.Logger, name) }
	follow := func(topic string, sink replica.Sink, wait time.Duration, pause func() time.Duration) *replica.Follower {
		return replica.NewFollower(replica.Options{
			Store: o.Store, Topic: topic, Sink: sink, Wait: wait, Pause: pause, Now: o.Now, Logger: part("replica"),
		})
	}
	e := &Engine{Jobs: replica.NewJobs(o.Now, part("replica")), Operator: replica.NewOperator(o.DecodeOperator, part("manifest"))}
	reporting := func() time.Duration {
		if e.tenure.Outranked() {
			return outrankedInterval
		}
		return followInterval
	}
	scheduling := func() time.Duration {
		switch {
		case e.Owns():
			return 0
		case e.tenure.Outranked():
			return outrankedInterval
		}
		return followInterval
	}
	operator := follow(o.OperatorTopic, e.Operator, operatorWait, nil)
	e.Operator.ProvedBy(operator)
	submissions := follow(replica.TopicJobs, e.Jobs.Submissions(), jobsWait, scheduling)
	statuses := follow(replica.TopicStatuses, e.Jobs.Statuses(), statusesWait, reporting)
	e.followers = []*replica.Follower{operator, submissions, statuses}
	e.tenure = tenure.New(tenure.Options{
		Store: o.Store, Host: o.Host, Life: o.Wall().UnixNano(), CPUShare: o.CPUShare,
		TTL: max(tenureTTL, o.MemberTTLMin), Owner: e.Jobs.Owner, Proof: statuses.Proof, Now: o.Now, Logger: part("tenure"),
	})
	e.scheduler = scheduler.New(scheduler.Options{
		Store: o.Store, Workers: o.Workers, Advisor: o.Advisor, Machines: o.Machines,
		StatusTopic: o.StatusTopic, EncodeWaveStatus: o.WaveStatus, WorkerTopic: o.WorkerTopic, DecodeWorker: o.DecodeWorker,
		Tenure: e.tenure, Jobs: e.Jobs, Submissions: submissions, Statuses: statuses, Operator: e.Operator,
		Bounds: o.Bounds, Now: o.Now, WallClock: o.Wall, Metrics: o.Metrics, Logger: part("scheduler"),
	})
	e.Intake = intake.New(intake.Options{
		Store: o.Store, Operator: e.Operator, Jobs: e.Jobs, Submissions: submissions, Statuses: statuses,
		RevokeBound: o.RevokeBound, Advises: o.Advisor != nil, Now: o.Wall, Metrics: o.Metrics, Logger: part("intake"),
	})
	return e
}

// Follow keeps the copies of the topics current until the context ends.
func (e *Engine) Follow(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, f := range e.followers {
		group.Go(func() error { return ended(f.Run(ctx)) })
	}
	return group.Wait()
}

// Own takes part in ownership until the context ends, and gives it up then.
func (e *Engine) Own(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return ended(e.scheduler.Run(ctx)) })
	group.Go(func() error { return ended(e.tenure.Run(ctx)) })
	return group.Wait()
}

// SetBounds changes the platform's bounds while the engine runs. The scheduler takes them
// with its next term.
func (e *Engine) SetBounds(b scheduler.Bounds, revoke time.Duration) {
	e.scheduler.SetBounds(b)
	e.Intake.SetRevokeBound(revoke)
}

const (
	// readyProof is the age of the manifest's proof up to which a host takes callers.
	readyProof = 2200 * time.Millisecond
	// readyContact is the age of the last complete read of any topic up to which a host
	// takes callers: it can accept nothing without the store. Reads wait at the store for
	// 0.3 s at most, and a slow store takes another quarter of a second.
	readyContact = 1200 * time.Millisecond
)

// Ready tells whether this host can serve callers, and if not, why.
func (e *Engine) Ready() (ok bool, why string) {
	view := e.Operator.View()
	contact, known := e.storeContact()
	switch {
	case view.Manifest == nil:
		return false, "no manifest yet"
	case !view.Proved || view.Age > readyProof:
		return false, "the manifest cannot be confirmed"
	case !known || contact > readyContact:
		return false, "the store does not answer"
	}
	return true, ""
}

// storeContact returns how long ago a topic was last read completely; ok is false before
// the first such read.
func (e *Engine) storeContact() (age time.Duration, ok bool) {
	for _, f := range e.followers {
		if proof, known := f.Proof(); known && (!ok || proof < age) {
			age, ok = proof, true
		}
	}
	return age, ok
}

// Owns tells whether this host is the scheduler.
func (e *Engine) Owns() bool { return e.tenure.Epoch() != 0 }

// ended drops the error of a loop that was told to end.
func ended(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
