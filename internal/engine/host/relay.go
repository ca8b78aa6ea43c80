package host

import (
	"context"
	"errors"
	"net"
	"net/netip"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/daisyfold/daisyfold/internal/engine/drain"
	"github.com/daisyfold/daisyfold/internal/engine/guard"
	"github.com/daisyfold/daisyfold/internal/engine/relay"
	"github.com/daisyfold/daisyfold/platform"
)

// peerTransport returns the transport for calls to other hosts, or nil if the settings have no
// ports for them.
func peerTransport(s *platform.Settings) relay.Transport {
	if s.PeerPorts[0] == 0 {
		return nil
	}
	return relay.NewHTTPTransport()
}

// serveRelay serves the calls of other hosts and registers this host with them. It returns a
// function that closes the server. Without a free port this host relays calls and takes none.
func (h *Host) serveRelay(ctx context.Context, group *errgroup.Group) (closeServer func()) {
	if h.engine.Relay == nil {
		return func() {}
	}
	listener, err := h.listenForPeers()
	if err != nil {
		h.log.Warn("no port is free for relayed calls", zap.Error(err))
		return func() {}
	}
	limits := drain.Limits{Conns: func() int { return guard.MaxPeerConns }, Evicted: func() { h.guard.Refuse(guard.Connections) }}
	server := drain.NewServer(h.newServer(relay.NewHandler(h.engine.Relay, h.guard)), limits, h.log)
	group.Go(func() error { return server.Serve(listener) })
	group.Go(func() error {
		if err := h.engine.Relay.Register(ctx, listener.Addr().String()); !errors.Is(err, context.Canceled) {
			return err
		}
		return nil
	})
	return server.Close // calls of peers were refused since the stop began
}

// listenForPeers listens on the first free port for calls between hosts.
func (h *Host) listenForPeers() (*net.TCPListener, error) {
	var firstErr error
	for port := int(h.settings.PeerPorts[0]); port <= int(h.settings.PeerPorts[1]); port++ {
		l, err := listen(netip.AddrPortFrom(h.settings.FrontAddress.Addr(), uint16(port)).String())
		if err == nil {
			return l, nil
		}
		if firstErr == nil {
			firstErr = err
		}
	}
	return nil, firstErr
}
