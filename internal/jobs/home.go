package jobs

import (
	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/planner"
)

// chooseHome picks the shard whose planner should place the job among those that can
// run it. A job that only shards out of service can run waits for them.
func (s *Service) chooseHome(spec *model.JobSpec) (model.ShardID, error) {
	shards := s.limits.feasible(spec, s.Board.Hosts.Get())
	if len(shards) == 0 {
		return model.ShardID{}, apierror.NotRun(apierror.CodeImpossible, "no shard can run the job")
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
		Shard: sh.id, InService: s.usable(sh.id.Zone), Accelerators: sh.accelerators,
		FreeAccelerators: sh.accelerators - active, WaitingAccelerators: waiting,
	}
}

func (s *Service) usable(z model.Zone) bool {
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

// WaitingOf counts an organisation's waiting jobs.
func (t *Table) WaitingOf(org model.Organisation) int {
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
