// Package daemon wires the parts of daisyfoldd together and runs them from start to
// planned stop.
package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/auth"
	"github.com/daisyfold/daisyfold/internal/membership"
	"github.com/daisyfold/daisyfold/internal/platform/hostlist"
	"github.com/daisyfold/daisyfold/internal/platform/logservice"
	"github.com/daisyfold/daisyfold/internal/platform/platformhttp"
	"github.com/daisyfold/daisyfold/internal/platform/targetlink"
	"github.com/daisyfold/daisyfold/internal/platform/workerlink"
	"github.com/daisyfold/daisyfold/internal/rpc/peer"
	"github.com/daisyfold/daisyfold/internal/settings"
	"github.com/daisyfold/daisyfold/internal/tracing"
)

// Times of the daemon's own loops.
const (
	hostListInterval = time.Second
	hostListTimeout  = 2 * time.Second
	pruneInterval    = time.Minute
	readHeader       = 5 * time.Second
	// flushTimeout bounds the last appends of a planned stop.
	flushTimeout = 5 * time.Second
)

// controllerWorkers is the size of the pool that runs controllers.
const controllerWorkers = 4

// peerBytes begins the names of the counters of bytes between daemons.
const peerBytes = "peer"

// Outside is what the daemon reaches outside its process. Tests replace it.
type Outside struct {
	Log     logservice.Log
	Workers workerlink.Dialer
	Hosts   hostlist.Source
	Targets targetCaller
	Dial    func(address string) peer.Peer
	// CallerTLS and PeerTLS configure the listeners; nil stands for plain HTTP.
	CallerTLS, PeerTLS *tls.Config
}

// targetCaller is the client to targets with its housekeeping.
type targetCaller interface {
	targetlink.Caller
}

// Options configure a Daemon.
type Options struct {
	Settings *settings.Settings
	Outside  Outside
	Registry gometrics.Registry
	Logger   *zap.Logger
	Now      func() time.Time
	NewID    func() string
}

// Network returns the clients that reach the platform and the peers over HTTP, and the
// certificates of the listeners. It fails when a certificate cannot be used.
func Network(s *settings.Settings, r gometrics.Registry, hosts func() int) (Outside, error) {
	o := Outside{
		Log:     logservice.New(s.Platform.Log, r),
		Workers: workerlink.New(r),
		Hosts:   hostlist.New(s.Platform.HostList, r),
		Targets: targetlink.NewClient(targetlink.Options{HostCount: hosts}),
	}
	var err error
	if o.CallerTLS, err = auth.CallerTLS(s.TLS); err != nil {
		return Outside{}, trace.Wrap(err)
	}
	return o, trace.Wrap(o.secure(s, platformhttp.NewCounters(r, peerBytes)))
}

// secure sets up the connections between daemons in both directions.
func (o *Outside) secure(s *settings.Settings, bytes platformhttp.Counters) error {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := membership.DialTCP(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return bytes.CountConn(conn), nil
	}
	peers, err := auth.NewPeerTLS(s.TLS)
	if err != nil {
		return trace.Wrap(err)
	}
	transport := func() http.RoundTripper { return membership.NewHTTPTransport(dial) }
	if peers != nil {
		o.PeerTLS = peers.Server
		transport = func() http.RoundTripper { return membership.NewTLSTransport(peers.Over(dial)) }
	}
	o.Dial = func(address string) peer.Peer {
		return membership.NewClient(address, tracing.Transport(tracing.HopPeer, transport()))
	}
	return nil
}

func (o *Options) setDefaults() {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.NewID == nil {
		o.NewID = func() string { return uuid.NewString() }
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Registry == nil {
		o.Registry = gometrics.NewRegistry()
	}
}

// listen opens both listeners or none.
func listen(ctx context.Context, s *settings.Settings) (api, peers net.Listener, err error) {
	var lc net.ListenConfig
	api, err = lc.Listen(ctx, "tcp", s.Listen.API)
	if err != nil {
		return nil, nil, err
	}
	peers, err = lc.Listen(ctx, "tcp", s.Listen.Peer)
	if err != nil {
		_ = api.Close()
		return nil, nil, err
	}
	return api, peers, nil
}
