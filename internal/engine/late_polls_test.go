package engine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
	"github.com/daisyfold/daisyfold/internal/standin"
)

// TestLateAcknowledgementAfterRestart guards against a task that is started again after it is done,
// because a poll without an answer was executed late, by the worker's next incarnation: it acknowledged
// ends of the former one, whose numbers the new ones have again, so that they were never seen.
func TestLateAcknowledgementAfterRestart(t *testing.T) {
	t.Run("crash", func(t *testing.T) {
		testLateAcknowledgement(t, func(c *cluster) { c.workers[0].Restart() })
	})
	t.Run("upkeep", func(t *testing.T) {
		testLateAcknowledgement(t, func(c *cluster) {
			c.requestUpkeep(replica.Wave{Number: 7, Machines: []string{"w00"}, TimeLimit: 5 * time.Second, MaxDown: 1})
		})
	})
}

func testLateAcknowledgement(t *testing.T, restart func(*cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 1})
		defer c.close()
		const worker, acknowledged = "w00", 5
		c.fleet.DelayPolls(1, 9*time.Second, func(o workers.PollRequest) bool { return o.AckedThrough > 0 })
		first := newJob(1, work.Step{Tasks: acknowledged, Demand: smallTask, EstimateMS: 500})
		c.submit("normal", first, standin.Behaviour{Work: 500 * time.Millisecond})
		c.awaitStatus(first.ID, work.Completed, 5*time.Second)
		time.Sleep(100 * time.Millisecond)
		restart(c)
		time.Sleep(4 * time.Second)
		second := newJob(2, work.Step{Tasks: 1, Demand: smallTask, EstimateMS: 2500})
		c.submit("normal", second, standin.Behaviour{Work: 2500 * time.Millisecond})
		time.Sleep(time.Second)
		c.fleet.SetUnreachable("", worker, true)
		time.Sleep(4 * time.Second) // the task is done, and then the late poll is executed
		c.fleet.SetUnreachable("", worker, false)
		c.awaitStatus(second.ID, work.Completed, time.Minute)
	})
}

// TestLateRenewalAfterRestart guards against a task that is started again while it runs, because a poll
// without an answer was executed late, by the worker's next incarnation: it extended the lease of the
// new runs beyond what the scheduler had granted them.
func TestLateRenewalAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 1})
		defer c.close()
		const worker = "w00"
		time.Sleep(30 * time.Second) // the lease of the former incarnation ends late on the clock of the next one
		first := newJob(1, work.Step{Tasks: 1, Demand: smallTask, EstimateMS: 10_000})
		c.submit("normal", first, standin.Behaviour{Work: 10 * time.Second})
		c.fleet.DelayPolls(1, 9*time.Second, func(o workers.PollRequest) bool { return o.LeaseUntilMS > 0 })
		time.Sleep(100 * time.Millisecond)
		c.workers[0].Restart()
		time.Sleep(4 * time.Second)
		second := newJob(2, work.Step{Tasks: 1, Demand: smallTask, EstimateMS: 12_000})
		c.submit("normal", second, standin.Behaviour{Work: 12 * time.Second})
		time.Sleep(1500 * time.Millisecond)
		c.fleet.AddWorker(newWorkerEntry(1))
		c.fleet.SetUnreachable("", worker, true)
		time.Sleep(20 * time.Second)
		c.fleet.SetUnreachable("", worker, false)
		c.awaitStatus(second.ID, work.Completed, time.Minute)
	})
}
