package engine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/standin"
)

// reducedCapacity has room for two small tasks.
var reducedCapacity = work.Resources{CPU: 128_000, MemoryMB: 512 << 10, Accelerators: 2}

// capacityNotice is the time until a reduction of a worker's capacity must be respected: 3 s and a heartbeat.
const capacityNotice = 3*time.Second + heartbeatInterval

// TestReducedCapacityIsRespected guards against starts beyond the capacity of a worker that shrank while it ran tasks, and against capacity that stays unused after it has grown again.
func TestReducedCapacityIsRespected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 2})
		defer c.close()
		first := newJob(1, work.Step{Tasks: 10, Demand: smallTask, EstimateMS: 10_000})
		c.submit("normal", first, standin.Behaviour{Work: 10 * time.Second})
		time.Sleep(time.Second)
		for _, w := range c.workers {
			w.SetCapacity(reducedCapacity)
		}
		time.Sleep(capacityNotice)
		second := newJob(2, work.Step{Tasks: 8, Demand: smallTask, EstimateMS: 3000})
		c.submit("normal", second, standin.Behaviour{Work: 3 * time.Second})
		c.awaitStatus(first.ID, work.Completed, 20*time.Second)
		if n := len(c.activeRuns(second)); n > 4 {
			t.Errorf("%d tasks run on two workers with room for two each", n)
		}
		for _, w := range c.workers {
			w.SetCapacity(newWorkerEntry(0).Capacity)
		}
		time.Sleep(capacityNotice)
		third := newJob(3, work.Step{Tasks: 16, Demand: smallTask, EstimateMS: 3000, Gang: true})
		c.submit("urgent", third, standin.Behaviour{Work: 3 * time.Second})
		c.awaitStatus(second.ID, work.Completed, 20*time.Second)
		c.awaitStatus(third.ID, work.Completed, 20*time.Second)
	})
}

// TestCapacityReducedDuringOutage guards against starts beyond a capacity that was reduced while the store did not answer, for each phase of the workers' heartbeats at its return.
func TestCapacityReducedDuringOutage(t *testing.T) {
	for phase := time.Duration(0); phase < heartbeatInterval; phase += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, clusterOptions{hosts: 2, workers: 2, staleEntries: true})
			defer c.close()
			c.store.SetFaults(standin.StoreFaults{Refuse: true})
			time.Sleep(time.Second)
			for _, w := range c.workers {
				w.SetCapacity(reducedCapacity)
			}
			time.Sleep(2*capacityNotice + phase)
			c.store.SetFaults(standin.StoreFaults{})
			j := newJob(1, work.Step{Tasks: 12, Demand: smallTask, EstimateMS: 1000})
			c.submit("urgent", j, standin.Behaviour{Work: time.Second})
			c.awaitStatus(j.ID, work.Completed, 40*time.Second)
		})
	}
}
