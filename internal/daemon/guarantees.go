package daemon

import (
	"sync"

	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/finding"
	"github.com/daisyfold/daisyfold/internal/guarantee"
	"github.com/daisyfold/daisyfold/internal/model"
)

// guaranteeAssignment caches the guarantees of each zone for one version of the
// configuration. All hosts compute the same assignment, because it depends only on the
// configuration.
type guaranteeAssignment struct {
	mu       sync.Mutex
	version  int64
	byZone   map[model.Zone][]model.Guarantee
	findings finding.List
}

// forShard returns the guarantees of a shard. A zone's guarantees belong to its first
// shard, which contains the zone's accelerators.
func (a *guaranteeAssignment) forShard(c *blackboard.Configuration, id model.ShardID) []model.Guarantee {
	if id.Index != 0 {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refresh(c)
	return a.byZone[id.Zone]
}

// unsatisfiable returns a finding for each guarantee that does not fit into the zones in
// service.
func (a *guaranteeAssignment) unsatisfiable(c *blackboard.Configuration) finding.List {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refresh(c)
	return a.findings
}

// refresh recomputes the assignment if the version of the configuration has changed. The
// caller must hold a.mu.
func (a *guaranteeAssignment) refresh(c *blackboard.Configuration) {
	if a.byZone != nil && a.version == c.Version {
		return
	}
	a.version = c.Version
	a.byZone, a.findings = guarantee.Assign(c.Parsed.AvailabilityZones, c.Parsed.Organisations)
}
