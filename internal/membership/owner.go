package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/daisyfold/daisyfold/internal/model"
)

// Owner returns the planner of a shard: the live host of its zone that is not
// leaving with the highest rendezvous hash. It is false if there is none. Two hosts
// may disagree for seconds; the workers' fencing tokens decide between them.
func (m *Membership) Owner(shard model.ShardID) (model.HostID, bool) {
	var best model.HostID
	var bestHash uint64
	for _, x := range m.opts.Members.List() {
		if x.Zone != shard.Zone || !x.Alive || x.Leaving {
			continue
		}
		h := xxhash.Sum64String(string(x.Host) + "\x00" + shard.String())
		if best == "" || h > bestHash {
			best, bestHash = x.Host, h
		}
	}
	return best, best != ""
}
