package load

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/membership"
	"github.com/daisyfold/daisyfold/internal/peerserver"
	"github.com/daisyfold/daisyfold/internal/rpc/peer"
)

// logAge is the age of the log reading that the peers report.
const logAge = 100 * time.Millisecond

// peerSet plays the other entry hosts: they exchange real heartbeats with the daemon
// over the network and with each other by calls within this process.
type peerSet struct {
	members []*membership.Membership
	servers []*http.Server
	bytes   atomic.Int64 // of all connections with the daemon, both ways
	version atomic.Int64 // the highest version that a report carried
	cancel  context.CancelFunc
}

// startPeers starts all hosts but the first, which is the daemon's.
func startPeers(ctx context.Context, hosts []membership.Peer) (*peerSet, error) {
	p := &peerSet{}
	local := map[string]peer.Peer{}
	dial := func(address string) peer.Peer {
		if address == hosts[0].Address {
			return membership.NewHTTPClientWithDial(address, p.dial)
		}
		return local[address]
	}
	servers := map[string]*peerserver.Server{}
	for _, h := range hosts[1:] {
		servers[h.Address] = &peerserver.Server{Configs: noConfig{}, Copies: p}
		local[h.Address] = servers[h.Address]
	}
	for _, h := range hosts[1:] {
		m := membership.New(membership.Options{
			Self: h, Peers: hosts, Members: &blackboard.MemberTable{}, NewClient: dial,
		})
		m.SetObserver(p)
		servers[h.Address].Members = m
		p.members = append(p.members, m)
		if err := p.listen(ctx, h, servers[h.Address]); err != nil {
			p.close()
			return nil, trace.Wrap(err)
		}
	}
	ctx, p.cancel = context.WithCancel(ctx)
	for _, m := range p.members {
		go func() { _ = m.Run(ctx) }()
	}
	return p, nil
}

func (p *peerSet) listen(ctx context.Context, h membership.Peer, s *peerserver.Server) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", strings.TrimPrefix(h.Address, "http://"))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	server := peerserver.NewHTTPServer(peerserver.Handler(s))
	p.servers = append(p.servers, server)
	go func() {
		if err := server.Serve(&countingListener{listener, p}); !errors.Is(err, http.ErrServerClosed) {
			panic(err) // the measurement lacks a peer
		}
	}()
	return nil
}

// dial opens a counted connection to the daemon.
func (p *peerSet) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, p}, nil
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	peers *peerSet
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, l.peers}, nil
}

// countingConn adds its bytes to those of the peers.
type countingConn struct {
	net.Conn
	peers *peerSet
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.peers.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.peers.bytes.Add(int64(n))
	return n, err
}

func (p *peerSet) close() {
	if p.cancel != nil {
		p.cancel()
	}
	for _, s := range p.servers {
		_ = s.Close()
	}
}

// ConfigVersion implements membership.Observer. The peers report the highest version
// that the daemon reported, so that neither fetches from the other.
func (p *peerSet) ConfigVersion() int64 { return p.version.Load() }

// LogState implements membership.Observer.
func (p *peerSet) LogState() journal.State {
	return journal.State{Reachable: true, Answering: true, LastHeadRead: time.Now().Add(-logAge)}
}

// PendingChanges implements membership.Observer.
func (p *peerSet) PendingChanges() []*peer.PendingZoneChange { return nil }

// HandleReport implements membership.Observer.
func (p *peerSet) HandleReport(r membership.Report, _ []*peer.PendingZoneChange) {
	for old := p.version.Load(); r.ConfigVersion > old; old = p.version.Load() {
		p.version.CompareAndSwap(old, r.ConfigVersion)
	}
}

// Store implements peerserver.RecordStore.
func (p *peerSet) Store([]journal.StreamRecord) bool { return true }

// noConfig answers fetches without a text.
type noConfig struct{}

// HandleFetch implements peerserver.ConfigFetchHandler.
func (noConfig) HandleFetch(*peer.FetchConfigRequest) *peer.ConfigText { return &peer.ConfigText{} }
