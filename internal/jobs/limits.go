package jobs

import (
	"fmt"
	"sync"
	"weak"

	"github.com/cespare/xxhash/v2"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/partition"
	"github.com/daisyfold/daisyfold/internal/planner"
	"github.com/daisyfold/daisyfold/internal/platform/hostlist"
)

// limits answers which shards can ever run a job. Reading the capacities of 7,500
// workers takes milliseconds, so the result is kept until the host list changes.
// Shards of equal hardware share their limits: those of each shard took 3 MB at the
// design size, a tenth of the daemon's memory.
type limits struct {
	mu sync.Mutex
	// list is weak so that a list of 7,500 workers is not kept until the next job.
	list   weak.Pointer[hostlist.List]
	all    *planner.CapacityLimits
	shards []shardLimits
}

// shardLimits are the limits of one shard.
type shardLimits struct {
	id           model.ShardID
	accelerators int
	limits       *planner.CapacityLimits // for jobs without a zone
}

// load reads a host list unless it is the one already read. The lock is held.
func (l *limits) load(list *hostlist.List) {
	if l.list == weak.Make(list) {
		return
	}
	l.list = weak.Make(list)
	l.all = nil
	l.shards = nil
	known := map[uint64]*planner.CapacityLimits{}
	for _, sh := range partition.Split(list.Workers) {
		kind := hardware(sh.Workers)
		if known[kind] == nil {
			known[kind] = planner.NewCapacityLimits(sh.Workers)
		}
		one := shardLimits{id: sh.ID, limits: known[kind]}
		for i := range sh.Workers {
			one.accelerators += sh.Workers[i].Capacity.Accelerators
		}
		l.shards = append(l.shards, one)
	}
}

// hardware returns a hash of the capacities of a shard's workers by rack. Nothing
// else of a worker bounds what can run.
func hardware(workers []model.Worker) uint64 {
	h := xxhash.New()
	for i := range workers {
		w := &workers[i]
		sameRack := i > 0 && workers[i-1].Rack == w.Rack
		_, _ = fmt.Fprintln(h, sameRack, w.Capacity.Accelerators, w.Capacity.CPUs, w.Capacity.MemoryMB)
	}
	return h.Sum64()
}

// check returns the limit that keeps a job from ever running, or nil.
func (l *limits) check(spec *model.JobSpec, list *hostlist.List) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load(list)
	for i := range l.shards {
		if l.shards[i].admits(spec) {
			return nil
		}
	}
	// The limits of all workers at once take a megabyte and name the cause of a
	// refusal; they are read only for one.
	if l.all == nil {
		l.all = planner.NewCapacityLimits(list.Workers)
	}
	return l.all.Check(spec)
}

// admits reports whether the shard can run a job.
func (s *shardLimits) admits(spec *model.JobSpec) bool {
	if spec.Zone != "" && spec.Zone != s.id.Zone {
		return false
	}
	anywhere := *spec
	anywhere.Zone = ""
	return s.limits.Check(&anywhere) == nil
}

// feasible returns the shards that can run a job.
func (l *limits) feasible(spec *model.JobSpec, list *hostlist.List) []shardLimits {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load(list)
	var out []shardLimits
	for i := range l.shards {
		if l.shards[i].admits(spec) {
			out = append(out, l.shards[i])
		}
	}
	return out
}
