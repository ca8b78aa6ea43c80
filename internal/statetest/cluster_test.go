// Package statetest tests the packages journal, membership, evidence and configsync
// together: 8 hosts in 4 zones run in virtual time, with an in-memory log service and
// peer network into which the tests inject faults.
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

// testRetention is the retention of the log. It is short, so that records expire
// during a test.
const testRetention = 16 * time.Second

// cluster is a set of hosts that run in virtual time.
type cluster struct {
	t     *testing.T
	log   *logtest.Log
	peers []membership.Peer
	dial  func(from, to model.HostID) peer.Peer

	mu           sync.Mutex
	rng          *rand.Rand
	hosts        map[model.HostID]*testHost
	blockedLinks map[[2]model.HostID]bool // one direction each: from, to
	// lastEvidence is the last time at which a host of the zone had start evidence for
	// the zone.
	lastEvidence map[model.Zone]time.Time
	// clockSetBack is subtracted from the wall clock of the hosts that start next.
	clockSetBack  time.Duration
	textByVersion map[int64]string // text of each version that was in force on any host
}

// testHost holds the tested packages of one host.
type testHost struct {
	membership.Peer
	board   *blackboard.Board
	journal *journal.LogJournal
	members *membership.Membership
	sync    *configsync.Sync
	checker *evidence.Checker
	server  *peerserver.Server
	jobs    *recordingApplier
	stop    func()
}

// recordingApplier stores the record IDs and gaps that the journal passes to it.
type recordingApplier struct {
	mu   sync.Mutex
	ids  []string
	gaps [][2]int64
}

func (r *recordingApplier) Apply(_ int64, rec journal.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids = append(r.ids, rec.ID)
}

func (r *recordingApplier) HandleGap(from, first int64) {
	r.gaps = append(r.gaps, [2]int64{from, first})
}

func (r *recordingApplier) appliedIDs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.ids...)
}

// newCluster starts perZone hosts in each of the four zones and waits until they know
// each other.
func newCluster(t *testing.T, seed uint64, perZone int) *cluster {
	c := newStoppedCluster(t, seed, zoneNames, perZone)
	c.startAll()
	time.Sleep(3 * time.Second)
	return c
}

// newStoppedCluster returns a cluster whose hosts are not started yet.
func newStoppedCluster(t *testing.T, seed uint64, zones []model.Zone, perZone int) *cluster {
	c := &cluster{
		t: t, log: logtest.New(seed, testRetention), rng: rand.New(rand.NewPCG(seed, 2)),
		hosts: make(map[model.HostID]*testHost), blockedLinks: make(map[[2]model.HostID]bool),
		lastEvidence: make(map[model.Zone]time.Time), textByVersion: make(map[int64]string),
	}
	c.dial = func(from, to model.HostID) peer.Peer { return &peerLink{cluster: c, from: from, to: to} }
	for _, z := range zones {
		for i := range perZone {
			host := model.HostID(fmt.Sprintf("%s-%d", z, i))
			c.peers = append(c.peers, membership.Peer{Host: host, Zone: z, Address: string(host)})
		}
	}
	return c
}

// startAll starts the hosts at random intervals, so that they do not send in step.
func (c *cluster) startAll() {
	for _, p := range c.peers {
		c.start(p)
		time.Sleep(time.Duration(c.randFloat() * float64(200*time.Millisecond)))
	}
}

func (c *cluster) randFloat() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Float64()
}

// start starts a host with empty memory.
func (c *cluster) start(p membership.Peer) *testHost {
	h := &testHost{Peer: p, board: blackboard.New(), jobs: &recordingApplier{}}
	h.journal = journal.New(journal.Options{
		Log: c.log.ForHost(p.Host), Host: p.Host, Rand: c.randFloat, Retention: testRetention,
		AppendsPerSecond: func() float64 { return h.members.AppendsPerSecond() },
	})
	h.members = membership.New(membership.Options{
		Self: p, Peers: c.peers, Members: &h.board.Members, Rand: c.randFloat,
		Incarnation: time.Now().Add(-c.clockSetBack).UnixNano(),
		NewClient:   func(address string) peer.Peer { return c.dial(p.Host, model.HostID(address)) },
	})
	h.sync = configsync.New(configsync.Options{
		Board: h.board, Journal: h.journal, Members: h.members, Parse: parse, EditZone: editZone,
		Retention: testRetention, Rand: c.randFloat,
	})
	h.journal.Register(journal.StreamConfig, h.sync)
	h.journal.Register(journal.StreamJobs, h.jobs)
	h.journal.RegisterSnapshotter(h.sync)
	h.members.SetObserver(h.sync)
	h.checker = evidence.NewChecker(evidence.Sources{
		Zone: p.Zone, Config: &h.board.Config, LogState: h.sync.LogState, Reports: h.members.Reports,
		KnownVersion: h.sync.KnownVersion, PendingOutOfService: h.sync.PendingOutOfService,
	})
	h.server = &peerserver.Server{Members: h.members, Configs: h.sync, Copies: h.journal.Copies()}
	c.runHost(h)
	return h
}

func (c *cluster) runHost(h *testHost) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, f := range []func(context.Context) error{h.journal.Run, h.members.Run, h.sync.Run} {
		wg.Go(func() { _ = f(ctx) })
	}
	wg.Go(func() { c.watchEvidence(ctx, h) })
	h.stop = func() { cancel(); wg.Wait() }
	c.mu.Lock()
	c.hosts[h.Host] = h
	c.mu.Unlock()
}

// watchEvidence records when the host has start evidence for its own zone. It also
// checks that the version of the host never decreases and that a version has the same
// text on all hosts.
func (c *cluster) watchEvidence(ctx context.Context, h *testHost) {
	var lastVersion int64
	for ctx.Err() == nil {
		if current := h.board.Config.Get(); current != nil {
			c.checkVersion(h.Host, lastVersion, current)
			lastVersion = current.Version
			if ok, _ := h.checker.Check(h.Zone); ok {
				c.mu.Lock()
				c.lastEvidence[h.Zone] = time.Now()
				c.mu.Unlock()
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (c *cluster) checkVersion(host model.HostID, lastVersion int64, current *blackboard.Configuration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if current.Version < lastVersion {
		c.t.Errorf("the version of %s decreased from %d to %d", host, lastVersion, current.Version)
	}
	if text, ok := c.textByVersion[current.Version]; ok && text != string(current.Text) {
		c.t.Errorf("version %d has a different text on %s", current.Version, host)
	}
	c.textByVersion[current.Version] = string(current.Text)
}

func (c *cluster) lastEvidenceTime(z model.Zone) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastEvidence[z]
}

// host returns the i-th host, or nil if it does not run.
func (c *cluster) host(i int) *testHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts[c.peers[i].Host]
}

func (c *cluster) kill(host model.HostID) {
	c.mu.Lock()
	h := c.hosts[host]
	delete(c.hosts, host)
	c.mu.Unlock()
	h.stop()
}

func (c *cluster) restart(host model.HostID) {
	p := c.hosts[host].Peer
	c.kill(host)
	c.start(p)
}

func (c *cluster) close() {
	for _, p := range c.peers {
		if c.hosts[p.Host] != nil {
			c.kill(p.Host)
		}
	}
}

// blockOneWay drops messages from hosts of one zone to hosts of another. The reverse
// direction stays open.
func (c *cluster) blockOneWay(from, to model.Zone) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		for _, q := range c.peers {
			if p.Zone == from && q.Zone == to {
				c.blockedLinks[[2]model.HostID{p.Host, q.Host}] = true
			}
		}
	}
}

// disconnectLog cuts the hosts of the zone off from the log.
func (c *cluster) disconnectLog(z model.Zone) {
	c.log.SetFaults(func(f *logtest.Faults) {
		for _, p := range c.peers {
			if p.Zone == z {
				f.UnreachableFrom[p.Host] = true
			}
		}
	})
}

// endFaults ends all faults of the peer network and the log.
func (c *cluster) endFaults() {
	c.mu.Lock()
	c.blockedLinks = make(map[[2]model.HostID]bool)
	c.mu.Unlock()
	c.log.ClearFaults()
}

// peerLink is the client with which one host calls another over the in-memory network.
type peerLink struct {
	peer.Peer
	cluster  *cluster
	from, to model.HostID
}

// deliver passes one message to its receiver. It blocks until ctx is done if the link
// is blocked or the receiver does not run.
func (l *peerLink) deliver(ctx context.Context, from, to model.HostID) (*testHost, error) {
	time.Sleep(500 * time.Microsecond)
	l.cluster.mu.Lock()
	h, blocked := l.cluster.hosts[to], l.cluster.blockedLinks[[2]model.HostID{from, to}]
	l.cluster.mu.Unlock()
	if h == nil || blocked {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return h, nil
}

// callPeer calls a method of the receiving host's server. Request and response are
// copied, as on a real network.
func callPeer[Q, A proto.Message](ctx context.Context, l *peerLink, req Q, f func(*peerserver.Server, context.Context, Q) (A, error)) (A, error) {
	var none A
	h, err := l.deliver(ctx, l.from, l.to)
	if err != nil {
		return none, err
	}
	ans, err := f(h.server, ctx, proto.Clone(req).(Q))
	if err != nil {
		return none, err
	}
	if _, err := l.deliver(ctx, l.to, l.from); err != nil {
		return none, err
	}
	return proto.Clone(ans).(A), nil
}

func (l *peerLink) Heartbeat(ctx context.Context, r *peer.HostReport) (*peer.HostReport, error) {
	return callPeer(ctx, l, r, (*peerserver.Server).Heartbeat)
}

func (l *peerLink) FetchConfig(ctx context.Context, r *peer.FetchConfigRequest) (*peer.ConfigText, error) {
	return callPeer(ctx, l, r, (*peerserver.Server).FetchConfig)
}

func (l *peerLink) CopyRecords(ctx context.Context, r *peer.CopyRecordsRequest) (*peer.CopyRecordsAnswer, error) {
	return callPeer(ctx, l, r, (*peerserver.Server).CopyRecords)
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

// configText returns a configuration text that has all zones in service and the given
// operator, so that texts can be told apart.
func configText(operator string) []byte {
	t := config.Config{Operators: []config.Operator{{Name: operator}}}
	for _, z := range zoneNames {
		t.AvailabilityZones = append(t.AvailabilityZones, config.AvailabilityZone{Name: z, InService: true})
	}
	data, err := json.Marshal(t)
	if err != nil {
		panic(err)
	}
	return data
}

// publishFirstVersion publishes version 1 and waits until it is in force on all hosts.
func (c *cluster) publishFirstVersion() {
	c.t.Helper()
	v, err := c.host(0).sync.Publish(context.Background(), "first", 0, configText("first"))
	if err != nil || v != 1 {
		c.t.Fatalf("first publish: version %d, %v", v, err)
	}
	time.Sleep(time.Second)
}

// contextWithTimeout returns a context that ends after the timeout in virtual time.
func contextWithTimeout(timeout time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	_ = cancel // the context ends at its deadline
	return ctx
}
