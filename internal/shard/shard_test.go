package shard

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/emulator"
	"github.com/daisyfold/daisyfold/internal/model"
)

var yes, no = true, false

// takeover is how long membership needs to name another planner. lateTakeover is
// the case that no host of the zone is left for a while: half-started gangs must
// then end by themselves.
const (
	takeover     = 2 * time.Second
	lateTakeover = 20 * time.Second
)

// TestPlannerDeathAtEachStep guards against a gang that runs partially, twice or
// never when its planner dies at any call of the start.
func TestPlannerDeathAtEachStep(t *testing.T) {
	steps := []struct {
		call string
		nth  int
	}{
		{"hold", 1}, {"hold", 2}, {"JobPlaced", 1}, {"start", 1}, {"start", 2}, {"start", 3},
		{"confirm", 1}, {"confirm", 2}, {"confirm", 3}, {"JobRunning", 1}, {"JobFinished", 1},
	}
	for _, step := range steps {
		for _, delay := range []time.Duration{takeover, lateTakeover} {
			t.Run(fmt.Sprintf("%s_%d_%s", step.call, step.nth, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { dieAtCall(t, step.call, step.nth, delay) })
			})
		}
	}
}

// dieAtCall kills the first planner at its nth call of a kind; the second one takes
// over after delay.
func dieAtCall(t *testing.T, call string, nth int, delay time.Duration) {
	w := newWorld(t, 4)
	first, second := w.hosts[0], w.hosts[1]
	count := 0
	first.hook(func(c string) error {
		w.mu.Lock()
		defer w.mu.Unlock()
		if c == call {
			count++
		}
		if count < nth {
			return nil
		}
		go func() {
			first.kill()
			time.Sleep(delay)
			w.handOver(second)
		}()
		return errDead
	})
	key := w.submit("gang", 3, 25*time.Second, nil)
	if got := w.finish(second, key, 2*time.Minute); got != model.JobFinished {
		t.Errorf("job is %s", got)
	}
	w.clean()
}

// TestRunningGangSurvivesPlanner guards against work that is thrown away because a
// planner dies: the successor goes on with the first attempt.
func TestRunningGangSurvivesPlanner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4)
		key := w.submit("gang", 3, 20*time.Second, nil)
		time.Sleep(5 * time.Second)
		w.hosts[0].kill()
		time.Sleep(takeover)
		w.handOver(w.hosts[1])
		w.finish(w.hosts[1], key, time.Minute)
		if got := w.hosts[1].table.Get(key).Job.Attempt; got != 1 {
			t.Errorf("the job needed %d attempts", got)
		}
		w.clean()
	})
}

// TestLostWorker guards against a gang that hangs or runs twice when a member's
// worker dies for good.
func TestLostWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 5)
		key := w.submit("gang", 3, 20*time.Second, nil)
		time.Sleep(5 * time.Second)
		lost := w.hosts[0].table.Get(key).Job.Placement.Members[0].Worker
		w.setWorkerFault(lost, emulator.WorkerFault{Lost: &yes})
		w.finish(w.hosts[0], key, 2*time.Minute)
		w.clean()
	})
}

// TestCutWorkerKeepsItsLease guards against a second attempt that starts while a
// member of the first one still runs on a worker that does not answer.
func TestCutWorkerKeepsItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 5)
		key := w.submit("gang", 3, 40*time.Second, nil)
		time.Sleep(5 * time.Second)
		cut := w.hosts[0].table.Get(key).Job.Placement.Members[0].Worker
		w.setWorkerFault(cut, emulator.WorkerFault{Paused: &yes})
		w.finish(w.hosts[0], key, 3*time.Minute)
		var firstEnd, secondStart int64
		for _, task := range w.emulator.Ledger().Tasks {
			if task.Attempt == 1 {
				firstEnd = max(firstEnd, task.EndUnixMS)
			} else {
				secondStart = task.StartUnixMS
			}
		}
		if secondStart <= firstEnd {
			t.Errorf("attempt 2 started %d ms before attempt 1 ended", firstEnd-secondStart)
		}
		w.clean()
	})
}

// TestFencedPlannerStepsBack guards against a planner that was paused, lost its
// shard meanwhile, and goes on starting tasks or fences its successor when it
// wakes up.
func TestFencedPlannerStepsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4)
		paused := make(chan struct{})
		began := time.Now()
		w.hosts[0].hook(func(call string) error {
			if call == "acquire" && time.Since(began) > takeover {
				t.Error("the planner acquires again although it lost the shard")
			}
			if call == "start" {
				<-paused // as if the process had been stopped before the call left
			}
			return nil
		})
		key := w.submit("gang", 3, 5*time.Second, nil)
		time.Sleep(takeover)
		w.handOver(w.hosts[1])
		time.Sleep(time.Second)
		close(paused)
		w.finish(w.hosts[1], key, time.Minute)
		w.clean()
	})
}

// TestNoStartWithoutEvidence guards against starts in a zone whose evidence ended
// between the plan and the start.
func TestNoStartWithoutEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4)
		w.hosts[0].hook(func(call string) error {
			if call == "JobPlaced" {
				w.mu.Lock()
				w.noEvidence = true
				w.mu.Unlock()
			}
			return nil
		})
		key := w.submit("gang", 2, time.Second, nil)
		time.Sleep(10 * time.Second)
		if n := len(w.emulator.Ledger().Tasks); n != 0 {
			t.Errorf("%d tasks started without evidence", n)
		}
		w.hosts[0].hook(func(string) error { return nil })
		w.mu.Lock()
		w.noEvidence = false
		w.mu.Unlock()
		w.finish(w.hosts[0], key, time.Minute)
		w.clean()
	})
}

// TestHalfOfTheWorkersLost guards against a zone of two racks that stands still when
// one of them is lost.
func TestHalfOfTheWorkersLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 12)
		first := w.submit("first", 3, 20*time.Second, nil)
		time.Sleep(5 * time.Second)
		rack := w.workers[0].Rack
		for _, worker := range w.workers {
			if worker.ID == w.hosts[0].table.Get(first).Job.Placement.Members[0].Worker {
				rack = worker.Rack
			}
		}
		w.emulator.SetFaults(emulator.Faults{Workers: []emulator.WorkerFault{{Rack: rack, Lost: &yes}}})
		second := w.submit("second", 3, 5*time.Second, nil)
		w.finish(w.hosts[0], second, 30*time.Second)
		w.finish(w.hosts[0], first, 2*time.Minute)
		w.clean()
	})
}

// TestNonRepeatableJobRunsOnce guards against a non-repeatable job that is started
// again after an attempt that may have run.
func TestNonRepeatableJobRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 5)
		key := w.submit("bill", 2, 20*time.Second, func(s *model.JobSpec) { s.NonRepeatable = true })
		time.Sleep(5 * time.Second)
		lost := w.hosts[0].table.Get(key).Job.Placement.Members[0].Worker
		w.setWorkerFault(lost, emulator.WorkerFault{Lost: &yes})
		if got := w.finish(w.hosts[0], key, 2*time.Minute); got != model.JobFailed {
			t.Errorf("job is %s, want failed", got)
		}
		if n := len(w.emulator.Ledger().Tasks); n != 2 {
			t.Errorf("%d tasks started, want 2", n)
		}
		w.close()
	})
}

// TestLogDownStartsGoOn guards against a log outage that stops all starts, and
// against a placement that is lost with its planner meanwhile.
func TestLogDownStartsGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4)
		key := w.submit("gang", 3, 10*time.Second, func(s *model.JobSpec) { s.Priority = model.PriorityHigh })
		w.setLog(true)
		time.Sleep(5 * time.Second)
		if got := w.hosts[0].table.Get(key).Job.State; got != model.JobRunning {
			t.Errorf("job is %s during the outage", got)
		}
		w.hosts[0].kill()
		time.Sleep(takeover)
		w.handOver(w.hosts[1])
		w.finish(w.hosts[1], key, time.Minute)
		w.clean()
	})
}

// TestBadWorkerIsAvoided guards against a worker that fails what it starts and, being
// always free, attracts all jobs.
func TestBadWorkerIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4)
		bad := w.workers[0].ID
		w.setWorkerFault(bad, emulator.WorkerFault{FailStarts: &yes})
		var keys []model.JobKey
		for i := range 40 {
			keys = append(keys, w.submit(model.JobID(fmt.Sprint("j", i)), 1, 2*time.Second, nil))
		}
		for _, key := range keys {
			if got := w.finish(w.hosts[0], key, 3*time.Minute); got != model.JobFinished {
				t.Errorf("job %s is %s", key, got)
			}
		}
		w.clean()
	})
}
