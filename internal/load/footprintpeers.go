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

// reportedLogAge is the age of the last log read that the peers report.
const reportedLogAge = 100 * time.Millisecond

// simulatedPeers is the other entry hosts. They exchange heartbeats with the daemon over the
// network, and with each other by calls within this process.
type simulatedPeers struct {
	members          []*membership.Membership
	servers          []*http.Server
	transferredBytes atomic.Int64 // read and written on all connections with the daemon
	maxConfigVersion atomic.Int64 // highest reported configuration version
	cancel           context.CancelFunc
}

// startPeers starts the peers for all hosts but the first, which is the daemon's.
func startPeers(ctx context.Context, hosts []membership.Peer) (*simulatedPeers, error) {
	p := &simulatedPeers{}
	local := map[string]peer.Peer{}
	newClient := func(address string) peer.Peer {
		if address == hosts[0].Address {
			return membership.NewHTTPClientWithDial(address, p.dial)
		}
		return local[address]
	}
	servers := map[string]*peerserver.Server{}
	for _, h := range hosts[1:] {
		servers[h.Address] = &peerserver.Server{Configs: emptyConfigHandler{}, Copies: p}
		local[h.Address] = servers[h.Address]
	}
	for _, h := range hosts[1:] {
		m := membership.New(membership.Options{
			Self: h, Peers: hosts, Members: &blackboard.MemberTable{}, NewClient: newClient,
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

// listen starts the HTTP server of a peer.
func (p *simulatedPeers) listen(ctx context.Context, h membership.Peer, s *peerserver.Server) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", strings.TrimPrefix(h.Address, "http://"))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	server := peerserver.NewHTTPServer(peerserver.Handler(s))
	p.servers = append(p.servers, server)
	go func() {
		if err := server.Serve(&countingListener{listener, p}); !errors.Is(err, http.ErrServerClosed) {
			panic(err) // without this peer the measurement is wrong
		}
	}()
	return nil
}

// dial opens a connection to the daemon whose bytes are counted.
func (p *simulatedPeers) dial(ctx context.Context, network, address string) (net.Conn, error) {
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
	peers *simulatedPeers
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, l.peers}, nil
}

// countingConn counts the bytes that it reads and writes.
type countingConn struct {
	net.Conn
	peers *simulatedPeers
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.peers.transferredBytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.peers.transferredBytes.Add(int64(n))
	return n, err
}

func (p *simulatedPeers) close() {
	if p.cancel != nil {
		p.cancel()
	}
	for _, s := range p.servers {
		_ = s.Close()
	}
}

// ConfigVersion implements membership.Observer. The peers report the highest version that
// the daemon reported, so that neither side fetches a configuration from the other.
func (p *simulatedPeers) ConfigVersion() int64 { return p.maxConfigVersion.Load() }

// LogState implements membership.Observer.
func (p *simulatedPeers) LogState() journal.State {
	return journal.State{Reachable: true, Answering: true, LastHeadRead: time.Now().Add(-reportedLogAge)}
}

// PendingChanges implements membership.Observer.
func (p *simulatedPeers) PendingChanges() []*peer.PendingZoneChange { return nil }

// HandleReport implements membership.Observer.
func (p *simulatedPeers) HandleReport(r membership.Report, _ []*peer.PendingZoneChange) {
	for old := p.maxConfigVersion.Load(); r.ConfigVersion > old; old = p.maxConfigVersion.Load() {
		p.maxConfigVersion.CompareAndSwap(old, r.ConfigVersion)
	}
}

// Store implements peerserver.RecordStore.
func (p *simulatedPeers) Store([]journal.StreamRecord) bool { return true }

// emptyConfigHandler answers fetches with an empty configuration.
type emptyConfigHandler struct{}

// HandleFetch implements peerserver.ConfigFetchHandler.
func (emptyConfigHandler) HandleFetch(*peer.FetchConfigRequest) *peer.ConfigText {
	return &peer.ConfigText{}
}
