package planner

import "github.com/daisyfold/daisyfold/internal/model"

// ShardLoad is the load of one shard, from which a job's home shard is chosen.
type ShardLoad struct {
	Shard model.ShardID
	// InService is false while the shard's zone is out of service.
	InService bool
	// Accelerators is the number of accelerators of usable workers, and
	// FreeAccelerators the number of those that are free.
	Accelerators     int
	FreeAccelerators int
	// WaitingAccelerators is the number of accelerators that waiting jobs need.
	WaitingAccelerators int
}

// largeGangDivisor defines large gangs: those that need more than 1/largeGangDivisor of a
// shard's accelerators.
const largeGangDivisor = 8

// ChooseHomeShard returns the index of the shard whose planner should place the job, or -1
// if no shard can. Small gangs go to the fullest shard with enough free accelerators, so
// that other shards keep whole racks free. Large gangs and those that do not fit go to the
// shard with the least load per accelerator.
func ChooseHomeShard(spec *model.JobSpec, loads []ShardLoad) int {
	fullest, leastLoaded := -1, -1
	for i := range loads {
		l := &loads[i]
		if !l.InService || l.Accelerators == 0 || (spec.Zone != "" && spec.Zone != l.Shard.Zone) {
			continue
		}
		if leastLoaded < 0 || l.loadPerAccelerator() < loads[leastLoaded].loadPerAccelerator() {
			leastLoaded = i
		}
		available := l.FreeAccelerators - l.WaitingAccelerators
		if available < spec.Accelerators() || spec.Accelerators()*largeGangDivisor > l.Accelerators {
			continue
		}
		if fullest < 0 || available < loads[fullest].FreeAccelerators-loads[fullest].WaitingAccelerators {
			fullest = i
		}
	}
	if fullest >= 0 {
		return fullest
	}
	return leastLoaded
}

// loadPerAccelerator returns the number of accelerators that are in use or that waiting jobs
// need, divided by the number of accelerators.
func (l *ShardLoad) loadPerAccelerator() float64 {
	return float64(l.Accelerators-l.FreeAccelerators+l.WaitingAccelerators) / float64(l.Accelerators)
}
