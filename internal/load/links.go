package load

import (
	"strings"
	"sync"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/faultproxy"
	"github.com/daisyfold/daisyfold/internal/model"
)

// Ends of the links between a daemon and the platform. The other links end at a host.
const (
	linkEndLog      = "log"
	linkEndWorkers  = "workers" // workers and targets
	linkEndHostList = "hostlist"
)

// link is the link from a daemon to another host or to a part of the platform.
type link struct {
	from, to string
	proxy    *faultproxy.Proxy
}

// proxiedLinks is all links of a cluster, each through a proxy.
type proxiedLinks struct {
	mu  sync.Mutex
	all []link
}

func newProxiedLinks() *proxiedLinks { return &proxiedLinks{} }

// insertProxies starts a proxy for each link in the settings and replaces the address by that
// of the proxy. newHostList returns the address of a host list whose workers and targets have
// the given address.
func (l *proxiedLinks) insertProxies(s *daemonSettings, platformAddress string, newHostList func(workerProxy string) (string, error)) error {
	logProxy, err := l.addProxy(s.Host, linkEndLog, platformAddress)
	if err != nil {
		return trace.Wrap(err)
	}
	workerProxy, err := l.addProxy(s.Host, linkEndWorkers, platformAddress)
	if err != nil {
		return trace.Wrap(err)
	}
	hostList, err := newHostList(workerProxy)
	if err != nil {
		return trace.Wrap(err)
	}
	hostListProxy, err := l.addProxy(s.Host, linkEndHostList, hostList)
	if err != nil {
		return trace.Wrap(err)
	}
	s.Platform.Log = "http://" + logProxy
	s.Platform.HostList = "http://" + hostListProxy
	for i, peer := range s.Peers {
		peerProxy, err := l.addProxy(s.Host, string(peer.Host), strings.TrimPrefix(peer.Address, "http://"))
		if err != nil {
			return trace.Wrap(err)
		}
		s.Peers[i].Address = "http://" + peerProxy
	}
	return nil
}

// addProxy starts a proxy that forwards to address, and returns the proxy's address.
func (l *proxiedLinks) addProxy(from model.HostID, to, address string) (string, error) {
	proxy, err := faultproxy.Listen(address)
	if err != nil {
		return "", trace.Wrap(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, link{from: string(from), to: to, proxy: proxy})
	return proxy.Address(), nil
}

// forEachBetween calls change for each link between an end that a matches and an end that b
// matches, and returns their number. forward is true if the end that a matches opens the
// connections.
func (l *proxiedLinks) forEachBetween(a, b func(end string) bool, change func(proxy *faultproxy.Proxy, forward bool)) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, link := range l.all {
		forward := a(link.from) && b(link.to)
		if forward || (a(link.to) && b(link.from)) {
			change(link.proxy, forward)
			n++
		}
	}
	return n
}

func (l *proxiedLinks) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.all {
		link.proxy.Close()
	}
}
