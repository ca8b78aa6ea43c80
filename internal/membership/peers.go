package membership

import (
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/rpc/peer"
)

// maxPeersWhenLearning is the number of peers at which hosts that are not in the settings
// are no longer added.
const maxPeersWhenLearning = 1024

// learnedPeerTTL is how long a silent host that is not in the settings is kept.
const learnedPeerTTL = time.Hour

// Report is the state that a peer reported about itself. Its times are on this host's
// monotonic clock and are lower bounds whatever the network delay was, except in a report
// with FromRequest.
type Report struct {
	Host model.HostID
	Zone model.Zone
	// ReportedAt is when the request that the report answers was sent. The peer created
	// the report after that.
	ReportedAt    time.Time
	ConfigVersion int64
	LogReachable  bool
	// LogReadAt is not later than the peer's last read of the config stream up to its
	// head. It is zero if there was none.
	LogReadAt time.Time
	// AnsweredAt is the ReportedAt of the last answer of the host itself. ReportedAt can
	// be later, from a contact that a host of this host's zone shared.
	AnsweredAt time.Time
	// PendingIDs are the IDs of the pending zone changes that the peer stores.
	PendingIDs []string
	// FromRequest is set for a report that arrived in a request of the peer. Its times
	// are not lower bounds, because the delay of the request is unknown.
	FromRequest bool
}

// peerState is the state of one peer. Membership.mu guards it.
type peerState struct {
	Peer
	client            peer.Peer
	learned           bool // not in the settings; known from its own heartbeat
	incarnation       int64
	leaving           bool
	leavingInHostList bool // the platform's host list marks it as leaving
	addressRequested  bool // the peer asked for this host's address
	heartbeatInFlight bool
	lastSeen          time.Time // when it is last known to have been alive
	mergedReport      Report    // the newest data of direct answers and shared contacts
	directReport      Report    // the last direct answer; only this one is shared with other hosts
	acceptedAt        time.Time // when the last report of this incarnation arrived
	answeredAt        time.Time // when the last direct answer arrived
	calledAt          time.Time // when it last called this host
	sharedAt          time.Time // when contacts were last shared with it
}

// livenessTimeout returns how long the peer counts as alive after it was last seen.
func (m *Membership) livenessTimeout(p *peerState) time.Duration {
	if p.Zone == m.opts.Self.Zone {
		return ownZoneLivenessTimeout
	}
	return otherZoneLivenessTimeout
}

// alive reports whether the peer was seen within its liveness timeout. The lock must be
// held.
func (m *Membership) alive(p *peerState, now time.Time) bool {
	return !p.lastSeen.IsZero() && now.Sub(p.lastSeen) < m.livenessTimeout(p)
}

// acceptsIncarnation reports whether a report belongs to the peer's current process. A lower
// incarnation is a late message of the previous process, unless the known process has sent
// nothing for the liveness timeout: in that case the wall clock that numbers incarnations
// was set back. Shared contacts do not count as messages of the process, because they carry
// no incarnation. The first report of a new incarnation replaces the state of the previous
// one. The lock must be held.
func (m *Membership) acceptsIncarnation(p *peerState, incarnation int64, now time.Time) bool {
	if incarnation == p.incarnation {
		p.acceptedAt = now
		return true
	}
	if incarnation < p.incarnation && now.Sub(p.acceptedAt) < m.livenessTimeout(p) {
		return false
	}
	p.acceptedAt = now
	p.incarnation = incarnation
	p.mergedReport, p.directReport = Report{}, Report{}
	p.leaving = false
	return true
}

// storeReport stores a report and reports whether it was accepted. sent is when the
// answered request was sent or, if the report arrived in a request, the time of arrival.
func (m *Membership) storeReport(p *peerState, r *peer.HostReport, sent time.Time, fromRequest bool) bool {
	accepted, changed := m.applyReport(p, r, sent, fromRequest)
	if changed {
		m.updateTable()
	}
	return accepted
}

// applyReport stores a report. accepted reports whether the report belongs to the peer's
// current process, and changed whether the member table must be updated at once.
func (m *Membership) applyReport(p *peerState, r *peer.HostReport, sent time.Time, fromRequest bool) (accepted, changed bool) {
	report := Report{
		Host: p.Host, Zone: p.Zone, ReportedAt: sent, AnsweredAt: sent, FromRequest: fromRequest,
		ConfigVersion: r.ConfigVersion, LogReachable: r.LogReachable,
	}
	if r.LogAgeMs >= 0 {
		report.LogReadAt = sent.Add(-time.Duration(r.LogAgeMs) * time.Millisecond)
	}
	for _, c := range r.Pending {
		report.PendingIDs = append(report.PendingIDs, c.Id)
	}
	// The observer stores newer versions and pending changes before the report becomes
	// visible, so that no evidence is based on a report whose content is not stored yet.
	m.observer.HandleReport(report, r.Pending)
	now := m.opts.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	wasAlive, wasLeaving := m.alive(p, now), p.leaving
	if !m.acceptsIncarnation(p, r.Incarnation, now) {
		return false, false
	}
	p.leaving = p.leaving || r.Leaving // a process that is leaving stays so
	p.lastSeen = laterOf(p.lastSeen, sent)
	changed = !wasAlive || p.leaving != wasLeaving
	p.addressRequested = p.addressRequested || r.WantAddress
	if fromRequest {
		p.calledAt = now
		return true, changed
	}
	p.answeredAt = now
	if sent.After(p.directReport.ReportedAt) {
		p.directReport = report
		if p.mergedReport.ReportedAt.After(report.ReportedAt) {
			report.ReportedAt, report.LogReachable = p.mergedReport.ReportedAt, p.mergedReport.LogReachable
		}
		report.LogReadAt = laterOf(report.LogReadAt, p.mergedReport.LogReadAt)
		p.mergedReport = report
	}
	return true, changed
}

// storeContacts stores the contacts that a host of this host's zone shared. Their ages are
// relative to the time at which the request was sent.
func (m *Membership) storeContacts(r *peer.HostReport, sent time.Time) {
	if len(r.Contacts) == 0 && len(r.Callers) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	byHash := m.peersByHash()
	for _, c := range r.Contacts {
		if p := byHash[c.HostHash]; p != nil {
			storeContact(p, c, sent)
		}
	}
	for _, h := range r.Callers {
		if p := byHash[h]; p != nil {
			// A caller called within the last interval before the answer.
			p.lastSeen = laterOf(p.lastSeen, sent.Add(-ownZoneHeartbeatInterval))
		}
	}
}

// storeContact stores a shared contact. It carries no configuration version: a host shares
// only reports with versions up to its own, and its own version came with its answer.
func storeContact(p *peerState, c *peer.HostContact, sent time.Time) {
	at := sent.Add(-time.Duration(c.AgeMs) * time.Millisecond)
	p.lastSeen = laterOf(p.lastSeen, at)
	if !at.After(p.mergedReport.ReportedAt) {
		return
	}
	p.mergedReport.Host, p.mergedReport.Zone, p.mergedReport.ReportedAt = p.Host, p.Zone, at
	p.mergedReport.LogReachable = !c.LogUnreachable
	if c.LogAgeMs >= 0 {
		logAt := sent.Add(-time.Duration(c.LogAgeMs) * time.Millisecond)
		p.mergedReport.LogReadAt = laterOf(p.mergedReport.LogReadAt, logAt)
	}
}

// peersByHash returns the peers of other zones by their hash. Hosts with the same hash map
// to nil, because a contact must not be attributed to the wrong host.
func (m *Membership) peersByHash() map[uint32]*peerState {
	out := make(map[uint32]*peerState, len(m.peers))
	for _, p := range m.peers {
		if p.Zone == m.opts.Self.Zone {
			continue
		}
		h := hostHash(p.Host)
		if _, taken := out[h]; taken {
			out[h] = nil
			continue
		}
		out[h] = p
	}
	return out
}

// sortedPeers returns the peers in the order of their IDs. The lock must be held and the
// slice must not be modified.
func (m *Membership) sortedPeers() []*peerState {
	if m.sortedByHost == nil {
		for _, p := range m.peers {
			m.sortedByHost = append(m.sortedByHost, p)
		}
		sortPeers(m.sortedByHost)
	}
	return m.sortedByHost
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// addLearnedPeer adds a host that is not in the settings and sent its address. It returns
// nil if too many peers are known. The lock must be held.
func (m *Membership) addLearnedPeer(r *peer.HostReport) *peerState {
	if len(m.peers) >= maxPeersWhenLearning {
		return nil
	}
	p := &peerState{learned: true, client: m.opts.NewClient(r.Address), Peer: Peer{
		Host: model.HostID(r.Host), Zone: model.Zone(r.Zone), Address: r.Address,
	}}
	m.peers[p.Host] = p
	m.sortedByHost = nil
	m.opts.Logger.Info("added a host that is not in the settings after its heartbeat",
		zap.String("host", r.Host), zap.String("zone", r.Zone))
	return p
}

// memberEntry returns the peer's entry in the member table. The lock must be held.
func (m *Membership) memberEntry(p *peerState, now time.Time) blackboard.Member {
	return blackboard.Member{
		Host: p.Host, Zone: p.Zone, Alive: m.alive(p, now), Leaving: p.leaving || p.leavingInHostList,
	}
}

// updateTable publishes the member table if it changed, and removes expired learned peers.
func (m *Membership) updateTable() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyHostList()
	now := m.opts.Now()
	all := append(m.spareTable[:0], blackboard.Member{
		Host: m.opts.Self.Host, Zone: m.opts.Self.Zone, Alive: true, Leaving: m.leaving,
	})
	for _, p := range m.sortedPeers() {
		if p.learned && now.Sub(p.lastSeen) > learnedPeerTTL {
			delete(m.peers, p.Host)
			m.sortedByHost = nil
			continue
		}
		all = append(all, m.memberEntry(p, now))
	}
	// The peers are already sorted; this moves only this host to its position.
	slices.SortFunc(all, func(a, b blackboard.Member) int { return strings.Compare(string(a.Host), string(b.Host)) })
	if slices.Equal(all, m.publishedTable) {
		m.spareTable = all
		return
	}
	// The published table is read without a lock, so its slice is not reused.
	m.spareTable, m.publishedTable = nil, all
	m.opts.Members.Put(all)
}

// applyHostList marks the peers that the platform's host list shows as leaving. The lock
// must be held.
func (m *Membership) applyHostList() {
	if m.opts.Hosts == nil {
		return
	}
	list := m.opts.Hosts.Get()
	if list == nil {
		return
	}
	for _, h := range list.Hosts {
		if p := m.peers[h.ID]; p != nil {
			p.leavingInHostList = h.Leaving
		}
	}
}
