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

// feasibility determines which shards could ever run a job. Reading the capacities of
// 7,500 workers takes milliseconds, so it caches the result until the host list changes.
// Shards with equal hardware share their limits: separate limits for each shard took 3 MB
// at the design size, a tenth of the daemon's memory.
type feasibility struct {
	mu sync.Mutex
	// list is a weak pointer so that a replaced list of 7,500 workers does not stay in
	// memory until the next job arrives.
	list       weak.Pointer[hostlist.List]
	allWorkers *planner.CapacityLimits
	shards     []shardLimits
}

// shardLimits are the limits of one shard.
type shardLimits struct {
	id           model.ShardID
	accelerators int
	limits       *planner.CapacityLimits // for jobs without a zone
}

// refresh computes the limits from a host list unless they were computed from the same
// list before. The caller must hold the lock.
func (f *feasibility) refresh(list *hostlist.List) {
	if f.list == weak.Make(list) {
		return
	}
	f.list = weak.Make(list)
	f.allWorkers = nil
	f.shards = nil
	byHardware := map[uint64]*planner.CapacityLimits{}
	for _, sh := range partition.Split(list.Workers) {
		hash := hashHardware(sh.Workers)
		if byHardware[hash] == nil {
			byHardware[hash] = planner.NewCapacityLimits(sh.Workers)
		}
		limits := shardLimits{id: sh.ID, limits: byHardware[hash]}
		for i := range sh.Workers {
			limits.accelerators += sh.Workers[i].Capacity.Accelerators
		}
		f.shards = append(f.shards, limits)
	}
}

// hashHardware returns a hash of the racks and capacities of a shard's workers. Nothing
// else about a worker limits which jobs it can run.
func hashHardware(workers []model.Worker) uint64 {
	h := xxhash.New()
	for i := range workers {
		w := &workers[i]
		sameRack := i > 0 && workers[i-1].Rack == w.Rack
		_, _ = fmt.Fprintln(h, sameRack, w.Capacity.Accelerators, w.Capacity.CPUs, w.Capacity.MemoryMB)
	}
	return h.Sum64()
}

// check returns an error that names the limit because of which a job can never run, or
// nil if some shard can run it.
func (f *feasibility) check(spec *model.JobSpec, list *hostlist.List) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh(list)
	for i := range f.shards {
		if f.shards[i].admits(spec) {
			return nil
		}
	}
	// The limits across all workers, which name the cause of a rejection, take a megabyte.
	// They are computed only when a job is rejected.
	if f.allWorkers == nil {
		f.allWorkers = planner.NewCapacityLimits(list.Workers)
	}
	return f.allWorkers.Check(spec)
}

// admits reports whether the shard could run a job when all of its workers are free.
func (s *shardLimits) admits(spec *model.JobSpec) bool {
	if spec.Zone != "" && spec.Zone != s.id.Zone {
		return false
	}
	withoutZone := *spec
	withoutZone.Zone = ""
	return s.limits.Check(&withoutZone) == nil
}

// feasibleShards returns the shards that could run a job.
func (f *feasibility) feasibleShards(spec *model.JobSpec, list *hostlist.List) []shardLimits {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh(list)
	var out []shardLimits
	for i := range f.shards {
		if f.shards[i].admits(spec) {
			out = append(out, f.shards[i])
		}
	}
	return out
}
