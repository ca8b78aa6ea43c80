// Package membership exchanges heartbeats with the other entry hosts. It maintains the
// table of live hosts, decides which host plans a shard, and stores the reports that start
// evidence (design D4) is based on. All ages are measured with the monotonic clock.
package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/rpc/peer"
)

const (
	// ownZoneHeartbeatInterval is the time between heartbeats to each host of this host's
	// zone.
	ownZoneHeartbeatInterval = 500 * time.Millisecond
	// otherZoneHeartbeatInterval is the time between heartbeats to each other zone.
	otherZoneHeartbeatInterval = time.Second
	// ownZoneLivenessTimeout and otherZoneLivenessTimeout are how long a host counts as
	// alive after it was last seen.
	ownZoneLivenessTimeout   = 2 * time.Second
	otherZoneLivenessTimeout = 3 * time.Second
	// ownZoneHeartbeatTimeout is the timeout of a heartbeat within the zone. A lost
	// heartbeat delays the next one by one interval.
	ownZoneHeartbeatTimeout = 700 * time.Millisecond
	// otherZoneHeartbeatTimeout leaves time for a second host of the zone within one
	// interval, so that one silent host does not make the contact with its zone too old.
	otherZoneHeartbeatTimeout = 400 * time.Millisecond
	// silentProbeInterval is the time between extra heartbeats to silent hosts.
	silentProbeInterval = 5 * time.Second
	// tableUpdateInterval limits the delay until the member table shows a silent host.
	tableUpdateInterval = 100 * time.Millisecond
)

// Peer is an entry host as it appears in the settings.
type Peer struct {
	Host    model.HostID
	Zone    model.Zone
	Address string // base URL
}

// Observer supplies and consumes the configuration and log state in heartbeats.
type Observer interface {
	// ConfigVersion returns the configuration version in force, or 0 if there is none.
	ConfigVersion() int64
	// LogState returns this host's view of the log.
	LogState() journal.State
	// PendingChanges returns the pending zone changes that this host stores.
	PendingChanges() []*peer.PendingZoneChange
	// HandleReport is called with each report before Membership.Reports returns it.
	HandleReport(r Report, pending []*peer.PendingZoneChange)
}

// Options configures a Membership. Self and Members are required; a nil Logger disables
// logging.
type Options struct {
	Self  Peer
	Peers []Peer
	// Incarnation is the start time of the process in nanoseconds since 1970. The default
	// is the current time.
	Incarnation int64
	Members     *blackboard.MemberTable
	// Hosts is the platform's host list, or nil if there is none.
	Hosts *blackboard.HostTable
	// NewClient returns a client for a base URL. The default is NewHTTPClient.
	NewClient func(address string) peer.Peer
	// Now returns the current time with a monotonic clock reading. The default is
	// time.Now.
	Now func() time.Time
	// Rand returns a random number in [0,1). The default is rand.Float64.
	Rand   func() float64
	Logger *zap.Logger
}

func (o *Options) setDefaults() {
	if o.NewClient == nil {
		o.NewClient = NewHTTPClient
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Rand == nil {
		o.Rand = rand.Float64
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Incarnation == 0 {
		o.Incarnation = o.Now().UnixNano()
	}
}

// Membership is this host's view of the entry hosts.
type Membership struct {
	opts       Options
	observer   Observer
	heartbeats sync.WaitGroup // heartbeats in flight

	mu           sync.Mutex
	peers        map[model.HostID]*peerState
	sortedByHost []*peerState // peers in the order of their host IDs; nil after a change
	leaving      bool
	// startedAt is when Run was called.
	startedAt      time.Time
	publishedTable []blackboard.Member
	spareTable     []blackboard.Member // buffer for the next table
	rotation       int                 // heartbeat rounds to other zones so far; selects the hosts to call
}

// New returns a Membership with the given peers.
func New(opts Options) *Membership {
	opts.setDefaults()
	m := &Membership{opts: opts, peers: make(map[model.HostID]*peerState)}
	for _, p := range opts.Peers {
		if p.Host != opts.Self.Host {
			m.peers[p.Host] = &peerState{Peer: p, client: opts.NewClient(p.Address)}
		}
	}
	return m
}

// SetObserver sets the observer. It must be called before Run.
func (m *Membership) SetObserver(o Observer) { m.observer = o }

// Run sends heartbeats until ctx is done and waits for those in flight.
func (m *Membership) Run(ctx context.Context) error {
	m.mu.Lock()
	m.startedAt = m.opts.Now()
	m.mu.Unlock()
	m.updateTable()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return runPeriodically(ctx, ownZoneHeartbeatInterval, func() { m.heartbeatOwnZone(ctx) })
	})
	g.Go(func() error {
		return runPeriodically(ctx, otherZoneHeartbeatInterval, func() { m.heartbeatOtherZones(ctx) })
	})
	g.Go(func() error { return runPeriodically(ctx, silentProbeInterval, func() { m.probeSilentHost(ctx) }) })
	g.Go(func() error { return runPeriodically(ctx, tableUpdateInterval, m.updateTable) })
	err := g.Wait()
	m.heartbeats.Wait()
	return trace.Wrap(err)
}

// runPeriodically calls f now and then once per period until ctx is done.
func runPeriodically(ctx context.Context, period time.Duration, f func()) error {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// SetLeaving marks this host as leaving for good and announces it to the peers at once.
func (m *Membership) SetLeaving(ctx context.Context) {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.updateTable()
	m.Announce(ctx)
}

// Reports returns the last report of every host that has sent one. It includes the reports
// of silent hosts; callers check the age.
func (m *Membership) Reports() []Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Report, 0, len(m.peers))
	for _, p := range m.peers {
		if !p.mergedReport.ReportedAt.IsZero() {
			out = append(out, p.mergedReport)
		}
	}
	return out
}

// Client returns the RPC client of a known host. The result is false for an unknown host.
func (m *Membership) Client(host model.HostID) (peer.Peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[host]
	if p == nil {
		return nil, false
	}
	return p.client, true
}

// Alive reports whether the member table shows a host as alive.
func (m *Membership) Alive(host model.HostID) bool {
	for _, member := range m.opts.Members.List() {
		if member.Host == host {
			return member.Alive
		}
	}
	return false
}

// Self returns this host.
func (m *Membership) Self() Peer { return m.opts.Self }
