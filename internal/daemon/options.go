// Package daemon assembles the parts of daisyfoldd and runs them until a planned stop.
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

// Intervals and timeouts of the daemon.
const (
	hostListInterval  = time.Second
	hostListTimeout   = 2 * time.Second
	pruneInterval     = time.Minute
	readHeaderTimeout = 5 * time.Second
	// flushTimeout limits the last appends of a planned stop.
	flushTimeout = 5 * time.Second
)

// controllerPoolSize is the number of goroutines in the pool that runs controllers.
const controllerPoolSize = 4

// peerCounterPrefix is the name prefix of the counters of bytes between daemons.
const peerCounterPrefix = "peer"

// External holds the clients for everything outside the daemon's process, and the TLS
// configuration of its listeners. Tests replace it.
type External struct {
	Log      logservice.Log
	Workers  workerlink.Dialer
	HostList hostlist.Source
	Targets  targetCaller
	DialPeer func(address string) peer.Peer
	// CallerTLS and PeerTLS configure the listeners for callers and for peers; nil means
	// plain HTTP.
	CallerTLS, PeerTLS *tls.Config
}

// targetCaller sends calls to targets.
type targetCaller interface {
	targetlink.Caller
}

// Options configures a Daemon. Registry, Logger, Now and NewID may be nil; the defaults are a
// new registry, no logging, time.Now and random UUIDs.
type Options struct {
	Settings *settings.Settings
	External External
	Registry gometrics.Registry
	Logger   *zap.Logger
	Now      func() time.Time
	NewID    func() string
}

// NewExternal returns HTTP clients for the platform and the peers, and the TLS
// configuration of the listeners. The function hostCount returns the number of entry hosts.
// NewExternal returns an error if a certificate cannot be loaded.
func NewExternal(s *settings.Settings, r gometrics.Registry, hostCount func() int) (External, error) {
	e := External{
		Log:      logservice.New(s.Platform.Log, r),
		Workers:  workerlink.New(r),
		HostList: hostlist.New(s.Platform.HostList, r),
		Targets:  targetlink.NewClient(targetlink.Options{HostCount: hostCount}),
	}
	var err error
	if e.CallerTLS, err = auth.CallerTLS(s.TLS); err != nil {
		return External{}, trace.Wrap(err)
	}
	return e, trace.Wrap(e.configurePeerConnections(s, platformhttp.NewCounters(r, peerCounterPrefix)))
}

// configurePeerConnections sets the client for other daemons and the TLS configuration of
// the listener for them.
func (e *External) configurePeerConnections(s *settings.Settings, byteCounters platformhttp.Counters) error {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := membership.DialTCP(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return byteCounters.CountConn(conn), nil
	}
	peerTLS, err := auth.NewPeerTLS(s.TLS)
	if err != nil {
		return trace.Wrap(err)
	}
	transport := func() http.RoundTripper { return membership.NewHTTPTransport(dial) }
	if peerTLS != nil {
		e.PeerTLS = peerTLS.ServerConfig
		transport = func() http.RoundTripper { return membership.NewTLSTransport(peerTLS.WrapDial(dial)) }
	}
	e.DialPeer = func(address string) peer.Peer {
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

// listen opens the listeners for callers and for peers, or neither of them.
func listen(ctx context.Context, s *settings.Settings) (api, peers net.Listener, err error) {
	var listenConfig net.ListenConfig
	api, err = listenConfig.Listen(ctx, "tcp", s.Listen.API)
	if err != nil {
		return nil, nil, err
	}
	peers, err = listenConfig.Listen(ctx, "tcp", s.Listen.Peer)
	if err != nil {
		_ = api.Close()
		return nil, nil, err
	}
	return api, peers, nil
}
