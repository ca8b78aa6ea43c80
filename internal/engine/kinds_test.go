package engine_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
	"github.com/daisyfold/daisyfold/internal/standin"
)

// TestOccurrences guards against occurrences of a repeated job that start before they are
// due, are lost with their scheduler, or run in another order than their steps allow. The
// ledger judges ORDER and TWICE.
func TestOccurrences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 3, workers: 6})
		defer c.close()
		j := job(1, work.Step{Tasks: 2, Demand: small, EstimateMS: 500})
		j.Steps = append(j.Steps, work.Step{Tasks: 1, Demand: small, EstimateMS: 500, After: []int{0}})
		j.Occurrences, j.PeriodMS = 5, 1000
		j.FirstDueMS = time.Now().Add(2 * time.Second).UnixMilli()
		c.submit("urgent", j, standin.Behaviour{Work: 500 * time.Millisecond})
		if n := c.anyHost().Jobs.CountWaiting("h/urgent/"); n != 0 {
			t.Errorf("%d jobs are waiting; jobs with times do not count", n)
		}
		time.Sleep(3500 * time.Millisecond)
		c.crash(c.owner().name) // in the middle of the second occurrence
		c.await(j.ID, work.Completed, 20*time.Second)
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

// TestLongRunningTasksComeBack guards against a long-running task that stays away after it
// has ended, whatever the reason, and against one that counts failures as attempts.
func TestLongRunningTasksComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 6})
		defer c.close()
		j := job(1, work.Step{Tasks: 3, Demand: small, LongRunning: true})
		c.submit("normal", j, standin.Behaviour{Work: time.Second, Failures: 6})
		time.Sleep(20 * time.Second) // each of its tasks has failed six times
		if n := len(c.runsOf(j)); n != 3 {
			t.Fatalf("%d of 3 tasks run after failures", n)
		}
		c.worker(c.runsOf(j)[0].Worker).Restart()
		time.Sleep(3 * time.Second)
		if n := len(c.runsOf(j)); n != 3 {
			t.Errorf("%d of 3 tasks run 3 s after a worker has started again", n)
		}
		if s := c.status(j.ID); s != work.Running {
			t.Errorf("the job is shown as %c", s)
		}
		c.anyHost().Intake.Cancel(t.Context(), call("/normal/"+j.ID), j.ID)
		time.Sleep(2 * time.Second)
		if n := len(c.runsOf(j)); n != 0 {
			t.Errorf("%d tasks run after the job was cancelled", n)
		}
	})
}

// TestUrgentSparesServingTasks guards against preemption that takes more tasks of a
// long-running step away at once than may be missed. The ledger judges AVAIL.
func TestUrgentSparesServingTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 4})
		defer c.close()
		serving := job(1, work.Step{Tasks: 4, Demand: large, LongRunning: true, MaxUnavailable: 1})
		c.submit("batch", serving, standin.Behaviour{})
		time.Sleep(2 * time.Second)
		urgent := job(2, work.Step{Tasks: 3, Demand: large, EstimateMS: 1000})
		c.submit("urgent", urgent, standin.Behaviour{Work: time.Second})
		c.await(urgent.ID, work.Completed, 12*time.Second)
		time.Sleep(3 * time.Second)
		if n := len(c.runsOf(serving)); n != 4 {
			t.Errorf("%d of 4 serving tasks run", n)
		}
		if n := c.fleet.Ledger().Count(workers.EndedStopped.String()); n == 0 {
			t.Error("nothing was stopped for the urgent job")
		}
	})
}

// TestFillersKeepAway guards against tasks that fill beside tasks that serve, whichever
// come first. The ledger judges HARM.
func TestFillersKeepAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 3})
		defer c.close()
		filler := work.Resources{MemoryMB: 1000}
		early := job(1, work.Step{Tasks: 3, Demand: filler, EstimateMS: 60_000, BestEffort: true, MaxPerWorker: 1, SavesProgress: true})
		c.submit("batch", early, standin.Behaviour{Work: 60 * time.Second})
		time.Sleep(time.Second)
		serving := job(2, work.Step{Tasks: 2, Demand: large, LongRunning: true, LatencySensitive: true, MaxPerWorker: 1})
		c.submit("normal", serving, standin.Behaviour{})
		time.Sleep(3 * time.Second)
		if n := len(c.runsOf(serving)); n != 2 {
			t.Errorf("%d of 2 serving tasks run beside early fillers", n)
		}
		if n := len(c.runsOf(early)); n != 1 {
			t.Errorf("%d fillers run, and one worker is free of serving tasks", n)
		}
	})
}

// TestAdvice guards against tasks on workers that the advice service did not name, against
// starts with a ticket that is over, and against a step that is asked about again and again.
func TestAdvice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, clusterOptions{hosts: 2, workers: 8})
		defer c.close()
		const jobs = 6 // of 2 whole workers each; 4 workers are allowed
		for id := 1; id <= jobs; id++ {
			j := job(id, work.Step{Tasks: 2, Demand: large, EstimateMS: 1500, Gang: true})
			j.NeedsAdvice = true // known to the workers; the queue says so to the product
			c.submit("advised", j, standin.Behaviour{Work: 1500 * time.Millisecond})
		}
		c.workers[2].Restart() // tickets for its former life are over
		for id := 1; id <= jobs; id++ {
			c.await(job(id).ID, work.Completed, 15*time.Second)
		}
		if n := c.advisor.Calls; n > 6*jobs {
			t.Errorf("%d calls for %d steps", n, jobs)
		}
	})
}

// TestWaveOfUpkeep guards against a wave that takes too many machines down at once or too
// many serving tasks away, that is lost with its scheduler or with an answer, or that is
// said to be completed too early. The ledger judges LIMIT and AVAIL.
func TestWaveOfUpkeep(t *testing.T) {
	for _, mayMiss := range []int{1, 4} {
		t.Run(fmt.Sprintf("may miss %d", mayMiss), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playWave(t, mayMiss) })
		})
	}
}

func playWave(t *testing.T, mayMiss int) {
	c := newCluster(t, clusterOptions{hosts: 3, workers: 6})
	defer c.close()
	serving := job(1, work.Step{Tasks: 4, Demand: large, LongRunning: true, MaxUnavailable: mayMiss, MaxPerWorker: 1})
	c.submit("normal", serving, standin.Behaviour{})
	batch := job(2, work.Step{Tasks: 6, Demand: small, EstimateMS: 20_000, SavesProgress: true})
	c.submit("batch", batch, standin.Behaviour{Work: 20 * time.Second})
	time.Sleep(2 * time.Second)
	const within = 40 * time.Second
	wave := replica.Wave{Number: 7, Machines: []string{"w00", "w01", "w02", "w03", "w99"}, TimeLimit: within, MaxDown: waveCap}
	value, err := json.Marshal(wave)
	if err != nil {
		t.Fatal(err)
	}
	c.machines.Unanswered = 1
	began := time.Now()
	c.store.Put(operatorTopic, store.Record{Key: "wave/7", Value: value})
	time.Sleep(6 * time.Second)
	c.crash(c.owner().name)
	for {
		status, _ := c.store.Newest(statusTopic, "wave/7")
		if string(status.Value) == "true" {
			break
		}
		if time.Since(began) > within {
			t.Fatalf("the wave is not completed within its time; %d of 4 machines had their upkeep", c.machines.UpkeepCount())
		}
		time.Sleep(50 * time.Millisecond)
	}
	if n := c.machines.UpkeepCount(); n != 4 {
		t.Errorf("the wave is shown as completed, and %d of 4 machines had their upkeep", n)
	}
	c.await(batch.ID, work.Completed, 60*time.Second)
	if n := len(c.runsOf(serving)); n != 4 {
		t.Errorf("%d of 4 serving tasks run after the wave", n)
	}
}
