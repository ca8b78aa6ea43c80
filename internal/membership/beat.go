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

// beatZone sends one heartbeat to every host of the own zone.
func (m *Membership) beatZone(ctx context.Context) {
	for _, p := range m.zonePeers(m.opts.Self.Zone) {
		m.calls.Go(func() { m.beat(ctx, p, zoneTimeout) })
	}
}

// beatZones sends one heartbeat to one host of every other zone.
func (m *Membership) beatZones(ctx context.Context) {
	m.mu.Lock()
	m.turn++
	turn := m.turn + m.selfIndex()
	zones := m.otherZones()
	m.mu.Unlock()
	for _, z := range zones {
		m.calls.Go(func() { m.beatOneOf(ctx, z, turn) })
	}
}

// beatOneOf tries live hosts of a zone in rotation until one answers, at most two.
func (m *Membership) beatOneOf(ctx context.Context, zone model.Zone, turn int) {
	candidates := m.candidates(zone)
	for i := range min(2, len(candidates)) {
		p := candidates[(turn+i)%len(candidates)]
		if m.beat(ctx, p, crossTimeout) {
			return
		}
	}
}

// candidates returns the live hosts of a zone, or all of them if none is alive.
func (m *Membership) candidates(zone model.Zone) []*peerState {
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

// probeSilent sends one extra heartbeat to one silent host of another zone, in
// rotation: both sides of a healed cut may count each other as dead.
func (m *Membership) probeSilent(ctx context.Context) {
	now := m.opts.Now()
	m.mu.Lock()
	var silent []*peerState
	for _, p := range m.sortedPeers() {
		if p.Zone != m.opts.Self.Zone && !m.alive(p, now) {
			silent = append(silent, p)
		}
	}
	turn := m.turn
	m.mu.Unlock()
	if len(silent) == 0 {
		return
	}
	m.calls.Go(func() { m.beat(ctx, silent[turn%len(silent)], crossTimeout) })
}

// Announce sends a heartbeat to every host at once and waits for the answers. It
// spreads a new version or pending change without waiting for the next period.
func (m *Membership) Announce(ctx context.Context) {
	var wg sync.WaitGroup
	for _, p := range m.allPeers() {
		wg.Go(func() { m.exchange(ctx, p, zoneTimeout) })
	}
	wg.Wait()
}

// beat sends one heartbeat unless one is in flight and reports whether it was
// answered.
func (m *Membership) beat(ctx context.Context, p *peerState, timeout time.Duration) bool {
	m.mu.Lock()
	busy := p.inFlight
	p.inFlight = true
	m.mu.Unlock()
	if busy {
		return false
	}
	ok := m.exchange(ctx, p, timeout)
	m.mu.Lock()
	p.inFlight = false
	m.mu.Unlock()
	return ok
}

func (m *Membership) exchange(ctx context.Context, p *peerState, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req := m.selfReport()
	req.Zone = string(m.opts.Self.Zone)
	m.mu.Lock()
	if p.wantAddress {
		req.Address = m.opts.Self.Address
		p.wantAddress = false
	}
	m.mu.Unlock()
	sent := m.opts.Now()
	ans, err := p.client.Heartbeat(ctx, req)
	if err != nil {
		return false
	}
	if ans.Host != string(p.Host) {
		m.opts.Logger.Warn("another host answers at the peer's address",
			zap.String("peer", string(p.Host)), zap.String("answered", ans.Host))
		return false
	}
	if !m.absorb(p, ans, sent, false) {
		return false
	}
	m.absorbContacts(ans, sent)
	return true
}

// HandleHeartbeat answers a peer's heartbeat.
func (m *Membership) HandleHeartbeat(req *peer.HostReport) *peer.HostReport {
	now := m.opts.Now()
	host := model.HostID(req.Host)
	m.mu.Lock()
	p := m.peers[host]
	if p == nil && req.Address != "" && host != m.opts.Self.Host {
		p = m.learn(req)
	}
	m.mu.Unlock()
	if p == nil {
		ans := m.selfReport()
		ans.WantAddress = true
		return ans
	}
	m.absorb(p, req, now, true)
	var shared contacts
	if p.Zone == m.opts.Self.Zone {
		shared = m.newContacts(p, m.observer.ConfigVersion())
	}
	// The state is read after the contacts, so that it holds every version and
	// pending change that came with them.
	ans := m.selfReport()
	ans.Contacts, ans.Callers = shared.answers, shared.callers
	return ans
}

// selfReport returns the host's own state. Zone is left out of answers: the caller
// knows whom it called.
func (m *Membership) selfReport() *peer.HostReport {
	m.mu.Lock()
	leaving := m.leaving
	m.mu.Unlock()
	// The log's state is read first: the version then covers what that read found.
	log := m.observer.LogState()
	r := &peer.HostReport{
		Host: string(m.opts.Self.Host), Incarnation: m.opts.Incarnation, Leaving: leaving,
		ConfigVersion: m.observer.ConfigVersion(), LogReachable: log.Reachable,
		LogAgeMs: m.ageMS(log.LastHeadRead), Pending: m.observer.Pending(),
	}
	return r
}

// ageMS returns a rounded-up age, or -1 for the zero time.
func (m *Membership) ageMS(t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return int64((m.opts.Now().Sub(t) + time.Millisecond - 1) / time.Millisecond)
}

// contacts are the signs of life from other zones that hosts of a zone share.
type contacts struct {
	answers []*peer.HostContact
	callers []uint32
}

// newContacts returns the contacts with other zones since the last answer to p.
// Every host calls some host of each zone once a period, so with the shared callers
// every host of a zone hears of every live host, however the rotations coincide. A
// report of a version above the own one is not shared: the receiver could not tell
// that it lacks that version. Shared contacts are not passed on, for the same reason.
func (m *Membership) newContacts(p *peerState, version int64) contacts {
	m.mu.Lock()
	defer m.mu.Unlock()
	since := p.sharedAt
	p.sharedAt = m.opts.Now()
	var out contacts
	for _, c := range m.peers {
		if c.Zone == m.opts.Self.Zone {
			continue
		}
		if notBefore(c.answeredAt, since) && c.direct.ConfigVersion <= version {
			out.answers = append(out.answers, &peer.HostContact{
				HostHash: hostHash(c.Host), AgeMs: uint32(m.ageMS(c.direct.At)),
				LogUnreachable: !c.direct.LogReachable, LogAgeMs: int32(m.ageMS(c.direct.LogAt)),
			})
		} else if notBefore(c.calledAt, since) {
			out.callers = append(out.callers, hostHash(c.Host))
		}
	}
	return out
}

func hostHash(host model.HostID) uint32 { return uint32(xxhash.Sum64String(string(host))) }

// notBefore includes the moment since itself: a contact at the very moment of the
// last answer is shared twice rather than never.
func notBefore(t, since time.Time) bool {
	return !t.IsZero() && !t.Before(since)
}

func (m *Membership) allPeers() []*peerState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sortedPeers()
}

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

// selfIndex is the host's place among the hosts of its zone. It shifts the
// rotation, so that the hosts of a zone call different hosts of another zone at a
// time. The lock must be held.
func (m *Membership) selfIndex() int {
	n := 0
	for _, p := range m.peers {
		if p.Zone == m.opts.Self.Zone && p.Host < m.opts.Self.Host {
			n++
		}
	}
	return n
}

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
