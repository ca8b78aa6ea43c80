package engine_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/daisyfold/daisyfold/internal/engine/relay"
)

// peerLatency is the time of a call between hosts in each direction.
const peerLatency = time.Millisecond

// peerFault is what happens to the calls to a host.
type peerFault int

const (
	noPeerFault      peerFault = iota
	peerGone                   // no connection
	peerSilent                 // the call gets lost
	peerAnswerLost             // the call is executed, the answer gets lost
	peerExecutesLate           // the call is executed two seconds later
)

// peerNetwork connects the hosts of a cluster. It implements relay.Transport.
type peerNetwork struct {
	mu     sync.Mutex
	hosts  map[string]*relay.Service // by address
	faults map[string]peerFault      // by address
	calls  int
	rng    *rand.Rand // draws a fault for one call in eight, if set
}

func newPeerNetwork() *peerNetwork {
	return &peerNetwork{hosts: map[string]*relay.Service{}, faults: map[string]peerFault{}}
}

// peerAddress returns the address of the host with the given name.
func peerAddress(name string) string {
	return fmt.Sprintf("10.1.0.%s:7000", strings.TrimPrefix(name, "host-"))
}

// hostZone returns the zone of a host: even hosts are in one zone, odd ones in another.
func hostZone(name string) string {
	return fmt.Sprintf("zone-%d", name[len(name)-1]%2)
}

func (n *peerNetwork) add(name string, s *relay.Service) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[peerAddress(name)] = s
}

func (n *peerNetwork) injectFaults(seed uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rng = rand.New(rand.NewPCG(seed, 11))
}

func (n *peerNetwork) setFault(name string, f peerFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[peerAddress(name)] = f
}

func (n *peerNetwork) callCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls
}

// target returns the host at an address and the fault of the next call to it.
func (n *peerNetwork) target(address string) (*relay.Service, peerFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls++
	f := n.faults[address]
	if f == noPeerFault && n.rng != nil && n.rng.IntN(8) == 0 {
		f = peerFault(1 + n.rng.IntN(int(peerExecutesLate)))
	}
	return n.hosts[address], f
}

// Send implements relay.Transport.
func (n *peerNetwork) Send(ctx context.Context, address string, r relay.Request) (relay.Reply, error) {
	host, fault := n.target(address)
	time.Sleep(peerLatency)
	switch {
	case host == nil || fault == peerGone:
		return relay.Reply{}, trace.Wrap(relay.ErrUnreachable)
	case fault == peerExecutesLate:
		time.AfterFunc(2*time.Second, func() { _, _ = host.Execute(context.Background(), r) })
		fallthrough
	case fault == peerSilent:
		<-ctx.Done()
		return relay.Reply{}, ctx.Err()
	}
	reply, err := host.Execute(ctx, r)
	time.Sleep(peerLatency)
	if fault == peerAnswerLost {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return relay.Reply{}, ctx.Err()
	}
	return reply, err
}
