package membership

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/rpc/peer"
)

// heartbeatOwnZone sends one heartbeat to every other host of this host's zone.
func (m *Membership) heartbeatOwnZone(ctx context.Context) {
	for _, p := range m.zonePeers(m.opts.Self.Zone) {
		m.heartbeats.Go(func() { m.sendHeartbeat(ctx, p, ownZoneHeartbeatTimeout) })
	}
}

// heartbeatOtherZones sends one heartbeat to one host of every other zone.
func (m *Membership) heartbeatOtherZones(ctx context.Context) {
	m.mu.Lock()
	m.rotation++
	rotation := m.rotation + m.indexInZone()
	zones := m.otherZones()
	m.mu.Unlock()
	for _, z := range zones {
		m.heartbeats.Go(func() { m.heartbeatZone(ctx, z, rotation) })
	}
}

// heartbeatZone sends a heartbeat to at most two live hosts of a zone, until one of them
// answers. rotation selects the first.
func (m *Membership) heartbeatZone(ctx context.Context, zone model.Zone, rotation int) {
	candidates := m.heartbeatCandidates(zone)
	for i := range min(2, len(candidates)) {
		p := candidates[(rotation+i)%len(candidates)]
		if m.sendHeartbeat(ctx, p, otherZoneHeartbeatTimeout) {
			return
		}
	}
}

// heartbeatCandidates returns the live hosts of a zone, or all of its hosts if none is
// alive.
func (m *Membership) heartbeatCandidates(zone model.Zone) []*peerState {
	all := m.zonePeers(zone)
	now := m.opts.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var live []*peerState
	for _, p := range all {
		if m.alive(p, now) {
			live = append(live, p)
		}
	}
	if len(live) == 0 {
		return all
	}
	return live
}

// probeSilentHost sends an extra heartbeat to one silent host of another zone, in rotation.
// After a network partition both sides may count each other as dead and would otherwise
// not call each other again.
func (m *Membership) probeSilentHost(ctx context.Context) {
	now := m.opts.Now()
	m.mu.Lock()
	var silent []*peerState
	for _, p := range m.sortedPeers() {
		if p.Zone != m.opts.Self.Zone && !m.alive(p, now) {
			silent = append(silent, p)
		}
	}
	rotation := m.rotation
	m.mu.Unlock()
	if len(silent) == 0 {
		return
	}
	m.heartbeats.Go(func() { m.sendHeartbeat(ctx, silent[rotation%len(silent)], otherZoneHeartbeatTimeout) })
}

// Announce sends a heartbeat to every host at once and waits for the answers. It spreads a
// new configuration version or a pending change without waiting for the next heartbeat.
func (m *Membership) Announce(ctx context.Context) {
	var wg sync.WaitGroup
	for _, p := range m.allPeers() {
		wg.Go(func() { m.exchangeReports(ctx, p, ownZoneHeartbeatTimeout) })
	}
	wg.Wait()
}

// sendHeartbeat sends one heartbeat unless another one to the peer is in flight, and
// reports whether it was answered and accepted.
func (m *Membership) sendHeartbeat(ctx context.Context, p *peerState, timeout time.Duration) bool {
	m.mu.Lock()
	alreadyInFlight := p.heartbeatInFlight
	p.heartbeatInFlight = true
	m.mu.Unlock()
	if alreadyInFlight {
		return false
	}
	ok := m.exchangeReports(ctx, p, timeout)
	m.mu.Lock()
	p.heartbeatInFlight = false
	m.mu.Unlock()
	return ok
}

// exchangeReports sends this host's report to a peer, stores the answer, and reports whether
// the answer was accepted.
func (m *Membership) exchangeReports(ctx context.Context, p *peerState, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req := m.ownReport()
	req.Zone = string(m.opts.Self.Zone)
	m.mu.Lock()
	if p.addressRequested {
		req.Address = m.opts.Self.Address
		p.addressRequested = false
	}
	m.mu.Unlock()
	sent := m.opts.Now()
	ans, err := p.client.Heartbeat(ctx, req)
	if err != nil {
		return false
	}
	if ans.Host != string(p.Host) {
		m.opts.Logger.Warn("a different host answered at the peer's address",
			zap.String("peer", string(p.Host)), zap.String("answered", ans.Host))
		return false
	}
	if !m.storeReport(p, ans, sent, false) {
		return false
	}
	m.storeContacts(ans, sent)
	return true
}

// HandleHeartbeat stores the report of a peer's heartbeat and returns the answer. The
// answer asks an unknown host for its address. A host that sent its address is added to the
// peers.
func (m *Membership) HandleHeartbeat(req *peer.HostReport) *peer.HostReport {
	now := m.opts.Now()
	host := model.HostID(req.Host)
	m.mu.Lock()
	p := m.peers[host]
	if p == nil && req.Address != "" && host != m.opts.Self.Host {
		p = m.addLearnedPeer(req)
	}
	m.mu.Unlock()
	if p == nil {
		ans := m.ownReport()
		ans.WantAddress = true
		return ans
	}
	m.storeReport(p, req, now, true)
	var contacts sharedContacts
	if p.Zone == m.opts.Self.Zone {
		contacts = m.contactsToShare(p, m.observer.ConfigVersion())
	}
	// The own report is created after the contacts are read, so that it contains every
	// version and pending change that came with them.
	ans := m.ownReport()
	ans.Contacts, ans.Callers = contacts.answers, contacts.callers
	return ans
}

// ownReport returns the report of this host without its zone and address. Requests add
// them; an answer needs neither, because the caller knows the host that it called.
func (m *Membership) ownReport() *peer.HostReport {
	m.mu.Lock()
	leaving := m.leaving
	m.mu.Unlock()
	// The log state is read before the version, so that the version includes every change
	// that the last log read found.
	log := m.observer.LogState()
	report := &peer.HostReport{
		Host: string(m.opts.Self.Host), Incarnation: m.opts.Incarnation, Leaving: leaving,
		ConfigVersion: m.observer.ConfigVersion(), LogReachable: log.Reachable,
		LogAgeMs: m.ageMS(log.LastHeadRead), Pending: m.observer.PendingChanges(),
	}
	return report
}

// ageMS returns the age of t in milliseconds, rounded up, or -1 for the zero time.
func (m *Membership) ageMS(t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return int64((m.opts.Now().Sub(t) + time.Millisecond - 1) / time.Millisecond)
}

// sharedContacts are the contacts with hosts of other zones that the hosts of a zone share
// with each other.
type sharedContacts struct {
	answers []*peer.HostContact // hosts that answered a heartbeat of this host
	callers []uint32            // hashes of hosts that only sent a heartbeat to this host
}

// contactsToShare returns the contacts with other zones since the last answer to p. Every
// host calls some host of each zone once per otherZoneHeartbeatInterval. Because callers are
// shared as well, every host of a zone learns of every live host whatever the order of the
// rotations. A report of a configuration version above this host's own version is not
// shared, because the receiver could not tell that it lacks that version. Contacts that a
// peer shared are not shared further for the same reason.
func (m *Membership) contactsToShare(p *peerState, version int64) sharedContacts {
	m.mu.Lock()
	defer m.mu.Unlock()
	since := p.sharedAt
	p.sharedAt = m.opts.Now()
	var out sharedContacts
	for _, c := range m.peers {
		if c.Zone == m.opts.Self.Zone {
			continue
		}
		if notBefore(c.answeredAt, since) && c.directReport.ConfigVersion <= version {
			out.answers = append(out.answers, &peer.HostContact{
				HostHash: hostHash(c.Host), AgeMs: uint32(m.ageMS(c.directReport.ReportedAt)),
				LogUnreachable: !c.directReport.LogReachable, LogAgeMs: int32(m.ageMS(c.directReport.LogReadAt)),
			})
		} else if notBefore(c.calledAt, since) {
			out.callers = append(out.callers, hostHash(c.Host))
		}
	}
	return out
}

// hostHash returns the hash that identifies a host in shared contacts.
func hostHash(host model.HostID) uint32 { return uint32(xxhash.Sum64String(string(host))) }

// notBefore reports whether t is set and not before since. It includes since itself, so
// that a contact at the moment of the last answer is shared twice rather than never.
func notBefore(t, since time.Time) bool {
	return !t.IsZero() && !t.Before(since)
}

func (m *Membership) allPeers() []*peerState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sortedPeers()
}

// zonePeers returns the peers of a zone in the order of their IDs.
func (m *Membership) zonePeers(zone model.Zone) []*peerState {
	var out []*peerState
	for _, p := range m.allPeers() {
		if p.Zone == zone {
			out = append(out, p)
		}
	}
	return out
}

func sortPeers(all []*peerState) {
	sort.Slice(all, func(i, j int) bool { return all[i].Host < all[j].Host })
}

// indexInZone returns the index of this host among the hosts of its zone. It is added to
// the rotation, so that the hosts of a zone call different hosts of another zone at the
// same time. The lock must be held.
func (m *Membership) indexInZone() int {
	n := 0
	for _, p := range m.peers {
		if p.Zone == m.opts.Self.Zone && p.Host < m.opts.Self.Host {
			n++
		}
	}
	return n
}

// otherZones returns the zones of the peers other than this host's zone. The lock must be
// held.
func (m *Membership) otherZones() []model.Zone {
	found := make(map[model.Zone]bool)
	var out []model.Zone
	for _, p := range m.peers {
		if p.Zone != m.opts.Self.Zone && !found[p.Zone] {
			found[p.Zone] = true
			out = append(out, p.Zone)
		}
	}
	return out
}
