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
	// minServiceShare is the share of the baseline that the zones without a fault must keep
	// (docs/design.md, section 2.2).
	minServiceShare = 0.95
	serviceDuration = 3 * time.Second
)

// cmdService measures the share of answered requests: service N [except=A,B]. It sends N
// repeatable requests, each to one entry host only, to all hosts but the named hosts and
// zones. The first measurement of a script is the baseline before the fault; a later one
// fails if it is below 0.95 of the baseline.
func cmdService(s *scenario, ts *testscript.TestScript, args []string) error {
	positional, named := splitArgs(args)
	if len(positional) != 1 {
		return usage("service N [except=A,B]")
	}
	n, err := strconv.Atoi(positional[0])
	if err != nil {
		return trace.BadParameter("%v", err)
	}
	share := s.answeredShare(n, s.callerOutside(named["except"]))
	ts.Logf("%.3f of %d requests were answered", share, n)
	if s.baselineAnsweredShare == 0 {
		s.baselineAnsweredShare = share
	}
	if share < minServiceShare*s.baselineAnsweredShare || share == 0 {
		return trace.Errorf("the share of answered requests is %.3f, the baseline is %.3f", share, s.baselineAnsweredShare)
	}
	return nil
}

// callerOutside returns a caller that sends each request once, to one of the entry hosts
// that are not named.
func (s *scenario) callerOutside(names string) *apiCaller {
	caller := &apiCaller{maxAttempts: 1, httpClient: s.caller.httpClient}
	excluded := s.resolveHosts(strings.Split(names, ","))
	for _, h := range s.cluster.hosts {
		if !slices.Contains(excluded, h.id) {
			caller.addresses = append(caller.addresses, h.apiAddress)
		}
	}
	return caller
}

// callerAt returns a caller that uses only the named host or the hosts of the named zone.
func (s *scenario) callerAt(name string) *apiCaller {
	caller := &apiCaller{maxAttempts: maxCallerAttempts, httpClient: s.caller.httpClient}
	included := s.resolveHosts([]string{name})
	for _, h := range s.cluster.hosts {
		if slices.Contains(included, h.id) {
			caller.addresses = append(caller.addresses, h.apiAddress)
		}
	}
	return caller
}

// answeredShare sends n requests and returns the share of them that is answered.
func (s *scenario) answeredShare(n int, caller *apiCaller) float64 {
	s.workloadCount++
	size := WorkloadSize{Requests: n, Duration: serviceDuration}
	w := NewWorkload(s.profile, size, "s"+strconv.Itoa(s.workloadCount), s.options.Seed+uint64(s.workloadCount))
	begin := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	for _, request := range w.requests {
		wg.Go(func() {
			sleepContext(s.ctx, time.Until(begin.Add(request.startAfter)))
			record, errText := caller.sendRequest(s.ctx, request)
			s.recorder.countError("service", record.Reply, errText)
			if record.Reply == judge.ReplyNone {
				record.Reply = judge.ReplyUnknown // the caller does not ask another host
			}
			s.recorder.addRequest(record)
			mu.Lock()
			defer mu.Unlock()
			if record.Reply == judge.ReplyAnswered {
				answered++
			}
		})
	}
	wg.Wait()
	return float64(answered) / float64(n)
}
