package engine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
	"github.com/daisyfold/daisyfold/internal/standin"
)

// TestOccurrences guards against occurrences of a repeated job that start before they are
// due, are lost when the owner crashes, or run in another order than their steps allow. The
// ledger checks for the violations ORDER and TWICE.
func TestOccurrences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 3, workers: 6})
		defer c.close()
		j := newJob(1, work.Step{Tasks: 2, Demand: smallTask, EstimateMS: 500})
		j.Steps = append(j.Steps, work.Step{Tasks: 1, Demand: smallTask, EstimateMS: 500, After: []int{0}})
		j.Occurrences, j.PeriodMS = 5, 1000
		j.FirstDueMS = time.Now().Add(2 * time.Second).UnixMilli()
		c.submit("urgent", j, standin.Behaviour{Work: 500 * time.Millisecond})
		if n := c.anyHost().Jobs.CountWaiting("h/urgent/"); n != 0 {
			t.Errorf("%d jobs are waiting; repeated jobs do not count", n)
		}
		time.Sleep(3500 * time.Millisecond)
		c.crash(c.owner().name) // in the middle of the second occurrence
		c.awaitStatus(j.ID, work.Completed, 20*time.Second)
		for k := range j.Occurrences {
			due := time.UnixMilli(j.DueMS(k * len(j.Steps)))
			runs := c.fleet.Ledger().Runs(work.TaskName{Job: j.ID, Occurrence: k})
			if len(runs) != 1 {
				t.Fatalf("occurrence %d had %d runs", k, len(runs))
			}
			// A takeover may delay the second and the third one.
			if late := runs[0].Begin.Sub(due); late > 1500*time.Millisecond {
				t.Errorf("occurrence %d began %s after it was due", k, late)
			}
		}
	})
}

// TestLongRunningTasksRestart guards against a long-running task that is not restarted
// after it has ended for any reason, and against one whose failures count as attempts.
func TestLongRunningTasksRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 6})
		defer c.close()
		j := newJob(1, work.Step{Tasks: 3, Demand: smallTask, LongRunning: true})
		c.submit("normal", j, standin.Behaviour{Work: time.Second, Failures: 6})
		time.Sleep(20 * time.Second) // each of its tasks has failed six times
		if n := len(c.activeRuns(j)); n != 3 {
			t.Fatalf("%d of 3 tasks run after failures", n)
		}
		c.worker(c.activeRuns(j)[0].Worker).Restart()
		time.Sleep(3 * time.Second)
		if n := len(c.activeRuns(j)); n != 3 {
			t.Errorf("%d of 3 tasks run 3 s after a worker was restarted", n)
		}
		if s := c.status(j.ID); s != work.Running {
			t.Errorf("the job is shown as %c", s)
		}
		c.anyHost().Intake.Cancel(t.Context(), newCall("/normal/"+j.ID), j.ID)
		time.Sleep(2 * time.Second)
		if n := len(c.activeRuns(j)); n != 0 {
			t.Errorf("%d tasks run after the job was cancelled", n)
		}
	})
}

// TestPreemptionKeepsMaxUnavailable guards against preemption that stops more tasks of a
// long-running step at the same time than its MaxUnavailable allows. The ledger checks for
// the violation AVAIL.
func TestPreemptionKeepsMaxUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 4})
		defer c.close()
		serving := newJob(1, work.Step{Tasks: 4, Demand: largeTask, LongRunning: true, MaxUnavailable: 1})
		c.submit("batch", serving, standin.Behaviour{})
		time.Sleep(2 * time.Second)
		urgent := newJob(2, work.Step{Tasks: 3, Demand: largeTask, EstimateMS: 1000})
		c.submit("urgent", urgent, standin.Behaviour{Work: time.Second})
		c.awaitStatus(urgent.ID, work.Completed, 12*time.Second)
		time.Sleep(3 * time.Second)
		if n := len(c.activeRuns(serving)); n != 4 {
			t.Errorf("%d of 4 serving tasks run", n)
		}
		if n := c.fleet.Ledger().Count(workers.EndedStopped.String()); n == 0 {
			t.Error("nothing was stopped for the urgent job")
		}
	})
}

// TestLostStartsDoNotBlockEachOther guards against long-running tasks that are never started
// again because more starts were lost than their step's MaxUnavailable.
func TestLostStartsDoNotBlockEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 12})
		defer c.close()
		setUnreachable := func(unreachable bool) {
			for host := range c.hosts {
				for _, worker := range []string{"w00", "w01", "w02"} {
					c.fleet.SetUnreachable(host, worker, unreachable)
				}
			}
		}
		setUnreachable(true)
		serving := newJob(1, work.Step{Tasks: 12, Demand: largeTask, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 1})
		c.submit("normal", serving, standin.Behaviour{})
		time.Sleep(5500 * time.Millisecond)
		setUnreachable(false)
		time.Sleep(6 * time.Second)
		if n := len(c.activeRuns(serving)); n != 12 {
			t.Errorf("%d of 12 tasks run 6 s after the workers can be reached again", n)
		}
	})
}

// TestStopsBesideLeavingWorkerKeepMaxUnavailable guards against stops that are sent together with
// that of a task whose worker leaves, so that more tasks are stopped than their step allows.
func TestStopsBesideLeavingWorkerKeepMaxUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for wait := range 100 {
			c := newCluster(t, clusterOptions{hosts: 2, workers: 6})
			serving := newJob(1, work.Step{Tasks: 6, Demand: largeTask, LongRunning: true, MaxUnavailable: 2, MaxPerWorker: 1})
			c.submit("batch", serving, standin.Behaviour{})
			time.Sleep(3 * time.Second)
			urgent := newJob(2, work.Step{Tasks: 2, Demand: largeTask, EstimateMS: 1000, Gang: true})
			go c.workers[0].Drain(2 * time.Second)
			time.Sleep(time.Duration(wait) * 3 * time.Millisecond)
			c.submit("urgent", urgent, standin.Behaviour{Work: time.Second})
			time.Sleep(8 * time.Second)
			c.close()
		}
	})
}

// TestFillersMakeRoomOneAfterAnother guards against best-effort tasks whose stops withhold each
// other, so that a latency-sensitive job never starts.
func TestFillersMakeRoomOneAfterAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 9})
		defer c.close()
		memoryOnly := work.Resources{MemoryMB: 1000}
		fillers := newJob(1, work.Step{Tasks: 6, Demand: memoryOnly, LongRunning: true, BestEffort: true, MaxPerWorker: 1, MaxUnavailable: 1, PreferredRack: "rack-0"})
		c.submit("batch", fillers, standin.Behaviour{})
		time.Sleep(2 * time.Second)
		serving := newJob(2, work.Step{Tasks: 3, Demand: largeTask, LongRunning: true, LatencySensitive: true, MaxPerWorker: 1, RequiredLabel: "rack-0"})
		c.submit("normal", serving, standin.Behaviour{})
		time.Sleep(20 * time.Second)
		if n := len(c.activeRuns(serving)); n != 3 {
			t.Errorf("%d of 3 serving tasks run", n)
		}
		if n := len(c.activeRuns(fillers)); n != 6 {
			t.Errorf("%d of 6 best-effort tasks run", n)
		}
	})
}

// TestBestEffortAvoidsLatencySensitive guards against best-effort tasks on the same worker
// as latency-sensitive tasks, whichever are submitted first. The ledger checks for the
// violation HARM.
func TestBestEffortAvoidsLatencySensitive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 3})
		defer c.close()
		memoryOnly := work.Resources{MemoryMB: 1000}
		bestEffort := newJob(1, work.Step{Tasks: 3, Demand: memoryOnly, EstimateMS: 60_000, BestEffort: true, MaxPerWorker: 1, SavesProgress: true})
		c.submit("batch", bestEffort, standin.Behaviour{Work: 60 * time.Second})
		time.Sleep(time.Second)
		serving := newJob(2, work.Step{Tasks: 2, Demand: largeTask, LongRunning: true, LatencySensitive: true, MaxPerWorker: 1})
		c.submit("normal", serving, standin.Behaviour{})
		time.Sleep(3 * time.Second)
		if n := len(c.activeRuns(serving)); n != 2 {
			t.Errorf("%d of 2 serving tasks run after best-effort tasks were submitted", n)
		}
		if n := len(c.activeRuns(bestEffort)); n != 1 {
			t.Errorf("%d best-effort tasks run, and one worker has no serving task", n)
		}
	})
}

// TestAdvice guards against tasks on workers that the advice service did not name, against
// starts with an expired ticket, and against repeated requests for the same step.
func TestAdvice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 8})
		defer c.close()
		const jobs = 6 // each uses 2 whole workers; 4 workers are allowed
		for id := 1; id <= jobs; id++ {
			j := newJob(id, work.Step{Tasks: 2, Demand: largeTask, EstimateMS: 1500, Gang: true})
			j.NeedsAdvice = true // for the simulated workers; the scheduler uses the queue's setting
			c.submit("advised", j, standin.Behaviour{Work: 1500 * time.Millisecond})
		}
		c.workers[2].Restart() // tickets for its former incarnation are invalid
		for id := 1; id <= jobs; id++ {
			c.awaitStatus(newJob(id).ID, work.Completed, 15*time.Second)
		}
		if n := c.advisor.Calls; n > 6*jobs {
			t.Errorf("%d calls for %d steps", n, jobs)
		}
	})
}

// TestUpkeepWave guards against a wave that takes too many machines down or stops too many
// serving tasks at the same time, that is lost when the owner crashes or a response is
// lost, or that is reported as completed too early. The ledger checks for the violations
// LIMIT and AVAIL.
func TestUpkeepWave(t *testing.T) {
	for _, maxUnavailable := range []int{1, 4} {
		t.Run(fmt.Sprintf("max unavailable %d", maxUnavailable), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runUpkeepWave(t, maxUnavailable) })
		})
	}
}

func runUpkeepWave(t *testing.T, maxUnavailable int) {
	c := newCluster(t, clusterOptions{hosts: 3, workers: 6})
	defer c.close()
	serving := newJob(1, work.Step{Tasks: 4, Demand: largeTask, LongRunning: true, MaxUnavailable: maxUnavailable, MaxPerWorker: 1})
	c.submit("normal", serving, standin.Behaviour{})
	batch := newJob(2, work.Step{Tasks: 6, Demand: smallTask, EstimateMS: 20_000, SavesProgress: true})
	c.submit("batch", batch, standin.Behaviour{Work: 20 * time.Second})
	time.Sleep(2 * time.Second)
	const timeLimit = 40 * time.Second
	wave := replica.Wave{Number: 7, Machines: []string{"w00", "w01", "w02", "w03", "w99"}, TimeLimit: timeLimit, MaxDown: maxDownPerWave}
	c.machines.Unanswered = 1
	began := time.Now()
	c.requestUpkeep(wave)
	time.Sleep(6 * time.Second)
	c.crash(c.owner().name)
	for {
		status, _ := c.store.Newest(statusTopic, "wave/7")
		if string(status.Value) == "true" {
			break
		}
		if time.Since(began) > timeLimit {
			t.Fatalf("the wave is not completed within its time limit; %d of 4 machines had their upkeep", c.machines.UpkeepCount())
		}
		time.Sleep(50 * time.Millisecond)
	}
	if n := c.machines.UpkeepCount(); n != 4 {
		t.Errorf("the wave is reported as completed, and %d of 4 machines had their upkeep", n)
	}
	c.awaitStatus(batch.ID, work.Completed, 60*time.Second)
	if n := len(c.activeRuns(serving)); n != 4 {
		t.Errorf("%d of 4 serving tasks run after the wave", n)
	}
}
