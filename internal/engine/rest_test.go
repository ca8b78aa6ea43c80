package engine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/standin"
)

const (
	// maxStartDelay is the time in which the platform expects that a ready task starts.
	maxStartDelay = 3 * time.Second
	// manyFailures is more than the runs of a task in a test.
	manyFailures = 1000
)

// awaitRunning waits until n tasks of the job run, and fails the test if that takes longer than the limit.
func (c *cluster) awaitRunning(j work.Job, n int, limit time.Duration) {
	c.t.Helper()
	began := time.Now()
	for len(c.activeRuns(j)) < n {
		if time.Since(began) > limit {
			c.t.Errorf("job %s: %d of %d tasks run after %s", j.ID, len(c.activeRuns(j)), n, limit)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestFailingTasksDoNotWithholdWorkersFromOthers guards against a sound task that waits because the tasks of another organisation fail.
func TestFailingTasksDoNotWithholdWorkersFromOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 4})
		defer c.close()
		noisy := newJob(1, work.Step{Tasks: 4, Demand: smallTask, LongRunning: true, MaxPerWorker: 1})
		c.submit("normal", noisy, standin.Behaviour{Work: 3 * time.Second, Failures: manyFailures})
		for i := range 10 {
			time.Sleep(6 * time.Second)
			sound := newJob(2+i, work.Step{Tasks: 1, Demand: smallTask, LongRunning: true})
			c.submitWithKey("guest-key", "normal", sound, standin.Behaviour{})
			c.awaitRunning(sound, 1, maxStartDelay)
		}
		c.awaitRunning(noisy, 4, maxStartDelay)
	})
}

// TestWorkersThatWorkAgainAreUsedAtOnce guards against ready tasks that wait for the end of a rest after all workers have failed what they started.
func TestWorkersThatWorkAgainAreUsedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 2})
		defer c.close()
		for _, w := range c.workers {
			w.SetFailing(true)
		}
		jobs := []work.Job{}
		for i := range 6 {
			j := newJob(1+i, work.Step{Tasks: 2, Demand: smallTask, LongRunning: true})
			c.submit("normal", j, standin.Behaviour{})
			jobs = append(jobs, j)
		}
		time.Sleep(20 * time.Second)
		for _, w := range c.workers {
			w.SetFailing(false)
		}
		began := time.Now()
		for _, j := range jobs {
			c.awaitRunning(j, 2, max(maxStartDelay-time.Since(began), 0))
		}
	})
}

// TestFailingWorkersCostFewAttempts guards against probes of failing workers that use up the attempts of jobs that would run elsewhere.
func TestFailingWorkersCostFewAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 12})
		defer c.close()
		c.workers[0].SetFailing(true)
		c.workers[7].SetFailing(true)
		var jobs []work.Job
		for i := range 60 { // more than fits at once
			j := newJob(1+i, work.Step{Tasks: 2, Demand: work.Resources{CPU: 30_000, MemoryMB: 1000, Accelerators: 2}, EstimateMS: 1500})
			c.submit([]string{"normal", "batch", "urgent"}[i%3], j, standin.Behaviour{Work: 1500 * time.Millisecond})
			jobs = append(jobs, j)
		}
		for _, j := range jobs {
			c.awaitStatus(j.ID, work.Completed, time.Minute)
		}
		t.Logf("%d runs failed", c.fleet.Ledger().Count("failed"))
	})
}

// TestGangThatCannotFitDoesNotWithholdFreeResources guards against a gang that waits beside long-running tasks and keeps what is free from others.
func TestGangThatCannotFitDoesNotWithholdFreeResources(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workerCount = 12
		c := newCluster(t, clusterOptions{hosts: 2, workers: workerCount})
		defer c.close()
		lasting := newJob(1, work.Step{Tasks: workerCount, Demand: work.Resources{CPU: 40_000, MemoryMB: 65_536, Accelerators: 5}, LongRunning: true, MaxPerWorker: 1})
		c.submit("urgent", lasting, standin.Behaviour{})
		c.awaitRunning(lasting, workerCount, maxStartDelay)
		gang := newJob(2, work.Step{Tasks: workerCount, Demand: largeTask, EstimateMS: 5000, Gang: true})
		c.submit("normal", gang, standin.Behaviour{Work: 5 * time.Second})
		time.Sleep(2 * time.Second)
		small := newJob(3, work.Step{Tasks: 1, Demand: smallTask, LongRunning: true})
		c.submitWithKey("guest-key", "batch", small, standin.Behaviour{})
		c.awaitRunning(small, 1, maxStartDelay)
		brief := newJob(4, work.Step{Tasks: 4, Demand: smallTask, EstimateMS: 1000})
		c.submitWithKey("guest-key", "batch", brief, standin.Behaviour{Work: time.Second})
		c.awaitStatus(brief.ID, work.Completed, maxStartDelay+time.Second)
	})
}

// TestReservationLetsShorterWorkPass guards against a reserved worker that stays empty while the gang waits for the end of longer work.
func TestReservationLetsShorterWorkPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workerCount = 4
		c := newCluster(t, clusterOptions{hosts: 2, workers: workerCount})
		defer c.close()
		long := newJob(1, work.Step{Tasks: workerCount - 1, Demand: largeTask, EstimateMS: 20_000})
		c.submit("normal", long, standin.Behaviour{Work: 20 * time.Second})
		time.Sleep(time.Second)
		gang := newJob(2, work.Step{Tasks: workerCount, Demand: largeTask, EstimateMS: 2000, Gang: true})
		c.submit("normal", gang, standin.Behaviour{Work: 2 * time.Second})
		time.Sleep(time.Second)
		brief := newJob(3, work.Step{Tasks: 1, Demand: smallTask, EstimateMS: 2000})
		c.submit("batch", brief, standin.Behaviour{Work: 2 * time.Second})
		c.awaitStatus(brief.ID, work.Completed, 5*time.Second)
		// Work that is longer than the gang waits must not pass.
		slow := newJob(4, work.Step{Tasks: 4, Demand: smallTask, EstimateMS: 25_000})
		c.submit("batch", slow, standin.Behaviour{Work: 25 * time.Second})
		c.awaitStatus(gang.ID, work.Completed, 21*time.Second)
	})
}
