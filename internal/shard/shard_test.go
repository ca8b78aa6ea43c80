package shard

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisyfold/daisyfold/internal/emulator"
	"github.com/daisyfold/daisyfold/internal/model"
)

// trueValue and falseValue are for the optional fields of emulator.WorkerFault.
var trueValue, falseValue = true, false

// takeoverDelay is how long membership needs to select another planner. lateTakeoverDelay
// is for the case that the zone has no host for a while: partially started gangs must then
// end without a planner.
const (
	takeoverDelay     = 2 * time.Second
	lateTakeoverDelay = 20 * time.Second
)

// TestPlannerKilledAtEachCall guards against a gang that runs partially, twice or never
// because its planner is killed at one of its calls.
func TestPlannerKilledAtEachCall(t *testing.T) {
	steps := []struct {
		call string
		nth  int
	}{
		{"hold", 1}, {"hold", 2}, {"JobPlaced", 1}, {"start", 1}, {"start", 2}, {"start", 3},
		{"confirm", 1}, {"confirm", 2}, {"confirm", 3}, {"JobRunning", 1}, {"JobFinished", 1},
	}
	for _, step := range steps {
		for _, delay := range []time.Duration{takeoverDelay, lateTakeoverDelay} {
			t.Run(fmt.Sprintf("%s_%d_%s", step.call, step.nth, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { killAtCall(t, step.call, step.nth, delay) })
			})
		}
	}
}

// killAtCall kills the first planner at its nth call of a kind. The second planner takes over
// after delay.
func killAtCall(t *testing.T, call string, nth int, delay time.Duration) {
	c := newTestCluster(t, 4)
	first, second := c.hosts[0], c.hosts[1]
	count := 0
	first.setBeforeCall(func(name string) error {
		c.mu.Lock()
		defer c.mu.Unlock()
		if name == call {
			count++
		}
		if count < nth {
			return nil
		}
		go func() {
			first.kill()
			time.Sleep(delay)
			c.setOwner(second)
		}()
		return errKilled
	})
	key := c.submit("gang", 3, 25*time.Second, nil)
	if got := c.waitFinal(second, key, 2*time.Minute); got != model.JobFinished {
		t.Errorf("job is %s", got)
	}
	c.checkAndClose()
}

// TestRunningGangSurvivesPlannerDeath guards against work that is lost because a planner
// dies. The successor must keep the running attempt.
func TestRunningGangSurvivesPlannerDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 4)
		key := c.submit("gang", 3, 20*time.Second, nil)
		time.Sleep(5 * time.Second)
		c.hosts[0].kill()
		time.Sleep(takeoverDelay)
		c.setOwner(c.hosts[1])
		c.waitFinal(c.hosts[1], key, time.Minute)
		if got := c.hosts[1].table.Get(key).Job.Attempt; got != 1 {
			t.Errorf("the job needed %d attempts, want 1", got)
		}
		c.checkAndClose()
	})
}

// TestLostWorker guards against a gang that hangs or runs twice after a member's worker fails
// permanently.
func TestLostWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 5)
		key := c.submit("gang", 3, 20*time.Second, nil)
		time.Sleep(5 * time.Second)
		lost := c.hosts[0].table.Get(key).Job.Placement.Members[0].Worker
		c.setWorkerFault(lost, emulator.WorkerFault{Lost: &trueValue})
		c.waitFinal(c.hosts[0], key, 2*time.Minute)
		c.checkAndClose()
	})
}

// TestUnreachableWorkerKeepsLease guards against a second attempt that starts while a member
// of the first attempt still runs on a worker that does not answer.
func TestUnreachableWorkerKeepsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 5)
		key := c.submit("gang", 3, 40*time.Second, nil)
		time.Sleep(5 * time.Second)
		unreachable := c.hosts[0].table.Get(key).Job.Placement.Members[0].Worker
		c.setWorkerFault(unreachable, emulator.WorkerFault{Paused: &trueValue})
		c.waitFinal(c.hosts[0], key, 3*time.Minute)
		var firstEndMS, secondStartMS int64
		for _, task := range c.emulator.Ledger().Tasks {
			if task.Attempt == 1 {
				firstEndMS = max(firstEndMS, task.EndUnixMS)
			} else {
				secondStartMS = task.StartUnixMS
			}
		}
		if secondStartMS <= firstEndMS {
			t.Errorf("attempt 2 started %d ms before attempt 1 ended", firstEndMS-secondStartMS)
		}
		c.checkAndClose()
	})
}

// TestFencedPlannerDoesNotAcquire guards against a planner that lost its shard while it was
// paused and then starts tasks or fences its successor when it resumes.
func TestFencedPlannerDoesNotAcquire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 4)
		paused := make(chan struct{})
		startedAt := time.Now()
		c.hosts[0].setBeforeCall(func(call string) error {
			if call == "acquire" && time.Since(startedAt) > takeoverDelay {
				t.Error("the planner acquires again although it lost the shard")
			}
			if call == "start" {
				<-paused // as if the process was paused before it sent the call
			}
			return nil
		})
		key := c.submit("gang", 3, 5*time.Second, nil)
		time.Sleep(takeoverDelay)
		c.setOwner(c.hosts[1])
		time.Sleep(time.Second)
		close(paused)
		c.waitFinal(c.hosts[1], key, time.Minute)
		c.checkAndClose()
	})
}

// TestNoStartWithoutEvidence guards against starts in a zone whose evidence expired between
// the plan and the start.
func TestNoStartWithoutEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 4)
		c.hosts[0].setBeforeCall(func(call string) error {
			if call == "JobPlaced" {
				c.mu.Lock()
				c.noEvidence = true
				c.mu.Unlock()
			}
			return nil
		})
		key := c.submit("gang", 2, time.Second, nil)
		time.Sleep(10 * time.Second)
		if n := len(c.emulator.Ledger().Tasks); n != 0 {
			t.Errorf("%d tasks started without evidence", n)
		}
		c.hosts[0].setBeforeCall(func(string) error { return nil })
		c.mu.Lock()
		c.noEvidence = false
		c.mu.Unlock()
		c.waitFinal(c.hosts[0], key, time.Minute)
		c.checkAndClose()
	})
}

// TestHalfOfWorkersLost guards against a zone of two racks in which no job starts after one
// of the racks is lost.
func TestHalfOfWorkersLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 12)
		first := c.submit("first", 3, 20*time.Second, nil)
		time.Sleep(5 * time.Second)
		rack := c.workers[0].Rack
		for _, worker := range c.workers {
			if worker.ID == c.hosts[0].table.Get(first).Job.Placement.Members[0].Worker {
				rack = worker.Rack
			}
		}
		c.emulator.SetFaults(emulator.Faults{Workers: []emulator.WorkerFault{{Rack: rack, Lost: &trueValue}}})
		second := c.submit("second", 3, 5*time.Second, nil)
		c.waitFinal(c.hosts[0], second, 30*time.Second)
		c.waitFinal(c.hosts[0], first, 2*time.Minute)
		c.checkAndClose()
	})
}

// TestNonRepeatableJobRunsOnce guards against a non-repeatable job that is started again
// after an attempt that may have run.
func TestNonRepeatableJobRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 5)
		key := c.submit("bill", 2, 20*time.Second, func(s *model.JobSpec) { s.NonRepeatable = true })
		time.Sleep(5 * time.Second)
		lost := c.hosts[0].table.Get(key).Job.Placement.Members[0].Worker
		c.setWorkerFault(lost, emulator.WorkerFault{Lost: &trueValue})
		if got := c.waitFinal(c.hosts[0], key, 2*time.Minute); got != model.JobFailed {
			t.Errorf("job is %s, want failed", got)
		}
		if n := len(c.emulator.Ledger().Tasks); n != 2 {
			t.Errorf("%d tasks started, want 2", n)
		}
		c.close()
	})
}

// TestStartsDuringLogOutage guards against a log outage that prevents all starts, and against
// a placement that is lost because its planner dies during the outage.
func TestStartsDuringLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 4)
		key := c.submit("gang", 3, 10*time.Second, func(s *model.JobSpec) { s.Priority = model.PriorityHigh })
		c.setLogDown(true)
		time.Sleep(5 * time.Second)
		if got := c.hosts[0].table.Get(key).Job.State; got != model.JobRunning {
			t.Errorf("job is %s during the outage", got)
		}
		c.hosts[0].kill()
		time.Sleep(takeoverDelay)
		c.setOwner(c.hosts[1])
		c.waitFinal(c.hosts[1], key, time.Minute)
		c.checkAndClose()
	})
}

// TestFailingWorkerIsAvoided guards against a worker on which every start fails and which
// attracts all jobs because it is always free.
func TestFailingWorkerIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 4)
		failing := c.workers[0].ID
		c.setWorkerFault(failing, emulator.WorkerFault{FailStarts: &trueValue})
		var keys []model.JobKey
		for i := range 40 {
			keys = append(keys, c.submit(model.JobID(fmt.Sprint("j", i)), 1, 2*time.Second, nil))
		}
		for _, key := range keys {
			if got := c.waitFinal(c.hosts[0], key, 3*time.Minute); got != model.JobFinished {
				t.Errorf("job %s is %s", key, got)
			}
		}
		c.checkAndClose()
	})
}
