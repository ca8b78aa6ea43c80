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

// memberSeenBy returns the entry of other in the member list of host.
func (c *cluster) memberSeenBy(host, other model.HostID) blackboard.Member {
	for _, m := range c.hosts[host].board.Members.List() {
		if m.Host == other {
			return m
		}
	}
	return blackboard.Member{}
}

// TestLiveHostsOwnShards guards against a silent host that keeps its shards, a live host
// that loses them, two owners of a shard among hosts that see each other, and a
// restarted host that is ignored because its wall clock was set back.
func TestLiveHostsOwnShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 2)
		defer c.close()
		shard := model.ShardID{Zone: "brest"}
		owner, _ := c.hosts["quimper-0"].members.Owner(shard)
		other := model.HostID("brest-0")
		if owner == other {
			other = "brest-1"
		}
		p := c.hosts[owner].Peer
		c.kill(owner)
		time.Sleep(1400 * time.Millisecond)
		if !c.memberSeenBy(other, owner).Alive {
			t.Error("a host counts as dead after 1.4 s of silence in its zone")
		}
		time.Sleep(750 * time.Millisecond)
		if c.memberSeenBy(other, owner).Alive {
			t.Error("a host counts as alive after 2.1 s of silence in its zone")
		}
		time.Sleep(time.Second)
		for _, h := range c.hosts {
			if got, ok := h.members.Owner(shard); !ok || got != other {
				t.Errorf("%s sees owner %q, want %s", h.Host, got, other)
			}
		}
		c.clockSetBack = time.Hour
		c.start(p)
		time.Sleep(100 * time.Microsecond) // the first heartbeats are not delivered yet
		if got, ok := c.hosts[owner].members.Owner(shard); ok {
			t.Errorf("a host without any heartbeat reports owner %s", got)
		}
		time.Sleep(2 * time.Second)
		for _, h := range c.hosts {
			if got, _ := h.members.Owner(shard); got != owner {
				t.Errorf("%s sees owner %q after the restart, want %s", h.Host, got, owner)
			}
		}
		c.hosts[owner].members.SetLeaving(context.Background())
		time.Sleep(time.Millisecond)
		for _, h := range c.hosts {
			if got, _ := h.members.Owner(shard); got != other {
				t.Errorf("%s sees owner %q while the owner leaves, want %s", h.Host, got, other)
			}
		}
	})
}

// TestUnknownHostIsDiscovered guards against ignoring a replacement host that is not in
// the settings of the others: they must discover it from its heartbeats.
func TestUnknownHostIsDiscovered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 2)
		defer c.close()
		p := membership.Peer{Host: "brest-9", Zone: "brest", Address: "brest-9"}
		c.start(p)
		defer c.kill(p.Host)
		time.Sleep(4 * time.Second)
		for _, h := range c.hosts {
			if m := c.memberSeenBy(h.Host, p.Host); !m.Alive || m.Zone != p.Zone {
				t.Errorf("%s sees the new host as %+v", h.Host, m)
			}
		}
	})
}

// countingConn counts the bytes that are written to and read from a connection.
type countingConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

// memoryListener is a listener for in-memory connections.
type memoryListener struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) connect(ctx context.Context, c net.Conn) error {
	select {
	case l.conns <- c:
		return nil
	case <-l.done:
		return net.ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *memoryListener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *memoryListener) Addr() net.Addr { return &net.IPAddr{} }

// TestSilentConnectionIsReplaced guards against a peer that counts as dead because its
// connection drops all data, while new connections work: the next heartbeat must use a
// new connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1)
		defer c.close()
		l := &memoryListener{conns: make(chan net.Conn), done: make(chan struct{})}
		srv := peerserver.NewHTTPServer(peerserver.Handler(c.host(0).server))
		go func() { _ = srv.Serve(l) }()
		defer srv.Close()
		var lastConn atomic.Pointer[silenceableConn]
		client := membership.NewHTTPClientWithDial("http://b", func(ctx context.Context, _, _ string) (net.Conn, error) {
			clientEnd, serverEnd := net.Pipe()
			conn := &silenceableConn{Conn: clientEnd}
			lastConn.Store(conn)
			return conn, l.connect(ctx, serverEnd)
		})
		sendHeartbeat := func() error {
			_, err := client.Heartbeat(contextWithTimeout(500*time.Millisecond), &peer.HostReport{Host: "a", Zone: "z"})
			return err
		}
		if err := sendHeartbeat(); err != nil {
			t.Fatal(err)
		}
		lastConn.Load().silenced.Store(true)
		if sendHeartbeat() == nil {
			t.Fatal("the call on a silenced connection succeeded")
		}
		if err := sendHeartbeat(); err != nil {
			t.Errorf("the call after the failed one: %v", err)
		}
	})
}

// silenceableConn is a connection that discards what is written to it once it is
// silenced.
type silenceableConn struct {
	net.Conn
	silenced atomic.Bool
}

func (c *silenceableConn) Write(b []byte) (int, error) {
	if c.silenced.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// TestHeartbeatTraffic guards the limit on heartbeat traffic at the design size of 13
// zones and 104 hosts: a host must send and receive less than 6 KB/s each, with HTTP/2
// frames and headers, and see all hosts alive. Only the connections of the measured
// host use HTTP/2.
func TestHeartbeatTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var zones []model.Zone
		for i := range 13 {
			zones = append(zones, model.Zone(fmt.Sprintf("zone-%02d", i)))
		}
		c := newStoppedCluster(t, 1, zones, 8)
		defer c.close()
		var sent, received atomic.Int64
		measured := c.peers[0].Host
		listeners := make(map[model.HostID]*memoryListener)
		for _, p := range c.peers {
			listeners[p.Host] = &memoryListener{conns: make(chan net.Conn), done: make(chan struct{})}
		}
		c.dial = func(from, to model.HostID) peer.Peer {
			if from != measured && to != measured {
				return &peerLink{cluster: c, from: from, to: to}
			}
			return membership.NewHTTPClientWithDial("http://"+string(to), func(ctx context.Context, _, _ string) (net.Conn, error) {
				clientEnd, serverEnd := net.Pipe()
				if from == measured {
					return countingConn{clientEnd, &sent, &received}, listeners[to].connect(ctx, serverEnd)
				}
				return clientEnd, listeners[to].connect(ctx, countingConn{serverEnd, &sent, &received})
			})
		}
		c.startAll()
		for host, l := range listeners {
			srv := peerserver.NewHTTPServer(peerserver.Handler(c.hosts[host].server))
			go func() { _ = srv.Serve(l) }()
			defer srv.Close()
		}
		time.Sleep(5 * time.Second)
		sentBefore, receivedBefore := sent.Load(), received.Load()
		const windowSeconds = 12
		for range windowSeconds {
			time.Sleep(time.Second)
			for _, m := range c.hosts[measured].board.Members.List() {
				if !m.Alive {
					t.Errorf("%s is not alive", m.Host)
				}
			}
		}
		out, in := (sent.Load()-sentBefore)/windowSeconds, (received.Load()-receivedBefore)/windowSeconds
		t.Logf("13 zones, 104 hosts: %d bytes/s sent, %d bytes/s received", out, in)
		if out >= 6000 || in >= 6000 {
			t.Errorf("heartbeats took %d bytes/s sent and %d bytes/s received, want less than 6000 each", out, in)
		}
	})
}
