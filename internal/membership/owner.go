package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/daisyfold/daisyfold/internal/model"
)

// Owner returns the planner of a shard: the live host of its zone that is not
// leaving with the highest rendezvous hash. It is false if there is none. Two hosts
// may disagree for seconds; the workers' fencing tokens decide between them.
func (m *Membership) Owner(shard model.ShardID) (model.HostID, bool) {
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
