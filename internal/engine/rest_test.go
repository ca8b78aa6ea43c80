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
