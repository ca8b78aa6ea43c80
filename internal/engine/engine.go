// Package engine combines the parts of the engine of one host: the copies of the store's
// topics, the intake, the elector and the scheduler. It accesses external services only
// through the interfaces in Options, so that tests can run it in virtual time.
package engine

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/daisyfold/daisyfold/internal/engine/boottime"
	"github.com/daisyfold/daisyfold/internal/engine/intake"
	"github.com/daisyfold/daisyfold/internal/engine/relay"
	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/scheduler"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/tenure"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
	"github.com/daisyfold/daisyfold/internal/logging"
)

const (
	// operatorReadWait is how long a read of the operators' topic waits at the store for a
	// record. It bounds the staleness of the manifest, on which the acceptance of keys
	// depends.
	operatorReadWait = 800 * time.Millisecond
	// jobsReadWait is the same for the submissions. It bounds how long a dead connection
	// keeps new jobs from the scheduler.
	jobsReadWait = time.Second
	// statusesReadWait is the same for the statuses. An owner that is alive writes them
	// more often. If it is silent, the reads must return soon to confirm that.
	statusesReadWait = 300 * time.Millisecond
	// standbyReadInterval is the minimum interval between reads of the submissions, and of
	// the statuses, on hosts that are not the owner. Both topics change several times a
	// second, and each read costs processor time on each host.
	standbyReadInterval = 200 * time.Millisecond
	// outrankedReadInterval is the same on hosts with a smaller CPU share than the owner,
	// which are most hosts of a large deployment. When a caller asks such a host for a job
	// that is unknown or has not ended in its copy, the host reads the store.
	outrankedReadInterval = 1600 * time.Millisecond
	// maxLoadDelay is the delay of the first load of the submissions on a host with a CPU
	// share of 0; it decreases linearly to 0 for a whole core. After a restart of all
	// hosts, their loads would otherwise exhaust the store's bandwidth, and the next owner,
	// a strong host, would wait for its own. A host loads at once if a caller asks for a job.
	maxLoadDelay = 1500 * time.Millisecond
	loadJitter   = 500 * time.Millisecond
	// membershipTTL is how long an owner that does not renew its membership stays the
	// owner.
	membershipTTL = 1200 * time.Millisecond
)

// Options configure an engine.
type Options struct {
	Host string
	// CPUShare is the host's share of a core.
	CPUShare float64
	Store    store.Store
	Workers  workers.Client
	// Advisor is nil if the platform has no advice service.
	Advisor workers.Advisor
	// Machines is nil if the platform has no machine API.
	Machines workers.Machines
	// StatusTopic is the topic for the status of upkeep waves, which the operator reads,
	// and EncodeWaveStatus returns the record for it.
	StatusTopic      string
	EncodeWaveStatus func(wave replica.Wave, completed bool) store.Record
	// OperatorTopic and WorkerTopic are the platform's topics of the operators' records
	// and of the workers' entries.
	OperatorTopic, WorkerTopic string
	DecodeOperator             replica.DecodeOperator
	DecodeWorker               scheduler.DecodeWorker
	Bounds                     scheduler.Bounds
	StoreLimits                store.Limits
	// MaxRevocationDelay is the time within which a revoked key must be refused.
	MaxRevocationDelay time.Duration
	// MinMembershipTTL is the shortest time to live of a group membership that the store
	// allows.
	MinMembershipTTL time.Duration
	// PeerTransport sends calls to the other hosts, and Zone is the availability zone of this
	// host; nil means that the hosts do not relay calls.
	PeerTransport relay.Transport
	Zone          string
	Now           boottime.Clock
	// WallClock returns the time of day.
	WallClock func() time.Time
	Metrics   gometrics.Registry
	Logger    *zap.Logger
}

// Engine is the engine of one host.
type Engine struct {
	Intake   *intake.Service
	Operator *replica.Operator
	Jobs     *replica.Jobs
	// followers copy the operators' records, the submissions and the statuses.
	followers []*replica.Follower
	elector   *tenure.Elector
	scheduler *scheduler.Scheduler
	// Relay executes the calls of other hosts; nil if the hosts do not relay calls.
	Relay *relay.Service
}

// New returns an engine. RunFollowers and RunScheduler start it.
func New(o Options) *Engine {
	partLogger := func(name string) *zap.Logger { return logging.WithPart(o.Logger, name) }
	newFollower := func(topic string, sink replica.Sink, wait time.Duration, interval func() time.Duration) *replica.Follower {
		return replica.NewFollower(replica.Options{
			Store: o.Store, Topic: topic, Sink: sink, MaxWait: wait, MinReadInterval: interval, Now: o.Now, Logger: partLogger("replica"),
		})
	}
	newRejections := func(topic, part string) *replica.Rejections {
		return replica.NewRejections(topic, o.Metrics, o.Now, partLogger(part))
	}
	e := &Engine{
		Jobs:     replica.NewJobs(o.Now, newRejections(replica.TopicJobs, "replica"), newRejections(replica.TopicStatuses, "replica")),
		Operator: replica.NewOperator(o.DecodeOperator, newRejections(o.OperatorTopic, "manifest"), partLogger("manifest")),
	}
	statusSink := e.Jobs.Statuses()
	var peers intake.Peers
	if o.PeerTransport != nil {
		watched := store.Watch(o.Store, o.Now)
		o.Store = watched
		e.Relay = relay.New(relay.Options{
			Host: o.Host, Zone: o.Zone, Store: watched, Transport: o.PeerTransport, Operator: e.Operator,
			Now: o.Now, WallClock: o.WallClock, Metrics: o.Metrics, Logger: partLogger("relay"),
		})
		peers, statusSink = e.Relay, replica.Sinks{statusSink, e.Relay.Directory}
	}
	statusesReadInterval := func() time.Duration {
		if e.elector.Outranked() {
			return outrankedReadInterval
		}
		return standbyReadInterval
	}
	jobsReadInterval := func() time.Duration {
		switch {
		case e.IsOwner():
			return 0
		case e.elector.Outranked():
			return outrankedReadInterval
		}
		return standbyReadInterval
	}
	operator := newFollower(o.OperatorTopic, e.Operator, operatorReadWait, nil)
	e.Operator.SetFollower(operator)
	submissions := newFollower(replica.TopicJobs, e.Jobs.Submissions(), jobsReadWait, jobsReadInterval)
	submissions.StartDelay = time.Duration(float64(maxLoadDelay)*(1-min(o.CPUShare, 1))) + rand.N(loadJitter)
	statuses := newFollower(replica.TopicStatuses, statusSink, statusesReadWait, statusesReadInterval)
	e.followers = []*replica.Follower{operator, submissions, statuses}
	e.elector = tenure.New(tenure.Options{
		Store: o.Store, Host: o.Host, Incarnation: o.WallClock().UnixNano(), CPUShare: o.CPUShare,
		TTL: max(membershipTTL, o.MinMembershipTTL), Owner: e.Jobs.Owner, OwnerOffset: e.Jobs.OwnerOffset,
		Staleness: statuses.Staleness, Refresh: statuses.SharedSync,
		Now: o.Now, WallClock: o.WallClock, Logger: partLogger("tenure"),
	})
	e.scheduler = scheduler.New(scheduler.Options{
		Store: o.Store, Workers: o.Workers, Advisor: o.Advisor, Machines: o.Machines,
		StatusTopic: o.StatusTopic, EncodeWaveStatus: o.EncodeWaveStatus, WorkerTopic: o.WorkerTopic, DecodeWorker: o.DecodeWorker,
		RejectedEntries: newRejections(o.WorkerTopic, "scheduler"),
		Elector:         e.elector, Jobs: e.Jobs, Submissions: submissions, Statuses: statuses, Operator: e.Operator,
		Bounds: o.Bounds, StoreLimits: o.StoreLimits, Now: o.Now, WallClock: o.WallClock, Metrics: o.Metrics, Logger: partLogger("scheduler"),
	})
	e.Intake = intake.New(intake.Options{
		Store: o.Store, Operator: e.Operator, Jobs: e.Jobs, Submissions: submissions, Statuses: statuses,
		StoreLimits: o.StoreLimits, MaxRevocationDelay: o.MaxRevocationDelay, HasAdvisor: o.Advisor != nil, Peers: peers, WallClock: o.WallClock, Metrics: o.Metrics, Logger: partLogger("intake"),
	})
	if e.Relay != nil {
		e.Relay.SetIntake(e.Intake)
	}
	return e
}

// RunFollowers keeps the copies of the topics up to date until the context ends.
func (e *Engine) RunFollowers(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, f := range e.followers {
		group.Go(func() error { return ignoreCanceled(f.Run(ctx)) })
	}
	return group.Wait()
}

// RunScheduler takes part in the election and runs the scheduler while this host is the
// owner. When the context ends, it gives up ownership and returns.
func (e *Engine) RunScheduler(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return ignoreCanceled(e.scheduler.Run(ctx)) })
	group.Go(func() error { return ignoreCanceled(e.elector.Run(ctx)) })
	return group.Wait()
}

// SetBounds changes the time limits while the engine runs. The scheduler applies them from
// its next term on.
func (e *Engine) SetBounds(b scheduler.Bounds, maxRevocationDelay time.Duration) {
	e.scheduler.SetBounds(b)
	e.Intake.SetMaxRevocationDelay(maxRevocationDelay)
}

const (
	// maxReadyStaleness is the staleness of the manifest up to which a host is ready.
	maxReadyStaleness = 2200 * time.Millisecond
	// maxReadyContactAge is the time since the last complete read of any topic up to which
	// a host is ready, because it cannot accept jobs without the store. Reads of the
	// statuses wait at the store for at most 0.3 s, and a slow store takes another 0.25 s.
	maxReadyContactAge = 1200 * time.Millisecond
)

// Ready reports whether this host can serve callers, and the reason if it cannot.
func (e *Engine) Ready() (ok bool, reason string) {
	view := e.Operator.View()
	contactAge, known := e.storeContactAge()
	switch {
	case view.Manifest == nil:
		return false, "no manifest yet"
	case !view.StalenessKnown || view.Staleness > maxReadyStaleness:
		return false, "the manifest cannot be confirmed"
	case !known || contactAge > maxReadyContactAge:
		return false, "the store does not answer"
	}
	return true, ""
}

// storeContactAge returns the time since the last complete read of any topic. ok is false
// before the first one.
func (e *Engine) storeContactAge() (age time.Duration, ok bool) {
	for _, f := range e.followers {
		if staleness, known := f.Staleness(); known && (!ok || staleness < age) {
			age, ok = staleness, true
		}
	}
	return age, ok
}

// IsOwner reports whether this host is the owner, which runs the scheduler.
func (e *Engine) IsOwner() bool { return e.elector.Epoch() != 0 }

// ignoreCanceled returns nil if err means that the context was canceled, else err.
func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
