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
		time.Sleep(100 * time.Microsecond) // the first heartbeats are on their way
		if got, ok := c.nodes[owner].members.Owner(shard); ok {
			t.Errorf("a host that heard of nobody yet names owner %s", got)
		}
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

// Guards D10: when a peer's connection goes silent while new ones work, heartbeats
// go on over a new one before the peer counts as dead.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1)
		defer c.close()
		l := &pipes{conns: make(chan net.Conn), done: make(chan struct{})}
		srv := peerserver.NewHTTPServer(peerserver.Handler(c.node(0).server))
		go func() { _ = srv.Serve(l) }()
		defer srv.Close()
		var silent atomic.Pointer[mutable]
		client := membership.NewHTTPClientWithDial("http://b", func(ctx context.Context, _, _ string) (net.Conn, error) {
			x, y := net.Pipe()
			conn := &mutable{Conn: x}
			silent.Store(conn)
			return conn, l.connect(ctx, y)
		})
		beat := func() error {
			_, err := client.Heartbeat(within(500*time.Millisecond), &peer.HostReport{Host: "a", Zone: "z"})
			return err
		}
		if err := beat(); err != nil {
			t.Fatal(err)
		}
		silent.Load().muted.Store(true)
		if beat() == nil {
			t.Fatal("a silent connection answered")
		}
		if err := beat(); err != nil {
			t.Errorf("the call after a silent one: %v", err)
		}
	})
}

// mutable is a connection that swallows what is sent once it is muted.
type mutable struct {
	net.Conn
	muted atomic.Bool
}

func (m *mutable) Write(b []byte) (int, error) {
	if m.muted.Load() {
		return len(b), nil
	}
	return m.Conn.Write(b)
}

// Guards the traffic bound at the design size: with 13 zones and 104 hosts a host
// sends and receives less than 6 KB/s of heartbeats each way, HTTP/2 frames and
// headers included, and sees all hosts alive. Only its connections are HTTP/2.
func TestHeartbeatTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var zones []model.Zone
		for i := range 13 {
			zones = append(zones, model.Zone(fmt.Sprintf("zone-%02d", i)))
		}
		c := newClusterOf(t, 1, zones, 8)
		defer c.close()
		var sent, received atomic.Int64
		measured := c.peers[0].Host
		listeners := make(map[model.HostID]*pipes)
		for _, p := range c.peers {
			listeners[p.Host] = &pipes{conns: make(chan net.Conn), done: make(chan struct{})}
		}
		c.wire = func(from, to model.HostID) peer.Peer {
			if from != measured && to != measured {
				return &link{c: c, from: from, to: to}
			}
			return membership.NewHTTPClientWithDial("http://"+string(to), func(ctx context.Context, _, _ string) (net.Conn, error) {
				a, b := net.Pipe()
				if from == measured {
					return counted{a, &sent, &received}, listeners[to].connect(ctx, b)
				}
				return a, listeners[to].connect(ctx, counted{b, &sent, &received})
			})
		}
		c.startAll()
		for host, l := range listeners {
			srv := peerserver.NewHTTPServer(peerserver.Handler(c.nodes[host].server))
			go func() { _ = srv.Serve(l) }()
			defer srv.Close()
		}
		time.Sleep(5 * time.Second)
		sentBefore, receivedBefore := sent.Load(), received.Load()
		const window = 12
		for range window {
			time.Sleep(time.Second)
			for _, m := range c.nodes[measured].board.Members.List() {
				if !m.Alive {
					t.Errorf("%s is not alive", m.Host)
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
