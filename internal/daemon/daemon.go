package daemon

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/calls"
	"github.com/daisyfold/daisyfold/internal/config"
	"github.com/daisyfold/daisyfold/internal/configsync"
	"github.com/daisyfold/daisyfold/internal/controller"
	"github.com/daisyfold/daisyfold/internal/evidence"
	"github.com/daisyfold/daisyfold/internal/jobs"
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/logging"
	"github.com/daisyfold/daisyfold/internal/membership"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/queue"
	"github.com/daisyfold/daisyfold/internal/shard"
)

// Daemon is the process of one entry host.
type Daemon struct {
	Options
	board           *blackboard.Board
	journal         *journal.LogJournal
	members         *membership.Membership
	configSync      *configsync.Sync
	evidenceChecker *evidence.Checker
	jobTable        *jobs.Table
	jobs            *jobs.Service
	calls           *calls.Service
	shards          *shard.Manager
	controllerPool  *controller.Pool
	log             *zap.Logger   // messages begin with "daemon: "
	leaving         chan struct{} // closed when a planned stop begins
	// guarantees caches the assignment for the configuration in force.
	guarantees guaranteeAssignment
	stopping   atomic.Bool // true from the beginning of a planned stop
}

// New returns a daemon. It starts no goroutines; Run does.
func New(o Options) *Daemon {
	o.setDefaults()
	d := &Daemon{Options: o, board: blackboard.New(), leaving: make(chan struct{})}
	d.log = d.partLogger("daemon")
	d.controllerPool = controller.NewPool(controllerPoolSize)
	d.buildCoordination()
	d.buildJobs()
	d.buildCalls()
	d.buildShards()
	d.registerMetrics()
	return d
}

// partLogger returns a logger whose messages begin with the name of a part.
func (d *Daemon) partLogger(name string) *zap.Logger { return logging.WithPart(d.Logger, name) }

// buildCoordination creates the journal, the membership, the configuration sync and the
// evidence checker.
func (d *Daemon) buildCoordination() {
	s := d.Settings
	d.journal = journal.New(journal.Options{
		Log: d.External.Log, Host: s.Host, Now: d.Now,
		AppendsPerSecond: d.appendRateLimit, Retention: s.LogRetention(), Logger: d.partLogger("journal"),
	})
	scheme := "http://"
	if d.External.PeerTLS != nil {
		scheme = "https://"
	}
	self := membership.Peer{Host: s.Host, Zone: s.Zone, Address: scheme + s.Listen.Peer}
	var peers []membership.Peer
	for _, p := range s.Peers {
		peers = append(peers, membership.Peer{Host: p.Host, Zone: p.Zone, Address: p.Address})
	}
	d.members = membership.New(membership.Options{
		Self: self, Peers: peers, Members: &d.board.Members, Hosts: &d.board.Hosts,
		NewClient: d.External.DialPeer, Now: d.Now, Logger: d.partLogger("membership"),
	})
	d.configSync = configsync.New(configsync.Options{
		Board: d.board, Journal: d.journal, Members: d.members, Parse: parseConfig,
		EditZone: config.SetZoneInService, Retention: s.LogRetention(), Now: d.Now, Logger: d.partLogger("configsync"),
	})
	d.journal.Register(journal.StreamConfig, d.configSync)
	d.journal.RegisterSnapshotter(d.configSync)
	d.members.SetObserver(d.configSync)
	d.evidenceChecker = evidence.NewChecker(evidence.Sources{
		Zone: s.Zone, Now: d.Now, Config: &d.board.Config, LogState: d.journal.State,
		Reports: d.members.Reports, KnownVersion: d.configSync.KnownVersion, PendingOutOfService: d.configSync.PendingOutOfService,
	})
}

// parseConfig parses a configuration from the log or from an operator. The findings are
// returned as an error.
func parseConfig(data []byte) (*config.Config, error) {
	cfg, findings := config.Parse("daisyfold.jsonc", data)
	return cfg, findings.Err()
}

// appendRateLimit returns this host's share of the deployment's limit of log appends, in
// appends per second. The limit is divided evenly among the live entry hosts.
func (d *Daemon) appendRateLimit() float64 {
	return float64(d.Settings.LogAppendsPerSecond) / float64(max(d.aliveHostCount(), 1))
}

// aliveHostCount returns the number of live entry hosts.
func (d *Daemon) aliveHostCount() int {
	alive := 0
	for _, m := range d.board.Members.List() {
		if m.Alive {
			alive++
		}
	}
	return alive
}

func (d *Daemon) buildJobs() {
	d.jobTable = jobs.NewTable(d.Now)
	d.jobs = jobs.NewService(jobs.Options{
		Host: d.Settings.Host, Zone: d.Settings.Zone, Board: d.board, Journal: d.journal,
		Table: d.jobTable, Copier: d.members, Appender: d.journal, Relay: d.members, Owner: d.members.Owner,
		NewID: d.NewID, Now: d.Now, Retention: d.Settings.LogRetention(), Logger: d.partLogger("jobs"),
	})
	d.journal.Register(journal.StreamJobs, d.jobTable)
	d.journal.RegisterSnapshotter(d.jobs)
}

func (d *Daemon) buildCalls() {
	table := calls.NewTable()
	d.calls = calls.New(calls.Config{
		Host: d.Settings.Host, Zone: d.Settings.Zone, Board: d.board, Journal: d.journal,
		Table: table, Targets: d.External.Targets, Peers: peerOutcomeClient{d.members},
		Seed: uint64(d.Now().UnixNano()),
	})
	d.journal.Register(journal.StreamCalls, d.calls)
}

func (d *Daemon) buildShards() {
	d.shards = shard.NewManager(shard.Options{
		Host: d.Settings.Host, Zone: d.Settings.Zone, Board: d.board, Jobs: d.jobTable,
		Journal: d.journal, Copier: d.members, Appender: d.journal, Relay: d.members,
		Dialer: d.External.Workers, Evidence: d.evidenceChecker, Owner: d.members.Owner,
		Guarantees: d.guarantees.forShard, UnavailableDependencies: d.blockedServices, History: &queue.History{},
		Pool: d.controllerPool, Metrics: shard.NewMetrics(d.Registry), Logger: d.partLogger("shard"), Now: d.Now, NewID: d.NewID,
	})
}

// blockedServices maps each service that waits for an unavailable dependency to that
// dependency.
func (d *Daemon) blockedServices() map[model.Service]model.Service {
	return d.calls.MissingDependencies(d.Now())
}

// errPlannedStop ends the group of goroutines after a planned stop.
var errPlannedStop = errors.New("planned stop")

// Run serves until stop is closed and the daemon has drained. If ctx ends, it stops at
// once, also during the drain.
func (d *Daemon) Run(ctx context.Context, stop <-chan struct{}) error {
	apiListener, peerListener, err := listen(ctx, d.Settings)
	if err != nil {
		return err
	}
	return d.runWithListeners(ctx, stop, apiListener, peerListener)
}

// runWithListeners is Run with open listeners.
func (d *Daemon) runWithListeners(ctx context.Context, stop <-chan struct{}, apiListener, peerListener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	servers := d.serve(ctx, group, apiListener, peerListener)
	d.startBackgroundLoops(ctx, group)
	group.Go(func() error {
		select {
		case <-stop:
		case <-ctx.Done():
			return ctx.Err()
		}
		d.drain(ctx, servers)
		return errPlannedStop
	})
	err := group.Wait()
	if errors.Is(err, errPlannedStop) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// startBackgroundLoops starts the background loops of the daemon in group.
func (d *Daemon) startBackgroundLoops(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { return d.journal.Run(ctx) })
	group.Go(func() error { return d.members.Run(ctx) })
	group.Go(func() error { return d.configSync.Run(ctx) })
	group.Go(func() error { d.controllerPool.Run(ctx); return nil })
	group.Go(func() error { d.shards.Run(ctx); return nil })
	group.Go(func() error { return runPeriodically(ctx, hostListInterval, d.refreshHostList) })
	group.Go(func() error {
		return runPeriodically(ctx, pruneInterval, func(context.Context) { d.jobTable.Prune(d.Settings.LogRetention()) })
	})
}

// refreshHostList reads the platform's host list. If the read fails, the last list stays
// in use.
func (d *Daemon) refreshHostList(ctx context.Context) {
	fetchCtx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	list, changed, err := d.External.HostList.Fetch(fetchCtx)
	if err != nil {
		d.log.Debug("cannot read the host list", zap.Error(err))
		return
	}
	if changed {
		d.board.Hosts.Put(list)
	}
}

// runPeriodically calls fn immediately and then at each interval until ctx ends. It
// returns the error of ctx.
func runPeriodically(ctx context.Context, interval time.Duration, fn func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		fn(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}
