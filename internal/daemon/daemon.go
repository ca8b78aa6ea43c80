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

// Daemon is one entry host's process.
type Daemon struct {
	Options
	board   *blackboard.Board
	journal *journal.LogJournal
	members *membership.Membership
	sync    *configsync.Sync
	checker *evidence.Checker
	table   *jobs.Table
	jobs    *jobs.Service
	calls   *calls.Service
	shards  *shard.Manager
	pool    *controller.Pool
	log     *zap.Logger // of the part "daemon"
	leaving chan struct{}
	// guarantees are the shapes assigned to shards by the text in force.
	guarantees assignment
	stopped    atomic.Bool
}

// New builds a daemon; nothing runs before Run.
func New(o Options) *Daemon {
	o.setDefaults()
	d := &Daemon{Options: o, board: blackboard.New(), leaving: make(chan struct{})}
	d.log = d.part("daemon")
	d.pool = controller.NewPool(controllerWorkers)
	d.buildAgreement()
	d.buildJobs()
	d.buildCalls()
	d.buildShards()
	d.registerMetrics()
	return d
}

func (d *Daemon) part(name string) *zap.Logger { return logging.Part(d.Logger, name) }

// buildAgreement creates the journal, membership, configuration and evidence.
func (d *Daemon) buildAgreement() {
	s := d.Settings
	d.journal = journal.New(journal.Options{
		Log: d.Outside.Log, Host: s.Host, Now: d.Now,
		AppendsPerSecond: d.appendShare, Retention: s.Retention(), Logger: d.part("journal"),
	})
	scheme := "http://"
	if d.Outside.PeerTLS != nil {
		scheme = "https://"
	}
	self := membership.Peer{Host: s.Host, Zone: s.Zone, Address: scheme + s.Listen.Peer}
	var peers []membership.Peer
	for _, p := range s.Peers {
		peers = append(peers, membership.Peer{Host: p.Host, Zone: p.Zone, Address: p.Address})
	}
	d.members = membership.New(membership.Options{
		Self: self, Peers: peers, Members: &d.board.Members, Hosts: &d.board.Hosts,
		NewClient: d.Outside.Dial, Now: d.Now, Logger: d.part("membership"),
	})
	d.sync = configsync.New(configsync.Options{
		Board: d.board, Journal: d.journal, Members: d.members, Parse: parseText,
		EditZone: config.SetZone, Retention: s.Retention(), Now: d.Now, Logger: d.part("configsync"),
	})
	d.journal.Register(journal.StreamConfig, d.sync)
	d.journal.RegisterSnapshotter(d.sync)
	d.members.SetObserver(d.sync)
	d.checker = evidence.NewChecker(evidence.Sources{
		Zone: s.Zone, Now: d.Now, Config: &d.board.Config, LogState: d.journal.State,
		Reports: d.members.Reports, KnownVersion: d.sync.KnownVersion, PendingOutOfService: d.sync.PendingOutOfService,
	})
}

// parseText reads an operators' text from the log or an operator.
func parseText(data []byte) (*config.Text, error) {
	text, findings := config.Parse("daisyfold.jsonc", data)
	return text, findings.Err()
}

// appendShare is this host's part of the deployment's appends per second.
func (d *Daemon) appendShare() float64 {
	return float64(d.Settings.LogAppendsPerSecond) / float64(max(d.aliveHosts(), 1))
}

// aliveHosts returns the number of live entry hosts.
func (d *Daemon) aliveHosts() int {
	alive := 0
	for _, m := range d.board.Members.List() {
		if m.Alive {
			alive++
		}
	}
	return alive
}

func (d *Daemon) buildJobs() {
	d.table = jobs.NewTable(d.Now)
	d.jobs = jobs.NewService(jobs.Options{
		Host: d.Settings.Host, Zone: d.Settings.Zone, Board: d.board, Journal: d.journal,
		Table: d.table, Copier: d.members, Appender: d.journal, Relay: d.members, Owner: d.members.Owner,
		NewID: d.NewID, Now: d.Now, Retention: d.Settings.Retention(), Logger: d.part("jobs"),
	})
	d.journal.Register(journal.StreamJobs, d.table)
	d.journal.RegisterSnapshotter(d.jobs)
}

func (d *Daemon) buildCalls() {
	table := calls.NewTable()
	d.calls = calls.New(calls.Config{
		Host: d.Settings.Host, Zone: d.Settings.Zone, Board: d.board, Journal: d.journal,
		Table: table, Targets: d.Outside.Targets, Peers: peerCalls{d.members},
		Seed: uint64(d.Now().UnixNano()),
	})
	d.journal.Register(journal.StreamCalls, d.calls)
}

func (d *Daemon) buildShards() {
	d.shards = shard.NewManager(shard.Options{
		Host: d.Settings.Host, Zone: d.Settings.Zone, Board: d.board, Jobs: d.table,
		Journal: d.journal, Copier: d.members, Appender: d.journal, Relay: d.members,
		Dialer: d.Outside.Workers, Evidence: d.checker, Owner: d.members.Owner,
		Guarantees: d.guarantees.of, UnavailableDependencies: d.blockedServices, History: &queue.History{},
		Pool: d.pool, Metrics: shard.NewMetrics(d.Registry), Logger: d.part("shard"), Now: d.Now, NewID: d.NewID,
	})
}

// blockedServices returns the services that wait for an unavailable dependency.
func (d *Daemon) blockedServices() map[model.Service]model.Service {
	return d.calls.MissingDependencies(d.Now())
}

// errStopped ends the group of loops after a planned stop.
var errStopped = errors.New("planned stop")

// Run serves until stop is closed and the daemon has drained, or ctx ends, which
// ends it at once.
func (d *Daemon) Run(ctx context.Context, stop <-chan struct{}) error {
	apiL, peerL, err := listen(ctx, d.Settings)
	if err != nil {
		return err
	}
	return d.runOn(ctx, stop, apiL, peerL)
}

// runOn is Run on open listeners.
func (d *Daemon) runOn(ctx context.Context, stop <-chan struct{}, apiL, peerL net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	servers := d.serve(ctx, g, apiL, peerL)
	d.runLoops(ctx, g)
	g.Go(func() error {
		select {
		case <-stop:
		case <-ctx.Done():
			return ctx.Err()
		}
		d.drain(ctx, servers)
		return errStopped
	})
	err := g.Wait()
	if errors.Is(err, errStopped) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// runLoops starts everything that runs in the background.
func (d *Daemon) runLoops(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error { return d.journal.Run(ctx) })
	g.Go(func() error { return d.members.Run(ctx) })
	g.Go(func() error { return d.sync.Run(ctx) })
	g.Go(func() error { d.pool.Run(ctx); return nil })
	g.Go(func() error { d.shards.Run(ctx); return nil })
	g.Go(func() error { return every(ctx, hostListInterval, d.fetchHosts) })
	g.Go(func() error {
		return every(ctx, pruneInterval, func(context.Context) { d.table.Prune(d.Settings.Retention()) })
	})
}

// fetchHosts reads the platform's list. A failed read keeps the last list.
func (d *Daemon) fetchHosts(ctx context.Context) {
	cctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	list, changed, err := d.Outside.Hosts.Fetch(cctx)
	if err != nil {
		d.log.Debug("the host list cannot be read", zap.Error(err))
		return
	}
	if changed {
		d.board.Hosts.Put(list)
	}
}

// every runs f at once and then at each interval.
func every(ctx context.Context, interval time.Duration, f func(context.Context)) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}
