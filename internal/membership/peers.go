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

const (
	// maxLearned bounds the hosts that are known only from their own heartbeats.
	maxLearned = 1024
	// forgetLearned is how long a silent learned host stays in the table.
	forgetLearned = time.Hour
)

// Report is what a peer said about itself, with times that hold on this host's
// monotonic clock whatever the network's delay was.
type Report struct {
	Host model.HostID
	Zone model.Zone
	// At is when the request that the report answers was sent; the report was
	// true at some moment after it.
	At            time.Time
	ConfigVersion int64
	LogReachable  bool
	// LogAt is a moment not later than the peer's last reading of the config
	// stream up to its head; zero if there was none.
	LogAt time.Time
	// AnsweredAt is At of the last answer that came from the host itself; At may be
	// of a later one that a host of the own zone shared.
	AnsweredAt time.Time
	// Pending are the IDs of the pending zone changes that the peer stores.
	Pending []string
	// Called is set for a report that came as a request, whose delay is unknown.
	Called bool
}

// peerState is what this host knows of one peer. Membership's lock guards it.
type peerState struct {
	Peer
	client      peer.Peer
	learned     bool
	incarnation int64
	leaving     bool
	listLeaving bool // the platform's host list says that it is leaving
	wantAddress bool // the peer asked for this host's address
	inFlight    bool
	lastSeen    time.Time // last sign of life
	report      Report    // the newest of direct answers and shared contacts
	direct      Report    // the last direct answer; only this is shared
	acceptedAt  time.Time // when the last report of its incarnation arrived
	answeredAt  time.Time // when the last direct answer arrived
	calledAt    time.Time // when it last called this host
	sharedAt    time.Time // when contacts were last shared with it
}

func (m *Membership) silence(p *peerState) time.Duration {
	if p.Zone == m.opts.Self.Zone {
		return zoneSilence
	}
	return crossSilence
}

// alive must be called with the lock held.
func (m *Membership) alive(p *peerState, now time.Time) bool {
	return !p.lastSeen.IsZero() && now.Sub(p.lastSeen) < m.silence(p)
}

// accepts reports whether a report belongs to the peer's current process. A lower
// incarnation is a late message of the previous process, unless the known process
// sent nothing for a while: then the wall clock that numbers incarnations was set
// back. Contacts that others share do not count, because they carry no incarnation.
func (m *Membership) accepts(p *peerState, incarnation int64, now time.Time) bool {
	if incarnation == p.incarnation {
		p.acceptedAt = now
		return true
	}
	if incarnation < p.incarnation && now.Sub(p.acceptedAt) < m.silence(p) {
		return false
	}
	p.acceptedAt = now
	p.incarnation = incarnation
	p.report, p.direct = Report{}, Report{}
	p.leaving = false
	return true
}

// absorb stores a report. sent is when the answered request was sent, or the time
// of arrival for a request.
func (m *Membership) absorb(p *peerState, r *peer.HostReport, sent time.Time, called bool) bool {
	accepted, changed := m.store(p, r, sent, called)
	if changed {
		m.updateTable()
	}
	return accepted
}

// store reports whether it accepted the report and whether the member table must
// show a change at once.
func (m *Membership) store(p *peerState, r *peer.HostReport, sent time.Time, called bool) (accepted, changed bool) {
	report := Report{
		Host: p.Host, Zone: p.Zone, At: sent, AnsweredAt: sent, Called: called,
		ConfigVersion: r.ConfigVersion, LogReachable: r.LogReachable,
	}
	if r.LogAgeMs >= 0 {
		report.LogAt = sent.Add(-time.Duration(r.LogAgeMs) * time.Millisecond)
	}
	for _, c := range r.Pending {
		report.Pending = append(report.Pending, c.Id)
	}
	// The observer hears of newer versions and pending changes first, so that no
	// evidence rests on a report whose content is not stored yet.
	m.observer.Observe(report, r.Pending)
	now := m.opts.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	wasAlive, wasLeaving := m.alive(p, now), p.leaving
	if !m.accepts(p, r.Incarnation, now) {
		return false, false
	}
	p.leaving = p.leaving || r.Leaving // a process never stops leaving
	p.lastSeen = later(p.lastSeen, sent)
	changed = !wasAlive || p.leaving != wasLeaving
	p.wantAddress = p.wantAddress || r.WantAddress
	if called {
		p.calledAt = now
		return true, changed
	}
	p.answeredAt = now
	if sent.After(p.direct.At) {
		p.direct = report
		if p.report.At.After(report.At) {
			report.At, report.LogReachable = p.report.At, p.report.LogReachable
		}
		report.LogAt = later(report.LogAt, p.report.LogAt)
		p.report = report
	}
	return true, changed
}

// absorbContacts stores what a host of the own zone shared. The contacts' ages are
// counted from the moment at which the request was sent.
func (m *Membership) absorbContacts(r *peer.HostReport, sent time.Time) {
	if len(r.Contacts) == 0 && len(r.Callers) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	byHash := m.byHash()
	for _, c := range r.Contacts {
		if p := byHash[c.HostHash]; p != nil {
			absorbContact(p, c, sent)
		}
	}
	for _, h := range r.Callers {
		if p := byHash[h]; p != nil {
			// They called within the last period before the answer.
			p.lastSeen = later(p.lastSeen, sent.Add(-zonePeriod))
		}
	}
}

// absorbContact stores a shared report. The sharer passes on only reports of
// versions up to its own, and its own version was observed with its answer.
func absorbContact(p *peerState, c *peer.HostContact, sent time.Time) {
	at := sent.Add(-time.Duration(c.AgeMs) * time.Millisecond)
	p.lastSeen = later(p.lastSeen, at)
	if !at.After(p.report.At) {
		return
	}
	p.report.Host, p.report.Zone, p.report.At = p.Host, p.Zone, at
	p.report.LogReachable = !c.LogUnreachable
	if c.LogAgeMs >= 0 {
		logAt := sent.Add(-time.Duration(c.LogAgeMs) * time.Millisecond)
		p.report.LogAt = later(p.report.LogAt, logAt)
	}
}

// byHash returns the peers of other zones by their hash. Two hosts with the same
// hash are left out: a contact must not be taken for that of another host.
func (m *Membership) byHash() map[uint32]*peerState {
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

// sortedPeers returns the peers in the order of their ids. The lock must be held and
// the slice must not be changed.
func (m *Membership) sortedPeers() []*peerState {
	if m.sorted == nil {
		for _, p := range m.peers {
			m.sorted = append(m.sorted, p)
		}
		sortPeers(m.sorted)
	}
	return m.sorted
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// learn adds a host that is not in the settings and sent its address.
func (m *Membership) learn(r *peer.HostReport) *peerState {
	if len(m.peers) >= maxLearned {
		return nil
	}
	p := &peerState{learned: true, client: m.opts.Dial(r.Address), Peer: Peer{
		Host: model.HostID(r.Host), Zone: model.Zone(r.Zone), Address: r.Address,
	}}
	m.peers[p.Host] = p
	m.sorted = nil
	m.opts.Logger.Info("learned a host from its heartbeat",
		zap.String("host", r.Host), zap.String("zone", r.Zone))
	return p
}

// member returns the peer's entry in the member table. The lock must be held.
func (m *Membership) member(p *peerState, now time.Time) blackboard.Member {
	return blackboard.Member{
		Host: p.Host, Zone: p.Zone, Alive: m.alive(p, now), Leaving: p.leaving || p.listLeaving,
	}
}

// updateTable writes the member table when it changed.
func (m *Membership) updateTable() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.readHostList()
	now := m.opts.Now()
	all := append(m.scratch[:0], blackboard.Member{
		Host: m.opts.Self.Host, Zone: m.opts.Self.Zone, Alive: true, Leaving: m.leaving,
	})
	for _, p := range m.sortedPeers() {
		if p.learned && now.Sub(p.lastSeen) > forgetLearned {
			delete(m.peers, p.Host)
			m.sorted = nil
			continue
		}
		all = append(all, m.member(p, now))
	}
	// The peers are in order, so this only moves the host itself to its place.
	slices.SortFunc(all, func(a, b blackboard.Member) int { return strings.Compare(string(a.Host), string(b.Host)) })
	if slices.Equal(all, m.table) {
		m.scratch = all
		return
	}
	// The table is read without a lock, so its slice is never written again.
	m.scratch, m.table = nil, all
	m.opts.Members.Put(all)
}

func (m *Membership) readHostList() {
	if m.opts.Hosts == nil {
		return
	}
	list := m.opts.Hosts.Get()
	if list == nil {
		return
	}
	for _, h := range list.Hosts {
		if p := m.peers[h.ID]; p != nil {
			p.listLeaving = h.Leaving
		}
	}
}
