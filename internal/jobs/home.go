package jobs

import (
	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/model"
)

// candidate is a shard that could run a job, with its load relative to its size.
type candidate struct {
	id    model.ShardID
	score float64
}

// localPreference is subtracted from the score of shards in the own zone, so that
// nearly equal zones do not exchange jobs. 0.05 is one twentieth of a shard's size.
const localPreference = 0.05

// chooseHome picks the least loaded shard that can run the job, counting waiting
// and active work, among zones in service with live hosts.
func (s *Service) chooseHome(spec *model.JobSpec) (model.ShardID, error) {
	var best *candidate
	var fallback *model.ShardID
	for _, sh := range s.limits.feasible(spec, s.Board.Hosts.Get()) {
		id := sh.id
		fallback = &id
		if !s.usable(sh.id.Zone) {
			continue
		}
		c := candidate{id: sh.id, score: s.score(&sh)}
		if best == nil || c.score < best.score {
			best = &c
		}
	}
	if best != nil {
		return best.id, nil
	}
	if fallback != nil {
		// The job waits in a zone that is out until it returns or another takes it.
		return *fallback, nil
	}
	return model.ShardID{}, apierror.NotRun(apierror.CodeImpossible, "no shard can run the job")
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

func (s *Service) score(sh *shardLimits) float64 {
	score := float64(s.Table.Load(sh.id)) / float64(max(sh.accelerators, 1))
	if sh.id.Zone == s.Zone {
		score -= localPreference
	}
	return score
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
