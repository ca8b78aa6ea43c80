package daemon

import (
	"sync"

	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/finding"
	"github.com/daisyfold/daisyfold/internal/guarantee"
	"github.com/daisyfold/daisyfold/internal/model"
)

// assignment keeps the guarantees of each zone for one version of the text. All hosts
// compute the same assignment, because it depends on the text only.
type assignment struct {
	mu       sync.Mutex
	version  int64
	zones    map[model.Zone][]model.Guarantee
	findings finding.List
}

// of returns the guarantees of a shard. A zone's guarantees belong to its first
// shard, which holds its accelerators.
func (a *assignment) of(c *blackboard.Configuration, id model.ShardID) []model.Guarantee {
	if id.Index != 0 {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.load(c)
	return a.zones[id.Zone]
}

// unfit returns the guarantees that the zones in service cannot hold.
func (a *assignment) unfit(c *blackboard.Configuration) finding.List {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.load(c)
	return a.findings
}

// load assigns the guarantees of a new version. The lock is held.
func (a *assignment) load(c *blackboard.Configuration) {
	if a.zones != nil && a.version == c.Version {
		return
	}
	a.version = c.Version
	a.zones, a.findings = guarantee.Assign(c.Parsed.AvailabilityZones, c.Parsed.Organisations)
}
