package load

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/daisyfold/daisyfold/internal/judge"
)

const (
	// serviceKept is the share of the level before a fault that the untouched
	// zones must keep (design page, section 2.2).
	serviceKept = 0.95
	serviceOver = 3 * time.Second
)

// cmdService measures the level of service at the entry hosts of all zones or, with
// except=A,B, outside the named hosts and zones: service N [except=A,B]. It sends N
// repeatable requests, each to one entry host only, and takes the share that is
// answered. The first measurement of a script is its level before the fault; the
// later ones fail below 0.95 of it.
func cmdService(s *scenario, ts *testscript.TestScript, args []string) error {
	plain, named := splitArgs(args)
	if len(plain) != 1 {
		return usage("service N [except=A,B]")
	}
	n, err := strconv.Atoi(plain[0])
	if err != nil {
		return trace.BadParameter("%v", err)
	}
	share := s.serviceShare(n, s.outside(named["except"]))
	ts.Logf("%.3f of %d requests were answered", share, n)
	if s.level == 0 {
		s.level = share
	}
	if share < serviceKept*s.level || share == 0 {
		return trace.Errorf("the level of service is %.3f, it was %.3f", share, s.level)
	}
	return nil
}

// outside returns callers that use the entry hosts outside the named ones, and one
// host for each request.
func (s *scenario) outside(names string) *callers {
	left := &callers{tries: 1, transport: s.callers.transport}
	excluded := s.hostsOf(strings.Split(names, ","))
	for _, h := range s.cluster.hosts {
		if !slices.Contains(excluded, h.id) {
			left.hosts = append(left.hosts, h.api)
		}
	}
	return left
}

// inside returns callers that use only the named host or the hosts of a zone.
func (s *scenario) inside(name string) *callers {
	named := &callers{tries: callerTries, transport: s.callers.transport}
	included := s.hostsOf([]string{name})
	for _, h := range s.cluster.hosts {
		if slices.Contains(included, h.id) {
			named.hosts = append(named.hosts, h.api)
		}
	}
	return named
}

// serviceShare sends requests and returns the share that is answered.
func (s *scenario) serviceShare(n int, c *callers) float64 {
	s.batches++
	size := Size{Requests: n, Over: serviceOver}
	w := NewWorkload(s.profile, size, "s"+strconv.Itoa(s.batches), s.options.Seed+uint64(s.batches))
	begin := time.Now()
	var all sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	for _, request := range w.requests {
		all.Go(func() {
			pause(s.ctx, time.Until(begin.Add(request.at)))
			record, cause := c.send(s.ctx, request)
			s.recorder.addCause("service", record.Reply, cause)
			if record.Reply == judge.ReplyNone {
				record.Reply = judge.ReplyUnknown // its caller asks nobody else
			}
			s.recorder.addRequest(record)
			mu.Lock()
			defer mu.Unlock()
			if record.Reply == judge.ReplyAnswered {
				answered++
			}
		})
	}
	all.Wait()
	return float64(answered) / float64(n)
}
