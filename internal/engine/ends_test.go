package engine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/standin"
)

// tinyTask is the demand of a task of which several hundred fit on one worker.
var tinyTask = work.Resources{CPU: 150, MemoryMB: 256}

// submitUntil submits jobs of tiny tasks that all end at the given time.
func (c *cluster) submitUntil(end time.Time, jobs, tasks int) []work.Job {
	c.t.Helper()
	submitted := make([]work.Job, jobs)
	for i := range submitted {
		left := time.Until(end)
		j := newJob(i+1, work.Step{Tasks: tasks, Demand: tinyTask, EstimateMS: int(left.Milliseconds())})
		c.submitTasks("key", "normal", j, func(int, int) standin.Behaviour {
			return standin.Behaviour{Work: max(time.Until(end), 0)}
		})
		submitted[i] = j
	}
	return submitted
}

// awaitOneRunEach waits until the jobs are completed and fails the test if a task had more
// than one run.
func (c *cluster) awaitOneRunEach(jobs []work.Job) {
	c.t.Helper()
	repeated := 0
	for _, j := range jobs {
		c.awaitStatus(j.ID, work.Completed, time.Minute)
		for i := range j.Steps[0].Tasks {
			if len(c.fleet.Ledger().Runs(work.TaskName{Job: j.ID, Index: i})) > 1 {
				repeated++
			}
		}
	}
	if repeated > 0 {
		c.t.Errorf("%d tasks ran more than once", repeated)
	}
}

// TestEndsBeyondReportPageAreNotRepeated guards against conclusions from an incomplete report.
func TestEndsBeyondReportPageAreNotRepeated(t *testing.T) {
	faults := map[string]standin.StoreFaults{
		"slow":   {ExtraLatency: 300 * time.Millisecond},
		"lossy":  {LostRate: 0.5, LateRate: 0.2},
		"absent": {Down: true},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, clusterOptions{hosts: 3, workers: 1, orderTime: 100 * time.Microsecond})
				defer c.close()
				end := time.Now().Add(6 * time.Second)
				jobs := c.submitUntil(end, 4, 200)
				time.Sleep(time.Until(end.Add(-100 * time.Millisecond)))
				c.store.SetFaults(fault)
				time.Sleep(1500 * time.Millisecond)
				c.store.SetFaults(standin.StoreFaults{})
				c.awaitOneRunEach(jobs)
			})
		})
	}
}

// TestEndsDuringAbsenceOfAllHostsAreNotRepeated guards against the same at a takeover.
func TestEndsDuringAbsenceOfAllHostsAreNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 3, workers: 1, orderTime: 100 * time.Microsecond})
		defer c.close()
		end := time.Now().Add(6 * time.Second)
		jobs := c.submitUntil(end, 4, 200)
		time.Sleep(time.Until(end.Add(-500 * time.Millisecond)))
		for name := range c.hosts {
			c.crash(name)
		}
		c.store.SetFaults(standin.StoreFaults{ExtraLatency: 10 * time.Millisecond})
		c.addHost("host-8")
		c.addHost("host-9")
		c.awaitOneRunEach(jobs)
	})
}

// TestNextIncarnationKeepsItsEnds guards against acknowledgements that reach the next incarnation.
func TestNextIncarnationKeepsItsEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 1})
		defer c.close()
		first := newJob(1, work.Step{Tasks: 20, Demand: tinyTask, EstimateMS: 100})
		c.submit("normal", first, standin.Behaviour{Work: 100 * time.Millisecond})
		c.awaitStatus(first.ID, work.Completed, 5*time.Second)
		// The next read of the list of workers follows 250 ms after that of a heartbeat.
		time.Sleep(time.Until(c.start.Add(4*heartbeatInterval + 10*time.Millisecond)))
		c.workers[0].Restart()
		second := newJob(2, work.Step{Tasks: 1, Demand: tinyTask, EstimateMS: 1})
		c.submit("normal", second, standin.Behaviour{Work: 100 * time.Microsecond})
		c.awaitOneRunEach([]work.Job{second})
	})
}
