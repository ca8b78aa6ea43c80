package calls

import (
	"sync/atomic"
	"time"

	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/routing"
)

// Stats counts what the service did since it was made, for metrics.
type Stats struct {
	Requests    int64 // submissions
	Answered    int64 // with a whole answer
	NotRun      int64 // refused or failed for certain
	Shed        int64 // NotRun because no target was free in time
	Unknown     int64
	Ran         int64 // ran, answer not kept
	Attempts    int64 // calls to targets
	Retries     int64 // attempts after the first one of a request
	Intents     int64 // appended
	Followed    int64 // requests whose intent belonged to another run
	Asked       int64 // questions to other hosts
	Settled     int64 // refusals that were confirmed by the other hosts
	LostRecords int64 // outcomes and cancellations that could not be appended
	Active      int   // requests and background appends in progress
}

type counters struct {
	requests, answered, notRun, unknown, ran    atomic.Int64
	attempts, retries, intents, followed, asked atomic.Int64
	settled, lostRecords, shed                  atomic.Int64
}

func (c *counters) count(r result) {
	switch {
	case r.err == nil:
		c.answered.Add(1)
	case r.err.Outcome == model.OutcomeNotRun:
		c.notRun.Add(1)
		if r.err.Code == apierror.CodeOverloaded {
			c.shed.Add(1)
		}
	case r.err.Outcome == model.OutcomeRan:
		c.ran.Add(1)
	default:
		c.unknown.Add(1)
	}
}

// Stats returns the counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	active := s.active
	s.mu.Unlock()
	c := &s.stats
	return Stats{
		Requests:    c.requests.Load(),
		Answered:    c.answered.Load(),
		NotRun:      c.notRun.Load(),
		Shed:        c.shed.Load(),
		Unknown:     c.unknown.Load(),
		Ran:         c.ran.Load(),
		Attempts:    c.attempts.Load(),
		Retries:     c.retries.Load(),
		Intents:     c.intents.Load(),
		Followed:    c.followed.Load(),
		Asked:       c.asked.Load(),
		Settled:     c.settled.Load(),
		LostRecords: c.lostRecords.Load(),
		Active:      active,
	}
}

// TargetHealth counts the targets by what this host knows of them.
func (s *Service) TargetHealth() routing.TargetCounts {
	s.gate.refresh()
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	return s.gate.router.TargetCounts(time.Now())
}
