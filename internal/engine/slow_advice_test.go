package engine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/manifest"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/standin"
)

// setAdvice makes calls to the advice service take the given times, and publishes them.
func (c *cluster) setAdvice(a manifest.Advice) {
	c.advisor.SetTimes(a.Base, a.PerWorker, a.Validity)
	m := defaultManifest()
	for _, q := range m.Queues {
		if q.NeedsAdvice {
			urgent, batch := q, q
			urgent.Name, urgent.PathPrefix, urgent.Priority = "advised urgent", q.PathPrefix+"urgent/", 0
			batch.Name, batch.PathPrefix, batch.Priority = "advised batch", q.PathPrefix+"batch/", 2
			m.Queues = append(m.Queues, urgent, batch)
		}
	}
	for i := range m.Queues {
		if m.Queues[i].NeedsAdvice {
			m.Queues[i].Advice = a
		}
	}
	c.publishManifest(m)
}

// newAdvisedJob returns a job of which each task needs a whole worker.
func newAdvisedJob(id, tasks int, gang bool) work.Job {
	j := newJob(id, work.Step{Tasks: tasks, Demand: largeTask, EstimateMS: 2000, Gang: gang})
	j.NeedsAdvice = true
	return j
}

// TestSlowAdviceIsAwaited guards against steps that never start because calls for advice take as long
// as the manifest says: they were given up after 2 s and repeated without end.
func TestSlowAdviceIsAwaited(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name           string
		advice         manifest.Advice
		tasks          int
		gang           bool
		countsFromCall bool
		within         time.Duration
	}{
		{"long calls", manifest.Advice{Base: 300 * ms, PerWorker: 40 * ms, Validity: 6000 * ms}, 24, false, false, 15 * time.Second},
		{"long calls for a gang", manifest.Advice{Base: 300 * ms, PerWorker: 100 * ms, Validity: 6000 * ms}, 24, true, false, 20 * time.Second},
		{"a long base", manifest.Advice{Base: 3000 * ms, PerWorker: 10 * ms, Validity: 2000 * ms}, 24, false, false, 20 * time.Second},
		{"calls longer than ten seconds", manifest.Advice{Base: 11_000 * ms, PerWorker: 0, Validity: 3000 * ms}, 24, true, false, 45 * time.Second},
		{"very slow for each worker", manifest.Advice{Base: 0, PerWorker: 1500 * ms, Validity: 5000 * ms}, 3, false, false, 20 * time.Second},
		{"tickets shorter than the margin", manifest.Advice{Base: 20 * ms, PerWorker: 2 * ms, Validity: 250 * ms}, 24, false, false, 10 * time.Second},
		{"tickets shorter than the call", manifest.Advice{Base: 500 * ms, PerWorker: 40 * ms, Validity: 700 * ms}, 24, false, false, 20 * time.Second},
		{"validity counts from the call", manifest.Advice{Base: 300 * ms, PerWorker: 40 * ms, Validity: 3000 * ms}, 24, false, true, 20 * time.Second},
		{"validity of a gang counts from the call", manifest.Advice{Base: 300 * ms, PerWorker: 40 * ms, Validity: 3000 * ms}, 12, true, true, 20 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, clusterOptions{hosts: 3, workers: 48})
				defer c.close()
				c.advisor.SetCountsFromCall(tc.countsFromCall)
				c.setAdvice(tc.advice)
				time.Sleep(time.Second)
				j := newAdvisedJob(1, tc.tasks, tc.gang)
				c.submit("advised", j, standin.Behaviour{Work: 2 * time.Second})
				took := c.awaitStatus(j.ID, work.Completed, tc.within)
				t.Logf("completed after %v and %d calls", took, c.advisor.CallCount())
			})
		})
	}
}

// TestAdviceOfManifestInForce guards against starts that are refused without end after a later
// version of the manifest has changed a queue's advice.
func TestAdviceOfManifestInForce(t *testing.T) {
	slow := manifest.Advice{Base: 300 * time.Millisecond, PerWorker: 40 * time.Millisecond, Validity: 6 * time.Second}
	t.Run("slower calls", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, clusterOptions{hosts: 2, workers: 48})
			defer c.close()
			j := newAdvisedJob(1, 24, false)
			j.Steps = append(j.Steps, j.Steps[0])
			j.Steps[1].After = []int{0}
			c.submit("advised", j, standin.Behaviour{Work: 2 * time.Second})
			c.setAdvice(slow)
			c.awaitStatus(j.ID, work.Completed, 20*time.Second)
		})
	})
	t.Run("advice is introduced", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, clusterOptions{hosts: 2, workers: 8})
			defer c.close()
			j := newAdvisedJob(1, 4, false) // its starts need tickets
			j.Occurrences, j.FirstDueMS = 1, time.Now().Add(3*time.Second).UnixMilli()
			c.submit("normal", j, standin.Behaviour{Work: time.Second})
			m := defaultManifest()
			for i := range m.Queues {
				m.Queues[i].NeedsAdvice = true
			}
			c.publishManifest(m)
			c.awaitStatus(j.ID, work.Completed, 20*time.Second)
		})
	})
}

// TestWaitingStepsLeaveAdviceToOthers guards against steps that wait for room and renew their
// tickets all the time, so that the calls for other steps have to wait.
func TestWaitingStepsLeaveAdviceToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 24})
		defer c.close()
		c.setAdvice(manifest.Advice{Base: 500 * time.Millisecond, PerWorker: 40 * time.Millisecond, Validity: 2 * time.Second})
		for id := 1; id <= 5; id++ { // the first one occupies the 12 workers that are allowed
			serving := newAdvisedJob(id, 12, false)
			serving.Steps[0].LongRunning = true
			c.submit("advised", serving, standin.Behaviour{})
			time.Sleep(5 * time.Second)
		}
		for id := 11; id <= 14; id++ {
			j := newJob(id, work.Step{Tasks: 2, Demand: work.Resources{CPU: 1000, MemoryMB: 1000}, EstimateMS: 1000})
			j.NeedsAdvice = true
			c.submit("advised/batch", j, standin.Behaviour{Work: time.Second})
		}
		for id := 11; id <= 14; id++ {
			c.awaitStatus(newJob(id).ID, work.Completed, 15*time.Second)
		}
	})
}

// TestUrgentStepKeepsRoomUntilAdvised guards against work that is stopped for an urgent step whose
// tickets have expired by then, so that others take the room and more work is stopped.
func TestUrgentStepKeepsRoomUntilAdvised(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 24})
		defer c.close()
		c.setAdvice(manifest.Advice{Base: 1500 * time.Millisecond, PerWorker: 40 * time.Millisecond, Validity: 400 * time.Millisecond})
		const batchJobs = 6
		for id := 1; id <= batchJobs; id++ {
			c.submit("batch", newJob(id, work.Step{Tasks: 8, Demand: largeTask, EstimateMS: 20_000}), standin.Behaviour{Work: 20 * time.Second})
		}
		time.Sleep(5 * time.Second)
		urgent := newAdvisedJob(11, 6, false)
		c.submit("advised/urgent", urgent, standin.Behaviour{Work: 2 * time.Second})
		c.awaitStatus(urgent.ID, work.Completed, 20*time.Second)
		stopped := 0
		for id := 1; id <= batchJobs; id++ {
			for index := range 8 {
				for _, r := range c.fleet.Ledger().Runs(work.TaskName{Job: newJob(id).ID, Index: index}) {
					if r.Ending == "stopped" {
						stopped++
					}
				}
			}
		}
		if stopped > 6 {
			t.Errorf("%d runs are stopped for 6 tasks", stopped)
		}
	})
}

// TestRefusedTicketLeavesLaterOnesUsable guards against tickets that are never used after a worker has
// refused one: those of calls that take longer than the tickets are valid then counted as expired.
func TestRefusedTicketLeavesLaterOnesUsable(t *testing.T) {
	for _, validity := range []time.Duration{time.Second, 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, clusterOptions{hosts: 2, workers: 8})
			defer c.close()
			c.setAdvice(manifest.Advice{Base: 1500 * time.Millisecond, PerWorker: 40 * time.Millisecond, Validity: time.Second})
			c.advisor.SetCountsFromCall(true) // no ticket is valid when the answer arrives
			j := newAdvisedJob(1, 2, false)
			c.submit("advised", j, standin.Behaviour{Work: time.Second})
			time.Sleep(5 * time.Second)
			c.setAdvice(manifest.Advice{Base: 1500 * time.Millisecond, PerWorker: 40 * time.Millisecond, Validity: validity})
			c.advisor.SetCountsFromCall(false)
			c.awaitStatus(j.ID, work.Completed, 10*time.Second)
		})
	}
}
