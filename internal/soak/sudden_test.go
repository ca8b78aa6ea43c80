package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/faultproxy"
	"github.com/daisyfold/daisyfold/internal/standin"
	"github.com/daisyfold/daisyfold/platform/platformtest"
)

const (
	suddenCallers = 10
	// callerPause and storeLatency are such that several submissions are in flight at any time.
	callerPause  = 300 * time.Millisecond
	storeLatency = 150 * time.Millisecond
	// suddenTaskTime is above the time from the start of a run to a kill or a reset.
	suddenTaskTime = 500 * time.Millisecond
	// recoveryTime is the time within which hosts that were killed serve again: recoverS of the
	// platform's sheets.
	recoveryTime = 15 * time.Second
)

// suddenRun is a cluster with callers that submit jobs until they are accepted.
type suddenRun struct {
	*cluster
	jobs    atomic.Int64
	callers sync.WaitGroup
	stop    context.CancelFunc // makes the callers send no further jobs
	mu      sync.Mutex
	paths   []string // of the accepted jobs
}

func newSuddenRun(t *testing.T, seed uint64) *suddenRun {
	t.Helper()
	s := &suddenRun{cluster: newCluster(t, buildDaemon(t), seed)}
	s.store.SetFaults(standin.StoreFaults{ExtraLatency: storeLatency})
	s.awaitServing()
	return s
}

// TestHostsKilledAtOnce guards against accepted jobs that are lost or run twice, and against
// hosts that do not serve again, when all or nearly all processes are killed at the same moment
// while jobs are submitted and run.
func TestHostsKilledAtOnce(t *testing.T) {
	s := newSuddenRun(t, 92)
	s.startCallers()
	for _, survivors := range []int{0, 1} {
		s.awaitNewRuns()
		s.killAtOnce(s.hosts[survivors:])
		s.awaitServing()
	}
	s.checkEnds()
}

// TestConnectionsResetAtOnce guards against jobs that are lost or run twice, runs that end, and
// hosts that do not serve again, when all open connections of callers, store or workers, or all of
// them, are reset at the same moment.
func TestConnectionsResetAtOnce(t *testing.T) {
	s := newSuddenRun(t, 93)
	var fronts, stores []func()
	for _, p := range s.hosts {
		front, err := faultproxy.Listen(p.frontAddress())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(front.Close)
		p.front = front.Address()
		fronts, stores = append(fronts, front.Reset), append(stores, p.proxy.Reset)
	}
	var workers []func()
	for _, l := range s.workerConnections {
		workers = append(workers, l.reset)
	}
	s.startCallers()
	for _, resets := range [][]func(){stores, workers, fronts, slices.Concat(stores, workers, fronts)} {
		s.awaitNewRuns()
		for _, reset := range resets {
			reset()
		}
		s.awaitServing()
	}
	s.checkEnds()
	for _, ending := range []string{"lapsed", "failed"} {
		if n := s.fleet.Ledger().Count(ending); n > 0 {
			t.Errorf("%d runs %s", n, ending)
		}
	}
}

// startCallers starts callers that submit jobs one after the other until stop is called, which
// waits for their last ones.
func (s *suddenRun) startCallers() {
	ctx, stop := context.WithCancel(context.Background())
	s.stop = func() {
		stop()
		s.callers.Wait()
	}
	s.t.Cleanup(s.stop)
	for i := range suddenCallers {
		s.callers.Go(func() {
			c := newClient()
			defer c.close()
			for {
				s.submit(c, i)
				select {
				case <-ctx.Done():
					return
				case <-time.After(callerPause):
				}
			}
		})
	}
}

// submit submits a job to one host after the other until it is accepted.
func (s *suddenRun) submit(c *client, firstHost int) {
	n := int(s.jobs.Add(1))
	first := work.Step{Tasks: 1 + n%2, Demand: work.Resources{CPU: 5000, MemoryMB: 5000, Accelerators: 1}, EstimateMS: int(suddenTaskTime.Milliseconds()), Gang: n%4 < 2}
	second := first
	second.After = []int{0}
	job := &work.Job{ID: fmt.Sprintf("%016x", n), Spec: fmt.Sprint("spec ", n), MaxAttempts: 3, Steps: []work.Step{first, second}}
	s.fleet.RegisterJob(job, func(int, int) standin.Behaviour { return standin.Behaviour{Work: suddenTaskTime} })
	path := "/normal/" + job.ID
	for attempt := range maxPersistentAttempts {
		h := s.hosts[(firstHost+attempt)%len(s.hosts)]
		if c.call(h, http.MethodPost, path, "key", platformtest.EncodeSubmission(job)).status == http.StatusOK {
			s.mu.Lock()
			s.paths = append(s.paths, path)
			s.mu.Unlock()
			return
		}
		time.Sleep(persistentDelay)
	}
	s.t.Errorf("job %s was not accepted", path)
}

// await waits until the condition holds, and fails the test after recoveryTime.
func (s *suddenRun) await(what string, condition func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(recoveryTime); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("%s: not within %s", what, recoveryTime)
		}
	}
}

// awaitNewRuns waits until tasks of jobs run that are submitted from now on.
func (s *suddenRun) awaitNewRuns() {
	s.t.Helper()
	first := fmt.Sprintf("%016x", s.jobs.Load()+1)
	s.await("new tasks run", func() bool {
		n := 0
		for id := range s.fleet.Ledger().RunningJobs() {
			if id >= first {
				n++
			}
		}
		return n >= suddenCallers
	})
}

// awaitServing waits until each host answers for a job that does not exist.
func (s *suddenRun) awaitServing() {
	s.t.Helper()
	for i, p := range s.hosts {
		c := newClient()
		s.await(p.name+" serves", func() bool {
			return c.call(p, http.MethodGet, "/normal/"+fmt.Sprintf("%016x", 1<<40+i), "key", nil).status == http.StatusGone
		})
		c.close()
	}
}

// killAtOnce kills the processes of hosts, and starts them again once all have ended.
func (s *suddenRun) killAtOnce(hosts []*process) {
	var ended []chan struct{}
	for _, p := range hosts {
		ended = append(ended, p.signal(syscall.SIGKILL))
	}
	for i, p := range hosts {
		<-ended[i]
		s.start(p)
	}
}

// checkEnds checks that all accepted jobs are completed and that nothing ran twice.
func (s *suddenRun) checkEnds() {
	s.stop()
	s.checkAlive()
	s.awaitCompletion(s.paths)
	for _, v := range s.fleet.Ledger().Violations() {
		s.t.Error(v)
	}
	s.t.Logf("%d jobs, %d runs done", len(s.paths), s.fleet.Ledger().Count("done"))
}
