package engine_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/intake"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/standin"
)

// TestUnansweredStartIsRetried guards against a gang that is stopped and placed again
// because one of its starts got no response, although the same start could be sent again.
func TestUnansweredStartIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 6})
		defer c.close()
		j := newJob(1, work.Step{Tasks: 4, Demand: largeTask, EstimateMS: 2000, Gang: true})
		c.fleet.DelayOrders(1)
		c.submit("urgent", j, standin.Behaviour{Work: 2 * time.Second})
		c.awaitStatus(j.ID, work.Completed, 3*time.Second)
		if n := len(c.fleet.Ledger().Runs(work.TaskName{Job: j.ID})); n != 1 {
			t.Errorf("the first member had %d runs instead of one", n)
		}
		time.Sleep(15 * time.Second) // the first attempt is executed late
	})
}

// TestDelayedStartReachesNextIncarnation guards against a run that is unknown to the
// scheduler because the next incarnation of the worker executes a delayed start.
func TestDelayedStartReachesNextIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 1})
		defer c.close()
		j := newJob(1, work.Step{Tasks: 1, Demand: smallTask, EstimateMS: 3000})
		c.fleet.DelayOrders(1)
		c.submit("urgent", j, standin.Behaviour{Work: 3 * time.Second})
		time.Sleep(time.Second)
		c.workers[0].Restart()
		c.awaitStatus(j.ID, work.Completed, 15*time.Second)
		time.Sleep(15 * time.Second)
	})
}

// TestReadiness guards against a host that is ready while it cannot reach the store, and
// against one that is not ready after a short interruption.
func TestReadiness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 3, workers: 1})
		defer c.close()
		h := c.anyHost()
		if ok, reason := h.Ready(); !ok {
			t.Fatalf("not ready without faults: %s", reason)
		}
		c.store.SetHostFaults(h.name, standin.StoreFaults{Down: true})
		time.Sleep(800 * time.Millisecond)
		if ok, reason := h.Ready(); !ok {
			t.Errorf("not ready after 0.8 s without the store: %s", reason)
		}
		time.Sleep(800 * time.Millisecond)
		if ok, _ := h.Ready(); ok {
			t.Error("ready after 1.6 s without the store")
		}
		c.store.SetHostFaults(h.name, standin.StoreFaults{})
		time.Sleep(1500 * time.Millisecond)
		if ok, reason := h.Ready(); !ok {
			t.Errorf("not ready 1.5 s after the store came back: %s", reason)
		}
	})
}

// TestRestartedHostsElectOwnerAtOnce guards against hosts that wait for hosts with a larger
// CPU share when all hosts restart, although the last owner's member name shows that there
// are none.
func TestRestartedHostsElectOwnerAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 1})
		defer c.close()
		for name := range c.hosts {
			c.crash(name)
		}
		time.Sleep(2 * time.Second) // the membership of the former owner expires
		began := time.Now()
		c.addHost("host-8")
		c.addHost("host-9")
		for c.owner() == nil && time.Since(began) < settleTime {
			time.Sleep(10 * time.Millisecond)
		}
		// Two queries of the empty group, a join, and the jitter of both.
		if took := time.Since(began); took > 500*time.Millisecond {
			t.Errorf("a host became the owner after %s", took)
		}
	})
}

// TestSlowWorkerIsAvoided guards against an urgent gang that is late because one of its
// members runs on a slow worker, and against a next gang that is placed on the same worker.
func TestSlowWorkerIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 8})
		defer c.close()
		c.workers[0].SetSlowdown(6)
		first := newJob(1, work.Step{Tasks: 4, Demand: largeTask, EstimateMS: 5000, Gang: true})
		c.submit("urgent", first, standin.Behaviour{Work: 5 * time.Second})
		time.Sleep(3 * time.Second)
		second := newJob(2, work.Step{Tasks: 3, Demand: largeTask, EstimateMS: 1000, Gang: true})
		c.submit("urgent", second, standin.Behaviour{Work: time.Second})
		c.awaitStatus(second.ID, work.Completed, 1500*time.Millisecond)
		// Two progress samples, a stop of at most 0.9 s, the work, and a read of the status.
		c.awaitStatus(first.ID, work.Completed, 5*time.Second)
	})
}

// TestUnderestimatedTaskIsNotRestarted guards against a task that is restarted repeatedly
// because it takes much longer than estimated, although its workers are healthy.
func TestUnderestimatedTaskIsNotRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 4})
		defer c.close()
		j := newJob(1, work.Step{Tasks: 1, Demand: smallTask, EstimateMS: 1000})
		c.submit("normal", j, standin.Behaviour{Work: 8 * time.Second})
		c.awaitStatus(j.ID, work.Completed, 13*time.Second)
		if n := len(c.fleet.Ledger().Runs(work.TaskName{Job: j.ID})); n > 2 {
			t.Errorf("the task had %d runs", n)
		}
	})
}

// TestPreemptedCapacityIsReserved guards against capacity that is being freed for an urgent
// gang but is given to later urgent work, so that the gang preempts more work repeatedly.
func TestPreemptedCapacityIsReserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 6})
		defer c.close()
		for i := range 24 {
			batch := newJob(100+i, work.Step{Tasks: 2, Demand: smallTask, EstimateMS: 60_000})
			c.submit("batch", batch, standin.Behaviour{Work: 60 * time.Second})
		}
		time.Sleep(500 * time.Millisecond)
		gang := newJob(1, work.Step{Tasks: 6, Demand: largeTask, EstimateMS: 2000, Gang: true})
		c.submit("urgent", gang, standin.Behaviour{Work: 2 * time.Second})
		for i := range 8 {
			time.Sleep(50 * time.Millisecond)
			single := newJob(10+i, work.Step{Tasks: 1, Demand: smallTask, EstimateMS: 100})
			c.submit("urgent", single, standin.Behaviour{Work: time.Second})
		}
		// The stops take 0.45 s each; the gang has already waited as long.
		c.awaitStatus(gang.ID, work.Completed, 2*time.Second+500*time.Millisecond)
	})
}

// TestReadRateRecoversAfterOutage guards against hosts that continue to read at a low rate
// after the store has refused their reads for a while. The scheduler would receive new jobs
// late, and callers would see the ends of jobs late.
func TestReadRateRecoversAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 3, workers: 4})
		defer c.close()
		c.store.SetFaults(standin.StoreFaults{Refuse: true})
		time.Sleep(4 * time.Second)
		c.store.SetFaults(standin.StoreFaults{})
		time.Sleep(1500 * time.Millisecond) // the hosts detect that the store is back
		for id := 1; id <= 4; id++ {
			j := newJob(id, work.Step{Tasks: 1, Demand: smallTask, EstimateMS: 500})
			c.submit("urgent", j, standin.Behaviour{Work: 500 * time.Millisecond})
			c.awaitStatus(j.ID, work.Completed, 900*time.Millisecond)
		}
	})
}

// TestRetriedStartReachesNextIncarnation guards against a task that runs twice because a
// retry of its start reaches the worker's next incarnation before that one has responded
// to a poll. TestRandomDays found it (violation TWICE) on the random day of seed 8.
func TestRetriedStartReachesNextIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for delay := 20 * time.Millisecond; delay < 500*time.Millisecond; delay += 20 * time.Millisecond {
			c := newCluster(t, clusterOptions{hosts: 1, workers: 2})
			time.Sleep(20 * time.Second) // the leases of a former owner have expired
			j := newJob(1, work.Step{Tasks: 1, Demand: smallTask, EstimateMS: 2000})
			c.fleet.DelayOrders(1)
			c.submit("urgent", j, standin.Behaviour{Work: 2 * time.Second})
			time.Sleep(delay)
			for _, w := range c.workers {
				w.Restart()
			}
			c.awaitStatus(j.ID, work.Completed, 15*time.Second)
			c.close()
		}
	})
}

// TestConcurrentLookupsTimeOut guards against calls that hold a lock while they wait for
// the store. A second call could then not time out before the first one returns.
func TestConcurrentLookupsTimeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 1, workers: 1})
		defer c.close()
		h := c.anyHost()
		c.store.SetFaults(standin.StoreFaults{Down: true})
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		began := time.Now()
		answers := make(chan time.Duration, 3)
		for range cap(answers) {
			go func() {
				h.Intake.Status(ctx, newCall("/normal/00000000000000ff"), "00000000000000ff")
				answers <- time.Since(began)
			}()
		}
		for range cap(answers) {
			if took := <-answers; took > 350*time.Millisecond {
				t.Errorf("a call with a timeout of 0.3 s returned after %s", took)
			}
		}
		c.store.SetFaults(standin.StoreFaults{})
	})
}

// TestCallsAreAnsweredInTimeWithoutStore guards against calls that wait one after the other for
// a silent store, until long after their callers have given up.
func TestCallsAreAnsweredInTimeWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 1, workers: 1})
		defer c.close()
		h := c.anyHost()
		c.store.SetFaults(standin.StoreFaults{Down: true})
		const unknownJob = "00000000000000ff"
		call := newCall("/normal/" + unknownJob)
		calls := map[string]func() intake.Answer{
			"status":       func() intake.Answer { return h.Intake.Status(t.Context(), call, unknownJob) },
			"cancellation": func() intake.Answer { return h.Intake.Cancel(t.Context(), call, unknownJob) },
		}
		var wg sync.WaitGroup
		for name, f := range calls {
			for range 20 {
				wg.Go(func() {
					began := time.Now()
					a := f()
					if took := time.Since(began); a.Outcome != intake.TryLater || took > callerTimeout {
						t.Errorf("a %s returned %s after %s", name, a.Outcome, took)
					}
				})
			}
		}
		wg.Wait()
		c.store.SetFaults(standin.StoreFaults{})
	})
}

// TestShortNoticeSavesProgress guards against work that is lost, and against a job that
// waits until a lease expires, when a worker is removed at short notice.
func TestShortNoticeSavesProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 6})
		defer c.close()
		for id, saves := range map[int]bool{1: true, 2: false} {
			j := newJob(id, work.Step{Tasks: 1, Demand: largeTask, EstimateMS: 10_000, SavesProgress: saves})
			c.submit("normal", j, standin.Behaviour{Work: 10 * time.Second})
			time.Sleep(4 * time.Second)
			c.worker(c.activeRuns(j)[0].Worker).CrashAfterNotice(2 * time.Second)
			// A run that saves its progress is stopped 1.2 s before the worker leaves, so
			// 5.2 s of its 10 s are left; otherwise all 10 s are left. Restoring the progress
			// takes 0.25 s.
			within := 8 * time.Second
			if !saves {
				within = 12 * time.Second
			}
			c.awaitStatus(j.ID, work.Completed, within)
		}
	})
}

// TestStatusReadsKeepOwner guards against a host with a small CPU share that evicts an owner
// that is alive. Such a host reads at a low rate, and a read for a caller shows nothing
// about the time after it. A fleetbench run of scale-1 on kerherve-grown, in which processor
// time was not charged, found it (violation LOST after five takeovers).
func TestStatusReadsKeepOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 3, workers: 2, cpuShares: map[string]float64{"host-0": 0.8, "host-1": 0.2, "host-2": 0.2}})
		defer c.close()
		j := newJob(1, work.Step{Tasks: 1, Demand: smallTask, EstimateMS: 60_000})
		c.submit("normal", j, standin.Behaviour{Work: 60 * time.Second})
		owner := c.owner()
		c.mu.Lock()
		outranked := []*testHost{c.hosts["host-1"], c.hosts["host-2"]}
		c.mu.Unlock()
		for i := range 400 {
			time.Sleep(time.Duration(60+7*(i%40)) * time.Millisecond)
			outranked[i%2].Intake.Status(t.Context(), newCall("/normal/"+j.ID), j.ID)
			if now := c.owner(); now != owner {
				t.Fatalf("a healthy owner lost ownership after %d calls", i)
			}
		}
	})
}

// TestReservationsDoNotBlockSmallJobs guards against a small job that waits on an almost
// empty cluster because the whole free capacity is reserved for gangs that need one rack and
// do not fit yet.
func TestReservationsDoNotBlockSmallJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 12})
		defer c.close()
		for i := range 2 {
			blocker := newJob(100+i, work.Step{Tasks: 1, Demand: smallTask, EstimateMS: 60_000, PreferredRack: fmt.Sprintf("rack-%d", i)})
			c.submit("normal", blocker, standin.Behaviour{Work: 60 * time.Second})
		}
		for i := range 2 {
			gang := newJob(200+i, work.Step{Tasks: 6, Demand: largeTask, EstimateMS: 5000, Gang: true, SameRack: true})
			c.submit("normal", gang, standin.Behaviour{Work: 5 * time.Second})
		}
		j := newJob(1, work.Step{Tasks: 1, Demand: smallTask, EstimateMS: 1000})
		c.submit("batch", j, standin.Behaviour{Work: time.Second})
		c.awaitStatus(j.ID, work.Completed, 4*time.Second)
	})
}

// TestUnexpectedErrorEndsOnlyTheTerm guards against an error in one part of the scheduler
// that ends the process of the host, and against runs that are lost or run twice after it.
func TestUnexpectedErrorEndsOnlyTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 3, workers: 12})
		defer c.close()
		j := newJob(1, work.Step{Tasks: 6, Demand: largeTask, EstimateMS: 5000, Gang: true})
		c.submit("normal", j, standin.Behaviour{Work: 5 * time.Second})
		time.Sleep(time.Second)
		for range 3 {
			name := c.owner().name
			c.clockMu.Lock()
			c.failNext[name] = true
			c.clockMu.Unlock()
			time.Sleep(1500 * time.Millisecond)
		}
		if c.owner() == nil {
			t.Error("there is no owner after the failures")
		}
		c.awaitStatus(j.ID, work.Completed, 20*time.Second)
		if n := c.fleet.Ledger().Count("lapsed"); n != 0 {
			t.Errorf("%d runs lapsed", n)
		}
	})
}
