package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/daisyfold/daisyfold/internal/model"
)

// Owner returns the planner of a shard: the live host of its zone that is not
// leaving with the highest rendezvous hash. It is false if there is none, and while
// this host has just started: it would take every shard before it heard of the
// others. Two hosts may disagree for seconds; the workers' fencing tokens decide
// between them.
func (m *Membership) Owner(shard model.ShardID) (model.HostID, bool) {
	if !m.settled() {
		return "", false
	}
	var live []model.HostID
	for _, x := range m.opts.Members.List() {
		if x.Zone == shard.Zone && x.Alive && !x.Leaving {
			live = append(live, x.Host)
		}
	}
	return Highest(shard, live)
}

// Highest returns the host with the highest rendezvous hash of a shard. It is false
// without hosts.
func Highest(shard model.ShardID, hosts []model.HostID) (model.HostID, bool) {
	var best model.HostID
	var bestHash uint64
	for _, host := range hosts {
		h := xxhash.Sum64String(string(host) + "\x00" + shard.String())
		if best == "" || h > bestHash {
			best, bestHash = host, h
		}
	}
	return best, best != ""
}

// settleTime is how long a started host waits for the hosts of its zone: a lost
// heartbeat and the next one.
const settleTime = zonePeriod + zoneTimeout

// settled reports whether every host of the zone was heard or had time to answer.
func (m *Membership) settled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.startedAt.IsZero() {
		return false
	}
	if m.opts.Now().Sub(m.startedAt) >= settleTime {
		return true
	}
	for _, p := range m.peers {
		if p.Zone == m.opts.Self.Zone && p.lastSeen.IsZero() {
			return false
		}
	}
	return true
}

// deploymentAppends is the log budget of the whole deployment, in appends per second.
const deploymentAppends = 300

// AppendShare returns this host's share of the deployment's append rate. During a
// partition both sides' shares grow; the log service refuses what is too much, and
// refused appends are repeated.
func (m *Membership) AppendShare() float64 {
	live := 0
	for _, x := range m.opts.Members.List() {
		if x.Alive {
			live++
		}
	}
	return deploymentAppends / float64(max(1, live))
}
