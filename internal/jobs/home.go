package jobs

import (
	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/planner"
)

// chooseHomeShard chooses the shard whose planner places the job, among the shards that
// can run it. If all of these are out of service, the job waits for one of them. The
// error is an *apierror.Error.
func (s *Service) chooseHomeShard(spec *model.JobSpec) (model.ShardID, error) {
	shards := s.feasibility.feasibleShards(spec, s.Board.Hosts.Get())
	if len(shards) == 0 {
		return model.ShardID{}, apierror.NotRun(apierror.CodeCanNeverRun, "no shard can run the job")
	}
	loads := make([]planner.ShardLoad, 0, len(shards))
	for i := range shards {
		loads = append(loads, s.load(&shards[i]))
	}
	best := planner.ChooseHomeShard(spec, loads)
	if best < 0 {
		best = 0
	}
	return shards[best].id, nil
}

func (s *Service) load(sh *shardLimits) planner.ShardLoad {
	active, waiting := s.Table.Load(sh.id)
	return planner.ShardLoad{
		Shard: sh.id, InService: s.zoneUsable(sh.id.Zone), Accelerators: sh.accelerators,
		FreeAccelerators: sh.accelerators - active, WaitingAccelerators: waiting,
	}
}

func (s *Service) zoneUsable(z model.Zone) bool {
	zone := s.Board.Config.Get().Zone(z)
	if zone == nil || !zone.InService {
		return false
	}
	for _, m := range s.Board.Members.List() {
		if m.Zone == z && m.Alive && !m.Leaving {
			return true
		}
	}
	return false
}

// CountWaiting returns the number of waiting jobs of an organisation.
func (t *Table) CountWaiting(org model.Organisation) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	n := 0
	for _, index := range t.waiting {
		for key := range index {
			if key.Organisation == org {
				n++
			}
		}
	}
	return n
}
