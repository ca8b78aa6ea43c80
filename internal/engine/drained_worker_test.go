package engine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/standin"
)

// TestDrainingWorkerThatLostStoreIsNotTakenAsLeft guards against runs that are started a second time because the platform has removed the entry of a draining worker, which is cut off from the store and still works, soon after a takeover.
func TestDrainingWorkerThatLostStoreIsNotTakenAsLeft(t *testing.T) {
	// A new owner that finds the entries gone cannot reach the workers, so their leases lapse.
	const latestTakeoverWithEntries = 2 * time.Second
	for wait := 250 * time.Millisecond; wait < 5*time.Second; wait += 250 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, clusterOptions{hosts: 3, workers: 6})
			defer c.close()
			j := newJob(1, work.Step{Tasks: 3, Demand: largeTask, EstimateMS: 12_000, MaxPerWorker: 1})
			c.submit("normal", j, standin.Behaviour{Work: 12 * time.Second})
			time.Sleep(2 * time.Second)
			for _, w := range c.workers[:5] {
				w.Drain(20 * time.Second)
				w.SetCutFromStore(true)
			}
			time.Sleep(wait)
			c.crash(c.owner().name)
			time.Sleep(6 * time.Second)
			for _, w := range c.workers[:5] {
				w.SetCutFromStore(false)
			}
			c.awaitStatus(j.ID, work.Completed, 90*time.Second)
			for i := range 3 {
				if wait > latestTakeoverWithEntries {
					break // the ledger checks for TWICE
				}
				if runs := c.fleet.Ledger().Runs(work.TaskName{Job: j.ID, Index: i}); len(runs) != 1 {
					t.Errorf("wait %v: task %d has %d runs, want 1", wait, i, len(runs))
				}
			}
		})
	}
}

// TestLateHeartbeatOfDrainingWorkerIsNoDeparture guards against runs that are started a second time
// because the platform has removed the entry of a draining worker right after a heartbeat of it that the
// store carried out late, while the worker still works.
func TestLateHeartbeatOfDrainingWorkerIsNoDeparture(t *testing.T) {
	for _, beforeRemoval := range []time.Duration{10 * time.Millisecond, 400 * time.Millisecond, heartbeatInterval} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, clusterOptions{hosts: 2, workers: 6})
			defer c.close()
			j := newJob(1, work.Step{Tasks: 3, Demand: largeTask, EstimateMS: 12_000, MaxPerWorker: 1})
			c.submit("normal", j, standin.Behaviour{Work: 12 * time.Second})
			time.Sleep(time.Second)
			for _, w := range c.workers {
				w.Drain(20 * time.Second)
			}
			for i := range 3 {
				c.fleet.AddWorker(newWorkerEntry(len(c.workers) + i))
			}
			time.Sleep(2 * heartbeatInterval)
			for _, w := range c.workers {
				w.SetCutFromStore(true)
			}
			time.Sleep(3*heartbeatInterval - beforeRemoval)
			for _, w := range c.workers {
				w.DeliverLateHeartbeat()
			}
			c.awaitStatus(j.ID, work.Completed, 90*time.Second)
			for i := range 3 { // the ledger checks for TWICE
				if runs := c.fleet.Ledger().Runs(work.TaskName{Job: j.ID, Index: i}); len(runs) != 1 {
					t.Errorf("%v before the removal: task %d has %d runs, want 1", beforeRemoval, i, len(runs))
				}
			}
		})
	}
}
