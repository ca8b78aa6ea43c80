package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/daisyfold/daisyfold/internal/model"
)

// Owner returns the host that plans a shard: of the live hosts of the shard's zone that are
// not leaving, the one with the highest rendezvous hash. The result is false if there is
// none, and for a short time after the start of this host, which would otherwise take every
// shard before it learns of the others. Two hosts may disagree for seconds; the workers'
// fencing tokens decide between them.
func (m *Membership) Owner(shard model.ShardID) (model.HostID, bool) {
	if !m.startupComplete() {
		return "", false
	}
	var live []model.HostID
	for _, member := range m.opts.Members.List() {
		if member.Zone == shard.Zone && member.Alive && !member.Leaving {
			live = append(live, member.Host)
		}
	}
	return RendezvousOwner(shard, live)
}

// RendezvousOwner returns the host with the highest rendezvous hash for a shard. The result
// is false if there are no hosts.
func RendezvousOwner(shard model.ShardID, hosts []model.HostID) (model.HostID, bool) {
	var owner model.HostID
	var highest uint64
	for _, host := range hosts {
		h := xxhash.Sum64String(string(host) + "\x00" + shard.String())
		if owner == "" || h > highest {
			owner, highest = host, h
		}
	}
	return owner, owner != ""
}

// startupWait is how long a host waits for the other hosts of its zone after its start: long
// enough for one lost heartbeat and the next one.
const startupWait = ownZoneHeartbeatInterval + ownZoneHeartbeatTimeout

// startupComplete reports whether every host of the zone has been seen or had time to
// answer.
func (m *Membership) startupComplete() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.startedAt.IsZero() {
		return false
	}
	if m.opts.Now().Sub(m.startedAt) >= startupWait {
		return true
	}
	for _, p := range m.peers {
		if p.Zone == m.opts.Self.Zone && p.lastSeen.IsZero() {
			return false
		}
	}
	return true
}

// deploymentAppendsPerSecond is the limit of log appends of the whole deployment.
const deploymentAppendsPerSecond = 300

// AppendsPerSecond returns this host's share of the deployment's append rate. During a
// network partition the shares on both sides grow. The log service then refuses appends
// above the limit, and refused appends are retried.
func (m *Membership) AppendsPerSecond() float64 {
	live := 0
	for _, member := range m.opts.Members.List() {
		if member.Alive {
			live++
		}
	}
	return deploymentAppendsPerSecond / float64(max(1, live))
}
