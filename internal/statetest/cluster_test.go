// Package statetest tests the journal, membership, evidence and configsync together
// on virtual time: 8 hosts in 4 zones with a log service and a peer network in
// memory whose faults the tests control.
package statetest

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/config"
	"github.com/daisyfold/daisyfold/internal/configsync"
	"github.com/daisyfold/daisyfold/internal/evidence"
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/membership"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/peerserver"
	"github.com/daisyfold/daisyfold/internal/platform/logservice/logtest"
	"github.com/daisyfold/daisyfold/internal/rpc/peer"
)

var zoneNames = []model.Zone{"brest", "quimper", "rennes", "vannes"}

// testRetention is short, so that records expire during the tests.
const testRetention = 16 * time.Second

// cluster is a deployment on virtual time.
type cluster struct {
	t     *testing.T
	log   *logtest.Log
	peers []membership.Peer
	wire  func(from, to model.HostID) peer.Peer

	mu    sync.Mutex
	rng   *rand.Rand
	nodes map[model.HostID]*node
	cut   map[[2]model.HostID]bool // one-way cuts: from, to
	// started is the time of the last start that a zone's hosts had evidence for.
	started map[model.Zone]time.Time
	// clockBack is how far the wall clock of a host that starts now is set back.
	clockBack time.Duration
	texts     map[int64]string // the text of each version in force anywhere
}

// node is one daemon's part of the state.
type node struct {
	membership.Peer
	board   *blackboard.Board
	journal *journal.LogJournal
	members *membership.Membership
	sync    *configsync.Sync
	checker *evidence.Checker
	server  *peerserver.Server
	jobs    *recorder
	stop    func()
}

// recorder is an applier that keeps what it was given.
type recorder struct {
	mu   sync.Mutex
	ids  []string
	gaps [][2]int64
}

func (r *recorder) Apply(_ int64, rec journal.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids = append(r.ids, rec.ID)
}

func (r *recorder) HandleGap(from, first int64) { r.gaps = append(r.gaps, [2]int64{from, first}) }

func (r *recorder) list() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.ids...)
}

// newCluster starts perZone hosts in each zone and waits until they know each other.
func newCluster(t *testing.T, seed uint64, perZone int) *cluster {
	c := newClusterOf(t, seed, zoneNames, perZone)
	c.startAll()
	time.Sleep(3 * time.Second)
	return c
}

func newClusterOf(t *testing.T, seed uint64, zones []model.Zone, perZone int) *cluster {
	c := &cluster{
		t: t, log: logtest.New(seed, testRetention), rng: rand.New(rand.NewPCG(seed, 2)),
		nodes: make(map[model.HostID]*node), cut: make(map[[2]model.HostID]bool),
		started: make(map[model.Zone]time.Time), texts: make(map[int64]string),
	}
	c.wire = func(from, to model.HostID) peer.Peer { return &link{c: c, from: from, to: to} }
	for _, z := range zones {
		for i := range perZone {
			host := model.HostID(fmt.Sprintf("%s-%d", z, i))
			c.peers = append(c.peers, membership.Peer{Host: host, Zone: z, Address: string(host)})
		}
	}
	return c
}

// startAll starts the hosts at different times, so that their rotations differ.
func (c *cluster) startAll() {
	for _, p := range c.peers {
		c.start(p)
		time.Sleep(time.Duration(c.rand() * float64(200*time.Millisecond)))
	}
}

func (c *cluster) rand() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Float64()
}

// start runs a daemon with empty memory.
func (c *cluster) start(p membership.Peer) *node {
	n := &node{Peer: p, board: blackboard.New(), jobs: &recorder{}}
	n.journal = journal.New(journal.Options{
		Log: c.log.ForHost(p.Host), Host: p.Host, Rand: c.rand, Retention: testRetention,
		AppendsPerSecond: func() float64 { return n.members.AppendsPerSecond() },
	})
	n.members = membership.New(membership.Options{
		Self: p, Peers: c.peers, Members: &n.board.Members, Rand: c.rand,
		Incarnation: time.Now().Add(-c.clockBack).UnixNano(),
		NewClient:   func(address string) peer.Peer { return c.wire(p.Host, model.HostID(address)) },
	})
	n.sync = configsync.New(configsync.Options{
		Board: n.board, Journal: n.journal, Members: n.members, Parse: parse, EditZone: editZone,
		Retention: testRetention, Rand: c.rand,
	})
	n.journal.Register(journal.StreamConfig, n.sync)
	n.journal.Register(journal.StreamJobs, n.jobs)
	n.journal.RegisterSnapshotter(n.sync)
	n.members.SetObserver(n.sync)
	n.checker = evidence.NewChecker(evidence.Sources{
		Zone: p.Zone, Config: &n.board.Config, LogState: n.sync.LogState, Reports: n.members.Reports,
		KnownVersion: n.sync.KnownVersion, PendingOutOfService: n.sync.PendingOutOfService,
	})
	n.server = &peerserver.Server{Members: n.members, Configs: n.sync, Copies: n.journal.Copies()}
	c.run(n)
	return n
}

func (c *cluster) run(n *node) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, f := range []func(context.Context) error{n.journal.Run, n.members.Run, n.sync.Run} {
		wg.Go(func() { _ = f(ctx) })
	}
	wg.Go(func() { c.startTasks(ctx, n) })
	n.stop = func() { cancel(); wg.Wait() }
	c.mu.Lock()
	c.nodes[n.Host] = n
	c.mu.Unlock()
}

// startTasks notes each moment at which the host may start a task, and checks that
// its version never goes back and that a version has the same text everywhere.
func (c *cluster) startTasks(ctx context.Context, n *node) {
	var last int64
	for ctx.Err() == nil {
		if cur := n.board.Config.Get(); cur != nil {
			c.checkVersion(n.Host, last, cur)
			last = cur.Version
			if ok, _ := n.checker.Check(n.Zone); ok {
				c.mu.Lock()
				c.started[n.Zone] = time.Now()
				c.mu.Unlock()
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (c *cluster) checkVersion(host model.HostID, last int64, cur *blackboard.Configuration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cur.Version < last {
		c.t.Errorf("%s went back from version %d to %d", host, last, cur.Version)
	}
	if text, ok := c.texts[cur.Version]; ok && text != string(cur.Raw) {
		c.t.Errorf("version %d has another text at %s", cur.Version, host)
	}
	c.texts[cur.Version] = string(cur.Raw)
}

func (c *cluster) lastStart(z model.Zone) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started[z]
}

// node returns the i-th host's daemon, or nil while it does not run.
func (c *cluster) node(i int) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[c.peers[i].Host]
}

func (c *cluster) kill(host model.HostID) {
	c.mu.Lock()
	n := c.nodes[host]
	delete(c.nodes, host)
	c.mu.Unlock()
	n.stop()
}

func (c *cluster) restart(host model.HostID) {
	p := c.nodes[host].Peer
	c.kill(host)
	c.start(p)
}

func (c *cluster) close() {
	for _, p := range c.peers {
		if c.nodes[p.Host] != nil {
			c.kill(p.Host)
		}
	}
}

// cutZones cuts the way from hosts of zone a to hosts of zone b.
func (c *cluster) cutZones(a, b model.Zone) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		for _, q := range c.peers {
			if p.Zone == a && q.Zone == b {
				c.cut[[2]model.HostID{p.Host, q.Host}] = true
			}
		}
	}
}

func (c *cluster) cutLog(z model.Zone) {
	c.log.SetFaults(func(f *logtest.Faults) {
		for _, p := range c.peers {
			if p.Zone == z {
				f.UnreachableFrom[p.Host] = true
			}
		}
	})
}

func (c *cluster) heal() {
	c.mu.Lock()
	c.cut = make(map[[2]model.HostID]bool)
	c.mu.Unlock()
	c.log.ClearFaults()
}

// link is the peer network from one host to another.
type link struct {
	peer.Peer
	c        *cluster
	from, to model.HostID
}

// pass moves one message and blocks it if its way is cut or its receiver is gone.
func (l *link) pass(ctx context.Context, from, to model.HostID) (*node, error) {
	time.Sleep(500 * time.Microsecond)
	l.c.mu.Lock()
	n, cut := l.c.nodes[to], l.c.cut[[2]model.HostID{from, to}]
	l.c.mu.Unlock()
	if n == nil || cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return n, nil
}

func call[Q, A proto.Message](ctx context.Context, l *link, req Q, f func(*peerserver.Server, context.Context, Q) (A, error)) (A, error) {
	var none A
	n, err := l.pass(ctx, l.from, l.to)
	if err != nil {
		return none, err
	}
	ans, err := f(n.server, ctx, proto.Clone(req).(Q))
	if err != nil {
		return none, err
	}
	if _, err := l.pass(ctx, l.to, l.from); err != nil {
		return none, err
	}
	return proto.Clone(ans).(A), nil
}

func (l *link) Heartbeat(ctx context.Context, r *peer.HostReport) (*peer.HostReport, error) {
	return call(ctx, l, r, (*peerserver.Server).Heartbeat)
}

func (l *link) FetchConfig(ctx context.Context, r *peer.FetchConfigRequest) (*peer.ConfigText, error) {
	return call(ctx, l, r, (*peerserver.Server).FetchConfig)
}

func (l *link) CopyRecords(ctx context.Context, r *peer.CopyRecordsRequest) (*peer.CopyRecordsAnswer, error) {
	return call(ctx, l, r, (*peerserver.Server).CopyRecords)
}

func parse(data []byte) (*config.Config, error) {
	t := new(config.Config)
	return t, json.Unmarshal(data, t)
}

func editZone(data []byte, zone model.Zone, inService bool) ([]byte, error) {
	t, err := parse(data)
	if err != nil {
		return nil, err
	}
	for i := range t.AvailabilityZones {
		if t.AvailabilityZones[i].Name == zone {
			t.AvailabilityZones[i].InService = inService
			return json.Marshal(t)
		}
	}
	return nil, fmt.Errorf("no such zone")
}

// textOf returns a text with all zones in service and a mark.
func textOf(mark string) []byte {
	t := config.Config{Operators: []config.Operator{{Name: mark}}}
	for _, z := range zoneNames {
		t.AvailabilityZones = append(t.AvailabilityZones, config.AvailabilityZone{Name: z, InService: true})
	}
	data, err := json.Marshal(t)
	if err != nil {
		panic(err)
	}
	return data
}

// publishFirst publishes version 1 and waits until it is in force everywhere.
func (c *cluster) publishFirst() {
	c.t.Helper()
	v, err := c.node(0).sync.Publish(context.Background(), "first", 0, textOf("first"))
	if err != nil || v != 1 {
		c.t.Fatalf("first publish: version %d, %v", v, err)
	}
	time.Sleep(time.Second)
}

// within returns a context with a deadline on the virtual clock.
func within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	_ = cancel // the deadline ends it
	return ctx
}
