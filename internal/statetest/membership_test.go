package statetest

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/membership"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/peerserver"
	"github.com/daisyfold/daisyfold/internal/rpc/peer"
)

// seenBy returns how host sees other.
func (c *cluster) seenBy(host, other model.HostID) blackboard.Member {
	for _, m := range c.nodes[host].board.Members.List() {
		if m.Host == other {
			return m
		}
	}
	return blackboard.Member{}
}

// Guards against silent hosts that keep their shards, live hosts that lose them, two
// owners of a shard among hosts that see each other, and a restarted host that is
// ignored because the wall clock was set back.
func TestLiveHostsOwnShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 2)
		defer c.close()
		shard := model.ShardID{Zone: "brest"}
		owner, _ := c.nodes["quimper-0"].members.Owner(shard)
		mate := model.HostID("brest-0")
		if owner == mate {
			mate = "brest-1"
		}
		p := c.nodes[owner].Peer
		c.kill(owner)
		time.Sleep(1400 * time.Millisecond)
		if !c.seenBy(mate, owner).Alive {
			t.Error("dead before 1.5 s of silence in the zone")
		}
		time.Sleep(750 * time.Millisecond)
		if c.seenBy(mate, owner).Alive {
			t.Error("alive after 2.1 s of silence in the zone")
		}
		time.Sleep(time.Second)
		for _, n := range c.nodes {
			if got, ok := n.members.Owner(shard); !ok || got != mate {
				t.Errorf("%s sees owner %q, want %s", n.Host, got, mate)
			}
		}
		c.clockBack = time.Hour
		c.start(p)
		time.Sleep(2 * time.Second)
		for _, n := range c.nodes {
			if got, _ := n.members.Owner(shard); got != owner {
				t.Errorf("%s sees owner %q after the restart, want %s", n.Host, got, owner)
			}
		}
		c.nodes[owner].members.SetLeaving(context.Background())
		time.Sleep(time.Millisecond)
		for _, n := range c.nodes {
			if got, _ := n.members.Owner(shard); got != mate {
				t.Errorf("%s sees owner %q while that host leaves, want %s", n.Host, got, mate)
			}
		}
	})
}

// Guards against a replaced host, which the others' settings do not name, being
// ignored: they learn it from its heartbeats.
func TestUnknownHostIsLearned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 2)
		defer c.close()
		p := membership.Peer{Host: "brest-9", Zone: "brest", Address: "brest-9"}
		c.start(p)
		defer c.kill(p.Host)
		time.Sleep(4 * time.Second)
		for _, n := range c.nodes {
			if m := c.seenBy(n.Host, p.Host); !m.Alive || m.Zone != p.Zone {
				t.Errorf("%s sees the new host as %+v", n.Host, m)
			}
		}
	})
}

// quietObserver is the state of an idle daemon with a readable log.
type quietObserver struct{}

func (quietObserver) ConfigVersion() int64 { return 12345 }
func (quietObserver) LogState() journal.State {
	return journal.State{Reachable: true, LastHead: time.Now().Add(-450 * time.Millisecond)}
}
func (quietObserver) Pending() []*peer.PendingZoneChange                   { return nil }
func (quietObserver) Observe(membership.Report, []*peer.PendingZoneChange) {}

// counted counts the bytes of a connection.
type counted struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

// pipes is a listener for connections in memory.
type pipes struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) connect(ctx context.Context, c net.Conn) error {
	select {
	case p.conns <- c:
		return nil
	case <-p.done:
		return net.ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *pipes) Close() error   { p.once.Do(func() { close(p.done) }); return nil }
func (p *pipes) Addr() net.Addr { return &net.IPAddr{} }

// Guards the traffic bound at the design size: with 13 zones and 104 hosts a host
// sends and receives less than 6 KB/s of heartbeats each way, HTTP/2 frames and
// headers included, and sees all hosts alive.
func TestHeartbeatTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const zones, perZone = 13, 8
		var sent, received atomic.Int64
		var all []membership.Peer
		for i := range zones * perZone {
			host := fmt.Sprintf("entry-%03d", i)
			all = append(all, membership.Peer{Host: model.HostID(host), Zone: model.Zone(fmt.Sprintf("zone-%02d", i/perZone)), Address: "http://" + host})
		}
		measured := all[0].Address
		servers := make(map[string]*peerserver.Server)
		listeners := make(map[string]*pipes)
		// Only the measured host's connections are real HTTP/2; the others are calls.
		dial := func(from string) func(string) peer.Peer {
			return func(to string) peer.Peer {
				if from != measured && to != measured {
					return directPeer{servers, to}
				}
				return membership.DialHTTPOver(to, func(ctx context.Context, _, _ string) (net.Conn, error) {
					a, b := net.Pipe()
					if from == measured {
						return counted{a, &sent, &received}, listeners[to].connect(ctx, b)
					}
					return a, listeners[to].connect(ctx, counted{b, &sent, &received})
				})
			}
		}
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		defer func() {
			cancel()
			for _, l := range listeners {
				l.Close()
			}
			wg.Wait()
		}()
		boards := make([]*blackboard.Board, len(all))
		var running []*membership.Membership
		for i, p := range all {
			boards[i] = blackboard.New()
			m := membership.New(membership.Options{Self: p, Peers: all, Members: &boards[i].Members, Dial: dial(p.Address)})
			m.Attach(quietObserver{})
			running = append(running, m)
			servers[p.Address] = &peerserver.Server{Members: m}
			l := &pipes{conns: make(chan net.Conn), done: make(chan struct{})}
			listeners[p.Address] = l
			srv := peerserver.NewHTTPServer(peerserver.Handler(servers[p.Address]))
			wg.Go(func() { _ = srv.Serve(l) })
			defer srv.Close()
		}
		for _, m := range running {
			wg.Go(func() { _ = m.Run(ctx) })
		}
		time.Sleep(5 * time.Second)
		sentBefore, receivedBefore := sent.Load(), received.Load()
		const window = 20
		for range window {
			time.Sleep(time.Second)
			for _, m := range boards[0].Members.List() {
				if !m.Alive {
					t.Fatalf("%s is not alive", m.Host)
				}
			}
		}
		out, in := (sent.Load()-sentBefore)/window, (received.Load()-receivedBefore)/window
		t.Logf("13 zones, 104 hosts: %d bytes/s sent, %d bytes/s received", out, in)
		if out >= 6000 || in >= 6000 {
			t.Errorf("heartbeats of %d and %d bytes/s, want less than 6000 each way", out, in)
		}
	})
}

// directPeer calls a server in this process.
type directPeer struct {
	servers map[string]*peerserver.Server
	to      string
}

func (d directPeer) Heartbeat(ctx context.Context, r *peer.HostReport) (*peer.HostReport, error) {
	return d.servers[d.to].Heartbeat(ctx, r)
}
func (directPeer) FetchConfig(context.Context, *peer.FetchConfigRequest) (*peer.ConfigText, error) {
	return nil, errNoAnswer
}
func (directPeer) CopyRecords(context.Context, *peer.CopyRecordsRequest) (*peer.CopyRecordsAnswer, error) {
	return nil, errNoAnswer
}
func (directPeer) Explain(context.Context, *peer.ExplainRequest) (*peer.ExplainAnswer, error) {
	return nil, errNoAnswer
}
func (directPeer) CallOutcome(context.Context, *peer.CallOutcomeRequest) (*peer.CallOutcomeAnswer, error) {
	return nil, errNoAnswer
}
