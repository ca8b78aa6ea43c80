package calls

import (
	"sync/atomic"
	"time"

	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/routing"
)

// Stats holds the counters of a Service since its creation, for metrics.
type Stats struct {
	Requests    int64 // submissions
	Answered    int64 // with a complete response
	NotRun      int64 // certainly not run: refused or failed before a target ran them
	Shed        int64 // the part of NotRun for which no target was free in time
	Unknown     int64 // may have run
	Ran         int64 // ran, but the response was not kept
	Attempts    int64 // calls to targets
	Retries     int64 // attempts after the first one of a request
	Intents     int64 // intent records whose append was begun
	Duplicates  int64 // submissions of a request whose intent belongs to another run
	PeerQueries int64 // queries for the outcome of a request to other hosts
	PeerChecks  int64 // refusals for which the other hosts were queried
	LostRecords int64 // outcomes and cancellations that could not be appended
	Active      int   // requests and background appends in progress
}

// counters holds the fields of Stats that are updated concurrently, with the same meaning.
type counters struct {
	requests, answered, notRun, unknown, ran            atomic.Int64
	attempts, retries, intents, duplicates, peerQueries atomic.Int64
	peerChecks, lostRecords, shed                       atomic.Int64
}

// count counts the result of a request.
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

// Stats returns the current counters.
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
		Duplicates:  c.duplicates.Load(),
		PeerQueries: c.peerQueries.Load(),
		PeerChecks:  c.peerChecks.Load(),
		LostRecords: c.lostRecords.Load(),
		Active:      active,
	}
}

// TargetCounts returns the number of targets by state, as this host knows it.
func (s *Service) TargetCounts() routing.TargetCounts {
	s.dispatcher.refresh()
	s.dispatcher.mu.Lock()
	defer s.dispatcher.mu.Unlock()
	return s.dispatcher.router.TargetCounts(time.Now())
}
