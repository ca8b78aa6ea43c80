package engine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/standin"
)

// TestUpkeepWaitsForRunsOfUnlistedWorker guards against an upkeep that ends serving tasks because the new
// owner does not find their worker in the list and takes its machine for empty. The ledger checks for the
// violation AVAIL.
func TestUpkeepWaitsForRunsOfUnlistedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 3, workers: 2})
		defer c.close()
		serving := newJob(1, work.Step{Tasks: 4, Demand: smallTask, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 2})
		c.submit("normal", serving, standin.Behaviour{})
		time.Sleep(2 * time.Second)
		c.workers[0].SetCutFromStore(true)
		time.Sleep(4 * heartbeatInterval)
		wave := replica.Wave{Number: 7, Machines: []string{"w00"}, TimeLimit: 40 * time.Second, MaxDown: maxDownPerWave}
		c.crash(c.owner().name)
		c.requestUpkeep(wave)
		time.Sleep(6 * time.Second)
		c.workers[0].SetCutFromStore(false)
		time.Sleep(40 * time.Second)
		if n := c.machines.UpkeepCount(); n != 1 {
			t.Errorf("%d of 1 machines had their upkeep", n)
		}
		if n := len(c.activeRuns(serving)); n != 4 {
			t.Errorf("%d of 4 serving tasks run after the wave", n)
		}
	})
}
