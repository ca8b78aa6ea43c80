package engine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/standin"
)

// submission is a number of equal jobs that callers of one kind submit one after the other.
type submission struct {
	kind, key, queue string
	jobs             int
	every            time.Duration
	step             work.Step
}

// load is a shortage of workers, with what callers must get at least.
type load struct {
	name        string
	submissions []submission
	// inTime is the least number of jobs that are complete at their objective, by kind.
	inTime map[string]int
	// maxStops is the largest number of runs that are stopped.
	maxStops int
}

// objective returns the time within which a job of one step should be complete, as in the default
// manifest.
func objective(queue string, step work.Step) time.Duration {
	stretch, fixed := 3.0, time.Second
	switch queue {
	case "urgent":
		stretch, fixed = 1.5, 250*time.Millisecond
	case "batch":
		fixed = 3 * time.Second
	}
	return time.Duration(stretch*float64(step.EstimateMS))*time.Millisecond + fixed
}

func gangOf(tasks int, d work.Resources, estimateMS int) work.Step {
	return work.Step{Tasks: tasks, Demand: d, EstimateMS: estimateMS, Gang: true}
}

// loads are played on 12 workers of 8 accelerators each, in two racks.
func loads() []load {
	inRack := gangOf(3, largeTask, 3000)
	inRack.SameRack = true
	return []load{
		{"burst of one organisation", []submission{
			{"burst", "guest-key", "urgent", 12, 0, gangOf(4, largeTask, 3000)},
			{"guaranteed", "key", "urgent", 4, 500 * time.Millisecond, gangOf(2, largeTask, 3000)},
		}, map[string]int{"guaranteed": 4, "burst": 1}, 16},
		{"urgent gangs against long batch work", []submission{
			{"batch gang", "key", "batch", 2, 0, gangOf(6, largeTask, 12_000)},
			{"urgent", "guest-key", "urgent", 4, time.Second, inRack},
		}, map[string]int{"urgent": 4}, 12},
		{"many small jobs against few large ones", []submission{
			{"small", "key", "batch", 60, 100 * time.Millisecond, work.Step{Tasks: 3, Demand: smallTask, EstimateMS: 3000}},
			{"large", "key", "normal", 3, time.Second, gangOf(8, largeTask, 4000)},
			{"later", "key", "batch", 60, 100 * time.Millisecond, work.Step{Tasks: 3, Demand: smallTask, EstimateMS: 3000}},
		}, map[string]int{"large": 2, "small": 60, "later": 30}, 100},
		{"steady urgent gangs among batch work that fills every gap", []submission{
			{"batch", "key", "batch", 40, 50 * time.Millisecond, work.Step{Tasks: 24, Demand: smallTask, EstimateMS: 3000}},
			{"urgent", "guest-key", "urgent", 24, 500 * time.Millisecond, gangOf(2, largeTask, 300)},
		}, map[string]int{"urgent": 18}, 100},
		{"all late", []submission{
			{"batch gang", "key", "batch", 8, 0, gangOf(12, largeTask, 4000)},
			{"late", "guest-key", "urgent", 6, 0, gangOf(12, largeTask, 4000)},
		}, map[string]int{"late": 1}, 36},
	}
}

// play submits the jobs and returns them by kind once all of them are complete.
func (c *cluster) play(l load) map[string][]work.Job {
	out := map[string][]work.Job{}
	id := 0
	for _, s := range l.submissions {
		for range s.jobs {
			id++
			j := newJob(id, s.step)
			j.AcceptedMS = time.Now().UnixMilli()
			c.submitWithKey(s.key, s.queue, j, standin.Behaviour{Work: time.Duration(s.step.EstimateMS) * time.Millisecond})
			out[s.kind] = append(out[s.kind], j)
			time.Sleep(s.every)
		}
		if s.every == 0 {
			time.Sleep(time.Second)
		}
	}
	for _, jobs := range out {
		for _, j := range jobs {
			c.awaitStatus(j.ID, work.Completed, 5*time.Minute)
		}
	}
	return out
}

// completedAt returns when the last task of a job was done.
func (c *cluster) completedAt(j work.Job) time.Time {
	var last time.Time
	for i := range j.Steps[0].Tasks {
		for _, r := range c.fleet.Ledger().Runs(work.TaskName{Job: j.ID, Index: i}) {
			if r.Ending == "done" && r.End.After(last) {
				last = r.End
			}
		}
	}
	return last
}

// stoppedRuns returns the number of runs that were stopped, other members of their gangs included.
func (c *cluster) stoppedRuns() int {
	return c.fleet.Ledger().Count("stopped") + c.fleet.Ledger().Count("broken")
}

// TestCallersInShortage plays the loads. It guards against urgent work that is late although less
// urgent work could give way, against more stops than that takes, and against jobs that are never
// finished.
func TestCallersInShortage(t *testing.T) {
	for _, l := range loads() {
		t.Run(l.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, clusterOptions{hosts: 2, workers: 12})
				defer c.close()
				queues := map[string]string{}
				for _, s := range l.submissions {
					queues[s.kind] = s.queue
				}
				for kind, jobs := range c.play(l) {
					inTime := 0
					for _, j := range jobs {
						if c.completedAt(j).Sub(time.UnixMilli(j.AcceptedMS)) <= objective(queues[kind], j.Steps[0]) {
							inTime++
						}
					}
					t.Logf("%s: %d of %d in time", kind, inTime, len(jobs))
					if inTime < l.inTime[kind] {
						t.Errorf("%d jobs of kind %q are in time, want %d", inTime, kind, l.inTime[kind])
					}
				}
				stops := c.stoppedRuns()
				t.Logf("%d runs were stopped", stops)
				if stops > l.maxStops {
					t.Errorf("%d runs were stopped, want at most %d", stops, l.maxStops)
				}
			})
		})
	}
}

// TestNoSecondStopForComingRoom guards against a stop for an urgent job while the runs that were
// stopped for another one are about to leave more room than that one needs.
func TestNoSecondStopForComingRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 12})
		defer c.close()
		for id := range 2 {
			c.submit("batch", newJob(1+id, gangOf(6, largeTask, 20_000)), standin.Behaviour{Work: 20 * time.Second})
		}
		time.Sleep(2 * time.Second)
		for id := range 3 {
			urgent := newJob(10+id, gangOf(2, largeTask, 3000))
			c.submit("urgent", urgent, standin.Behaviour{Work: 3 * time.Second})
			time.Sleep(100 * time.Millisecond)
		}
		for id := range 3 {
			c.awaitStatus(fmt.Sprintf("%016x", 10+id), work.Completed, 5*time.Second)
		}
		if n := c.stoppedRuns(); n != 6 {
			t.Errorf("%d runs were stopped, want the 6 of one gang", n)
		}
		for id := range 2 {
			c.awaitStatus(fmt.Sprintf("%016x", 1+id), work.Completed, time.Minute)
		}
	})
}

// TestTakeoverDuringPreemption guards against an urgent gang that waits, after its room was being
// freed, for stops of a former owner that the new one does not know, and against work that is
// stopped and never started again. The ledger checks for runs beyond a worker's capacity.
func TestTakeoverDuringPreemption(t *testing.T) {
	for _, after := range []time.Duration{20 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, clusterOptions{hosts: 3, workers: 12})
				defer c.close()
				batch := newJob(1, gangOf(12, largeTask, 10_000))
				c.submit("batch", batch, standin.Behaviour{Work: 10 * time.Second})
				time.Sleep(2 * time.Second)
				urgent := newJob(2, gangOf(4, largeTask, 3000))
				c.submit("urgent", urgent, standin.Behaviour{Work: 3 * time.Second})
				time.Sleep(after)
				c.crash(c.owner().name)
				c.workers[0].Restart()
				c.awaitStatus(urgent.ID, work.Completed, 15*time.Second)
				c.awaitStatus(batch.ID, work.Completed, time.Minute)
			})
		})
	}
}

// TestRoomBeingFreedIsKeptForLateJob guards against an urgent job that loses the room that is being
// freed for it to a later job, because by then it can no longer be in time with another stop.
func TestRoomBeingFreedIsKeptForLateJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 12})
		defer c.close()
		for id := range 12 {
			c.submit("batch", newJob(1+id, work.Step{Tasks: 1, Demand: largeTask, EstimateMS: 60_000}), standin.Behaviour{Work: time.Minute})
		}
		time.Sleep(2 * time.Second)
		// With a stop, its work ends barely within the objective.
		step := gangOf(2, largeTask, 1400)
		var urgent []work.Job
		for id := range 3 {
			j := newJob(20+id, step)
			j.AcceptedMS = time.Now().UnixMilli()
			c.submitWithKey("guest-key", "urgent", j, standin.Behaviour{Work: 1400 * time.Millisecond})
			urgent = append(urgent, j)
			time.Sleep(200 * time.Millisecond)
		}
		for _, j := range urgent {
			c.awaitStatus(j.ID, work.Completed, 10*time.Second)
			took := c.completedAt(j).Sub(time.UnixMilli(j.AcceptedMS))
			t.Logf("%s took %v", j.ID, took)
			if took > objective("urgent", step) {
				t.Errorf("job %s took %v, longer than its objective", j.ID, took)
			}
		}
		if n := c.stoppedRuns(); n != 6 {
			t.Errorf("%d runs were stopped, want 2 for each urgent job", n)
		}
	})
}

// TestHeadroomIsReportedOnlyWhereKept guards against a metric, and the log line beside it, that names
// workers that are kept free while nothing is kept: little of the service is in use.
func TestHeadroomIsReportedOnlyWhereKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 12})
		defer c.close()
		j := newJob(1, gangOf(5, largeTask, 3000))
		j.AcceptedMS = time.Now().UnixMilli()
		c.submit("urgent", j, standin.Behaviour{Work: 3 * time.Second})
		c.awaitStatus(j.ID, work.Completed, 10*time.Second)
		if n := gometrics.GetOrRegisterGauge("scheduler.headroom_workers", c.owner().metrics).Value(); n != 0 {
			t.Errorf("%d workers are reported as kept free, want none", n)
		}
	})
}

// TestNoHeadroomWhileHalfIsIdle guards against a job that is kept waiting by headroom although less
// than half of the service is at work: the platform expects its start within 3 s. Workers that drain
// are part of the service, and the others are in use by more than half.
func TestNoHeadroomWhileHalfIsIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 12})
		defer c.close()
		for _, w := range c.workers[:5] {
			w.Drain(time.Minute)
		}
		time.Sleep(2 * time.Second)
		long := newJob(1, work.Step{Tasks: 5, Demand: largeTask, EstimateMS: 30_000})
		c.submit("batch", long, standin.Behaviour{Work: 30 * time.Second})
		time.Sleep(time.Second)
		for id := range 4 {
			urgent := newJob(10+id, gangOf(2, largeTask, 300))
			urgent.AcceptedMS = time.Now().UnixMilli()
			c.submit("urgent", urgent, standin.Behaviour{Work: 300 * time.Millisecond})
			c.awaitStatus(urgent.ID, work.Completed, 5*time.Second)
		}
		batch := newJob(20, work.Step{Tasks: 1, Demand: largeTask, EstimateMS: 300})
		c.submit("batch", batch, standin.Behaviour{Work: 300 * time.Millisecond})
		c.awaitStatus(batch.ID, work.Completed, 3*time.Second)
		c.awaitStatus(long.ID, work.Completed, time.Minute)
	})
}
