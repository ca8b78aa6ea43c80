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

// Defaults of a scenario's workload.
const (
	defaultOver     = 5 * time.Second
	defaultMinRunMS = 300
	defaultMaxRunMS = 3000
)

// options reads name=value options into the fields with the same names.
func readOptions(named map[string]string, numbers map[string]*int, times map[string]*time.Duration) error {
	for name, text := range named {
		var err error
		switch {
		case numbers[name] != nil:
			*numbers[name], err = strconv.Atoi(text)
		case times[name] != nil:
			*times[name], err = time.ParseDuration(text)
		default:
			err = trace.BadParameter("no such option")
		}
		if err != nil {
			return trace.BadParameter("%s=%s: %v", name, text, err)
		}
	}
	return nil
}

// cmdSubmit submits jobs in the background: submit N [over=5s] [min=300ms]
// [max=3s] [cancelled=N] [impossible=N].
func cmdSubmit(s *scenario, _ *testscript.TestScript, args []string) error {
	plain, named := splitArgs(args)
	if len(plain) != 1 {
		return usage("submit N [over=5s] [min=300ms] [max=3s] [cancelled=N] [impossible=N]")
	}
	size := Size{Over: defaultOver}
	shortest, longest := defaultMinRunMS*time.Millisecond, defaultMaxRunMS*time.Millisecond
	err := readOptions(named,
		map[string]*int{"cancelled": &size.Cancelled, "impossible": &size.Impossible},
		map[string]*time.Duration{"over": &size.Over, "min": &shortest, "max": &longest})
	if err != nil {
		return trace.Wrap(err)
	}
	size.MinRunMS, size.MaxRunMS = shortest.Milliseconds(), max(shortest, longest).Milliseconds()
	size.Jobs, err = strconv.Atoi(plain[0])
	if err != nil {
		return trace.BadParameter("%v", err)
	}
	s.start(size)
	return nil
}

// cmdRequests sends requests in the background: requests N [over=5s] [once=N].
func cmdRequests(s *scenario, _ *testscript.TestScript, args []string) error {
	plain, named := splitArgs(args)
	if len(plain) != 1 {
		return usage("requests N [over=5s] [once=N]")
	}
	size := Size{Over: defaultOver}
	err := readOptions(named, map[string]*int{"once": &size.Once}, map[string]*time.Duration{"over": &size.Over})
	if err != nil {
		return trace.Wrap(err)
	}
	size.Requests, err = strconv.Atoi(plain[0])
	if err != nil {
		return trace.BadParameter("%v", err)
	}
	s.start(size)
	return nil
}

// cmdZone takes a zone out or in: zone out|in ZONE [at=HOST|ZONE]. The operator
// asks any host, or only those named.
func cmdZone(s *scenario, _ *testscript.TestScript, args []string) error {
	plain, named := splitArgs(args)
	if len(plain) != 2 || (plain[0] != "out" && plain[0] != "in") {
		return usage("zone out|in ZONE [at=HOST|ZONE]")
	}
	operator := s.callers
	if at := named["at"]; at != "" {
		operator = s.inside(at)
	}
	s.changes++
	id := fmt.Sprintf("zone-change-%d", s.changes)
	change, err := operator.setZone(s.ctx, id, model.Zone(plain[1]), plain[0] == "in")
	s.recorder.addZone(change)
	return trace.Wrap(err)
}

func (s *scenario) awaitReady(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	return trace.Wrap(s.cluster.AwaitReady(ctx))
}

// awaitJobs waits until at least the given number of jobs run or have finished.
func (s *scenario) awaitJobs(state, number string, limit time.Duration) error {
	want, err := strconv.Atoi(number)
	if err != nil || (state != "running" && state != "finished") {
		return usage("await running|finished N DURATION")
	}
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	what := fmt.Sprintf("%d jobs %s", want, state)
	return trace.Wrap(s.cluster.await(ctx, what, func() (bool, string) {
		l, err := s.cluster.Ledger(ctx)
		if err != nil {
			return false, err.Error()
		}
		running, finished := countJobs(l)
		seen := fmt.Sprintf("%d running, %d finished", running, finished)
		if state == "running" {
			return running >= want, seen
		}
		return finished >= want, seen
	}))
}
