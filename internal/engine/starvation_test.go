package engine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/standin"
)

// TestGangDoesNotWaitForRackForever guards against a gang that asks for one rack and is never
// started because each rack holds another task, although most workers are free.
func TestGangDoesNotWaitForRackForever(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 1, workers: 18})
		defer c.close()
		for rack := range 3 {
			lasting := newJob(1+rack, work.Step{Tasks: 1, Demand: smallTask, EstimateMS: 1000, LongRunning: true, PreferredRack: fmt.Sprintf("rack-%d", rack)})
			c.submit("normal", lasting, standin.Behaviour{Work: time.Second})
		}
		time.Sleep(time.Second)
		gang := newJob(9, work.Step{Tasks: 6, Demand: largeTask, EstimateMS: 1000, Gang: true, SameRack: true})
		c.submit("normal", gang, standin.Behaviour{Work: time.Second})
		time.Sleep(3 * time.Second)
		if n := len(c.fleet.Ledger().Runs(work.TaskName{Job: gang.ID})); n != 1 {
			t.Errorf("the gang has %d runs after 3 s", n)
		}
	})
}

// TestIsolatedOwnerGivesUp guards against an owner that keeps its ownership, so that no task
// starts, while it reaches the store but not the workers.
func TestIsolatedOwnerGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 3, workers: 6})
		defer c.close()
		isolated := c.owner().name
		for i := range c.workers {
			c.fleet.SetUnreachable(isolated, newWorkerEntry(i).ID, true)
		}
		j := newJob(1, work.Step{Tasks: 1, Demand: smallTask, EstimateMS: 1000})
		c.submit("normal", j, standin.Behaviour{Work: time.Second})
		c.awaitStatus(j.ID, work.Completed, 15*time.Second)
		time.Sleep(time.Minute)
		if c.owner().name == isolated {
			t.Error("the isolated host is the owner")
		}
	})
}

// TestSlowOwnerKeepsOwnership guards against an owner that gives up ownership while it still
// reaches some workers, as one that is short of processor time does.
func TestSlowOwnerKeepsOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 3, workers: 12})
		defer c.close()
		owner := c.owner()
		for i := range 8 {
			c.fleet.SetUnreachable(owner.name, newWorkerEntry(i).ID, true)
		}
		time.Sleep(20 * time.Second)
		if c.owner() != owner {
			t.Error("the owner gave up ownership while it reached a third of the workers")
		}
	})
}
