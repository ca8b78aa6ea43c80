package engine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/intake"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/standin"
)

// fillerStep returns a step of long-running best-effort tasks, of which one may be stopped at a time.
func fillerStep(tasks int) work.Step {
	return work.Step{Tasks: tasks, Demand: work.Resources{MemoryMB: 1000}, LongRunning: true, BestEffort: true, MaxPerWorker: 1, MaxUnavailable: 1}
}

// servingStep returns a step of latency-sensitive tasks with a worker of their own each.
func servingStep(tasks int) work.Step {
	return work.Step{Tasks: tasks, Demand: largeTask, LongRunning: true, LatencySensitive: true, MaxPerWorker: 1}
}

// awaitAllRun fails the test unless as many tasks of the jobs run as they have, for the last second of the given time.
func (c *cluster) awaitAllRun(within time.Duration, jobs ...work.Job) {
	c.t.Helper()
	time.Sleep(within - time.Second)
	for range 5 {
		for _, j := range jobs {
			if n := len(c.activeRuns(j)); n != j.Steps[0].Tasks {
				c.t.Errorf("%d of %d tasks of job %s run", n, j.Steps[0].Tasks, j.ID)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// TestFillersThatFitNowhereElseArePaused guards against latency-sensitive tasks that never start because best-effort tasks with a limit of unavailable ones are on all workers. The ledger checks for HARM and AVAIL.
func TestFillersThatFitNowhereElseArePaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 6})
		defer c.close()
		fillers, serving := newJob(1, fillerStep(6)), newJob(2, servingStep(3))
		c.submit("batch", fillers, standin.Behaviour{})
		time.Sleep(2 * time.Second)
		c.submit("normal", serving, standin.Behaviour{})
		c.awaitAllRun(6*time.Second, fillers, serving)
		if n := c.fleet.Paused(); n != 3 {
			t.Errorf("%d best-effort tasks are paused, want 3", n)
		}
		c.crash(c.owner().name)
		c.awaitAllRun(8*time.Second, fillers, serving)
		if a := c.anyHost().Intake.Cancel(t.Context(), newCall("/normal/"+serving.ID), serving.ID); a.Outcome != intake.OK {
			t.Errorf("got %v (%s) for the cancellation", a.Outcome, a.Reason)
		}
		time.Sleep(5 * time.Second)
		if n := c.fleet.Paused(); n != 0 {
			t.Errorf("%d best-effort tasks are paused after the latency-sensitive ones have ended", n)
		}
	})
}

// TestFillersBesideServingTasksArePaused guards against best-effort tasks that never start because latency-sensitive tasks are on all workers.
func TestFillersBesideServingTasksArePaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 3})
		defer c.close()
		fillers, serving := newJob(1, fillerStep(2)), newJob(2, servingStep(3))
		c.submit("normal", serving, standin.Behaviour{})
		time.Sleep(2 * time.Second)
		c.submit("batch", fillers, standin.Behaviour{})
		c.awaitAllRun(5*time.Second, fillers, serving)
		time.Sleep(5 * time.Second)
		if n := c.fleet.Paused(); n != 2 {
			t.Errorf("%d best-effort tasks are paused, want 2", n)
		}
	})
}

// TestPausesSurviveLostOrders guards against best-effort tasks that are not paused because orders are lost or carried out late, also through a change of owner.
func TestPausesSurviveLostOrders(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, clusterOptions{hosts: 2, workers: 6, seed: seed})
			defer c.close()
			fillers, serving := newJob(1, fillerStep(6)), newJob(2, servingStep(3))
			c.submit("batch", fillers, standin.Behaviour{})
			time.Sleep(2 * time.Second)
			c.fleet.SetOrderFaults(0.05, 0.2)
			c.submit("normal", serving, standin.Behaviour{})
			time.Sleep(2 * time.Second)
			if o := c.owner(); o != nil && seed%2 == 0 {
				c.crash(o.name)
			}
			time.Sleep(4 * time.Second)
			c.fleet.SetOrderFaults(0, 0)
			c.awaitAllRun(40*time.Second, fillers, serving)
			if n := c.fleet.Paused(); n != 3 {
				t.Errorf("seed %d: %d best-effort tasks are paused, want 3", seed, n)
			}
		})
	}
}
