// Package membership exchanges heartbeats with the other entry hosts. It keeps the
// table of live hosts, decides which host plans a shard, and holds the reports that
// start evidence (D4) is built from. All ages come from the monotonic clock.
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
	// zonePeriod is the time between two heartbeats to a host of the own zone.
	zonePeriod = 500 * time.Millisecond
	// crossPeriod is the time between two heartbeats to another zone.
	crossPeriod = time.Second
	// zoneSilence and crossSilence are how long a silent host counts as alive.
	zoneSilence  = 2 * time.Second
	crossSilence = 3 * time.Second
	// zoneTimeout bounds a heartbeat within a zone; a lost one costs one period.
	zoneTimeout = 700 * time.Millisecond
	// crossTimeout leaves time for a second host of the zone within one period, so
	// that one silent host does not make the contact with its zone too old.
	crossTimeout = 400 * time.Millisecond
	// probePeriod is the time between two extra heartbeats to silent hosts.
	probePeriod = 5 * time.Second
	// tablePeriod bounds how late the member table shows a silent host.
	tablePeriod = 100 * time.Millisecond
)

// Peer is one entry host as the settings name it.
type Peer struct {
	Host    model.HostID
	Zone    model.Zone
	Address string // base URL
}

// Observer is the part of the daemon that supplies and consumes what heartbeats
// carry besides liveness.
type Observer interface {
	// ConfigVersion is the version in force, 0 if none.
	ConfigVersion() int64
	// LogState is the host's view of the log.
	LogState() journal.State
	// Pending are the pending zone changes that the host stores.
	Pending() []*peer.PendingZoneChange
	// Observe is called with each report before Reports shows it.
	Observe(r Report, pending []*peer.PendingZoneChange)
}

// Options configures a Membership. Self, Members and Dial are required.
type Options struct {
	Self  Peer
	Peers []Peer
	// Incarnation is the start time of the process in nanoseconds since 1970.
	Incarnation int64
	Members     *blackboard.MemberTable
	// Hosts is the platform's host list; nil if there is none.
	Hosts *blackboard.HostTable
	// Dial returns a client for a base URL; DialHTTP if nil.
	Dial   func(address string) peer.Peer
	Now    func() time.Time
	Rand   func() float64
	Logger *zap.Logger
}

func (o *Options) setDefaults() {
	if o.Dial == nil {
		o.Dial = DialHTTP
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
	opts     Options
	observer Observer
	calls    sync.WaitGroup // heartbeats in flight

	mu      sync.Mutex
	peers   map[model.HostID]*peerState
	sorted  []*peerState // peers in the order of their ids; nil when they changed
	leaving bool
	// startedAt is when Run was called.
	startedAt time.Time
	table     []blackboard.Member
	scratch   []blackboard.Member // room for the next table
	turn      int
}

// New returns a membership that knows the peers of the settings.
func New(opts Options) *Membership {
	opts.setDefaults()
	m := &Membership{opts: opts, peers: make(map[model.HostID]*peerState)}
	for _, p := range opts.Peers {
		if p.Host != opts.Self.Host {
			m.peers[p.Host] = &peerState{Peer: p, client: opts.Dial(p.Address)}
		}
	}
	return m
}

// Attach sets the observer. It must be called before Run.
func (m *Membership) Attach(o Observer) { m.observer = o }

// Run sends heartbeats until ctx ends and waits for those in flight.
func (m *Membership) Run(ctx context.Context) error {
	m.mu.Lock()
	m.startedAt = m.opts.Now()
	m.mu.Unlock()
	m.updateTable()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return every(ctx, zonePeriod, func() { m.beatZone(ctx) }) })
	g.Go(func() error { return every(ctx, crossPeriod, func() { m.beatZones(ctx) }) })
	g.Go(func() error { return every(ctx, probePeriod, func() { m.probeSilent(ctx) }) })
	g.Go(func() error { return every(ctx, tablePeriod, m.updateTable) })
	err := g.Wait()
	m.calls.Wait()
	return trace.Wrap(err)
}

// every calls f now and then once a period until ctx ends.
func every(ctx context.Context, period time.Duration, f func()) error {
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

// SetLeaving reports the host as leaving from now on and tells the peers at once.
func (m *Membership) SetLeaving(ctx context.Context) {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.updateTable()
	m.Announce(ctx)
}

// Reports returns the last report of every host that gave one. The reports of
// silent hosts are included; their age tells them apart.
func (m *Membership) Reports() []Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Report, 0, len(m.peers))
	for _, p := range m.peers {
		if !p.report.At.IsZero() {
			out = append(out, p.report)
		}
	}
	return out
}

// Client returns the RPC client of a known host.
func (m *Membership) Client(host model.HostID) (peer.Peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[host]
	if p == nil {
		return nil, false
	}
	return p.client, true
}

// Alive reports whether a host is alive in the member table.
func (m *Membership) Alive(host model.HostID) bool {
	for _, x := range m.opts.Members.List() {
		if x.Host == host {
			return x.Alive
		}
	}
	return false
}

// Self returns this host.
func (m *Membership) Self() Peer { return m.opts.Self }
