package load

import (
	"strings"
	"sync"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/faultproxy"
	"github.com/daisyfold/daisyfold/internal/model"
)

// Ends of a daemon's links to the platform. The other links end at a host.
const (
	endLog     = "log"
	endWorkers = "workers" // workers and targets
	endList    = "hostlist"
)

// link is one daemon's link to another host or to a part of the platform.
type link struct {
	from, to string
	proxy    *faultproxy.Proxy
}

// links are all links of a cluster.
type links struct {
	mu  sync.Mutex
	all []link
}

func newLinks() *links { return &links{} }

// route puts a proxy into each link that the settings name. newList returns the
// address of a host list whose workers and targets are at the given address.
func (l *links) route(s *daemonSettings, address string, newList func(workers string) (string, error)) error {
	logs, err := l.add(s.Host, endLog, address)
	if err != nil {
		return trace.Wrap(err)
	}
	workers, err := l.add(s.Host, endWorkers, address)
	if err != nil {
		return trace.Wrap(err)
	}
	own, err := newList(workers)
	if err != nil {
		return trace.Wrap(err)
	}
	list, err := l.add(s.Host, endList, own)
	if err != nil {
		return trace.Wrap(err)
	}
	s.Platform.Log = "http://" + logs
	s.Platform.HostList = "http://" + list
	for i, peer := range s.Peers {
		through, err := l.add(s.Host, string(peer.Host), strings.TrimPrefix(peer.Address, "http://"))
		if err != nil {
			return trace.Wrap(err)
		}
		s.Peers[i].Address = "http://" + through
	}
	return nil
}

// add starts a proxy and returns its address.
func (l *links) add(from model.HostID, to, address string) (string, error) {
	proxy, err := faultproxy.Listen(address)
	if err != nil {
		return "", trace.Wrap(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, link{from: string(from), to: to, proxy: proxy})
	return proxy.Address(), nil
}

// each calls change for every link between an end that a matches and one that b
// matches. forward is true when a's end opens the connections.
func (l *links) each(a, b func(end string) bool, change func(proxy *faultproxy.Proxy, forward bool)) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, one := range l.all {
		forward := a(one.from) && b(one.to)
		if forward || (a(one.to) && b(one.from)) {
			change(one.proxy, forward)
			n++
		}
	}
	return n
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, one := range l.all {
		one.proxy.Close()
	}
}
