package load

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/daisyfold/daisyfold/internal/model"
)

// Defaults of the workload commands.
const (
	defaultWorkloadDuration = 5 * time.Second
	defaultMinRunMS         = 300
	defaultMaxRunMS         = 3000
)

// readOptions parses name=value options into the numbers and durations of the same name.
func readOptions(named map[string]string, numbers map[string]*int, durations map[string]*time.Duration) error {
	for name, text := range named {
		var err error
		switch {
		case numbers[name] != nil:
			*numbers[name], err = strconv.Atoi(text)
		case durations[name] != nil:
			*durations[name], err = time.ParseDuration(text)
		default:
			err = trace.BadParameter("unknown option")
		}
		if err != nil {
			return trace.BadParameter("%s=%s: %v", name, text, err)
		}
	}
	return nil
}

// cmdSubmit submits jobs in the background: submit N [over=5s] [min=300ms] [max=3s]
// [cancelled=N] [impossible=N].
func cmdSubmit(s *scenario, _ *testscript.TestScript, args []string) error {
	positional, named := splitArgs(args)
	if len(positional) != 1 {
		return usage("submit N [over=5s] [min=300ms] [max=3s] [cancelled=N] [impossible=N]")
	}
	size := WorkloadSize{Duration: defaultWorkloadDuration}
	shortest, longest := defaultMinRunMS*time.Millisecond, defaultMaxRunMS*time.Millisecond
	err := readOptions(named,
		map[string]*int{"cancelled": &size.CancelledJobs, "impossible": &size.ImpossibleJobs},
		map[string]*time.Duration{"over": &size.Duration, "min": &shortest, "max": &longest})
	if err != nil {
		return trace.Wrap(err)
	}
	size.MinRunMS, size.MaxRunMS = shortest.Milliseconds(), max(shortest, longest).Milliseconds()
	size.Jobs, err = strconv.Atoi(positional[0])
	if err != nil {
		return trace.BadParameter("%v", err)
	}
	s.startWorkload(size)
	return nil
}

// cmdRequests sends requests in the background: requests N [over=5s] [once=N].
func cmdRequests(s *scenario, _ *testscript.TestScript, args []string) error {
	positional, named := splitArgs(args)
	if len(positional) != 1 {
		return usage("requests N [over=5s] [once=N]")
	}
	size := WorkloadSize{Duration: defaultWorkloadDuration}
	err := readOptions(named, map[string]*int{"once": &size.NonRepeatableRequests}, map[string]*time.Duration{"over": &size.Duration})
	if err != nil {
		return trace.Wrap(err)
	}
	size.Requests, err = strconv.Atoi(positional[0])
	if err != nil {
		return trace.BadParameter("%v", err)
	}
	s.startWorkload(size)
	return nil
}

// cmdZone takes a zone out of service or returns it: zone out|in ZONE [at=HOST|ZONE]. The
// operator uses any host, or only those named.
func cmdZone(s *scenario, _ *testscript.TestScript, args []string) error {
	positional, named := splitArgs(args)
	if len(positional) != 2 || (positional[0] != "out" && positional[0] != "in") {
		return usage("zone out|in ZONE [at=HOST|ZONE]")
	}
	caller := s.caller
	if at := named["at"]; at != "" {
		caller = s.callerAt(at)
	}
	s.zoneChangeCount++
	id := fmt.Sprintf("zone-change-%d", s.zoneChangeCount)
	change, err := caller.setZoneInService(s.ctx, id, model.Zone(positional[1]), positional[0] == "in")
	s.recorder.addZoneChange(change)
	return trace.Wrap(err)
}

// awaitReady waits until all running daemons are ready.
func (s *scenario) awaitReady(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	return trace.Wrap(s.cluster.AwaitReady(ctx))
}

// awaitJobs waits until at least the given number of jobs run or have finished.
func (s *scenario) awaitJobs(state, countText string, timeout time.Duration) error {
	want, err := strconv.Atoi(countText)
	if err != nil || (state != "running" && state != "finished") {
		return usage("await running|finished N DURATION")
	}
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	what := fmt.Sprintf("%d jobs %s", want, state)
	return trace.Wrap(s.cluster.await(ctx, what, func() (bool, string) {
		l, err := s.cluster.Ledger(ctx)
		if err != nil {
			return false, err.Error()
		}
		running, finished := countJobs(l)
		observed := fmt.Sprintf("%d running, %d finished", running, finished)
		if state == "running" {
			return running >= want, observed
		}
		return finished >= want, observed
	}))
}
