package planner

import "github.com/daisyfold/daisyfold/internal/model"

// ShardLoad is what is known of one shard when a job's home is chosen.
type ShardLoad struct {
	Shard model.ShardID
	// InService is false while the shard's zone is out.
	InService bool
	// Accelerators counts all accelerators of usable workers, Free those in no use.
	Accelerators int
	Free         int
	// Waiting is the sum of the accelerators of waiting jobs.
	Waiting int
}

// largeShare is the share of a shard's accelerators from which a gang counts as
// large.
const largeShare = 8

// ChooseHome returns the index of the shard whose planner should place the job, or -1.
// Small gangs go to the fullest shard that still has room, so that other shards keep
// whole racks free; large gangs and those that find no room go where the work per
// accelerator is least.
func ChooseHome(spec *model.JobSpec, loads []ShardLoad) int {
	best, least := -1, -1
	for i := range loads {
		l := &loads[i]
		if !l.InService || l.Accelerators == 0 || (spec.Zone != "" && spec.Zone != l.Shard.Zone) {
			continue
		}
		if least < 0 || l.pressure() < loads[least].pressure() {
			least = i
		}
		room := l.Free - l.Waiting
		if room < spec.Accelerators() || spec.Accelerators()*largeShare > l.Accelerators {
			continue
		}
		if best < 0 || room < loads[best].Free-loads[best].Waiting {
			best = i
		}
	}
	if best >= 0 {
		return best
	}
	return least
}

// pressure is the running and waiting work per accelerator.
func (l *ShardLoad) pressure() float64 {
	return float64(l.Accelerators-l.Free+l.Waiting) / float64(l.Accelerators)
}
