package engine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/standin"
)

// endingCrashedWorker is the ending that the ledger records for a run that crashed its worker.
const endingCrashedWorker = "crashed_worker"

// crashesFirst makes the first task of a step crash each worker that starts it.
func crashesFirst(_, index int) standin.Behaviour {
	return standin.Behaviour{Work: 3 * time.Second, CrashesWorker: index == 0}
}

// crashCycle is how long a crash takes until the task may start again: the worker is back after
// 3 s and is polled every 0.3 s.
const crashCycle = 4500 * time.Millisecond

// crashScenario is a job with a task that crashes its workers.
type crashScenario struct {
	name  string
	queue string
	step  work.Step
	newID bool
}

var crashScenarios = []crashScenario{
	{"single", "normal", work.Step{Tasks: 1, Demand: smallTask, EstimateMS: 3000}, false},
	{"single, new id", "normal", work.Step{Tasks: 1, Demand: smallTask, EstimateMS: 3000}, true},
	{"urgent", "urgent", work.Step{Tasks: 1, Demand: largeTask, EstimateMS: 3000}, true},
	{"gang", "normal", work.Step{Tasks: 5, Demand: largeTask, EstimateMS: 3000, Gang: true}, true},
	{"small gang on one worker", "urgent", work.Step{Tasks: 4, Demand: smallTask, EstimateMS: 3000, Gang: true, SameRack: true}, false},
	{"wide step", "normal", work.Step{Tasks: 12, Demand: smallTask, EstimateMS: 3000}, true},
	{"long-running", "normal", work.Step{Tasks: 2, Demand: smallTask, LongRunning: true}, false},
}

// TestTaskThatCrashesWorkersIsGivenUp guards against a task that crashes each worker that starts it and is started without end.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	for _, s := range crashScenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, clusterOptions{hosts: 3, workers: 12, newIDAfterCrash: s.newID})
				defer c.close()
				j := newJob(1, s.step)
				c.submitTasks("key", s.queue, j, crashesFirst)
				c.awaitStatus(j.ID, work.Failed, 2*crashCycle)
				time.Sleep(20 * time.Second)
				if n := c.fleet.Ledger().Count(endingCrashedWorker); n != 2 {
					t.Errorf("the task crashed %d workers, want 2", n)
				}
			})
		})
	}
}

// TestTasksThatCrashWorkersBeforeTheAnswerAreGivenUp guards against tasks that are started without end because they crash workers before these answer, at the same time as each other.
func TestTasksThatCrashWorkersBeforeTheAnswerAreGivenUp(t *testing.T) {
	for _, longRunning := range []bool{false, true} {
		t.Run(fmt.Sprintf("long-running %v", longRunning), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, clusterOptions{hosts: 3, workers: 12})
				defer c.close()
				sound := newJob(9, work.Step{Tasks: 8, Demand: smallTask, EstimateMS: 4000})
				c.submit("normal", sound, standin.Behaviour{Work: 4 * time.Second})
				j := newJob(1, work.Step{Tasks: 2, Demand: smallTask, EstimateMS: 3000, LongRunning: longRunning, MaxPerWorker: 1})
				c.submit("normal", j, standin.Behaviour{Work: 3 * time.Second, CrashesBeforeAnswer: true})
				c.awaitStatus(j.ID, work.Failed, 5*crashCycle)
				time.Sleep(20 * time.Second)
				for i := range j.Steps[0].Tasks {
					if n := len(c.fleet.Ledger().Runs(work.TaskName{Job: j.ID, Index: i})); n > 5 {
						t.Errorf("task %d was started %d times", i, n)
					}
				}
				c.awaitStatus(sound.ID, work.Completed, 30*time.Second)
			})
		})
	}
}

// TestCrashCountSurvivesOwnerChange guards against a new owner that counts the crashes under a task from zero.
func TestCrashCountSurvivesOwnerChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 4, workers: 12})
		defer c.close()
		j := newJob(1, work.Step{Tasks: 3, Demand: largeTask, EstimateMS: 3000, Gang: true})
		c.submitTasks("key", "normal", j, crashesFirst)
		for crashes := 1; crashes <= 3 && !c.status(j.ID).Ended(); crashes++ {
			// The next start shows that the crash has been counted.
			for len(c.fleet.Ledger().Runs(work.TaskName{Job: j.ID})) <= crashes && !c.status(j.ID).Ended() {
				time.Sleep(50 * time.Millisecond)
			}
			c.crash(c.owner().name)
		}
		c.awaitStatus(j.ID, work.Failed, 40*time.Second)
		// An owner that did not see a run start cannot tell how soon the worker crashed, so
		// that more crashes are needed; five are the limit.
		if n := c.fleet.Ledger().Count(endingCrashedWorker); n < 2 || n > 4 {
			t.Errorf("the task crashed %d workers, want 2 to 4", n)
		}
	})
}

// TestCrashesCostOthersLittle guards against a task that crashes workers and takes down the runs of other jobs again and again, and against giving those up for it.
func TestCrashesCostOthersLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 3, workers: 8})
		defer c.close()
		var others []work.Job
		for i := range 8 {
			j := newJob(100+i, work.Step{Tasks: 4, Demand: smallTask, EstimateMS: 12_000, Gang: i%2 == 0})
			c.submit("normal", j, standin.Behaviour{Work: 12 * time.Second})
			others = append(others, j)
		}
		time.Sleep(2 * time.Second)
		// The fresh jobs start in the same moment as the first run of each bad job.
		for i := range 3 {
			bad := newJob(1+i, work.Step{Tasks: 1, Demand: smallTask, EstimateMS: 2000})
			fresh := newJob(200+i, work.Step{Tasks: 2, Demand: smallTask, EstimateMS: 6000})
			c.submitTasks("key", "normal", bad, crashesFirst)
			c.submit("normal", fresh, standin.Behaviour{Work: 6 * time.Second})
			others = append(others, fresh)
			time.Sleep(1500 * time.Millisecond)
		}
		for i := range 3 {
			c.awaitStatus(fmt.Sprintf("%016x", 1+i), work.Failed, 4*crashCycle)
		}
		for _, j := range others {
			c.awaitStatus(j.ID, work.Completed, 40*time.Second)
		}
		if n := c.fleet.Ledger().Count(endingCrashedWorker); n > 7 {
			t.Errorf("three bad tasks crashed %d workers", n)
		}
		// Each bad job may take the 7 other runs of the first worker along; its later runs are
		// on workers of their own.
		if n := c.fleet.Ledger().Count("gone"); n > 3*7 {
			t.Errorf("%d runs of other jobs were lost with their workers", n)
		}
	})
}

// TestPowerCutsAndNoticesDoNotFailJobs guards against jobs that are given up because their workers lost power or left at short notice.
func TestPowerCutsAndNoticesDoNotFailJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 3, workers: 12})
		defer c.close()
		gang := newJob(1, work.Step{Tasks: 6, Demand: largeTask, EstimateMS: 10_000, Gang: true})
		wide := newJob(2, work.Step{Tasks: 10, Demand: smallTask, EstimateMS: 10_000})
		for _, j := range []work.Job{gang, wide} {
			c.submit("normal", j, standin.Behaviour{Work: 10 * time.Second})
		}
		// Two or more workers lose power together, right after the runs have started.
		for range 6 {
			time.Sleep(5500 * time.Millisecond)
			for _, w := range c.workers[:9] {
				w.Crash()
			}
			time.Sleep(3 * time.Second)
			for _, w := range c.workers[:9] {
				w.Restart()
			}
		}
		// One worker after the other leaves at short notice with its runs.
		for _, r := range c.activeRuns(wide) {
			c.worker(r.Worker).CrashAfterNotice(100 * time.Millisecond)
			time.Sleep(4 * time.Second)
			c.worker(r.Worker).Restart()
		}
		for _, j := range []work.Job{gang, wide} {
			c.awaitStatus(j.ID, work.Completed, 60*time.Second)
		}
	})
}

// TestRepeatedSingleCrashesDoNotFailJobs guards against a job that is given up because single workers under it, busy for a while, lost power.
func TestRepeatedSingleCrashesDoNotFailJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 3, workers: 6})
		defer c.close()
		j := newJob(1, work.Step{Tasks: 1, Demand: largeTask, EstimateMS: 8000})
		c.submit("normal", j, standin.Behaviour{Work: 8 * time.Second})
		for range 3 {
			for len(c.activeRuns(j)) == 0 {
				time.Sleep(50 * time.Millisecond)
			}
			time.Sleep(4 * time.Second)
			w := c.worker(c.activeRuns(j)[0].Worker)
			w.Crash()
			time.Sleep(2 * time.Second)
			w.Restart()
		}
		c.awaitStatus(j.ID, work.Completed, 30*time.Second)
	})
}

// TestFailingLongRunningTaskIsNotBlamedForPowerCuts guards against a long-running job that is given up for single power cuts because its tasks fail soon after each start.
func TestFailingLongRunningTaskIsNotBlamedForPowerCuts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 3, workers: 6})
		defer c.close()
		j := newJob(1, work.Step{Tasks: 1, Demand: smallTask, LongRunning: true})
		c.submit("normal", j, standin.Behaviour{Work: 540 * time.Millisecond, Failures: 1000})
		for range 5 {
			time.Sleep(3 * time.Second)
			for len(c.activeRuns(j)) == 0 {
				if s := c.status(j.ID); s != work.Running {
					t.Fatalf("the job is shown as %c", s)
				}
				time.Sleep(10 * time.Millisecond)
			}
			w := c.worker(c.activeRuns(j)[0].Worker)
			w.Crash()
			time.Sleep(3 * time.Second)
			w.Restart()
		}
		if s := c.status(j.ID); s != work.Running {
			t.Errorf("the job is shown as %c", s)
		}
	})
}
