package engine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/intake"
	"github.com/daisyfold/daisyfold/internal/engine/manifest"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/standin"
)

// oneAccelerator is the demand of a task of which eight fill a worker.
var oneAccelerator = work.Resources{CPU: 1000, MemoryMB: 1000, Accelerators: 1}

// withCap returns the default manifest with a cap on the accelerators of choir.
func withCap(accelerators int) *manifest.Manifest {
	m := defaultManifest()
	m.Organisations[0].Cap = work.Resources{Accelerators: accelerators}
	return m
}

// newCapCluster returns a cluster in which choir may have the given number of accelerators running.
func newCapCluster(t *testing.T, workers, accelerators int) *cluster {
	c := newCluster(t, clusterOptions{hosts: 2, workers: workers})
	c.publishManifest(withCap(accelerators))
	time.Sleep(2 * time.Second)
	return c
}

// running returns the number of tasks of the jobs that run.
func (c *cluster) running(jobs ...work.Job) int {
	n := 0
	for _, j := range jobs {
		n += len(c.activeRuns(j))
	}
	return n
}

// TestCapHoldsInWaves guards against starts beyond a cap, against room in it that stays unused, and
// against a gang that small tasks of its own organisation starve.
func TestCapHoldsInWaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCapCluster(t, 8, 10)
		defer c.close()
		batch := newJob(1, work.Step{Tasks: 60, Demand: oneAccelerator, EstimateMS: 1500})
		gang := newJob(2, work.Step{Tasks: 9, Demand: oneAccelerator, EstimateMS: 1000, Gang: true})
		c.submitTasks("key", "batch", batch, func(_, index int) standin.Behaviour {
			return standin.Behaviour{Work: time.Second + time.Duration(index*370%1000)*time.Millisecond}
		})
		time.Sleep(time.Second)
		c.submit("batch", gang, standin.Behaviour{Work: time.Second})
		gangAfter := time.Duration(0)
		for at := time.Duration(0); at < 15*time.Second; at += 50 * time.Millisecond {
			if n := c.running(batch, gang); n > 10 {
				t.Fatalf("%d accelerators are in use, the cap is 10", n)
			}
			if gangAfter == 0 && c.status(gang.ID) == work.Completed {
				gangAfter = at
			}
			time.Sleep(50 * time.Millisecond)
		}
		if gangAfter == 0 || gangAfter > 6*time.Second {
			t.Errorf("the gang was complete after %s", gangAfter)
		}
		c.awaitStatus(batch.ID, work.Completed, 5*time.Second)
	})
}

// TestCappedQueueDelaysNobody guards against a queue that waits for its organisation's cap and keeps
// workers from others, although these have lower priority.
func TestCappedQueueDelaysNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCapCluster(t, 6, 8)
		defer c.close()
		for i := range 6 {
			c.submit("normal", newJob(1+i, work.Step{Tasks: 8, Demand: oneAccelerator, EstimateMS: 4000, Gang: true, SameRack: true}), standin.Behaviour{Work: 4 * time.Second})
		}
		time.Sleep(time.Second)
		whole := work.Resources{CPU: 128_000, MemoryMB: 512 << 10, Accelerators: 8}
		other := newJob(20, work.Step{Tasks: 4, Demand: whole, EstimateMS: 1000, Gang: true})
		c.submitWithKey("guest-key", "batch", other, standin.Behaviour{Work: time.Second})
		if took := c.awaitStatus(other.ID, work.Completed, 5*time.Second); took > 2*time.Second {
			t.Errorf("a job of another organisation took %s", took)
		}
	})
}

// TestGuaranteedJobWithinOwnCap guards against urgent work inside a guarantee that waits because
// batch work of its own organisation fills the cap, and against stops of others for it.
func TestGuaranteedJobWithinOwnCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCapCluster(t, 8, 32)
		defer c.close()
		c.publishManifest(func() *manifest.Manifest {
			m := withCap(32)
			m.Organisations[0].GuaranteedAccelerators = 16
			return m
		}())
		time.Sleep(2 * time.Second)
		other := newJob(1, work.Step{Tasks: 32, Demand: oneAccelerator, EstimateMS: 20_000})
		own := newJob(2, work.Step{Tasks: 40, Demand: oneAccelerator, EstimateMS: 20_000})
		c.submit("batch", own, standin.Behaviour{Work: 20 * time.Second})
		time.Sleep(3 * time.Second) // stopping it loses more than stopping the other's work
		c.submitWithKey("guest-key", "batch", other, standin.Behaviour{Work: 20 * time.Second})
		time.Sleep(time.Second)
		if n := c.running(own); n != 32 {
			t.Fatalf("%d tasks run, want 32", n)
		}
		urgent := newJob(3, work.Step{Tasks: 16, Demand: oneAccelerator, EstimateMS: 1000, Gang: true})
		c.submit("urgent", urgent, standin.Behaviour{Work: time.Second})
		if took := c.awaitStatus(urgent.ID, work.Completed, 5*time.Second); took > 3400*time.Millisecond {
			t.Errorf("urgent work took %s", took)
		}
		for i := range 32 {
			if n := len(c.fleet.Ledger().Runs(work.TaskName{Job: other.ID, Index: i})); n != 1 {
				t.Errorf("task %d of another organisation has %d runs", i, n)
			}
		}
		if n := c.running(own, urgent); n > 32 {
			t.Errorf("%d accelerators are in use, the cap is 32", n)
		}
	})
}

// TestSharesByWeight guards against shares of full workers that do not follow the weights.
func TestSharesByWeight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 10})
		defer c.close()
		m := defaultManifest()
		m.Organisations[0].Weight, m.Organisations[1].Weight = 1, 3
		c.publishManifest(m)
		time.Sleep(2 * time.Second)
		var first, second []work.Job
		for i := range 240 {
			a := newJob(1+i, work.Step{Tasks: 2, Demand: oneAccelerator, EstimateMS: 1000})
			b := newJob(1001+i, work.Step{Tasks: 2, Demand: oneAccelerator, EstimateMS: 1000})
			c.submitWithKey("key", "batch", a, standin.Behaviour{Work: time.Second})
			c.submitWithKey("guest-key", "batch", b, standin.Behaviour{Work: time.Second})
			first, second = append(first, a), append(second, b)
		}
		time.Sleep(2 * time.Second)
		var sums [2]int
		for range 40 {
			sums[0], sums[1] = sums[0]+c.running(first...), sums[1]+c.running(second...)
			time.Sleep(50 * time.Millisecond)
		}
		if ratio := float64(sums[1]) / float64(sums[0]); ratio < 2.5 || ratio > 3.5 {
			t.Errorf("shares of weights 1 and 3 are %d and %d", sums[0], sums[1])
		}
		for _, j := range append(first, second...) {
			c.awaitStatus(j.ID, work.Completed, 40*time.Second)
		}
	})
}

// TestLoweredCapStartsNothing guards against a cap that is lowered below what runs and stops runs, or
// lets more start, and against one that is raised and not used; versions follow in quick succession. A
// version that allows more than what runs may be used while it is in force.
func TestLoweredCapStartsNothing(t *testing.T) {
	const runningBefore = 24
	cases := []struct {
		name    string
		caps    []int
		highest int // of what may run then
	}{
		{"no version allows more than what runs", []int{20, 12, 23, 10}, runningBefore},
		{"a version in between allows more", []int{40, 12, 30, 10}, 40},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCapCluster(t, 8, runningBefore)
				defer c.close()
				j := newJob(1, work.Step{Tasks: 60, Demand: oneAccelerator, EstimateMS: 4000})
				c.submit("batch", j, standin.Behaviour{Work: 4 * time.Second})
				time.Sleep(time.Second)
				for _, accelerators := range tc.caps {
					c.publishManifest(withCap(accelerators))
				}
				time.Sleep(time.Second)
				running := c.running(j)
				if running < runningBefore || running > tc.highest {
					t.Errorf("%d tasks run after the cap was lowered, want %d to %d", running, runningBefore, tc.highest)
				}
				time.Sleep(1500 * time.Millisecond)
				if n := c.running(j); n != running {
					t.Errorf("%d tasks run 1.5 s later, want %d", n, running)
				}
				time.Sleep(2500 * time.Millisecond)
				if n := c.running(j); n != 10 {
					t.Errorf("%d tasks run in the lowered cap, want 10", n)
				}
				c.publishManifest(withCap(20))
				time.Sleep(time.Second)
				if n := c.running(j); n != 20 {
					t.Errorf("%d tasks run in the raised cap, want 20", n)
				}
			})
		})
	}
}

// TestTakeoverCountsEndedJobs guards against a new owner that does not count the runs of a cancelled
// job, which no record names, on workers that it cannot reach yet.
func TestTakeoverCountsEndedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCapCluster(t, 8, 16)
		defer c.close()
		j := newJob(1, work.Step{Tasks: 16, Demand: oneAccelerator, EstimateMS: 60_000})
		c.submit("batch", j, standin.Behaviour{Work: time.Minute})
		time.Sleep(time.Second)
		for _, h := range []string{"host-0", "host-1"} {
			for _, id := range c.workersOf(j) {
				c.fleet.SetUnreachable(h, id, true)
			}
		}
		c.anyHost().Intake.Cancel(t.Context(), newCall("/batch/"+j.ID), j.ID)
		time.Sleep(100 * time.Millisecond)
		if n := c.running(j); n != 16 {
			t.Fatalf("%d tasks of the cancelled job run at the crash, want 16", n)
		}
		c.shutDown(c.owner().name)
		next := newJob(2, work.Step{Tasks: 16, Demand: oneAccelerator, EstimateMS: 1000})
		c.submit("batch", next, standin.Behaviour{Work: time.Second})
		for range 400 {
			if n := c.running(j, next); n > 16 {
				t.Fatalf("%d accelerators are in use, the cap is 16", n)
			}
			time.Sleep(50 * time.Millisecond)
		}
		c.awaitStatus(next.ID, work.Completed, 20*time.Second)
	})
}

// shutDown stops a host, which gives up its ownership.
func (c *cluster) shutDown(name string) {
	c.mu.Lock()
	h := c.hosts[name]
	delete(c.hosts, name)
	c.mu.Unlock()
	h.cancel()
	<-h.done
}

// workersOf returns the ids of the workers on which the job runs.
func (c *cluster) workersOf(j work.Job) []string {
	seen, ids := map[string]bool{}, []string(nil)
	for _, r := range c.activeRuns(j) {
		if !seen[r.Worker] {
			seen[r.Worker] = true
			ids = append(ids, r.Worker)
		}
	}
	return ids
}

// TestImpossibleGangIsRejected guards against a gang that is accepted although its organisation's cap
// can never hold it, and against the rejection of one that was accepted under a higher cap.
func TestImpossibleGangIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCapCluster(t, 8, 16)
		defer c.close()
		j := newJob(1, work.Step{Tasks: 16, Demand: oneAccelerator, EstimateMS: 1000, Gang: true})
		c.submit("batch", j, standin.Behaviour{Work: time.Second})
		c.awaitStatus(j.ID, work.Completed, 5*time.Second)
		c.publishManifest(withCap(15))
		time.Sleep(2 * time.Second)
		if a := c.anyHost().Intake.Submit(t.Context(), newCall("/batch/"+j.ID), j); a.Outcome != intake.OK {
			t.Errorf("a repeated submission is answered with %s", a.Outcome)
		}
		other := j
		other.ID = newJob(2).ID
		if a := c.anyHost().Intake.Submit(t.Context(), newCall("/batch/"+other.ID), other); a.Outcome != intake.BadJob || a.Reason == "" {
			t.Errorf("a gang that the cap can never hold is answered with %s, %q", a.Outcome, a.Reason)
		}
	})
}
